package rushproxy.fleet.release;

import org.HdrHistogram.Histogram;

/**
 * Outcomes of the attempts on one group of servers in one stratum (a class in a zone): all attempts, failures, timeouts, and the
 * latencies of the successes. Tallies can be added up over sidecars and over time. Not thread-safe.
 */
public final class Tally {
    /** Longer latencies are recorded as this. */
    private static final long MAX_LATENCY_US = 60_000_000;
    /** A resolution of 1%. */
    private static final int SIGNIFICANT_DIGITS = 2;

    private long attempts;
    private long failures;
    private long timeouts;
    private final Histogram latenciesUs = new Histogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);

    /** Records a successful answer. */
    public void addSuccess(long latencyUs) {
        attempts++;
        latenciesUs.recordValue(Math.max(1, Math.min(MAX_LATENCY_US, latencyUs)));
    }

    public void addFailure() {
        attempts++;
        failures++;
    }

    public void addTimeout() {
        attempts++;
        timeouts++;
    }

    public void add(Tally other) {
        attempts += other.attempts;
        failures += other.failures;
        timeouts += other.timeouts;
        latenciesUs.add(other.latenciesUs);
    }

    /** The difference to an earlier state of the same tally; after a restart of its process, all of it. */
    public Tally deltaSince(Tally earlier) {
        Tally delta = new Tally();
        delta.add(this);
        if (earlier != null
                && earlier.attempts <= attempts
                && earlier.failures <= failures
                && earlier.timeouts <= timeouts
                && earlier.latenciesUs.getTotalCount() <= latenciesUs.getTotalCount()) {
            delta.attempts -= earlier.attempts;
            delta.failures -= earlier.failures;
            delta.timeouts -= earlier.timeouts;
            delta.latenciesUs.subtract(earlier.latenciesUs);
        }
        return delta;
    }

    public long attempts() {
        return attempts;
    }

    public long failures() {
        return failures;
    }

    public long timeouts() {
        return timeouts;
    }

    public long successes() {
        return latenciesUs.getTotalCount();
    }

    /** Number of successes that took longer. */
    public long slowerThan(long thresholdUs) {
        return thresholdUs >= MAX_LATENCY_US
                ? 0
                : latenciesUs.getTotalCount() - latenciesUs.getCountBetweenValues(0, thresholdUs);
    }

    /** Latency percentile of the successes; 0 without any. */
    public long percentileUs(double percent) {
        return latenciesUs.getTotalCount() == 0 ? 0 : latenciesUs.getValueAtPercentile(percent);
    }

    Histogram latencies() {
        return latenciesUs;
    }

    static Tally fromCounts(long attempts, long failures, long timeouts, Histogram latenciesUs) {
        Tally tally = new Tally();
        tally.attempts = attempts;
        tally.failures = failures;
        tally.timeouts = timeouts;
        tally.latenciesUs.add(latenciesUs);
        return tally;
    }
}

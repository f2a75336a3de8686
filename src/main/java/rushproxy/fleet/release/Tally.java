package rushproxy.fleet.release;

import org.HdrHistogram.Histogram;

/**
 * What was seen of one group of servers in one stratum (a class in a zone) over some time: answers of all kinds, those that failed,
 * those that never came, and how long the good ones took. Adds up over sidecars and over time. One thread.
 */
public final class Tally {
    /** Two digits tell 1% apart; latencies above a minute count as one. */
    private static final long MAX_LATENCY_US = 60_000_000;

    private static final int SIGNIFICANT_DIGITS = 2;

    private long attempts;
    private long failures;
    private long timeouts;
    private final Histogram latenciesUs = new Histogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);

    /** An answer with success, after so many microseconds. */
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

    /** What has come since an earlier state of the same tally; that of a process that has started anew counts from its start. */
    public Tally deltaSince(Tally before) {
        Tally delta = new Tally();
        delta.add(this);
        if (before != null
                && before.attempts <= attempts
                && before.failures <= failures
                && before.timeouts <= timeouts
                && before.latenciesUs.getTotalCount() <= latenciesUs.getTotalCount()) {
            delta.attempts -= before.attempts;
            delta.failures -= before.failures;
            delta.timeouts -= before.timeouts;
            delta.latenciesUs.subtract(before.latenciesUs);
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

    /** Good answers that took longer. */
    public long slowerThan(long thresholdUs) {
        return thresholdUs >= MAX_LATENCY_US
                ? 0
                : latenciesUs.getTotalCount() - latenciesUs.getCountBetweenValues(0, thresholdUs);
    }

    /** Microseconds that so many percent of the good answers took at most; 0 where there was none. */
    public long percentileUs(double percent) {
        return latenciesUs.getTotalCount() == 0 ? 0 : latenciesUs.getValueAtPercentile(percent);
    }

    Histogram latencies() {
        return latenciesUs;
    }

    static Tally fromCounts(long attempts, long failures, long timeouts, Histogram latenciesUs) {
        Tally t = new Tally();
        t.attempts = attempts;
        t.failures = failures;
        t.timeouts = timeouts;
        t.latenciesUs.add(latenciesUs);
        return t;
    }
}

package rushproxy.fleet.release;

import org.HdrHistogram.Histogram;

/**
 * What was seen of one group of servers in one stratum (a class in a zone) over some time: answers of all kinds, those that failed,
 * those that never came, and how long the good ones took. Adds up over sidecars and over time. One thread.
 */
public final class Tally {
    /** Two digits tell 1% apart; latencies above a minute count as one. */
    private static final long MOST_US = 60_000_000;

    private static final int DIGITS = 2;

    private long attempts;
    private long failures;
    private long timeouts;
    private final Histogram tookUs = new Histogram(1, MOST_US, DIGITS);

    /** An answer with success, after so many microseconds. */
    public void addSuccess(long us) {
        attempts++;
        tookUs.recordValue(Math.max(1, Math.min(MOST_US, us)));
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
        tookUs.add(other.tookUs);
    }

    /** What has come since an earlier state of the same tally; that of a process that has started anew counts from its start. */
    public Tally since(Tally before) {
        Tally d = new Tally();
        d.add(this);
        if (before != null
                && before.attempts <= attempts
                && before.failures <= failures
                && before.timeouts <= timeouts
                && before.tookUs.getTotalCount() <= tookUs.getTotalCount()) {
            d.attempts -= before.attempts;
            d.failures -= before.failures;
            d.timeouts -= before.timeouts;
            d.tookUs.subtract(before.tookUs);
        }
        return d;
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
        return tookUs.getTotalCount();
    }

    /** Good answers that took longer. */
    public long slowerThan(long us) {
        return us >= MOST_US ? 0 : tookUs.getTotalCount() - tookUs.getCountBetweenValues(0, us);
    }

    /** Microseconds that so many percent of the good answers took at most; 0 where there was none. */
    public long percentileUs(double percent) {
        return tookUs.getTotalCount() == 0 ? 0 : tookUs.getValueAtPercentile(percent);
    }

    Histogram histogram() {
        return tookUs;
    }

    static Tally of(long asked, long failed, long silent, Histogram tookUs) {
        Tally t = new Tally();
        t.attempts = asked;
        t.failures = failed;
        t.timeouts = silent;
        t.tookUs.add(tookUs);
        return t;
    }
}

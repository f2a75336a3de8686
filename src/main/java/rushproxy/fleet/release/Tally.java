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

    private long asked;
    private long failed;
    private long silent;
    private final Histogram tookUs = new Histogram(1, MOST_US, DIGITS);

    /** An answer with success, after so many microseconds. */
    public void good(long us) {
        asked++;
        tookUs.recordValue(Math.max(1, Math.min(MOST_US, us)));
    }

    public void failed() {
        asked++;
        failed++;
    }

    public void silent() {
        asked++;
        silent++;
    }

    public void add(Tally other) {
        asked += other.asked;
        failed += other.failed;
        silent += other.silent;
        tookUs.add(other.tookUs);
    }

    /** What has come since an earlier state of the same tally; that of a process that has started anew counts from its start. */
    public Tally since(Tally before) {
        Tally d = new Tally();
        d.add(this);
        if (before != null
                && before.asked <= asked
                && before.failed <= failed
                && before.silent <= silent
                && before.tookUs.getTotalCount() <= tookUs.getTotalCount()) {
            d.asked -= before.asked;
            d.failed -= before.failed;
            d.silent -= before.silent;
            d.tookUs.subtract(before.tookUs);
        }
        return d;
    }

    public long asked() {
        return asked;
    }

    public long failures() {
        return failed;
    }

    public long silences() {
        return silent;
    }

    public long answered() {
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
        t.asked = asked;
        t.failed = failed;
        t.silent = silent;
        t.tookUs.add(tookUs);
        return t;
    }
}

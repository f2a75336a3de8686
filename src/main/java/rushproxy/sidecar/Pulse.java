package rushproxy.sidecar;

/**
 * How far behind the event loop is. What is read after the loop was held up may have lain there since: its client has
 * waited for that time already, and counts it.
 */
final class Pulse {
    static final long BEAT_US = 50_000;
    /** Behind by this much after a beat, the loop may be the last to know who has gone and what drains: for 70 ms at most. */
    static final long LATE_US = 20_000;
    /** A timer of the loop's runs after its sockets have been looked at once more, however short it is. */
    static final long LOOK_MS = 1;

    /** A delay counts with seven eighths at each later beat: half of it is forgotten after a quarter of a second. */
    private static final int FORGET_SHIFT = 3;

    private long beatAtUs;
    private long recentUs;

    void beat(long now) {
        beatAtUs = now;
    }

    /** A beat came late by so much. */
    void delayed(long byUs) {
        recentUs = Math.max(byUs, recentUs - (recentUs >> FORGET_SHIFT));
    }

    /** How late the loop has come of late, the worst counting most; what is to be in time has to be begun sooner by this. */
    long recentUs() {
        return recentUs;
    }

    /** Time that the loop has not run for, as far as the beat that is due tells; 0 where none is. */
    long behindUs(long now) {
        return beatAtUs == 0 ? 0 : Math.max(0, now - beatAtUs - BEAT_US);
    }
}

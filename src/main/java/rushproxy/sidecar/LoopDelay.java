package rushproxy.sidecar;

/**
 * How late the event loop runs, by a heartbeat that it should get every {@link #BEAT_US}. What is read after a delay may have
 * lain in the kernel since: its client has waited for that time already, and counts it.
 */
final class LoopDelay {
    static final long BEAT_US = 50_000;
    /** After a delay of this much the sockets are read before the loop counts as being in time again. */
    static final long LATE_US = 20_000;
    /** The sockets are read once more before a timer of this length runs. */
    static final long LOOK_MS = 1;

    /** A recent delay counts for half after this. */
    private static final double HALF_LIFE_US = 250_000;

    private long beatAtUs;
    private long heldUpUs;
    private long recentUs;
    private long delayedAtUs;

    void beat(long now) {
        heldUpUs = heldUpUs(now);
        beatAtUs = now;
    }

    /** A heartbeat came late by so much. Several may come at once, the missed ones after a delay. */
    void delayed(long now, long byUs) {
        double left = Math.pow(0.5, Math.max(0, now - delayedAtUs) / HALF_LIFE_US);
        recentUs = Math.max(byUs, (long) (recentUs * left));
        delayedAtUs = now;
    }

    /** A decaying maximum of the delays: what is to be in time has to be begun sooner by this. */
    long recentUs() {
        return recentUs;
    }

    /**
     * For how long the loop has been held up in all: the sum of the delays of {@link #LATE_US} and more. The difference between two
     * moments is time in between that nobody else can be blamed for.
     */
    long heldUpUs(long now) {
        long behindUs = behindUs(now);
        return heldUpUs + (behindUs >= LATE_US ? behindUs : 0);
    }

    /** For how long the heartbeat that is due has been late; 0 where none is. */
    long behindUs(long now) {
        return beatAtUs == 0 ? 0 : Math.max(0, now - beatAtUs - BEAT_US);
    }
}

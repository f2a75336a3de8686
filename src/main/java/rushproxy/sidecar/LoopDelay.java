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

    /** At each heartbeat a recent delay loses a 32nd, so half of it in 1.1 s: hold-ups come in groups, some tenths of a second apart. */
    private static final int DECAY_SHIFT = 5;

    private long beatAtUs;
    private long recentUs;

    void beat(long now) {
        beatAtUs = now;
    }

    /** A heartbeat came late by so much. */
    void delayed(long byUs) {
        recentUs = Math.max(byUs, recentUs - (recentUs >> DECAY_SHIFT));
    }

    /** A decaying maximum of the delays: what is to be in time has to be begun sooner by this. */
    long recentUs() {
        return recentUs;
    }

    /** For how long the heartbeat that is due has been late; 0 where none is. */
    long behindUs(long now) {
        return beatAtUs == 0 ? 0 : Math.max(0, now - beatAtUs - BEAT_US);
    }
}

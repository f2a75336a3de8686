package rushproxy.sidecar;

/**
 * How late the event loop runs. A heartbeat that it should get every {@link #BEAT_US} tells of hold-ups: what is read after one may
 * have lain in the kernel since, and its client has waited for that time already. Each turn of the loop tells how late a time-out
 * would have run in it.
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
    /** Since when a time-out may have been due that has not run by the end of the last look at the sockets. */
    private long waitingSinceUs;
    /** When the last look at the sockets began. */
    private long lookedAtUs;

    void beat(long now) {
        heldUpUs = heldUpUs(now);
        beatAtUs = now;
    }

    /** The loop's first turn begins. */
    void begins(long now) {
        waitingSinceUs = now;
    }

    /**
     * The loop has looked at its sockets, and takes up its timers next: one that was due as the turn before began has waited for all of
     * that turn, and one for which the loop woke waits for another look.
     *
     * @param beganUs     when the loop began to look
     * @param idleUntilUs until when it had nothing to do but wait for sockets, by its timers; {@code beganUs} where it did not wait
     */
    void looked(long beganUs, long idleUntilUs, long now) {
        if (idleUntilUs > beganUs) {
            delayed(now, Math.max(beganUs - waitingSinceUs, now - idleUntilUs));
            waitingSinceUs = Math.min(now, idleUntilUs);
        } else {
            delayed(now, now - waitingSinceUs);
            waitingSinceUs = now;
        }
        lookedAtUs = beganUs;
    }

    /** Every socket has been looked at since then. */
    long lookedAtUs() {
        return lookedAtUs;
    }

    /** A time-out would have been late by so much. */
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

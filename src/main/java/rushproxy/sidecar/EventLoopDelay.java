package rushproxy.sidecar;

/**
 * How late the event loop runs. A heartbeat that it should get every {@link #HEARTBEAT_INTERVAL_US} tells of hold-ups: what is read after one may
 * have lain in the kernel since, and its client has waited for that time already. Each turn of the loop tells how late a time-out
 * would have run in it.
 */
final class EventLoopDelay {
    static final long HEARTBEAT_INTERVAL_US = 50_000;
    /** After a delay of this much the sockets are read before the loop counts as being in time again. */
    static final long STALL_THRESHOLD_US = 20_000;
    /** The sockets are read once more before a timer of this length runs. */
    static final long EXTRA_POLL_DELAY_MS = 1;

    /** A recent delay counts for half after this. */
    private static final double DECAY_HALF_LIFE_US = 250_000;

    private long lastHeartbeatUs;
    private long totalStallUs;
    private long recentDelayUs;
    private long recentDelayUpdatedUs;
    /** Since when a time-out may have been due that has not run by the end of the last look at the sockets. */
    private long timersDueSinceUs;
    /** When the last look at the sockets began. */
    private long lastPollStartUs;

    void recordHeartbeat(long now) {
        totalStallUs = totalStallUs(now);
        lastHeartbeatUs = now;
    }

    /** The loop's first turn begins. */
    void recordLoopStart(long now) {
        timersDueSinceUs = now;
    }

    /**
     * The loop has looked at its sockets, and takes up its timers next: one that was due as the turn before began has waited for all of
     * that turn, and one for which the loop woke waits for another look.
     *
     * @param beganUs     when the loop began to look
     * @param idleUntilUs until when it had nothing to do but wait for sockets, by its timers; {@code beganUs} where it did not wait
     */
    void recordPoll(long beganUs, long idleUntilUs, long now) {
        if (idleUntilUs > beganUs) {
            recordDelay(now, Math.max(beganUs - timersDueSinceUs, now - idleUntilUs));
            timersDueSinceUs = Math.min(now, idleUntilUs);
        } else {
            recordDelay(now, now - timersDueSinceUs);
            timersDueSinceUs = now;
        }
        lastPollStartUs = beganUs;
    }

    /** Every socket has been looked at since then. */
    long lastPollStartUs() {
        return lastPollStartUs;
    }

    /** A time-out would have been late by so much. */
    void recordDelay(long now, long byUs) {
        double left = Math.pow(0.5, Math.max(0, now - recentDelayUpdatedUs) / DECAY_HALF_LIFE_US);
        recentDelayUs = Math.max(byUs, (long) (recentDelayUs * left));
        recentDelayUpdatedUs = now;
    }

    /** A decaying maximum of the delays: what is to be in time has to be begun sooner by this. */
    long recentDelayUs() {
        return recentDelayUs;
    }

    /**
     * For how long the loop has been held up in all: the sum of the delays of {@link #STALL_THRESHOLD_US} and more. The difference between two
     * moments is time in between that nobody else can be blamed for.
     */
    long totalStallUs(long now) {
        long behindUs = heartbeatLagUs(now);
        return totalStallUs + (behindUs >= STALL_THRESHOLD_US ? behindUs : 0);
    }

    /** For how long the heartbeat that is due has been late; 0 where none is. */
    long heartbeatLagUs(long now) {
        return lastHeartbeatUs == 0 ? 0 : Math.max(0, now - lastHeartbeatUs - HEARTBEAT_INTERVAL_US);
    }
}

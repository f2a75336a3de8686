package rushproxy.sidecar;

/**
 * Measures how late the event loop runs. A heartbeat scheduled every {@link #HEARTBEAT_INTERVAL_US} detects stalls: data read after
 * one may have waited in the kernel since it began, and the client has waited as long. In addition, each iteration of the loop shows
 * how late a timer would have run in it.
 */
final class EventLoopDelay {
    static final long HEARTBEAT_INTERVAL_US = 50_000;
    /** A heartbeat this late is a stall, which lasts until the sockets have been polled again. */
    static final long STALL_THRESHOLD_US = 20_000;
    /** A timer with this delay runs after one more poll of the sockets. */
    static final long EXTRA_POLL_DELAY_MS = 1;

    /** The time in which the recent delay decays to half. */
    private static final double DECAY_HALF_LIFE_US = 250_000;

    private long lastHeartbeatUs;
    private long totalStallUs;
    private long recentDelayUs;
    private long recentDelayUpdatedUs;
    /** The earliest time at which a timer may have become due that had not run when the last poll ended. */
    private long timersDueSinceUs;

    private long lastPollStartUs;

    void recordHeartbeat(long nowUs) {
        totalStallUs = totalStallUs(nowUs);
        lastHeartbeatUs = nowUs;
    }

    /** The event loop starts its first iteration. */
    void recordLoopStart(long nowUs) {
        timersDueSinceUs = nowUs;
    }

    /**
     * Records a poll of the sockets, after which the loop runs its timers. A timer that became due when the previous iteration had
     * just started has waited for all of that iteration; one for which the loop woke up waits for the rest of this poll.
     *
     * @param startUs     when the poll started
     * @param idleUntilUs when the next timer was due, up to which the poll could block; {@code startUs} if it could not
     */
    void recordPoll(long startUs, long idleUntilUs, long nowUs) {
        if (idleUntilUs > startUs) {
            recordDelay(nowUs, Math.max(startUs - timersDueSinceUs, nowUs - idleUntilUs));
            timersDueSinceUs = Math.min(nowUs, idleUntilUs);
        } else {
            recordDelay(nowUs, nowUs - timersDueSinceUs);
            timersDueSinceUs = nowUs;
        }
        lastPollStartUs = startUs;
    }

    /** When the last poll started. Every socket has been polled since. */
    long lastPollStartUs() {
        return lastPollStartUs;
    }

    /** Records that a timer would have run late by {@code delayUs}. */
    void recordDelay(long nowUs, long delayUs) {
        double decay = Math.pow(0.5, Math.max(0, nowUs - recentDelayUpdatedUs) / DECAY_HALF_LIFE_US);
        recentDelayUs = Math.max(delayUs, (long) (recentDelayUs * decay));
        recentDelayUpdatedUs = nowUs;
    }

    /** The decaying maximum of the delays. Work with a deadline has to start earlier by this much. */
    long recentDelayUs() {
        return recentDelayUs;
    }

    /**
     * The total duration of all stalls so far: the sum of the heartbeat lags of at least {@link #STALL_THRESHOLD_US}. The difference
     * between two readings is the part of the interval that must not be attributed to clients or upstreams.
     */
    long totalStallUs(long nowUs) {
        long lagUs = heartbeatLagUs(nowUs);
        return totalStallUs + (lagUs >= STALL_THRESHOLD_US ? lagUs : 0);
    }

    /** How long the next heartbeat has been overdue; 0 if it is not. */
    long heartbeatLagUs(long nowUs) {
        return lastHeartbeatUs == 0 ? 0 : Math.max(0, nowUs - lastHeartbeatUs - HEARTBEAT_INTERVAL_US);
    }
}

package rushproxy.sidecar;

/**
 * Measures elapsed time with and without the stalls of this process's own event loop. Latencies and timeouts of upstreams must not
 * include stalls: an upstream may have responded in time while the loop could not read the response.
 */
final class StallAwareClock {
    /** A point in time, and the total duration of stalls up to it. */
    record Timestamp(long atUs, long totalStallUs) {}

    private final Clock clock;
    private final EventLoopDelay loopDelay;

    StallAwareClock(Clock clock, EventLoopDelay loopDelay) {
        this.clock = clock;
        this.loopDelay = loopDelay;
    }

    Clock clock() {
        return clock;
    }

    /** When the last poll started. Every socket of the loop has been polled since. */
    long lastPollStartUs() {
        return loopDelay.lastPollStartUs();
    }

    Timestamp timestamp() {
        long nowUs = clock.nowUs();
        return new Timestamp(nowUs, loopDelay.totalStallUs(nowUs));
    }

    long elapsedUs(Timestamp since) {
        return clock.nowUs() - since.atUs;
    }

    /** The elapsed time less the stalls. */
    long elapsedUnstalledUs(Timestamp since) {
        long nowUs = clock.nowUs();
        return Math.max(0, nowUs - since.atUs - (loopDelay.totalStallUs(nowUs) - since.totalStallUs));
    }

    /** Whether the loop was stalled for more than half of the elapsed time. */
    boolean wasMostlyStalled(Timestamp since) {
        return 2 * elapsedUnstalledUs(since) < elapsedUs(since);
    }
}

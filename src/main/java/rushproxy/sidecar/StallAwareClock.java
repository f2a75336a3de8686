package rushproxy.sidecar;

/**
 * Measures spans of time, and tells how much of each this process's own event loop was held up. What others are judged by (a latency,
 * a missing answer) must not contain that part: they may have done their work, and nobody was there to see it.
 */
final class StallAwareClock {
    /** A moment, and for how long the loop had been held up in all by then. */
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

    /** Every socket of the loop has been looked at since then. */
    long lastPollStartUs() {
        return loopDelay.lastPollStartUs();
    }

    Timestamp timestamp() {
        long now = clock.nowUs();
        return new Timestamp(now, loopDelay.totalStallUs(now));
    }

    long elapsedUs(Timestamp since) {
        return clock.nowUs() - since.atUs;
    }

    /** The part of the time since then in which the loop ran. */
    long elapsedUnstalledUs(Timestamp since) {
        long now = clock.nowUs();
        return Math.max(0, now - since.atUs - (loopDelay.totalStallUs(now) - since.totalStallUs));
    }

    /** Whether the loop was held up for more than half of the time since then. */
    boolean wasMostlyStalled(Timestamp since) {
        return 2 * elapsedUnstalledUs(since) < elapsedUs(since);
    }
}

package rushproxy.sidecar;

/**
 * Measures spans of time, and tells how much of each this process's own event loop was held up. What others are judged by (a latency,
 * a missing answer) must not contain that part: they may have done their work, and nobody was there to see it.
 */
final class RunningTime {
    /** A moment, and for how long the loop had been held up in all by then. */
    record Mark(long atUs, long heldUpUs) {}

    private final Clock clock;
    private final LoopDelay loopDelay;

    RunningTime(Clock clock, LoopDelay loopDelay) {
        this.clock = clock;
        this.loopDelay = loopDelay;
    }

    Clock clock() {
        return clock;
    }

    /** Every socket of the loop has been looked at since then. */
    long lookedAtUs() {
        return loopDelay.lookedAtUs();
    }

    Mark mark() {
        long now = clock.now();
        return new Mark(now, loopDelay.heldUpUs(now));
    }

    long passedUs(Mark since) {
        return clock.now() - since.atUs;
    }

    /** The part of the time since then in which the loop ran. */
    long runningUs(Mark since) {
        long now = clock.now();
        return Math.max(0, now - since.atUs - (loopDelay.heldUpUs(now) - since.heldUpUs));
    }

    /** Whether the loop was held up for more than half of the time since then. */
    boolean mostlyHeldUp(Mark since) {
        return 2 * runningUs(since) < passedUs(since);
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How much of a span the loop was held up, by its heartbeats. */
class RunningTimeTest {
    private static final long BEAT = LoopDelay.BEAT_US;
    private final LoopDelay loopDelay = new LoopDelay();

    @Test
    void beatsInTimeAreNoHoldUp() {
        for (int beat = 1; beat <= 20; beat++) {
            loopDelay.beat(beat * BEAT + (beat % 2) * (LoopDelay.LATE_US - 1));
        }
        assertEquals(0, loopDelay.heldUpUs(21 * BEAT));
    }

    @Test
    void aHoldUpIsSeenBeforeItsBeatAndCountedOnce() {
        loopDelay.beat(BEAT);
        assertEquals(0, loopDelay.heldUpUs(2 * BEAT + LoopDelay.LATE_US - 1));
        assertEquals(900_000, loopDelay.heldUpUs(2 * BEAT + 900_000));
        loopDelay.beat(2 * BEAT + 901_000);
        assertEquals(901_000, loopDelay.heldUpUs(2 * BEAT + 901_000));
        loopDelay.beat(3 * BEAT + 901_000);
        assertEquals(901_000, loopDelay.heldUpUs(4 * BEAT + 901_000));
    }

    @Test
    void twoHoldUpsAddUp() {
        loopDelay.beat(BEAT);
        loopDelay.beat(2 * BEAT + 100_000);
        loopDelay.beat(3 * BEAT + 300_000);
        assertEquals(300_000, loopDelay.heldUpUs(3 * BEAT + 300_000));
    }

    @Test
    void beforeTheFirstBeatNothingIsLate() {
        assertEquals(0, loopDelay.heldUpUs(5_000_000));
    }
}

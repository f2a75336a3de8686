package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How much of a span the loop was held up, by its heartbeats. */
class StallAwareClockTest {
    private static final long BEAT = EventLoopDelay.HEARTBEAT_INTERVAL_US;
    private final EventLoopDelay loopDelay = new EventLoopDelay();

    @Test
    void beatsInTimeAreNoHoldUp() {
        for (int beat = 1; beat <= 20; beat++) {
            loopDelay.recordHeartbeat(beat * BEAT + (beat % 2) * (EventLoopDelay.STALL_THRESHOLD_US - 1));
        }
        assertEquals(0, loopDelay.totalStallUs(21 * BEAT));
    }

    @Test
    void aHoldUpIsSeenBeforeItsBeatAndCountedOnce() {
        loopDelay.recordHeartbeat(BEAT);
        assertEquals(0, loopDelay.totalStallUs(2 * BEAT + EventLoopDelay.STALL_THRESHOLD_US - 1));
        assertEquals(900_000, loopDelay.totalStallUs(2 * BEAT + 900_000));
        loopDelay.recordHeartbeat(2 * BEAT + 901_000);
        assertEquals(901_000, loopDelay.totalStallUs(2 * BEAT + 901_000));
        loopDelay.recordHeartbeat(3 * BEAT + 901_000);
        assertEquals(901_000, loopDelay.totalStallUs(4 * BEAT + 901_000));
    }

    @Test
    void twoHoldUpsAddUp() {
        loopDelay.recordHeartbeat(BEAT);
        loopDelay.recordHeartbeat(2 * BEAT + 100_000);
        loopDelay.recordHeartbeat(3 * BEAT + 300_000);
        assertEquals(300_000, loopDelay.totalStallUs(3 * BEAT + 300_000));
    }

    @Test
    void beforeTheFirstBeatNothingIsLate() {
        assertEquals(0, loopDelay.totalStallUs(5_000_000));
    }
}

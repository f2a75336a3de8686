package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Stalls are derived from the heartbeats of the loop. */
class StallAwareClockTest {
    private static final long HEARTBEAT_US = EventLoopDelay.HEARTBEAT_INTERVAL_US;
    private final EventLoopDelay loopDelay = new EventLoopDelay();

    @Test
    void heartbeatsInTimeAreNoStall() {
        for (int i = 1; i <= 20; i++) {
            loopDelay.recordHeartbeat(i * HEARTBEAT_US + (i % 2) * (EventLoopDelay.STALL_THRESHOLD_US - 1));
        }
        assertEquals(0, loopDelay.totalStallUs(21 * HEARTBEAT_US));
    }

    @Test
    void aStallIsVisibleBeforeTheHeartbeatAndCountedOnce() {
        loopDelay.recordHeartbeat(HEARTBEAT_US);
        assertEquals(0, loopDelay.totalStallUs(2 * HEARTBEAT_US + EventLoopDelay.STALL_THRESHOLD_US - 1));
        assertEquals(900_000, loopDelay.totalStallUs(2 * HEARTBEAT_US + 900_000));
        loopDelay.recordHeartbeat(2 * HEARTBEAT_US + 901_000);
        assertEquals(901_000, loopDelay.totalStallUs(2 * HEARTBEAT_US + 901_000));
        loopDelay.recordHeartbeat(3 * HEARTBEAT_US + 901_000);
        assertEquals(901_000, loopDelay.totalStallUs(4 * HEARTBEAT_US + 901_000));
    }

    @Test
    void stallsAddUp() {
        loopDelay.recordHeartbeat(HEARTBEAT_US);
        loopDelay.recordHeartbeat(2 * HEARTBEAT_US + 100_000);
        loopDelay.recordHeartbeat(3 * HEARTBEAT_US + 300_000);
        assertEquals(300_000, loopDelay.totalStallUs(3 * HEARTBEAT_US + 300_000));
    }

    @Test
    void nothingIsLateBeforeTheFirstHeartbeat() {
        assertEquals(0, loopDelay.totalStallUs(5_000_000));
    }
}

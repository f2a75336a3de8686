package rushproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.Limits;
import rushproxy.Balancer.LoadReporting;
import rushproxy.Balancer.Prices;
import rushproxy.Balancer.Rules;
import rushproxy.Balancer.Settings;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;
import rushproxy.PolicyState.Server;
import rushproxy.PolicyState.ServerKind;

/** What one of several sidecars may send to a server that has just started, also with slow connection setup. */
class SlowStartTest {
    private static final long WINDOW_US = 1_000_000;
    private static final long RAMP_US = 8_000_000;
    private static final long STARTED_AT_US = 100_000_000;
    private static final double WORK_US = 100_000;
    private static final int SIDECARS = 10;

    private final SlowStart slowStart = new SlowStart(settings(0), false);
    private final Server server = server();

    private static Settings settings(int sidecarIndex) {
        return settings(sidecarIndex, WINDOW_US);
    }

    private static Settings settings(int sidecarIndex, long windowUs) {
        return new Settings(
                sidecarIndex,
                SIDECARS,
                "a",
                List.of("a"),
                List.of("k"),
                List.of(),
                List.of(),
                new Limits(3, true, true, false, false, true, 0, 5_000_000, 0),
                new Rules(0, 0.2, RAMP_US, 3, windowUs, 0, 0, 0),
                LoadReporting.NONE,
                false,
                true,
                0,
                new Prices(0, 0, 0, 0, 0),
                1_000);
    }

    private static Server server() {
        Server s = new Server(
                new Upstream("s", "a", "k", 0, STARTED_AT_US, 1, UpstreamState.READY), new ServerKind(1), 0, 0);
        s.startedAt = STARTED_AT_US;
        return s;
    }

    /** The first slot (half a window) from {@code from} on that is this sidecar's turn, or is not. */
    private long findSlot(boolean hasRoom, long from) {
        for (long at = from; at < STARTED_AT_US + RAMP_US; at += WINDOW_US / 2) {
            if (slowStart.canSend(at, server, WORK_US, WORK_US) == hasRoom) {
                return at;
            }
        }
        throw new AssertionError("no slot with hasRoom " + hasRoom);
    }

    @Test
    void allSidecarsKeepWithinAThirdOfTheBudgetPerSlot() {
        for (long at = STARTED_AT_US; at < STARTED_AT_US + RAMP_US; at += WINDOW_US / 2) {
            int sent = 0;
            for (int sidecarIndex = 0; sidecarIndex < SIDECARS; sidecarIndex++) {
                SlowStart one = new SlowStart(settings(sidecarIndex), false);
                Server own = server();
                while (one.canSend(at, own, WORK_US, WORK_US)) {
                    one.recordSend(at, own, WORK_US);
                    sent++;
                }
            }
            double capacity = slowStart.capacityFraction(server, at) / server.slowness();
            assertTrue(
                    sent * WORK_US <= 3 * capacity * WINDOW_US / 3, sent + " in the slot of " + (at - STARTED_AT_US));
        }
    }

    @Test
    void attemptThatStartsInItsSlotOrSoonAfterIsAllowed() {
        long at = findSlot(true, STARTED_AT_US);
        slowStart.recordSend(at, server, WORK_US);
        assertTrue(slowStart.canStart(at + WINDOW_US / 3, server, at, WORK_US, WORK_US));
        long end = at + WINDOW_US / 2;
        assertTrue(slowStart.canStart(end + 1_000, server, end - 1_000, WORK_US, WORK_US));
    }

    @Test
    void attemptThatStartsInALaterSlotIsChargedThere() {
        long sentAt = findSlot(true, STARTED_AT_US);
        long full = findSlot(false, sentAt + WINDOW_US / 2);
        assertFalse(
                slowStart.canStart(full + WINDOW_US / 4, server, sentAt, WORK_US, WORK_US), "another sidecar's turn");
        long free = findSlot(true, full);
        assertTrue(slowStart.canStart(free + WINDOW_US / 4, server, sentAt, WORK_US, WORK_US));
        double sent = server.slowStartWorkUs;
        assertEquals(WORK_US, sent);
        assertFalse(
                slowStart.canStart(free + WINDOW_US / 4, server, sentAt, 10 * WORK_US, WORK_US),
                "this sidecar's part is used");
    }

    @Test
    void warmServerIsNotLimited() {
        assertTrue(slowStart.canStart(STARTED_AT_US + RAMP_US, server, STARTED_AT_US, WORK_US, WORK_US));
        assertTrue(slowStart.canSend(STARTED_AT_US + RAMP_US, server, 100 * WORK_US, WORK_US));
    }

    /** Guards against a division by zero: half of a window of 1 us is 0. */
    @Test
    void shortestWindowIsOneMicrosecond() {
        SlowStart shortest = new SlowStart(settings(0, 1), false);
        shortest.recordSend(STARTED_AT_US + RAMP_US, server, WORK_US);
        assertTrue(shortest.canSend(STARTED_AT_US + RAMP_US, server, WORK_US, WORK_US));
    }
}

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

/** What one of several sidecars may send to a server that has just started, also where a connection takes its time. */
class SlowStartTest {
    private static final long WINDOW_US = 1_000_000;
    private static final long RAMP_US = 8_000_000;
    private static final long STARTED = 100_000_000;
    private static final double WORK = 100_000;
    private static final int SIDECARS = 10;

    private final SlowStart slowStart = new SlowStart(settings(0), false);
    private final Server server = server();

    private static Settings settings(int me) {
        return settings(me, WINDOW_US);
    }

    private static Settings settings(int me, long windowUs) {
        return new Settings(
                me,
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
        Server s = new Server(new Upstream("s", "a", "k", 0, STARTED, 1, UpstreamState.READY), new ServerKind(1), 0, 0);
        s.startedAt = STARTED;
        return s;
    }

    /** Half a window, a slot, after the other: in some the turn is this sidecar's, in others not. */
    private long slotWith(boolean room, long from) {
        for (long at = from; at < STARTED + RAMP_US; at += WINDOW_US / 2) {
            if (slowStart.canSend(at, server, WORK, WORK) == room) {
                return at;
            }
        }
        throw new AssertionError("no slot with room " + room);
    }

    @Test
    void inEachSlotAllSidecarsTogetherKeepWithinAThirdOfTheBudget() {
        for (long at = STARTED; at < STARTED + RAMP_US; at += WINDOW_US / 2) {
            int sent = 0;
            for (int me = 0; me < SIDECARS; me++) {
                SlowStart one = new SlowStart(settings(me), false);
                Server own = server();
                while (one.canSend(at, own, WORK, WORK)) {
                    one.recordSend(at, own, WORK);
                    sent++;
                }
            }
            double capacity = slowStart.capacityFraction(server, at) / server.slowness();
            assertTrue(sent * WORK <= 3 * capacity * WINDOW_US / 3, sent + " in the slot of " + (at - STARTED));
        }
    }

    @Test
    void whatBeginsInItsSlotOrAtOnceIsNotAskedAgain() {
        long at = slotWith(true, STARTED);
        slowStart.recordSend(at, server, WORK);
        assertTrue(slowStart.canStart(at + WINDOW_US / 3, server, at, WORK, WORK));
        long end = at + WINDOW_US / 2;
        assertTrue(slowStart.canStart(end + 1_000, server, end - 1_000, WORK, WORK));
    }

    @Test
    void whatBeginsInALaterSlotNeedsRoomThereAndTakesIt() {
        long sentAt = slotWith(true, STARTED);
        long full = slotWith(false, sentAt + WINDOW_US / 2);
        assertFalse(slowStart.canStart(full + WINDOW_US / 4, server, sentAt, WORK, WORK), "another sidecar's turn");
        long free = slotWith(true, full);
        assertTrue(slowStart.canStart(free + WINDOW_US / 4, server, sentAt, WORK, WORK));
        double sent = server.slowStartWorkUs;
        assertEquals(WORK, sent);
        assertFalse(slowStart.canStart(free + WINDOW_US / 4, server, sentAt, 10 * WORK, WORK), "its part is used");
    }

    @Test
    void aWarmServerIsNotBounded() {
        assertTrue(slowStart.canStart(STARTED + RAMP_US, server, STARTED, WORK, WORK));
        assertTrue(slowStart.canSend(STARTED + RAMP_US, server, 100 * WORK, WORK));
    }

    /** A window of a microsecond has no half: each request of such a sidecar failed, by a division by zero. */
    @Test
    void theShortestWindowIsOne() {
        SlowStart shortest = new SlowStart(settings(0, 1), false);
        shortest.recordSend(STARTED + RAMP_US, server, WORK);
        assertTrue(shortest.canSend(STARTED + RAMP_US, server, WORK, WORK));
    }
}

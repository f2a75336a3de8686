package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** Work counts as sent by who knew of the start by what its sender knew when it sent it, as long as it is in the window. */
class ColdBudgetTest {
    private static final long STARTED_MS = 77;

    private static Observation seen(long us, EventType what, String id, String text, double number, long sinceUs) {
        return new Observation(us, what, "n0", "s0", id, null, text, number, sinceUs);
    }

    /** So much work within one window that no server may be sent it, the sender told in the middle of it. */
    private static int violations(long toldUs, long firstByteUs) {
        return violations(toldUs, firstByteUs, firstByteUs);
    }

    private static int violations(long toldUs, long earliestUs, long latestUs) {
        List<Observation> all = new ArrayList<>();
        all.add(seen(0, EventType.SERVER_STARTED, null, "cold", STARTED_MS, 0));
        all.add(seen(toldUs, EventType.TOLD, null, "Ready", STARTED_MS, 0));
        all.add(new Observation(2_000, EventType.GOT, "n0", "s0", "a", null, null, 1e9, latestUs, earliestUs, 0));
        all.sort(java.util.Comparator.comparingLong(Observation::us));
        return new ColdBudget().check(new Run(Seen.scenario(), all)).size();
    }

    @Test
    void whatWasSentBeforeTheNewsIsNoFaultOfItsSender() {
        assertEquals(1, violations(1_000, 1_500));
        assertEquals(0, violations(1_000, 900));
        assertEquals(0, violations(3_000, 1_500));
    }

    /** Guards against counting as told in time who may have sent before, and was read late. */
    @Test
    void whatMayHaveBeenSentBeforeTheNewsIsNoFaultOfItsSender() {
        assertEquals(0, violations(1_000, 999, 1_900));
        assertEquals(1, violations(1_000, 1_000, 1_900));
    }
}

package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** Whether a sender knew of the start of a server is determined for the time at which it sent the work. */
class ColdStartCheckerTest {
    private static final long STARTED_MS = 77;

    private static Observation observation(
            long us, EventType what, String id, String text, double number, long sinceUs) {
        return new Observation(us, what, "n0", "s0", id, null, text, number, sinceUs);
    }

    /** Violations for one request that exceeds every budget, received at 2 ms. */
    private static int violations(long informedAtUs, long firstByteUs) {
        return violations(informedAtUs, firstByteUs, firstByteUs);
    }

    private static int violations(long informedAtUs, long earliestUs, long latestUs) {
        List<Observation> all = new ArrayList<>();
        all.add(observation(0, EventType.SERVER_STARTED, null, "cold", STARTED_MS, 0));
        all.add(observation(informedAtUs, EventType.TOLD, null, "Ready", STARTED_MS, 0));
        all.add(new Observation(2_000, EventType.GOT, "n0", "s0", "a", null, null, 1e9, latestUs, earliestUs, 0));
        all.sort(java.util.Comparator.comparingLong(Observation::us));
        return new ColdStartChecker()
                .check(new RecordedRun(RecordedRunBuilder.scenario(), all))
                .size();
    }

    @Test
    void workSentBeforeDiscoveryUpdateIsAllowed() {
        assertEquals(1, violations(1_000, 1_500));
        assertEquals(0, violations(1_000, 900));
        assertEquals(0, violations(3_000, 1_500));
    }

    /** Guards against counting work that may have been sent before the update and was only read late by the laboratory. */
    @Test
    void workPossiblySentBeforeDiscoveryUpdateIsAllowed() {
        assertEquals(0, violations(1_000, 999, 1_900));
        assertEquals(1, violations(1_000, 1_000, 1_900));
    }
}

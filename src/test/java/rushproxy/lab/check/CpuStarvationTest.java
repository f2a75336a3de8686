package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * A lost request is attributed to the machine if the event loop of the laboratory or of its sidecar waited for a processor for most of the
 * request's time. With eight busy processes on the same three cores the laboratory took 0.05 to 0.29 s for the 4 ms of work of a server
 * and wrongly reported the sidecars as late.
 */
class CpuStarvationTest {
    private static final long ASKED_US = 1_000_000;
    private static final long LOST_US = 1_900_000;

    private static Observation waited(String node, long sinceUs, long untilUs, double ms) {
        return new Observation(untilUs, EventType.WAITED, node, null, null, null, null, ms, sinceUs);
    }

    private static boolean explained(String rule, Observation... waits) {
        List<Observation> all = new ArrayList<>(List.of(waits));
        all.add(new Observation(ASKED_US, EventType.ASKED, "n0", null, "a", "a", "read", 800, ASKED_US));
        return new CpuStarvation(new RecordedRun(RecordedRunBuilder.scenario(), all))
                .explains(new Violation(rule, LOST_US, "a", "got no response before its deadline"));
    }

    @Test
    void waitForMostOfRequestTimeExplainsLoss() {
        assertEquals(true, explained("lost", waited(null, ASKED_US, LOST_US, 451)));
        assertEquals(true, explained("lost", waited("n0", ASKED_US, LOST_US, 451)));
        assertEquals(false, explained("lost", waited(null, ASKED_US, LOST_US, 449)));
        assertEquals(false, explained("lost"));
    }

    @Test
    void waitAtOtherTimeOrOfOtherSidecarExplainsNothing() {
        assertEquals(false, explained("lost", waited("n1", ASKED_US, LOST_US, 900)));
        assertEquals(
                false, explained("lost", waited(null, 0, ASKED_US, 1_000), waited(null, LOST_US, 3_000_000, 1_000)));
        assertEquals(false, explained("lost", waited(null, 0, 1_400_000, 1_400)));
    }

    @Test
    void otherRulesAreNeverExplained() {
        assertEquals(false, explained("twice", waited(null, ASKED_US, LOST_US, 900)));
    }

    /** Guards against excusing closed connections and second responses, which only a running process can cause. */
    @Test
    void brokenConnectionAndExtraResponseAreNeverExplained() {
        for (EventType what : List.of(EventType.BROKE, EventType.ANSWERED)) {
            RecordedRun run = new RecordedRun(
                    RecordedRunBuilder.scenario(),
                    List.of(
                            new Observation(ASKED_US, EventType.ASKED, "n0", null, "a", "a", "read", 800, ASKED_US),
                            waited("n0", ASKED_US, LOST_US, 900),
                            new Observation(LOST_US, what, "n0", null, "a", "a", "closed", 0, ASKED_US)));
            assertEquals(false, new CpuStarvation(run).explains(new Violation("lost", LOST_US, "a", "")));
        }
    }

    /** The kernel accounts for a wait when it ends: one of 0.6 s is reported in the next 0.1 s sample, here after the client gave up. */
    @Test
    void longWaitCountsFromItsStart() {
        assertEquals(true, explained("lost", waited("n0", LOST_US, LOST_US + 100_000, 600)));
        assertEquals(false, explained("lost", waited("n0", LOST_US, LOST_US + 100_000, 500)));
    }
}

package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * A loss is the machine's where the laboratory's loop or the request's sidecar waited for a processor for most of its time. Beside eight
 * busy processes on the same three cores the laboratory took 0.05 to 0.29 s for what a server does in 4 ms, and called the sidecars late.
 */
class StarvationTest {
    private static final long ASKED_US = 1_000_000;
    private static final long LOST_US = 1_900_000;

    private static Observation waited(String node, long sinceUs, long untilUs, double ms) {
        return new Observation(untilUs, EventType.WAITED, node, null, null, null, null, ms, sinceUs);
    }

    private static boolean explained(String rule, Observation... waits) {
        List<Observation> all = new ArrayList<>(List.of(waits));
        all.add(new Observation(ASKED_US, EventType.ASKED, "n0", null, "a", "a", "read", 800, ASKED_US));
        return new Starvation(new Run(Seen.scenario(), all))
                .explains(new Violation(rule, LOST_US, "a", "got no answer in its time"));
    }

    @Test
    void mostOfItsTimeExplainsALoss() {
        assertEquals(true, explained("lost", waited(null, ASKED_US, LOST_US, 451)));
        assertEquals(true, explained("lost", waited("n0", ASKED_US, LOST_US, 451)));
        assertEquals(false, explained("lost", waited(null, ASKED_US, LOST_US, 449)));
        assertEquals(false, explained("lost"));
    }

    @Test
    void otherTimesAndOtherSidecarsExplainNothing() {
        assertEquals(false, explained("lost", waited("n1", ASKED_US, LOST_US, 900)));
        assertEquals(
                false, explained("lost", waited(null, 0, ASKED_US, 1_000), waited(null, LOST_US, 3_000_000, 1_000)));
        assertEquals(false, explained("lost", waited(null, 0, 1_400_000, 1_400)));
    }

    @Test
    void whatMustNotBeDoneIsNeverTheMachines() {
        assertEquals(false, explained("twice", waited(null, ASKED_US, LOST_US, 900)));
    }

    /** Guards against a sidecar that closes connections, or answers twice, and has no processor meanwhile: both are its own doing. */
    @Test
    void whatSomebodyDidIsNeverTheMachines() {
        for (EventType done : List.of(EventType.BROKE, EventType.ANSWERED)) {
            Run run = new Run(
                    Seen.scenario(),
                    List.of(
                            new Observation(ASKED_US, EventType.ASKED, "n0", null, "a", "a", "read", 800, ASKED_US),
                            waited("n0", ASKED_US, LOST_US, 900),
                            new Observation(LOST_US, done, "n0", null, "a", "a", "closed", 0, ASKED_US)));
            assertEquals(false, new Starvation(run).explains(new Violation("lost", LOST_US, "a", "")));
        }
    }

    /** The kernel counts a wait when it ends: one of 0.6 s is noted in the 0.1 s after it, here after the request was given up. */
    @Test
    void aLongWaitCountsFromItsBegin() {
        assertEquals(true, explained("lost", waited("n0", LOST_US, LOST_US + 100_000, 600)));
        assertEquals(false, explained("lost", waited("n0", LOST_US, LOST_US + 100_000, 500)));
    }
}

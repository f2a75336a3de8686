package rushproxy.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.lab.scenario.Scenario;

/** The model of an upstream against what its description promises, with a written clock. */
class UpstreamModelTest {
    private static final Scenario.Rules RULES = new Scenario.Rules(500_000, 0.5, 10_000_000, 3, 1_000_000, 0);

    private static Scenario.Servers spec(double cores, double speed, int slots, int queue, double crowding) {
        return new Scenario.Servers(
                1, "k", List.of("a"), 1, cores, speed, slots, queue, crowding, 0.5, 2_000_000, 10, 100, 0, "none");
    }

    private static UpstreamModel warm(Scenario.Servers spec) {
        return new UpstreamModel(spec, RULES, -RULES.rampUs());
    }

    /** Runs it until all is done; the ends in microseconds, by tag. */
    private static List<String> ends(UpstreamModel m) {
        List<String> ends = new ArrayList<>();
        for (long at; (at = m.nextEventUs()) != Long.MAX_VALUE; ) {
            for (UpstreamModel.Job job : m.takeCompleted(at)) {
                ends.add(job.tag + "@" + at);
            }
        }
        return ends;
    }

    @Test
    void requestsInWorkShareTheCores() {
        UpstreamModel m = warm(spec(2, 2, 4, 0, 0));
        for (String tag : List.of("a", "b", "c", "d")) {
            assertNotNull(m.submit(0, 10, -1, tag));
        }
        assertNull(m.submit(0, 10, -1, "full"));
        // Four share two cores of speed 2: a core's worth each, so 10 ms take 10.
        assertEquals(List.of("a@10000", "b@10000", "c@10000", "d@10000"), ends(m));
    }

    @Test
    void whatHasNoSlotWaits() {
        UpstreamModel m = warm(spec(1, 1, 1, 1, 0));
        m.submit(0, 10, -1, "first");
        UpstreamModel.Job second = m.submit(4_000, 10, -1, "second");
        assertEquals(-1, second.startedUs());
        assertEquals(List.of("first@10000", "second@20000"), ends(m));
        assertEquals(10_000, second.startedUs());
    }

    @Test
    void crowdingCostsCapacity() {
        UpstreamModel m = warm(spec(1, 1, 2, 0, 0.5));
        m.submit(0, 10, -1, "a");
        m.submit(0, 10, -1, "b");
        // Two on one core, half of it lost: each gets a third.
        assertEquals(List.of("a@30000", "b@30000"), ends(m));
    }

    @Test
    void aKeyThatWasMetLatelyNeedsLess() {
        UpstreamModel m = warm(spec(1, 1, 1, 9, 0));
        m.submit(0, 10, 7, "cold");
        m.submit(0, 10, 7, "warm");
        assertEquals(List.of("cold@10000", "warm@15000"), ends(m));
        m.submit(2_000_001, 10, 7, "old");
        assertEquals(List.of("old@2010001"), ends(m));
    }

    @Test
    void aColdOneIsSlowAndWarmsUp() {
        UpstreamModel m = new UpstreamModel(spec(1, 1, 1, 0, 0), RULES, 0);
        assertEquals(0.5, m.warmUpFraction(0));
        assertEquals(0.75, m.warmUpFraction(5_000_000));
        assertEquals(1, m.warmUpFraction(10_000_000));
        assertEquals(750, m.capacityMsPerS(5_000_000));
        m.submit(0, 10, -1, "a");
        assertEquals(List.of("a@20000"), ends(m));
    }

    /** Half of its capacity for 1 s is 500 ms of work, three times that is allowed; what it turns away presses too. */
    @Test
    void aColdOneIsPushedOverBySheerWorkAndAWarmOneIsNot() {
        UpstreamModel cold = new UpstreamModel(spec(1, 1, 1, 0, 0), RULES, 0);
        UpstreamModel warm = warm(spec(1, 1, 1, 0, 0));
        for (int i = 0; i < 15; i++) {
            cold.submit(i, 100, -1, i);
            warm.submit(i, 100, -1, i);
        }
        assertFalse(cold.hasCollapsed());
        cold.submit(20, 100, -1, "too much");
        warm.submit(20, 100, -1, "too much");
        assertTrue(cold.hasCollapsed());
        assertFalse(warm.hasCollapsed());
    }

    @Test
    void aHungOneTakesWorkAndEndsNoneUntilItIsOver() {
        UpstreamModel m = warm(spec(1, 1, 2, 0, 0));
        m.submit(0, 10, -1, "a");
        m.setHung(5_000, true);
        assertEquals(Long.MAX_VALUE, m.nextEventUs());
        assertEquals(List.of(), m.takeCompleted(60_000));
        m.setHung(60_000, false);
        assertEquals(List.of("a@65000"), ends(m));
    }

    @Test
    void whatEndsAtAChangeOfSpeedIsNotLost() {
        UpstreamModel m = warm(spec(1, 1, 1, 0, 0));
        m.submit(0, 10, -1, "a");
        m.setSlowdownFactor(10_000, 2);
        assertEquals(1, m.takeCompleted(10_000).size());
    }
}

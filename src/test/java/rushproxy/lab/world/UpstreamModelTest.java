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

    private static Scenario.ServerGroup spec(double cores, double speed, int slots, int queue, double crowding) {
        return new Scenario.ServerGroup(
                1, "k", List.of("a"), 1, cores, speed, slots, queue, crowding, 0.5, 2_000_000, 10, 100, 0, "none");
    }

    private static UpstreamModel warm(Scenario.ServerGroup spec) {
        return new UpstreamModel(spec, RULES, -RULES.rampUs());
    }

    /** Runs it until all is done; the ends in microseconds, by tag. */
    private static List<String> ends(UpstreamModel m) {
        List<String> ends = new ArrayList<>();
        for (long at; (at = m.nextUs()) != Long.MAX_VALUE; ) {
            for (UpstreamModel.Job job : m.done(at)) {
                ends.add(job.tag + "@" + at);
            }
        }
        return ends;
    }

    @Test
    void requestsInWorkShareTheCores() {
        UpstreamModel m = warm(spec(2, 2, 4, 0, 0));
        for (String tag : List.of("a", "b", "c", "d")) {
            assertNotNull(m.arrive(0, 10, -1, tag));
        }
        assertNull(m.arrive(0, 10, -1, "full"));
        // Four share two cores of speed 2: a core's worth each, so 10 ms take 10.
        assertEquals(List.of("a@10000", "b@10000", "c@10000", "d@10000"), ends(m));
    }

    @Test
    void whatHasNoSlotWaits() {
        UpstreamModel m = warm(spec(1, 1, 1, 1, 0));
        m.arrive(0, 10, -1, "first");
        UpstreamModel.Job second = m.arrive(4_000, 10, -1, "second");
        assertEquals(-1, second.startedUs());
        assertEquals(List.of("first@10000", "second@20000"), ends(m));
        assertEquals(10_000, second.startedUs());
    }

    @Test
    void crowdingCostsCapacity() {
        UpstreamModel m = warm(spec(1, 1, 2, 0, 0.5));
        m.arrive(0, 10, -1, "a");
        m.arrive(0, 10, -1, "b");
        // Two on one core, half of it lost: each gets a third.
        assertEquals(List.of("a@30000", "b@30000"), ends(m));
    }

    @Test
    void aKeyThatWasMetLatelyNeedsLess() {
        UpstreamModel m = warm(spec(1, 1, 1, 9, 0));
        m.arrive(0, 10, 7, "cold");
        m.arrive(0, 10, 7, "warm");
        assertEquals(List.of("cold@10000", "warm@15000"), ends(m));
        m.arrive(2_000_001, 10, 7, "old");
        assertEquals(List.of("old@2010001"), ends(m));
    }

    @Test
    void aColdOneIsSlowAndWarmsUp() {
        UpstreamModel m = new UpstreamModel(spec(1, 1, 1, 0, 0), RULES, 0);
        assertEquals(0.5, m.warmth(0));
        assertEquals(0.75, m.warmth(5_000_000));
        assertEquals(1, m.warmth(10_000_000));
        assertEquals(750, m.capacityMsPerS(5_000_000));
        m.arrive(0, 10, -1, "a");
        assertEquals(List.of("a@20000"), ends(m));
    }

    /** Half of its capacity for 1 s is 500 ms of work, three times that is allowed; what it turns away presses too. */
    @Test
    void aColdOneIsPushedOverBySheerWorkAndAWarmOneIsNot() {
        UpstreamModel cold = new UpstreamModel(spec(1, 1, 1, 0, 0), RULES, 0);
        UpstreamModel warm = warm(spec(1, 1, 1, 0, 0));
        for (int i = 0; i < 15; i++) {
            cold.arrive(i, 100, -1, i);
            warm.arrive(i, 100, -1, i);
        }
        assertFalse(cold.fallen());
        cold.arrive(20, 100, -1, "too much");
        warm.arrive(20, 100, -1, "too much");
        assertTrue(cold.fallen());
        assertFalse(warm.fallen());
    }

    @Test
    void aHungOneTakesWorkAndEndsNoneUntilItIsOver() {
        UpstreamModel m = warm(spec(1, 1, 2, 0, 0));
        m.arrive(0, 10, -1, "a");
        m.hang(5_000, true);
        assertEquals(Long.MAX_VALUE, m.nextUs());
        assertEquals(List.of(), m.done(60_000));
        m.hang(60_000, false);
        assertEquals(List.of("a@65000"), ends(m));
    }

    @Test
    void whatEndsAtAChangeOfSpeedIsNotLost() {
        UpstreamModel m = warm(spec(1, 1, 1, 0, 0));
        m.arrive(0, 10, -1, "a");
        m.slow(10_000, 2);
        assertEquals(1, m.done(10_000).size());
    }
}

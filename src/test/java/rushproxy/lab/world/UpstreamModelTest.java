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

/** Checks the upstream model's scheduling, queueing, warm-up and collapse with explicit times. */
class UpstreamModelTest {
    private static final Scenario.Rules RULES = new Scenario.Rules(500_000, 0.5, 10_000_000, 3, 1_000_000, 0);

    private static Scenario.ServerGroup spec(double cores, double speed, int slots, int queue, double crowding) {
        return new Scenario.ServerGroup(
                1, "k", List.of("a"), 1, cores, speed, slots, queue, crowding, 0.5, 2_000_000, 10, 100, 0, "none");
    }

    private static UpstreamModel warm(Scenario.ServerGroup spec) {
        return new UpstreamModel(spec, RULES, -RULES.rampUs());
    }

    /** Runs the model until it is idle; returns each request's tag and completion time in microseconds. */
    private static List<String> completions(UpstreamModel model) {
        List<String> completions = new ArrayList<>();
        for (long at; (at = model.nextEventUs()) != Long.MAX_VALUE; ) {
            for (UpstreamModel.Job job : model.takeCompleted(at)) {
                completions.add(job.tag + "@" + at);
            }
        }
        return completions;
    }

    @Test
    void activeRequestsShareCores() {
        UpstreamModel model = warm(spec(2, 2, 4, 0, 0));
        for (String tag : List.of("a", "b", "c", "d")) {
            assertNotNull(model.submit(0, 10, -1, tag));
        }
        assertNull(model.submit(0, 10, -1, "full"));
        // Four requests share two cores of speed 2, so each runs at speed 1.
        assertEquals(List.of("a@10000", "b@10000", "c@10000", "d@10000"), completions(model));
    }

    @Test
    void queuesRequestWithoutFreeSlot() {
        UpstreamModel model = warm(spec(1, 1, 1, 1, 0));
        model.submit(0, 10, -1, "first");
        UpstreamModel.Job second = model.submit(4_000, 10, -1, "second");
        assertEquals(-1, second.startedUs());
        assertEquals(List.of("first@10000", "second@20000"), completions(model));
        assertEquals(10_000, second.startedUs());
    }

    @Test
    void crowdingReducesCapacity() {
        UpstreamModel model = warm(spec(1, 1, 2, 0, 0.5));
        model.submit(0, 10, -1, "a");
        model.submit(0, 10, -1, "b");
        // Two requests on one core at 1 / (1 + 0.5) of its capacity: each gets a third of the core.
        assertEquals(List.of("a@30000", "b@30000"), completions(model));
    }

    @Test
    void recentlySeenKeyNeedsLessWork() {
        UpstreamModel model = warm(spec(1, 1, 1, 9, 0));
        model.submit(0, 10, 7, "cold");
        model.submit(0, 10, 7, "warm");
        assertEquals(List.of("cold@10000", "warm@15000"), completions(model));
        model.submit(2_000_001, 10, 7, "old");
        assertEquals(List.of("old@2010001"), completions(model));
    }

    @Test
    void coldServerIsSlowAndWarmsUp() {
        UpstreamModel model = new UpstreamModel(spec(1, 1, 1, 0, 0), RULES, 0);
        assertEquals(0.5, model.warmUpFraction(0));
        assertEquals(0.75, model.warmUpFraction(5_000_000));
        assertEquals(1, model.warmUpFraction(10_000_000));
        assertEquals(750, model.capacityMsPerS(5_000_000));
        model.submit(0, 10, -1, "a");
        assertEquals(List.of("a@20000"), completions(model));
    }

    /** Half of the capacity for 1 s is 500 ms of work, three times that is allowed; rejected work counts too. */
    @Test
    void overloadCollapsesColdServerButNotWarmOne() {
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
    void hungServerAcceptsWorkAndCompletesNoneUntilReleased() {
        UpstreamModel model = warm(spec(1, 1, 2, 0, 0));
        model.submit(0, 10, -1, "a");
        model.setHung(5_000, true);
        assertEquals(Long.MAX_VALUE, model.nextEventUs());
        assertEquals(List.of(), model.takeCompleted(60_000));
        model.setHung(60_000, false);
        assertEquals(List.of("a@65000"), completions(model));
    }

    @Test
    void keepsCompletionAtTimeOfSpeedChange() {
        UpstreamModel model = warm(spec(1, 1, 1, 0, 0));
        model.submit(0, 10, -1, "a");
        model.setSlowdownFactor(10_000, 2);
        assertEquals(1, model.takeCompleted(10_000).size());
    }
}

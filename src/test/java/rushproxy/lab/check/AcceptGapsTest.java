package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioReader;

/** Where the laboratory holds the clients' socket, only a request that no process could take in its time is nobody's. */
class AcceptGapsTest {
    private static final String REPLACEMENT = "[[faults]]\nat_s = 9\ndo = \"replace\"\nnodes = \"n0\"\n";
    private static final long PATIENCE_MS = 870;

    /** A process that left at 1.95 s by its own words, its end heard of at 2 s; the next takes clients at 3.5 s and is ready at 4 s. */
    private static RecordedRunBuilder restarted() {
        return new RecordedRunBuilder()
                .node(0, "started")
                .node(500, "ready")
                .node(1_000, "term")
                .left(2_000, 1_950)
                .node(2_050, "started")
                .node(3_500, "serving")
                .node(4_000, "ready");
    }

    private static int violations(RecordedRunBuilder seen, String faults) throws Exception {
        Scenario scenario = ScenarioReader.parse(
                "test",
                "name = \"test\"\nlength_s = 10\n[fleet]\nnodes = 1\n[[servers]]\ncount = 1\n[[classes]]\nname = \"read\"\ndeadline_ms = 800\nwork_ms = 4\n"
                        + "[traffic]\nrate_per_s = 1\n" + faults,
                Map.of());
        return new SingleResponseChecker()
                .check(new RecordedRun(scenario, seen.run().observations()))
                .size();
    }

    private static int lost(long askedMs) throws Exception {
        return violations(restarted().asked(askedMs, "a").gaveUp(askedMs + PATIENCE_MS, "a"), REPLACEMENT);
    }

    /** Guards against calling those lost who waited in the kernel's queue for all of their time. */
    @Test
    void whoCouldBeTakenByNobodyInItsTimeIsNotLost() throws Exception {
        assertEquals(0, lost(2_010));
        assertEquals(0, lost(2_690));
    }

    /** Guards against excusing a process that takes a request with time left from the queue and loses it. */
    @Test
    void whoseTimeReachesIntoTheNextProcessIsOwedAnAnswer() throws Exception {
        assertEquals(1, lost(2_710));
        assertEquals(1, lost(3_490));
        assertEquals(1, lost(3_510));
        assertEquals(1, lost(4_010));
    }

    /** Guards against a process that drops its queue and hides behind the kill of the one before: the kill breaks what that one held. */
    @Test
    void whoWaitedThroughAKillIsTheNextProcesss() throws Exception {
        RecordedRunBuilder killed = new RecordedRunBuilder()
                .node(0, "started")
                .node(500, "ready")
                .node(1_900, "kill")
                .node(2_000, "exit 137")
                .node(2_050, "started");
        assertEquals(0, violations(killed.asked(1_950, "a").gaveUp(2_820, "a"), REPLACEMENT));
        assertEquals(1, violations(killed.node(2_740, "serving"), REPLACEMENT));
    }

    /** Guards against excusing what the old process could still take, or what it did not take although it had not left. */
    @Test
    void whoAskedBeforeTheOldProcessLeftIsOwedAnAnswer() throws Exception {
        assertEquals(0, lost(1_960));
        assertEquals(1, lost(1_940));
    }

    /** Guards against excusing connections that somebody broke, which nobody can have been. */
    @Test
    void aBrokenConnectionWasTakenBySomebody() throws Exception {
        assertEquals(1, violations(restarted().asked(2_010, "a").broke(2_500, "a"), REPLACEMENT));
    }

    /** Guards against excusing a request that a process took and sent on. */
    @Test
    void whatAServerHasGotWasTaken() throws Exception {
        RecordedRunBuilder got =
                restarted().asked(2_010, "a").got(2_020, 2_021, "a").gaveUp(2_880, "a");
        assertEquals(1, violations(got, REPLACEMENT));
    }

    /** Guards against calling lost what a late process took when its client had gone: whoever sends that on breaks another rule. */
    @Test
    void whatAServerGotAfterItsTimeIsNotLost() throws Exception {
        RecordedRunBuilder late =
                restarted().asked(2_010, "a").gaveUp(2_880, "a").got(3_600, 3_601, "a");
        assertEquals(0, violations(late, REPLACEMENT));
    }

    /** Guards against absences where a process listens itself: it owes an answer from then on. */
    @Test
    void withoutASocketOfTheLaboratorysThereIsNoSuchTime() throws Exception {
        assertEquals(1, violations(restarted().asked(2_010, "a").gaveUp(2_880, "a"), ""));
    }
}

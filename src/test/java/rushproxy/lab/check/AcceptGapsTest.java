package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioReader;

/** Where the laboratory holds the listening socket, an unanswered request is excused only if no process could accept it before its deadline. */
class AcceptGapsTest {
    private static final String REPLACEMENT = "[[faults]]\nat_s = 9\ndo = \"replace\"\nnodes = \"n0\"\n";
    private static final long CLIENT_TIMEOUT_MS = 870;

    /** A process that stopped accepting at 1.95 s, with its exit observed at 2 s; the next one accepts from 3.5 s on and is ready at 4 s. */
    private static RecordedRunBuilder restarted() {
        return new RecordedRunBuilder()
                .processEvent(0, "started")
                .processEvent(500, "ready")
                .processEvent(1_000, "term")
                .processExited(2_000, 1_950)
                .processEvent(2_050, "started")
                .processEvent(3_500, "serving")
                .processEvent(4_000, "ready");
    }

    private static int violations(RecordedRunBuilder builder, String faults) throws Exception {
        Scenario scenario = ScenarioReader.parse(
                "test",
                "name = \"test\"\nlength_s = 10\n[fleet]\nnodes = 1\n[[servers]]\ncount = 1\n[[classes]]\nname = \"read\"\ndeadline_ms = 800\nwork_ms = 4\n"
                        + "[traffic]\nrate_per_s = 1\n" + faults,
                Map.of());
        return new SingleResponseChecker()
                .check(new RecordedRun(scenario, builder.build().observations()))
                .size();
    }

    private static int lost(long askedMs) throws Exception {
        return violations(restarted().asked(askedMs, "a").gaveUp(askedMs + CLIENT_TIMEOUT_MS, "a"), REPLACEMENT);
    }

    /** Guards against counting requests as lost that spent all of their time in the kernel's accept queue. */
    @Test
    void requestThatNoProcessCouldAcceptIsNotLost() throws Exception {
        assertEquals(0, lost(2_010));
        assertEquals(0, lost(2_690));
    }

    /** Guards against excusing a process that accepts a request with time left from the queue and loses it. */
    @Test
    void requestWithTimeLeftWhenNextProcessAcceptsMustBeAnswered() throws Exception {
        assertEquals(1, lost(2_710));
        assertEquals(1, lost(3_490));
        assertEquals(1, lost(3_510));
        assertEquals(1, lost(4_010));
    }

    /**
     * Guards against excusing a process that drops its queue by the kill of the previous one: that kill breaks only the connections which
     * the previous process had accepted.
     */
    @Test
    void requestQueuedDuringKillBelongsToNextProcess() throws Exception {
        RecordedRunBuilder killed = new RecordedRunBuilder()
                .processEvent(0, "started")
                .processEvent(500, "ready")
                .processEvent(1_900, "kill")
                .processEvent(2_000, "exit 137")
                .processEvent(2_050, "started");
        assertEquals(0, violations(killed.asked(1_950, "a").gaveUp(2_820, "a"), REPLACEMENT));
        assertEquals(1, violations(killed.processEvent(2_740, "serving"), REPLACEMENT));
    }

    /** Guards against excusing requests that arrived before the old process stopped accepting. */
    @Test
    void requestSentBeforeOldProcessLeftMustBeAnswered() throws Exception {
        assertEquals(0, lost(1_960));
        assertEquals(1, lost(1_940));
    }

    /** Guards against excusing a broken connection by an accept gap, which cannot cause it. */
    @Test
    void acceptGapDoesNotExcuseBrokenConnection() throws Exception {
        assertEquals(1, violations(restarted().asked(2_010, "a").broke(2_500, "a"), REPLACEMENT));
    }

    /** Guards against excusing a request that a process accepted and forwarded. */
    @Test
    void requestReceivedByUpstreamWasAccepted() throws Exception {
        RecordedRunBuilder got =
                restarted().asked(2_010, "a").got(2_020, 2_021, "a").gaveUp(2_880, "a");
        assertEquals(1, violations(got, REPLACEMENT));
    }

    /** Guards against counting as lost what a process accepted only after the client had gone; forwarding it breaks another rule. */
    @Test
    void requestReceivedByUpstreamAfterDeadlineIsNotLost() throws Exception {
        RecordedRunBuilder late =
                restarted().asked(2_010, "a").gaveUp(2_880, "a").got(3_600, 3_601, "a");
        assertEquals(0, violations(late, REPLACEMENT));
    }

    /** Guards against accept gaps where sidecars open their own listening sockets: a request sent there was accepted and must be answered. */
    @Test
    void noAcceptGapsWithoutSharedSocket() throws Exception {
        assertEquals(1, violations(restarted().asked(2_010, "a").gaveUp(2_880, "a"), ""));
    }
}

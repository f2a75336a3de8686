package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioReader;

/**
 * Where the laboratory holds the clients' socket, as for replacements, a restart leaves nobody behind it for a while. Soak seed 204 called
 * three requests lost that were sent 61, 67 and 144 ms after the old process had ended (exit at 7.708 s, asked at 7.770 and 7.853 s, the
 * next ready at 10.228 s): they waited in the kernel's queue, and no sidecar had seen them.
 */
class AbsencesTest {
    private static final String REPLACEMENT = "[[faults]]\nat_s = 9\ndo = \"replace\"\nnodes = \"n0\"\n";

    private static Run restarted(long askedMs, String faults) throws Exception {
        Scenario scenario = ScenarioReader.parse(
                "test",
                "name = \"test\"\nlength_s = 10\n[fleet]\nnodes = 1\n[[servers]]\ncount = 1\n[[classes]]\nname = \"read\"\ndeadline_ms = 800\nwork_ms = 4\n"
                        + "[traffic]\nrate_per_s = 1\n" + faults,
                Map.of());
        Seen seen = new Seen()
                .node(0, "started")
                .node(500, "ready")
                .node(1_000, "term")
                .node(2_000, "exit 0")
                .node(2_050, "started")
                .node(4_000, "ready")
                .asked(askedMs, "a")
                .gaveUp(askedMs + 870, "a");
        return new Run(scenario, seen.run().all());
    }

    private static int lost(long askedMs, String faults) throws Exception {
        return new OneAnswer().check(restarted(askedMs, faults)).size();
    }

    @Test
    void whoAskedWhileNobodyWasThereIsNotLost() throws Exception {
        assertEquals(0, lost(2_010, REPLACEMENT));
        assertEquals(0, lost(3_990, REPLACEMENT));
    }

    @Test
    void whoAskedBeforeOrAfterIs() throws Exception {
        assertEquals(1, lost(1_990, REPLACEMENT));
        assertEquals(1, lost(4_010, REPLACEMENT));
    }

    /** A process that listens itself owes an answer from then on. */
    @Test
    void withoutASocketOfTheLaboratorysThereIsNoSuchTime() throws Exception {
        assertEquals(1, lost(3_000, ""));
    }
}

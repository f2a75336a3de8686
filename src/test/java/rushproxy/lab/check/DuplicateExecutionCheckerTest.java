package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushproxy.lab.scenario.ScenarioReader;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** A repeat is judged by the time at which the sidecar can have sent it, not by the time at which the laboratory read it. */
class DuplicateExecutionCheckerTest {
    private static final long WINDOW_US = 600_000;
    private static final long SLACK_US = 50_000;
    private static final long FIRST_US = 1_000_000;
    private static final long READ_US = 3_000_000;

    private static Observation got(String server, long earliestUs, long latestUs) {
        return new Observation(READ_US, EventType.GOT, "n0", server, "a", null, "k", 4, latestUs, earliestUs, 0);
    }

    private static int violations(Observation first, Observation second) throws Exception {
        String scenario =
                "name = \"test\"\nlength_s = 10\n[fleet]\nnodes = 1\n[[servers]]\ncount = 2\n[[classes]]\nname = \"log\"\n"
                        + "deadline_ms = 3000\nwork_ms = 4\nsemantics = \"keyed\"\ngroup = \"all\"\nwindow_ms = 600\n[traffic]\nrate_per_s = 1\n";
        Observation asked = new Observation(900_000, EventType.ASKED, "n0", null, "a", "a", "log", 3_000, 900_000);
        return new DuplicateExecutionChecker()
                .check(new RecordedRun(ScenarioReader.parse("test", scenario, Map.of()), List.of(asked, first, second)))
                .size();
    }

    /** Guards against blaming the sidecar for a late laboratory when both attempts may have been sent within the window. */
    @Test
    void repeatPossiblySentWithinWindowIsAllowed() throws Exception {
        long endUs = FIRST_US + WINDOW_US + SLACK_US;
        assertEquals(0, violations(got("s0", 0, FIRST_US), got("s1", endUs, endUs + 300_000)));
    }

    /** Guards against excusing a repeat that was certainly sent too late, however late the laboratory read the first attempt. */
    @Test
    void repeatCertainlySentAfterWindowIsViolation() throws Exception {
        long lateUs = FIRST_US + WINDOW_US + SLACK_US + 1;
        assertEquals(1, violations(got("s0", FIRST_US - 500_000, FIRST_US), got("s1", lateUs, lateUs + 300_000)));
        assertEquals(1, violations(got("s0", 0, FIRST_US), got("s1", 0, lateUs)));
    }
}

package rushproxy.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rushproxy.lab.check.RecordedRun;
import rushproxy.lab.report.Report;
import rushproxy.lab.report.Summary;
import rushproxy.lab.world.Observation;

/** Eight real sidecars that keep a view of each other, judged against what was done to them. */
@Timeout(120)
class MembersIT {
    private static final String ON = "settings = ['fleet={\"members\":true}']";

    @TempDir
    Path folder;

    private static String asked(double atS) {
        return LabRig.fault(atS, "call", "nodes = \"all\"; call = \"members\"");
    }

    private RecordedRun play(double lengthS, String... faults) throws Exception {
        Summary s = LabRig.run(LabRig.scenario(8, lengthS, ON, faults), LabRig.sidecar(), folder);
        assertEquals("held", s.verdict(), s.why() + " " + s.violations());
        return Report.readRun(folder);
    }

    /** The views that were asked for in the second after the time, by who gave them; the dead give none. */
    private static Map<String, JsonNode> views(RecordedRun run, double atS) throws Exception {
        Map<String, JsonNode> views = new HashMap<>();
        for (Observation o : run.observationsOf(Observation.EventType.CALLED)) {
            if (o.us() >= atS * 1e6 && o.text().startsWith("members -> ACK {") && !views.containsKey(o.node())) {
                views.put(o.node(), new ObjectMapper().readTree(o.text().substring("members -> ACK ".length())));
            }
        }
        return views;
    }

    private static void sees(JsonNode view, String standing, int here) {
        assertEquals(
                standing + " " + here,
                view.get("standing").asText() + " " + view.get("here").asInt(),
                view.toString());
    }

    @Test
    void aSplitIsSeenByBothSidesAndHeals() throws Exception {
        RecordedRun run = play(
                38,
                asked(2.5),
                LabRig.fault(3, "cut", "from = \"nodes:a\"; to = \"nodes:b\"; for_s = 8"),
                asked(10.5),
                asked(35));
        for (JsonNode v : views(run, 2.5).values()) {
            sees(v, "majority", 8);
        }
        Map<String, JsonNode> split = views(run, 10.5);
        assertEquals(8, split.size());
        for (JsonNode v : split.values()) {
            sees(v, "minority", 4);
        }
        for (JsonNode v : views(run, 35).values()) {
            sees(v, "majority", 8);
        }
    }

    @Test
    void killsAreFoundOutAndTheKilledAreBack() throws Exception {
        RecordedRun run = play(
                30,
                LabRig.fault(3, "kill", "nodes = [\"n0\", \"n1\", \"n2\", \"n3\", \"n4\"]; for_s = 8"),
                asked(10),
                asked(28));
        Map<String, JsonNode> without = views(run, 10);
        for (String node : List.of("n5", "n6", "n7")) {
            sees(without.get(node), "minority", 3);
        }
        Map<String, JsonNode> again = views(run, 28);
        assertEquals(8, again.size());
        for (JsonNode v : again.values()) {
            sees(v, "majority", 8);
        }
    }

    @Test
    void aStoppedProcessIsDeadThenBackAndARestartIsNoDeath() throws Exception {
        RecordedRun run = play(
                30,
                LabRig.fault(3, "stall", "nodes = \"n3\"; for_s = 10"),
                asked(11),
                LabRig.fault(17, "restart", "nodes = \"n6\""),
                asked(28));
        Map<String, JsonNode> stopped = views(run, 11);
        for (String node : List.of("n0", "n1", "n2", "n4", "n5", "n6", "n7")) {
            sees(stopped.get(node), "majority", 7);
        }
        List<String> states = new ArrayList<>();
        for (JsonNode v : views(run, 28).values()) {
            sees(v, "majority", 8);
            v.get("members").forEach(m -> states.add(m.get("state").asText()));
        }
        assertTrue(states.stream().allMatch(s -> s.equals("alive") || s.equals("suspect")), states.toString());
    }
}

package rushproxy.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rushproxy.lab.check.RecordedRun;
import rushproxy.lab.node.Build;
import rushproxy.lab.report.Report;
import rushproxy.lab.world.Observation;

/** What the sidecars of a fleet do for the first time when they lose a server, all of them in the same second. */
@Timeout(120)
class FirstLossIT {
    private static final String IN_ARCHIVE = " source: shared objects file";
    private static final String DECIDES_OR_SHARES =
            ".* (java\\.lang\\.invoke\\.LambdaForm|rushproxy\\.fleet\\.|rushproxy\\.Policy).*";

    @TempDir
    Path folder;

    /** Guards against classes that are read or made at the first loss: 30 a sidecar were, with a third of all that was compiled. */
    @Test
    void loadsNothingOfDecisionsAndFleetFromOutsideOfTheArchive() throws Exception {
        Build build = LabRig.sidecar();
        String logs = "-Xlog:class+load:file=" + folder.resolve("%p.loaded") + ":uptime";
        LabRig.run(
                LabRig.scenario(4, 8, "settings = ['fleet={\"members\":true,\"shared\":true}']", new String[] {
                    LabRig.fault(3, "hang", "servers = \"s0\"; for_s = 4")
                }),
                new Build(build.root(), build.command().replace(" -jar ", " " + logs + " -jar ")),
                folder);
        RecordedRun run = Report.readRun(folder);
        for (String node : List.of("n0", "n1", "n2", "n3")) {
            Observation started = seen(run, node, "started");
            List<String> classes = Files.readAllLines(folder.resolve((long) started.number() + ".loaded"));
            assertTrue(classes.stream().anyMatch(l -> l.contains(IN_ARCHIVE)), "it ran without the archive");
            double readyS = (seen(run, node, "ready").us() - started.us()) / 1e6;
            List<String> outside = classes.stream()
                    .filter(l -> !l.contains(IN_ARCHIVE) && l.matches(DECIDES_OR_SHARES))
                    .filter(l -> Double.parseDouble(l.substring(1, l.indexOf('s'))) > readyS)
                    .toList();
            assertEquals(List.of(), outside, node);
        }
    }

    private static Observation seen(RecordedRun run, String node, String what) {
        return run.observationsOf(Observation.EventType.NODE).stream()
                .filter(o -> o.node().equals(node) && o.text().equals(what))
                .findFirst()
                .orElseThrow();
    }
}

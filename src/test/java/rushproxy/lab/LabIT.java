package rushproxy.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rushproxy.lab.report.Report;
import rushproxy.lab.report.Summary;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioReader;
import rushproxy.lab.world.Observation;

/** Fleets of the real sidecar with faults between them: the rules hold, and the laboratory cleans up after itself. */
@Timeout(180)
class LabIT {
    @TempDir
    Path folder;

    private void noProcessIsLeft() throws Exception {
        List<Long> pids = Report.readRun(folder).observationsOf(Observation.EventType.NODE).stream()
                .filter(o -> o.text().equals("started"))
                .map(o -> (long) o.number())
                .toList();
        for (long pid : pids) {
            assertFalse(ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false), "process " + pid + " is left");
        }
    }

    /** Guards against a SIGHUP to a process that has not started yet, which ends it: no platform sends one then. */
    @Test
    void aReloadWaitsForAProcessThatStarts() throws Exception {
        List<String> faults = new ArrayList<>(List.of(LabRig.fault(1, "kill", "nodes = \"n0\"; for_s = 0.3")));
        for (double atS = 1.3; atS < 2; atS += 0.02) {
            faults.add(LabRig.fault(atS, "discovery-moves", "nodes = \"n0\""));
        }
        Summary s = LabRig.run(LabRig.scenario(1, 6, faults.toArray(String[]::new)), LabRig.sidecar(), folder);
        assertEquals("held", s.verdict(), s.why() + " " + s.violations());
    }

    @Test
    void crashesDrainsCordonsAndCutsBreakNoRule() throws Exception {
        Summary s = LabRig.run(
                LabRig.scenario(
                        3,
                        10,
                        LabRig.fault(1, "crash", "servers = \"s0\"; for_s = 2"),
                        LabRig.fault(2, "drain", "servers = \"s3\"; for_s = 3"),
                        LabRig.fault(1, "call", "nodes = \"all\"; call = \"cordon s2\""),
                        LabRig.fault(6, "call", "nodes = \"all\"; call = \"uncordon s2\""),
                        LabRig.fault(7, "cut", "from = \"nodes:a\"; to = \"servers:b\"; one_way = true; for_s = 2"),
                        LabRig.fault(3, "discovery-moves", "nodes = \"n1\"")),
                LabRig.sidecar(),
                folder);
        assertEquals("held", s.verdict(), s.why() + " " + s.violations());
        assertTrue(s.figures().requests() > 300, s.figures().toString());
        assertTrue(s.nodes().get("n0").get("datagrams") > 0, "sidecars did not talk to each other: " + s.nodes());
        assertTrue(
                Files.readString(folder.resolve("n1/log")).contains("discovery is at"), "it heard of no new address");
        noProcessIsLeft();
        String page = Files.readString(folder.resolve("report.html"));
        assertTrue(page.contains("uPlot") && !page.contains("src=\"http"), "the page needs more than itself");
    }

    /** With requests out at an upstream that answers nothing, whose class allows more time than a stop. */
    @Test
    void restartsInARollUnderLoadLoseNothing() throws Exception {
        Summary s = LabRig.run(
                LabRig.scenario(
                        3,
                        16,
                        LabRig.fault(1, "hang", "servers = \"s1\"; for_s = 14"),
                        LabRig.fault(2, "restart", "nodes = \"all\"; stagger_s = 4")),
                LabRig.sidecar(),
                folder);
        assertEquals("held", s.verdict(), s.why() + " " + s.violations());
        for (String node : List.of("n0", "n1", "n2")) {
            assertEquals(2, s.nodes().get(node).get("starts"), s.nodes().toString());
        }
        noProcessIsLeft();
    }

    @Test
    void killsAndStallsBreakNoRuleOfThoseWhoLive() throws Exception {
        Summary s = LabRig.run(
                LabRig.scenario(
                        4,
                        9,
                        LabRig.fault(2, "kill", "nodes = [\"n0\", \"n1\"]; for_s = 1"),
                        LabRig.fault(3, "stall", "nodes = \"n2\"; for_s = 1.5")),
                LabRig.sidecar(),
                folder);
        assertEquals("held", s.verdict(), s.why() + " " + s.violations());
        noProcessIsLeft();
    }

    /** Guards against a checker that calls a response lost whose end its client is shown within half a second of its time. */
    @Test
    void responsesThatServersTruncateAreNotLost() throws Exception {
        Scenario s = ScenarioReader.parse(
                "test",
                """
                name = "truncated"
                length_s = 6
                seed = 7
                [fleet]
                nodes = 1
                [[servers]]
                count = 4
                [[classes]]
                name = "read"
                work_ms = 4
                deadline_ms = 300
                [traffic]
                rate_per_s = 30
                [rules]
                fall_s = 1
                [lateness]
                most = 1
                """ + LabRig.fault(1, "spoil", "servers = \"all\"; how = \"half\"; part = 1; for_s = 4"),
                Map.of());
        Summary summary = LabRig.run(s, LabRig.sidecar(), folder);
        assertEquals(List.of(), LabRig.rules(summary), summary.violations().toString());
    }

    @Test
    void aReplacementTakesOverTheClientsSocketAndLosesNothing() throws Exception {
        Summary s = LabRig.run(
                LabRig.scenario(2, 12, LabRig.fault(2, "replace", "nodes = \"all\"; stagger_s = 1")),
                LabRig.sidecar(),
                folder);
        assertEquals("held", s.verdict(), s.why() + " " + s.violations());
        assertEquals(2, s.nodes().get("n0").get("starts"), s.nodes().toString());
        List<Observation> calls = Report.readRun(folder).observationsOf(Observation.EventType.CALLED);
        assertTrue(calls.stream().anyMatch(o -> o.text().equals("health -> ACK")), calls.toString());
        noProcessIsLeft();
    }

    @Test
    void aRunStoppedHalfWayLeavesItsReportAndNoProcess() throws Exception {
        CountDownLatch ready = new CountDownLatch(1);
        Lab lab = new Lab(LabRig.scenario(2, 600), LabRig.sidecar(), folder, line -> ready.countDown());
        CompletableFuture<Summary> run = CompletableFuture.supplyAsync(() -> {
            try {
                return lab.run();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(ready.await(60, TimeUnit.SECONDS));
        lab.stop();
        assertEquals("stopped", run.get(60, TimeUnit.SECONDS).verdict());
        assertEquals("stopped", Report.readSummary(folder).verdict());
        noProcessIsLeft();
    }

    @Test
    void aNodeThatDiesAtOnceIsSaidWithItsLastWords() throws Exception {
        Summary s = LabRig.run(LabRig.scenario(2, 600), LabRig.wrong("dies"), folder);
        assertEquals("failed", s.verdict());
        assertTrue(
                s.why().get(0).matches("n\\d ended before it was ready, with 7: .*no such thing as a good start.*"),
                s.why().toString());
        noProcessIsLeft();
    }

    @Test
    void aPortTakenBySomebodyElseIsNamed() throws Exception {
        // The next laboratory takes the first free block: the one that a try takes and gives back.
        rushproxy.lab.world.Addresses first = rushproxy.lab.world.Addresses.claim();
        InetAddress listen = first.listen(1).getAddress();
        first.close();
        try (ServerSocket other = new ServerSocket(8081, 1, listen)) {
            Summary s = LabRig.run(LabRig.scenario(2, 600), LabRig.sidecar(), folder);
            assertEquals("failed", s.verdict());
            assertTrue(
                    s.why().get(0).startsWith("n1: the address for its clients, "),
                    s.why().toString());
            assertTrue(
                    s.why().get(0).endsWith("is taken by somebody else"),
                    s.why().toString());
        }
        noProcessIsLeft();
    }

    @Test
    void twoLaboratoriesRunAtOnce() throws Exception {
        Scenario s = LabRig.scenario(2, 4);
        Path other = folder.resolve("other");
        CompletableFuture<Summary> second = CompletableFuture.supplyAsync(() -> {
            try {
                return LabRig.run(s, LabRig.sidecar(), other);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        assertEquals("held", LabRig.run(s, LabRig.sidecar(), folder).verdict());
        assertEquals("held", second.get(60, TimeUnit.SECONDS).verdict());
    }
}

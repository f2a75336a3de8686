package rushproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rushproxy.Balancer.Evidence;
import rushproxy.Balancer.Outcome;
import rushproxy.fleet.shared.Verdicts;
import rushproxy.lab.sim.SharedSim;

/** A server that is silent for a minute, seen by policies that exchange verdicts over a simulated network. */
class SilentServerTest {
    private static final long SECOND_US = 1_000_000;
    private static final long SILENT_FROM_US = 10 * SECOND_US;
    private static final long SILENT_TO_US = 70 * SECOND_US;
    private static final long END_US = 100 * SECOND_US;
    /** Times within which all sidecars must agree that the server is silent, and that it answers again. */
    private static final long DETECTION_TIME_US = 20 * SECOND_US;

    private static final long RECOVERY_TIME_US = 18 * SECOND_US;
    /** Age at which own evidence is no longer shared. */
    private static final long EVIDENCE_MAX_AGE_US = 12 * SECOND_US;

    /** Evidence on the server that one policy has reported. */
    private record Report(long atUs, Evidence evidence) {}

    private final SplittableRandom random = new SplittableRandom(5);
    private final List<PolicyHarness> harnesses = new ArrayList<>();
    private final List<List<Report>> reports = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private boolean usedAfterRecovery;
    private SharedSim sim;

    private void simulate(int sidecars, long intervalUs) {
        sim = new SharedSim(21, sidecars, 2, 0, 0, 30_000).servers(Map.of("s0", 0, "s1", 1, "s2", 0, "s3", 1));
        sim.startAll();
        for (int sidecar = 0; sidecar < sidecars; sidecar++) {
            PolicyHarness harness = new PolicyHarness();
            harness.sidecarIndex = sidecar;
            harness.sidecarCount = Math.max(2, sidecars);
            harness.connectionPrice = 0.05;
            harness.now = sim.node(sidecar).clock();
            harnesses.add(harness.start()
                    .receiveList(
                            PolicyHarness.upstream("s0", "za", 0),
                            PolicyHarness.upstream("s1", "zb", 1),
                            PolicyHarness.upstream("s2", "za", 2),
                            PolicyHarness.upstream("s3", "zb", 3)));
            reports.add(new ArrayList<>());
            sendRequests(sidecar, intervalUs, 0);
            updateVerdicts(sidecar);
        }
        sim.until(END_US);
    }

    private PolicyHarness harness(int sidecar) {
        PolicyHarness harness = harnesses.get(sidecar);
        harness.now = sim.node(sidecar).clock();
        return harness;
    }

    private void sendRequests(int sidecar, long intervalUs, int number) {
        harness(sidecar).request("r" + number);
        performActions(sidecar);
        sim.later(intervalUs / 2 + random.nextLong(intervalUs), () -> sendRequests(sidecar, intervalUs, number + 1));
    }

    /** Passes the fleet's verdicts to the policy every second, and checks them. */
    private void updateVerdicts(int sidecar) {
        List<Verdicts.Assessment> cases = sim.node(sidecar).cases();
        harness(sidecar)
                .policy
                .onVerdicts(
                        harnesses.get(sidecar).now,
                        cases.stream().map(Verdicts.Assessment::verdict).toList());
        performActions(sidecar);
        boolean out = cases.stream()
                .map(Verdicts.Assessment::verdict)
                .anyMatch(v -> v.upstream().equals("s0") && v.evidence() == Evidence.SILENT && v.confirmed());
        boolean due = sim.us() > SILENT_FROM_US + DETECTION_TIME_US && sim.us() < SILENT_TO_US;
        if (due && !out || sim.us() > SILENT_TO_US + RECOVERY_TIME_US && out) {
            violations.add("n" + sidecar + " at " + sim.us() / SECOND_US + " s: " + cases);
        }
        sim.later(SECOND_US, () -> updateVerdicts(sidecar));
    }

    /** Carries out the policy's actions. */
    private void performActions(int sidecar) {
        List<String> actions = List.copyOf(harnesses.get(sidecar).actions);
        harnesses.get(sidecar).actions.clear();
        for (String action : actions) {
            String[] words = action.split(" ");
            switch (words[0]) {
                case "send" -> answer(sidecar, words[1], words[2]);
                case "timer" ->
                    sim.later(Long.parseLong(words[2]), () -> {
                        harness(sidecar).fireTimer(words[1]);
                        performActions(sidecar);
                    });
                case "evidence" -> {
                    Evidence evidence = Evidence.valueOf(words[2]);
                    sim.node(sidecar)
                            .verdicts()
                            .recordEvidence(sim.node(sidecar).clock(), words[1], evidence, 1_000);
                    if (words[1].equals("s0")) {
                        reports.get(sidecar).add(new Report(sim.us(), evidence));
                    }
                }
                default -> {}
            }
        }
    }

    private void answer(int sidecar, String request, String server) {
        int attempt = attempts.merge(sidecar + request, 1, Integer::sum) - 1;
        boolean silent = server.equals("s0") && sim.us() >= SILENT_FROM_US && sim.us() < SILENT_TO_US;
        usedAfterRecovery |= server.equals("s0") && sim.us() > SILENT_TO_US + RECOVERY_TIME_US;
        long us = silent ? 400_000 : 15_000 + random.nextLong(10_000);
        sim.later(us, () -> {
            harness(sidecar).outcome(request, attempt, server, silent ? Outcome.TIMEOUT : Outcome.OK, us);
            performActions(sidecar);
        });
    }

    /** Reports from the first one of silence until the server answered again. */
    private List<Report> reportsWhileSilent(int sidecar) {
        return reports.get(sidecar).stream()
                .dropWhile(t -> t.evidence != Evidence.SILENT)
                .filter(t -> t.atUs < SILENT_TO_US)
                .toList();
    }

    /**
     * Each sidecar has one current report per server: another kind of evidence would replace that of silence, and the fleet's verdict
     * would lapse.
     */
    @ParameterizedTest
    @CsvSource({
        "DROPS_IDLE, 1, 40000",
        "DROPS_IDLE, 1, 1000000",
        "DROPS_IDLE, 8, 40000",
        "DROPS_IDLE, 8, 1000000",
        "SLOW, 1, 40000",
        "SLOW, 1, 1000000",
        "SLOW, 8, 40000",
        "SLOW, 8, 1000000"
    })
    void noOtherEvidenceIsReportedWhileTheServerIsSilent(Evidence other, int sidecars, long intervalUs) {
        simulate(sidecars, intervalUs);
        for (int sidecar = 0; sidecar < sidecars; sidecar++) {
            List<Report> of = reportsWhileSilent(sidecar);
            assertTrue(of.stream().noneMatch(t -> t.evidence == other), "n" + sidecar + ": " + of);
        }
    }

    /** Guards against evidence that expires during the silence, as time-outs are rare where requests are. */
    @ParameterizedTest
    @CsvSource({"40000", "1000000"})
    void silenceIsReportedAgainBeforeTheEvidenceExpires(long intervalUs) {
        simulate(1, intervalUs);
        List<Report> of = reportsWhileSilent(0);
        for (int i = 0; i < of.size(); i++) {
            long next = i + 1 < of.size() ? of.get(i + 1).atUs : SILENT_TO_US;
            assertTrue(next - of.get(i).atUs < EVIDENCE_MAX_AGE_US, of.toString());
        }
    }

    /**
     * Guards against a verdict that keeps all sidecars from trying the server: it lapses without new evidence, and all lose requests
     * to the server again.
     */
    @ParameterizedTest
    @CsvSource({"8, 40000", "8, 1000000", "16, 1000000"})
    void verdictOfSilenceHoldsUntilTheServerAnswersAgain(int sidecars, long intervalUs) {
        simulate(sidecars, intervalUs);
        assertEquals(List.of(), violations);
        assertTrue(usedAfterRecovery);
    }
}

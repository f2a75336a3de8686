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
    private record Report(long us, Evidence kind) {}

    private final SplittableRandom random = new SplittableRandom(5);
    private final List<PolicyHarness> harnesses = new ArrayList<>();
    private final List<List<Report>> reports = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private boolean usedAfterRecovery;
    private SharedSim sim;

    private void simulate(int sidecars, long everyUs) {
        sim = new SharedSim(21, sidecars, 2, 0, 0, 30_000).servers(Map.of("s0", 0, "s1", 1, "s2", 0, "s3", 1));
        sim.startAll();
        for (int m = 0; m < sidecars; m++) {
            PolicyHarness harness = new PolicyHarness();
            harness.sidecarIndex = m;
            harness.sidecarCount = Math.max(2, sidecars);
            harness.connectionPrice = 0.05;
            harness.now = sim.node(m).clock();
            harnesses.add(harness.start()
                    .receiveList(
                            PolicyHarness.upstream("s0", "za", 0),
                            PolicyHarness.upstream("s1", "zb", 1),
                            PolicyHarness.upstream("s2", "za", 2),
                            PolicyHarness.upstream("s3", "zb", 3)));
            reports.add(new ArrayList<>());
            sendRequests(m, everyUs, 0);
            updateVerdicts(m);
        }
        sim.until(END_US);
    }

    private PolicyHarness harness(int m) {
        PolicyHarness harness = harnesses.get(m);
        harness.now = sim.node(m).clock();
        return harness;
    }

    private void sendRequests(int m, long everyUs, int number) {
        harness(m).request("r" + number);
        performActions(m);
        sim.later(everyUs / 2 + random.nextLong(everyUs), () -> sendRequests(m, everyUs, number + 1));
    }

    /** Passes the fleet's verdicts to the policy every second, and checks them. */
    private void updateVerdicts(int m) {
        List<Verdicts.Case> cases = sim.node(m).cases();
        harness(m)
                .policy
                .onVerdicts(
                        harnesses.get(m).now,
                        cases.stream().map(Verdicts.Case::verdict).toList());
        performActions(m);
        boolean out = cases.stream()
                .map(Verdicts.Case::verdict)
                .anyMatch(v -> v.upstream().equals("s0") && v.evidence() == Evidence.SILENT && v.confirmed());
        boolean due = sim.us() > SILENT_FROM_US + DETECTION_TIME_US && sim.us() < SILENT_TO_US;
        if (due && !out || sim.us() > SILENT_TO_US + RECOVERY_TIME_US && out) {
            violations.add("n" + m + " at " + sim.us() / SECOND_US + " s: " + cases);
        }
        sim.later(SECOND_US, () -> updateVerdicts(m));
    }

    /** Carries out the policy's actions. */
    private void performActions(int m) {
        List<String> actions = List.copyOf(harnesses.get(m).actions);
        harnesses.get(m).actions.clear();
        for (String action : actions) {
            String[] word = action.split(" ");
            switch (word[0]) {
                case "send" -> answer(m, word[1], word[2]);
                case "timer" ->
                    sim.later(Long.parseLong(word[2]), () -> {
                        harness(m).fireTimer(word[1]);
                        performActions(m);
                    });
                case "evidence" -> {
                    Evidence kind = Evidence.valueOf(word[2]);
                    sim.node(m).verdicts().evidence(sim.node(m).clock(), word[1], kind, 1_000);
                    if (word[1].equals("s0")) {
                        reports.get(m).add(new Report(sim.us(), kind));
                    }
                }
                default -> {}
            }
        }
    }

    private void answer(int m, String request, String server) {
        int attempt = attempts.merge(m + request, 1, Integer::sum) - 1;
        boolean silent = server.equals("s0") && sim.us() >= SILENT_FROM_US && sim.us() < SILENT_TO_US;
        usedAfterRecovery |= server.equals("s0") && sim.us() > SILENT_TO_US + RECOVERY_TIME_US;
        long us = silent ? 400_000 : 15_000 + random.nextLong(10_000);
        sim.later(us, () -> {
            harness(m).outcome(request, attempt, server, silent ? Outcome.TIMEOUT : Outcome.OK, us);
            performActions(m);
        });
    }

    /** Reports from the first one of silence until the server answered again. */
    private List<Report> reportsWhileSilent(int m) {
        return reports.get(m).stream()
                .dropWhile(t -> t.kind != Evidence.SILENT)
                .filter(t -> t.us < SILENT_TO_US)
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
    void noOtherEvidenceIsReportedWhileTheServerIsSilent(Evidence other, int sidecars, long everyUs) {
        simulate(sidecars, everyUs);
        for (int m = 0; m < sidecars; m++) {
            List<Report> of = reportsWhileSilent(m);
            assertTrue(of.stream().noneMatch(t -> t.kind == other), "n" + m + ": " + of);
        }
    }

    /** Guards against evidence that expires during the silence, as time-outs are rare where requests are. */
    @ParameterizedTest
    @CsvSource({"40000", "1000000"})
    void silenceIsReportedAgainBeforeTheEvidenceExpires(long everyUs) {
        simulate(1, everyUs);
        List<Report> of = reportsWhileSilent(0);
        for (int i = 0; i < of.size(); i++) {
            long next = i + 1 < of.size() ? of.get(i + 1).us : SILENT_TO_US;
            assertTrue(next - of.get(i).us < EVIDENCE_MAX_AGE_US, of.toString());
        }
    }

    /**
     * Guards against a verdict that keeps all sidecars from trying the server: it lapses without new evidence, and all lose requests
     * to the server again.
     */
    @ParameterizedTest
    @CsvSource({"8, 40000", "8, 1000000", "16, 1000000"})
    void verdictOfSilenceHoldsUntilTheServerAnswersAgain(int sidecars, long everyUs) {
        simulate(sidecars, everyUs);
        assertEquals(List.of(), violations);
        assertTrue(usedAfterRecovery);
    }
}

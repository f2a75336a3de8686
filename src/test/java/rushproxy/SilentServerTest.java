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

/** A server that says nothing for a minute, seen by modules that share their words on a simulated network. */
class SilentServerTest {
    private static final long S = 1_000_000;
    private static final long SILENT_FROM = 10 * S;
    private static final long SILENT_TO = 70 * S;
    private static final long END = 100 * S;
    /** After these all must say that it is silent, and that it is not any more. */
    private static final long FOUND = 20 * S;

    private static final long FOUND_BACK = 18 * S;
    /** Own evidence that is older is told no more. */
    private static final long FRESH = 12 * S;

    /** What one sidecar's module has told of the server. */
    private record Told(long us, Evidence kind) {}

    private final SplittableRandom random = new SplittableRandom(5);
    private final List<Rig> rigs = new ArrayList<>();
    private final List<List<Told>> told = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final List<String> wrong = new ArrayList<>();
    private boolean back;
    private SharedSim sim;

    private void play(int sidecars, long everyUs) {
        sim = new SharedSim(21, sidecars, 2, 0, 0, 30_000).servers(Map.of("s0", 0, "s1", 1, "s2", 0, "s3", 1));
        sim.startAll();
        for (int m = 0; m < sidecars; m++) {
            Rig rig = new Rig();
            rig.me = m;
            rig.balancers = Math.max(2, sidecars);
            rig.connectionPrice = 0.05;
            rig.now = sim.node(m).clock();
            rigs.add(rig.start()
                    .list(Rig.up("s0", "za", 0), Rig.up("s1", "zb", 1), Rig.up("s2", "za", 2), Rig.up("s3", "zb", 3)));
            told.add(new ArrayList<>());
            ask(m, everyUs, 0);
            hear(m);
        }
        sim.until(END);
    }

    private Rig rig(int m) {
        Rig rig = rigs.get(m);
        rig.now = sim.node(m).clock();
        return rig;
    }

    private void ask(int m, long everyUs, int number) {
        rig(m).request("r" + number);
        act(m);
        sim.later(everyUs / 2 + random.nextLong(everyUs), () -> ask(m, everyUs, number + 1));
    }

    /** Each second the module is told what the fleet says. */
    private void hear(int m) {
        List<Verdicts.Assessment> cases = sim.node(m).cases();
        rig(m).policy
                .onVerdicts(
                        rigs.get(m).now,
                        cases.stream().map(Verdicts.Assessment::verdict).toList());
        act(m);
        boolean out = cases.stream()
                .map(Verdicts.Assessment::verdict)
                .anyMatch(v -> v.upstream().equals("s0") && v.kind() == Evidence.SILENT && v.holds());
        boolean due = sim.us() > SILENT_FROM + FOUND && sim.us() < SILENT_TO;
        if (due && !out || sim.us() > SILENT_TO + FOUND_BACK && out) {
            wrong.add("n" + m + " at " + sim.us() / S + " s: " + cases);
        }
        sim.later(S, () -> hear(m));
    }

    /** Does what the module asks for. */
    private void act(int m) {
        List<String> actions = List.copyOf(rigs.get(m).actions);
        rigs.get(m).actions.clear();
        for (String action : actions) {
            String[] word = action.split(" ");
            switch (word[0]) {
                case "send" -> answer(m, word[1], word[2]);
                case "timer" ->
                    sim.later(Long.parseLong(word[2]), () -> {
                        rig(m).fire(word[1]);
                        act(m);
                    });
                case "evidence" -> {
                    Evidence kind = Evidence.valueOf(word[2]);
                    sim.node(m).verdicts().recordEvidence(sim.node(m).clock(), word[1], kind, 1_000);
                    if (word[1].equals("s0")) {
                        told.get(m).add(new Told(sim.us(), kind));
                    }
                }
                default -> {}
            }
        }
    }

    private void answer(int m, String request, String server) {
        int attempt = attempts.merge(m + request, 1, Integer::sum) - 1;
        boolean silent = server.equals("s0") && sim.us() >= SILENT_FROM && sim.us() < SILENT_TO;
        back |= server.equals("s0") && sim.us() > SILENT_TO + FOUND_BACK;
        long us = silent ? 400_000 : 15_000 + random.nextLong(10_000);
        sim.later(us, () -> {
            rig(m).outcome(request, attempt, server, silent ? Outcome.TIMEOUT : Outcome.OK, us);
            act(m);
        });
    }

    /** From the first silence told until it answered again. */
    private List<Told> whileSilent(int m) {
        return told.get(m).stream()
                .dropWhile(t -> t.kind != Evidence.SILENT)
                .filter(t -> t.us < SILENT_TO)
                .toList();
    }

    /** Another word in place of the silence: each sidecar has one word on a server, and the fleet's verdict lapsed. */
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
    void nothingElseIsToldOfAServerThatStaysSilent(Evidence other, int sidecars, long everyUs) {
        play(sidecars, everyUs);
        for (int m = 0; m < sidecars; m++) {
            List<Told> of = whileSilent(m);
            assertTrue(of.stream().noneMatch(t -> t.kind == other), "n" + m + ": " + of);
        }
    }

    /** Where requests are few, time-outs came too far apart: the word was given up while the silence lasted. */
    @ParameterizedTest
    @CsvSource({"40000", "1000000"})
    void silenceIsToldAgainBeforeTheWordIsTooOld(long everyUs) {
        play(1, everyUs);
        List<Told> of = whileSilent(0);
        for (int i = 0; i < of.size(); i++) {
            long next = i + 1 < of.size() ? of.get(i + 1).us : SILENT_TO;
            assertTrue(next - of.get(i).us < FRESH, of.toString());
        }
    }

    /** All were bound by the verdict, so nobody tried, it lapsed, and all lost requests to the server anew. */
    @ParameterizedTest
    @CsvSource({"8, 40000", "8, 1000000", "16, 1000000"})
    void aVerdictOfSilenceHoldsUntilTheServerAnswersAgain(int sidecars, long everyUs) {
        play(sidecars, everyUs);
        assertEquals(List.of(), wrong);
        assertTrue(back);
    }
}

package rushproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.DedupScope;
import rushproxy.Balancer.Evidence;
import rushproxy.Balancer.LimitScope;
import rushproxy.Balancer.LimitShare;
import rushproxy.Balancer.Outcome;
import rushproxy.Balancer.RequestClass;
import rushproxy.Balancer.Semantics;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;
import rushproxy.Balancer.Verdict;

/** What the module makes of word on servers and of limits: the tables of docs/SHARED.md. */
class VerdictsAndLimitsTest {
    private static final long S = 1_000_000;

    private static PolicyHarness rig() {
        return new PolicyHarness()
                .start()
                .receiveList(
                        PolicyHarness.upstream("s0", "za", 0),
                        PolicyHarness.upstream("s1", "za", 1),
                        PolicyHarness.upstream("s2", "za", 2));
    }

    private static void told(PolicyHarness rig, String server, Evidence kind, double factor, boolean holds) {
        rig.policy.onVerdicts(rig.now, List.of(new Verdict(server, kind, factor, 2, false, holds, rig.now + 2 * S)));
    }

    /** Answers each at once, so that all servers are free. */
    private static long sent(PolicyHarness rig, String server, int requests) {
        int before = rig.actionsWith("send ").size();
        for (int i = 0; i < requests; i++) {
            String id = "r" + rig.now + "-" + i;
            rig.advance(2_000).request(id);
            if (rig.sentTo(id, 0) != null) {
                rig.advance(20_000).outcome(id, 0, rig.sentTo(id, 0), Outcome.OK, 20_000);
            }
        }
        return rig.actionsWith("send ").stream()
                .skip(before)
                .filter(a -> a.split(" ")[2].equals(server))
                .count();
    }

    @Test
    void nothingGoesToWhatIsOutByWordUntilTheWordEnds() {
        PolicyHarness rig = rig();
        told(rig, "s1", Evidence.SILENT, 1, true);
        assertEquals(0, sent(rig, "s1", 40));
        rig.advance(2 * S);
        assertTrue(sent(rig, "s1", 40) > 0);
    }

    @Test
    void anAccusationAloneChangesNothing() {
        PolicyHarness rig = rig();
        told(rig, "s1", Evidence.SILENT, 1, false);
        assertTrue(sent(rig, "s1", 40) > 0);
    }

    @Test
    void ownFreshAnswersGoBeforeAnyWordAndAreToldOn() {
        PolicyHarness rig = rig();
        assertTrue(sent(rig, "s1", 40) > 0);
        rig.actions.clear();
        told(rig, "s1", Evidence.FAILING, 1, true);
        assertEquals(List.of("evidence s1 GOOD"), rig.actionsWith("evidence "));
        assertTrue(sent(rig, "s1", 40) > 0);
        // Old ones don't.
        rig.advance(10 * S);
        rig.actions.clear();
        told(rig, "s1", Evidence.FAILING, 1, true);
        assertEquals(List.of(), rig.actionsWith("evidence "));
        assertEquals(0, sent(rig, "s1", 40));
    }

    @Test
    void noWordUndoesACordonOrADrain() {
        PolicyHarness rig = rig();
        rig.policy.onCordon(rig.now, "s1", true, rig.now);
        rig.receiveList(
                PolicyHarness.upstream("s0", "za", 0),
                PolicyHarness.upstream("s1", "za", 1),
                new Upstream("s2", "za", "k", 2, 0, 1, UpstreamState.DRAINING));
        told(rig, "s1", Evidence.GOOD, 1, true);
        told(rig, "s2", Evidence.GOOD, 1, true);
        told(rig, "nobody", Evidence.SILENT, 1, true);
        assertEquals(0, sent(rig, "s1", 20) + sent(rig, "s2", 20));
        assertEquals(20, sent(rig, "s0", 20));
    }

    @Test
    void whatWasSeenOfAServerIsTold() {
        PolicyHarness rig = rig();
        rig.request("a");
        String at = rig.sentTo("a", 0);
        rig.advance(1_000).outcome("a", 0, at, Outcome.CONNECT_FAILED, 1_000);
        assertEquals(List.of("evidence " + at + " SILENT"), rig.actionsWith("evidence "));
        rig.advance(3 * S);
        sent(rig, at, 60);
        assertTrue(
                rig.actionsWith("evidence ").contains("evidence " + at + " GOOD"),
                rig.actionsWith("evidence ").toString());
    }

    @Test
    void errorsThatComeFasterThanAnAnswerCouldAreToldAsSuch() {
        PolicyHarness rig = new PolicyHarness().start().receiveList(PolicyHarness.upstream("s0", "za", 0));
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            rig.advance(1_000).request("a" + i);
            if (rig.sentTo("a" + i, 0) != null) {
                ids.add("a" + i);
            }
        }
        ids.forEach(id -> rig.advance(200).outcome(id, 0, "s0", Outcome.ERROR, 200));
        assertTrue(rig.actionsWith("evidence ").contains("evidence s0 FAILING_FAST"), rig.actions.toString());
    }

    @Test
    void aRestartThatTheListDoesNotTellMakesAServerCold() {
        PolicyHarness rig = rig();
        long warm = sent(rig, "s1", 60);
        rig.advance(10 * S);
        told(rig, "s1", Evidence.COLD, 0, true);
        long cold = sent(rig, "s1", 60);
        assertTrue(cold < warm, cold + " and " + warm);
        // Nobody's word makes it warm before its time.
        PolicyHarness other = new PolicyHarness()
                .start()
                .receiveList(
                        PolicyHarness.upstream("s0", "za", 0),
                        new Upstream("s1", "za", "k", 1, rig.now - S, 1, UpstreamState.READY));
        other.now = rig.now;
        told(other, "s1", Evidence.COLD, 1_000, true);
        PolicyHarness without = new PolicyHarness()
                .start()
                .receiveList(
                        PolicyHarness.upstream("s0", "za", 0),
                        new Upstream("s1", "za", "k", 1, rig.now - S, 1, UpstreamState.READY));
        without.now = rig.now;
        assertEquals(sent(without, "s1", 60), sent(other, "s1", 60));
    }

    private static void share(PolicyHarness rig, boolean inFlight, double share, double alone) {
        rig.policy.onLimitShares(
                rig.now, List.of(new LimitShare("l", LimitScope.CLASS, "c", inFlight, share, alone, rig.now + S)));
    }

    private static int refusedOf(PolicyHarness rig, int requests, long everyUs) {
        int before = rig.actionsWith("refuse ").size();
        for (int i = 0; i < requests; i++) {
            String id = "q" + rig.now;
            rig.advance(everyUs).request(id);
            if (rig.sentTo(id, 0) != null) {
                rig.outcome(id, 0, rig.sentTo(id, 0), Outcome.OK, 1_000);
            }
        }
        return rig.actionsWith("refuse ").size() - before;
    }

    @Test
    void moreThanTheShareIsRefusedAndPastItsTimeThePartAlone() {
        PolicyHarness rig = rig();
        share(rig, false, 20, 5);
        int refused = refusedOf(rig, 100, 9_000);
        assertTrue(refused >= 75 && refused <= 82, "of 100 in 0.9 s, 18 and a burst of 5 pass: " + refused);
        assertEquals(100 / 0.9, rig.policy.collectLimitDemands(900_000).get("l"), 0.1);
        rig.advance(S);
        refused = refusedOf(rig, 100, 10_000);
        assertTrue(refused >= 93 && refused <= 95, "5 a second: " + refused);
    }

    @Test
    void placesInFlightAreGivenBackWithEachEnd() {
        PolicyHarness rig = rig();
        share(rig, true, 2, 1);
        rig.request("a").request("b").request("c");
        assertEquals(List.of("refuse c"), rig.actionsWith("refuse "));
        assertEquals(3, rig.policy.collectLimitDemands(S).get("l"));
        rig.advance(5_000).outcome("a", 0, rig.sentTo("a", 0), Outcome.OK, 5_000);
        rig.request("d");
        assertFalse(rig.actionsWith("refuse ").contains("refuse d"));
        rig.policy.onLimitShares(rig.now, List.of());
        rig.request("e").request("f");
        assertEquals(1, rig.actionsWith("refuse ").size(), "no limit any more");
    }

    private static void weigh(PolicyHarness rig, Map<String, Double> of) {
        rig.policy.onServerWeights(rig.now, new Balancer.ServerWeights(of, rig.now + 1_000 * S));
    }

    @Test
    void aServerGetsThePartOfItsShareThatItsWeightSays() {
        PolicyHarness rig = rig();
        weigh(rig, Map.of("s1", 0.2));
        long part = sent(rig, "s1", 600);
        // Without a weight a third; of 1 + 1 + 0.2 shares a server of 0.2 is drawn first or second and wins in some 200
        // / 2.2 cases.
        assertTrue(part > 20 && part < 110, "of 600: " + part);
        weigh(rig, Map.of("s1", 0.0));
        assertEquals(0, sent(rig, "s1", 200));
        weigh(rig, Map.of());
        assertTrue(sent(rig, "s1", 300) > 60);
    }

    @Test
    void whatIsFullElsewhereIsNotSentAgainstAWeightOfNone() {
        PolicyHarness rig = rig();
        weigh(rig, Map.of("s0", 0.0, "s1", 0.0, "s2", 0.0));
        rig.request("a");
        assertEquals(List.of(), rig.actionsWith("send "));
        rig.advance(1_000 * S).fireTimer("hold").request("b");
        assertEquals(1, rig.actionsWith("send b ").size(), "past its time it counts as never told");
    }

    @Test
    void aColdServersTurnsGoByItsWeightToo() {
        Upstream cold = new Upstream("s1", "za", "k", 1, 1_000_000_000L, 1, UpstreamState.READY);
        PolicyHarness with = new PolicyHarness().start().receiveList(PolicyHarness.upstream("s0", "za", 0), cold);
        weigh(with, Map.of("s1", 0.05));
        PolicyHarness without = new PolicyHarness().start().receiveList(PolicyHarness.upstream("s0", "za", 0), cold);
        long few = sent(with, "s1", 600);
        long many = sent(without, "s1", 600);
        assertTrue(4 * few < many, few + " and " + many);
    }

    /** Two of many servers refuse connections; this sidecar is a witness against both, and their ejections are over. */
    private static PolicyHarness witness() {
        PolicyHarness rig = new PolicyHarness();
        rig.otherClasses = List.of(
                new RequestClass("unsafe", Semantics.UNSAFE, DedupScope.ALL, 0, 300_000, 0, 800_000, 3, 0, false));
        Upstream[] all = new Upstream[40];
        Arrays.setAll(all, i -> PolicyHarness.upstream("s" + i, "za", i));
        rig.start().receiveList(all);
        for (int i = 0;
                rig.actionsWith("evidence s0 ").isEmpty()
                        || rig.actionsWith("evidence s1 ").isEmpty();
                i++) {
            String to = rig.advance(1_000).request("w" + i).sentTo("w" + i, 0);
            boolean down = to.equals("s0") || to.equals("s1");
            rig.outcome("w" + i, 0, to, down ? Outcome.CONNECT_FAILED : Outcome.OK, 20_000);
            if (down) {
                rig.outcome("w" + i, 1, rig.sentTo("w" + i, 1), Outcome.OK, 20_000);
            }
        }
        rig.advance(S);
        rig.policy.onVerdicts(
                rig.now,
                List.of(
                        new Verdict("s0", Evidence.SILENT, 1, 2, true, true, rig.now + 2 * S),
                        new Verdict("s1", Evidence.SILENT, 1, 2, true, true, rig.now + 2 * S)));
        return rig;
    }

    /** Guards against a request that fails at one server known to be out and is then used to try the next such one. */
    @Test
    void aRequestTriesOneServerThatIsOutAtMost() {
        PolicyHarness rig = witness().request("a");
        assertEquals("s0", rig.sentTo("a", 0));
        rig.outcome("a", 0, "s0", Outcome.CONNECT_FAILED, 1_000);
        assertNotEquals("s1", rig.sentTo("a", 1));
        assertEquals("s1", rig.request("b").sentTo("b", 0));
    }

    /** Guards against a server known to be out that is tried by a request which nobody may send again. */
    @Test
    void whatMayNotBeRepeatedTriesNoServerThatIsOut() {
        PolicyHarness rig = witness();
        rig.policy.onRequest(rig.now, new Balancer.Request("a", -1, false, true, 0, 800_000, null, "unsafe", false));
        assertFalse(List.of("s0", "s1").contains(rig.sentTo("a", 0)));
        assertEquals("s0", rig.request("b").sentTo("b", 0));
    }

    /** Guards against a first failure of a new process that is told as one more of the process before it. */
    @Test
    void aProcessThatIsNewIsNotAccusedForTheOneBefore() {
        PolicyHarness rig = witness();
        rig.receiveList(new Upstream("s0", "za", "k", 0, rig.now - 100 * S, 1, UpstreamState.READY));
        rig.actions.clear();
        for (int i = 0; rig.actionsWith("send a" + (i - 1) + " s0 ").isEmpty(); i++) {
            rig.advance(1_000).request("a" + i).outcome("a" + i, 0, rig.sentTo("a" + i, 0), Outcome.TIMEOUT, 800_000);
        }
        assertEquals(List.of(), rig.actionsWith("evidence s0 "));
    }

    /** Guards against a second request that is lost to a silent server each time that it is tried. */
    @Test
    void aTrialOfAServerThatStaysSilentLosesOneRequest() {
        PolicyHarness rig = witness().request("a");
        assertEquals("s0", rig.sentTo("a", 0));
        rig.advance(800_000).outcome("a", 0, "s0", Outcome.TIMEOUT, 800_000);
        assertEquals("s1", rig.request("b").sentTo("b", 0));
    }
}

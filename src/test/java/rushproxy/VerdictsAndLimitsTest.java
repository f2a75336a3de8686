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

/** How the policy uses verdicts, limits and weights, as in the tables of docs/SHARED.md. */
class VerdictsAndLimitsTest {
    private static final long SECOND_US = 1_000_000;

    private static PolicyHarness harness() {
        return new PolicyHarness()
                .start()
                .receiveList(
                        PolicyHarness.upstream("s0", "za", 0),
                        PolicyHarness.upstream("s1", "za", 1),
                        PolicyHarness.upstream("s2", "za", 2));
    }

    private static void setVerdict(
            PolicyHarness harness, String server, Evidence evidence, double factor, boolean confirmed) {
        harness.policy.onVerdicts(
                harness.now,
                List.of(new Verdict(server, evidence, factor, 2, false, confirmed, harness.now + 2 * SECOND_US)));
    }

    /** Plays requests with quick answers, so that all servers stay free, and counts those sent to {@code server}. */
    private static long countSent(PolicyHarness harness, String server, int requests) {
        int before = harness.actionsWith("send ").size();
        for (int i = 0; i < requests; i++) {
            String id = "r" + harness.now + "-" + i;
            harness.advance(2_000).request(id);
            if (harness.sentTo(id, 0) != null) {
                harness.advance(20_000).outcome(id, 0, harness.sentTo(id, 0), Outcome.OK, 20_000);
            }
        }
        return harness.actionsWith("send ").stream()
                .skip(before)
                .filter(a -> a.split(" ")[2].equals(server))
                .count();
    }

    @Test
    void serverOutByVerdictGetsNoRequestsUntilTheVerdictEnds() {
        PolicyHarness harness = harness();
        setVerdict(harness, "s1", Evidence.SILENT, 1, true);
        assertEquals(0, countSent(harness, "s1", 40));
        harness.advance(2 * SECOND_US);
        assertTrue(countSent(harness, "s1", 40) > 0);
    }

    @Test
    void unconfirmedVerdictHasNoEffect() {
        PolicyHarness harness = harness();
        setVerdict(harness, "s1", Evidence.SILENT, 1, false);
        assertTrue(countSent(harness, "s1", 40) > 0);
    }

    @Test
    void recentOwnSuccessesOutweighAVerdictAndAreReported() {
        PolicyHarness harness = harness();
        assertTrue(countSent(harness, "s1", 40) > 0);
        harness.actions.clear();
        setVerdict(harness, "s1", Evidence.FAILING, 1, true);
        assertEquals(List.of("evidence s1 GOOD"), harness.actionsWith("evidence "));
        assertTrue(countSent(harness, "s1", 40) > 0);
        // Old successes do not.
        harness.advance(10 * SECOND_US);
        harness.actions.clear();
        setVerdict(harness, "s1", Evidence.FAILING, 1, true);
        assertEquals(List.of(), harness.actionsWith("evidence "));
        assertEquals(0, countSent(harness, "s1", 40));
    }

    @Test
    void verdictDoesNotUndoACordonOrADrain() {
        PolicyHarness harness = harness();
        harness.policy.onCordon(harness.now, "s1", true, harness.now);
        harness.receiveList(
                PolicyHarness.upstream("s0", "za", 0),
                PolicyHarness.upstream("s1", "za", 1),
                new Upstream("s2", "za", "k", 2, 0, 1, UpstreamState.DRAINING));
        setVerdict(harness, "s1", Evidence.GOOD, 1, true);
        setVerdict(harness, "s2", Evidence.GOOD, 1, true);
        setVerdict(harness, "nobody", Evidence.SILENT, 1, true);
        assertEquals(0, countSent(harness, "s1", 20) + countSent(harness, "s2", 20));
        assertEquals(20, countSent(harness, "s0", 20));
    }

    @Test
    void ownObservationsAreReported() {
        PolicyHarness harness = harness();
        harness.request("a");
        String at = harness.sentTo("a", 0);
        harness.advance(1_000).outcome("a", 0, at, Outcome.CONNECT_FAILED, 1_000);
        assertEquals(List.of("evidence " + at + " SILENT"), harness.actionsWith("evidence "));
        harness.advance(3 * SECOND_US);
        countSent(harness, at, 60);
        assertTrue(
                harness.actionsWith("evidence ").contains("evidence " + at + " GOOD"),
                harness.actionsWith("evidence ").toString());
    }

    @Test
    void errorsFasterThanAnAnswerAreReportedAsFastFailures() {
        PolicyHarness harness = new PolicyHarness().start().receiveList(PolicyHarness.upstream("s0", "za", 0));
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            harness.advance(1_000).request("a" + i);
            if (harness.sentTo("a" + i, 0) != null) {
                ids.add("a" + i);
            }
        }
        ids.forEach(id -> harness.advance(200).outcome(id, 0, "s0", Outcome.ERROR, 200));
        assertTrue(harness.actionsWith("evidence ").contains("evidence s0 FAILING_FAST"), harness.actions.toString());
    }

    @Test
    void verdictOnAnUnlistedRestartMakesTheServerCold() {
        PolicyHarness harness = harness();
        long warm = countSent(harness, "s1", 60);
        harness.advance(10 * SECOND_US);
        setVerdict(harness, "s1", Evidence.COLD, 0, true);
        long cold = countSent(harness, "s1", 60);
        assertTrue(cold < warm, cold + " and " + warm);
        // A verdict never makes a server warm before its ramp ends.
        PolicyHarness other = new PolicyHarness()
                .start()
                .receiveList(
                        PolicyHarness.upstream("s0", "za", 0),
                        new Upstream("s1", "za", "k", 1, harness.now - SECOND_US, 1, UpstreamState.READY));
        other.now = harness.now;
        setVerdict(other, "s1", Evidence.COLD, 1_000, true);
        PolicyHarness without = new PolicyHarness()
                .start()
                .receiveList(
                        PolicyHarness.upstream("s0", "za", 0),
                        new Upstream("s1", "za", "k", 1, harness.now - SECOND_US, 1, UpstreamState.READY));
        without.now = harness.now;
        assertEquals(countSent(without, "s1", 60), countSent(other, "s1", 60));
    }

    private static void setShare(PolicyHarness harness, boolean inFlight, double share, double fallback) {
        harness.policy.onLimitShares(
                harness.now,
                List.of(new LimitShare(
                        "l", LimitScope.CLASS, "c", inFlight, share, fallback, harness.now + SECOND_US)));
    }

    private static int countRefused(PolicyHarness harness, int requests, long everyUs) {
        int before = harness.actionsWith("refuse ").size();
        for (int i = 0; i < requests; i++) {
            String id = "q" + harness.now;
            harness.advance(everyUs).request(id);
            if (harness.sentTo(id, 0) != null) {
                harness.outcome(id, 0, harness.sentTo(id, 0), Outcome.OK, 1_000);
            }
        }
        return harness.actionsWith("refuse ").size() - before;
    }

    @Test
    void requestsBeyondTheShareAreRefusedAndAfterItsEndBeyondTheFallback() {
        PolicyHarness harness = harness();
        setShare(harness, false, 20, 5);
        int refused = countRefused(harness, 100, 9_000);
        assertTrue(refused >= 75 && refused <= 82, "of 100 in 0.9 s, 18 and a burst of 5 pass: " + refused);
        assertEquals(100 / 0.9, harness.policy.collectLimitDemands(900_000).get("l"), 0.1);
        harness.advance(SECOND_US);
        refused = countRefused(harness, 100, 10_000);
        assertTrue(refused >= 93 && refused <= 95, "5 a second: " + refused);
    }

    @Test
    void inFlightLimitIsReleasedWhenARequestEnds() {
        PolicyHarness harness = harness();
        setShare(harness, true, 2, 1);
        harness.request("a").request("b").request("c");
        assertEquals(List.of("refuse c"), harness.actionsWith("refuse "));
        assertEquals(3, harness.policy.collectLimitDemands(SECOND_US).get("l"));
        harness.advance(5_000).outcome("a", 0, harness.sentTo("a", 0), Outcome.OK, 5_000);
        harness.request("d");
        assertFalse(harness.actionsWith("refuse ").contains("refuse d"));
        harness.policy.onLimitShares(harness.now, List.of());
        harness.request("e").request("f");
        assertEquals(1, harness.actionsWith("refuse ").size(), "no limit applies any more");
    }

    private static void setWeights(PolicyHarness harness, Map<String, Double> of) {
        harness.policy.onServerWeights(harness.now, new Balancer.ServerWeights(of, harness.now + 1_000 * SECOND_US));
    }

    @Test
    void weightScalesAServersShare() {
        PolicyHarness harness = harness();
        setWeights(harness, Map.of("s1", 0.2));
        long part = countSent(harness, "s1", 600);
        // Without a weight it would get a third. With 0.2 of 2.2 shares it is drawn as first or second, and used, in
        // about 200 / 2.2 cases.
        assertTrue(part > 20 && part < 110, "of 600: " + part);
        setWeights(harness, Map.of("s1", 0.0));
        assertEquals(0, countSent(harness, "s1", 200));
        setWeights(harness, Map.of());
        assertTrue(countSent(harness, "s1", 300) > 60);
    }

    @Test
    void serversOfWeightZeroGetNoRequestsEvenIfNoOtherIsFree() {
        PolicyHarness harness = harness();
        setWeights(harness, Map.of("s0", 0.0, "s1", 0.0, "s2", 0.0));
        harness.request("a");
        assertEquals(List.of(), harness.actionsWith("send "));
        harness.advance(1_000 * SECOND_US).fireTimer("hold").request("b");
        assertEquals(1, harness.actionsWith("send b ").size(), "expired weights have no effect");
    }

    @Test
    void weightAlsoScalesAColdServersTurns() {
        Upstream cold = new Upstream("s1", "za", "k", 1, 1_000_000_000L, 1, UpstreamState.READY);
        PolicyHarness with = new PolicyHarness().start().receiveList(PolicyHarness.upstream("s0", "za", 0), cold);
        setWeights(with, Map.of("s1", 0.05));
        PolicyHarness without = new PolicyHarness().start().receiveList(PolicyHarness.upstream("s0", "za", 0), cold);
        long few = countSent(with, "s1", 600);
        long many = countSent(without, "s1", 600);
        assertTrue(4 * few < many, few + " and " + many);
    }

    /** Two of many servers refuse connections; this sidecar has witnessed both outages, and its own ejections are over. */
    private static PolicyHarness witnessHarness() {
        PolicyHarness harness = new PolicyHarness();
        harness.otherClasses = List.of(
                new RequestClass("unsafe", Semantics.UNSAFE, DedupScope.ALL, 0, 300_000, 0, 800_000, 3, 0, false));
        Upstream[] all = new Upstream[40];
        Arrays.setAll(all, i -> PolicyHarness.upstream("s" + i, "za", i));
        harness.start().receiveList(all);
        for (int i = 0;
                harness.actionsWith("evidence s0 ").isEmpty()
                        || harness.actionsWith("evidence s1 ").isEmpty();
                i++) {
            String to = harness.advance(1_000).request("w" + i).sentTo("w" + i, 0);
            boolean down = to.equals("s0") || to.equals("s1");
            harness.outcome("w" + i, 0, to, down ? Outcome.CONNECT_FAILED : Outcome.OK, 20_000);
            if (down) {
                harness.outcome("w" + i, 1, harness.sentTo("w" + i, 1), Outcome.OK, 20_000);
            }
        }
        harness.advance(SECOND_US);
        harness.policy.onVerdicts(
                harness.now,
                List.of(
                        new Verdict("s0", Evidence.SILENT, 1, 2, true, true, harness.now + 2 * SECOND_US),
                        new Verdict("s1", Evidence.SILENT, 1, 2, true, true, harness.now + 2 * SECOND_US)));
        return harness;
    }

    /** Guards against a request that fails at one server known to be out and is then sent to another such server. */
    @Test
    void requestTriesAtMostOneEjectedServer() {
        PolicyHarness harness = witnessHarness().request("a");
        assertEquals("s0", harness.sentTo("a", 0));
        harness.outcome("a", 0, "s0", Outcome.CONNECT_FAILED, 1_000);
        assertNotEquals("s1", harness.sentTo("a", 1));
        assertEquals("s1", harness.request("b").sentTo("b", 0));
    }

    /** Guards against trying a server known to be out with a request that can't be retried. */
    @Test
    void unsafeRequestTriesNoEjectedServer() {
        PolicyHarness harness = witnessHarness();
        harness.policy.onRequest(
                harness.now, new Balancer.Request("a", -1, false, true, 0, 800_000, null, "unsafe", false));
        assertFalse(List.of("s0", "s1").contains(harness.sentTo("a", 0)));
        assertEquals("s0", harness.request("b").sentTo("b", 0));
    }

    /** Guards against reporting the first failure of a new process as a further one of its predecessor. */
    @Test
    void restartedServerIsNotAccusedForItsPreviousProcess() {
        PolicyHarness harness = witnessHarness();
        harness.receiveList(new Upstream("s0", "za", "k", 0, harness.now - 100 * SECOND_US, 1, UpstreamState.READY));
        harness.actions.clear();
        for (int i = 0; harness.actionsWith("send a" + (i - 1) + " s0 ").isEmpty(); i++) {
            harness.advance(1_000)
                    .request("a" + i)
                    .outcome("a" + i, 0, harness.sentTo("a" + i, 0), Outcome.TIMEOUT, 800_000);
        }
        assertEquals(List.of(), harness.actionsWith("evidence s0 "));
    }

    /** Guards against losing a second request with each trial of a silent server. */
    @Test
    void trialOfASilentServerLosesOneRequestOnly() {
        PolicyHarness harness = witnessHarness().request("a");
        assertEquals("s0", harness.sentTo("a", 0));
        harness.advance(800_000).outcome("a", 0, "s0", Outcome.TIMEOUT, 800_000);
        assertEquals("s1", harness.request("b").sentTo("b", 0));
    }
}

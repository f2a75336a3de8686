package rushproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.DedupScope;
import rushproxy.Balancer.ListKind;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;
import rushproxy.Balancer.Request;
import rushproxy.Balancer.RequestClass;
import rushproxy.Balancer.Semantics;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;

class PolicyTest {
    private static final Upstream A = PolicyHarness.upstream("a", "za", 1);
    private static final Upstream B = PolicyHarness.upstream("b", "zb", 2);

    // ---- final answers --------------------------------------------------------------------------

    @Test
    void requestIsRefusedBeforeItsDeadlineWithoutServers() {
        PolicyHarness harness = new PolicyHarness().start();
        harness.request("r");
        for (int i = 0; i < 100; i++) {
            harness.advance(5_000).fireTimer("hold");
        }
        assertEquals(List.of("refuse r"), harness.actionsWith("refuse"));
        assertTrue(harness.actionsWith("fail").isEmpty());
    }

    @Test
    void requestWithTooLittleTimeIsRefusedAtOnce() {
        PolicyHarness harness = new PolicyHarness().start();
        harness.request("r", 3_000);
        assertEquals(1, harness.actionsWith("refuse r").size());
    }

    /** Guards against queueing by deadline alone: a place that becomes free goes to the work of highest worth. */
    @Test
    void queuedRequestOfHighestWorthIsSentFirst() {
        PolicyHarness harness = new PolicyHarness();
        harness.otherClasses = List.of(new RequestClass(
                "rich", Semantics.SAFE, DedupScope.ALL, 4_000_000, 900_000, 0, 2_000_000, 30, 0, false));
        harness.start().receiveList(A);
        int busy = 0;
        while (harness.actionsWith("send").size() == busy) {
            harness.request("busy" + busy++);
        }
        harness.policy.onRequest(harness.now, new Request("rich", -1, false, false, 0, 2_000_000, null, "rich"));
        harness.advance(60_000).outcome("busy0", 0, "a", Outcome.OK, 60_000);
        assertEquals("a", harness.sentTo("rich", 0));
        assertNull(harness.sentTo("busy" + (busy - 1), 0));
    }

    /** The aim counts from the client's first try: a retry that can't meet it any more is refused at once. */
    @Test
    void clientRetryIsQueuedOnlyUntilTheAimOfItsFirstTry() {
        PolicyHarness harness = new PolicyHarness().start();
        harness.policy.onRequest(harness.now, new Request("first", 5, false, false, 0, 440_000, null, "c"));
        for (int i = 0; i < 60; i++) {
            harness.advance(5_000).fireTimer("hold");
        }
        assertEquals(1, harness.actionsWith("refuse first").size());
        harness.policy.onRequest(harness.now, new Request("retry", 5, true, false, 0, 440_000, null, "c"));
        harness.policy.onRequest(harness.now, new Request("other", 6, false, false, 0, 440_000, null, "c"));
        assertEquals(1, harness.actionsWith("refuse retry").size());
        assertTrue(harness.actionsWith("refuse other").isEmpty());
    }

    @Test
    void timeoutAtTheDeadlineFailsTheRequest() {
        PolicyHarness harness = new PolicyHarness();
        harness.semantics = Semantics.KEYED;
        harness.dedupScope = DedupScope.ZONE;
        harness.start().receiveList(A).request("r").advance(800_000).outcome("r", 0, "a", Outcome.TIMEOUT, 800_000);
        assertEquals(1, harness.actionsWith("fail r").size());
        assertEquals(1, harness.actionsWith("send r").size());
    }

    @Test
    void noActionFollowsAfterTheClientDisconnects() {
        PolicyHarness harness = new PolicyHarness().start().receiveList(A, B);
        harness.request("r");
        harness.policy.onRequestExpired(harness.now, "r");
        harness.advance(10_000).outcome("r", 0, harness.sentTo("r", 0), Outcome.CONNECT_FAILED, 10_000);
        assertEquals(1, harness.actionsWith("send r").size());
        assertTrue(harness.actionsWith("fail").isEmpty()
                && harness.actionsWith("refuse").isEmpty());
    }

    @Test
    void startedStreamIsNeitherRetriedNorAnsweredAgain() {
        PolicyHarness harness = new PolicyHarness();
        harness.stream = true;
        harness.start().receiveList(A, B).request("r");
        harness.policy.onStreamStart(harness.now, "r", 0, harness.sentTo("r", 0), 5_000);
        harness.policy.onOutcome(harness.now, "r", 0, harness.sentTo("r", 0), Outcome.RESET, 9_000, true, null);
        assertEquals(1, harness.actionsWith("send").size());
        assertTrue(harness.actionsWith("fail").isEmpty()
                && harness.actionsWith("refuse").isEmpty());
    }

    // ---- retry safety ---------------------------------------------------------------------------

    @Test
    void unsafeRequestThatMayHaveRunIsFailedWithoutRetry() {
        PolicyHarness harness = new PolicyHarness();
        harness.semantics = Semantics.UNSAFE;
        harness.start().receiveList(A, B).request("r").advance(10_000);
        harness.outcome("r", 0, harness.sentTo("r", 0), Outcome.ERROR, 10_000);
        assertEquals(1, harness.actionsWith("send r").size());
        assertEquals(1, harness.actionsWith("fail r").size());
        assertTrue(harness.actionsWith("refuse").isEmpty());
    }

    @Test
    void unsafeRequestThatDidNotRunIsRetried() {
        PolicyHarness harness = new PolicyHarness();
        harness.semantics = Semantics.UNSAFE;
        harness.start().receiveList(A, B).request("r").advance(10_000);
        harness.outcome("r", 0, harness.sentTo("r", 0), Outcome.CONNECT_FAILED, 10_000);
        assertNotNull(harness.sentTo("r", 1));
        assertNotEquals(harness.sentTo("r", 0), harness.sentTo("r", 1));
    }

    @Test
    void keyedRequestIsRetriedOnlyInTheDeduplicatingZone() {
        for (int seed = 0; seed < 20; seed++) {
            PolicyHarness harness = new PolicyHarness();
            harness.seed = seed;
            harness.semantics = Semantics.KEYED;
            harness.dedupScope = DedupScope.ZONE;
            harness.start()
                    .receiveList(A, B, PolicyHarness.upstream("c", "zb", 3))
                    .request("r")
                    .advance(10_000);
            String first = harness.sentTo("r", 0);
            harness.outcome("r", 0, first, Outcome.RESET, 10_000);
            String second = harness.sentTo("r", 1);
            if (second != null) {
                assertEquals(first.equals("a"), second.equals("a"), first + " then " + second);
            }
            assertTrue(harness.actionsWith("refuse").isEmpty());
        }
    }

    @Test
    void keyedRequestIsRetriedOnlyInItsCellAndWindow() {
        PolicyHarness harness = new PolicyHarness();
        harness.semantics = Semantics.KEYED;
        harness.dedupScope = DedupScope.CELL;
        harness.start()
                .receiveList(A, B)
                .request("r")
                .advance(10_000)
                .outcome("r", 0, harness.sentTo("r", 0), Outcome.ERROR, 10_000);
        String second = harness.sentTo("r", 1);
        assertTrue(second == null || second.equals(harness.sentTo("r", 0)));

        PolicyHarness late = new PolicyHarness();
        late.semantics = Semantics.KEYED;
        late.dedupWindowUs = 5_000;
        late.start()
                .receiveList(A, B)
                .request("r")
                .advance(10_000)
                .outcome("r", 0, late.sentTo("r", 0), Outcome.ERROR, 10_000);
        assertNull(late.sentTo("r", 1));
        // It may have run, and no server deduplicates it any more: a refusal would wrongly invite a retry.
        assertEquals(1, late.actionsWith("fail r").size());
        assertTrue(late.actionsWith("refuse").isEmpty());
    }

    /** The deduplication window may end during connection setup, between the decision and the actual send. */
    @Test
    void retryStartsOnlyWithinTheDeduplicationWindow() {
        PolicyHarness harness = new PolicyHarness();
        harness.semantics = Semantics.KEYED;
        harness.dedupWindowUs = 50_000;
        harness.start().receiveList(A, B).request("r");
        assertTrue(harness.policy.canStartAttempt(harness.now + 100_000, "r", 0), "a first attempt is no retry");
        harness.advance(45_000).outcome("r", 0, harness.sentTo("r", 0), Outcome.ERROR, 10_000);
        assertNotNull(harness.sentTo("r", 1));
        assertTrue(harness.policy.canStartAttempt(harness.now + 4_000, "r", 1));
        assertFalse(harness.policy.canStartAttempt(harness.now + 5_000, "r", 1));
        assertFalse(harness.policy.canStartAttempt(harness.now, "other", 0));
        harness.policy.onRequestExpired(harness.now, "r");
        assertFalse(harness.policy.canStartAttempt(harness.now, "r", 1), "the client has disconnected");
    }

    /** A refusal invites a retry and so is only for requests that have not run, even if the class is safe. */
    @Test
    void requestThatMayHaveRunIsFailedNotRefused() {
        for (Outcome outcome : new Outcome[] {Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.REJECTED}) {
            PolicyHarness harness = new PolicyHarness();
            harness.maxAttempts = 1;
            harness.start()
                    .receiveList(A, B)
                    .request("r")
                    .advance(10_000)
                    .outcome("r", 0, harness.sentTo("r", 0), outcome, 10_000);
            assertEquals(
                    outcome.mayHaveRun ? 1 : 0, harness.actionsWith("fail r").size(), outcome.name());
            assertEquals(
                    outcome.mayHaveRun ? 0 : 1, harness.actionsWith("refuse r").size(), outcome.name());
        }
    }

    @Test
    void maxAttemptsAreRespected() {
        PolicyHarness harness = new PolicyHarness();
        harness.maxAttempts = 2;
        harness.start().receiveList(A, B, PolicyHarness.upstream("c", "zc", 3)).request("r");
        for (int i = 0; i < 2; i++) {
            harness.advance(1_000).outcome("r", i, harness.sentTo("r", i), Outcome.CONNECT_FAILED, 1_000);
        }
        assertEquals(2, harness.actionsWith("send r").size());
        assertEquals(1, harness.actionsWith("refuse r").size());
    }

    @Test
    void concurrentAttemptIsAllowedOnlyWithSecondCopies() {
        for (boolean copies : new boolean[] {false, true}) {
            PolicyHarness harness = new PolicyHarness();
            harness.secondCopies = copies;
            harness.start().receiveList(A, B).request("r");
            PolicyState.Server other =
                    harness.policy.servers.get(harness.sentTo("r", 0).equals("a") ? "b" : "a");
            assertEquals(copies, harness.policy.canSend(harness.now, harness.policy.activeRequests.get("r"), other));
        }
    }

    // ---- streamed bodies and answers ------------------------------------------------------------

    /** A body may take a minute to arrive: until then the server neither has work nor is overdue. */
    @Test
    void incompleteBodiesDoNotOccupyTheServer() {
        PolicyHarness harness = new PolicyHarness().start().receiveList(A);
        for (int i = 0; i < 6; i++) {
            harness.policy.onRequest(
                    harness.now, new Balancer.Request("b" + i, -1, false, false, 0, 800_000, null, "c", true));
        }
        assertEquals(6, harness.actionsWith("send").size(), "incomplete bodies block nothing");
        harness.advance(60_000_000).request("r");
        assertEquals("a", harness.sentTo("r", 0));
        for (int i = 0; i < 6; i++) {
            harness.policy.onRequestSent(harness.now, "b" + i, 0);
        }
        harness.request("s");
        assertEquals(null, harness.sentTo("s", 0), "six requests occupy the server");
    }

    /** A long answer is complete when it starts: the time of the client's link is not the server's. */
    @Test
    void streamingAnswersDoNotOccupyTheServer() {
        PolicyHarness harness = new PolicyHarness().start().receiveList(A);
        for (int i = 0; i < 40; i++) {
            harness.request("r" + i).advance(20_000);
            harness.policy.onStreamStart(harness.now, "r" + i, 0, "a", 20_000);
        }
        harness.advance(60_000_000).request("last");
        assertEquals("a", harness.sentTo("last", 0));
        for (int i = 0; i < 40; i++) {
            harness.outcome("r" + i, 0, "a", Outcome.OK, 60_000_000);
        }
        harness.advance(1_000).request("after");
        assertEquals("a", harness.sentTo("after", 0));
        assertTrue(harness.policy.activeRequests.size() <= 2);
    }

    // ---- cordons --------------------------------------------------------------------------------

    @Test
    void cordonedServerGetsNoRequestsWhateverTheListSays() {
        PolicyHarness harness = new PolicyHarness().start().receiveList(A, B);
        harness.policy.onCordon(harness.now, "a", true, harness.now);
        Upstream again = new Upstream("a", "za", "k", 1, harness.now, 1, UpstreamState.READY);
        for (int i = 0; i < 20; i++) {
            harness.request("r" + i).outcome("r" + i, 0, "b", Outcome.ERROR, 1_000);
            harness.advance(300_000).fireTimer("hold");
            if (i == 5) {
                harness.receiveList(B);
            }
            if (i == 10) {
                harness.receiveList(again, B);
            }
        }
        assertTrue(harness.actionsWith("send").stream().noneMatch(a -> a.contains(" a ")), harness.actions.toString());
        assertFalse(harness.actionsWith("send").isEmpty());
    }

    @Test
    void serverCordonedBeforeItIsListedGetsNoRequests() {
        PolicyHarness harness = new PolicyHarness().start();
        harness.policy.onCordon(harness.now, "a", true, harness.now);
        harness.receiveList(A).request("r");
        assertTrue(harness.actionsWith("send").isEmpty());
        harness.policy.onCordon(harness.now, "a", false, harness.now);
        // Sidecars take turns with a cold server's budget: this one's turn comes within some slots.
        for (int i = 0; i < 30; i++) {
            harness.request("s" + i).advance(100_000).fireTimer("hold");
        }
        assertFalse(harness.actionsWith("send").isEmpty());
    }

    /** Guards against an uncordoned server that gets nothing for seconds, as slow start reduces its share. */
    @Test
    void uncordonedServerGetsARequestSoon() {
        for (long seed = 0; seed < 20; seed++) {
            PolicyHarness harness = new PolicyHarness();
            harness.seed = seed;
            harness.start().receiveList(A, B);
            harness.policy.onCordon(harness.now, "a", true, harness.now);
            harness.advance(3_000_000);
            harness.policy.onCordon(harness.now, "a", false, harness.now);
            for (int i = 0; i < 40 && harness.actionsWith("send").stream().noneMatch(a -> a.contains(" a ")); i++) {
                harness.request("r" + i)
                        .advance(20_000)
                        .outcome("r" + i, 0, "b", Outcome.OK, 20_000)
                        .advance(80_000);
            }
            assertTrue(harness.actionsWith("send").stream().anyMatch(a -> a.contains(" a ")), "seed " + seed);
        }
    }

    /** A cordoned server is restarted before it is uncordoned, even if the list does not show it. */
    @Test
    void uncordonedServerIsCold() {
        PolicyHarness warm = new PolicyHarness().start().receiveList(A);
        PolicyHarness back = new PolicyHarness().start().receiveList(A);
        back.policy.onCordon(back.now, "a", true, back.now);
        back.advance(3_000_000);
        back.policy.onCordon(back.now, "a", false, back.now);
        for (PolicyHarness harness : List.of(warm, back)) {
            for (int i = 0; i < 100; i++) {
                harness.request("r" + i)
                        .outcome("r" + i, 0, "a", Outcome.OK, 5_000)
                        .advance(5_000);
            }
        }
        assertTrue(
                back.actionsWith("send").size() < warm.actionsWith("send").size(),
                back.actionsWith("send").size() + " of "
                        + warm.actionsWith("send").size());
    }

    // ---- drains and cold servers ----------------------------------------------------------------

    @Test
    void drainingOrUnlistedServerGetsNoRequests() {
        PolicyHarness harness = new PolicyHarness().start().receiveList(A, B);
        harness.policy.onUpstreamList(
                harness.now, ListKind.DELTA, List.of(new Upstream("a", "za", "k", 1, 0, 1, UpstreamState.DRAINING)));
        harness.request("r1").request("r2");
        harness.policy.onUpstreamList(harness.now, ListKind.FULL, List.of(A));
        harness.advance(1).request("r3");
        assertEquals("b", harness.sentTo("r1", 0));
        assertEquals("b", harness.sentTo("r2", 0));
        assertEquals("a", harness.sentTo("r3", 0));
    }

    @Test
    void coldServerGetsOnlyThisSidecarsPartOfItsBudget() {
        PolicyHarness harness = new PolicyHarness();
        harness.aimUs = 40_000;
        harness.start();
        harness.receiveList(new Upstream("a", "za", "k", 1, harness.now, 1, UpstreamState.READY));
        long sent = 0;
        for (int i = 0; i < 100; i++) {
            harness.advance(10_000).request("r" + i);
            if (harness.sentTo("r" + i, 0) != null) {
                sent++;
                harness.advance(1_000).outcome("r" + i, 0, "a", Outcome.OK, 10_000);
            }
        }
        // 10 ms each; the budget is 3 x at most 0.17 of the capacity (two cores initially) in 1.1 s, and half
        // of it is this sidecar's.
        assertTrue(sent >= 1 && sent * 10_000 <= 3 * 0.17 * 2 * 1_100_000 / 2, "sent " + sent);
    }

    /**
     * Incident i60eb35: hundreds of sidecars with traffic learn of a cold server at the same time and get no peer messages.
     * Together they must keep within the budget of every window, and still warm the server.
     */
    @Test
    void manySidecarsTogetherKeepWithinAColdServersBudget() {
        int sidecars = 600;
        List<PolicyHarness> harnesses = new ArrayList<>();
        for (int i = 0; i < sidecars; i++) {
            PolicyHarness harness = new PolicyHarness();
            harness.sidecarIndex = i;
            harness.seed = i;
            harness.sidecarCount = sidecars;
            harness.aimUs = 400_000;
            harnesses.add(
                    harness.start().receiveList(new Upstream("a", "za", "k", 1, harness.now, 1, UpstreamState.READY)));
        }
        List<Long> sends = new ArrayList<>();
        for (int step = 0; step < 800; step++) {
            for (PolicyHarness harness : harnesses) {
                harness.actions.clear();
                String id = "r" + step;
                harness.advance(10_000).request(id, 300_000);
                if (harness.sentTo(id, 0) != null) {
                    sends.add(harness.now);
                    harness.outcome(id, 0, "a", Outcome.OK, 100_000);
                }
                harness.fireTimer("hold");
            }
        }
        assertWarmedWithinBudget(1_000_000_000L, sends);
    }

    /** Checks sends of 0.1 s of work to a server that started cold at {@code start}: enough, and no window over budget. */
    private static void assertWarmedWithinBudget(long start, List<Long> sends) {
        assertTrue(sends.size() > 8, "too few sends to warm it: " + sends.size());
        for (int i = 0; i < sends.size(); i++) {
            int j = i;
            while (j < sends.size() && sends.get(j) < sends.get(i) + 1_000_000) {
                j++;
            }
            double capacityFraction = 0.13 + 0.87 * (sends.get(i) - start) / 24e6;
            assertTrue(
                    (j - i) * 0.1 <= 3 * capacityFraction,
                    (j - i) + " requests of 0.1 s at a capacity of " + capacityFraction);
        }
    }

    /** With probes more sidecars have a turn: all wait for room at the same time, held back by the probes' answers. */
    @Test
    void manyProbingSidecarsKeepWithinAColdServersBudget() {
        int sidecars = 500;
        List<PolicyHarness> harnesses = new ArrayList<>();
        for (int i = 0; i < sidecars; i++) {
            PolicyHarness harness = new PolicyHarness();
            harness.sidecarIndex = i;
            harness.seed = i;
            harness.sidecarCount = sidecars;
            harness.aimUs = 400_000;
            harness.probing = true;
            harnesses.add(
                    harness.start().receiveList(new Upstream("a", "za", "k", 1, harness.now, 1, UpstreamState.READY)));
        }
        List<Long> sends = new ArrayList<>();
        double work = 0;
        for (int step = 0; step < 2000; step++) {
            double capacityFraction = 0.13 + 0.87 * step * 5_000 / 24e6;
            work = Math.max(0, work - capacityFraction * 5_000);
            double held = Math.ceil(work / 100_000);
            for (PolicyHarness harness : harnesses) {
                boolean probed = !harness.actionsWith("probe").isEmpty();
                harness.actions.clear();
                harness.advance(5_000);
                if (probed) {
                    harness.policy.onProbeResult(
                            harness.now, "a", Outcome.OK, 1_000, new LoadReport(held, Math.max(0, held - 1), 1));
                }
                if (step % 100 == 0) {
                    harness.request("r" + step, 700_000);
                }
                harness.fireTimer("hold");
                for (String send : harness.actionsWith("send")) {
                    sends.add(harness.now);
                    work += 100_000;
                    harness.outcome(send.split(" ")[1], 0, "a", Outcome.OK, 100_000);
                }
            }
        }
        assertWarmedWithinBudget(1_000_000_000L, sends);
    }

    // ---- connections ----------------------------------------------------------------------------

    private static Upstream withState(Upstream upstream, UpstreamState state) {
        return new Upstream(
                upstream.id(), upstream.zone(), upstream.kind(), upstream.cell(), upstream.startedUs(), 1, state);
    }

    @Test
    void idleConnectionsToADrainingServerAreClosedIfConfigured() {
        for (long within : new long[] {0, 500_000}) {
            PolicyHarness harness = new PolicyHarness();
            harness.closeOnDrainWithinUs = within;
            harness.start().receiveList(A).request("r").request("s");
            harness.policy.onUpstreamList(harness.now, ListKind.DELTA, List.of(withState(A, UpstreamState.DRAINING)));
            assertEquals(within > 0 ? 1 : 0, harness.actionsWith("close a").size());
            harness.advance(50_000).outcome("r", 0, "a", Outcome.OK, 50_000);
            assertEquals(within > 0 ? 2 : 0, harness.actionsWith("close a").size());
            // It is ready again: connections stay open.
            harness.policy.onUpstreamList(harness.now, ListKind.DELTA, List.of(A));
            harness.advance(50_000).outcome("s", 0, "a", Outcome.OK, 100_000);
            assertEquals(within > 0 ? 2 : 0, harness.actionsWith("close a").size());
        }
    }

    @Test
    void connectionsToAnUnlistedServerAreClosedIfItWasUsed() {
        PolicyHarness harness = new PolicyHarness();
        harness.closeOnDrainWithinUs = 500_000;
        harness.start().receiveList(A, B).request("r");
        String used = harness.sentTo("r", 0);
        harness.policy.onUpstreamList(harness.now, ListKind.FULL, List.of());
        assertEquals(List.of("close " + used), harness.actionsWith("close"));
    }

    @Test
    void sidecarUsesAnEvenSubsetOfServersWhereConnectionsHaveAPrice() {
        int sidecars = 400;
        List<Upstream> fleet = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            String kind = i % 3 == 0 ? "slow" : "fast";
            fleet.add(new Upstream("u" + i * 7919, "za", kind, i / 3, 0, 1, UpstreamState.READY));
        }
        java.util.Map<String, Integer> users = new java.util.HashMap<>();
        for (int i = 0; i < sidecars; i++) {
            PolicyHarness harness = new PolicyHarness();
            harness.sidecarIndex = i;
            harness.sidecarCount = sidecars;
            harness.connectionPrice = 0.05;
            harness.loadReporting = Balancer.LoadReporting.NONE;
            harness.start().receiveList(fleet.toArray(new Upstream[0]));
            java.util.Set<String> used = new java.util.HashSet<>();
            for (int j = 0; j < 40; j++) {
                harness.advance(200_000).request("r" + j);
                used.add(harness.sentTo("r" + j, 0));
                harness.outcome("r" + j, 0, harness.sentTo("r" + j, 0), Outcome.OK, 75_000);
            }
            assertTrue(used.size() <= 6, "" + used);
            used.forEach(u -> users.merge(u, 1, Integer::sum));
        }
        assertEquals(60, users.size());
        users.forEach((u, c) -> assertTrue(c >= 5 && c <= 50, u + " has " + c));
    }

    /** Silently dropped connections: the failure is attributed to the idle time, not to the server. */
    @Test
    void longIdleConnectionIsClosedBeforeUseOnceOneWasDropped() {
        PolicyHarness harness = new PolicyHarness();
        harness.connectionPrice = 0.05;
        harness.start().receiveList(A).request("r0").advance(75_000).outcome("r0", 0, "a", Outcome.OK, 75_000);
        harness.advance(2_000_000).request("r1").advance(1_000).outcome("r1", 0, "a", Outcome.RESET, 1_000);
        assertEquals("a", harness.sentTo("r1", 1));
        harness.advance(75_000).outcome("r1", 1, "a", Outcome.OK, 75_000);
        assertEquals(0, harness.actionsWith("close").size());
        harness.advance(1_800_000).request("r2");
        assertEquals(1, harness.actionsWith("close a").size());
        harness.advance(75_000)
                .outcome("r2", 0, "a", Outcome.OK, 75_000)
                .advance(500_000)
                .request("r3");
        assertEquals(1, harness.actionsWith("close a").size(), "a short idle time keeps the connection");
    }

    /** Guards against a silent server that is tried rarely, so that every time-out is attributed to an idle connection. */
    @Test
    void rarelyTriedServerIsFoundSilent() {
        PolicyHarness harness = new PolicyHarness();
        harness.connectionPrice = 0.05;
        harness.start().receiveList(A).request("r").advance(75_000).outcome("r", 0, "a", Outcome.OK, 75_000);
        for (int i = 0; i < 3; i++) {
            harness.advance(6_000_000)
                    .request("r" + i)
                    .advance(800_000)
                    .outcome("r" + i, 0, "a", Outcome.TIMEOUT, 800_000);
        }
        assertEquals(List.of("evidence a DROPS_IDLE", "evidence a SILENT"), harness.actionsWith("evidence"));
    }

    /** Latencies far above the best reveal other sidecars' requests: shedding starts before servers collapse. */
    @Test
    void requestsAreShedWhenLatenciesRiseWithoutLoadReports() {
        for (int sidecars : new int[] {4, 400}) {
            PolicyHarness harness = new PolicyHarness();
            harness.sidecarCount = sidecars;
            harness.loadReporting = Balancer.LoadReporting.NONE;
            harness.aimUs = 700_000;
            harness.start().receiveList(A, B);
            int refused = 0;
            for (int i = 0; i < 200; i++) {
                harness.actions.clear();
                harness.advance(700_000).request("r" + i);
                String to = harness.sentTo("r" + i, 0);
                refused += to == null ? 1 : 0;
                if (to != null) {
                    harness.outcome("r" + i, 0, to, Outcome.OK, i < 100 ? 100_000 : 300_000);
                }
                assertTrue(i > 100 || to != null, "all are sent without congestion");
            }
            assertTrue(sidecars > 10 ? refused > 30 : refused == 0, sidecars + " sidecars refused " + refused);
        }
    }

    // ---- load probes ----------------------------------------------------------------------------

    private static PolicyHarness probingHarness() {
        PolicyHarness harness = new PolicyHarness();
        harness.probing = true;
        return harness.start().receiveList(A, B);
    }

    @Test
    void bothDrawnServersAreProbedAndTheLessLoadedIsUsed() {
        PolicyHarness harness = probingHarness().request("r");
        assertEquals(2, harness.actionsWith("probe").size());
        assertNull(harness.sentTo("r", 0));
        harness.advance(1_000);
        harness.policy.onProbeResult(harness.now, "a", Outcome.OK, 1_000, new LoadReport(2, 1, 1));
        harness.policy.onProbeResult(harness.now, "b", Outcome.OK, 1_000, new LoadReport(0, 0, 0));
        assertEquals("b", harness.sentTo("r", 0));
    }

    /** A probe reveals a stalled server before a request is lost to it. */
    @Test
    void serverWithoutAProbeAnswerByTheNextSweepIsPassedOver() {
        PolicyHarness harness = probingHarness().request("r").advance(1_000);
        harness.policy.onProbeResult(harness.now, "a", Outcome.OK, 1_000, new LoadReport(0, 0, 0));
        assertNull(harness.sentTo("r", 0));
        harness.advance(5_000).fireTimer("hold");
        assertEquals("a", harness.sentTo("r", 0));
    }

    @Test
    void probeAnsweredWithoutLoadCountsAsBusy() {
        PolicyHarness harness = probingHarness().request("r").advance(1_000);
        harness.policy.onProbeResult(harness.now, "a", Outcome.OK, 1_000, null);
        harness.policy.onProbeResult(harness.now, "b", Outcome.OK, 1_000, new LoadReport(1, 0, 1));
        for (int i = 0; i < 3 && harness.sentTo("r", 0) == null; i++) {
            harness.advance(5_000);
            harness.policy.onProbeResult(harness.now, "a", Outcome.OK, 1_000, null);
            harness.policy.onProbeResult(harness.now, "b", Outcome.OK, 1_000, new LoadReport(1, 0, 1));
            harness.fireTimer("hold");
        }
        assertEquals("b", harness.sentTo("r", 0));
    }

    /** A probe that this sidecar did not send or cancelled says nothing about the server. */
    @Test
    void probeThatWasNotSentDoesNotEjectTheServer() {
        for (Outcome own : new Outcome[] {Outcome.NOT_SENT, Outcome.CANCELLED}) {
            PolicyHarness harness = new PolicyHarness();
            harness.start().receiveList(A);
            for (int i = 0; i < 5; i++) {
                harness.policy.onProbeResult(harness.now, "a", own, 1_000, null);
            }
            assertEquals("a", harness.request("r").sentTo("r", 0), own.toString());
        }
    }

    // ---- server selection -----------------------------------------------------------------------

    @Test
    void lessLoadedOfTwoServersIsUsed() {
        PolicyHarness harness = new PolicyHarness().start().receiveList(A, B);
        harness.request("r1").request("r2");
        assertNotEquals(harness.sentTo("r1", 0), harness.sentTo("r2", 0));
    }

    @Test
    void drawsFollowTheShares() {
        // Equal idle servers are drawn equally often.
        PolicyHarness harness = new PolicyHarness()
                .start()
                .receiveList(A, B, PolicyHarness.upstream("c", "zc", 3), PolicyHarness.upstream("d", "zc", 4));
        int[] count = new int[4];
        for (int i = 0; i < 4000; i++) {
            harness.advance(1_000).request("r" + i);
            String to = harness.sentTo("r" + i, 0);
            count[to.charAt(0) - 'a']++;
            harness.outcome("r" + i, 0, to, Outcome.OK, 75_000);
            harness.actions.clear();
        }
        for (int c : count) {
            assertTrue(c > 800 && c < 1200, "" + c);
        }
    }

    @Test
    void tiesAreBrokenByShare() {
        PolicyHarness harness = new PolicyHarness().start().receiveList(A, B).request("first");
        harness.outcome("first", 0, harness.sentTo("first", 0), Outcome.OK, 75_000);
        harness.policy.servers.get("a").share = 0.75;
        harness.policy.servers.get("b").share = 0.25;
        int toA = 0;
        for (int i = 0; i < 4000; i++) {
            harness.actions.clear();
            harness.request("r" + i);
            String to = harness.sentTo("r" + i, 0);
            toA += to.equals("a") ? 1 : 0;
            harness.outcome("r" + i, 0, to, Outcome.OK, 75_000);
        }
        assertTrue(toA > 2900 && toA < 3100, "" + toA);
    }

    /** One message per interval, whatever the fleet's size, and never to the sender itself. */
    @Test
    void peerMessageGoesToOneOtherSidecarAtATime() {
        PolicyHarness harness = new PolicyHarness();
        harness.sidecarCount = 500;
        harness.start().receiveList(A, B).fireTimer("tell");
        assertEquals(1, harness.actionsWith("tell").size());
        assertFalse(harness.actionsWith("tell").get(0).startsWith("tell -1"));
        assertFalse(harness.actionsWith("tell").get(0).startsWith("tell 0 "));
        harness.advance(1_000_000).fireTimer("tell");
        assertEquals(2, harness.actionsWith("tell").size());
    }

    /** Guards against a kind's speed that drifts without bound, and cores that keep their initial estimate. */
    @Test
    void speedAndCoresAreEstimatedFromAnswersAlone() {
        PolicyHarness harness = new PolicyHarness();
        harness.loadReporting = Balancer.LoadReporting.NONE;
        harness.aimUs = 4_000_000;
        harness.start().receiveList(A);
        long[] freeAt = new long[4];
        List<long[]> due = new ArrayList<>();
        int next = 0;
        for (long t = 0; t < 120_000; t++) {
            harness.advance(1_000);
            if (t % 15 == 0) {
                harness.policy.onRequest(
                        harness.now, new Request("r" + next, -1, false, false, 100_000, 4_000_000, null, "c"));
                next++;
            }
            harness.fireTimer("hold");
            for (String send : harness.actionsWith("send")) {
                int core = 0;
                for (int c = 1; c < 4; c++) {
                    core = freeAt[c] < freeAt[core] ? c : core;
                }
                freeAt[core] = Math.max(freeAt[core], harness.now) + 50_000;
                due.add(new long[] {freeAt[core], Long.parseLong(send.split(" ")[1].substring(1)), harness.now});
            }
            harness.actions.clear();
            for (int i = 0; i < due.size(); i++) {
                long[] d = due.get(i);
                if (d[0] <= harness.now) {
                    due.remove(i--);
                    harness.outcome("r" + d[1], 0, "a", Outcome.OK, harness.now - d[2]);
                }
            }
        }
        double slow = harness.policy.servers.get("a").slowness();
        double cores = harness.policy.kinds.get("k").cores;
        assertTrue(cores > 2.5 && cores < 5, "" + cores);
        // Four cores at twice the standard speed: their total capacity matters.
        assertTrue(cores / slow > 6.5 && cores / slow < 9.5, cores + " cores, slowness " + slow);
    }

    /**
     * Guards against a server that was once faster and keeps all requests of a sidecar with little traffic: without requests to
     * the others, their improvement goes unnoticed.
     */
    @Test
    void serversThatBecomeFasterAreUsedAgain() {
        PolicyHarness harness = new PolicyHarness();
        harness.loadReporting = Balancer.LoadReporting.NONE;
        harness.start().receiveList(A, B, PolicyHarness.upstream("c", "za", 1), PolicyHarness.upstream("d", "za", 1));
        int consecutive = 0;
        for (int i = 0; consecutive < 50 && i < 5_000; i++) {
            consecutive = isSentToFirstServer(harness, 50_000) ? consecutive + 1 : 0;
        }
        assertEquals(50, consecutive, "while the others are slow");
        int sentToFirst = 0;
        for (int i = 0; i < 2_000; i++) {
            sentToFirst += isSentToFirstServer(harness, 10_000) && i >= 1_000 ? 1 : 0;
        }
        assertTrue(sentToFirst < 500, "one of four servers has " + sentToFirst + " of 1000 requests");
    }

    /** Plays one request and its answer in at least 20 ms and returns whether server "a", which takes 10 ms, got it. */
    private static boolean isSentToFirstServer(PolicyHarness harness, long othersUs) {
        harness.actions.clear();
        String server = harness.request("r").sentTo("r", 0);
        long tookUs = server.equals("a") ? 10_000 : othersUs;
        harness.advance(tookUs).outcome("r", 0, server, Outcome.OK, tookUs).advance(Math.max(0, 20_000 - tookUs));
        return server.equals("a");
    }

    /** An unlisted drain shows as rejections by a server with little load. */
    @Test
    void rejectionByAnIdleServerEjectsIt() {
        assertEjectedAfter(Outcome.REJECTED, 30_000);
    }

    /** Without load reports own requests say little: a server full of others' requests soon has room again. */
    @Test
    void serverFullOfOthersRequestsIsSoonTriedAgain() {
        PolicyHarness harness = new PolicyHarness();
        harness.loadReporting = Balancer.LoadReporting.NONE;
        harness.start().receiveList(A, B).request("r").advance(1_000);
        String full = harness.sentTo("r", 0);
        harness.outcome("r", 0, full, Outcome.REJECTED, 1_000);
        assertNotEquals(full, harness.sentTo("r", 1));
        harness.advance(100_000).request("n0").request("n1");
        assertTrue(full.equals(harness.sentTo("n0", 0)) || full.equals(harness.sentTo("n1", 0)), "" + harness.actions);
    }

    /** A server that shuts down rejects everything: it must not be tried with every request. */
    @Test
    void serverThatRejectsEverythingIsTriedWithBackOff() {
        PolicyHarness harness = new PolicyHarness();
        harness.loadReporting = Balancer.LoadReporting.NONE;
        harness.start().receiveList(A, B);
        int tries = 0;
        for (int i = 0; i < 200; i++) {
            harness.advance(5_000).request("r" + i);
            int attempt = 0;
            if (harness.sentTo("r" + i, 0).equals("a")) {
                tries++;
                harness.outcome("r" + i, attempt++, "a", Outcome.REJECTED, 1_000);
            }
            harness.outcome("r" + i, attempt, "b", Outcome.OK, 50_000);
        }
        assertTrue(tries >= 3 && tries <= 10, tries + " tries");
    }

    /** Under overload attempts time out in sequence; a server that answers others in the meantime does not hang. */
    @Test
    void timeoutsEjectAServerOnlyIfItIsSilent() {
        for (boolean answers : new boolean[] {true, false}) {
            PolicyHarness harness = new PolicyHarness();
            harness.loadReporting = Balancer.LoadReporting.NONE;
            harness.start().receiveList(A).request("r1").request("r2").advance(100_000);
            if (answers) {
                harness.request("r3").advance(50_000).outcome("r3", 0, "a", Outcome.OK, 50_000);
            }
            harness.advance(700_000)
                    .outcome("r1", 0, "a", Outcome.TIMEOUT, 800_000)
                    .outcome("r2", 0, "a", Outcome.TIMEOUT, 800_000)
                    .advance(20_000)
                    .request("n");
            assertEquals(answers ? "a" : null, harness.sentTo("n", 0));
        }
    }

    /** One costly request is no stall, as other cores are free; a much longer silence is one. */
    @Test
    void oneLongRequestDoesNotMakeItsServerFull() {
        for (int times : new int[] {4, 12}) {
            PolicyHarness harness = new PolicyHarness();
            harness.loadReporting = Balancer.LoadReporting.NONE;
            harness.start().receiveList(A).request("long", 800_000);
            harness.advance(times * harness.aimUs / 4).request("next");
            assertEquals(times == 4 ? "a" : null, harness.sentTo("next", 0));
        }
    }

    private static void assertEjectedAfter(Outcome outcome, long stepUs) {
        PolicyHarness harness =
                new PolicyHarness().start().receiveList(A, B).request("r").advance(1_000);
        String left = harness.sentTo("r", 0);
        harness.outcome("r", 0, left, outcome, 1_000);
        harness.outcome("r", 1, harness.sentTo("r", 1), Outcome.OK, 50_000);
        for (int i = 0; i < 10; i++) {
            harness.advance(stepUs).request("n" + i);
            assertNotNull(harness.sentTo("n" + i, 0));
            assertNotEquals(left, harness.sentTo("n" + i, 0));
            harness.outcome("n" + i, 0, harness.sentTo("n" + i, 0), Outcome.OK, 50_000);
        }
    }

    @Test
    void shortQueueInTheHomeZoneIsPreferredWhereCrossingHasAPrice() {
        PolicyHarness harness = new PolicyHarness();
        harness.crossZonePrice = 0.08;
        harness.loadReporting = Balancer.LoadReporting.NONE;
        harness.start().receiveList(A, B);
        for (int i = 0; i < 3; i++) {
            harness.request("r" + i);
            assertEquals("a", harness.sentTo("r" + i, 0));
        }
        harness.request("over");
        assertEquals("b", harness.sentTo("over", 0));
    }

    @Test
    void malformedPeerMessagesAreIgnored() {
        PolicyHarness harness = new PolicyHarness().start().receiveList(A);
        harness.policy.onPeerMessage(harness.now, 9, new byte[] {1, 2, 3, 4, 5});
        harness.policy.onPeerMessage(harness.now, 1, new byte[] {1});
        harness.policy.onPeerMessage(harness.now, 1, new byte[] {1, 2, 3, 4});
        harness.request("r");
        assertEquals("a", harness.sentTo("r", 0));
    }

    @Test
    void refusedConnectionEjectsTheServer() {
        assertEjectedAfter(Outcome.CONNECT_FAILED, 1_000);
    }

    @Test
    void serverThatReportsFullLoadIsNotDrawn() {
        PolicyHarness harness = new PolicyHarness().start().receiveList(A, B).request("r");
        String to = harness.sentTo("r", 0);
        harness.policy.onOutcome(harness.now, "r", 0, to, Outcome.OK, 50_000, true, new LoadReport(9, 8, 1));
        for (int i = 0; i < 3; i++) {
            harness.request("n" + i);
            assertNotEquals(to, harness.sentTo("n" + i, 0));
        }
    }

    // ---- discovery ------------------------------------------------------------------------------

    @Test
    void subscribesAtOnceAndRetriesAfterAFailure() {
        PolicyHarness harness = new PolicyHarness();
        harness.discoveryOnRequest = true;
        harness.start();
        assertEquals(1, harness.actionsWith("subscribe").size());
        harness.policy.onUpstreamList(harness.now, ListKind.FAILED, List.of());
        assertEquals(1, harness.actionsWith("timer ask").size());
        harness.advance(2_000_000).fireTimer("ask");
        assertEquals(2, harness.actionsWith("subscribe").size());
        harness.policy.onUpstreamList(harness.now, ListKind.FULL, List.of(A));
        harness.fireTimer("ask");
        assertEquals(2, harness.actionsWith("subscribe").size());
    }

    // ---- determinism and isolation --------------------------------------------------------------

    private static void runRequests(PolicyHarness harness, int from, int to) {
        for (int i = from; i < to; i++) {
            harness.advance(3_000).request("r" + i);
            if (i % 3 == 0 && harness.sentTo("r" + i, 0) != null) {
                harness.outcome(
                        "r" + i, 0, harness.sentTo("r" + i, 0), i % 9 == 0 ? Outcome.ERROR : Outcome.OK, 70_000);
            }
            harness.fireTimer("hold");
        }
    }

    @Test
    void sameEventsGiveSameActionsWhateverElseRuns() {
        PolicyHarness alone = new PolicyHarness().start().receiveList(A, B);
        runRequests(alone, 0, 200);
        PolicyHarness one = new PolicyHarness().start().receiveList(A, B);
        PolicyHarness two = new PolicyHarness().start().receiveList(A, B, PolicyHarness.upstream("c", "zc", 3));
        for (int i = 0; i < 200; i += 10) {
            runRequests(one, i, i + 10);
            runRequests(two, i, i + 10);
        }
        assertEquals(alone.actions, one.actions);
        assertFalse(new ArrayList<>(one.actions).equals(two.actions));
    }
}

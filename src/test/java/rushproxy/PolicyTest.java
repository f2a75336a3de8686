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
    void withoutAnyServerARequestIsAnsweredBeforeItsDeadline() {
        PolicyHarness rig = new PolicyHarness().start();
        rig.request("r");
        for (int i = 0; i < 100; i++) {
            rig.advance(5_000).fireTimer("hold");
        }
        assertEquals(List.of("refuse r"), rig.actionsWith("refuse"));
        assertTrue(rig.actionsWith("fail").isEmpty());
    }

    @Test
    void aRequestWithHardlyAnyTimeLeftIsNotHeldForTheSweep() {
        PolicyHarness rig = new PolicyHarness().start();
        rig.request("r", 3_000);
        assertEquals(1, rig.actionsWith("refuse r").size());
    }

    /** Where all wait, the place that frees goes to the work of most worth, also if that may wait longest. */
    @Test
    void whatIsOfMostWorthGoesFirst() {
        PolicyHarness rig = new PolicyHarness();
        rig.otherClasses = List.of(new RequestClass(
                "rich", Semantics.SAFE, DedupScope.ALL, 4_000_000, 900_000, 0, 2_000_000, 30, 0, false));
        rig.start().receiveList(A);
        int busy = 0;
        while (rig.actionsWith("send").size() == busy) {
            rig.request("busy" + busy++);
        }
        rig.policy.onRequest(rig.now, new Request("rich", -1, false, false, 0, 2_000_000, null, "rich"));
        rig.advance(60_000).outcome("busy0", 0, "a", Outcome.OK, 60_000);
        assertEquals("a", rig.sentTo("rich", 0));
        assertNull(rig.sentTo("busy" + (busy - 1), 0));
    }

    /** The aim runs from a client's first try: a retry that can't be in time any more is refused at once. */
    @Test
    void aRetryIsHeldNoLongerThanItsFirstTryLeavesTime() {
        PolicyHarness rig = new PolicyHarness().start();
        rig.policy.onRequest(rig.now, new Request("first", 5, false, false, 0, 440_000, null, "c"));
        for (int i = 0; i < 60; i++) {
            rig.advance(5_000).fireTimer("hold");
        }
        assertEquals(1, rig.actionsWith("refuse first").size());
        rig.policy.onRequest(rig.now, new Request("retry", 5, true, false, 0, 440_000, null, "c"));
        rig.policy.onRequest(rig.now, new Request("other", 6, false, false, 0, 440_000, null, "c"));
        assertEquals(1, rig.actionsWith("refuse retry").size());
        assertTrue(rig.actionsWith("refuse other").isEmpty());
    }

    @Test
    void aTimeoutAtTheDeadlineIsAnsweredWithAFailure() {
        PolicyHarness rig = new PolicyHarness();
        rig.semantics = Semantics.KEYED;
        rig.dedupScope = DedupScope.ZONE;
        rig.start().receiveList(A).request("r").advance(800_000).outcome("r", 0, "a", Outcome.TIMEOUT, 800_000);
        assertEquals(1, rig.actionsWith("fail r").size());
        assertEquals(1, rig.actionsWith("send r").size());
    }

    @Test
    void nothingFollowsAfterTheClientHasLeft() {
        PolicyHarness rig = new PolicyHarness().start().receiveList(A, B);
        rig.request("r");
        rig.policy.onRequestExpired(rig.now, "r");
        rig.advance(10_000).outcome("r", 0, rig.sentTo("r", 0), Outcome.CONNECT_FAILED, 10_000);
        assertEquals(1, rig.actionsWith("send r").size());
        assertTrue(
                rig.actionsWith("fail").isEmpty() && rig.actionsWith("refuse").isEmpty());
    }

    @Test
    void aStartedStreamGetsNoOtherAttemptAndNoSecondAnswer() {
        PolicyHarness rig = new PolicyHarness();
        rig.stream = true;
        rig.start().receiveList(A, B).request("r");
        rig.policy.onStreamStart(rig.now, "r", 0, rig.sentTo("r", 0), 5_000);
        rig.policy.onOutcome(rig.now, "r", 0, rig.sentTo("r", 0), Outcome.RESET, 9_000, true, null);
        assertEquals(1, rig.actionsWith("send").size());
        assertTrue(
                rig.actionsWith("fail").isEmpty() && rig.actionsWith("refuse").isEmpty());
    }

    // ---- effects --------------------------------------------------------------------------------

    @Test
    void unsafeIsNeitherRepeatedNorRefusedOnceItMayHaveRun() {
        PolicyHarness rig = new PolicyHarness();
        rig.semantics = Semantics.UNSAFE;
        rig.start().receiveList(A, B).request("r").advance(10_000);
        rig.outcome("r", 0, rig.sentTo("r", 0), Outcome.ERROR, 10_000);
        assertEquals(1, rig.actionsWith("send r").size());
        assertEquals(1, rig.actionsWith("fail r").size());
        assertTrue(rig.actionsWith("refuse").isEmpty());
    }

    @Test
    void unsafeGoesAgainWhereItProvablyNeverRan() {
        PolicyHarness rig = new PolicyHarness();
        rig.semantics = Semantics.UNSAFE;
        rig.start().receiveList(A, B).request("r").advance(10_000);
        rig.outcome("r", 0, rig.sentTo("r", 0), Outcome.CONNECT_FAILED, 10_000);
        assertNotNull(rig.sentTo("r", 1));
        assertNotEquals(rig.sentTo("r", 0), rig.sentTo("r", 1));
    }

    @Test
    void keyedStaysInTheZoneThatDropsRepeats() {
        for (int seed = 0; seed < 20; seed++) {
            PolicyHarness rig = new PolicyHarness();
            rig.seed = seed;
            rig.semantics = Semantics.KEYED;
            rig.dedupScope = DedupScope.ZONE;
            rig.start()
                    .receiveList(A, B, PolicyHarness.upstream("c", "zb", 3))
                    .request("r")
                    .advance(10_000);
            String first = rig.sentTo("r", 0);
            rig.outcome("r", 0, first, Outcome.RESET, 10_000);
            String second = rig.sentTo("r", 1);
            if (second != null) {
                assertEquals(first.equals("a"), second.equals("a"), first + " then " + second);
            }
            assertTrue(rig.actionsWith("refuse").isEmpty());
        }
    }

    @Test
    void keyedStaysInItsCellAndItsWindow() {
        PolicyHarness rig = new PolicyHarness();
        rig.semantics = Semantics.KEYED;
        rig.dedupScope = DedupScope.CELL;
        rig.start()
                .receiveList(A, B)
                .request("r")
                .advance(10_000)
                .outcome("r", 0, rig.sentTo("r", 0), Outcome.ERROR, 10_000);
        String second = rig.sentTo("r", 1);
        assertTrue(second == null || second.equals(rig.sentTo("r", 0)));

        PolicyHarness late = new PolicyHarness();
        late.semantics = Semantics.KEYED;
        late.dedupWindowUs = 5_000;
        late.start()
                .receiveList(A, B)
                .request("r")
                .advance(10_000)
                .outcome("r", 0, late.sentTo("r", 0), Outcome.ERROR, 10_000);
        assertNull(late.sentTo("r", 1));
        // It may have run and no server drops its repeat any more: to call a retry harmless would be wrong.
        assertEquals(1, late.actionsWith("fail r").size());
        assertTrue(late.actionsWith("refuse").isEmpty());
    }

    /** A connection takes time to come up: what was in the window at the decision may be out of it at the sending. */
    @Test
    void aRepeatBeginsOnlyWhileItsWindowIsOpen() {
        PolicyHarness rig = new PolicyHarness();
        rig.semantics = Semantics.KEYED;
        rig.dedupWindowUs = 50_000;
        rig.start().receiveList(A, B).request("r");
        assertTrue(rig.policy.canStartAttempt(rig.now + 100_000, "r", 0), "a first attempt repeats nothing");
        rig.advance(45_000).outcome("r", 0, rig.sentTo("r", 0), Outcome.ERROR, 10_000);
        assertNotNull(rig.sentTo("r", 1));
        assertTrue(rig.policy.canStartAttempt(rig.now + 4_000, "r", 1));
        assertFalse(rig.policy.canStartAttempt(rig.now + 5_000, "r", 1));
        assertFalse(rig.policy.canStartAttempt(rig.now, "other", 0));
        rig.policy.onRequestExpired(rig.now, "r");
        assertFalse(rig.policy.canStartAttempt(rig.now, "r", 1), "its client has gone");
    }

    /** Retry advice is for what has not run; a safe request that may have run has failed. */
    @Test
    void whatMayHaveRunIsFailedAndNotRefused() {
        for (Outcome outcome : new Outcome[] {Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.REJECTED}) {
            PolicyHarness rig = new PolicyHarness();
            rig.maxAttempts = 1;
            rig.start()
                    .receiveList(A, B)
                    .request("r")
                    .advance(10_000)
                    .outcome("r", 0, rig.sentTo("r", 0), outcome, 10_000);
            assertEquals(outcome.mayHaveRun ? 1 : 0, rig.actionsWith("fail r").size(), outcome.name());
            assertEquals(outcome.mayHaveRun ? 0 : 1, rig.actionsWith("refuse r").size(), outcome.name());
        }
    }

    @Test
    void theMostAttemptsAreKept() {
        PolicyHarness rig = new PolicyHarness();
        rig.maxAttempts = 2;
        rig.start().receiveList(A, B, PolicyHarness.upstream("c", "zc", 3)).request("r");
        for (int i = 0; i < 2; i++) {
            rig.advance(1_000).outcome("r", i, rig.sentTo("r", i), Outcome.CONNECT_FAILED, 1_000);
        }
        assertEquals(2, rig.actionsWith("send r").size());
        assertEquals(1, rig.actionsWith("refuse r").size());
    }

    @Test
    void aSecondCopyPassesTheGateOnlyWhereAllowed() {
        for (boolean copies : new boolean[] {false, true}) {
            PolicyHarness rig = new PolicyHarness();
            rig.secondCopies = copies;
            rig.start().receiveList(A, B).request("r");
            PolicyState.Server other = rig.policy.servers.get(rig.sentTo("r", 0).equals("a") ? "b" : "a");
            assertEquals(copies, rig.policy.canSend(rig.now, rig.policy.activeRequests.get("r"), other));
        }
    }

    // ---- long messages --------------------------------------------------------------------------

    /** Its body may take a minute: the server that is to have it has no work, and is not overdue. */
    @Test
    void aServerThatWaitsForABodyIsAsFreeAsBefore() {
        PolicyHarness rig = new PolicyHarness().start().receiveList(A);
        for (int i = 0; i < 6; i++) {
            rig.policy.onRequest(rig.now, new Balancer.Request("b" + i, -1, false, false, 0, 800_000, null, "c", true));
        }
        assertEquals(6, rig.actionsWith("send").size(), "bodies hold nothing up");
        rig.advance(60_000_000).request("r");
        assertEquals("a", rig.sentTo("r", 0));
        for (int i = 0; i < 6; i++) {
            rig.policy.onRequestSent(rig.now, "b" + i, 0);
        }
        rig.request("s");
        assertEquals(null, rig.sentTo("s", 0), "now it has six to do");
    }

    /** A long answer was ready when it began: what the client's link takes is not the server's time. */
    @Test
    void aServerWhoseAnswerIsOnItsWayHasRoom() {
        PolicyHarness rig = new PolicyHarness().start().receiveList(A);
        for (int i = 0; i < 40; i++) {
            rig.request("r" + i).advance(20_000);
            rig.policy.onStreamStart(rig.now, "r" + i, 0, "a", 20_000);
        }
        rig.advance(60_000_000).request("last");
        assertEquals("a", rig.sentTo("last", 0));
        for (int i = 0; i < 40; i++) {
            rig.outcome("r" + i, 0, "a", Outcome.OK, 60_000_000);
        }
        rig.advance(1_000).request("after");
        assertEquals("a", rig.sentTo("after", 0));
        assertTrue(rig.policy.activeRequests.size() <= 2);
    }

    // ---- cordons --------------------------------------------------------------------------------

    @Test
    void aServerLeftOutGetsNothingWhateverTheListSays() {
        PolicyHarness rig = new PolicyHarness().start().receiveList(A, B);
        rig.policy.onCordon(rig.now, "a", true, rig.now);
        Upstream again = new Upstream("a", "za", "k", 1, rig.now, 1, UpstreamState.READY);
        for (int i = 0; i < 20; i++) {
            rig.request("r" + i).outcome("r" + i, 0, "b", Outcome.ERROR, 1_000);
            rig.advance(300_000).fireTimer("hold");
            if (i == 5) {
                rig.receiveList(B);
            }
            if (i == 10) {
                rig.receiveList(again, B);
            }
        }
        assertTrue(rig.actionsWith("send").stream().noneMatch(a -> a.contains(" a ")), rig.actions.toString());
        assertFalse(rig.actionsWith("send").isEmpty());
    }

    @Test
    void whatIsCalledOutBeforeItIsListedIsLeftOutToo() {
        PolicyHarness rig = new PolicyHarness().start();
        rig.policy.onCordon(rig.now, "a", true, rig.now);
        rig.receiveList(A).request("r");
        assertTrue(rig.actionsWith("send").isEmpty());
        rig.policy.onCordon(rig.now, "a", false, rig.now);
        // A cold server's budget goes by turns of the sidecars: ours comes within some slots.
        for (int i = 0; i < 30; i++) {
            rig.request("s" + i).advance(100_000).fireTimer("hold");
        }
        assertFalse(rig.actionsWith("send").isEmpty());
    }

    /** With its share held down by the cold start, its users would find it unused for seconds. */
    @Test
    void aServerThatIsBackGetsARequestSoon() {
        for (long seed = 0; seed < 20; seed++) {
            PolicyHarness rig = new PolicyHarness();
            rig.seed = seed;
            rig.start().receiveList(A, B);
            rig.policy.onCordon(rig.now, "a", true, rig.now);
            rig.advance(3_000_000);
            rig.policy.onCordon(rig.now, "a", false, rig.now);
            for (int i = 0; i < 40 && rig.actionsWith("send").stream().noneMatch(a -> a.contains(" a ")); i++) {
                rig.request("r" + i)
                        .advance(20_000)
                        .outcome("r" + i, 0, "b", Outcome.OK, 20_000)
                        .advance(80_000);
            }
            assertTrue(rig.actionsWith("send").stream().anyMatch(a -> a.contains(" a ")), "seed " + seed);
        }
    }

    /** It was started anew while it was left out, whatever the list knows of it. */
    @Test
    void aServerThatIsBackIsCold() {
        PolicyHarness warm = new PolicyHarness().start().receiveList(A);
        PolicyHarness back = new PolicyHarness().start().receiveList(A);
        back.policy.onCordon(back.now, "a", true, back.now);
        back.advance(3_000_000);
        back.policy.onCordon(back.now, "a", false, back.now);
        for (PolicyHarness rig : List.of(warm, back)) {
            for (int i = 0; i < 100; i++) {
                rig.request("r" + i).outcome("r" + i, 0, "a", Outcome.OK, 5_000).advance(5_000);
            }
        }
        assertTrue(
                back.actionsWith("send").size() < warm.actionsWith("send").size(),
                back.actionsWith("send").size() + " of "
                        + warm.actionsWith("send").size());
    }

    // ---- drains and cold servers ----------------------------------------------------------------

    @Test
    void nothingGoesToAServerToldDrainingOrGone() {
        PolicyHarness rig = new PolicyHarness().start().receiveList(A, B);
        rig.policy.onUpstreamList(
                rig.now, ListKind.DELTA, List.of(new Upstream("a", "za", "k", 1, 0, 1, UpstreamState.DRAINING)));
        rig.request("r1").request("r2");
        rig.policy.onUpstreamList(rig.now, ListKind.FULL, List.of(A));
        rig.advance(1).request("r3");
        assertEquals("b", rig.sentTo("r1", 0));
        assertEquals("b", rig.sentTo("r2", 0));
        assertEquals("a", rig.sentTo("r3", 0));
    }

    @Test
    void aColdServerGetsNoMoreThanThisSidecarsPart() {
        PolicyHarness rig = new PolicyHarness();
        rig.aimUs = 40_000;
        rig.start();
        rig.receiveList(new Upstream("a", "za", "k", 1, rig.now, 1, UpstreamState.READY));
        long sent = 0;
        for (int i = 0; i < 100; i++) {
            rig.advance(10_000).request("r" + i);
            if (rig.sentTo("r" + i, 0) != null) {
                sent++;
                rig.advance(1_000).outcome("r" + i, 0, "a", Outcome.OK, 10_000);
            }
        }
        // 10 ms each; budget 3 x at most 0.17 of the capacity (two cores, at the first guess) in 1.1 s,
        // half is ours.
        assertTrue(sent >= 1 && sent * 10_000 <= 3 * 0.17 * 2 * 1_100_000 / 2, "sent " + sent);
    }

    /**
     * Incident i60eb35 and the later deployments: hundreds of sidecars are told at one instant, hear nobody,
     * and all have traffic. Together they stay inside the budget of any window, and somebody warms the server.
     */
    @Test
    void manySidecarsTogetherStayInsideTheBudgetOfAColdServer() {
        int n = 600;
        List<PolicyHarness> rigs = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            PolicyHarness rig = new PolicyHarness();
            rig.sidecarIndex = i;
            rig.seed = i;
            rig.sidecarCount = n;
            rig.aimUs = 400_000;
            rigs.add(rig.start().receiveList(new Upstream("a", "za", "k", 1, rig.now, 1, UpstreamState.READY)));
        }
        List<Long> sends = new ArrayList<>();
        for (int step = 0; step < 800; step++) {
            for (PolicyHarness rig : rigs) {
                rig.actions.clear();
                String id = "r" + step;
                rig.advance(10_000).request(id, 300_000);
                if (rig.sentTo(id, 0) != null) {
                    sends.add(rig.now);
                    rig.outcome(id, 0, "a", Outcome.OK, 100_000);
                }
                rig.fireTimer("hold");
            }
        }
        assertWarmedInsideTheBudget(1_000_000_000L, sends);
    }

    /** Sends of 0.1 s each to a server that started cold at {@code start}: some, and in no window too much. */
    private static void assertWarmedInsideTheBudget(long start, List<Long> sends) {
        assertTrue(sends.size() > 8, "it is warmed: " + sends.size());
        for (int i = 0; i < sends.size(); i++) {
            int j = i;
            while (j < sends.size() && sends.get(j) < sends.get(i) + 1_000_000) {
                j++;
            }
            double warmth = 0.13 + 0.87 * (sends.get(i) - start) / 24e6;
            assertTrue((j - i) * 0.1 <= 3 * warmth, (j - i) + " requests of 0.1 s at a capacity of " + warmth);
        }
    }

    /** Where the server is asked first more have a turn: all wait for room at once, and its answers hold them back. */
    @Test
    void manySidecarsThatAskFirstStayInsideTheBudgetToo() {
        int n = 500;
        List<PolicyHarness> rigs = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            PolicyHarness rig = new PolicyHarness();
            rig.sidecarIndex = i;
            rig.seed = i;
            rig.sidecarCount = n;
            rig.aimUs = 400_000;
            rig.probing = true;
            rigs.add(rig.start().receiveList(new Upstream("a", "za", "k", 1, rig.now, 1, UpstreamState.READY)));
        }
        List<Long> sends = new ArrayList<>();
        double work = 0;
        for (int step = 0; step < 2000; step++) {
            double warmth = 0.13 + 0.87 * step * 5_000 / 24e6;
            work = Math.max(0, work - warmth * 5_000);
            double held = Math.ceil(work / 100_000);
            for (PolicyHarness rig : rigs) {
                boolean asked = !rig.actionsWith("probe").isEmpty();
                rig.actions.clear();
                rig.advance(5_000);
                if (asked) {
                    rig.policy.onProbeResult(
                            rig.now, "a", Outcome.OK, 1_000, new LoadReport(held, Math.max(0, held - 1), 1));
                }
                if (step % 100 == 0) {
                    rig.request("r" + step, 700_000);
                }
                rig.fireTimer("hold");
                for (String send : rig.actionsWith("send")) {
                    sends.add(rig.now);
                    work += 100_000;
                    rig.outcome(send.split(" ")[1], 0, "a", Outcome.OK, 100_000);
                }
            }
        }
        assertWarmedInsideTheBudget(1_000_000_000L, sends);
    }

    // ---- connections ----------------------------------------------------------------------------

    private static Upstream state(Upstream u, UpstreamState state) {
        return new Upstream(u.id(), u.zone(), u.kind(), u.cell(), u.startedUs(), 1, state);
    }

    @Test
    void idleConnectionsAreClosedAtADrainAndAfterEachLaterOutcomeWhereTheRuleIsSet() {
        for (long within : new long[] {0, 500_000}) {
            PolicyHarness rig = new PolicyHarness();
            rig.closeOnDrainWithinUs = within;
            rig.start().receiveList(A).request("r").request("s");
            rig.policy.onUpstreamList(rig.now, ListKind.DELTA, List.of(state(A, UpstreamState.DRAINING)));
            assertEquals(within > 0 ? 1 : 0, rig.actionsWith("close a").size());
            rig.advance(50_000).outcome("r", 0, "a", Outcome.OK, 50_000);
            assertEquals(within > 0 ? 2 : 0, rig.actionsWith("close a").size());
            // It comes back: no more closing.
            rig.policy.onUpstreamList(rig.now, ListKind.DELTA, List.of(A));
            rig.advance(50_000).outcome("s", 0, "a", Outcome.OK, 100_000);
            assertEquals(within > 0 ? 2 : 0, rig.actionsWith("close a").size());
        }
    }

    @Test
    void aServerThatVanishesIsClosedAndOneNeverUsedIsNot() {
        PolicyHarness rig = new PolicyHarness();
        rig.closeOnDrainWithinUs = 500_000;
        rig.start().receiveList(A, B).request("r");
        String used = rig.sentTo("r", 0);
        rig.policy.onUpstreamList(rig.now, ListKind.FULL, List.of());
        assertEquals(List.of("close " + used), rig.actionsWith("close"));
    }

    @Test
    void whereConnectionsCostASidecarKeepsToAFewServersOfEachKindEvenly() {
        int n = 400;
        List<Upstream> fleet = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            String kind = i % 3 == 0 ? "slow" : "fast";
            fleet.add(new Upstream("u" + i * 7919, "za", kind, i / 3, 0, 1, UpstreamState.READY));
        }
        java.util.Map<String, Integer> users = new java.util.HashMap<>();
        for (int i = 0; i < n; i++) {
            PolicyHarness rig = new PolicyHarness();
            rig.sidecarIndex = i;
            rig.sidecarCount = n;
            rig.connectionPrice = 0.05;
            rig.loadReporting = Balancer.LoadReporting.NONE;
            rig.start().receiveList(fleet.toArray(new Upstream[0]));
            java.util.Set<String> used = new java.util.HashSet<>();
            for (int j = 0; j < 40; j++) {
                rig.advance(200_000).request("r" + j);
                used.add(rig.sentTo("r" + j, 0));
                rig.outcome("r" + j, 0, rig.sentTo("r" + j, 0), Outcome.OK, 75_000);
            }
            assertTrue(used.size() <= 6, "" + used);
            used.forEach(u -> users.merge(u, 1, Integer::sum));
        }
        assertEquals(60, users.size());
        users.forEach((u, c) -> assertTrue(c >= 5 && c <= 50, u + " has " + c));
    }

    /** Connections dropped unseen: the failure speaks of the idle time, not of the server. */
    @Test
    void aConnectionLongIdleIsClosedBeforeUseOnceOneWasDropped() {
        PolicyHarness rig = new PolicyHarness();
        rig.connectionPrice = 0.05;
        rig.start().receiveList(A).request("r0").advance(75_000).outcome("r0", 0, "a", Outcome.OK, 75_000);
        rig.advance(2_000_000).request("r1").advance(1_000).outcome("r1", 0, "a", Outcome.RESET, 1_000);
        assertEquals("a", rig.sentTo("r1", 1));
        rig.advance(75_000).outcome("r1", 1, "a", Outcome.OK, 75_000);
        assertEquals(0, rig.actionsWith("close").size());
        rig.advance(1_800_000).request("r2");
        assertEquals(1, rig.actionsWith("close a").size());
        rig.advance(75_000)
                .outcome("r2", 0, "a", Outcome.OK, 75_000)
                .advance(500_000)
                .request("r3");
        assertEquals(1, rig.actionsWith("close a").size(), "hardly idle: kept");
    }

    /** A silent server that is tried more rarely than the idle time is remembered: each time-out was laid to the connection. */
    @Test
    void aServerTriedRarelyIsFoundSilent() {
        PolicyHarness rig = new PolicyHarness();
        rig.connectionPrice = 0.05;
        rig.start().receiveList(A).request("r").advance(75_000).outcome("r", 0, "a", Outcome.OK, 75_000);
        for (int i = 0; i < 3; i++) {
            rig.advance(6_000_000).request("r" + i).advance(800_000).outcome("r" + i, 0, "a", Outcome.TIMEOUT, 800_000);
        }
        assertEquals(List.of("evidence a DROPS_IDLE", "evidence a SILENT"), rig.actionsWith("evidence"));
    }

    /** Answers that take far longer than the best speak of others' requests: shed before servers tip over. */
    @Test
    void whereNoLoadIsToldACrowdShowsInTheAnswersAndRequestsAreShed() {
        for (int sidecars : new int[] {4, 400}) {
            PolicyHarness rig = new PolicyHarness();
            rig.sidecarCount = sidecars;
            rig.loadReporting = Balancer.LoadReporting.NONE;
            rig.aimUs = 700_000;
            rig.start().receiveList(A, B);
            int refused = 0;
            for (int i = 0; i < 200; i++) {
                rig.actions.clear();
                rig.advance(700_000).request("r" + i);
                String to = rig.sentTo("r" + i, 0);
                refused += to == null ? 1 : 0;
                if (to != null) {
                    rig.outcome("r" + i, 0, to, Outcome.OK, i < 100 ? 100_000 : 300_000);
                }
                assertTrue(i > 100 || to != null, "calm: all are sent");
            }
            assertTrue(sidecars > 10 ? refused > 30 : refused == 0, sidecars + " sidecars refused " + refused);
        }
    }

    // ---- loads asked by probes ------------------------------------------------------------------

    private static PolicyHarness sampling() {
        PolicyHarness rig = new PolicyHarness();
        rig.probing = true;
        return rig.start().receiveList(A, B);
    }

    @Test
    void bothDrawnAreAskedForTheirLoadAndTheLessBusyIsTaken() {
        PolicyHarness rig = sampling().request("r");
        assertEquals(2, rig.actionsWith("probe").size());
        assertNull(rig.sentTo("r", 0));
        rig.advance(1_000);
        rig.policy.onProbeResult(rig.now, "a", Outcome.OK, 1_000, new LoadReport(2, 1, 1));
        rig.policy.onProbeResult(rig.now, "b", Outcome.OK, 1_000, new LoadReport(0, 0, 0));
        assertEquals("b", rig.sentTo("r", 0));
    }

    /** A stalled server shows in a probe before any request is lost on it. */
    @Test
    void oneThatDoesNotAnswerByTheNextSweepLoses() {
        PolicyHarness rig = sampling().request("r").advance(1_000);
        rig.policy.onProbeResult(rig.now, "a", Outcome.OK, 1_000, new LoadReport(0, 0, 0));
        assertNull(rig.sentTo("r", 0));
        rig.advance(5_000).fireTimer("hold");
        assertEquals("a", rig.sentTo("r", 0));
    }

    @Test
    void aProbeAnsweredWithoutALoadCountsAsBusy() {
        PolicyHarness rig = sampling().request("r").advance(1_000);
        rig.policy.onProbeResult(rig.now, "a", Outcome.OK, 1_000, null);
        rig.policy.onProbeResult(rig.now, "b", Outcome.OK, 1_000, new LoadReport(1, 0, 1));
        for (int i = 0; i < 3 && rig.sentTo("r", 0) == null; i++) {
            rig.advance(5_000);
            rig.policy.onProbeResult(rig.now, "a", Outcome.OK, 1_000, null);
            rig.policy.onProbeResult(rig.now, "b", Outcome.OK, 1_000, new LoadReport(1, 0, 1));
            rig.fireTimer("hold");
        }
        assertEquals("b", rig.sentTo("r", 0));
    }

    /** What this instance did not send, or did not hear out, says nothing of the server that was to be asked. */
    @Test
    void aProbeThatWasNotSentLeavesNoServerOut() {
        for (Outcome own : new Outcome[] {Outcome.NOT_SENT, Outcome.CANCELLED}) {
            PolicyHarness rig = new PolicyHarness();
            rig.start().receiveList(A);
            for (int i = 0; i < 5; i++) {
                rig.policy.onProbeResult(rig.now, "a", own, 1_000, null);
            }
            assertEquals("a", rig.request("r").sentTo("r", 0), own.toString());
        }
    }

    // ---- the ordinary path ----------------------------------------------------------------------

    @Test
    void theLessBusyOfTwoWins() {
        PolicyHarness rig = new PolicyHarness().start().receiveList(A, B);
        rig.request("r1").request("r2");
        assertNotEquals(rig.sentTo("r1", 0), rig.sentTo("r2", 0));
    }

    @Test
    void drawsFollowTheShares() {
        // Equal servers, all idle: each is drawn alike.
        PolicyHarness rig = new PolicyHarness()
                .start()
                .receiveList(A, B, PolicyHarness.upstream("c", "zc", 3), PolicyHarness.upstream("d", "zc", 4));
        int[] count = new int[4];
        for (int i = 0; i < 4000; i++) {
            rig.advance(1_000).request("r" + i);
            String to = rig.sentTo("r" + i, 0);
            count[to.charAt(0) - 'a']++;
            rig.outcome("r" + i, 0, to, Outcome.OK, 75_000);
            rig.actions.clear();
        }
        for (int c : count) {
            assertTrue(c > 800 && c < 1200, "" + c);
        }
    }

    @Test
    void tiesGoByUnequalShares() {
        PolicyHarness rig = new PolicyHarness().start().receiveList(A, B).request("first");
        rig.outcome("first", 0, rig.sentTo("first", 0), Outcome.OK, 75_000);
        rig.policy.servers.get("a").share = 0.75;
        rig.policy.servers.get("b").share = 0.25;
        int toA = 0;
        for (int i = 0; i < 4000; i++) {
            rig.actions.clear();
            rig.request("r" + i);
            String to = rig.sentTo("r" + i, 0);
            toA += to.equals("a") ? 1 : 0;
            rig.outcome("r" + i, 0, to, Outcome.OK, 75_000);
        }
        assertTrue(toA > 2900 && toA < 3100, "" + toA);
    }

    /** Messages may be lost, repeated or false: they only move the fleet rate's estimate. */
    @Test
    void peersTellTheirRateToOneAtATime() {
        PolicyHarness rig = new PolicyHarness();
        rig.sidecarCount = 500;
        rig.start().receiveList(A, B).fireTimer("tell");
        assertEquals(1, rig.actionsWith("tell").size());
        assertFalse(rig.actionsWith("tell").get(0).startsWith("tell -1"));
        assertFalse(rig.actionsWith("tell").get(0).startsWith("tell 0 "));
        rig.advance(1_000_000).fireTimer("tell");
        assertEquals(2, rig.actionsWith("tell").size());
    }

    /** A kind's speed once added up its servers' steps and drifted without bound; cores stuck at the guess. */
    @Test
    void speedsAndCoresAreFoundFromAnswersAlone() {
        PolicyHarness rig = new PolicyHarness();
        rig.loadReporting = Balancer.LoadReporting.NONE;
        rig.aimUs = 4_000_000;
        rig.start().receiveList(A);
        long[] freeAt = new long[4];
        List<long[]> due = new ArrayList<>();
        int next = 0;
        for (long t = 0; t < 120_000; t++) {
            rig.advance(1_000);
            if (t % 15 == 0) {
                rig.policy.onRequest(rig.now, new Request("r" + next, -1, false, false, 100_000, 4_000_000, null, "c"));
                next++;
            }
            rig.fireTimer("hold");
            for (String send : rig.actionsWith("send")) {
                int core = 0;
                for (int c = 1; c < 4; c++) {
                    core = freeAt[c] < freeAt[core] ? c : core;
                }
                freeAt[core] = Math.max(freeAt[core], rig.now) + 50_000;
                due.add(new long[] {freeAt[core], Long.parseLong(send.split(" ")[1].substring(1)), rig.now});
            }
            rig.actions.clear();
            for (int i = 0; i < due.size(); i++) {
                long[] d = due.get(i);
                if (d[0] <= rig.now) {
                    due.remove(i--);
                    rig.outcome("r" + d[1], 0, "a", Outcome.OK, rig.now - d[2]);
                }
            }
        }
        double slow = rig.policy.servers.get("a").slowness();
        double cores = rig.policy.kinds.get("k").cores;
        assertTrue(cores > 2.5 && cores < 5, "" + cores);
        // Four cores at twice the standard speed: what counts is what they can do together.
        assertTrue(cores / slow > 6.5 && cores / slow < 9.5, cores + " cores, slowness " + slow);
    }

    /** The one that was faster for a while kept all requests of a quiet sidecar for good: nothing told that the others had caught up. */
    @Test
    void serversThatHaveCaughtUpAreUsedAgain() {
        PolicyHarness rig = new PolicyHarness();
        rig.loadReporting = Balancer.LoadReporting.NONE;
        rig.start().receiveList(A, B, PolicyHarness.upstream("c", "za", 1), PolicyHarness.upstream("d", "za", 1));
        int inARow = 0;
        for (int i = 0; inARow < 50 && i < 5_000; i++) {
            inARow = goesToTheFirst(rig, 50_000) ? inARow + 1 : 0;
        }
        assertEquals(50, inARow, "while the others are slow");
        int ofFirst = 0;
        for (int i = 0; i < 2_000; i++) {
            ofFirst += goesToTheFirst(rig, 10_000) && i >= 1_000 ? 1 : 0;
        }
        assertTrue(ofFirst < 500, "one of four servers has " + ofFirst + " of 1000 requests");
    }

    /** One request and its answer, every 20 ms at most; whether "a" got it, which takes 10 ms. */
    private static boolean goesToTheFirst(PolicyHarness rig, long othersUs) {
        rig.actions.clear();
        String server = rig.request("r").sentTo("r", 0);
        long tookUs = server.equals("a") ? 10_000 : othersUs;
        rig.advance(tookUs).outcome("r", 0, server, Outcome.OK, tookUs).advance(Math.max(0, 20_000 - tookUs));
        return server.equals("a");
    }

    /** A drain that the list has not told yet shows as refusals by a server that holds little. */
    @Test
    void refusalsByAnIdleServerLeaveItAlone() {
        staysAwayAfter(Outcome.REJECTED, 30_000);
    }

    /** Where no load is told the own requests say little: others fill a server, and it is soon free again. */
    @Test
    void aServerFullOfOthersRequestsIsUsedAgainOnceItMayHaveRoom() {
        PolicyHarness rig = new PolicyHarness();
        rig.loadReporting = Balancer.LoadReporting.NONE;
        rig.start().receiveList(A, B).request("r").advance(1_000);
        String full = rig.sentTo("r", 0);
        rig.outcome("r", 0, full, Outcome.REJECTED, 1_000);
        assertNotEquals(full, rig.sentTo("r", 1));
        rig.advance(100_000).request("n0").request("n1");
        assertTrue(full.equals(rig.sentTo("n0", 0)) || full.equals(rig.sentTo("n1", 0)), "" + rig.actions);
    }

    /** One on its way out turns all away: it is tried ever more seldom, not once for each request. */
    @Test
    void aServerThatTurnsAllAwayIsTriedEverMoreSeldom() {
        PolicyHarness rig = new PolicyHarness();
        rig.loadReporting = Balancer.LoadReporting.NONE;
        rig.start().receiveList(A, B);
        int tries = 0;
        for (int i = 0; i < 200; i++) {
            rig.advance(5_000).request("r" + i);
            int attempt = 0;
            if (rig.sentTo("r" + i, 0).equals("a")) {
                tries++;
                rig.outcome("r" + i, attempt++, "a", Outcome.REJECTED, 1_000);
            }
            rig.outcome("r" + i, attempt, "b", Outcome.OK, 50_000);
        }
        assertTrue(tries >= 3 && tries <= 10, tries + " tries");
    }

    /** In a crowd attempts time out one after the other; a server that answers others meanwhile is not hung. */
    @Test
    void timeOutsEjectAServerOnlyIfItIsSilent() {
        for (boolean answers : new boolean[] {true, false}) {
            PolicyHarness rig = new PolicyHarness();
            rig.loadReporting = Balancer.LoadReporting.NONE;
            rig.start().receiveList(A).request("r1").request("r2").advance(100_000);
            if (answers) {
                rig.request("r3").advance(50_000).outcome("r3", 0, "a", Outcome.OK, 50_000);
            }
            rig.advance(700_000)
                    .outcome("r1", 0, "a", Outcome.TIMEOUT, 800_000)
                    .outcome("r2", 0, "a", Outcome.TIMEOUT, 800_000)
                    .advance(20_000)
                    .request("n");
            assertEquals(answers ? "a" : null, rig.sentTo("n", 0));
        }
    }

    /** One costly request is no stall: the server's other cores are free. Long without an answer it is one. */
    @Test
    void oneLongRequestDoesNotMakeItsServerFull() {
        for (int times : new int[] {4, 12}) {
            PolicyHarness rig = new PolicyHarness();
            rig.loadReporting = Balancer.LoadReporting.NONE;
            rig.start().receiveList(A).request("long", 800_000);
            rig.advance(times * rig.aimUs / 4).request("next");
            assertEquals(times == 4 ? "a" : null, rig.sentTo("next", 0));
        }
    }

    private static void staysAwayAfter(Outcome outcome, long stepUs) {
        PolicyHarness rig =
                new PolicyHarness().start().receiveList(A, B).request("r").advance(1_000);
        String left = rig.sentTo("r", 0);
        rig.outcome("r", 0, left, outcome, 1_000);
        rig.outcome("r", 1, rig.sentTo("r", 1), Outcome.OK, 50_000);
        for (int i = 0; i < 10; i++) {
            rig.advance(stepUs).request("n" + i);
            assertNotNull(rig.sentTo("n" + i, 0));
            assertNotEquals(left, rig.sentTo("n" + i, 0));
            rig.outcome("n" + i, 0, rig.sentTo("n" + i, 0), Outcome.OK, 50_000);
        }
    }

    @Test
    void whereCrossingHasAPriceAShortQueueInTheOwnZoneComesFirst() {
        PolicyHarness rig = new PolicyHarness();
        rig.crossZonePrice = 0.08;
        rig.loadReporting = Balancer.LoadReporting.NONE;
        rig.start().receiveList(A, B);
        for (int i = 0; i < 3; i++) {
            rig.request("r" + i);
            assertEquals("a", rig.sentTo("r" + i, 0));
        }
        rig.request("over");
        assertEquals("b", rig.sentTo("over", 0));
    }

    @Test
    void damagedPeerMessagesAreIgnored() {
        PolicyHarness rig = new PolicyHarness().start().receiveList(A);
        rig.policy.onPeerMessage(rig.now, 9, new byte[] {1, 2, 3, 4, 5});
        rig.policy.onPeerMessage(rig.now, 1, new byte[] {1});
        rig.policy.onPeerMessage(rig.now, 1, new byte[] {1, 2, 3, 4});
        rig.request("r");
        assertEquals("a", rig.sentTo("r", 0));
    }

    @Test
    void aRefusedConnectionLeavesTheServerAloneForAWhile() {
        staysAwayAfter(Outcome.CONNECT_FAILED, 1_000);
    }

    @Test
    void aFullServerLeavesTheDrawByItsOwnWord() {
        PolicyHarness rig = new PolicyHarness().start().receiveList(A, B).request("r");
        String to = rig.sentTo("r", 0);
        rig.policy.onOutcome(rig.now, "r", 0, to, Outcome.OK, 50_000, true, new LoadReport(9, 8, 1));
        for (int i = 0; i < 3; i++) {
            rig.request("n" + i);
            assertNotEquals(to, rig.sentTo("n" + i, 0));
        }
    }

    // ---- discovery ------------------------------------------------------------------------------

    @Test
    void subscribesAtOnceAndAsksAgainAfterAFailure() {
        PolicyHarness rig = new PolicyHarness();
        rig.discoveryOnRequest = true;
        rig.start();
        assertEquals(1, rig.actionsWith("subscribe").size());
        rig.policy.onUpstreamList(rig.now, ListKind.FAILED, List.of());
        assertEquals(1, rig.actionsWith("timer ask").size());
        rig.advance(2_000_000).fireTimer("ask");
        assertEquals(2, rig.actionsWith("subscribe").size());
        rig.policy.onUpstreamList(rig.now, ListKind.FULL, List.of(A));
        rig.fireTimer("ask");
        assertEquals(2, rig.actionsWith("subscribe").size());
    }

    // ---- determinism and isolation --------------------------------------------------------------

    private static void play(PolicyHarness rig, int from, int to) {
        for (int i = from; i < to; i++) {
            rig.advance(3_000).request("r" + i);
            if (i % 3 == 0 && rig.sentTo("r" + i, 0) != null) {
                rig.outcome("r" + i, 0, rig.sentTo("r" + i, 0), i % 9 == 0 ? Outcome.ERROR : Outcome.OK, 70_000);
            }
            rig.fireTimer("hold");
        }
    }

    @Test
    void theSameEventsGiveTheSameActionsWhateverRunsBeside() {
        PolicyHarness alone = new PolicyHarness().start().receiveList(A, B);
        play(alone, 0, 200);
        PolicyHarness one = new PolicyHarness().start().receiveList(A, B);
        PolicyHarness two = new PolicyHarness().start().receiveList(A, B, PolicyHarness.upstream("c", "zc", 3));
        for (int i = 0; i < 200; i += 10) {
            play(one, i, i + 10);
            play(two, i, i + 10);
        }
        assertEquals(alone.actions, one.actions);
        assertFalse(new ArrayList<>(one.actions).equals(two.actions));
    }
}

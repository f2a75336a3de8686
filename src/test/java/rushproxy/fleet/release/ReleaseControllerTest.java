package rushproxy.fleet.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The controller of a release: its stages, its end, its way back, and what it knows after it was killed. */
class ReleaseControllerTest {
    private static final long S = 1_000_000;
    static final Gate.Criteria RULE = new Gate.Criteria(10 * S, 300 * S, 100, 0.01, 0.02, 1.25, 0.3);
    static final Plan PLAN = new Plan(
            "r1",
            ReleaseOrder.Selector.parse("kind=new"),
            List.of(new Plan.Stage(0.05, RULE), new Plan.Stage(0.25, RULE), new Plan.Stage(1, RULE)),
            0.05,
            5 * S);
    private final SimulatedReports fleet = new SimulatedReports();
    private final List<ReleaseController.Step> kept = new ArrayList<>();
    private long now = 1_000 * S;

    private void play(ReleaseController c, int seconds) {
        for (int i = 0; i < seconds; i++) {
            now += S;
            c.onReports(now, fleet.nextSecond(), 4);
        }
    }

    private String steps() {
        return String.join(
                " ",
                kept.stream()
                        .map(s -> s.order().state() + ":" + s.order().weight())
                        .toList());
    }

    @Test
    void aGoodReleaseGoesThroughItsStagesToItsEnd() {
        ReleaseController c = new ReleaseController(PLAN, 1, null, now, kept::add);
        play(c, 9);
        assertEquals("ON:0.05", steps());
        assertTrue(c.waitReason().endsWith("of 10 s"), c.waitReason());
        play(c, 60);
        assertEquals("ON:0.05 ON:0.25 ON:1.0 DONE:1.0", steps());
        assertTrue(c.isFinished());
    }

    @Test
    void aBadOneIsHaltedOrTakenBackByHalvesDownToNothing() {
        ReleaseController c = new ReleaseController(PLAN, 1, null, now, kept::add);
        play(c, 15);
        fleet.failuresPer20 = 8;
        play(c, 40);
        assertTrue(c.isFinished());
        assertEquals(0, c.lastStep().order().weight());
        assertTrue(kept.get(2).reason().startsWith("failures"), kept.get(2).reason());
        for (int i = 3; i < kept.size(); i++) {
            assertTrue(kept.get(i).order().weight() <= kept.get(i - 1).order().weight() / 2 + 1e-9, steps());
        }
    }

    @Test
    void aHaltKeepsWeightsUntilOperatorsGoOnOrBack() {
        ReleaseController c = new ReleaseController(PLAN, 1, null, now, kept::add);
        play(c, 15);
        c.halt(now, "by hand");
        play(c, 100);
        assertEquals("ON:0.05 ON:0.25 HALTED:0.25", steps());
        c.resume(now, "by hand");
        play(c, 12);
        c.rollBack(now, "by hand");
        play(c, 3);
        c.halt(now, "the way back too");
        play(c, 20);
        assertEquals("ON:0.05 ON:0.25 HALTED:0.25 ON:0.25 ON:1.0 BACK:0.5 HALTED:0.5", steps());
        c.abort(now, "by hand");
        assertTrue(c.isFinished());
        assertEquals(0, c.lastStep().order().weight());
    }

    @Test
    void withoutMostOfTheSidecarsNothingGoesOn() {
        ReleaseController c = new ReleaseController(PLAN, 1, null, now, kept::add);
        fleet.reachableSidecars = 2;
        play(c, 200);
        assertEquals("ON:0.05", steps());
        assertEquals("2 of 4 sidecars report, more than half are wanted", c.waitReason());
        fleet.reachableSidecars = 3;
        play(c, 15);
        assertEquals("ON:0.05 ON:0.25", steps());
    }

    @Test
    void plansThatCantBeAreRefused() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Plan("r", ReleaseOrder.Selector.parse("kind=k"), List.of(), 0, S));
        assertThrows(
                IllegalArgumentException.class,
                () -> new Plan(
                        "r",
                        ReleaseOrder.Selector.parse("kind=k"),
                        List.of(new Plan.Stage(0.5, RULE), new Plan.Stage(0.2, RULE)),
                        0,
                        S));
    }

    @Test
    void whatWasSeenGoesThroughItsTextUnchanged() {
        Tally t = new Tally();
        t.addSuccess(5_000);
        t.addSuccess(7_000);
        t.addFailure();
        t.addTimeout();
        ReleaseMonitor w = new ReleaseMonitor(null, 0);
        assertTrue(w.exportTallies("none").isEmpty());
        Tally again = ReleaseMonitor.parseTally(4, 1, 1, text(t));
        assertEquals(4, again.attempts());
        assertEquals(t.percentileUs(50), again.percentileUs(50));
        assertThrows(IllegalArgumentException.class, () -> ReleaseMonitor.parseTally(9, 1, 1, text(t)));
        assertThrows(IllegalArgumentException.class, () -> ReleaseMonitor.parseTally(4, 1, 1, "AAAA"));
        assertThrows(IllegalArgumentException.class, () -> ReleaseMonitor.parseTally(4, 1, 1, "no base64"));
        assertFalse(text(t).isEmpty());
    }

    private static String text(Tally t) {
        java.nio.ByteBuffer b = java.nio.ByteBuffer.allocate(t.histogram().getNeededByteBufferCapacity());
        int n = t.histogram().encodeIntoCompressedByteBuffer(b);
        return java.util.Base64.getEncoder().encodeToString(Arrays.copyOf(b.array(), n));
    }
}

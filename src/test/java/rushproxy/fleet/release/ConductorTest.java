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
class ConductorTest {
    private static final long S = 1_000_000;
    static final Gate.Rule RULE = new Gate.Rule(10 * S, 300 * S, 100, 0.01, 0.02, 1.25, 0.3);
    static final Plan PLAN = new Plan(
            "r1",
            Order.Selector.of("kind=new"),
            List.of(new Plan.Stage(0.05, RULE), new Plan.Stage(0.25, RULE), new Plan.Stage(1, RULE)),
            0.05,
            5 * S);
    private final CountedFleet fleet = new CountedFleet();
    private final List<Conductor.Step> kept = new ArrayList<>();
    private long now = 1_000 * S;

    private void play(Conductor c, int seconds) {
        for (int i = 0; i < seconds; i++) {
            now += S;
            c.reports(now, fleet.second(), 4);
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
        Conductor c = new Conductor(PLAN, 1, null, now, kept::add);
        play(c, 9);
        assertEquals("ON:0.05", steps());
        assertTrue(c.waitsFor().endsWith("of 10 s"), c.waitsFor());
        play(c, 60);
        assertEquals("ON:0.05 ON:0.25 ON:1.0 DONE:1.0", steps());
        assertTrue(c.over());
    }

    @Test
    void aBadOneIsHaltedOrTakenBackByHalvesDownToNothing() {
        Conductor c = new Conductor(PLAN, 1, null, now, kept::add);
        play(c, 15);
        fleet.badOf20 = 8;
        play(c, 40);
        assertTrue(c.over());
        assertEquals(0, c.last().order().weight());
        assertTrue(kept.get(2).why().startsWith("failures"), kept.get(2).why());
        for (int i = 3; i < kept.size(); i++) {
            assertTrue(kept.get(i).order().weight() <= kept.get(i - 1).order().weight() / 2 + 1e-9, steps());
        }
    }

    @Test
    void aHaltKeepsWeightsUntilOperatorsGoOnOrBack() {
        Conductor c = new Conductor(PLAN, 1, null, now, kept::add);
        play(c, 15);
        c.halt(now, "by hand");
        play(c, 100);
        assertEquals("ON:0.05 ON:0.25 HALTED:0.25", steps());
        c.resume(now, "by hand");
        play(c, 12);
        c.back(now, "by hand");
        play(c, 3);
        c.halt(now, "the way back too");
        play(c, 20);
        assertEquals("ON:0.05 ON:0.25 HALTED:0.25 ON:0.25 ON:1.0 BACK:0.5 HALTED:0.5", steps());
        c.abort(now, "by hand");
        assertTrue(c.over());
        assertEquals(0, c.last().order().weight());
    }

    @Test
    void withoutMostOfTheSidecarsNothingGoesOn() {
        Conductor c = new Conductor(PLAN, 1, null, now, kept::add);
        fleet.reach = 2;
        play(c, 200);
        assertEquals("ON:0.05", steps());
        assertEquals("2 of 4 sidecars report, more than half are wanted", c.waitsFor());
        fleet.reach = 3;
        play(c, 15);
        assertEquals("ON:0.05 ON:0.25", steps());
    }

    @Test
    void plansThatCantBeAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new Plan("r", Order.Selector.of("kind=k"), List.of(), 0, S));
        assertThrows(
                IllegalArgumentException.class,
                () -> new Plan(
                        "r",
                        Order.Selector.of("kind=k"),
                        List.of(new Plan.Stage(0.5, RULE), new Plan.Stage(0.2, RULE)),
                        0,
                        S));
    }

    @Test
    void whatWasSeenGoesThroughItsTextUnchanged() {
        Tally t = new Tally();
        t.good(5_000);
        t.good(7_000);
        t.failed();
        t.silent();
        Watch w = new Watch(null, 0);
        assertTrue(w.view("none").isEmpty());
        Tally again = Watch.read(4, 1, 1, text(t));
        assertEquals(4, again.asked());
        assertEquals(t.percentileUs(50), again.percentileUs(50));
        assertThrows(IllegalArgumentException.class, () -> Watch.read(9, 1, 1, text(t)));
        assertThrows(IllegalArgumentException.class, () -> Watch.read(4, 1, 1, "AAAA"));
        assertThrows(IllegalArgumentException.class, () -> Watch.read(4, 1, 1, "no base64"));
        assertFalse(text(t).isEmpty());
    }

    private static String text(Tally t) {
        java.nio.ByteBuffer b = java.nio.ByteBuffer.allocate(t.histogram().getNeededByteBufferCapacity());
        int n = t.histogram().encodeIntoCompressedByteBuffer(b);
        return java.util.Base64.getEncoder().encodeToString(Arrays.copyOf(b.array(), n));
    }
}

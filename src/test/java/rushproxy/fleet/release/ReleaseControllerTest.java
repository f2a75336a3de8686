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
    private static final long SECOND_US = 1_000_000;
    static final Gate.Criteria CRITERIA =
            new Gate.Criteria(10 * SECOND_US, 300 * SECOND_US, 100, 0.01, 0.02, 1.25, 0.3);
    static final Plan PLAN = new Plan(
            "r1",
            ReleaseOrder.Selector.parse("kind=new"),
            List.of(new Plan.Stage(0.05, CRITERIA), new Plan.Stage(0.25, CRITERIA), new Plan.Stage(1, CRITERIA)),
            0.05,
            5 * SECOND_US);
    private final SimulatedReports reports = new SimulatedReports();
    private final List<ReleaseController.Step> steps = new ArrayList<>();
    private long nowUs = 1_000 * SECOND_US;

    private void run(ReleaseController c, int seconds) {
        for (int i = 0; i < seconds; i++) {
            nowUs += SECOND_US;
            c.onReports(nowUs, reports.nextSecond(), 4);
        }
    }

    private String stepSummary() {
        return String.join(
                " ",
                steps.stream()
                        .map(s -> s.order().state() + ":" + s.order().weight())
                        .toList());
    }

    @Test
    void goodReleasePassesAllStages() {
        ReleaseController c = new ReleaseController(PLAN, 1, null, nowUs, steps::add);
        run(c, 9);
        assertEquals("ON:0.05", stepSummary());
        assertTrue(c.waitReason().endsWith("of 10 s"), c.waitReason());
        run(c, 60);
        assertEquals("ON:0.05 ON:0.25 ON:1.0 DONE:1.0", stepSummary());
        assertTrue(c.isFinished());
    }

    @Test
    void badReleaseIsRolledBackByHalvesToZero() {
        ReleaseController c = new ReleaseController(PLAN, 1, null, nowUs, steps::add);
        run(c, 15);
        reports.failuresPer20 = 8;
        run(c, 40);
        assertTrue(c.isFinished());
        assertEquals(0, c.lastStep().order().weight());
        assertTrue(steps.get(2).reason().startsWith("failures"), steps.get(2).reason());
        for (int i = 3; i < steps.size(); i++) {
            assertTrue(steps.get(i).order().weight() <= steps.get(i - 1).order().weight() / 2 + 1e-9, stepSummary());
        }
    }

    @Test
    void haltKeepsWeightsUntilResumedOrRolledBack() {
        ReleaseController c = new ReleaseController(PLAN, 1, null, nowUs, steps::add);
        run(c, 15);
        c.halt(nowUs, "by hand");
        run(c, 100);
        assertEquals("ON:0.05 ON:0.25 HALTED:0.25", stepSummary());
        c.resume(nowUs, "by hand");
        run(c, 12);
        c.rollBack(nowUs, "by hand");
        run(c, 3);
        c.halt(nowUs, "the way back too");
        run(c, 20);
        assertEquals("ON:0.05 ON:0.25 HALTED:0.25 ON:0.25 ON:1.0 BACK:0.5 HALTED:0.5", stepSummary());
        c.abort(nowUs, "by hand");
        assertTrue(c.isFinished());
        assertEquals(0, c.lastStep().order().weight());
    }

    @Test
    void releaseWaitsWithoutAQuorumOfReports() {
        ReleaseController c = new ReleaseController(PLAN, 1, null, nowUs, steps::add);
        reports.reachableSidecars = 2;
        run(c, 200);
        assertEquals("ON:0.05", stepSummary());
        assertEquals("2 of 4 sidecars report, more than half are needed", c.waitReason());
        reports.reachableSidecars = 3;
        run(c, 15);
        assertEquals("ON:0.05 ON:0.25", stepSummary());
    }

    @Test
    void invalidPlansAreRejected() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Plan("r", ReleaseOrder.Selector.parse("kind=k"), List.of(), 0, SECOND_US));
        assertThrows(
                IllegalArgumentException.class,
                () -> new Plan(
                        "r",
                        ReleaseOrder.Selector.parse("kind=k"),
                        List.of(new Plan.Stage(0.5, CRITERIA), new Plan.Stage(0.2, CRITERIA)),
                        0,
                        SECOND_US));
    }

    @Test
    void talliesRoundTripThroughText() {
        Tally t = new Tally();
        t.addSuccess(5_000);
        t.addSuccess(7_000);
        t.addFailure();
        t.addTimeout();
        ReleaseMonitor w = new ReleaseMonitor(null, 0);
        assertTrue(w.exportTallies("none").isEmpty());
        Tally again = ReleaseMonitor.parseTally(4, 1, 1, encodeHistogram(t));
        assertEquals(4, again.attempts());
        assertEquals(t.percentileUs(50), again.percentileUs(50));
        assertThrows(IllegalArgumentException.class, () -> ReleaseMonitor.parseTally(9, 1, 1, encodeHistogram(t)));
        assertThrows(IllegalArgumentException.class, () -> ReleaseMonitor.parseTally(4, 1, 1, "AAAA"));
        assertThrows(IllegalArgumentException.class, () -> ReleaseMonitor.parseTally(4, 1, 1, "no base64"));
        assertFalse(encodeHistogram(t).isEmpty());
    }

    private static String encodeHistogram(Tally t) {
        java.nio.ByteBuffer b = java.nio.ByteBuffer.allocate(t.latencies().getNeededByteBufferCapacity());
        int n = t.latencies().encodeIntoCompressedByteBuffer(b);
        return java.util.Base64.getEncoder().encodeToString(Arrays.copyOf(b.array(), n));
    }
}

package rushproxy.fleet.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Stages, completion, halt and rollback of a release, and the text form of tallies. */
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

    private void run(ReleaseController controller, int seconds) {
        for (int i = 0; i < seconds; i++) {
            nowUs += SECOND_US;
            controller.onReports(nowUs, reports.nextSecond(), 4);
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
        ReleaseController controller = new ReleaseController(PLAN, 1, null, nowUs, steps::add);
        run(controller, 9);
        assertEquals("ON:0.05", stepSummary());
        assertTrue(controller.waitReason().endsWith("of 10 s"), controller.waitReason());
        run(controller, 60);
        assertEquals("ON:0.05 ON:0.25 ON:1.0 DONE:1.0", stepSummary());
        assertTrue(controller.isFinished());
    }

    @Test
    void badReleaseIsRolledBackByHalvesToZero() {
        ReleaseController controller = new ReleaseController(PLAN, 1, null, nowUs, steps::add);
        run(controller, 15);
        reports.failuresPer20 = 8;
        run(controller, 40);
        assertTrue(controller.isFinished());
        assertEquals(0, controller.lastStep().order().weight());
        assertTrue(steps.get(2).reason().startsWith("failures"), steps.get(2).reason());
        for (int i = 3; i < steps.size(); i++) {
            assertTrue(steps.get(i).order().weight() <= steps.get(i - 1).order().weight() / 2 + 1e-9, stepSummary());
        }
    }

    @Test
    void haltKeepsWeightsUntilResumedOrRolledBack() {
        ReleaseController controller = new ReleaseController(PLAN, 1, null, nowUs, steps::add);
        run(controller, 15);
        controller.halt(nowUs, "by hand");
        run(controller, 100);
        assertEquals("ON:0.05 ON:0.25 HALTED:0.25", stepSummary());
        controller.resume(nowUs, "by hand");
        run(controller, 12);
        controller.rollBack(nowUs, "by hand");
        run(controller, 3);
        controller.halt(nowUs, "during the rollback");
        run(controller, 20);
        assertEquals("ON:0.05 ON:0.25 HALTED:0.25 ON:0.25 ON:1.0 BACK:0.5 HALTED:0.5", stepSummary());
        controller.abort(nowUs, "by hand");
        assertTrue(controller.isFinished());
        assertEquals(0, controller.lastStep().order().weight());
    }

    @Test
    void releaseWaitsWithoutAQuorumOfReports() {
        ReleaseController controller = new ReleaseController(PLAN, 1, null, nowUs, steps::add);
        reports.reachableSidecars = 2;
        run(controller, 200);
        assertEquals("ON:0.05", stepSummary());
        assertEquals("2 of 4 sidecars report, more than half are needed", controller.waitReason());
        reports.reachableSidecars = 3;
        run(controller, 15);
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
        Tally tally = new Tally();
        tally.addSuccess(5_000);
        tally.addSuccess(7_000);
        tally.addFailure();
        tally.addTimeout();
        ReleaseMonitor monitor = new ReleaseMonitor(null, 0);
        assertTrue(monitor.exportTallies("none").isEmpty());
        Tally parsed = ReleaseMonitor.parseTally(4, 1, 1, encodeHistogram(tally));
        assertEquals(4, parsed.attempts());
        assertEquals(tally.percentileUs(50), parsed.percentileUs(50));
        assertThrows(IllegalArgumentException.class, () -> ReleaseMonitor.parseTally(9, 1, 1, encodeHistogram(tally)));
        assertThrows(IllegalArgumentException.class, () -> ReleaseMonitor.parseTally(4, 1, 1, "AAAA"));
        assertThrows(IllegalArgumentException.class, () -> ReleaseMonitor.parseTally(4, 1, 1, "not base64"));
        assertFalse(encodeHistogram(tally).isEmpty());
    }

    private static String encodeHistogram(Tally tally) {
        java.nio.ByteBuffer b = java.nio.ByteBuffer.allocate(tally.latencies().getNeededByteBufferCapacity());
        int length = tally.latencies().encodeIntoCompressedByteBuffer(b);
        return java.util.Base64.getEncoder().encodeToString(Arrays.copyOf(b.array(), length));
    }
}

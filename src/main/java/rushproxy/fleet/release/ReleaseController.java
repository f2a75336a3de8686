package rushproxy.fleet.release;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import rushproxy.fleet.release.ReleaseMonitor.TallyPair;

/**
 * The controller of one release: what it orders next, by its plan and by what the sidecars tell. Without I/O: it is told the time, the
 * reports and the operators' calls, and each step that it takes goes to {@code stepSink} before it is the {@link #order}. One thread.
 */
public final class ReleaseController {
    /** One step: what is ordered, which stage it belongs to, and why. All that a later controller has to know. */
    public record Step(ReleaseOrder order, int stage, String reason) {}

    /** Of the sidecars, at least this part has to report, or nothing is judged and nothing goes on. */
    public static final double REPORT_QUORUM = 0.5;

    private static final double MIN_WEIGHT = 0.01;

    private final Plan plan;
    private final int epoch;
    private final Consumer<Step> stepSink;
    private Step lastStep;
    private Gate gate;
    private long lastStepUs;
    private String waitReason = "";
    private final Map<String, Map<String, TallyPair>> previousReports = new HashMap<>();

    /**
     * @param epoch later than that of every controller before
     * @param after the last step of the controller before; null where the release begins
     * @param steps keeps each step, durably, before anybody hears of it; what it throws ends the controller where it is
     */
    public ReleaseController(Plan plan, int epoch, Step previousStep, long nowUs, Consumer<Step> stepSink) {
        this.plan = plan;
        this.epoch = epoch;
        this.stepSink = stepSink;
        if (previousStep == null) {
            takeStep(nowUs, ReleaseOrder.State.ON, plan.stages().get(0).weight(), 0, "begins");
        } else {
            ReleaseOrder o = previousStep.order();
            takeStep(
                    nowUs,
                    o.state(),
                    o.weight(),
                    Math.min(previousStep.stage(), plan.stages().size() - 1),
                    "goes on where epoch " + o.epoch() + ", step " + o.step() + " stood");
        }
    }

    private void takeStep(long nowUs, ReleaseOrder.State state, double weight, int stage, String reason) {
        int number = lastStep == null ? 0 : lastStep.order().step() + 1;
        Step next = new Step(
                new ReleaseOrder(plan.name(), epoch, number, state, weight, plan.safeWeight(), plan.selector()),
                stage,
                reason);
        stepSink.accept(next);
        lastStep = next;
        lastStepUs = nowUs;
        gate = new Gate(plan.stages().get(stage).criteria());
        previousReports.clear();
        waitReason = "";
    }

    /** What all sidecars are to be told, again and again: one that was not reached is told later. */
    public Step lastStep() {
        return lastStep;
    }

    /** What the stage waits for; empty where nothing was judged yet. */
    public String waitReason() {
        return waitReason;
    }

    /** All is done or undone: nothing follows. */
    public boolean isFinished() {
        return lastStep.order().state() == ReleaseOrder.State.DONE
                || lastStep.order().state() == ReleaseOrder.State.BACK
                        && lastStep.order().weight() == 0;
    }

    /**
     * What the sidecars that were reached have counted since their start, by their names and by strata; {@code sidecars} there are. To be
     * called each second or so.
     */
    public void onReports(long nowUs, Map<String, Map<String, TallyPair>> reports, int sidecarCount) {
        if (isFinished()) {
            return;
        }
        if (lastStep.order().state() == ReleaseOrder.State.BACK) {
            if (nowUs - lastStepUs >= plan.rollbackIntervalUs()) {
                double half = lastStep.order().weight() / 2;
                takeStep(
                        nowUs, ReleaseOrder.State.BACK, half < MIN_WEIGHT ? 0 : half, lastStep.stage(), "further back");
            }
            return;
        }
        if (reports.size() <= REPORT_QUORUM * sidecarCount) {
            // It may be the one that is cut off: others may have another controller.
            waitReason = reports.size() + " of " + sidecarCount + " sidecars report, more than half are wanted";
            return;
        }
        reports.forEach((sidecar, strata) -> {
            Map<String, TallyPair> previous = previousReports.getOrDefault(sidecar, Map.of());
            boolean first = !previousReports.containsKey(sidecar);
            strata.forEach((stratum, pair) -> {
                // What was seen before the stage began is not the stage's.
                if (!first) {
                    TallyPair b = previous.get(stratum);
                    gate.addBatch(
                            stratum,
                            pair.candidate().deltaSince(b == null ? null : b.candidate()),
                            pair.control().deltaSince(b == null ? null : b.control()));
                }
            });
            previousReports.put(sidecar, strata);
        });
        if (lastStep.order().state() == ReleaseOrder.State.HALTED) {
            waitReason = "halted";
            return;
        }
        Gate.Decision r = gate.decide(nowUs);
        switch (r.verdict()) {
            case WAIT -> waitReason = r.reason();
            case HALT ->
                takeStep(nowUs, ReleaseOrder.State.HALTED, lastStep.order().weight(), lastStep.stage(), r.reason());
            case BACK -> rollBack(nowUs, r.reason());
            case ON -> {
                int next = lastStep.stage() + 1;
                if (next < plan.stages().size()) {
                    takeStep(
                            nowUs,
                            ReleaseOrder.State.ON,
                            plan.stages().get(next).weight(),
                            next,
                            r.reason());
                } else {
                    takeStep(nowUs, ReleaseOrder.State.DONE, 1, lastStep.stage(), r.reason());
                }
            }
        }
    }

    /** Weights stay as they are. */
    public void halt(long nowUs, String reason) {
        if (lastStep.order().state() == ReleaseOrder.State.ON
                || lastStep.order().state() == ReleaseOrder.State.BACK && !isFinished()) {
            takeStep(nowUs, ReleaseOrder.State.HALTED, lastStep.order().weight(), lastStep.stage(), reason);
        }
    }

    /** The stage that was halted begins anew. */
    public void resume(long nowUs, String reason) {
        if (lastStep.order().state() == ReleaseOrder.State.HALTED) {
            takeStep(
                    nowUs,
                    ReleaseOrder.State.ON,
                    plan.stages().get(lastStep.stage()).weight(),
                    lastStep.stage(),
                    reason);
        }
    }

    /** The new servers are taken out, by halves; also one that was halted, or is done. */
    public void rollBack(long nowUs, String reason) {
        if (lastStep.order().state() != ReleaseOrder.State.BACK) {
            takeStep(nowUs, ReleaseOrder.State.BACK, lastStep.order().weight() / 2, lastStep.stage(), reason);
        }
    }

    /** The new servers are taken out at once. */
    public void abort(long nowUs, String reason) {
        takeStep(nowUs, ReleaseOrder.State.BACK, 0, lastStep.stage(), reason);
    }
}

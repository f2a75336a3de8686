package rushproxy.fleet.release;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import rushproxy.fleet.release.ReleaseMonitor.TallyPair;

/**
 * Controller of one release: decides its next order from its plan and the sidecars' reports. Performs no I/O: the time, the reports
 * and operators' calls are passed in, and each step goes to {@code stepSink} before it becomes the {@link #lastStep}. Not
 * thread-safe.
 */
public final class ReleaseController {
    /** One step: its order, its stage and its reason. All that a controller needs to resume the release. */
    public record Step(ReleaseOrder order, int stage, String reason) {}

    /** More than this fraction of the sidecars has to report before a stage is evaluated. */
    public static final double REPORT_QUORUM = 0.5;

    /** A rollback ends below this weight. */
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
     * @param epoch        greater than that of every earlier controller
     * @param previousStep last step of the previous controller; null for a new release
     * @param stepSink     stores each step durably before it is published; if it throws, the controller keeps its last step
     */
    public ReleaseController(Plan plan, int epoch, Step previousStep, long nowUs, Consumer<Step> stepSink) {
        this.plan = plan;
        this.epoch = epoch;
        this.stepSink = stepSink;
        if (previousStep == null) {
            takeStep(nowUs, ReleaseOrder.State.ON, plan.stages().get(0).weight(), 0, "begins");
        } else {
            ReleaseOrder order = previousStep.order();
            takeStep(
                    nowUs,
                    order.state(),
                    order.weight(),
                    Math.min(previousStep.stage(), plan.stages().size() - 1),
                    "resumes where epoch " + order.epoch() + ", step " + order.step() + " stood");
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

    /** The step whose order is to be sent to all sidecars repeatedly, as some may not be reached at first. */
    public Step lastStep() {
        return lastStep;
    }

    /** What the stage waits for; empty before its first evaluation. */
    public String waitReason() {
        return waitReason;
    }

    /** Whether the release is complete or fully rolled back, so that no step follows. */
    public boolean isFinished() {
        return lastStep.order().state() == ReleaseOrder.State.DONE
                || lastStep.order().state() == ReleaseOrder.State.BACK
                        && lastStep.order().weight() == 0;
    }

    /**
     * Evaluates the reports of the sidecars that were reached: their tallies since their start, by sidecar and by stratum. To be
     * called about every second.
     *
     * @param sidecarCount number of all sidecars
     */
    public void onReports(long nowUs, Map<String, Map<String, TallyPair>> reports, int sidecarCount) {
        if (isFinished()) {
            return;
        }
        if (lastStep.order().state() == ReleaseOrder.State.BACK) {
            if (nowUs - lastStepUs >= plan.rollbackIntervalUs()) {
                double half = lastStep.order().weight() / 2;
                takeStep(
                        nowUs,
                        ReleaseOrder.State.BACK,
                        half < MIN_WEIGHT ? 0 : half,
                        lastStep.stage(),
                        "rollback continues");
            }
            return;
        }
        if (reports.size() <= REPORT_QUORUM * sidecarCount) {
            // This controller may be partitioned, and another one active on the other side.
            waitReason = reports.size() + " of " + sidecarCount + " sidecars report, more than half are needed";
            return;
        }
        reports.forEach((sidecar, strata) -> {
            Map<String, TallyPair> previous = previousReports.getOrDefault(sidecar, Map.of());
            boolean first = !previousReports.containsKey(sidecar);
            strata.forEach((stratum, pair) -> {
                // A sidecar's first report of a stage is only the baseline: it includes earlier stages.
                if (!first) {
                    TallyPair earlier = previous.get(stratum);
                    gate.addBatch(
                            stratum,
                            pair.candidate().deltaSince(earlier == null ? null : earlier.candidate()),
                            pair.control().deltaSince(earlier == null ? null : earlier.control()));
                }
            });
            previousReports.put(sidecar, strata);
        });
        if (lastStep.order().state() == ReleaseOrder.State.HALTED) {
            waitReason = "halted";
            return;
        }
        Gate.Decision decision = gate.decide(nowUs);
        switch (decision.verdict()) {
            case WAIT -> waitReason = decision.reason();
            case HALT ->
                takeStep(
                        nowUs,
                        ReleaseOrder.State.HALTED,
                        lastStep.order().weight(),
                        lastStep.stage(),
                        decision.reason());
            case BACK -> rollBack(nowUs, decision.reason());
            case ON -> {
                int next = lastStep.stage() + 1;
                if (next < plan.stages().size()) {
                    takeStep(
                            nowUs,
                            ReleaseOrder.State.ON,
                            plan.stages().get(next).weight(),
                            next,
                            decision.reason());
                } else {
                    takeStep(nowUs, ReleaseOrder.State.DONE, 1, lastStep.stage(), decision.reason());
                }
            }
        }
    }

    /** Halts the release at the current weight. */
    public void halt(long nowUs, String reason) {
        if (lastStep.order().state() == ReleaseOrder.State.ON
                || lastStep.order().state() == ReleaseOrder.State.BACK && !isFinished()) {
            takeStep(nowUs, ReleaseOrder.State.HALTED, lastStep.order().weight(), lastStep.stage(), reason);
        }
    }

    /** Restarts the halted stage. */
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

    /** Starts to halve the new servers' weight repeatedly; also for a halted or completed release. */
    public void rollBack(long nowUs, String reason) {
        if (lastStep.order().state() != ReleaseOrder.State.BACK) {
            takeStep(nowUs, ReleaseOrder.State.BACK, lastStep.order().weight() / 2, lastStep.stage(), reason);
        }
    }

    /** Sets the new servers' weight to 0 at once. */
    public void abort(long nowUs, String reason) {
        takeStep(nowUs, ReleaseOrder.State.BACK, 0, lastStep.stage(), reason);
    }
}

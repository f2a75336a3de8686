package rushproxy.fleet.release;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import rushproxy.fleet.release.ReleaseMonitor.TallyPair;

/**
 * The controller of one release: what it orders next, by its plan and by what the sidecars tell. Without I/O: it is told the time, the
 * reports and the operators' calls, and each step that it takes goes to {@code steps} before it is the {@link #order}. One thread.
 */
public final class ReleaseController {
    /** One step: what is ordered, which stage it belongs to, and why. All that a later controller has to know. */
    public record Step(ReleaseOrder order, int stage, String reason) {}

    /** Of the sidecars, at least this part has to report, or nothing is judged and nothing goes on. */
    public static final double REPORT_QUORUM = 0.5;

    private static final double LEAST_WEIGHT = 0.01;

    private final Plan plan;
    private final int epoch;
    private final Consumer<Step> steps;
    private Step last;
    private Gate gate;
    private long steppedUs;
    private String waitsFor = "";
    private final Map<String, Map<String, TallyPair>> before = new HashMap<>();

    /**
     * @param epoch later than that of every controller before
     * @param after the last step of the controller before; null where the release begins
     * @param steps keeps each step, durably, before anybody hears of it; what it throws ends the controller where it is
     */
    public ReleaseController(Plan plan, int epoch, Step after, long nowUs, Consumer<Step> steps) {
        this.plan = plan;
        this.epoch = epoch;
        this.steps = steps;
        if (after == null) {
            step(nowUs, ReleaseOrder.State.ON, plan.stages().get(0).weight(), 0, "begins");
        } else {
            ReleaseOrder o = after.order();
            step(
                    nowUs,
                    o.state(),
                    o.weight(),
                    Math.min(after.stage(), plan.stages().size() - 1),
                    "goes on where epoch " + o.epoch() + ", step " + o.step() + " stood");
        }
    }

    private void step(long nowUs, ReleaseOrder.State state, double weight, int stage, String why) {
        int number = last == null ? 0 : last.order().step() + 1;
        Step next = new Step(
                new ReleaseOrder(plan.name(), epoch, number, state, weight, plan.safeWeight(), plan.selector()),
                stage,
                why);
        steps.accept(next);
        last = next;
        steppedUs = nowUs;
        gate = new Gate(plan.stages().get(stage).criteria());
        before.clear();
        waitsFor = "";
    }

    /** What all sidecars are to be told, again and again: one that was not reached is told later. */
    public Step lastStep() {
        return last;
    }

    /** What the stage waits for; empty where nothing was judged yet. */
    public String waitReason() {
        return waitsFor;
    }

    /** All is done or undone: nothing follows. */
    public boolean isFinished() {
        return last.order().state() == ReleaseOrder.State.DONE
                || last.order().state() == ReleaseOrder.State.BACK
                        && last.order().weight() == 0;
    }

    /**
     * What the sidecars that were reached have counted since their start, by their names and by strata; {@code sidecars} there are. To be
     * called each second or so.
     */
    public void onReports(long nowUs, Map<String, Map<String, TallyPair>> reports, int sidecars) {
        if (isFinished()) {
            return;
        }
        if (last.order().state() == ReleaseOrder.State.BACK) {
            if (nowUs - steppedUs >= plan.rollbackIntervalUs()) {
                double half = last.order().weight() / 2;
                step(nowUs, ReleaseOrder.State.BACK, half < LEAST_WEIGHT ? 0 : half, last.stage(), "further back");
            }
            return;
        }
        if (reports.size() <= REPORT_QUORUM * sidecars) {
            // It may be the one that is cut off: others may have another controller.
            waitsFor = reports.size() + " of " + sidecars + " sidecars report, more than half are wanted";
            return;
        }
        reports.forEach((sidecar, strata) -> {
            Map<String, TallyPair> old = before.getOrDefault(sidecar, Map.of());
            boolean first = !before.containsKey(sidecar);
            strata.forEach((stratum, pair) -> {
                // What was seen before the stage began is not the stage's.
                if (!first) {
                    TallyPair b = old.get(stratum);
                    gate.addBatch(
                            stratum,
                            pair.candidate().since(b == null ? null : b.candidate()),
                            pair.control().since(b == null ? null : b.control()));
                }
            });
            before.put(sidecar, strata);
        });
        if (last.order().state() == ReleaseOrder.State.HALTED) {
            waitsFor = "halted";
            return;
        }
        Gate.Decision r = gate.decide(nowUs);
        switch (r.verdict()) {
            case WAIT -> waitsFor = r.reason();
            case HALT -> step(nowUs, ReleaseOrder.State.HALTED, last.order().weight(), last.stage(), r.reason());
            case BACK -> rollBack(nowUs, r.reason());
            case ON -> {
                int next = last.stage() + 1;
                if (next < plan.stages().size()) {
                    step(nowUs, ReleaseOrder.State.ON, plan.stages().get(next).weight(), next, r.reason());
                } else {
                    step(nowUs, ReleaseOrder.State.DONE, 1, last.stage(), r.reason());
                }
            }
        }
    }

    /** Weights stay as they are. */
    public void halt(long nowUs, String why) {
        if (last.order().state() == ReleaseOrder.State.ON
                || last.order().state() == ReleaseOrder.State.BACK && !isFinished()) {
            step(nowUs, ReleaseOrder.State.HALTED, last.order().weight(), last.stage(), why);
        }
    }

    /** The stage that was halted begins anew. */
    public void resume(long nowUs, String why) {
        if (last.order().state() == ReleaseOrder.State.HALTED) {
            step(nowUs, ReleaseOrder.State.ON, plan.stages().get(last.stage()).weight(), last.stage(), why);
        }
    }

    /** The new servers are taken out, by halves; also one that was halted, or is done. */
    public void rollBack(long nowUs, String why) {
        if (last.order().state() != ReleaseOrder.State.BACK) {
            step(nowUs, ReleaseOrder.State.BACK, last.order().weight() / 2, last.stage(), why);
        }
    }

    /** The new servers are taken out at once. */
    public void abort(long nowUs, String why) {
        step(nowUs, ReleaseOrder.State.BACK, 0, last.stage(), why);
    }
}

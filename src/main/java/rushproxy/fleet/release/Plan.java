package rushproxy.fleet.release;

import java.util.List;

/**
 * Plan of a release.
 *
 * @param selector           selects the new servers
 * @param stages             stages in order; after the last the new servers get their full shares
 * @param safeWeight         weight of the new servers at a sidecar that is isolated for long
 * @param rollbackIntervalUs interval at which a rollback halves the weight, so that the old servers can take over the load
 */
public record Plan(
        String name, ReleaseOrder.Selector selector, List<Stage> stages, double safeWeight, long rollbackIntervalUs) {
    /** Fraction of their shares that the new servers get, and the criteria for the next stage. */
    public record Stage(double weight, Gate.Criteria criteria) {}

    public Plan {
        stages = List.copyOf(stages);
        if (stages.isEmpty()) {
            throw new IllegalArgumentException("a plan without stages");
        }
        double previous = 0;
        for (Stage stage : stages) {
            if (!(stage.weight > previous && stage.weight <= 1)) {
                throw new IllegalArgumentException("stages: a weight of " + stage.weight + " after " + previous
                        + "; each must be larger than the previous one and at most 1");
            }
            previous = stage.weight;
        }
    }
}

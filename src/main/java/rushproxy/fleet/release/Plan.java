package rushproxy.fleet.release;

import java.util.List;

/**
 * What a release is to do.
 *
 * @param whom   the new servers
 * @param stages in order; after the last the new servers have all of their shares
 * @param safe   the new servers' weight at a sidecar that is cut off for long
 * @param backUs the way back halves the weight this often, so that the old servers can take it up
 */
public record Plan(
        String name, ReleaseOrder.Selector selector, List<Stage> stages, double safeWeight, long rollbackIntervalUs) {
    /** The part of its share that what is released gets, and what has to hold before the next stage. */
    public record Stage(double weight, Gate.Criteria criteria) {}

    public Plan {
        stages = List.copyOf(stages);
        if (stages.isEmpty()) {
            throw new IllegalArgumentException("a plan without stages");
        }
        double previous = 0;
        for (Stage s : stages) {
            if (!(s.weight > previous && s.weight <= 1)) {
                throw new IllegalArgumentException(
                        "stages: a weight of " + s.weight + " after " + previous + "; each is larger, and 1 at most");
            }
            previous = s.weight;
        }
    }
}

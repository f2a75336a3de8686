package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * Tells which lost requests say nothing of the program: those for most of whose time the laboratory's loop, or their sidecar's, was ready
 * to run and had to wait for a processor. A run with such a loss is no run of its scenario; it never counts as one that held.
 */
public final class Starvation {
    private static final double MOST_OF_ITS_TIME = 0.5;
    private static final String RULE = "lost";

    private final Run run;
    /** By node, null for the laboratory. */
    private final Map<String, List<Observation>> waits = new HashMap<>();

    /** Of what was seen in the run. */
    public Starvation(Run run) {
        this.run = run;
        run.of(EventType.WAITED)
                .forEach(o ->
                        waits.computeIfAbsent(o.node(), n -> new ArrayList<>()).add(o));
    }

    /** Whether there was no processor for the request that was lost. A broken connection and a second answer are somebody's doing. */
    public boolean explains(Violation lost) {
        if (!lost.rule().equals(RULE) || lost.id() == null) {
            return false;
        }
        List<Observation> ofRequest = run.byId().getOrDefault(lost.id(), List.of());
        if (ofRequest.stream().anyMatch(o -> o.what() == EventType.BROKE || o.what() == EventType.ANSWERED)) {
            return false;
        }
        Observation asked = ofRequest.stream()
                .filter(o -> o.what() == EventType.ASKED)
                .findFirst()
                .orElse(null);
        if (asked == null || lost.us() <= asked.us()) {
            return false;
        }
        double mostUs = MOST_OF_ITS_TIME * (lost.us() - asked.us());
        return waitedUs(null, asked.us(), lost.us()) > mostUs || waitedUs(asked.node(), asked.us(), lost.us()) > mostUs;
    }

    /** A wait that lies in the time only partly counts by that part. The kernel counts a wait when it ends: a long one began before the look. */
    private double waitedUs(String node, long fromUs, long toUs) {
        double sumUs = 0;
        for (Observation wait : waits.getOrDefault(node, List.of())) {
            double waitUs = wait.number() * 1e3;
            double beganUs = Math.min(wait.sinceUs(), wait.us() - waitUs);
            double within = Math.min(toUs, wait.us()) - Math.max(fromUs, beganUs);
            if (within > 0) {
                sumUs += waitUs * within / (wait.us() - beganUs);
            }
        }
        return sumUs;
    }
}

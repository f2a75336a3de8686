package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * Identifies lost requests that are due to a lack of CPU time on the machine: for more than half of the request's time the event loop of
 * the laboratory or of its sidecar was runnable but waited for a processor. A run with such a loss is invalid and never counts as passed.
 */
public final class CpuStarvation {
    private static final double MIN_WAITING_SHARE = 0.5;
    private static final String RULE = "lost";

    private final RecordedRun run;
    /** Waits for a processor by node; those of the laboratory have the key null. */
    private final Map<String, List<Observation>> waits = new HashMap<>();

    /** Collects the waits for a processor recorded in the run. */
    public CpuStarvation(RecordedRun run) {
        this.run = run;
        run.observationsOf(EventType.WAITED)
                .forEach(o ->
                        waits.computeIfAbsent(o.node(), n -> new ArrayList<>()).add(o));
    }

    /**
     * Returns whether a lack of CPU time explains the lost request. It never explains a broken connection or a second response, which some
     * process must have caused.
     */
    public boolean explains(Violation lost) {
        if (!lost.rule().equals(RULE) || lost.id() == null) {
            return false;
        }
        List<Observation> ofRequest = run.byRequestId().getOrDefault(lost.id(), List.of());
        if (ofRequest.stream().anyMatch(o -> o.what() == EventType.BROKE || o.what() == EventType.ANSWERED)) {
            return false;
        }
        Observation sent = ofRequest.stream()
                .filter(o -> o.what() == EventType.ASKED)
                .findFirst()
                .orElse(null);
        if (sent == null || lost.us() <= sent.us()) {
            return false;
        }
        double minWaitUs = MIN_WAITING_SHARE * (lost.us() - sent.us());
        return waitedUs(null, sent.us(), lost.us()) > minWaitUs
                || waitedUs(sent.node(), sent.us(), lost.us()) > minWaitUs;
    }

    /**
     * Returns the time waited for a processor in the interval; a wait that overlaps it counts in proportion. The kernel accounts for a wait
     * when it ends, so a long one may have begun before the sampling period in which it was reported.
     */
    private double waitedUs(String node, long fromUs, long toUs) {
        double sumUs = 0;
        for (Observation wait : waits.getOrDefault(node, List.of())) {
            double waitUs = wait.number() * 1e3;
            double startUs = Math.min(wait.sinceUs(), wait.us() - waitUs);
            double overlapUs = Math.min(toUs, wait.us()) - Math.max(fromUs, startUs);
            if (overlapUs > 0) {
                sumUs += waitUs * overlapUs / (wait.us() - startUs);
            }
        }
        return sumUs;
    }
}

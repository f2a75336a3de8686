package rushproxy.lab.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * When a node had no process that took clients from the socket that the laboratory holds for it: from the moment in which its last process
 * left until the next one takes from it. Who connects then waits in the kernel's queue. Where sidecars listen themselves such a client is
 * refused, and there are no absences.
 */
final class Absences {
    private static final String HANDS_SOCKETS_ON = "replace";

    private final Map<String, Periods> byNode = new HashMap<>();

    Absences(Run run) {
        if (run.scenario().faults().stream().noneMatch(fault -> fault.what().equals(HANDS_SOCKETS_ON))) {
            return;
        }
        Map<String, Set<Double>> taking = new HashMap<>();
        for (Observation o : run.of(EventType.NODE)) {
            Set<Double> processes = taking.computeIfAbsent(o.node(), n -> new HashSet<>());
            Periods absences = byNode.computeIfAbsent(o.node(), n -> new Periods());
            if (o.text().equals("serving") || o.text().equals("ready")) {
                processes.add(o.number());
                absences.end(o.us());
            } else if (o.text().startsWith("exit") && processes.remove(o.number()) && processes.isEmpty()) {
                absences.begin(o.sinceUs() > 0 ? o.sinceUs() : o.us());
            }
        }
    }

    /** Whether the node had no process that took clients from the one moment to the other. */
    boolean cover(String node, long fromUs, long toUs) {
        Periods absences = byNode.get(node);
        return absences != null && absences.cover(fromUs, toUs);
    }

    /**
     * Whether no process could take this request in its time: there was none from its send to the end of its client's patience. What a
     * server got by then was taken all the same.
     */
    boolean nobodyCouldTake(Observation asked, List<Observation> ofRequest) {
        long deadlineUs = asked.us() + Math.round(asked.number() * 1e3);
        boolean got = ofRequest.stream().anyMatch(o -> o.what() == EventType.GOT && o.sinceUs() <= deadlineUs);
        return !got && cover(asked.node(), asked.us(), deadlineUs);
    }
}

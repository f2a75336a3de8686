package rushproxy.lab.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.What;

/**
 * When a node had no process that could take a client from the socket that the laboratory holds for it: from the end of its last process
 * until the next is ready. Who connects then waits in the kernel's queue, and no sidecar has taken the request. Where sidecars listen
 * themselves such a client is refused, and there are no absences.
 */
final class Absences {
    private static final String HANDS_SOCKETS_ON = "replace";

    private final Map<String, Periods> byNode = new HashMap<>();

    Absences(Run run) {
        if (run.scenario().faults().stream().noneMatch(fault -> fault.what().equals(HANDS_SOCKETS_ON))) {
            return;
        }
        Map<String, Set<Double>> processes = new HashMap<>();
        for (Observation o : run.of(What.NODE)) {
            Set<Double> running = processes.computeIfAbsent(o.node(), n -> new HashSet<>());
            Periods absences = byNode.computeIfAbsent(o.node(), n -> new Periods());
            if (o.text().equals("started")) {
                running.add(o.number());
            } else if (o.text().equals("ready")) {
                absences.end(o.us());
            } else if (o.text().startsWith("exit") && running.remove(o.number()) && running.isEmpty()) {
                absences.begin(o.us());
            }
        }
    }

    boolean nobodyAt(String node, long us) {
        return byNode.containsKey(node) && byNode.get(node).beginOf(us) != null;
    }
}

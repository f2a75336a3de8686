package rushproxy.lab.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * The intervals in which a node had no process accepting from the listening socket that the laboratory holds open for it: from the exit of
 * its last process until the next one accepts. Connections made in between wait in the kernel's accept queue. Where sidecars open their
 * own listening sockets such connections are refused, and there are no gaps.
 */
final class AcceptGaps {
    private static final String SOCKET_HANDOVER_FAULT = "replace";

    private final Map<String, Intervals> byNode = new HashMap<>();

    AcceptGaps(RecordedRun run) {
        if (run.scenario().faults().stream().noneMatch(fault -> fault.what().equals(SOCKET_HANDOVER_FAULT))) {
            return;
        }
        Map<String, Set<Double>> acceptingByNode = new HashMap<>();
        for (Observation o : run.observationsOf(EventType.NODE)) {
            Set<Double> acceptingPids = acceptingByNode.computeIfAbsent(o.node(), n -> new HashSet<>());
            Intervals gaps = byNode.computeIfAbsent(o.node(), n -> new Intervals());
            if (o.text().equals("serving") || o.text().equals("ready")) {
                acceptingPids.add(o.number());
                gaps.end(o.us());
            } else if (o.text().startsWith("exit") && acceptingPids.remove(o.number()) && acceptingPids.isEmpty()) {
                gaps.begin(o.sinceUs() > 0 ? o.sinceUs() : o.us());
            }
        }
    }

    /** Returns whether the node had no accepting process throughout the interval. */
    boolean covers(String node, long fromUs, long toUs) {
        Intervals gaps = byNode.get(node);
        return gaps != null && gaps.covers(fromUs, toUs);
    }

    /**
     * Returns whether no process could accept this request: none was accepting between its send and its deadline. A request that an
     * upstream received before the deadline was accepted in any case.
     */
    boolean noProcessCouldAccept(Observation asked, List<Observation> ofRequest) {
        long deadlineUs = asked.us() + Math.round(asked.number() * 1e3);
        boolean received = ofRequest.stream().anyMatch(o -> o.what() == EventType.GOT && o.sinceUs() <= deadlineUs);
        return !received && covers(asked.node(), asked.us(), deadlineUs);
    }
}

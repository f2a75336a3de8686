package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** Every successful response must come from an upstream that produced it for this request, and upstreams must get only requests that a client sent. */
final class ResponseOriginChecker implements Checker {
    @Override
    public String rule() {
        return "made";
    }

    @Override
    public List<Violation> check(RecordedRun run) {
        List<Violation> violations = new ArrayList<>();
        for (Map.Entry<String, List<Observation>> e : run.byRequestId().entrySet()) {
            Set<String> responses = new HashSet<>();
            boolean sentByClient = false;
            for (Observation o : e.getValue()) {
                sentByClient |= o.what() == EventType.ASKED;
                if (o.what() == EventType.REPLIED) {
                    responses.add(o.text());
                } else if (o.what() == EventType.ANSWERED
                        && o.text().startsWith("200")
                        && !responses.contains(o.text())) {
                    violations.add(new Violation(
                            rule(),
                            o.us(),
                            e.getKey(),
                            "response does not match any that an upstream produced for it: " + o.text()));
                } else if (o.what() == EventType.GOT && !sentByClient) {
                    violations.add(new Violation(
                            rule(), o.us(), e.getKey(), o.server() + " received a request that no client sent"));
                }
            }
        }
        for (Observation o : run.observationsOf(EventType.GOT)) {
            if (o.id() == null) {
                violations.add(new Violation(
                        rule(), o.us(), null, o.server() + " received a request without an id from " + o.node()));
            }
        }
        return violations;
    }
}

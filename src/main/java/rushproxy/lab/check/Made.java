package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** What is served was made by an upstream for this very request, and no upstream gets what no client has asked for. */
final class Made implements Checker {
    @Override
    public String rule() {
        return "made";
    }

    @Override
    public List<Violation> check(Run run) {
        List<Violation> found = new ArrayList<>();
        for (Map.Entry<String, List<Observation>> e : run.byId().entrySet()) {
            Set<String> made = new HashSet<>();
            boolean asked = false;
            for (Observation o : e.getValue()) {
                asked |= o.what() == EventType.ASKED;
                if (o.what() == EventType.REPLIED) {
                    made.add(o.text());
                } else if (o.what() == EventType.ANSWERED && o.text().startsWith("200") && !made.contains(o.text())) {
                    found.add(new Violation(
                            rule(), o.us(), e.getKey(), "served with what no upstream made for it: " + o.text()));
                } else if (o.what() == EventType.GOT && !asked) {
                    found.add(new Violation(
                            rule(), o.us(), e.getKey(), o.server() + " got a request that no client has sent"));
                }
            }
        }
        for (Observation o : run.of(EventType.GOT)) {
            if (o.id() == null) {
                found.add(new Violation(
                        rule(), o.us(), null, o.server() + " got a request without an id from " + o.node()));
            }
        }
        return found;
    }
}

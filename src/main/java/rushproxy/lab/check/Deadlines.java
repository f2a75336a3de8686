package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** The time that a sidecar tells a server is at most what the client has left when the request is sent, with a slack for a hold-up. */
final class Deadlines implements Checker {
    private static final long SLACK_US = 150_000;

    @Override
    public String rule() {
        return "deadlines";
    }

    @Override
    public List<Violation> check(Run run) {
        List<Violation> found = new ArrayList<>();
        for (Map.Entry<String, List<Observation>> e : run.byId().entrySet()) {
            long untilUs = Long.MIN_VALUE;
            for (Observation o : e.getValue()) {
                if (o.what() == EventType.ASKED || o.what() == EventType.WRITTEN) {
                    untilUs = Math.max(untilUs, o.us() + Math.round(o.number() * 1e3));
                }
            }
            for (Observation o : e.getValue()) {
                long leftUs = untilUs - o.earliestStartUs();
                if (o.what() == EventType.GOT && untilUs != Long.MIN_VALUE && o.toldMs() * 1_000 > leftUs + SLACK_US) {
                    found.add(new Violation(
                            rule(),
                            o.us(),
                            e.getKey(),
                            o.server() + " was told " + o.toldMs() + " ms where its client had " + leftUs / 1_000
                                    + " ms left"));
                }
            }
        }
        return found;
    }
}

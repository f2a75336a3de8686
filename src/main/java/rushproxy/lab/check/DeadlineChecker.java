package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** The remaining time that a sidecar announces to a server must not exceed the time that the client has left when the request is sent. */
final class DeadlineChecker implements Checker {
    /** Allowance for a sidecar that is held up between computing the remaining time and sending it. */
    private static final long MAX_HOLD_UP_US = 150_000;

    @Override
    public String rule() {
        return "deadlines";
    }

    @Override
    public List<Violation> check(RecordedRun run) {
        List<Violation> violations = new ArrayList<>();
        for (Map.Entry<String, List<Observation>> e : run.byRequestId().entrySet()) {
            long deadlineUs = Long.MIN_VALUE;
            for (Observation o : e.getValue()) {
                if (o.what() == EventType.ASKED || o.what() == EventType.WRITTEN) {
                    deadlineUs = Math.max(deadlineUs, o.us() + Math.round(o.number() * 1e3));
                }
            }
            for (Observation o : e.getValue()) {
                long leftUs = deadlineUs - o.earliestStartUs();
                if (o.what() == EventType.GOT
                        && deadlineUs != Long.MIN_VALUE
                        && o.toldMs() * 1_000 > leftUs + MAX_HOLD_UP_US) {
                    violations.add(new Violation(
                            rule(),
                            o.us(),
                            e.getKey(),
                            o.server() + " was given " + o.toldMs() + " ms although its client had " + leftUs / 1_000
                                    + " ms left"));
                }
            }
        }
        return violations;
    }
}

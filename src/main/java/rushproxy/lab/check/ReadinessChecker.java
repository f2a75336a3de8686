package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * A drained sidecar is not ready and holds no resting client from 4 s after the request on, whichever of its processes was told, and is
 * ready again 2 s after the drain has ended.
 */
final class ReadinessChecker implements Checker {
    private static final long DRAINED_AFTER_US = 4_000_000;
    private static final long READY_AFTER_US = 2_000_000;

    @Override
    public String rule() {
        return "readiness";
    }

    @Override
    public List<Violation> check(RecordedRun run) {
        List<Violation> violations = new ArrayList<>();
        for (String node : DrainTimeline.nodesOf(run)) {
            DrainTimeline timeline = DrainTimeline.of(run, node);
            findReadyWhileDrained(run, node, timeline, violations);
            findNotReadyAgain(run, node, timeline, violations);
        }
        return violations;
    }

    private static long slackUs(RecordedRun run) {
        return run.scenario().rules().slackUs();
    }

    private void findReadyWhileDrained(
            RecordedRun run, String node, DrainTimeline timeline, List<Violation> violations) {
        for (DrainTimeline.Drain drain : timeline.drains(Long.MAX_VALUE)) {
            long dueUs = drain.sinceUs() + DRAINED_AFTER_US + slackUs(run);
            for (Observation o : run.observations()) {
                if (!node.equals(o.node())) {
                    continue;
                }
                boolean saysReady = o.what() == EventType.READINESS
                        && o.text().equals("200")
                        && o.sinceUs() > dueUs
                        && o.us() < drain.untilUs();
                boolean rests = o.what() == EventType.RESTED
                        && o.sinceUs() < drain.untilUs()
                        && Math.min(o.us(), drain.untilUs()) > Math.max(dueUs, o.sinceUs());
                if (saysReady || rests) {
                    violations.add(new Violation(
                            rule(),
                            o.us(),
                            null,
                            node + (saysReady ? " is ready " : " holds a resting client ")
                                    + (o.us() - drain.sinceUs()) / 1_000 + " ms after the request to drain it"));
                }
            }
        }
    }

    private void findNotReadyAgain(RecordedRun run, String node, DrainTimeline timeline, List<Violation> violations) {
        ProcessState process = new ProcessState();
        for (Observation o : run.observations()) {
            if (!node.equals(o.node())) {
                continue;
            }
            long fromUs = o.us() - READY_AFTER_US - slackUs(run);
            if (o.what() == EventType.NODE) {
                process.add(o);
            } else if (o.what() == EventType.READINESS
                    && !o.text().equals("200")
                    && !o.text().equals("no answer")
                    && process.servesSince(fromUs)
                    && timeline.isNotDrained(fromUs, o.us())) {
                violations.add(new Violation(
                        rule(),
                        o.us(),
                        null,
                        node + " says " + o.text() + " although nobody has drained it for more than "
                                + READY_AFTER_US / 1_000 + " ms"));
            }
        }
    }

    /** Whether the latest process of a node has been serving undisturbed. */
    private static final class ProcessState {
        private final Map<Double, Boolean> isServing = new HashMap<>();
        private double latest;
        private long lastEventUs;

        void add(Observation event) {
            lastEventUs = event.us();
            switch (event.text()) {
                case "started" -> {
                    latest = event.number();
                    isServing.put(latest, false);
                }
                case "ready", "serving" -> isServing.put(event.number(), true);
                case "term", "kill" -> isServing.put(event.number(), false);
                default -> {
                    // No process begins or ends to serve.
                }
            }
        }

        boolean servesSince(long us) {
            return isServing.getOrDefault(latest, false) && lastEventUs < us;
        }
    }
}

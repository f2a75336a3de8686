package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * No attempt may start for a client that has disconnected or whose deadline has passed, and a connection whose client stops in the middle
 * of a request must be closed in time. The laboratory's own delay in observing that close is not held against the sidecar. The start of an
 * attempt is taken from the kernel's timestamps and needs no such allowance.
 */
final class DepartedClientChecker implements Checker {
    /** An attempt may start this long after its client is gone. */
    private static final long MAX_START_DELAY_US = 100_000;
    /** Allowance for the transit over the network and through the sockets. */
    private static final long TRANSIT_US = 100_000;

    /** A sidecar must close an unfinished request within this time. */
    private static final double MAX_UNFINISHED_MS = 3_000;
    /** More than the reporting period of one second, because a laboratory that runs late also reports its lateness late. */
    private static final long LATENESS_REPORT_DELAY_US = 1_500_000;

    @Override
    public String rule() {
        return "lost";
    }

    @Override
    public List<Violation> check(RecordedRun run) {
        List<Observation> lateness = run.observationsOf(EventType.LATE);
        List<Violation> violations = new ArrayList<>();
        for (Map.Entry<String, List<Observation>> e : run.byRequestId().entrySet()) {
            Observation departure = e.getValue().stream()
                    .filter(o -> o.what() == EventType.LEFT || o.what() == EventType.GAVE_UP)
                    .findFirst()
                    .orElse(null);
            for (Observation o : e.getValue()) {
                if (departure != null
                        && o.what() == EventType.GOT
                        && o.earliestStartUs() > departure.us() + MAX_START_DELAY_US + TRANSIT_US) {
                    violations.add(new Violation(
                            rule(),
                            o.us(),
                            e.getKey(),
                            "attempt to " + o.server() + " started " + (o.earliestStartUs() - departure.us()) / 1_000
                                    + " ms after its client was gone"));
                }
            }
        }
        for (Observation o : run.observationsOf(EventType.DISMISSED)) {
            if (o.number()
                    > MAX_UNFINISHED_MS + maxLatenessUs(lateness, o.sinceUs(), o.us()) / 1e3 + TRANSIT_US / 1e3) {
                violations.add(new Violation(
                        rule(),
                        o.us(),
                        null,
                        o.node() + " closed an unfinished request only after " + Math.round(o.number()) + " ms"));
            }
        }
        return violations;
    }

    /** Returns the maximum lateness of the laboratory's event loop in the interval. It is reported once a second for the second before. */
    private static long maxLatenessUs(List<Observation> lateness, long fromUs, long toUs) {
        return Math.round(lateness.stream()
                        .filter(o -> o.us() >= fromUs && o.us() <= toUs + LATENESS_REPORT_DELAY_US)
                        .mapToDouble(Observation::number)
                        .max()
                        .orElse(0)
                * 1e3);
    }
}

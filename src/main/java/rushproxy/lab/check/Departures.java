package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * Nothing is begun for a client that has gone, as it wished or since its time was over, and one that stops within a request is shown an
 * end. What the laboratory was late by with seeing that end is not the sidecar's; when an attempt began the kernel tells.
 */
final class Departures implements Checker {
    /** An attempt may begin this long after its client's end. */
    private static final long ALLOWED_US = 100_000;
    /** The way over the network and the sockets. */
    private static final long WAY_US = 100_000;

    private static final double DISMISSED_MS = 3_000;
    /** With some room, since the laboratory that is late tells that late too. */
    private static final long TOLD_EVERY_US = 1_500_000;

    @Override
    public String rule() {
        return "lost";
    }

    @Override
    public List<Violation> check(Run run) {
        List<Observation> late = run.of(EventType.LATE);
        List<Violation> found = new ArrayList<>();
        for (Map.Entry<String, List<Observation>> e : run.byId().entrySet()) {
            Observation left = e.getValue().stream()
                    .filter(o -> o.what() == EventType.LEFT || o.what() == EventType.GAVE_UP)
                    .findFirst()
                    .orElse(null);
            for (Observation o : e.getValue()) {
                if (left != null
                        && o.what() == EventType.GOT
                        && o.earliestStartUs() > left.us() + ALLOWED_US + WAY_US) {
                    found.add(new Violation(
                            rule(),
                            o.us(),
                            e.getKey(),
                            "came to " + o.server() + " " + (o.earliestStartUs() - left.us()) / 1_000
                                    + " ms after its client had gone"));
                }
            }
        }
        for (Observation o : run.of(EventType.DISMISSED)) {
            if (o.number() > DISMISSED_MS + lateUs(late, o.sinceUs(), o.us()) / 1e3 + WAY_US / 1e3) {
                found.add(new Violation(
                        rule(),
                        o.us(),
                        null,
                        o.node() + " kept a client that stopped within a request for " + Math.round(o.number())
                                + " ms"));
            }
        }
        return found;
    }

    /** The most that the laboratory's loop was late by between the two; it tells once a second of the second before. */
    private static long lateUs(List<Observation> late, long fromUs, long toUs) {
        return Math.round(late.stream()
                        .filter(o -> o.us() >= fromUs && o.us() <= toUs + TOLD_EVERY_US)
                        .mapToDouble(Observation::number)
                        .max()
                        .orElse(0)
                * 1e3);
    }
}

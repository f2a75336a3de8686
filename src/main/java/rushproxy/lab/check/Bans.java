package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** When each node must send each server nothing new. */
final class Bans {
    private final Map<String, Periods> byPair = new HashMap<>();

    private static String pair(String node, String server) {
        return node + " " + server;
    }

    Periods of(String node, String server) {
        return byPair.computeIfAbsent(pair(node, server), p -> new Periods());
    }

    /** The node is sent to none that it was banned from, as far as it knows. */
    void endAll(String node, long us) {
        byPair.forEach((pair, periods) -> {
            if (pair.startsWith(node + " ")) {
                periods.end(us);
            }
        });
    }

    /**
     * What was sent later than the grace after the begin of a ban, by its first byte, whenever within its bounds that came; {@code why}
     * tells of the begin.
     */
    List<Violation> broken(Run run, String rule, String why) {
        long graceUs =
                run.scenario().rules().drainGraceUs() + run.scenario().rules().slackUs();
        List<Violation> found = new ArrayList<>();
        for (Observation got : run.of(EventType.GOT)) {
            Periods bans = of(got.node(), got.server());
            Long since = bans.beginOf(got.earliestStartUs());
            if (since != null && bans.cover(since, got.sinceUs()) && got.earliestStartUs() > since + graceUs) {
                found.add(new Violation(
                        rule,
                        got.us(),
                        got.id(),
                        "sent by " + got.node() + " to " + got.server() + " " + (got.earliestStartUs() - since) / 1_000
                                + " ms after " + why));
            }
        }
        return found;
    }
}

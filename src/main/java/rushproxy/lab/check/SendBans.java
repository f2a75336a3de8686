package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.What;

/** When each node must send each server nothing new. */
final class SendBans {
    private final Map<String, Intervals> byPair = new HashMap<>();

    private static String pair(String node, String server) {
        return node + " " + server;
    }

    Intervals between(String node, String server) {
        return byPair.computeIfAbsent(pair(node, server), p -> new Intervals());
    }

    /** The node is sent to none that it was banned from, as far as it knows. */
    void endAllOf(String node, long us) {
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
    List<Violation> violations(RecordedRun run, String rule, String why) {
        long graceUs =
                run.scenario().rules().drainGraceUs() + run.scenario().rules().slackUs();
        List<Violation> found = new ArrayList<>();
        for (Observation got : run.observationsOf(What.GOT)) {
            Intervals bans = between(got.node(), got.server());
            Long since = bans.startOfIntervalAt(got.beganEarliestUs());
            if (since != null && bans.covers(since, got.sinceUs()) && got.beganEarliestUs() > since + graceUs) {
                found.add(new Violation(
                        rule,
                        got.us(),
                        got.id(),
                        "sent by " + got.node() + " to " + got.server() + " " + (got.beganEarliestUs() - since) / 1_000
                                + " ms after " + why));
            }
        }
        return found;
    }
}

package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** The intervals in which a node must not start new attempts to a server, for each pair of node and server. */
final class SendBans {
    private final Map<String, Intervals> byNodeAndServer = new HashMap<>();

    private static String key(String node, String server) {
        return node + " " + server;
    }

    Intervals between(String node, String server) {
        return byNodeAndServer.computeIfAbsent(key(node, server), p -> new Intervals());
    }

    /** Ends all bans of the node. */
    void endAllOf(String node, long us) {
        byNodeAndServer.forEach((key, intervals) -> {
            if (key.startsWith(node + " ")) {
                intervals.end(us);
            }
        });
    }

    /**
     * Returns a violation for each request that was sent during a ban and more than the grace period after its start. The time at which
     * a request's first byte was sent is known only within bounds: the whole range must lie in the ban, and the grace period is compared
     * with the earliest time. {@code reason} describes the event that started the ban.
     */
    List<Violation> violations(RecordedRun run, String rule, String reason) {
        long graceUs =
                run.scenario().rules().drainGraceUs() + run.scenario().rules().slackUs();
        List<Violation> violations = new ArrayList<>();
        for (Observation got : run.observationsOf(EventType.GOT)) {
            Intervals bans = between(got.node(), got.server());
            Long bannedSinceUs = bans.startOfIntervalAt(got.earliestStartUs());
            if (bannedSinceUs != null
                    && bans.covers(bannedSinceUs, got.sinceUs())
                    && got.earliestStartUs() > bannedSinceUs + graceUs) {
                violations.add(new Violation(
                        rule,
                        got.us(),
                        got.id(),
                        "sent by " + got.node() + " to " + got.server() + ", "
                                + (got.earliestStartUs() - bannedSinceUs) / 1_000 + " ms after " + reason));
            }
        }
        return violations;
    }
}

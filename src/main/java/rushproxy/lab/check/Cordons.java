package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.What;

/**
 * Nothing new goes to a server that operators have called out. The ban begins with the grace after the sidecar's yes, or after the time
 * in which one is due, and ends when the call back is sent: the sidecar may obey that before its answer is noted.
 */
final class Cordons implements Checker {
    /** A call is owed its answer within this. */
    private static final long ANSWER_DUE_US = 1_000_000;

    @Override
    public String rule() {
        return "cordons";
    }

    @Override
    public List<Violation> check(Run run) {
        long graceUs =
                run.scenario().rules().drainGraceUs() + run.scenario().rules().slackUs();
        Map<String, Periods> out = out(run);
        List<Violation> found = new ArrayList<>();
        for (Observation got : run.of(What.GOT)) {
            Periods bans = out.get(pair(got.node(), got.server()));
            Long since = bans == null ? null : bans.beginOf(got.sinceUs());
            if (since != null && got.sinceUs() > since + graceUs) {
                found.add(new Violation(
                        rule(),
                        got.us(),
                        got.id(),
                        "sent by " + got.node() + " to " + got.server() + " " + (got.sinceUs() - since) / 1_000
                                + " ms after it was called out"));
            }
        }
        return found;
    }

    /** When each server was out at each node. */
    private static Map<String, Periods> out(Run run) {
        Map<String, Periods> out = new HashMap<>();
        for (Observation call : run.of(What.CALLED)) {
            String[] words = call.text().split(" ");
            boolean yes = call.text().contains(" -> ACK");
            boolean answered = yes || call.text().contains(" -> NAK");
            if (words[0].equals("cordon") && (yes || !answered)) {
                long since = Math.min(call.us(), call.sinceUs() + ANSWER_DUE_US);
                out.computeIfAbsent(pair(call.node(), words[1]), p -> new Periods())
                        .begin(since);
            } else if (words[0].equals("uncordon") && (yes || !answered)) {
                out.computeIfAbsent(pair(call.node(), words[1]), p -> new Periods())
                        .end(call.sinceUs());
            }
        }
        return out;
    }

    private static String pair(String node, String server) {
        return node + " " + server;
    }
}

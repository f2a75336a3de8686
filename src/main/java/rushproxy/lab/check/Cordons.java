package rushproxy.lab.check;

import java.util.List;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

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
        Bans bans = new Bans();
        for (Observation call : run.of(EventType.CALLED)) {
            String[] words = call.text().split(" ");
            // One that got no answer may have been obeyed.
            boolean refused = call.text().contains(" -> NAK");
            if (words[0].equals("cordon") && !refused) {
                bans.of(call.node(), words[1]).begin(Math.min(call.us(), call.sinceUs() + ANSWER_DUE_US));
            } else if (words[0].equals("uncordon") && !refused) {
                bans.of(call.node(), words[1]).end(call.sinceUs());
            }
        }
        return bans.broken(run, rule(), "it was called out");
    }
}

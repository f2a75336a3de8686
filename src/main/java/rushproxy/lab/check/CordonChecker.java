package rushproxy.lab.check;

import java.util.List;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * A sidecar must not start attempts to a server that an operator has cordoned. The ban begins when the sidecar acknowledges the cordon, or
 * when its reply is overdue, and a grace period applies from then on. It ends when the uncordon is sent, since the sidecar may act on that
 * before its reply is recorded.
 */
final class CordonChecker implements Checker {
    /** A sidecar must reply to an admin call within this time. */
    private static final long REPLY_TIMEOUT_US = 1_000_000;

    @Override
    public String rule() {
        return "cordons";
    }

    @Override
    public List<Violation> check(RecordedRun run) {
        SendBans bans = new SendBans();
        for (Observation call : run.observationsOf(EventType.CALLED)) {
            String[] words = call.text().split(" ");
            // The sidecar may have carried out a call that got no reply.
            boolean refused = call.text().contains(" -> NAK");
            if (words[0].equals("cordon") && !refused) {
                bans.between(call.node(), words[1]).begin(Math.min(call.us(), call.sinceUs() + REPLY_TIMEOUT_US));
            } else if (words[0].equals("uncordon") && !refused) {
                bans.between(call.node(), words[1]).end(call.sinceUs());
            }
        }
        return bans.violations(run, rule(), "the server was cordoned");
    }
}

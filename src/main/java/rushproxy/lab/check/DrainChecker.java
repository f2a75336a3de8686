package rushproxy.lab.check;

import java.util.List;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** A sidecar must not start attempts to a server once the grace period has passed since discovery informed it that the server drains or is gone. */
final class DrainChecker implements Checker {
    @Override
    public String rule() {
        return "drains";
    }

    @Override
    public List<Violation> check(RecordedRun run) {
        SendBans bans = new SendBans();
        for (Observation o : run.observations()) {
            if (o.what() == EventType.TOLD && o.text().equals("Ready")) {
                bans.between(o.node(), o.server()).end(o.earliestStartUs() == 0 ? o.us() : o.earliestStartUs());
            } else if (o.what() == EventType.TOLD) {
                bans.between(o.node(), o.server()).begin(o.us());
            } else if (o.what() == EventType.NODE && o.text().equals("started")) {
                // A new process starts without knowledge of earlier discovery updates.
                bans.endAllOf(o.node(), o.us());
            }
        }
        return bans.violations(run, rule(), "discovery reported that the server drains or is gone");
    }
}

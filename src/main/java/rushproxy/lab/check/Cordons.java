package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.What;

/** Nothing new goes to a server that operators have called out and not back, from the grace after the yes on. */
final class Cordons implements Checker {
    @Override
    public String rule() {
        return "cordons";
    }

    @Override
    public List<Violation> check(Run run) {
        long graceUs = run.scenario().rules().drainGraceUs() + run.scenario().rules().slackUs();
        Map<String, Long> out = new HashMap<>();
        List<Violation> found = new ArrayList<>();
        for (Observation o : run.all()) {
            if (o.what() == What.CALLED && o.text().matches("(un)?cordon \\S+ -> ACK.*")) {
                String[] words = o.text().split(" ");
                if (words[0].equals("cordon")) {
                    out.putIfAbsent(o.node() + " " + words[1], o.us());
                } else {
                    out.remove(o.node() + " " + words[1]);
                }
            }
            Long since = out.get(o.node() + " " + o.server());
            if (o.what() == What.GOT && since != null && o.sinceUs() > since + graceUs) {
                found.add(new Violation(rule(), o.us(), o.id(), "sent by " + o.node() + " to " + o.server() + " "
                        + (o.sinceUs() - since) / 1_000 + " ms after it was called out"));
            }
        }
        return found;
    }
}

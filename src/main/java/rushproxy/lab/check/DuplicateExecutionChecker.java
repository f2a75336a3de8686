package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioReader;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * A request that an upstream may have executed is resent only as far as its class allows: a safe one without limit, a keyed one within the
 * group and time window of the first attempt that may have run, an unsafe one never. It must not be refused either, because a
 * refusal tells the client that it may send the request again.
 */
final class DuplicateExecutionChecker implements Checker {
    private static final long WINDOW_SLACK_US = 50_000;

    @Override
    public String rule() {
        return "twice";
    }

    @Override
    public List<Violation> check(RecordedRun run) {
        List<String> zones = ScenarioReader.serverZones(run.scenario());
        List<Integer> cells = cells(run.scenario());
        List<Violation> violations = new ArrayList<>();
        for (Map.Entry<String, List<Observation>> e : run.byRequestId().entrySet()) {
            Observation sent = e.getValue().stream()
                    .filter(o -> o.what() == EventType.ASKED)
                    .findFirst()
                    .orElse(null);
            Scenario.RequestClass spec = sent == null ? null : run.requestClass(sent.text());
            if (spec == null || spec.semantics().equals("safe")) {
                continue;
            }
            // An upstream rejects a request immediately, so a rejection is the next observation at that upstream.
            Observation mayHaveRun = null;
            List<Observation> all = e.getValue();
            for (int i = 0; i < all.size(); i++) {
                Observation o = all.get(i);
                if (o.what() == EventType.GOT) {
                    if (mayHaveRun != null && !isRepeatAllowed(spec, mayHaveRun, o, zones, cells)) {
                        violations.add(new Violation(
                                rule(),
                                o.us(),
                                e.getKey(),
                                spec.semantics() + " request sent to " + o.server() + " although it may have run at "
                                        + mayHaveRun.server()));
                    }
                    if (mayHaveRun == null && !wasRejected(all, i)) {
                        mayHaveRun = o;
                    }
                }
                boolean refusal = o.what() == EventType.ANSWERED
                        && (o.text().startsWith("503") || o.text().startsWith("429"));
                if (refusal
                        && mayHaveRun != null
                        && (spec.semantics().equals("unsafe") || !spec.group().equals("all"))) {
                    violations.add(new Violation(
                            rule(),
                            o.us(),
                            e.getKey(),
                            spec.semantics() + " request refused although it may have run at " + mayHaveRun.server()));
                }
            }
        }
        return violations;
    }

    private static boolean wasRejected(List<Observation> all, int index) {
        for (Observation o : all.subList(index + 1, all.size())) {
            if (o.server() != null && o.server().equals(all.get(index).server())) {
                return o.what() == EventType.TURNED_AWAY;
            }
        }
        return false;
    }

    /** Measures the window from the first attempt to the earliest time at which the repeat can have been sent, with the slack of the specification. */
    private static boolean isRepeatAllowed(
            Scenario.RequestClass spec,
            Observation mayHaveRun,
            Observation next,
            List<String> zones,
            List<Integer> cells) {
        if (spec.semantics().equals("unsafe")) {
            return false;
        }
        int a = Integer.parseInt(mayHaveRun.server().substring(1));
        int b = Integer.parseInt(next.server().substring(1));
        boolean inSameGroup = switch (spec.group()) {
            case "zone" -> zones.get(a).equals(zones.get(b));
            case "cell" -> cells.get(a).equals(cells.get(b));
            default -> true;
        };
        return inSameGroup && next.earliestStartUs() - mayHaveRun.sinceUs() <= spec.windowUs() + WINDOW_SLACK_US;
    }

    /** Returns the pod number of each server, numbered consecutively over all server groups. */
    private static List<Integer> cells(Scenario scenario) {
        List<Integer> cells = new ArrayList<>();
        int first = 0;
        for (Scenario.ServerGroup s : scenario.servers()) {
            for (int i = 0; i < s.count(); i++) {
                cells.add(first + i % s.pods());
            }
            first += s.pods();
        }
        return cells;
    }
}

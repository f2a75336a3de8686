package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioReader;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/**
 * Nothing that may have run is sent again unless its class allows: a safe one as often as one likes, a keyed one within
 * its group and window of the first that may have run, an unsafe one never. Nor is it refused, which would tell its client
 * that it may be sent again.
 */
final class RunsOnce implements Checker {
    private static final long SLACK_US = 50_000;

    @Override
    public String rule() {
        return "twice";
    }

    @Override
    public List<Violation> check(Run run) {
        List<String> zones = ScenarioReader.serverZones(run.scenario());
        List<Integer> cells = cells(run.scenario());
        List<Violation> found = new ArrayList<>();
        for (Map.Entry<String, List<Observation>> e : run.byId().entrySet()) {
            Observation ask = e.getValue().stream()
                    .filter(o -> o.what() == EventType.ASKED)
                    .findFirst()
                    .orElse(null);
            Scenario.RequestClass spec = ask == null ? null : run.requestClass(ask.text());
            if (spec == null || spec.semantics().equals("safe")) {
                continue;
            }
            // An upstream that turns a request away does so at once: its word is the next one that was seen there.
            Observation ran = null;
            List<Observation> all = e.getValue();
            for (int i = 0; i < all.size(); i++) {
                Observation o = all.get(i);
                if (o.what() == EventType.GOT) {
                    if (ran != null && !mayFollow(spec, ran, o, zones, cells)) {
                        found.add(new Violation(
                                rule(),
                                o.us(),
                                e.getKey(),
                                spec.semantics() + " request sent to " + o.server() + " though it may have run at "
                                        + ran.server()));
                    }
                    if (ran == null && !turnedAway(all, i)) {
                        ran = o;
                    }
                }
                boolean refusal = o.what() == EventType.ANSWERED
                        && (o.text().startsWith("503") || o.text().startsWith("429"));
                if (refusal
                        && ran != null
                        && (spec.semantics().equals("unsafe") || !spec.group().equals("all"))) {
                    found.add(new Violation(
                            rule(),
                            o.us(),
                            e.getKey(),
                            spec.semantics() + " request refused though it may have run at " + ran.server()));
                }
            }
        }
        return found;
    }

    private static boolean turnedAway(List<Observation> all, int got) {
        for (Observation o : all.subList(got + 1, all.size())) {
            if (o.server() != null && o.server().equals(all.get(got).server())) {
                return o.what() == EventType.TURNED_AWAY;
            }
        }
        return false;
    }

    /** The window runs from the first send; its slack is the page's, and the earliest that a repeat can have been sent counts. */
    private static boolean mayFollow(
            Scenario.RequestClass spec, Observation ran, Observation next, List<String> zones, List<Integer> cells) {
        if (spec.semantics().equals("unsafe")) {
            return false;
        }
        int a = Integer.parseInt(ran.server().substring(1));
        int b = Integer.parseInt(next.server().substring(1));
        boolean together = switch (spec.group()) {
            case "zone" -> zones.get(a).equals(zones.get(b));
            case "cell" -> cells.get(a).equals(cells.get(b));
            default -> true;
        };
        return together && next.earliestStartUs() - ran.sinceUs() <= spec.windowUs() + SLACK_US;
    }

    /** The pod of each server, numbered through all groups. */
    private static List<Integer> cells(Scenario scenario) {
        List<Integer> cells = new ArrayList<>();
        int first = 0;
        for (Scenario.Servers s : scenario.servers()) {
            for (int i = 0; i < s.count(); i++) {
                cells.add(first + i % s.pods());
            }
            first += s.pods();
        }
        return cells;
    }
}

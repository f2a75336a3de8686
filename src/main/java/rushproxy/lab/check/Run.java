package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** What was seen in a run, in order, and the scenario that it was a run of: all that a checker may know. */
public final class Run {
    private final Scenario scenario;
    private final List<Observation> all;
    private final Map<String, List<Observation>> byId = new HashMap<>();

    public Run(Scenario scenario, List<Observation> all) {
        this.scenario = scenario;
        this.all = all;
        for (Observation o : all) {
            if (o.id() != null) {
                byId.computeIfAbsent(o.id(), i -> new ArrayList<>(6)).add(o);
            }
        }
    }

    public Scenario scenario() {
        return scenario;
    }

    public List<Observation> all() {
        return all;
    }

    /** Of each request that a client sent or an upstream got, by its id, what was seen of it. */
    public Map<String, List<Observation>> byId() {
        return byId;
    }

    public List<Observation> of(EventType what) {
        return all.stream().filter(o -> o.what() == what).toList();
    }

    /** The class of the name that an {@code ASKED} carries; null for a name that no class has. */
    public Scenario.RequestClass requestClass(String name) {
        return scenario.classes().stream()
                .filter(c -> c.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** What was seen of the request, a line each. */
    public String history(String id) {
        StringBuilder text = new StringBuilder();
        for (Observation o : byId.getOrDefault(id, List.of())) {
            text.append(String.format(java.util.Locale.ROOT, "    %10.3f s  %-11s", o.us() / 1e6, o.what()));
            for (String part : new String[] {o.node(), o.server(), o.text()}) {
                if (part != null) {
                    text.append(' ').append(part);
                }
            }
            if (o.number() != 0) {
                text.append(String.format(java.util.Locale.ROOT, " %.3f", o.number()));
            }
            text.append('\n');
        }
        return text.toString();
    }
}

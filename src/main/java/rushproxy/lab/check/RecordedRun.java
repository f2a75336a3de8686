package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** The observations of a run in chronological order, and its scenario: the only input of the checkers. */
public final class RecordedRun {
    private final Scenario scenario;
    private final List<Observation> observations;
    private final Map<String, List<Observation>> byRequestId = new HashMap<>();

    public RecordedRun(Scenario scenario, List<Observation> observations) {
        this.scenario = scenario;
        this.observations = observations;
        for (Observation o : observations) {
            if (o.id() != null) {
                byRequestId.computeIfAbsent(o.id(), i -> new ArrayList<>(6)).add(o);
            }
        }
    }

    public Scenario scenario() {
        return scenario;
    }

    public List<Observation> observations() {
        return observations;
    }

    /** Returns the observations of each request that a client sent or an upstream received, by request id. */
    public Map<String, List<Observation>> byRequestId() {
        return byRequestId;
    }

    public List<Observation> observationsOf(EventType what) {
        return observations.stream().filter(o -> o.what() == what).toList();
    }

    /** Returns the request class of this name, as {@code ASKED} observations carry it; null if there is none. */
    public Scenario.RequestClass requestClass(String name) {
        return scenario.classes().stream()
                .filter(c -> c.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Formats the observations of a request, one per line. */
    public String history(String id) {
        StringBuilder text = new StringBuilder();
        for (Observation o : byRequestId.getOrDefault(id, List.of())) {
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

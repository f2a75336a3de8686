package rushproxy.lab.check;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.world.Observation;

/**
 * No server that has just started is sent more than the multiple of what it can do at that moment for the stated time by
 * all sidecars together, where two thirds of it come from sidecars that were told of its start.
 */
final class ColdBudget implements Checker {
    /** Costs are drawn: so much over the budget is chance. */
    private static final double CHANCE = 1.1;

    private static final double INFORMED = 2.0 / 3;

    /** Work that a server was sent, and the part of it whose sender had been told of the start when it sent the first byte, for sure. */
    private record Sent(long us, double work, double informed) {}

    /** A server that has just started, and what it was sent in the last window. */
    private static final class Cold {
        private final long startedUs;
        private final double startedMs;
        /** By node, when it was told of the start. */
        private final Map<String, Long> toldUs = new HashMap<>();

        private final ArrayDeque<Sent> window = new ArrayDeque<>();
        private double work;
        private double informed;

        Cold(long startedUs, double startedMs) {
            this.startedUs = startedUs;
            this.startedMs = startedMs;
        }

        void add(Observation got, long fallUs) {
            Long told = toldUs.get(got.node());
            Sent sent =
                    new Sent(got.us(), got.number(), told != null && got.earliestStartUs() >= told ? got.number() : 0);
            window.add(sent);
            work += sent.work;
            informed += sent.informed;
            while (window.peek().us <= got.us() - fallUs) {
                Sent old = window.poll();
                work -= old.work;
                informed -= old.informed;
            }
        }
    }

    @Override
    public String rule() {
        return "cold";
    }

    @Override
    public List<Violation> check(Run run) {
        Scenario.Rules rules = run.scenario().rules();
        List<Scenario.Servers> specs = new ArrayList<>();
        run.scenario().servers().forEach(s -> {
            for (int i = 0; i < s.count(); i++) {
                specs.add(s);
            }
        });
        Map<String, Cold> cold = new HashMap<>();
        List<Violation> found = new ArrayList<>();
        for (Observation o : run.all()) {
            Cold c = o.server() == null ? null : cold.get(o.server());
            switch (o.what()) {
                case SERVER_STARTED -> {
                    if (o.text().equals("cold")) {
                        cold.put(o.server(), new Cold(o.us(), o.number()));
                    }
                }
                case SERVER_ENDED -> {
                    if (c != null && o.text().contains("pushed over") && c.informed >= INFORMED * c.work) {
                        found.add(new Violation(
                                rule(),
                                o.us(),
                                null,
                                o.server() + " was pushed over " + (o.us() - c.startedUs) / 1_000
                                        + " ms after its start"));
                    }
                    cold.remove(o.server());
                }
                case TOLD -> {
                    if (c != null && o.text().equals("Ready") && o.number() == c.startedMs) {
                        c.toldUs.putIfAbsent(o.node(), o.us());
                    }
                }
                case GOT -> {
                    long age = c == null ? rules.rampUs() : o.us() - c.startedUs;
                    if (age < rules.rampUs()) {
                        c.add(o, rules.fallUs());
                        Scenario.Servers spec =
                                specs.get(Integer.parseInt(o.server().substring(1)));
                        double warmth = rules.coldShare() + (1 - rules.coldShare()) * age / rules.rampUs();
                        double budget =
                                rules.fallMultiple() * spec.cores() * spec.speed() * warmth * rules.fallUs() / 1e3;
                        if (c.work > CHANCE * budget && c.informed >= INFORMED * c.work) {
                            found.add(new Violation(
                                    rule(),
                                    o.us(),
                                    o.id(),
                                    String.format(
                                            java.util.Locale.ROOT,
                                            "%s was sent %.0f ms of work in %.1f s, %.0f allowed, %d ms after its start",
                                            o.server(),
                                            c.work,
                                            rules.fallUs() / 1e6,
                                            budget,
                                            age / 1_000)));
                            cold.remove(o.server());
                        }
                    }
                }
                default -> {}
            }
        }
        return found;
    }
}

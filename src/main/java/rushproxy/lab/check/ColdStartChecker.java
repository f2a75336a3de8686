package rushproxy.lab.check;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.world.Observation;

/**
 * All sidecars together must not send a server that has just started more work than {@code fallMultiple} times its current capacity over
 * a window of {@code fallUs}. This counts only if at least two thirds of the work come from sidecars that discovery had informed of the start.
 */
final class ColdStartChecker implements Checker {
    /** The cost of each request is drawn at random, so the budget may be exceeded by this factor. */
    private static final double COST_TOLERANCE = 1.1;

    /** A budget exceeded mostly by sidecars that did not know of the start is not a violation. */
    private static final double MIN_INFORMED_SHARE = 2.0 / 3;

    /** Work sent to a server, and the part whose sender certainly knew of the start when it sent the first byte. */
    private record SentWork(long us, double workMs, double informedWorkMs) {}

    /** A server that is warming up, and the work sent to it in the last window. */
    private static final class ColdServer {
        private final long startedUs;
        private final double startedMs;
        /** By node, the time at which discovery informed it of the start. */
        private final Map<String, Long> informedAtUs = new HashMap<>();

        private final ArrayDeque<SentWork> window = new ArrayDeque<>();
        private double workMs;
        private double informedWorkMs;

        ColdServer(long startedUs, double startedMs) {
            this.startedUs = startedUs;
            this.startedMs = startedMs;
        }

        void recordReceived(Observation got, long fallUs) {
            Long informedAt = informedAtUs.get(got.node());
            SentWork sent = new SentWork(
                    got.us(),
                    got.number(),
                    informedAt != null && got.earliestStartUs() >= informedAt ? got.number() : 0);
            window.add(sent);
            workMs += sent.workMs;
            informedWorkMs += sent.informedWorkMs;
            while (window.peek().us <= got.us() - fallUs) {
                SentWork expired = window.poll();
                workMs -= expired.workMs;
                informedWorkMs -= expired.informedWorkMs;
            }
        }
    }

    @Override
    public String rule() {
        return "cold";
    }

    @Override
    public List<Violation> check(RecordedRun run) {
        Scenario.Rules rules = run.scenario().rules();
        List<Scenario.ServerGroup> groupByServer = new ArrayList<>();
        run.scenario().servers().forEach(s -> {
            for (int i = 0; i < s.count(); i++) {
                groupByServer.add(s);
            }
        });
        Map<String, ColdServer> coldServers = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (Observation o : run.observations()) {
            ColdServer server = o.server() == null ? null : coldServers.get(o.server());
            switch (o.what()) {
                case SERVER_STARTED -> {
                    if (o.text().equals("cold")) {
                        coldServers.put(o.server(), new ColdServer(o.us(), o.number()));
                    }
                }
                case SERVER_ENDED -> {
                    if (server != null
                            && o.text().contains("pushed over")
                            && server.informedWorkMs >= MIN_INFORMED_SHARE * server.workMs) {
                        violations.add(new Violation(
                                rule(),
                                o.us(),
                                null,
                                o.server() + " crashed from overload " + (o.us() - server.startedUs) / 1_000
                                        + " ms after its start"));
                    }
                    coldServers.remove(o.server());
                }
                case TOLD -> {
                    if (server != null && o.text().equals("Ready") && o.number() == server.startedMs) {
                        server.informedAtUs.putIfAbsent(o.node(), o.us());
                    }
                }
                case GOT -> {
                    long ageUs = server == null ? rules.rampUs() : o.us() - server.startedUs;
                    if (ageUs < rules.rampUs()) {
                        server.recordReceived(o, rules.fallUs());
                        Scenario.ServerGroup group =
                                groupByServer.get(Integer.parseInt(o.server().substring(1)));
                        double warmth = rules.coldShare() + (1 - rules.coldShare()) * ageUs / rules.rampUs();
                        double budgetMs =
                                rules.fallMultiple() * group.cores() * group.speed() * warmth * rules.fallUs() / 1e3;
                        if (server.workMs > COST_TOLERANCE * budgetMs
                                && server.informedWorkMs >= MIN_INFORMED_SHARE * server.workMs) {
                            violations.add(new Violation(
                                    rule(),
                                    o.us(),
                                    o.id(),
                                    String.format(
                                            java.util.Locale.ROOT,
                                            "%s was sent %.0f ms of work in %.1f s, %.0f allowed, %d ms after its start",
                                            o.server(),
                                            server.workMs,
                                            rules.fallUs() / 1e6,
                                            budgetMs,
                                            ageUs / 1_000)));
                            coldServers.remove(o.server());
                        }
                    }
                }
                default -> {}
            }
        }
        return violations;
    }
}

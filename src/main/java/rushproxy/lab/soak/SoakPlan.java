package rushproxy.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioException;
import rushproxy.lab.scenario.ScenarioReader;

/**
 * A deployment with overlapping faults, generated from a seed. Its text is a scenario file, which {@code lab run} can run again.
 *
 * @param head   the deployment, as the first part of the scenario file
 * @param faults one table of the scenario file per fault
 */
public record SoakPlan(long seed, String head, List<String> faults) {
    private static final double RATE_PER_NODE_PER_S = 8;
    private static final double FIRST_FAULT_S = 1;
    /** No fault begins in the last seconds of a run, so that the recovery from the last one is observed. */
    private static final double FAULT_FREE_END_S = 4;

    private static final double FAULTS_PER_S = 0.7;
    /** How long before and after a drain the replacement of its process begins, at most. */
    private static final double MAX_REPLACE_LEAD_S = 1;

    private static final double MAX_REPLACE_LAG_S = 3;
    private static final int MAX_FURTHER_CALLS = 3;
    /** Maximum number of sidecars affected by one fault. */
    private static final int MAX_AFFECTED_NODES = 3;

    /** Generates the plan of this seed for a number of sidecars and a length in seconds. */
    public static SoakPlan generate(long seed, int nodes, double lengthS) {
        return new Generator(seed, nodes, lengthS).plan();
    }

    /** Returns this plan without the fault at index {@code i}. */
    public SoakPlan without(int i) {
        List<String> rest = new ArrayList<>(faults);
        rest.remove(i);
        return new SoakPlan(seed, head, List.copyOf(rest));
    }

    /** Returns the plan as a scenario file. */
    public String toml() {
        return head + String.join("\n", faults);
    }

    /** Returns the plan as a scenario. */
    public Scenario scenario() throws ScenarioException {
        return ScenarioReader.parse("soak-" + seed, toml(), Map.of());
    }

    private static final class Generator {
        private final UniformRandomProvider random;
        private final long seed;
        private final int nodes;
        private final double lengthS;
        private final int servers;

        Generator(long seed, int nodes, double lengthS) {
            this.seed = seed;
            this.nodes = nodes;
            this.lengthS = lengthS;
            random = RandomSource.XO_SHI_RO_256_PP.create(seed * 0x9e3779b97f4a7c15L + 1);
            servers = 4 + random.nextInt(5);
        }

        SoakPlan plan() {
            String head = deployment();
            boolean allowReplace = random.nextInt(4) == 0;
            List<String> faults = new ArrayList<>();
            int count = (int) Math.max(6, (lengthS - FIRST_FAULT_S - FAULT_FREE_END_S) * FAULTS_PER_S);
            for (int i = 0; i < count; i++) {
                faults.add(fault(allowReplace));
            }
            // Drawn last, so that the other faults of a seed do not depend on it.
            if (random.nextBoolean()) {
                faults.addAll(drainAndReplacement());
            }
            return new SoakPlan(seed, head, List.copyOf(faults));
        }

        /** A drain and the replacement of the process, in either order, with more calls to either process beside them. */
        private List<String> drainAndReplacement() {
            String node = "nodes = [\"n" + random.nextInt(nodes) + "\"]\n";
            double drainS = between(FIRST_FAULT_S, FIRST_FAULT_S + 2);
            List<String> faults = new ArrayList<>();
            faults.add(faultAt(drainS) + "do = \"call\"\ncall = \"quiesce\"\n" + node);
            faults.add(faultAt(Math.max(FIRST_FAULT_S, drainS + between(-MAX_REPLACE_LEAD_S, MAX_REPLACE_LAG_S)))
                    + "do = \"replace\"\n" + node);
            for (int i = random.nextInt(MAX_FURTHER_CALLS + 1); i > 0; i--) {
                faults.add(faultAt(drainS + between(0, MAX_REPLACE_LAG_S)) + "do = \"" + pick("call", "call-previous")
                        + "\"\ncall = \"" + pick("quiesce", "resume") + "\"\n" + node);
            }
            if (random.nextBoolean()) {
                faults.add(faultAt(lengthS - FAULT_FREE_END_S) + "do = \"call\"\ncall = \"resume\"\n" + node);
            }
            return faults;
        }

        private static String faultAt(double atS) {
            return String.format(Locale.ROOT, "[[faults]]%nat_s = %.2f%n", atS);
        }

        private double between(double min, double max) {
            return min + (max - min) * random.nextDouble();
        }

        private String pick(String... words) {
            return words[random.nextInt(words.length)];
        }

        private String deployment() {
            return String.format(
                    Locale.ROOT,
                    """
                    name = "soak-%d"
                    length_s = %.1f
                    seed = %d
                    [fleet]
                    nodes = %d
                    zones = ["a", "b"]
                    sockets = 256
                    settings = ['settings.discovery="%s"', 'settings.limits.max_attempts=%d']
                    [[servers]]
                    count = %d
                    zones = ["a", "b"]
                    pods = 2
                    cores = 4
                    slots = 50
                    queue = 100
                    %s%s%s[traffic]
                    rate_per_s = %.0f
                    ramp_s = 1
                    retries = %d
                    try_share = 1
                    [rules]
                    fall_s = 1
                    [lateness]
                    most = 0.3
                    """,
                    seed,
                    lengthS,
                    seed,
                    nodes,
                    pick("pushed", "on_request"),
                    2 + random.nextInt(3),
                    servers,
                    requestClass("read", "safe"),
                    requestClass("book", "unsafe"),
                    requestClass("log", "keyed"),
                    RATE_PER_NODE_PER_S * nodes,
                    random.nextInt(3));
        }

        private String requestClass(String name, String semantics) {
            double deadlineMs = between(300, 3_000);
            return String.format(
                    Locale.ROOT,
                    """
                    [[classes]]
                    name = "%s"
                    work_ms = 4
                    semantics = "%s"
                    deadline_ms = %.0f
                    aim_ms = %.0f
                    group = "%s"
                    window_ms = %.0f
                    """,
                    name,
                    semantics,
                    deadlineMs,
                    deadlineMs * between(0.3, 0.8),
                    pick("all", "zone", "cell"),
                    between(200, 3_000));
        }

        private String affectedNodes() {
            StringBuilder names = new StringBuilder();
            int count = 1 + random.nextInt(Math.min(MAX_AFFECTED_NODES, Math.max(1, nodes / 3)));
            int first = random.nextInt(nodes);
            for (int i = 0; i < count; i++) {
                names.append(i == 0 ? "" : ", ")
                        .append("\"n")
                        .append((first + i) % nodes)
                        .append('"');
            }
            return "nodes = [" + names + "]\n";
        }

        private String affectedServer() {
            return "servers = \"s" + random.nextInt(servers) + "\"\n";
        }

        private String duration(double min, double max) {
            return String.format(Locale.ROOT, "for_s = %.2f%n", between(min, max));
        }

        private String fraction(double min, double max) {
            return String.format(Locale.ROOT, "part = %.2f%n", between(min, max));
        }

        private String fault(boolean allowReplace) {
            return faultAt(between(FIRST_FAULT_S, lengthS - FAULT_FREE_END_S))
                    + switch (random.nextInt(27)) {
                        case 0 -> "do = \"kill\"\n" + affectedNodes() + duration(0.3, 1.5);
                        case 1, 2 ->
                            "do = \"restart\"\n" + affectedNodes()
                                    + String.format(Locale.ROOT, "stagger_s = %.2f%n", between(0, 1));
                        case 3 -> "do = \"discovery-moves\"\n" + affectedNodes() + "stagger_s = 0.05\n";
                        case 4 ->
                            allowReplace
                                    ? "do = \"replace\"\n" + affectedNodes()
                                    : "do = \"discovery-moves\"\n" + affectedNodes() + "stagger_s = 0.05\n";
                        case 5, 6 -> "do = \"stall\"\n" + affectedNodes() + duration(0.05, 0.15);
                        case 7 ->
                            "do = \"cut\"\nfrom = \"nodes:a\"\nto = \"servers:b\"\none_way = " + random.nextBoolean()
                                    + "\n" + duration(0.5, 2);
                        case 8 ->
                            "do = \"reset\"\nfrom = \"nodes:" + pick("a", "b") + "\"\nto = \"servers:" + pick("a", "b")
                                    + "\"\n";
                        case 9 -> "do = \"hang\"\n" + affectedServer() + duration(1, 5);
                        case 10, 11 ->
                            "do = \"spoil\"\nhow = \"half\"\n" + affectedServer() + fraction(0.1, 0.6) + duration(2, 6);
                        case 12 ->
                            "do = \"spoil\"\nhow = \"" + pick("second", "reset", "bytewise", "close") + "\"\n"
                                    + affectedServer() + fraction(0.1, 0.6) + duration(2, 6);
                        case 13, 14 ->
                            "do = \"clients\"\nhow = \"" + pick("leave", "stop", "slow") + "\"\n" + fraction(0.05, 0.3)
                                    + duration(2, 6);
                        case 15 ->
                            random.nextBoolean()
                                    ? "do = \"list-silent\"\n" + affectedNodes() + duration(1, 4)
                                    : "do = \"list-late\"\n" + affectedNodes() + duration(1, 4) + "by_ms = 300\n";
                        case 16 -> "do = \"drain\"\n" + affectedServer() + duration(2, 4);
                        case 17 ->
                            "do = \"system\"\nhow = \"wall-clock\"\n" + affectedNodes() + "by = "
                                    + pick("3600000", "-3600000", "4000", "-4000") + "\n" + duration(2, 8);
                        case 18 ->
                            "do = \"system\"\nhow = \"calls\"\n" + affectedNodes()
                                    + String.format(Locale.ROOT, "by = %.2f%n", between(0.02, 0.1)) + duration(1, 5);
                        case 19, 20, 21 ->
                            "do = \"system\"\nhow = \"sockets\"\n" + affectedNodes()
                                    + String.format(Locale.ROOT, "by = %.2f%n", between(0.01, 0.08)) + duration(2, 8);
                        case 22 ->
                            "do = \"system\"\nhow = \"" + pick("established", "files") + "\"\n" + affectedNodes()
                                    + String.format(Locale.ROOT, "by = %.2f%n", between(0.02, 0.1)) + duration(2, 6);
                        case 23 ->
                            "do = \"restart-series\"\n" + affectedNodes()
                                    + String.format(Locale.ROOT, "stagger_s = %.2f%n", between(0, 1));
                        case 24 -> "do = \"reload-series\"\n" + affectedNodes() + "stagger_s = 0.05\n";
                        case 25 ->
                            "do = \"clients\"\nhow = \"" + pick("crowd", "slow-read", "churn", "churn") + "\"\n"
                                    + fraction(0.2, 0.6) + duration(2, 5);
                        default -> "do = \"crash\"\n" + affectedServer() + duration(0.5, 2);
                    };
        }
    }
}

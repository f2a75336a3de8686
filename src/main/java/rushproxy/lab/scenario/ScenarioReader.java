package rushproxy.lab.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Strict reader of scenarios in TOML. Any unknown or invalid entry is an error that names its position, so that no run starts. */
public final class ScenarioReader {
    /** Limited by the laboratory's loopback addresses; a run checks the machine's file descriptor limit itself before it starts. */
    private static final int MAX_NODES = 2_000;

    private static final int MAX_SERVERS = 2_000;
    private static final String RESOURCE_DIRECTORY = "/rushproxy/lab/scenarios/";
    /** Names of the bundled scenarios, in the order in which they are listed. */
    public static final List<String> BUNDLED_NAMES = List.of(
            "demo",
            "calm",
            "crash-cold-return",
            "zone-cut-one-way",
            "list-late",
            "mass-kill",
            "rolling-restart",
            "retry-storm",
            "fast-errors",
            "hand-over",
            "big-fleet");

    private static final Set<String> NODE_FAULTS = Set.of(
            "kill",
            "restart",
            "stall",
            "call",
            "call-previous",
            "replace",
            "jar",
            "start",
            "system",
            "restart-series",
            "reload-series");
    private static final Set<String> SERVER_FAULTS =
            Set.of("crash", "hang", "slow", "errors", "drain", "add", "refuse", "spoil");
    private static final Set<String> CLIENT_FAULTS = Set.of("clients");
    private static final Set<String> RESPONSE_FAULTS = Set.of("half", "second", "reset", "bytewise", "close");
    private static final Set<String> SYSTEM_FAULTS = Set.of("wall-clock", "calls", "files", "sockets", "established");
    private static final Set<String> CLIENT_MISBEHAVIOURS =
            Set.of("leave", "stop", "slow", "crowd", "slow-read", "churn");
    private static final Set<String> LINK_FAULTS = Set.of("cut", "delay", "peer-loss", "reset");
    private static final Set<String> DISCOVERY_FAULTS =
            Set.of("list-silent", "list-late", "discovery-moves", "list-splits");

    private final String file;

    private ScenarioReader(String file) {
        this.file = file;
    }

    /** Reads a file or a bundled scenario. {@code overrides} maps paths to TOML values that replace those of the scenario. */
    public static Scenario read(String nameOrFile, Map<String, String> overrides) throws ScenarioException {
        if (BUNDLED_NAMES.contains(nameOrFile)) {
            try (InputStream in = ScenarioReader.class.getResourceAsStream(RESOURCE_DIRECTORY + nameOrFile + ".toml")) {
                return parse(nameOrFile, new String(in.readAllBytes(), StandardCharsets.UTF_8), overrides);
            } catch (IOException e) {
                throw new ScenarioException(nameOrFile + ": cannot be read: " + e);
            }
        }
        try {
            return parse(nameOrFile, Files.readString(Path.of(nameOrFile)), overrides);
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new ScenarioException(nameOrFile + ": is neither a readable file nor one of " + BUNDLED_NAMES);
        }
    }

    public static Scenario parse(String file, String toml, Map<String, String> overrides) throws ScenarioException {
        TomlMapper mapper = new TomlMapper();
        try {
            JsonNode root = mapper.readTree(toml);
            for (Map.Entry<String, String> override : overrides.entrySet()) {
                applyOverride(file, mapper, root, override.getKey(), override.getValue());
            }
            return new ScenarioReader(file).scenario(new TomlTable(file, "", root));
        } catch (JsonProcessingException e) {
            String place =
                    e.getLocation() == null ? "" : ", line " + e.getLocation().getLineNr();
            throw new ScenarioException(file + place + ": invalid TOML: " + e.getOriginalMessage());
        }
    }

    /** Sets the value at a path such as {@code traffic.rate_per_s} or {@code servers.0.cores}, and adds missing tables. */
    private static void applyOverride(String file, TomlMapper mapper, JsonNode root, String path, String value)
            throws ScenarioException {
        try {
            JsonNode replacement = mapper.readTree("v = " + value).get("v");
            JsonNode parent = root;
            String[] steps = path.split("\\.");
            for (int i = 0; i < steps.length - 1; i++) {
                JsonNode next =
                        steps[i].matches("[0-9]+") ? parent.get(Integer.parseInt(steps[i])) : parent.get(steps[i]);
                if (next == null && parent instanceof com.fasterxml.jackson.databind.node.ObjectNode table) {
                    next = table.putObject(steps[i]);
                }
                if (next == null) {
                    throw new ScenarioException(file + ": " + path + ": '" + steps[i] + "' does not exist");
                }
                parent = next;
            }
            if (!(parent instanceof com.fasterxml.jackson.databind.node.ObjectNode table)) {
                throw new ScenarioException(file + ": " + path + ": is not inside a table");
            }
            table.set(steps[steps.length - 1], replacement);
        } catch (JsonProcessingException e) {
            throw new ScenarioException(
                    file + ": " + path + "=" + value + ": invalid TOML value (strings need quotes)");
        }
    }

    private Scenario scenario(TomlTable s) throws ScenarioException {
        String name = s.string("name");
        if (!name.matches("[a-z0-9-]{1,40}")) {
            throw s.error("name", "'" + name + "' must consist of 1 to 40 lower-case letters, digits and hyphens");
        }
        String about = s.string("about", "");
        long seed = (long) s.number("seed", 0, 1L << 52, 1);
        long lengthUs = toMicros(s.number("length_s", 1, 3600), 1e6);
        Scenario.Fleet fleet = fleet(s.table("fleet"));
        List<Scenario.ServerGroup> servers = new ArrayList<>();
        int count = 0;
        for (TomlTable one : s.tables("servers")) {
            servers.add(servers(one, fleet.zones()));
            count += servers.get(servers.size() - 1).count();
        }
        if (servers.isEmpty()) {
            throw s.error("servers", "is missing: write [[servers]]");
        }
        if (count > MAX_SERVERS) {
            throw s.error("servers", count + " servers in total exceed the maximum of " + MAX_SERVERS);
        }
        List<Scenario.RequestClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlTable one : s.tables("classes")) {
            classes.add(requestClass(one));
            if (!names.add(classes.get(classes.size() - 1).name())) {
                throw one.error("name", "is used by another class");
            }
        }
        if (classes.isEmpty()) {
            throw s.error("classes", "is missing: write [[classes]]");
        }
        Scenario.Traffic traffic = traffic(s.table("traffic"), lengthUs);
        Scenario.Network network = network(s.table("network"));
        TomlTable d = s.table("discovery");
        Scenario.Discovery discovery =
                new Scenario.Discovery(d.number("notice_ms", 0, 60_000, 300), d.number("spread_ms", 0, 60_000, 100));
        d.rejectUnknownKeys();
        TomlTable r = s.table("rules");
        Scenario.Rules rules = new Scenario.Rules(
                toMicros(r.number("drain_grace_ms", 0, 60_000, 500), 1e3),
                r.number("cold_share", 0.01, 1, 0.35),
                toMicros(r.number("ramp_s", 0, 600, 8.6), 1e6),
                r.number("fall_multiple", 1, 100, 3),
                toMicros(r.number("fall_s", 0.1, 60, 2), 1e6),
                toMicros(r.number("slack_ms", 0, 1000, 50), 1e3));
        r.rejectUnknownKeys();
        TomlTable l = s.table("lateness");
        Scenario.Lateness lateness =
                new Scenario.Lateness(toMicros(l.number("late_ms", 1, 10_000, 20), 1e3), l.number("most", 0, 1, 0.02));
        l.rejectUnknownKeys();
        Scenario withoutFaults = new Scenario(
                name, about, seed, lengthUs, fleet, servers, classes, traffic, network, discovery, rules, lateness,
                List.of(), List.of());
        Set<String> zones = new LinkedHashSet<>(withoutFaults.zoneNames());
        for (String zone : network.regions().keySet()) {
            if (!zones.contains(zone)) {
                throw s.table("network").table("regions").error(zone, "is not one of the zones " + zones);
            }
        }
        List<Scenario.Fault> faults = new ArrayList<>();
        for (TomlTable one : s.tables("faults")) {
            faults.add(fault(one, withoutFaults));
        }
        List<Scenario.Expectation> expectations = new ArrayList<>();
        for (TomlTable one : s.tables("expect")) {
            expectations.add(expectation(one, lengthUs));
        }
        s.rejectUnknownKeys();
        return new Scenario(
                name,
                about,
                seed,
                lengthUs,
                fleet,
                servers,
                classes,
                traffic,
                network,
                discovery,
                rules,
                lateness,
                List.copyOf(faults),
                List.copyOf(expectations));
    }

    private static long toMicros(double value, double perUnit) {
        return Math.round(value * perUnit);
    }

    private Scenario.Fleet fleet(TomlTable s) throws ScenarioException {
        int nodes = s.integer("nodes", 1, MAX_NODES);
        List<String> zones = s.strings("zones");
        Map<String, String> settings = new LinkedHashMap<>();
        for (String pair : s.strings("settings")) {
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                throw s.error("settings", "'" + pair + "' is not of the form path=value");
            }
            settings.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        Scenario.Fleet fleet = new Scenario.Fleet(
                nodes,
                zones.isEmpty() ? List.of("a") : zones,
                s.integer("memory_mb", 32, 4096, 144),
                s.integer("sockets", 256, 65_536, 576),
                s.number("cores", 0.05, 64, 1),
                s.string("jar", null),
                settings);
        s.rejectUnknownKeys();
        return fleet;
    }

    private Scenario.ServerGroup servers(TomlTable s, List<String> fleetZones) throws ScenarioException {
        List<String> zones = s.strings("zones");
        double cores = s.number("cores", 0.5, 256, 3);
        Scenario.ServerGroup servers = new Scenario.ServerGroup(
                s.integer("count", 1, MAX_SERVERS),
                s.string("kind", "std"),
                zones.isEmpty() ? fleetZones : zones,
                s.integer("pods", 1, 100, 1),
                cores,
                s.number("speed", 0.01, 100, 1),
                s.integer("slots", 1, 10_000, (int) Math.ceil(cores * 2)),
                s.integer("queue", 0, 100_000, 20),
                s.number("crowding", 0, 10, 0.1),
                s.number("warm_saving", 0, 0.95, 0),
                toMicros(s.number("warm_s", 0, 600, 5), 1e6),
                s.integer("warm_keys", 0, 1_000_000, 200),
                s.integer("connections", 1, 100_000, 1_000),
                s.number("handshake_ms", 0, 1_000, 1),
                s.oneOf("reports", Set.of("none", "inline", "on_probe"), "none"));
        s.rejectUnknownKeys();
        return servers;
    }

    private Scenario.RequestClass requestClass(TomlTable s) throws ScenarioException {
        long deadlineUs = toMicros(s.number("deadline_ms", 10, 600_000), 1e3);
        Scenario.RequestClass c = new Scenario.RequestClass(
                s.string("name"),
                s.number("share", 0, 1e6, 1),
                s.number("work_ms", 0.01, 60_000),
                s.number("work_spread", 0, 3, 0.4),
                toMicros(s.number("aim_ms", 1, 600_000, deadlineUs / 1e3), 1e3),
                deadlineUs,
                s.number("worth", 0, 1e6, 1),
                s.oneOf("semantics", Set.of("safe", "keyed", "unsafe"), "safe"),
                s.oneOf("group", Set.of("all", "zone", "cell"), "all"),
                toMicros(s.number("window_ms", 0, 600_000, 5_000), 1e3));
        if (!c.name().matches("[a-z0-9-]{1,40}")) {
            throw s.error("name", "'" + c.name() + "' must consist of 1 to 40 lower-case letters, digits and hyphens");
        }
        s.rejectUnknownKeys();
        return c;
    }

    private Scenario.Traffic traffic(TomlTable s, long lengthUs) throws ScenarioException {
        List<Scenario.Burst> bursts = new ArrayList<>();
        double rate = s.number("rate_per_s", 0.1, 100_000);
        long rampUs = toMicros(s.number("ramp_s", 0, 600, 0), 1e6);
        double skew = s.number("skew", 0, 3, 0);
        int keys = s.integer("keys", 1, 10_000_000, 1_000);
        double zipf = s.number("zipf", 0, 5, 1);
        int retries = s.integer("retries", 0, 20, 2);
        double tryShare = s.number("try_share", 0.05, 1, 0.55);
        long backoffUs = toMicros(s.number("backoff_ms", 0, 60_000, 50), 1e3);
        double honour = s.number("honour", 0, 1, 0.5);
        for (TomlTable one : s.tables("bursts")) {
            Scenario.Burst burst = new Scenario.Burst(
                    toMicros(one.number("at_s", 0, lengthUs / 1e6), 1e6),
                    toMicros(one.number("for_s", 0.01, 3600), 1e6),
                    one.number("factor", 0, 100));
            one.rejectUnknownKeys();
            bursts.add(burst);
        }
        s.rejectUnknownKeys();
        return new Scenario.Traffic(rate, rampUs, skew, keys, zipf, retries, tryShare, backoffUs, honour, bursts);
    }

    private Scenario.Network network(TomlTable s) throws ScenarioException {
        Map<String, String> regions = new HashMap<>();
        TomlTable table = s.table("regions");
        if (s.has("regions")) {
            for (String region : table.keys()) {
                for (String zone : table.strings(region)) {
                    if (regions.put(zone, region) != null) {
                        throw table.error(region, "zone '" + zone + "' belongs to two regions");
                    }
                }
            }
        }
        double same = s.number("same_ms", 0, 10_000, 0.2);
        double cross = s.number("cross_ms", 0, 10_000, 8);
        Scenario.Network network = new Scenario.Network(
                same,
                cross,
                s.number("region_ms", 0, 10_000, 4 * cross),
                s.number("jitter", 0, 1, 0.2),
                s.number("peer_loss", 0, 1, 0.01),
                s.number("peer_twice", 0, 1, 0),
                s.number("peer_late_ms", 0, 10_000, 2),
                regions);
        s.rejectUnknownKeys();
        return network;
    }

    private Scenario.Fault fault(TomlTable s, Scenario of) throws ScenarioException {
        Set<String> kinds = new HashSet<>(NODE_FAULTS);
        kinds.addAll(SERVER_FAULTS);
        kinds.addAll(LINK_FAULTS);
        kinds.addAll(DISCOVERY_FAULTS);
        kinds.addAll(CLIENT_FAULTS);
        String what = s.oneOf("do", kinds, "");
        long atUs = toMicros(s.number("at_s", 0, of.lengthUs() / 1e6), 1e6);
        long forUs = toMicros(s.number("for_s", 0, 3600, 0), 1e6);
        List<String> nodes = NODE_FAULTS.contains(what) || DISCOVERY_FAULTS.contains(what)
                ? selectNames(s, "nodes", of.nodeNames(), nodeZones(of), DISCOVERY_FAULTS.contains(what))
                : List.of();
        List<String> servers = SERVER_FAULTS.contains(what)
                ? selectNames(s, "servers", serverNames(of), serverZones(of), false)
                : List.of();
        List<String> from = List.of();
        List<String> to = List.of();
        boolean silent = true;
        if (LINK_FAULTS.contains(what)) {
            from = linkEndpoints(s, "from", of);
            to = linkEndpoints(s, "to", of);
            silent = s.bool("silent", true);
        }
        double factor = switch (what) {
            case "slow" -> s.number("factor", 1, 1_000);
            case "errors" -> s.number("part", 0, 1, 1);
            case "delay", "list-late" -> s.number("by_ms", 0, 600_000);
            case "peer-loss", "spoil", "clients" -> s.number("part", 0, 1);
            case "system" -> s.number("by", -1e9, 1e9);
            case "list-splits" -> s.number("part", 0, 1, 0.5);
            case "cut" -> s.bool("one_way", false) ? 1 : 2;
            default -> 0;
        };
        String call = switch (what) {
            case "call", "call-previous" -> s.string("call");
            case "spoil" -> s.oneOf("how", RESPONSE_FAULTS, "");
            case "system" -> s.oneOf("how", SYSTEM_FAULTS, "");
            case "clients" -> s.oneOf("how", CLIENT_MISBEHAVIOURS, "");
            default -> null;
        };
        String jar = what.equals("jar") ? s.string("jar") : null;
        double stagger = s.number("stagger_s", 0, 600, 0);
        boolean needsDuration = Set.of(
                        "hang",
                        "slow",
                        "errors",
                        "cut",
                        "delay",
                        "peer-loss",
                        "list-silent",
                        "list-late",
                        "stall",
                        "list-splits",
                        "refuse",
                        "spoil",
                        "clients",
                        "system")
                .contains(what);
        if (needsDuration && forUs == 0) {
            throw s.error("for_s", "is missing: '" + what + "' needs a duration");
        }
        s.rejectUnknownKeys();
        return new Scenario.Fault(atUs, what, nodes, servers, forUs, factor, from, to, silent, call, jar, stagger);
    }

    /** Resolves a selection: names, {@code zone:a}, {@code part:0.3} (the first names up to this fraction, which are spread over the zones) or {@code all}. */
    private static List<String> selectNames(
            TomlTable s, String key, List<String> names, List<String> zones, boolean selectAllByDefault)
            throws ScenarioException {
        List<String> selectors = s.strings(key);
        if (selectors.isEmpty()) {
            if (selectAllByDefault) {
                return names;
            }
            throw s.error(key, "is missing");
        }
        Set<String> selected = new LinkedHashSet<>();
        for (String one : selectors) {
            if (one.equals("all")) {
                selected.addAll(names);
            } else if (one.startsWith("zone:")) {
                String zone = one.substring(5);
                if (!zones.contains(zone)) {
                    throw s.error(key, "nothing to select in zone '" + zone + "'");
                }
                for (int i = 0; i < names.size(); i++) {
                    if (zones.get(i).equals(zone)) {
                        selected.add(names.get(i));
                    }
                }
            } else if (one.matches("part:(0(\\.[0-9]+)?|1(\\.0+)?)")) {
                selected.addAll(
                        names.subList(0, (int) Math.round(Double.parseDouble(one.substring(5)) * names.size())));
            } else if (names.contains(one)) {
                selected.add(one);
            } else {
                throw s.error(
                        key,
                        "unknown name '" + one + "'; valid names are " + names.get(0) + " to "
                                + names.get(names.size() - 1));
            }
        }
        return List.copyOf(selected);
    }

    /** Reads one end of a link: nodes, servers, {@code zone:a}, {@code nodes:a}, {@code servers:a}, {@code discovery} or {@code all}. */
    private static List<String> linkEndpoints(TomlTable s, String key, Scenario of) throws ScenarioException {
        List<String> selectors = s.strings(key);
        if (selectors.isEmpty()) {
            throw s.error(key, "is missing");
        }
        List<String> nodes = of.nodeNames();
        List<String> servers = serverNames(of);
        for (String one : selectors) {
            boolean isZone = one.matches("(zone|nodes|servers):.+")
                    && of.zoneNames().contains(one.substring(one.indexOf(':') + 1));
            if (!isZone
                    && !one.equals("all")
                    && !one.equals("discovery")
                    && !nodes.contains(one)
                    && !servers.contains(one)) {
                throw s.error(key, "unknown endpoint '" + one + "'");
            }
        }
        return selectors;
    }

    private static List<String> nodeZones(Scenario of) {
        return java.util.stream.IntStream.range(0, of.fleet().nodes())
                .mapToObj(of::zoneOfNode)
                .toList();
    }

    /** Returns the names {@code s0}, {@code s1} and so on, numbered over all groups in the order of the file. */
    public static List<String> serverNames(Scenario of) {
        int total = of.servers().stream().mapToInt(Scenario.ServerGroup::count).sum();
        return java.util.stream.IntStream.range(0, total).mapToObj(i -> "s" + i).toList();
    }

    /** Returns the zone of each server, in the order of {@link #serverNames}. */
    public static List<String> serverZones(Scenario of) {
        List<String> zones = new ArrayList<>();
        for (Scenario.ServerGroup g : of.servers()) {
            for (int i = 0; i < g.count(); i++) {
                zones.add(g.zones().get(i % g.zones().size()));
            }
        }
        return zones;
    }

    private static final Set<String> EXPECTED_FIGURES = Set.of(
            "served",
            "worth",
            "refused",
            "failed",
            "lost",
            "p50_ms",
            "p99_ms",
            "requests",
            "rules_broken",
            "runs_per_request");

    private Scenario.Expectation expectation(TomlTable s, long lengthUs) throws ScenarioException {
        double max = Double.MAX_VALUE;
        Scenario.Expectation e = new Scenario.Expectation(
                s.oneOf("figure", EXPECTED_FIGURES, ""),
                s.number("at_least", -max, max, -max),
                s.number("at_most", -max, max, max),
                toMicros(s.number("from_s", 0, lengthUs / 1e6, 0), 1e6),
                toMicros(s.number("to_s", 0, 36_000, lengthUs / 1e6), 1e6));
        s.rejectUnknownKeys();
        return e;
    }
}

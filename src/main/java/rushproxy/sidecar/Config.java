package rushproxy.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushproxy.Balancer.Settings;
import rushproxy.fleet.shared.FleetLimits;
import rushproxy.sidecar.operator.OperatorStateStore;
import rushproxy.wire.SettingsReader;
import rushproxy.wire.WireException;

/**
 * The configuration of a sidecar, read from a JSON file and from environment variables, which take precedence.
 *
 * @param adminAddress      null if there is no admin server
 * @param inheritsListener  whether file descriptor 0 is the listening socket for clients
 * @param stateDirectory    the directory for state that outlives the process; null if nothing is kept
 * @param peerListenAddress null if no messages from peers are received
 * @param allPeersAddress   reaches all peers with one datagram; null if there is no such address
 * @param fleet             the enabled parts of the fleet plane
 */
record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress adminAddress,
        boolean inheritsListener,
        Path stateDirectory,
        long seed,
        int maxSockets,
        int memoryMb,
        InetSocketAddress peerListenAddress,
        List<InetSocketAddress> peers,
        InetSocketAddress allPeersAddress,
        UpstreamList knownUpstreams,
        Settings settings,
        long dialTimeoutUs,
        FleetOptions fleet,
        Log.Options logOptions) {

    static final String DISCOVERY_VARIABLE = "BALANCER_DISCOVERY";

    /** {@code shared} requires {@code members}, and limits require both. */
    record FleetOptions(boolean members, boolean shared, List<FleetLimits.Limit> limits) {
        static final FleetOptions NONE = new FleetOptions(false, false, List.of());
    }

    /** Thrown for an invalid configuration. The message is a single line that names the field. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            super(message.replaceAll("\\s+", " "));
        }
    }

    static Config read(Map<String, String> environment) throws InvalidConfigException {
        String path = environment.get("BALANCER_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new InvalidConfigException("BALANCER_CONFIG is not set");
        }
        byte[] text;
        try {
            text = Files.readAllBytes(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            throw new InvalidConfigException("BALANCER_CONFIG can't be read: " + e);
        }
        try {
            return parse(Json.parse(text), environment);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException("configuration: " + e.getMessage());
        } catch (WireException e) {
            throw new InvalidConfigException("configuration, settings: " + e.getMessage());
        }
    }

    private static Config parse(Json json, Map<String, String> environment) {
        String name = environment.getOrDefault("BALANCER_NAME", json.textOr("name", "sidecar"));
        SettingsReader reader = new SettingsReader(json.object("settings").flatten());
        Settings settings = reader.read();
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String peer : json.textsOrEmpty("peers")) {
            peers.add(parseAddress("peers", peer));
        }
        Json limits = json.has("limits") ? json.object("limits") : null;
        int sockets = (int) (limits == null ? 1024 : limits.numberOr("sockets", 1024));
        int memoryMb = (int) (limits == null ? 192 : limits.numberOr("memory_mb", 192));
        InetSocketAddress adminAddress = adminAddress(json, environment);
        Path stateDirectory = stateDirectory(environment, name);
        return new Config(
                name,
                requiredAddress(json, environment, "listen", "BALANCER_LISTEN"),
                discovery(json, environment, adminAddress == null ? null : stateDirectory),
                adminAddress,
                inheritsListener(environment),
                stateDirectory,
                parseSeed(json.text("seed")),
                sockets,
                memoryMb,
                optionalAddress(json, "peer_listen"),
                peers,
                optionalAddress(json, "peers_all"),
                knownUpstreams(json),
                settings,
                reader.dialTimeoutUs(),
                fleetOptions(json, settings, peers),
                logOptions(json, environment, name));
    }

    /**
     * Reads the table {@code "log": {"form": "json", "level": "warn"}}. Without it the format is plain. A level from the
     * environment takes precedence, so that one process can be debugged without another configuration.
     */
    private static Log.Options logOptions(Json json, Map<String, String> environment, String name) {
        String level = environment.getOrDefault("BALANCER_LOG_LEVEL", "");
        if (!json.has("log")) {
            return new Log.Options(
                    Log.Format.PLAIN,
                    enumConstant("BALANCER_LOG_LEVEL", Log.Level.class, level.isEmpty() ? "info" : level),
                    name);
        }
        Json log = json.object("log");
        for (String key : log.names()) {
            if (!key.equals("form") && !key.equals("level")) {
                throw new IllegalArgumentException("'log." + key + "' is unknown");
            }
        }
        return new Log.Options(
                enumConstant("log.form", Log.Format.class, log.textOr("form", "plain")),
                level.isEmpty()
                        ? enumConstant("log.level", Log.Level.class, log.textOr("level", "info"))
                        : enumConstant("BALANCER_LOG_LEVEL", Log.Level.class, level),
                name);
    }

    private static <E extends Enum<E>> E enumConstant(String field, Class<E> type, String text) {
        for (E constant : type.getEnumConstants()) {
            if (constant.name().toLowerCase(java.util.Locale.ROOT).equals(text)) {
                return constant;
            }
        }
        throw new IllegalArgumentException("'" + field + "' must be one of "
                + java.util.Arrays.toString(type.getEnumConstants()).toLowerCase(java.util.Locale.ROOT) + ", not '"
                + text + "'");
    }

    /** Reads the table {@code fleet}. Without it the fleet plane is disabled. */
    private static FleetOptions fleetOptions(Json json, Settings settings, List<InetSocketAddress> peers) {
        if (!json.has("fleet")) {
            return FleetOptions.NONE;
        }
        Json fleet = json.object("fleet");
        for (String name : fleet.names()) {
            if (!Set.of("members", "shared", "limits").contains(name)) {
                throw new IllegalArgumentException("'fleet." + name + "' is unknown");
            }
        }
        boolean members = fleet.has("members") && fleet.flag("members");
        boolean shared = fleet.has("shared") && fleet.flag("shared");
        if (members
                && (!json.has("peer_listen")
                        || settings.sidecarIndex() < 0
                        || settings.sidecarIndex() >= peers.size())) {
            throw new IllegalArgumentException(
                    "'fleet.members' needs 'peer_listen' and an entry for this sidecar at index "
                            + settings.sidecarIndex() + " of 'peers'");
        }
        if (shared && !members) {
            throw new IllegalArgumentException("'fleet.shared' needs 'fleet.members'");
        }
        List<FleetLimits.Limit> limits = new ArrayList<>();
        if (fleet.has("limits")) {
            if (!shared) {
                throw new IllegalArgumentException("'fleet.limits' needs 'fleet.shared'");
            }
            for (Json limit : fleet.objects("limits")) {
                limits.add(parseLimit(limit, settings, limits));
            }
        }
        return new FleetOptions(members, shared, List.copyOf(limits));
    }

    private static FleetLimits.Limit parseLimit(Json json, Settings settings, List<FleetLimits.Limit> earlier) {
        for (String name : json.names()) {
            if (!Set.of("name", "class", "tenant", "per_second", "in_flight").contains(name)) {
                throw new IllegalArgumentException("'fleet.limits." + name + "' is unknown");
            }
        }
        String name = json.text("name");
        if (json.has("per_second") == json.has("in_flight") || json.has("class") && json.has("tenant")) {
            throw new IllegalArgumentException("'fleet.limits', '" + name
                    + "' wants 'per_second' or 'in_flight', and at most one of 'class' " + "and 'tenant'");
        }
        if (earlier.stream().anyMatch(l -> l.name().equals(name))) {
            throw new IllegalArgumentException("'fleet.limits' names '" + name + "' twice");
        }
        try {
            return LimitSyntax.parse(
                    name,
                    json.has("class")
                            ? "class:" + json.text("class")
                            : json.has("tenant") ? "tenant:" + json.text("tenant") : "all",
                    json.has("in_flight") ? "in_flight" : "per_second",
                    json.realOr(json.has("in_flight") ? "in_flight" : "per_second", 0),
                    settings);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'fleet.limits', '" + name + "': " + e.getMessage());
        }
    }

    private static UpstreamList knownUpstreams(Json json) {
        try {
            return UpstreamList.fromJson(json.object("known"));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'known': " + e.getMessage());
        }
    }

    private static InetSocketAddress requiredAddress(
            Json json, Map<String, String> environment, String field, String variable) {
        String text = environment.get(variable);
        return text == null ? parseAddress(field, json.text(field)) : parseAddress(variable, text);
    }

    /** Once a process of this sidecar has reloaded the file, that has the current address, and the variable the one of before. */
    private static InetSocketAddress discovery(Json json, Map<String, String> environment, Path operatorState) {
        return json.has("discovery") && OperatorStateStore.wasReloaded(operatorState)
                ? optionalAddress(json, "discovery")
                : requiredAddress(json, environment, "discovery", DISCOVERY_VARIABLE);
    }

    /** Null, which disables the admin server, if neither the variable nor the file has one. An empty variable counts as unset. */
    private static InetSocketAddress adminAddress(Json json, Map<String, String> environment) {
        String text = environment.getOrDefault("BALANCER_ADMIN_ADDR", "");
        return text.isEmpty() ? optionalAddress(json, "admin_addr") : parseAddress("BALANCER_ADMIN_ADDR", text);
    }

    private static boolean inheritsListener(Map<String, String> environment) {
        String descriptor = environment.getOrDefault("BALANCER_ACCEPT_FD", "");
        if (!descriptor.isEmpty() && !descriptor.equals("0")) {
            // Java can only inherit a socket as descriptor 0 (System.inheritedChannel).
            throw new IllegalArgumentException("'BALANCER_ACCEPT_FD' must be 0, not '" + descriptor + "'");
        }
        return !descriptor.isEmpty();
    }

    /** A directory for this sidecar alone, since several may share {@code TMPDIR}. */
    private static Path stateDirectory(Map<String, String> environment, String name) {
        String directory = environment.getOrDefault("TMPDIR", "");
        try {
            return directory.isEmpty()
                    ? null
                    : Path.of(directory).resolve("rushproxy-" + name.replaceAll("[^A-Za-z0-9_-]", "_"));
        } catch (InvalidPathException e) {
            throw new IllegalArgumentException("'TMPDIR' is not a valid path: '" + directory + "'");
        }
    }

    private static InetSocketAddress optionalAddress(Json json, String field) {
        return json.has(field) ? parseAddress(field, json.text(field)) : null;
    }

    private static InetSocketAddress parseAddress(String field, String text) {
        try {
            return UpstreamList.parseAddress(text);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + field + "' is not a valid address: '" + text + "'");
        }
    }

    private static long parseSeed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'seed' is not a hexadecimal number: '" + text + "'");
        }
    }
}

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
import rushproxy.wire.SettingsReader;
import rushproxy.wire.WireException;

/**
 * What a sidecar is told at its start. {@code inherits}: the clients' socket is descriptor 0. {@code admin}, {@code kept}
 * (the folder for what outlives the process), {@code peerListen} and {@code peersAll} are null where there are none.
 * {@code fleet}: the parts of the fleet plane that are on.
 */
record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress admin,
        boolean inherits,
        Path kept,
        long seed,
        int sockets,
        int memoryMb,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        UpstreamList known,
        Settings settings,
        long dialTimeoutUs,
        Fleet fleet,
        Log.Style log) {

    /** {@code shared} is on only where {@code members} is; limits only where both are. */
    record Fleet(boolean members, boolean shared, List<FleetLimits.Limit> limits) {
        static final Fleet NONE = new Fleet(false, false, List.of());
    }

    /** A configuration that no sidecar can start with; the message is one line and names the field. */
    static final class Broken extends Exception {
        private static final long serialVersionUID = 1L;

        Broken(String message) {
            super(message.replaceAll("\\s+", " "));
        }
    }

    static Config read(Map<String, String> environment) throws Broken {
        String path = environment.get("BALANCER_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new Broken("BALANCER_CONFIG is not set");
        }
        byte[] text;
        try {
            text = Files.readAllBytes(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            throw new Broken("BALANCER_CONFIG can't be read: " + e);
        }
        try {
            return parse(Json.parse(text), environment);
        } catch (IllegalArgumentException e) {
            throw new Broken("configuration: " + e.getMessage());
        } catch (WireException e) {
            throw new Broken("configuration, settings: " + e.getMessage());
        }
    }

    private static Config parse(Json json, Map<String, String> environment) {
        String name = environment.getOrDefault("BALANCER_NAME", json.textOr("name", "sidecar"));
        SettingsReader reader = new SettingsReader(json.object("settings").flat());
        Settings settings = reader.read();
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String peer : json.textsOrNone("peers")) {
            peers.add(address("peers", peer));
        }
        Json limits = json.has("limits") ? json.object("limits") : null;
        int sockets = (int) (limits == null ? 1024 : limits.numberOr("sockets", 1024));
        int memoryMb = (int) (limits == null ? 192 : limits.numberOr("memory_mb", 192));
        return new Config(
                name,
                told(json, environment, "listen", "BALANCER_LISTEN"),
                told(json, environment, "discovery", "BALANCER_DISCOVERY"),
                admin(json, environment),
                inherits(environment),
                kept(environment, name),
                seed(json.text("seed")),
                sockets,
                memoryMb,
                optional(json, "peer_listen"),
                peers,
                optional(json, "peers_all"),
                known(json),
                settings,
                reader.dialTimeoutUs(),
                fleet(json, settings, peers),
                log(json, environment, name));
    }

    /**
     * {@code "log": {"form": "json", "level": "warn"}}; the words alone where there is no such table. The level of the
     * environment, if it names one, goes first.
     */
    private static Log.Style log(Json json, Map<String, String> environment, String name) {
        String level = environment.getOrDefault("BALANCER_LOG_LEVEL", "");
        if (!json.has("log")) {
            return new Log.Style(
                    Log.Form.PLAIN,
                    word("BALANCER_LOG_LEVEL", Log.Level.class, level.isEmpty() ? "info" : level),
                    name);
        }
        Json log = json.object("log");
        for (String key : log.names()) {
            if (!key.equals("form") && !key.equals("level")) {
                throw new IllegalArgumentException("'log." + key + "' is unknown");
            }
        }
        return new Log.Style(
                word("log.form", Log.Form.class, log.textOr("form", "plain")),
                level.isEmpty()
                        ? word("log.level", Log.Level.class, log.textOr("level", "info"))
                        : word("BALANCER_LOG_LEVEL", Log.Level.class, level),
                name);
    }

    private static <E extends Enum<E>> E word(String field, Class<E> words, String text) {
        for (E word : words.getEnumConstants()) {
            if (word.name().toLowerCase(java.util.Locale.ROOT).equals(text)) {
                return word;
            }
        }
        throw new IllegalArgumentException("'" + field + "' is none of "
                + java.util.Arrays.toString(words.getEnumConstants()).toLowerCase(java.util.Locale.ROOT) + " but '"
                + text + "'");
    }

    /** The parts of the fleet plane that are on: none where there is no {@code fleet}. */
    private static Fleet fleet(Json json, Settings settings, List<InetSocketAddress> peers) {
        if (!json.has("fleet")) {
            return Fleet.NONE;
        }
        Json fleet = json.object("fleet");
        for (String name : fleet.names()) {
            if (!Set.of("members", "shared", "limits").contains(name)) {
                throw new IllegalArgumentException("'fleet." + name + "' is unknown");
            }
        }
        boolean members = fleet.has("members") && fleet.flag("members");
        boolean shared = fleet.has("shared") && fleet.flag("shared");
        if (members && (!json.has("peer_listen") || settings.me() < 0 || settings.me() >= peers.size())) {
            throw new IllegalArgumentException(
                    "'fleet.members' needs 'peer_listen' and 'peers' with this sidecar's number, " + settings.me()
                            + ", among them");
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
                limits.add(limit(limit, settings, limits));
            }
        }
        return new Fleet(members, shared, List.copyOf(limits));
    }

    private static FleetLimits.Limit limit(Json json, Settings settings, List<FleetLimits.Limit> before) {
        for (String name : json.names()) {
            if (!Set.of("name", "class", "tenant", "per_second", "in_flight").contains(name)) {
                throw new IllegalArgumentException("'fleet.limits." + name + "' is unknown");
            }
        }
        String name = json.text("name");
        if (json.has("per_second") == json.has("in_flight") || json.has("class") && json.has("tenant")) {
            throw new IllegalArgumentException("'fleet.limits', '" + name
                    + "' wants 'per_second' or 'in_flight', and 'class', " + "'tenant' or neither");
        }
        if (before.stream().anyMatch(l -> l.name().equals(name))) {
            throw new IllegalArgumentException("'fleet.limits' names '" + name + "' twice");
        }
        try {
            return LimitWords.limit(
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

    private static UpstreamList known(Json json) {
        try {
            return UpstreamList.of(json.object("known"));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'known': " + e.getMessage());
        }
    }

    private static InetSocketAddress told(Json json, Map<String, String> environment, String field, String variable) {
        String text = environment.get(variable);
        return text == null ? address(field, json.text(field)) : address(variable, text);
    }

    /** Nothing listens where neither names an address; an empty variable names none. */
    private static InetSocketAddress admin(Json json, Map<String, String> environment) {
        String text = environment.getOrDefault("BALANCER_ADMIN_ADDR", "");
        return text.isEmpty() ? optional(json, "admin_addr") : address("BALANCER_ADMIN_ADDR", text);
    }

    private static boolean inherits(Map<String, String> environment) {
        String number = environment.getOrDefault("BALANCER_ACCEPT_FD", "");
        if (!number.isEmpty() && !number.equals("0")) {
            // The Java runtime can take over no other.
            throw new IllegalArgumentException("'BALANCER_ACCEPT_FD' is not 0: '" + number + "'");
        }
        return !number.isEmpty();
    }

    /** Of this sidecar alone, also where several share the folder for passing files. */
    private static Path kept(Map<String, String> environment, String name) {
        String folder = environment.getOrDefault("TMPDIR", "");
        try {
            return folder.isEmpty()
                    ? null
                    : Path.of(folder).resolve("rushproxy-" + name.replaceAll("[^A-Za-z0-9_-]", "_"));
        } catch (InvalidPathException e) {
            throw new IllegalArgumentException("'TMPDIR' is no path: '" + folder + "'");
        }
    }

    private static InetSocketAddress optional(Json json, String field) {
        return json.has(field) ? address(field, json.text(field)) : null;
    }

    private static InetSocketAddress address(String field, String text) {
        try {
            return UpstreamList.address(text);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + field + "' is no address: '" + text + "'");
        }
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'seed' is no hexadecimal number: '" + text + "'");
        }
    }
}

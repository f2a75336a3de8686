package rushproxy.lab.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Map;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.world.Addresses;

/** Writes the configuration file of one sidecar of a scenario. */
final class NodeConfig {
    private static final ObjectMapper JSON = new ObjectMapper();

    private NodeConfig() {}

    /** {@code known} is the server list the sidecar starts with; {@code seed} differs for each start. */
    static byte[] write(
            Scenario scenario, Addresses addresses, int node, InetSocketAddress discovery, ObjectNode known, long seed)
            throws java.io.IOException {
        ObjectNode config = JSON.createObjectNode();
        config.put("name", "n" + node)
                .put("listen", Addresses.format(addresses.listen(node)))
                .put("discovery", Addresses.format(discovery))
                .put("seed", Long.toHexString(seed))
                .put("admin_addr", Addresses.format(addresses.admin(node, 0)))
                .put("peer_listen", Addresses.format(addresses.peerListen(node)));
        config.putObject("limits")
                .put("cores", scenario.fleet().cores())
                .put("memory_mb", scenario.fleet().memoryMb())
                .put("sockets", scenario.fleet().sockets());
        ArrayNode peers = config.putArray("peers");
        for (int i = 0; i < scenario.fleet().nodes(); i++) {
            peers.add(Addresses.format(addresses.peer(node, i)));
        }
        config.set("known", known);
        config.set("settings", settings(scenario, node));
        for (Map.Entry<String, String> extra : scenario.fleet().settings().entrySet()) {
            put(config, extra.getKey().split("\\."), JSON.readTree(extra.getValue()));
        }
        return JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(config);
    }

    /** Returns the settings with the names and units of the protocol's first message. */
    private static ObjectNode settings(Scenario scenario, int node) {
        ObjectNode settings = JSON.createObjectNode();
        settings.put("me", node).put("balancers", scenario.fleet().nodes()).put("zone", scenario.zoneOfNode(node));
        ArrayNode zones = settings.putArray("azs");
        scenario.zoneNames().forEach(zones::add);
        ArrayNode kinds = settings.putArray("kinds");
        scenario.servers().stream().map(Scenario.ServerGroup::kind).distinct().forEach(kinds::add);
        settings.put("discovery", "pushed").put("counted_by", "work").put("period_us", 5_000);
        ArrayNode profiles = settings.putArray("profiles");
        for (Scenario.RequestClass requestClass : scenario.classes()) {
            profiles.addObject()
                    .put("name", requestClass.name())
                    .put("semantics", requestClass.semantics())
                    .put("group", requestClass.group())
                    .put("window_us", requestClass.windowUs())
                    .put("objective_us", requestClass.aimUs())
                    .put("give_up_us", requestClass.deadlineUs())
                    .put("importance", requestClass.worth());
        }
        Scenario.Rules rules = scenario.rules();
        settings.putObject("rules")
                .put("drain_grace_us", rules.drainGraceUs())
                .put("cold_share", rules.coldShare())
                .put("ramp_time_us", rules.rampUs())
                .put("fall_multiple", rules.fallMultiple())
                .put("fall_us", rules.fallUs())
                .put("answer_slack_us", 20_000)
                .put("ask_every_us", 10_000_000);
        settings.putObject("limits")
                .put("max_attempts", 3)
                .put("dial_timeout_us", 120_000)
                .put("conn_idle_us", 5_000_000)
                .put("retry_after", true)
                .put("max_retry_after_us", 1_200_000)
                .put("peers", true)
                .put("probing", true)
                .put("cancelling", true)
                .put("second_copies", true);
        settings.putObject("tariffs")
                .put("connection", 0.05)
                .put("cross_zone", 0.02)
                .put("handshake", 0.05)
                .put("peer", 0.01)
                .put("probe", 0.01)
                .put("waste", 0.04)
                .put("late_fail", 0.05);
        String how = scenario.servers().get(0).reports();
        ObjectNode load = settings.putObject("load_info").put("how", how.equals("none") ? "off" : how);
        load.putArray("fields").add("busy_reqs").add("pending").add("cpu_share");
        return settings;
    }

    private static void put(ObjectNode parent, String[] path, com.fasterxml.jackson.databind.JsonNode value) {
        for (int i = 0; i < path.length - 1; i++) {
            parent = parent.withObject("/" + path[i]);
        }
        parent.set(path[path.length - 1], value);
    }
}

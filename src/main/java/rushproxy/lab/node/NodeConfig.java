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
        ObjectNode c = JSON.createObjectNode();
        c.put("name", "n" + node)
                .put("listen", Addresses.text(addresses.listen(node)))
                .put("discovery", Addresses.text(discovery))
                .put("seed", Long.toHexString(seed))
                .put("admin_addr", Addresses.text(addresses.admin(node, 0)))
                .put("peer_listen", Addresses.text(addresses.peerListen(node)));
        c.putObject("limits")
                .put("cores", scenario.fleet().cores())
                .put("memory_mb", scenario.fleet().memoryMb())
                .put("sockets", scenario.fleet().sockets());
        ArrayNode peers = c.putArray("peers");
        for (int i = 0; i < scenario.fleet().nodes(); i++) {
            peers.add(Addresses.text(addresses.peer(node, i)));
        }
        c.set("known", known);
        c.set("settings", settings(scenario, node));
        for (Map.Entry<String, String> extra : scenario.fleet().settings().entrySet()) {
            put(c, extra.getKey().split("\\."), JSON.readTree(extra.getValue()));
        }
        return JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(c);
    }

    /** Returns the settings with the names and units of the protocol's first message. */
    private static ObjectNode settings(Scenario scenario, int node) {
        ObjectNode s = JSON.createObjectNode();
        s.put("me", node).put("balancers", scenario.fleet().nodes()).put("zone", scenario.zoneOfNode(node));
        ArrayNode zones = s.putArray("azs");
        scenario.zoneNames().forEach(zones::add);
        ArrayNode kinds = s.putArray("kinds");
        scenario.servers().stream().map(Scenario.Servers::kind).distinct().forEach(kinds::add);
        s.put("discovery", "pushed").put("counted_by", "work").put("period_us", 5_000);
        ArrayNode profiles = s.putArray("profiles");
        for (Scenario.RequestClass c : scenario.classes()) {
            profiles.addObject()
                    .put("name", c.name())
                    .put("semantics", c.semantics())
                    .put("group", c.group())
                    .put("window_us", c.windowUs())
                    .put("objective_us", c.aimUs())
                    .put("give_up_us", c.deadlineUs())
                    .put("importance", c.worth());
        }
        Scenario.Rules r = scenario.rules();
        s.putObject("rules")
                .put("drain_grace_us", r.drainGraceUs())
                .put("cold_share", r.coldShare())
                .put("ramp_time_us", r.rampUs())
                .put("fall_multiple", r.fallMultiple())
                .put("fall_us", r.fallUs())
                .put("answer_slack_us", 20_000)
                .put("ask_every_us", 10_000_000);
        s.putObject("limits")
                .put("max_attempts", 3)
                .put("dial_timeout_us", 120_000)
                .put("conn_idle_us", 5_000_000)
                .put("retry_after", true)
                .put("max_retry_after_us", 1_200_000)
                .put("peers", true)
                .put("probing", true)
                .put("cancelling", true)
                .put("second_copies", true);
        s.putObject("tariffs")
                .put("connection", 0.05)
                .put("cross_zone", 0.02)
                .put("handshake", 0.05)
                .put("peer", 0.01)
                .put("probe", 0.01)
                .put("waste", 0.04)
                .put("late_fail", 0.05);
        String how = scenario.servers().get(0).reports();
        ObjectNode load = s.putObject("load_info").put("how", how.equals("none") ? "off" : how);
        load.putArray("fields").add("busy_reqs").add("pending").add("cpu_share");
        return s;
    }

    private static void put(ObjectNode at, String[] path, com.fasterxml.jackson.databind.JsonNode value) {
        for (int i = 0; i < path.length - 1; i++) {
            at = at.withObject("/" + path[i]);
        }
        at.set(path[path.length - 1], value);
    }
}

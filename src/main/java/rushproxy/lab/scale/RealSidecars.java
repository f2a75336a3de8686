package rushproxy.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import rushproxy.lab.node.Build;
import rushproxy.lab.node.ProcessReaper;
import rushproxy.lab.world.Addresses;

/** Processes of the sidecar that are members of a scale run's fleet, without requests and without discovery. */
final class RealSidecars implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CALL_MS = 3_000;
    private static final int MEMORY_MB = 192;
    /** Nobody listens there: the list of the configuration holds. */
    private static final int NO_DISCOVERY_PORT = 8_500;

    private record Running(String name, InetSocketAddress admin, Process process, long sinceNs) {}

    private final ScalePlan plan;
    private final Addresses addresses;
    private final List<InetSocketAddress> peers;
    private final Build build;
    private final Path folder;
    private final ProcessReaper keeper;
    private final List<Running> running = new ArrayList<>();

    RealSidecars(ScalePlan plan, Addresses addresses, List<InetSocketAddress> peers, Build build, Path folder)
            throws IOException {
        this.plan = plan;
        this.addresses = addresses;
        this.peers = peers;
        this.build = build;
        this.folder = folder;
        keeper = new ProcessReaper();
    }

    void start() throws IOException {
        for (int member = plan.hollow(); member < plan.members(); member++) {
            start(member);
        }
    }

    private void start(int member) throws IOException {
        String name = LoopbackFleet.name(member);
        Path own = folder.resolve(name);
        Files.createDirectories(own.resolve("tmp"));
        Path config = own.resolve("config.json");
        Files.write(config, JSON.writeValueAsBytes(config(member)));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", build.command());
        builder.directory(build.root().toFile());
        builder.environment().keySet().removeIf(k -> k.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", config.toAbsolutePath().toString());
        builder.environment().put("TMPDIR", own.resolve("tmp").toAbsolutePath().toString());
        builder.redirectErrorStream(true)
                .redirectOutput(own.resolve("log").toFile())
                .redirectInput(ProcessBuilder.Redirect.from(new java.io.File("/dev/null")));
        Process process = builder.start();
        keeper.register(process);
        running.add(new Running(name, addresses.admin(member, 0), process, System.nanoTime()));
    }

    private ObjectNode config(int member) throws IOException {
        ObjectNode c = JSON.createObjectNode();
        c.put("name", LoopbackFleet.name(member))
                .put("listen", Addresses.format(addresses.listen(member)))
                .put("discovery", addresses.listen(member).getAddress().getHostAddress() + ":" + NO_DISCOVERY_PORT)
                .put("admin_addr", Addresses.format(addresses.admin(member, 0)))
                .put("seed", Long.toHexString(plan.seed() + member))
                .put("peer_listen", Addresses.format(peers.get(member)));
        c.putObject("limits").put("cores", 1).put("memory_mb", MEMORY_MB).put("sockets", 256);
        ArrayNode all = c.putArray("peers");
        peers.forEach(p -> all.add(Addresses.format(p)));
        c.putObject("fleet").put("members", true);
        c.putObject("known").put("generation", 1).put("reset", true).putArray("instances");
        c.set("settings", settings(member));
        return c;
    }

    /** As the protocol's first message has them: one class, no troubles, zones by number. */
    private ObjectNode settings(int member) throws IOException {
        ObjectNode s = (ObjectNode) JSON.readTree("""
                {"kinds":["k"],"discovery":"pushed",
                 "profiles":[{"name":"c","semantics":"safe","objective_us":300000,"give_up_us":800000}],
                 "rules":{"drain_grace_us":500000,"cold_share":0.2,"ramp_time_us":9000000,"fall_multiple":3,"fall_us":1000000,
                          "ask_every_us":10000000},
                 "limits":{"max_attempts":3,"dial_timeout_us":120000,"conn_idle_us":5000000,"peers":true}}""");
        s.put("me", member).put("balancers", plan.members()).put("zone", "z" + plan.zoneOf(member));
        ArrayNode zones = s.putArray("azs");
        for (int z = 0; z < plan.zones(); z++) {
            zones.add("z" + z);
        }
        return s;
    }

    /** What each is and sees now. Throws where one has ended or does not answer. */
    List<ScaleResult.Sidecar> look() throws IOException {
        List<ScaleResult.Sidecar> seen = new ArrayList<>();
        for (Running r : running) {
            if (!r.process.isAlive()) {
                throw new IOException(
                        r.name + " ended with " + r.process.exitValue() + "; its log is in " + folder.resolve(r.name));
            }
            double seconds = (System.nanoTime() - r.sinceNs) / 1e9;
            double core =
                    r.process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / 1e9 / seconds;
            seen.add(new ScaleResult.Sidecar(r.name, here(r), core, memoryMb(r.process)));
        }
        return seen;
    }

    private static int here(Running r) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(r.admin, CALL_MS);
            s.setSoTimeout(CALL_MS);
            s.getOutputStream().write("members\n".getBytes(StandardCharsets.US_ASCII));
            String answer = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
            if (!answer.startsWith("ACK ")) {
                throw new IOException(r.name + " answered: " + answer);
            }
            JsonNode view = JSON.readTree(answer.substring("ACK ".length()));
            return view.path("here").asInt();
        }
    }

    private static double memoryMb(Process p) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + p.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Double.parseDouble(line.replaceAll("\\D", "")) / 1024;
            }
        }
        return 0;
    }

    /** Ends all of them, by id. */
    @Override
    public void close() {
        running.forEach(r -> r.process.destroyForcibly());
        for (Running r : running) {
            try {
                r.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try {
            keeper.close();
        } catch (IOException e) {
            // They have ended above.
        }
    }
}

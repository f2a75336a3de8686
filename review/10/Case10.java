import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import second.Stand;

/** Discovery answers each call late; an upstream drains meanwhile. Is anything sent to it once it counts as told? */
public final class Case10 {
    /** How long each answer takes beyond the wait that its call asks for. */
    private static final double LATE_MS = Double.parseDouble(System.getProperty("late", "1900"));
    /** "a change counts as told at the latest 6 s after discovery had it and could be reached" */
    private static final double TOLD_MS = 6_000;
    /** rules.drain_grace_us of the settings, and the 50 ms by which every limit is extended. */
    private static final double GRACE_MS = 500 + 50;

    public static void main(String[] args) throws Exception {
        Stand.run(args, Case10::play);
    }

    private static int play() throws Exception {
        Random random = new Random(9);
        List<Stand.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String id = "s-" + i;
            upstreams.add(new Stand.Upstream(id, null));
            Stand.Upstream self = upstreams.get(i);
            self.handler = (request, socket, out) -> {
                if (!self.lifecycle.equals("Ready")) {
                    out.write(Stand.response("503 Service Unavailable", "X-Turned-Away: 1\r\n", ""));
                    return;
                }
                Stand.sleep(15);
                out.write(Stand.ok(id + " " + request.id()));
            };
        }
        Stand.Agent agent = new Stand.Agent(upstreams);
        Stand.Config config = new Stand.Config();
        config.discovery = agent.port;
        config.known = agent.whole();
        Stand.Sidecar sidecar = Stand.Sidecar.start(config);
        sidecar.awaitReady();
        for (int i = 0; i < 6; i++) {
            int seed = random.nextInt();
            Stand.spawn(() -> {
                Random own = new Random(seed);
                try (Stand.Client client = new Stand.Client(config.listen)) {
                    while (true) {
                        String key = Integer.toHexString(own.nextInt(1000));
                        Stand.Message m = client.call(Stand.request("GET", Stand.newId(), "hive-weight", key, 300, ""));
                        if (m.headers.getOrDefault("Connection", "").equalsIgnoreCase("close")) {
                            Stand.log("a client's connection ended");
                            return;
                        }
                        Stand.sleep(20 + own.nextInt(60));
                    }
                }
            });
        }
        Stand.sleep(4_000);
        if (Stand.trouble()) {
            agent.lateMs = LATE_MS;
            Stand.log("from now on discovery answers " + LATE_MS + " ms late");
        }
        Stand.sleep(3_000);
        // A quarter of the upstreams begins to drain.
        List<Stand.Upstream> draining = upstreams.subList(0, 2);
        for (Stand.Upstream u : draining) {
            agent.set(u, "Terminating");
        }
        double bannedFrom = Stand.ms() + TOLD_MS + GRACE_MS;
        Stand.sleep(20_000);
        int sent = 0;
        for (Stand.Upstream u : draining) {
            for (Stand.Message m : u.taken()) {
                if (m.firstByteMs > bannedFrom) {
                    sent++;
                    Stand.log("broken: " + m.id() + " was sent to " + u.id + " "
                            + Math.round(m.firstByteMs - bannedFrom) + " ms after the end of the grace");
                }
            }
        }
        int all = upstreams.stream().mapToInt(u -> u.taken().size()).sum();
        Stand.log(all + " requests at the upstreams; " + sent + " at draining ones after " + (TOLD_MS + GRACE_MS) + " ms");
        return all < 500 ? Stand.COULD_NOT_RUN : sent > 0 ? Stand.BROKEN : Stand.HELD;
    }
}

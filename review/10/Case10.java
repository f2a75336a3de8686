import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import second.Stand;

/** An operator drains a sidecar, and its process is replaced. Does the sidecar still say no? */
public final class Case10 {
    /** "4 s after the call, still saying yes breaks the rule on lost requests" */
    private static final double DRAINED_MS = 4_000 + 50;

    public static void main(String[] args) throws Exception {
        Stand.run(args, Case10::play);
    }

    private static int play() throws Exception {
        List<Stand.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String id = "s-" + i;
            upstreams.add(new Stand.Upstream(id, (request, socket, out) -> {
                Stand.sleep(15);
                out.write(Stand.ok(id + " " + request.id()));
            }));
        }
        Stand.Agent agent = new Stand.Agent(upstreams);
        Stand.Config config = new Stand.Config();
        config.discovery = agent.port;
        config.known = agent.whole();
        ServerSocketChannel shared = Stand.sharedSocket(config.listen);
        Path tmp = Stand.newFolder();
        Stand.Sidecar old = Stand.Sidecar.start(config, tmp, shared);
        old.awaitReady();
        try (Stand.Client client = new Stand.Client(config.listen)) {
            for (int i = 0; i < 20; i++) {
                Stand.Message m = client.call(Stand.request("GET", Stand.newId(), "hive-weight", "1f", 300, ""));
                Stand.log("before the drain a request is answered " + m.status);
                Stand.sleep(50);
            }
        }
        String drained = old.admin("quiesce");
        double calledMs = Stand.ms();
        Stand.log("quiesce is answered " + drained);
        if (!drained.startsWith("ACK")) {
            return Stand.COULD_NOT_RUN;
        }
        Stand.sleep(500);
        int first = old.readyStatus();
        Stand.log("0.5 s after the call the sidecar says " + first);
        Stand.Sidecar next = null;
        if (Stand.trouble()) {
            Stand.Config second = new Stand.Config();
            second.listen = config.listen;
            second.peers = config.peers;
            second.discovery = config.discovery;
            second.known = config.known;
            second.seed = "1c1f30d27a5be964";
            next = Stand.Sidecar.start(second, tmp, shared);
        }
        boolean termSent = false;
        int yes = 0;
        int asked = 0;
        // The front asks ten times a second.
        while (Stand.ms() < calledMs + 15_000) {
            if (next != null && !termSent && next.admin("health").startsWith("ACK")) {
                termSent = true;
                Stand.log("the new process says yes to health");
                old.signal("TERM");
            }
            int status = old.readyStatus();
            double age = Stand.ms() - calledMs;
            asked++;
            if (status == 200 && age > DRAINED_MS) {
                yes++;
                if (yes == 1) {
                    Stand.log("broken: " + Math.round(age) + " ms after the call the sidecar says yes");
                }
            }
            Stand.sleep(100);
        }
        if (next != null && !termSent) {
            return Stand.COULD_NOT_RUN;
        }
        Stand.log(yes + " of " + asked + " times the sidecar said yes more than 4 s after the call to drain, with no call to resume");
        return first == 200 ? Stand.COULD_NOT_RUN : yes > 0 ? Stand.BROKEN : Stand.HELD;
    }
}

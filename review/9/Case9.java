import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import second.Stand;

/** A planned restart while answers are long and slow. Does the sidecar take what it can't answer before SIGKILL? */
public final class Case9 {
    /** Each answer takes 4.8 s: 66.7 kB a second. */
    private static final int ANSWER_BYTES = 320_000;

    private static final int PIECE_BYTES = 32_000;
    private static final double PIECE_EVERY_MS = 480;
    /** "SIGKILL arrives no earlier than the longest deadline (taken as 3 s where it is longer) plus a further 0.7 s after SIGTERM." */
    private static final double KILL_AFTER_MS = 2_500 + 700;

    private static final double EXCUSED_MS = 700;

    public static void main(String[] args) throws Exception {
        Stand.run(args, Case9::play);
    }

    private static int play() throws Exception {
        Stand.Handler handler = (request, socket, out) -> {
            Stand.sleep(15);
            if (!request.first.contains("long")) {
                out.write(Stand.ok("short"));
                return;
            }
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n").getBytes());
            for (int n = 0; n < ANSWER_BYTES; n += PIECE_BYTES) {
                out.write("y".repeat(PIECE_BYTES).getBytes());
                Stand.sleep(PIECE_EVERY_MS);
            }
        };
        List<Stand.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            upstreams.add(new Stand.Upstream("s-" + i, handler));
        }
        Stand.Agent agent = new Stand.Agent(upstreams);
        Stand.Config config = new Stand.Config();
        config.discovery = agent.port;
        config.known = agent.whole();
        Stand.Sidecar sidecar = Stand.Sidecar.start(config);
        sidecar.awaitReady();
        double termMs = Stand.ms() + 3_000;
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger longWhole = new AtomicInteger();
        AtomicInteger shortWhole = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            double longFromMs = termMs + 800 + 100 * i;
            clients.add(Stand.spawn(() -> {
                // A client uses its connection for as long as that stays open.
                try (Stand.Client client = new Stand.Client(config.listen)) {
                    while (true) {
                        boolean isLong = Stand.ms() >= longFromMs;
                        String id = Stand.newId();
                        String request = Stand.request("GET", id, "hive-weight", null, 300, "");
                        double sentMs = Stand.ms();
                        client.send(isLong ? request.replace("/api ", "/api?long ") : request);
                        boolean begun = false;
                        try {
                            client.in.mark(1);
                            begun = client.in.read() >= 0;
                            client.in.reset();
                            Stand.Message m = Stand.read(client.in, true);
                            (isLong ? longWhole : shortWhole).incrementAndGet();
                            if (isLong) {
                                Stand.log("request " + id + " is answered " + m.status + " with " + m.body.length + " bytes");
                                return;
                            }
                            if (m.headers.getOrDefault("Connection", "").equalsIgnoreCase("close")) {
                                Stand.log("a client's connection is ended with an answer");
                                return;
                            }
                        } catch (IOException e) {
                            // Without a byte of an answer the request may have crossed the end of its connection.
                            boolean counts = begun && sentMs - termMs > EXCUSED_MS;
                            if (counts) {
                                lost.incrementAndGet();
                            }
                            Stand.log((counts ? "broken: " : "excused: ") + "request " + id + " was sent " + Math.round(sentMs - termMs)
                                    + " ms after SIGTERM and has no whole answer " + Math.round(Stand.ms() - termMs) + " ms after it: " + e);
                            return;
                        }
                        Stand.sleep(60);
                    }
                }
            }));
        }
        Stand.sleep(termMs - Stand.ms());
        if (Stand.trouble()) {
            sidecar.signal("TERM");
            while (Stand.ms() < termMs + KILL_AFTER_MS + 50 && sidecar.process.isAlive()) {
                Stand.sleep(5);
            }
            if (sidecar.process.isAlive()) {
                sidecar.signal("KILL");
            } else {
                Stand.log("the process has ended by itself " + Math.round(Stand.ms() - termMs) + " ms after SIGTERM");
            }
        }
        for (Thread t : clients) {
            t.join();
        }
        Stand.log(shortWhole + " short and " + longWhole + " long answers whole, " + lost + " requests lost");
        return shortWhole.get() < 50 ? Stand.COULD_NOT_RUN : lost.get() > 0 ? Stand.BROKEN : Stand.HELD;
    }
}

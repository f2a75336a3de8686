import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import second.Stand;

/** Upstreams give long answers in chunks, slowly. Are these passed on to their end? */
public final class Case8 {
    private static final int ANSWER_BYTES = 320_000;
    /** 66.7 kB a second, in pieces; the one slow pace that the pages name is 64 kB a second, of a client's body. */
    private static final int PIECE_BYTES = Integer.getInteger("piece", 32_000);

    private static final double PIECE_EVERY_MS = Integer.getInteger("every", 480);

    public static void main(String[] args) throws Exception {
        Stand.run(args, Case8::play);
    }

    private static int play() throws Exception {
        Map<String, Boolean> givenWhole = new ConcurrentHashMap<>();
        Stand.Handler handler = (request, socket, out) -> {
            Stand.sleep(15);
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
            try {
                for (int n = 0; n < ANSWER_BYTES; n += PIECE_BYTES) {
                    String piece = "y".repeat(PIECE_BYTES);
                    out.write((Integer.toHexString(PIECE_BYTES) + "\r\n" + piece + "\r\n").getBytes());
                    if (Stand.trouble()) {
                        Stand.sleep(PIECE_EVERY_MS);
                    }
                }
                out.write("0\r\n\r\n".getBytes());
                givenWhole.put(request.id(), true);
            } catch (IOException e) {
                Stand.log("the answer to " + request.id() + " can't be written on: " + e.getMessage());
                throw e;
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
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            boolean first = i % 2 == 0;
            clients.add(Stand.spawn(() -> {
                String id = Stand.newId();
                double startMs = Stand.ms();
                try (Stand.Client client = new Stand.Client(config.listen)) {
                    client.send(Stand.request(
                            "GET", id, first ? "hive-weight" : "apiary-summary", null, first ? 300 : 700, ""));
                    client.in.mark(16);
                    String begin = new String(client.in.readNBytes(12));
                    client.in.reset();
                    double firstMs = Stand.ms() - startMs;
                    if (!begin.startsWith("HTTP/1.1 200")) {
                        other.incrementAndGet();
                        Stand.log("request " + id + " is answered " + begin);
                        return;
                    }
                    try {
                        Stand.Message m = Stand.read(client.in, true);
                        boolean isWhole = m.body.length == ANSWER_BYTES;
                        (isWhole ? whole : cut).incrementAndGet();
                        Stand.log("request " + id + " has " + m.body.length + " bytes after " + Math.round(Stand.ms() - startMs) + " ms");
                    } catch (IOException e) {
                        cut.incrementAndGet();
                        Stand.log("broken: the answer to " + id + " began after " + Math.round(firstMs)
                                + " ms and was cut off after " + Math.round(Stand.ms() - startMs) + " ms, while its upstream still gave it");
                    }
                } catch (IOException e) {
                    other.incrementAndGet();
                    Stand.log("request " + id + " has no answer: " + e);
                }
            }));
            Stand.sleep(250);
        }
        for (Thread t : clients) {
            t.join();
        }
        int begun = whole.get() + cut.get();
        Stand.log(begun + " answers begun, " + whole + " passed on whole, " + cut + " cut off; " + other + " requests with another answer; upstreams could give "
                + givenWhole.size() + " whole");
        return begun < 20 ? Stand.COULD_NOT_RUN : 2 * whole.get() < begun ? Stand.BROKEN : Stand.HELD;
    }
}

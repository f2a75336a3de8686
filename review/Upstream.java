import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** A sound upstream: serves each request once, after its work, with an answer that names the request. */
class Upstream {
    final String name;
    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final int minWorkMs;
    private final int maxWorkMs;
    private final Set<Rig.Conn> open = ConcurrentHashMap.newKeySet();

    Upstream(String name, int minWorkMs, int maxWorkMs) throws IOException {
        this.name = name;
        this.minWorkMs = minWorkMs;
        this.maxWorkMs = maxWorkMs;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    Upstream start() {
        Rig.spawn(() -> {
            while (true) {
                try {
                    Rig.Conn c = new Rig.Conn(server.accept());
                    Rig.spawn(() -> serve(c));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return this;
    }

    /** The process ends: its connections are reset and new ones are refused. */
    void end() throws IOException {
        Rig.say(name + " ends");
        server.close();
        for (Rig.Conn c : open) {
            c.socket.setSoLinger(true, 0);
            c.close();
        }
    }

    private void serve(Rig.Conn c) {
        open.add(c);
        try (c) {
            for (Rig.Message request; (request = c.read()) != null; ) {
                String id = request.headers.get("x-txn");
                if (id == null) {
                    c.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                onRequest(id, request.beganAt);
                Rig.say(name + " got " + id + " on connection " + c.socket.getPort());
                Rig.sleep(ThreadLocalRandom.current().nextInt(minWorkMs, maxWorkMs + 1));
                answer(c, id);
            }
        } catch (IOException e) {
            Rig.say(name + ": a connection ended: " + e.getMessage());
        } finally {
            open.remove(c);
        }
    }

    /** Called when the last byte of a request has arrived; its first byte came at {@code beganAt}. */
    void onRequest(String id, double beganAt) {}

    /** What this upstream answers to the request; also what its client has to get. */
    static String body(String upstream, String id) {
        return "served " + id + " by " + upstream;
    }

    static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    void answer(Rig.Conn c, String id) throws IOException {
        Rig.say(name + " answers " + id);
        c.send(response(body(name, id)));
    }
}

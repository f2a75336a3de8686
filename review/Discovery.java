import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery as the protocol page has it: whole lists, and watches that wait for what is newer. */
final class Discovery {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private long generation = 41;
    /** What each answer takes once it is known, while discovery is slow. */
    volatile long slowMs;

    Discovery() throws IOException {}

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    synchronized void set(String id, InetSocketAddress at, int cell, String lifecycle) {
        generation++;
        entries.put(
                id,
                "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + Rig.text(at)
                        + "\",\"zone\":\"athina\",\"machineType\":\"grigoro\",\"cell\":" + cell + ",\"lifecycle\":\""
                        + lifecycle + "\",\"weight\":1.0,\"startedAtMs\":0}");
        changedAt.put(id, generation);
        Rig.say("discovery has generation " + generation + ": " + id + " " + lifecycle);
        notifyAll();
    }

    synchronized String whole() {
        return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":[" + String.join(",", entries.values())
                + "]}";
    }

    private synchronized String since(long index) {
        List<String> changed = new ArrayList<>();
        changedAt.forEach((id, at) -> {
            if (at > index) {
                changed.add(entries.get(id));
            }
        });
        return "{\"generation\":" + generation + ",\"reset\":false,\"instances\":[" + String.join(",", changed) + "]}";
    }

    private synchronized void awaitNewer(long index, long waitMs) {
        long until = System.nanoTime() + waitMs * 1_000_000;
        for (long left; generation <= index && (left = (until - System.nanoTime()) / 1_000_000) > 0; ) {
            try {
                wait(left);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    Discovery start() {
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

    private void serve(Rig.Conn c) {
        try (c) {
            for (Rig.Message call; (call = c.read()) != null; ) {
                String uri = call.first.split(" ")[1];
                Rig.say("discovery is asked " + uri);
                String body;
                if (uri.contains("index=")) {
                    long index = number(uri, "index=");
                    awaitNewer(index, number(uri, "wait="));
                    body = since(index);
                } else {
                    body = whole();
                }
                Rig.sleep(slowMs);
                Rig.say("discovery answers " + uri + " with " + body);
                c.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body);
            }
        } catch (IOException e) {
            Rig.say("a call to discovery ended: " + e.getMessage());
        }
    }

    private static long number(String uri, String name) {
        int at = uri.indexOf(name);
        if (at < 0) {
            return 0;
        }
        String rest = uri.substring(at + name.length());
        return Long.parseLong(rest.contains("&") ? rest.substring(0, rest.indexOf('&')) : rest);
    }
}

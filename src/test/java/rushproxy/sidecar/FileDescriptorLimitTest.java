package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program with as many descriptors as the platform gives it, or with fewer than it was told, and clients that take them all. */
@Timeout(120)
class FileDescriptorLimitTest {
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    /** A second address would have a class loader look for more files; it is not what is tried here. */
    private static final String CONFIG = """
            {"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","seed":"1","limits":{"sockets":%d,"memory_mb":32},
             "known":%s,"settings":%s}""";

    @TempDir
    Path folder;

    private final List<Peer.Client> idle = new ArrayList<>();

    private Process start(int port, Peer discovery, Peer upstream, int told, int allowed) throws Exception {
        String known = SidecarRig.list(41, true, SidecarRig.entry("u0", upstream.address(), "Ready", 0));
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                CONFIG.formatted(
                        port,
                        discovery.address(),
                        told,
                        known,
                        SidecarRig.SETTINGS
                                .replace("on_request", "pushed")
                                .replace("\"probing\":true", "\"probing\":false")
                                .replace("\"give_up_us\":800000", "\"give_up_us\":3000000")));
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                "ulimit -n " + allowed + "; exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx72m",
                "-cp",
                System.getProperty("java.class.path"),
                "rushproxy.Main",
                "serve");
        builder.environment().keySet().removeIf(k -> k.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        return builder.start();
    }

    private String log() {
        try {
            return Files.readString(folder.resolve("log"), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "no log: " + e;
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    private Peer.Client ready(Process p, InetSocketAddress at) throws Exception {
        while (true) {
            assertTrue(p.isAlive(), log());
            try {
                Peer.Client c = new Peer.Client(at);
                if (c.send(READY).status() == 200) {
                    return c;
                }
                c.close();
            } catch (IOException e) {
                // not yet
            }
            Thread.sleep(50);
        }
    }

    /** Clients that are known, so that none is closed for saying nothing, and rest. */
    private void rest(InetSocketAddress at, int clients) throws IOException {
        for (int i = 0; i < clients; i++) {
            Peer.Client c = new Peer.Client(at);
            c.socket.setSoTimeout(300);
            idle.add(c);
            try {
                c.send(READY).status();
            } catch (IOException e) {
                // It waits at the door, or was closed for others that wait there.
            }
        }
    }

    private void leave() throws IOException {
        for (Peer.Client c : idle) {
            c.close();
        }
        idle.clear();
    }

    private static String served(InetSocketAddress at, String id) throws IOException {
        try (Peer.Client c = new Peer.Client(at)) {
            Peer.Message m = c.send(SidecarRig.get(id, 2_500)).answer();
            return m == null
                    ? "nothing"
                    : m.head().startsWith("HTTP/1.1 200")
                            ? m.body()
                            : m.head().lines().findFirst().get();
        }
    }

    private void awaitServed(InetSocketAddress at, String wanted) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        for (String now = ""; !now.equals(wanted); now = served(at, "b" + System.nanoTime())) {
            String last = now;
            assertTrue(System.nanoTime() < until, () -> "the news never came, but '" + last + "': " + log());
        }
    }

    private void ends(Process p) throws Exception {
        p.destroy();
        assertTrue(p.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, p.exitValue(), log());
    }

    /** While discovery is silent clients come and rest, more than there are descriptors; all that is not theirs goes on. */
    @Test
    void restingClientsLeaveRoomForDiscoveryForUpstreamsAndForTheEnd() throws Exception {
        try (Peer discovery = new Peer((m, line) -> {});
                Peer before = new Peer((m, line) -> line.answer("200 OK", "", "before"));
                Peer after = new Peer((m, line) -> line.answer("200 OK", "", "after"))) {
            InetSocketAddress at = new InetSocketAddress("127.0.0.1", freePort());
            Process p = start(at.getPort(), discovery, before, 256, 256);
            try {
                ready(p, at).close();
                rest(at, 300);
                assertEquals("before", served(at, "a1"), this::log);
                discovery.script = (m, line) -> {
                    if (!m.path().contains("index=43")) {
                        line.answer(
                                "200 OK",
                                "",
                                SidecarRig.list(43, true, SidecarRig.entry("u1", after.address(), "Ready", 0)));
                    }
                };
                awaitServed(at, "after");
                ends(p);
            } finally {
                leave();
                p.destroyForcibly();
            }
        }
    }

    /** Told of more than there are, it runs out of them: what can't be opened has failed, and nothing else is lost by that. */
    @Test
    void withoutDescriptorsConnectionsFailAndAreTriedAgain() throws Exception {
        try (Peer discovery = new Peer((m, line) -> line.socket().close());
                Peer before = new Peer((m, line) -> line.answer("200 OK", "Connection: close\r\n", "before"));
                Peer after = new Peer((m, line) -> line.answer("200 OK", "", "after"))) {
            InetSocketAddress at = new InetSocketAddress("127.0.0.1", freePort());
            Process p = start(at.getPort(), discovery, before, 2_048, 200);
            try (Peer.Client known = ready(p, at)) {
                assertEquals("before", served(at, "a1"), this::log);
                rest(at, 200);
                // No descriptor is left: the answer comes all the same, and in time.
                known.send(SidecarRig.get("a2", 2_500));
                assertTrue(List.of(502, 503).contains(known.status()), log());
                discovery.script = (m, line) -> {
                    if (!m.path().contains("index=43")) {
                        line.answer(
                                "200 OK",
                                "",
                                SidecarRig.list(43, true, SidecarRig.entry("u1", after.address(), "Ready", 0)));
                    }
                };
                leave();
                awaitServed(at, "after");
                ends(p);
            } finally {
                leave();
                p.destroyForcibly();
            }
        }
    }
}

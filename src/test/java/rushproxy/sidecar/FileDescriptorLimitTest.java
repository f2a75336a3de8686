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

/** Runs a sidecar process whose file descriptors are exhausted by clients: within its configured limit, and with a lower {@code ulimit}. */
@Timeout(120)
class FileDescriptorLimitTest {
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    /** Has no admin address, since the admin server would load more classes and so open more files. */
    private static final String CONFIG = """
            {"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","seed":"1","limits":{"sockets":%d,"memory_mb":32},
             "known":%s,"settings":%s}""";

    @TempDir
    Path folder;

    private final List<TestServer.Client> idle = new ArrayList<>();

    private Process start(
            int port, TestServer discovery, TestServer upstream, int configuredSockets, int descriptorLimit)
            throws Exception {
        String knownList = SidecarRig.listJson(41, true, SidecarRig.entryJson("u0", upstream.address(), "Ready", 0));
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                CONFIG.formatted(
                        port,
                        discovery.address(),
                        configuredSockets,
                        knownList,
                        SidecarRig.SETTINGS
                                .replace("on_request", "pushed")
                                .replace("\"probing\":true", "\"probing\":false")
                                .replace("\"give_up_us\":800000", "\"give_up_us\":3000000")));
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                "ulimit -n " + descriptorLimit + "; exec \"$0\" \"$@\"",
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

    private TestServer.Client connectWhenReady(Process p, InetSocketAddress address) throws Exception {
        while (true) {
            assertTrue(p.isAlive(), log());
            try {
                TestServer.Client c = new TestServer.Client(address);
                if (c.send(READY).status() == 200) {
                    return c;
                }
                c.close();
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(50);
        }
    }

    /** Opens idle connections. Each has sent a request, since connections that never send one are closed sooner. */
    private void openIdleClients(InetSocketAddress address, int clients) throws IOException {
        for (int i = 0; i < clients; i++) {
            TestServer.Client c = new TestServer.Client(address);
            c.socket.setSoTimeout(300);
            idle.add(c);
            try {
                c.send(READY).status();
            } catch (IOException e) {
                // The connection waits in the accept queue, or was closed to make room for others that wait there.
            }
        }
    }

    private void closeIdleClients() throws IOException {
        for (TestServer.Client c : idle) {
            c.close();
        }
        idle.clear();
    }

    private static String get(InetSocketAddress address, String id) throws IOException {
        try (TestServer.Client c = new TestServer.Client(address)) {
            TestServer.Message m = c.send(SidecarRig.getRequest(id, 2_500)).answer();
            return m == null
                    ? "no response"
                    : m.head().startsWith("HTTP/1.1 200")
                            ? m.body()
                            : m.head().lines().findFirst().get();
        }
    }

    private void awaitBody(InetSocketAddress address, String expected) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        for (String body = ""; !body.equals(expected); body = get(address, "b" + System.nanoTime())) {
            String last = body;
            assertTrue(
                    System.nanoTime() < deadlineNanos,
                    () -> "the new list never took effect, last response '" + last + "': " + log());
        }
    }

    private void assertStopsCleanly(Process p) throws Exception {
        p.destroy();
        assertTrue(p.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, p.exitValue(), log());
    }

    /** Guards against idle clients that take the descriptors needed for upstreams, for discovery and for the shutdown. */
    @Test
    void idleClientsLeaveDescriptorsForDiscoveryUpstreamsAndShutdown() throws Exception {
        try (TestServer discovery = new TestServer((m, line) -> {});
                TestServer before = new TestServer((m, line) -> line.answer("200 OK", "", "before"));
                TestServer after = new TestServer((m, line) -> line.answer("200 OK", "", "after"))) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", freePort());
            Process p = start(address.getPort(), discovery, before, 256, 256);
            try {
                connectWhenReady(p, address).close();
                openIdleClients(address, 300);
                assertEquals("before", get(address, "a1"), this::log);
                discovery.handler = (m, line) -> {
                    if (!m.path().contains("index=43")) {
                        line.answer(
                                "200 OK",
                                "",
                                SidecarRig.listJson(43, true, SidecarRig.entryJson("u1", after.address(), "Ready", 0)));
                    }
                };
                awaitBody(address, "after");
                assertStopsCleanly(p);
            } finally {
                closeIdleClients();
                p.destroyForcibly();
            }
        }
    }

    /** The configured limit exceeds {@code ulimit}: connections that can't be opened fail in time, and all recovers afterwards. */
    @Test
    void recoversFromDescriptorExhaustion() throws Exception {
        try (TestServer discovery = new TestServer((m, line) -> line.socket().close());
                TestServer before =
                        new TestServer((m, line) -> line.answer("200 OK", "Connection: close\r\n", "before"));
                TestServer after = new TestServer((m, line) -> line.answer("200 OK", "", "after"))) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", freePort());
            Process p = start(address.getPort(), discovery, before, 2_048, 200);
            try (TestServer.Client connected = connectWhenReady(p, address)) {
                assertEquals("before", get(address, "a1"), this::log);
                openIdleClients(address, 200);
                // No descriptor is left, but the request is still answered in time.
                connected.send(SidecarRig.getRequest("a2", 2_500));
                assertTrue(List.of(502, 503).contains(connected.status()), log());
                discovery.handler = (m, line) -> {
                    if (!m.path().contains("index=43")) {
                        line.answer(
                                "200 OK",
                                "",
                                SidecarRig.listJson(43, true, SidecarRig.entryJson("u1", after.address(), "Ready", 0)));
                    }
                };
                closeIdleClients();
                awaitBody(address, "after");
                assertStopsCleanly(p);
            } finally {
                closeIdleClients();
                p.destroyForcibly();
            }
        }
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class BadInputTest {
    @Test
    void invalidRequestsAreRejectedWithTheirStatus() throws Exception {
        String good = SidecarRig.getRequest("a1", 9000);
        Map<String, Integer> cases = new LinkedHashMap<>();
        cases.put("RUBBISH\r\n\r\n", 400);
        cases.put("GET /api HTTP/1.1\r\n: : :\r\nbad header\r\n\r\n", 400);
        cases.put(good.replace("X-Txn: a1\r\n", ""), 400);
        cases.put(good.replace("X-Lane: c", "X-Lane: unknown"), 400);
        cases.put(good.replace("X-Lane: c\r\n", ""), 400);
        for (String time : new String[] {"", "soon", "-5", "0", "1.5", "99999999999999999999"}) {
            cases.put(good.replace("X-Remaining-Ms: 9000", "X-Remaining-Ms: " + time), 400);
        }
        cases.put(good.replace("GET", "DELETE"), 400);
        cases.put("GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n", 404);
        cases.put("GET /apiary HTTP/1.1\r\nHost: a\r\n\r\n", 404);
        cases.put("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n", 200);
        cases.put(
                "POST /api HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: c\r\nX-Remaining-Ms: 9000\r\nContent-Length: 33554433\r\n\r\n"
                        + "x".repeat(65_537),
                413);
        cases.put(
                "POST /api HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: c\r\nX-Remaining-Ms: 9000\r\nContent-Length: 65536\r\n\r\n"
                        + "x".repeat(65_536),
                200);
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> connection.answer("200 OK", "", "ok"));
            rig.start();
            for (Map.Entry<String, Integer> testCase : cases.entrySet()) {
                try (TestServer.Client client = rig.client()) {
                    client.send(testCase.getKey());
                    assertEquals(
                            testCase.getValue(),
                            client.status(),
                            testCase.getKey().lines().limit(9).toList().toString());
                }
            }
        }
    }

    /** Guards against other clients that wait while many unsound requests of one client are answered in one turn of the loop. */
    @Test
    void unsoundRequestsSentAtOnceAreAnsweredOneATurn() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.start();
            Set<Integer> heldBytes = ConcurrentHashMap.newKeySet();
            try (TestServer.Client client = rig.client()) {
                recordHeldBytesEachTurn(rig, heldBytes);
                client.send("GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n".repeat(30));
                for (int i = 0; i < 30; i++) {
                    assertEquals(404, client.status());
                }
            }
            assertTrue(heldBytes.size() >= 25, "after each turn there were held " + heldBytes);
        }
    }

    private static void recordHeldBytesEachTurn(SidecarRig rig, Set<Integer> heldBytes) {
        SocketPolling.runInNextIteration(rig.sidecar.loop(), () -> {
            rig.sidecar.clients().connections().forEach(connection -> heldBytes.add(connection.heldBytes()));
            recordHeldBytesEachTurn(rig, heldBytes);
        });
    }

    /** Guards against requests that fail because they arrive before any upstream is known. */
    @Test
    void isReadyOnlyOnceThereIsAnUpstream() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(503, client.status());
            }
        }
    }

    /**
     * Guards against slow first requests: clients are only invited once the code has been warmed up by requests of its
     * own.
     */
    @Test
    void isReadyOnlyOnceItHasWarmedUp() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> {});
            rig.start();
            Thread warmUp = new Thread(() -> {
                try {
                    rig.sidecar.warmUp();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            warmUp.start();
            int status;
            boolean refused = false;
            try (TestServer.Client client = rig.client()) {
                do {
                    client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                    status = client.status();
                    refused |= status == 503;
                } while (status != 200 || !refused);
            }
            warmUp.join();
            assertTrue(
                    rig.events.stream().noneMatch(event -> event.startsWith("request")),
                    "a request of the warm-up reached the balancer");
        }
    }

    /**
     * Silent clients, incomplete requests and clients that send byte by byte are closed; a client between requests
     * stays open.
     */
    @Test
    void clientsThatNeverCompleteARequestAreClosed() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> connection.answer("200 OK", "", "ok"));
            rig.start();
            try (TestServer.Client good = rig.client();
                    TestServer.Client silent = rig.client();
                    TestServer.Client half = rig.client();
                    TestServer.Client slow = rig.client()) {
                good.send(SidecarRig.getRequest("a1", 9_000));
                assertEquals(200, good.status());
                half.send("POST /api HTTP/1.1\r\nX-Txn: a2\r\nX-Lane: c\r\nX-Remaining-Ms: 9000\r\n"
                        + "Content-Length: 9\r\n\r\nhalf");
                slow.socket.setSoTimeout(20);
                slow.send("GET /api HTTP/1.1\r\nX-Slow: ");
                boolean open = true;
                for (int i = 0; open && i < 1_000; i++) {
                    try {
                        slow.send("x");
                        open = slow.socket.getInputStream().read() >= 0;
                    } catch (java.net.SocketTimeoutException e) {
                        // still open
                    } catch (java.io.IOException e) {
                        open = false;
                    }
                }
                assertFalse(open, "a client that sends byte by byte is still open");
                assertEquals(-1, silent.status());
                assertEquals(-1, half.status());
                good.send(SidecarRig.getRequest("a3", 9_000));
                assertEquals(200, good.status());
                assertTrue(rig.events.stream().noneMatch(event -> event.startsWith("request a2")));
            }
        }
    }

    private static void assertInvalid(String json, String... expected) {
        Config.InvalidConfigException e =
                assertThrows(Config.InvalidConfigException.class, () -> SidecarRig.parseConfig(json));
        for (String name : expected) {
            assertTrue(e.getMessage().contains(name), e.getMessage());
        }
        assertEquals(1, e.getMessage().lines().count());
    }

    @Test
    void anInvalidConfigurationIsReportedInOneLineThatNamesTheField() throws Exception {
        String good =
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"peers\":[\"127.0.0.1:7\"],\"known\":"
                        + SidecarRig.listJson(1, true, SidecarRig.entryJson("u", "127.0.0.1:8", "Ready", 7))
                        + ",\"settings\":" + SidecarRig.SETTINGS + ",\"new\":{\"x\":[1]}}";
        assertEquals(
                7000,
                SidecarRig.parseConfig(good)
                        .knownUpstreams()
                        .entries()
                        .get(0)
                        .upstream()
                        .startedUs());
        assertEquals(0x8c1f30d27a5be964L, SidecarRig.parseConfig(good).seed());
        assertInvalid("", "JSON");
        assertInvalid("[]", "JSON");
        assertInvalid("{\n\n", "JSON");
        assertInvalid(good.replace("\"listen\"", "\"x\""), "'listen' is missing");
        assertInvalid(good.replace("127.0.0.1:0", "localhost:0"), "listen");
        assertInvalid(good.replace("127.0.0.1:9", "127.0.0.1:99999"), "discovery");
        assertInvalid(good.replace("[\"127.0.0.1:7\"]", "7"), "peers");
        assertInvalid(good.replace("127.0.0.1:7", "7"), "peers");
        assertInvalid(good.replace("8c1f30d27a5be964", "seed!"), "seed");
        assertInvalid(good.replace("\"Ready\"", "\"Odd\""), "known", "lifecycle");
        assertInvalid(good.replace("\"balancers\":2,", ""), "settings", "balancers");
        assertInvalid(good.replace("\"balancers\":2", "\"balancers\":\"few\""), "settings", "balancers");
        assertThrows(Config.InvalidConfigException.class, () -> Config.read(Map.of()));
        assertThrows(
                Config.InvalidConfigException.class, () -> Config.read(Map.of("BALANCER_CONFIG", "/nowhere/at/all")));
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** However a connection is closed, a client that reads slowly and has sent more gets its complete response. */
@Timeout(60)
class LingeringCloseTest {
    /** More than a slow client's kernel accepts, so that the rest waits in the sidecar. */
    private static final String LONG_BODY = "x".repeat(60_000);

    /** Connects a client with a small receive buffer, sends a request and leaves the long response unread. */
    private static TestServer.Client connectSlowClient(SidecarRig rig, String request) throws Exception {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(2_048);
        socket.connect(rig.address());
        TestServer.Client client = new TestServer.Client(socket);
        client.send(request);
        rig.awaitEvent("outcome");
        return client;
    }

    private static SidecarRig rig() throws Exception {
        SidecarRig rig = new SidecarRig();
        rig.addUpstream((message, connection) -> connection.answer("200 OK", "", LONG_BODY));
        return rig;
    }

    private static void assertCompleteResponse(TestServer.Client client) throws IOException {
        TestServer.Message answer = client.answer();
        assertNotNull(answer);
        assertEquals(LONG_BODY.length(), answer.body().length());
    }

    private static String lastRequest(String id) {
        return SidecarRig.getRequest(id, 20_000).replace("Host: a\r\n", "Host: a\r\nConnection: close\r\n");
    }

    @Test
    void aClientThatSendsAfterItsLastResponseStillReadsAllOfIt() throws Exception {
        try (SidecarRig rig = rig().start();
                TestServer.Client client = connectSlowClient(rig, lastRequest("a1"))) {
            client.send(SidecarRig.getRequest("a2", 20_000));
            Thread.sleep(200);
            assertCompleteResponse(client);
            assertNull(client.answer());
            assertTrue(
                    rig.events.stream().noneMatch(event -> event.startsWith("request a2")),
                    "a request after the end was accepted");
        }
    }

    /**
     * Bytes that arrive after the output was shut down, while the response is still in transit, must not reset the
     * connection.
     */
    @Test
    void bytesThatArriveAfterTheEndDoNotTruncateTheResponse() throws Exception {
        try (SidecarRig rig = rig().start();
                TestServer.Client client = connectSlowClient(rig, lastRequest("a1"))) {
            for (int i = 0; i < 5; i++) {
                Thread.sleep(40);
                client.send("more");
            }
            assertCompleteResponse(client);
            assertNull(client.answer());
        }
    }

    @Test
    void theResponseBeforeAnInvalidRequestIsStillReadCompletely() throws Exception {
        try (SidecarRig rig = rig().start();
                TestServer.Client client = connectSlowClient(rig, SidecarRig.getRequest("a1", 20_000))) {
            client.send("RUBBISH\r\n\r\n");
            Thread.sleep(100);
            client.send("RUBBISH\r\n\r\n");
            Thread.sleep(100);
            assertCompleteResponse(client);
            assertEquals(400, client.status());
            assertNull(client.answer());
        }
    }

    @Test
    void aClientThatIsEvictedStillReadsAll() throws Exception {
        SidecarRig rig = rig();
        rig.maxSockets = 100;
        List<TestServer.Client> others = new ArrayList<>();
        try (rig) {
            rig.start();
            try (TestServer.Client client = connectSlowClient(rig, SidecarRig.getRequest("a1", 20_000))) {
                for (int i = 0; i < 40; i++) {
                    others.add(rig.client());
                }
                Thread.sleep(200);
                assertCompleteResponse(client);
            } finally {
                for (TestServer.Client other : others) {
                    other.close();
                }
            }
        }
    }

    @Test
    void bytesThatCrossTheCloseDuringAStopDoNotTruncateTheResponse() throws Exception {
        try (SidecarRig rig = rig().start();
                TestServer.Client client = connectSlowClient(rig, SidecarRig.getRequest("a1", 20_000))) {
            CountDownLatch stopped = new CountDownLatch(1);
            rig.sidecar.stop(stopped::countDown);
            // Idle connections are closed from 0.8 s on, 0.7 s before the process would be killed.
            Thread.sleep(900);
            client.send("GET /api");
            Thread.sleep(100);
            client.send("/slots");
            assertCompleteResponse(client);
            assertNull(client.answer());
            stopped.await();
        }
    }

    @Test
    void bytesThatCrossTheCloseDuringADrainDoNotTruncateTheResponse() throws Exception {
        try (SidecarRig rig = rig().withAdmin().start();
                TestServer.Client client = connectSlowClient(rig, SidecarRig.getRequest("a1", 20_000))) {
            assertEquals("ACK", rig.callAdmin("quiesce").substring(0, 3));
            // Connections that have been idle for half a second are closed from 0.6 s on.
            Thread.sleep(800);
            client.send("GET /api");
            Thread.sleep(100);
            client.send("/slots");
            assertCompleteResponse(client);
            assertNull(client.answer());
        }
    }

    /** Guards against waiting forever for a client to close its side. */
    @Test
    void aClientThatNeverClosesItsSideIsClosed() throws Exception {
        try (SidecarRig rig = rig().start();
                TestServer.Client client = rig.client()) {
            client.send(lastRequest("a1"));
            assertCompleteResponse(client);
            assertNull(client.answer());
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 400; i++) {
                    client.send("x");
                    Thread.sleep(50);
                }
            });
        }
    }

    /**
     * The upstream breaks off while half of the response is in the sidecar: the client receives all of that, then the
     * end of the connection.
     */
    @Test
    void aBrokenOffResponseIsDeliveredUpToItsEnd() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> {
                connection.raw("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "y".repeat(100_000));
                connection.socket().close();
            });
            rig.start();
            try (TestServer.Client client = connectSlowClient(rig, SidecarRig.getRequest("a1", 20_000))) {
                client.send(SidecarRig.getRequest("a2", 20_000));
                Thread.sleep(100);
                String received = client.rest();
                assertTrue(received.startsWith("HTTP/1.1 200 OK"), received.substring(0, 20));
                assertEquals(
                        100_000, received.chars().filter(other -> other == 'y').count());
            }
        }
    }
}

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

/** However a connection ends, a client that reads slowly and has sent more gets the whole of its answer. */
@Timeout(60)
class LingeringCloseTest {
    /** More than a slow client's kernel takes, so that the rest waits at the sidecar. */
    private static final String LONG = "x".repeat(60_000);

    /** A client whose kernel takes little, and which has been answered at length without reading any of it. */
    private static Peer.Client slow(SidecarRig rig, String request) throws Exception {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(2_048);
        socket.connect(rig.address());
        Peer.Client client = new Peer.Client(socket);
        client.send(request);
        rig.awaitEvent("outcome");
        return client;
    }

    private static SidecarRig rig() throws Exception {
        SidecarRig rig = new SidecarRig();
        rig.addUpstream((m, line) -> line.answer("200 OK", "", LONG));
        return rig;
    }

    private static void assertWhole(Peer.Client client) throws IOException {
        Peer.Message answer = client.answer();
        assertNotNull(answer);
        assertEquals(LONG.length(), answer.body().length());
    }

    private static String lastRequest(String id) {
        return SidecarRig.getRequest(id, 20_000).replace("Host: a\r\n", "Host: a\r\nConnection: close\r\n");
    }

    @Test
    void afterItsLastAnswerAClientThatSendsOnStillReadsAll() throws Exception {
        try (SidecarRig rig = rig().start();
                Peer.Client client = slow(rig, lastRequest("a1"))) {
            client.send(SidecarRig.getRequest("a2", 20_000));
            Thread.sleep(200);
            assertWhole(client);
            assertNull(client.answer());
            assertTrue(rig.events.stream().noneMatch(t -> t.startsWith("request a2")), "read after the end and taken");
        }
    }

    /** The bytes may come after the socket's end as well, while the answer is still on its way. */
    @Test
    void bytesThatComeAfterTheEndDoNotCutTheAnswerOff() throws Exception {
        try (SidecarRig rig = rig().start();
                Peer.Client client = slow(rig, lastRequest("a1"))) {
            for (int i = 0; i < 5; i++) {
                Thread.sleep(40);
                client.send("more");
            }
            assertWhole(client);
            assertNull(client.answer());
        }
    }

    @Test
    void afterBadInputTheAnswerBeforeIsStillRead() throws Exception {
        try (SidecarRig rig = rig().start();
                Peer.Client client = slow(rig, SidecarRig.getRequest("a1", 20_000))) {
            client.send("RUBBISH\r\n\r\n");
            Thread.sleep(100);
            client.send("RUBBISH\r\n\r\n");
            Thread.sleep(100);
            assertWhole(client);
            assertEquals(400, client.status());
            assertNull(client.answer());
        }
    }

    @Test
    void whoGivesUpItsPlaceStillReadsAll() throws Exception {
        SidecarRig rig = rig();
        rig.maxSockets = 100;
        List<Peer.Client> crowd = new ArrayList<>();
        try (rig) {
            rig.start();
            try (Peer.Client client = slow(rig, SidecarRig.getRequest("a1", 20_000))) {
                for (int i = 0; i < 40; i++) {
                    crowd.add(rig.client());
                }
                Thread.sleep(200);
                assertWhole(client);
            } finally {
                for (Peer.Client c : crowd) {
                    c.close();
                }
            }
        }
    }

    @Test
    void atTheStopWhatCrossesTheCloseDoesNotCutTheAnswerOff() throws Exception {
        try (SidecarRig rig = rig().start();
                Peer.Client client = slow(rig, SidecarRig.getRequest("a1", 20_000))) {
            CountDownLatch stopped = new CountDownLatch(1);
            rig.sidecar.stop(stopped::countDown);
            // Quiet connections are closed from 0.8 s on, 0.7 s before the end that is not asked for.
            Thread.sleep(900);
            client.send("GET /api");
            Thread.sleep(100);
            client.send("/slots");
            assertWhole(client);
            assertNull(client.answer());
            stopped.await();
        }
    }

    @Test
    void inADrainToo() throws Exception {
        try (SidecarRig rig = rig().withAdmin().start();
                Peer.Client client = slow(rig, SidecarRig.getRequest("a1", 20_000))) {
            assertEquals("ACK", rig.callAdmin("quiesce").substring(0, 3));
            // What has been quiet for half a second is closed from 0.6 s on.
            Thread.sleep(800);
            client.send("GET /api");
            Thread.sleep(100);
            client.send("/slots");
            assertWhole(client);
            assertNull(client.answer());
        }
    }

    /** Its end is not waited for without a bound. */
    @Test
    void aClientThatNeverEndsItsSideIsClosed() throws Exception {
        try (SidecarRig rig = rig().start();
                Peer.Client client = rig.client()) {
            client.send(lastRequest("a1"));
            assertWhole(client);
            assertNull(client.answer());
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 400; i++) {
                    client.send("x");
                    Thread.sleep(50);
                }
            });
        }
    }

    /** Half of it is in the sidecar when its upstream breaks off: the client sees all that came, and then its end. */
    @Test
    void whatCameOfABrokenAnswerIsSeenAndThenItsEnd() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "y".repeat(100_000));
                line.socket().close();
            });
            rig.start();
            try (Peer.Client client = slow(rig, SidecarRig.getRequest("a1", 20_000))) {
                client.send(SidecarRig.getRequest("a2", 20_000));
                Thread.sleep(100);
                String all = client.rest();
                assertTrue(all.startsWith("HTTP/1.1 200 OK"), all.substring(0, 20));
                assertEquals(100_000, all.chars().filter(c -> c == 'y').count());
            }
        }
    }
}

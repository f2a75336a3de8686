package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** No attempt is started for a client that has disconnected. */
@Timeout(60)
class ClientDisconnectTest {
    /** A listener with a full backlog: connects stay pending until the test makes room. */
    private static final class FullBacklogServer implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> filling = new ArrayList<>();

        FullBacklogServer() throws Exception {
            for (boolean full = false; !full; ) {
                Socket s = new Socket();
                filling.add(s);
                try {
                    s.connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), 150);
                } catch (java.net.SocketTimeoutException e) {
                    full = true;
                }
            }
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** Makes room and returns the first bytes that the sidecar sends; empty if it sends nothing. */
        String firstSent() throws Exception {
            for (Socket s : filling) {
                s.close();
            }
            // The kernel repeats an unanswered SYN after a second.
            server.setSoTimeout(1_800);
            try {
                while (true) {
                    Socket s = server.accept();
                    s.setSoTimeout(1_800);
                    String sent = new String(s.getInputStream().readNBytes(3));
                    if (!sent.isEmpty()) {
                        return sent;
                    }
                }
            } catch (java.net.SocketTimeoutException e) {
                return "";
            }
        }

        @Override
        public void close() throws Exception {
            server.close();
        }
    }

    /** Both ways of ending a connection expire the pending request at once. */
    @Test
    void aResetAndAHalfCloseCountAsDisconnect() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (TestServer.Client resets = rig.client()) {
                resets.send(SidecarRig.getRequest("a1", 3_000));
                rig.awaitEvent("request a1");
                resets.socket.setSoLinger(true, 0);
            }
            assertEquals("expired a1", rig.awaitEvent("expired"));
            try (TestServer.Client halfCloses = rig.client()) {
                halfCloses.send(SidecarRig.getRequest("a2", 3_000));
                rig.awaitEvent("request a2");
                halfCloses.socket.shutdownOutput();
                // The connection is closed without a response, long before the request's deadline.
                assertEquals(null, halfCloses.answer());
                assertEquals("expired a2", rig.awaitEvent("expired"));
            }
        }
    }

    /** The upstream connection is established a second after the client has disconnected. */
    @Test
    void nothingIsSentIfTheClientDisconnectsDuringTheConnect() throws Exception {
        try (FullBacklogServer blocked = new FullBacklogServer();
                SidecarRig rig = new SidecarRig((m, line) -> {})) {
            rig.discovery.handler = (m, line) -> line.answer(
                    "200 OK",
                    "",
                    SidecarRig.listJson(50, true, SidecarRig.entryJson("u0", blocked.address(), "Ready", 0)));
            rig.addUpstream((m, line) -> {});
            rig.start();
            rig.awaitEvent("list FULL u0=READY");
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("request a1");
            }
            assertEquals("expired a1", rig.awaitEvent("expired"));
            assertEquals("", blocked.firstSent());
        }
    }

    /** The module's permission is checked again after the connect, as the retry window may have closed meanwhile. */
    @Test
    void theModuleIsAskedAgainAfterTheConnect() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.mayStartWrite = false;
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("outcome a1 0 NOT_SENT false -", rig.awaitEvent("outcome"));
                assertEquals(502, client.status());
                assertEquals(-1, up.accepted.take().getInputStream().read());
                assertEquals(0, up.messages.size());
            }
        }
    }

    /** The request and the end of the connection are both unread when the event loop continues, and the request is read first. */
    @Test
    void nothingIsSentForAClientThatDisconnectedDuringAStall() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a0", 20_000));
                assertEquals(200, client.status());
                rig.stallLoop(200, () -> {
                    client.send(SidecarRig.getRequest("a1", 20_000));
                    client.close();
                });
                rig.awaitEvent("request a1");
                rig.awaitEvent("expired a1");
                assertEquals(1, up.messages.size());
            }
        }
    }

    /** The list update is unread when the event loop continues; the order in which sockets are read must not matter. */
    @Test
    void nothingIsSentToAnUpstreamThatDrainedDuringAStall() throws Exception {
        for (int i = 0; i < 3; i++) {
            BlockingQueue<TestServer.Connection> watches = new LinkedBlockingQueue<>();
            try (SidecarRig rig = new SidecarRig((m, line) -> {
                if (m.path().contains("wait=0")) {
                    line.answer("200 OK", "", SidecarRig.listJson(41, false));
                } else {
                    watches.add(line);
                }
            })) {
                TestServer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
                rig.start();
                TestServer.Connection watch = watches.take();
                try (TestServer.Client client = rig.client()) {
                    client.send(SidecarRig.getRequest("a0", 20_000));
                    assertEquals(200, client.status());
                    rig.stallLoop(200, () -> {
                        client.send(SidecarRig.getRequest("a1", 20_000));
                        watch.answer(
                                "200 OK",
                                "",
                                SidecarRig.listJson(
                                        42, false, SidecarRig.entryJson("u0", up.address(), "Terminating", 0)));
                    });
                    rig.awaitEvent("outcome a0");
                    assertEquals("outcome a1 0 NOT_SENT false -", rig.awaitEvent("outcome"));
                    assertEquals(1, up.messages.size());
                }
            }
        }
    }

    /** A hedged attempt that is still connecting is dropped once the other one has answered. */
    @Test
    void aHedgedAttemptIsNotSentOnceAnotherHasAnswered() throws Exception {
        try (FullBacklogServer blocked = new FullBacklogServer();
                SidecarRig rig = new SidecarRig((m, line) -> {})) {
            TestServer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.discovery.handler = (m, line) -> line.answer(
                    "200 OK",
                    "",
                    SidecarRig.listJson(
                            50,
                            true,
                            SidecarRig.entryJson("u0", blocked.address(), "Ready", 0),
                            SidecarRig.entryJson("u1", up.address(), "Ready", 0)));
            rig.onRequest = (now, r, out) -> {
                out.send(r.id(), "u0", 0);
                out.send(r.id(), "u1", 0);
            };
            rig.start();
            rig.awaitEvent("list FULL u0=READY,u1=READY");
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("served", client.answer().body());
            }
            assertEquals("", blocked.firstSent());
        }
    }

    /** The end of the connection is behind all pipelined requests. */
    @Test
    void aDisconnectBehindPipelinedRequestsIsDetected() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (TestServer.Client client = rig.client()) {
                StringBuilder pipelined = new StringBuilder();
                for (int i = 0; i < 400; i++) {
                    pipelined.append(SidecarRig.getRequest("a" + i, 20_000));
                }
                client.send(pipelined.toString());
            }
            assertEquals("expired a0", rig.awaitEvent("expired"));
            assertEquals(
                    0, rig.events.stream().filter(t -> t.startsWith("request")).count());
        }
    }

    /** No attempt consumes the body yet, and its buffer is full. */
    @Test
    void aDisconnectWithinABufferedBodyIsDetected() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(upload("a1", 1_000_000) + "x".repeat(100_000));
                rig.awaitEvent("request a1");
            }
            assertEquals("expired a1", rig.awaitEvent("expired"));
        }
    }

    /** More unread data than is buffered hides a disconnect, so no attempt may be started. */
    @Test
    void aRequestIsRefusedIfADisconnectCouldNotBeDetected() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(upload("a1", 1_000_000) + "x".repeat(400_000));
                assertEquals(503, client.status());
                assertEquals("expired a1", rig.awaitEvent("expired"));
                assertEquals(0, up.messages.size());
            }
        }
    }

    @Test
    void eachRequestReadIsAnsweredIfPipeliningExceedsTheBuffer() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (TestServer.Client client = rig.client()) {
                StringBuilder pipelined = new StringBuilder();
                for (int i = 0; i < 2_000; i++) {
                    pipelined.append(SidecarRig.getRequest("a" + i, 20_000));
                }
                client.send(pipelined.toString());
                int refused = 0;
                for (int status; (status = client.status()) != -1; ) {
                    assertEquals(503, status);
                    refused++;
                }
                assertTrue(refused >= 100, refused + " answers");
                assertEquals(0, up.messages.size());
            }
        }
    }

    /** The body waited for memory, and nothing was read from the client meanwhile. */
    @Test
    void nothingIsSentForAClientThatDisconnectedWhileItsBodyWaitedForMemory() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.start();
            java.util.List<TestServer.Client> filling = new ArrayList<>();
            try {
                // 192 bodies of 64 KiB use up the budget.
                for (int i = 0; i < 192; i++) {
                    filling.add(rig.client().send(upload("f" + i, 65_536)));
                }
                Thread.sleep(100);
                try (TestServer.Client client = rig.client()) {
                    client.send(upload("a1", 60_000) + "x".repeat(60_000));
                }
                Thread.sleep(150);
                filling.get(0).close();
                rig.awaitEvent("request a1");
                rig.awaitEvent("expired a1");
                assertEquals(0, up.messages.size());
            } finally {
                for (TestServer.Client c : filling) {
                    c.close();
                }
            }
        }
    }

    private static String upload(String id, int length) {
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: " + id
                + "\r\nX-Lane: c\r\nX-Remaining-Ms: 20000\r\nContent-Length: " + length + "\r\n\r\n";
    }
}

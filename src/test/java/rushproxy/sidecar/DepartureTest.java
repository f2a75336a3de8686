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

/** A client that closes its connection has gone: nothing is begun for it any more. */
@Timeout(60)
class DepartureTest {
    /** An upstream whose connections come up only when the test lets them: its backlog is full until then. */
    private static final class SlowDoor implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> filling = new ArrayList<>();

        SlowDoor() throws Exception {
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

        /** What the first connection sends that was not opened here; empty where it sends nothing before its end. */
        String firstSent() throws Exception {
            for (Socket s : filling) {
                s.close();
            }
            // A connection that found no room is tried again after a second.
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

    /** In whichever way it ends its side: the request it waits for is over at once. */
    @Test
    void aResetAndAHalfCloseAreDeparturesToo() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (Peer.Client resets = rig.client()) {
                resets.send(SidecarRig.getRequest("a1", 3_000));
                rig.awaitEvent("request a1");
                resets.socket.setSoLinger(true, 0);
            }
            assertEquals("expired a1", rig.awaitEvent("expired"));
            try (Peer.Client halfCloses = rig.client()) {
                halfCloses.send(SidecarRig.getRequest("a2", 3_000));
                rig.awaitEvent("request a2");
                halfCloses.socket.shutdownOutput();
                // Its end, not an answer: the time of the request is not over by far.
                assertEquals(null, halfCloses.answer());
                assertEquals("expired a2", rig.awaitEvent("expired"));
            }
        }
    }

    /** The connection for its attempt comes up a second after the client has gone. */
    @Test
    void nothingIsSentWhenTheConnectionComesUpAfterTheClientHasGone() throws Exception {
        try (SlowDoor door = new SlowDoor();
                SidecarRig rig = new SidecarRig((m, line) -> {})) {
            rig.discovery.script = (m, line) -> line.answer(
                    "200 OK",
                    "",
                    SidecarRig.listJson(50, true, SidecarRig.entryJson("u0", door.address(), "Ready", 0)));
            rig.addUpstream((m, line) -> {});
            rig.start();
            rig.awaitEvent("list FULL u0=READY");
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("request a1");
            }
            assertEquals("expired a1", rig.awaitEvent("expired"));
            assertEquals("", door.firstSent());
        }
    }

    /** The module is asked again once the connection is up: the window of a repeat may have closed meanwhile. */
    @Test
    void theModuleHasTheLastWordOnceTheConnectionIsUp() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.mayStartWrite = false;
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("outcome a1 0 NOT_SENT false -", rig.awaitEvent("outcome"));
                assertEquals(502, client.status());
                assertEquals(-1, up.accepted.take().getInputStream().read());
                assertEquals(0, up.messages.size());
            }
        }
    }

    /** Its request and its departure lie there together, and the request is read first. */
    @Test
    void nothingIsSentForAClientThatLeftWhileTheLoopWasHeldUp() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.start();
            try (Peer.Client client = rig.client()) {
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

    /** The news that an upstream drains lies there as well: the order in which sockets are read must not matter. */
    @Test
    void nothingIsSentToAnUpstreamWhoseDrainLiesUnreadWhileTheLoopWasHeldUp() throws Exception {
        for (int i = 0; i < 3; i++) {
            BlockingQueue<Peer.Line> watches = new LinkedBlockingQueue<>();
            try (SidecarRig rig = new SidecarRig((m, line) -> {
                if (m.path().contains("wait=0")) {
                    line.answer("200 OK", "", SidecarRig.listJson(41, false));
                } else {
                    watches.add(line);
                }
            })) {
                Peer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
                rig.start();
                Peer.Line watch = watches.take();
                try (Peer.Client client = rig.client()) {
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

    /** A class may allow a second copy: once one has served, the other is not begun. */
    @Test
    void aCopyWhoseConnectionStillComesUpIsNotSentOnceAnotherHasServed() throws Exception {
        try (SlowDoor door = new SlowDoor();
                SidecarRig rig = new SidecarRig((m, line) -> {})) {
            Peer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.discovery.script = (m, line) -> line.answer(
                    "200 OK",
                    "",
                    SidecarRig.listJson(
                            50,
                            true,
                            SidecarRig.entryJson("u0", door.address(), "Ready", 0),
                            SidecarRig.entryJson("u1", up.address(), "Ready", 0)));
            rig.onRequest = (now, r, out) -> {
                out.send(r.id(), "u0", 0);
                out.send(r.id(), "u1", 0);
            };
            rig.start();
            rig.awaitEvent("list FULL u0=READY,u1=READY");
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("served", client.answer().body());
            }
            assertEquals("", door.firstSent());
        }
    }

    /** Its end lies behind all that it has sent ahead. */
    @Test
    void aClientThatSendsManyRequestsAndGoesIsSeenToHaveGone() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (Peer.Client client = rig.client()) {
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < 400; i++) {
                    all.append(SidecarRig.getRequest("a" + i, 20_000));
                }
                client.send(all.toString());
            }
            assertEquals("expired a0", rig.awaitEvent("expired"));
            assertEquals(
                    0, rig.events.stream().filter(t -> t.startsWith("request")).count());
        }
    }

    /** No attempt has taken of its body yet, and what is kept of it is full. */
    @Test
    void aClientThatGoesWithinALongBodyThatWaitsIsSeenToHaveGone() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(upload("a1", 1_000_000) + "x".repeat(100_000));
                rig.awaitEvent("request a1");
            }
            assertEquals("expired a1", rig.awaitEvent("expired"));
        }
    }

    /** Behind so much that it can't be read: nothing may be begun for a client that nobody can see. */
    @Test
    void whatWaitsForAClientThatCannotBeWatchedIsRefusedAndNeverBegun() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(upload("a1", 1_000_000) + "x".repeat(400_000));
                assertEquals(503, client.status());
                assertEquals("expired a1", rig.awaitEvent("expired"));
                assertEquals(0, up.messages.size());
            }
        }
    }

    @Test
    void aClientThatSendsMoreAheadThanIsKeptGetsAnAnswerToAllThatWasRead() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (Peer.Client client = rig.client()) {
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < 2_000; i++) {
                    all.append(SidecarRig.getRequest("a" + i, 20_000));
                }
                client.send(all.toString());
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

    /** It waited for room in memory, and nothing was read until there was some. */
    @Test
    void aClientThatLeftWhileItsBodyWaitedForRoomIsSentNothingFor() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.start();
            java.util.List<Peer.Client> filling = new ArrayList<>();
            try {
                // 192 of 64 KiB are all that may be kept.
                for (int i = 0; i < 192; i++) {
                    filling.add(rig.client().send(upload("f" + i, 65_536)));
                }
                Thread.sleep(100);
                try (Peer.Client client = rig.client()) {
                    client.send(upload("a1", 60_000) + "x".repeat(60_000));
                }
                Thread.sleep(150);
                filling.get(0).close();
                rig.awaitEvent("request a1");
                rig.awaitEvent("expired a1");
                assertEquals(0, up.messages.size());
            } finally {
                for (Peer.Client c : filling) {
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

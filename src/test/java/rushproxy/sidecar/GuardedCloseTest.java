package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushproxy.sidecar.Invariants.Breach;

/** Whatever asks for a client's connection to be closed, what it carries gets an answer first. */
@Timeout(60)
class GuardedCloseTest {
    private static ClientConnection only(SidecarRig rig) {
        return rig.sidecar.clients().connections().iterator().next();
    }

    private static void awaitOpen(SidecarRig rig) throws Exception {
        while (rig.sidecar.loop().submit(() -> rig.sidecar.clients().open()).get(20, TimeUnit.SECONDS) == 0) {
            Thread.onSpinWait();
        }
    }

    private interface Work {
        void on(ClientConnection connection);
    }

    private static void onLoop(SidecarRig rig, Work work) throws Exception {
        rig.sidecar.loop().submit(() -> work.on(only(rig))).get(20, TimeUnit.SECONDS);
    }

    @Test
    void aRequestInHandIsAnsweredBeforeItsConnectionCloses() throws Exception {
        for (CloseReason reason :
                new CloseReason[] {CloseReason.ROOM_NEEDED, CloseReason.STOPPING, CloseReason.DRAINING}) {
            try (SidecarRig rig = new SidecarRig()) {
                rig.addUpstream((m, line) -> {});
                rig.start();
                try (Peer.Client client = rig.client().send(SidecarRig.getRequest("a1", 20_000))) {
                    rig.awaitEvent("request a1");
                    onLoop(rig, connection -> connection.close(reason));
                    assertEquals(502, client.status(), reason.words());
                    assertEquals(
                            Map.of(Breach.CLOSED_WITH_A_REQUEST, 1),
                            rig.sidecar.invariants().counts());
                }
            }
        }
    }

    /** The same where the connection, which has had an answer before, is to end in order. */
    @Test
    void aRequestInHandIsAnsweredBeforeItsConnectionEnds() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {
                if (m.header("X-Txn").equals("a0")) {
                    line.answer("200 OK", "", "fine");
                }
            });
            rig.start();
            try (Peer.Client client = rig.client().send(SidecarRig.getRequest("a0", 20_000))) {
                assertEquals(200, client.status());
                client.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("request a1");
                onLoop(rig, connection -> connection.end(CloseReason.STOPPING));
                assertEquals(502, client.status());
            }
        }
    }

    @Test
    void aNewConnectionIsNotClosedForOthers() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.answer("200 OK", "", "fine"));
            rig.start();
            try (Peer.Client client = rig.client()) {
                awaitOpen(rig);
                onLoop(rig, connection -> {
                    if (connection.isYoung()) {
                        connection.close(CloseReason.ROOM_NEEDED);
                        assertEquals(
                                Map.of(Breach.CLOSED_YOUNG, 1),
                                rig.sidecar.invariants().counts());
                    }
                });
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals(200, client.status());
            }
        }
    }

    /** Guards against keeping, and counting as a breach, a new connection whose output has ended, where its place is wanted. */
    @Test
    void aNewConnectionWhoseOutputHasEndedMakesRoom() throws Exception {
        try (SidecarRig rig = new SidecarRig();
                Peer.Client client = rig.start().client()) {
            client.send("no request\r\n\r\n");
            assertEquals(400, client.status());
            onLoop(rig, connection -> {
                assertTrue(connection.lingers());
                connection.close(CloseReason.ROOM_NEEDED);
                assertEquals(Map.of(), rig.sidecar.invariants().counts());
                assertEquals(0, rig.sidecar.clients().open());
            });
        }
    }

    /** Guards against keeping a client that stopped within its request for longer, by the time that it waited to be accepted. */
    @Test
    void aClientThatStoppedInTheQueueIsWaitedForFromItsFirstBytes() throws Exception {
        try (SidecarRig rig = new SidecarRig();
                Peer.Client client = queuedHalfWay(rig.start())) {
            awaitOpen(rig);
            long patienceUs = 700_000;
            boolean young = true;
            while (young) {
                TimeUnit.MILLISECONDS.sleep(5);
                young = rig.sidecar.loop().submit(() -> only(rig).isYoung()).get(20, TimeUnit.SECONDS);
            }
            onLoop(rig, connection -> {
                connection.closeIfUnfinished(new Clock().nowUs(), patienceUs, patienceUs);
                assertEquals(0, rig.sidecar.clients().open());
            });
        }
    }

    /** Its first bytes have lain in the kernel for 0.6 s when it is accepted. */
    private static Peer.Client queuedHalfWay(SidecarRig rig) throws Exception {
        Peer.Client[] client = new Peer.Client[1];
        rig.stallLoop(600, () -> client[0] = rig.client().send("GET /api/slots HTTP/1.1\r\nX-Txn: "));
        return client[0];
    }

    /** Until the end of a drain is due; from then on none may be idle. */
    @Test
    void aNewConnectionIsSparedUntilADrainIsDue() throws Exception {
        try (SidecarRig rig = new SidecarRig();
                Peer.Client client = rig.start().client()) {
            awaitOpen(rig);
            onLoop(rig, connection -> {
                if (connection.isYoung()) {
                    assertFalse(connection.closeIfQuiet(Long.MAX_VALUE, Long.MAX_VALUE, true, CloseReason.DRAINING));
                    assertTrue(connection.closeIfQuiet(Long.MAX_VALUE, Long.MAX_VALUE, false, CloseReason.DRAINING));
                }
            });
        }
    }

    /** A fault of this program, or want of memory, in a handler. */
    @Test
    void aHandlerThatThrowsLosesNoRequest() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.start();
            try (Peer.Client whole = rig.client().send(SidecarRig.getRequest("a1", 20_000))) {
                rig.awaitEvent("request a1");
                onLoop(
                        rig,
                        connection -> connection
                                .channel()
                                .pipeline()
                                .fireExceptionCaught(new IllegalStateException("as the test wants")));
                assertEquals(502, whole.status(), "a request in hand");
            }
        }
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.start();
            try (Peer.Client half = rig.client()
                    .send("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: a2\r\nX-Lane: c\r\nX-Remaining-Ms: 20000\r\n"
                            + "Content-Length: 9\r\n\r\nhalf")) {
                while (rig.sidecar
                        .loop()
                        .submit(() ->
                                rig.sidecar.clients().connections().stream().noneMatch(c -> !c.quiet()))
                        .get(20, TimeUnit.SECONDS)) {
                    Thread.onSpinWait();
                }
                onLoop(
                        rig,
                        connection -> connection
                                .channel()
                                .pipeline()
                                .fireExceptionCaught(new OutOfMemoryError("as the test wants")));
                assertEquals(500, half.status(), "half a request");
            }
        }
    }

    /** Its client's end could not be seen: no attempt may begin any more, and without one it is refused. */
    @Test
    void whatCanNotBeReadForLongIsRefusedIfNothingWasSent() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (Peer.Client client = rig.client().send(SidecarRig.getRequest("a1", 20_000))) {
                rig.awaitEvent("request a1");
                onLoop(
                        rig,
                        connection -> connection
                                .channel()
                                .pipeline()
                                .fireUserEventTriggered(TcpConnection.ReadFailure.FOR_LONG));
                assertEquals(503, client.status());
            }
        }
    }

    /** It has been quiet for long, and its request lies in the socket: it is read before it could be closed. */
    @Test
    void whatLiesUnreadOnAQuietConnectionIsReadBeforeItCloses() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.answer("200 OK", "", "fine"));
            rig.start();
            try (Peer.Client client = rig.client().send(SidecarRig.getRequest("a1", 20_000))) {
                assertEquals(200, client.status());
                rig.stallLoop(20, () -> {
                    // Runs before the loop's next look at its sockets.
                    rig.sidecar.loop().execute(() -> {
                        boolean closed = only(rig).closeUnlessItBrings(CloseReason.ROOM_NEEDED);
                        assertNotEquals(true, closed);
                    });
                    client.send(SidecarRig.getRequest("a2", 20_000));
                });
                assertEquals(200, client.status());
                assertTrue(rig.sidecar.invariants().counts().isEmpty());
            }
        }
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A crowd of clients that stop within their requests holds all slots, and other clients wait behind it to be accepted. */
@Timeout(60)
class ClientCrowdTest {
    private static final int SLOTS = 16;
    /** Of the crowd, those that wait to be accepted like everybody else. */
    private static final int QUEUED = 6;
    /** A request that was taken has its final answer half a second after its time, however short that is. */
    private static final long ANSWER_DUE_MS = 500;

    private static final long STEP_MS = 20;
    private static final long PATIENCE_MS = 20_000;
    private static final String HALF_HEAD = "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: half\r\nX-La";
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";

    private final List<TestServer.Client> clients = new ArrayList<>();
    private SidecarRig rig;

    @BeforeEach
    void startSidecar() throws Exception {
        rig = new SidecarRig();
        rig.addUpstream((message, connection) -> connection.answer("200 OK", "", message.header("X-Txn")));
        rig.maxSockets = 48 + 2 * SLOTS;
        rig.start();
    }

    @AfterEach
    void closeAll() throws Exception {
        for (TestServer.Client client : clients) {
            client.close();
        }
        rig.close();
    }

    private TestServer.Client connect() throws Exception {
        TestServer.Client client = rig.client();
        clients.add(client);
        return client;
    }

    private void awaitOnLoop(BooleanSupplier condition) throws Exception {
        while (!rig.sidecar.loop().submit(condition::getAsBoolean).get(20, TimeUnit.SECONDS)) {
            Thread.sleep(1);
        }
    }

    private void awaitPhase(ClientPhase phase, int count) throws Exception {
        awaitOnLoop(() -> rig.sidecar.clients().countByPhase().getOrDefault(phase, 0) >= count);
    }

    /** Takes all slots with clients that send {@code text}, and stops the clock. */
    private void fillSlots(String text, ClientPhase phase) throws Exception {
        for (int i = 0; i < SLOTS; i++) {
            connect().send(text.replace("half", "half" + i));
        }
        awaitPhase(phase, SLOTS);
        rig.clock.freeze();
    }

    private void advanceStepwise(long ms) throws Exception {
        for (long passed = 0; passed < ms; passed += STEP_MS) {
            rig.advanceTime(STEP_MS);
        }
    }

    /** The request has been read by the time at which the clock stands, and is served. */
    private void assertServed(String id, TestServer.Client client) throws Exception {
        rig.awaitEvent("request " + id + " ");
        rig.clock.resume();
        assertEquals(id, client.answer().body());
    }

    private void assertServedBehind(String text) throws Exception {
        for (int i = 0; i < QUEUED; i++) {
            connect().send(text.replace("half", "queued" + i));
        }
        TestServer.Client client = connect().send(SidecarRig.getRequest("real", PATIENCE_MS));
        advanceStepwise(ANSWER_DUE_MS);
        assertServed("real", client);
        assertEquals(Map.of(), rig.sidecar.invariants().counts());
    }

    /** Guards against clients that stop within their heads and keep others unread in the accept queue until they time out. */
    @Test
    void clientsThatStopWithinTheirHeadsGiveWay() throws Exception {
        fillSlots(HALF_HEAD, ClientPhase.WITHIN_HEAD);
        assertServedBehind(HALF_HEAD);
    }

    /** Guards against the same by clients that stop within their bodies. */
    @Test
    void clientsThatStopWithinTheirBodiesGiveWay() throws Exception {
        String halfBody = "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: half\r\nX-Lane: c\r\nX-Remaining-Ms: 9000\r\n"
                + "Content-Length: 9\r\n\r\npart";
        fillSlots(halfBody, ClientPhase.WITHIN_BODY);
        assertServedBehind(halfBody);
    }

    /** Guards against the same by clients that have been served before on their connections. */
    @Test
    void clientsThatStopWithinALaterRequestGiveWay() throws Exception {
        for (int i = 0; i < SLOTS; i++) {
            assertEquals(200, connect().send(READY).status());
            clients.get(i).send(HALF_HEAD);
            awaitPhase(ClientPhase.WITHIN_HEAD, i + 1);
        }
        rig.clock.freeze();
        assertServedBehind(HALF_HEAD);
    }

    /** Guards against the same by clients that send a byte now and then. */
    @Test
    void clientsThatTrickleGiveWay() throws Exception {
        fillSlots(HALF_HEAD, ClientPhase.WITHIN_HEAD);
        TestServer.Client client = connect().send(SidecarRig.getRequest("real", PATIENCE_MS));
        for (long ms = 0; ms < ANSWER_DUE_MS; ms += 2 * STEP_MS) {
            rig.advanceTime(STEP_MS);
            rig.advanceTime(STEP_MS);
            sendByteOfEach(clients.subList(0, SLOTS));
            awaitOnLoop(() -> rig.sidecar.clients().connections().stream()
                    .filter(connection -> connection.phase() == ClientPhase.WITHIN_HEAD)
                    .allMatch(connection ->
                            rig.clock.nowUs() - connection.activity().lastReceivedUs() < 100_000));
        }
        assertServed("real", client);
    }

    private static void sendByteOfEach(List<TestServer.Client> senders) {
        for (TestServer.Client sender : senders) {
            try {
                sender.send("b");
            } catch (IOException e) {
                // It has given way.
            }
        }
    }

    /** Guards against closing a client that writes its request slowly while others have stopped in theirs. */
    @Test
    void aClientThatGoesOnSendingOutlastsThoseThatStopped() throws Exception {
        TestServer.Client slow = connect().send("GET /api HTTP/1.1\r\nHost: a\r\n");
        awaitPhase(ClientPhase.WITHIN_HEAD, 1);
        for (int i = 1; i < SLOTS; i++) {
            connect().send(HALF_HEAD);
        }
        awaitPhase(ClientPhase.WITHIN_HEAD, SLOTS);
        rig.clock.freeze();
        TestServer.Client other = connect().send(SidecarRig.getRequest("other", PATIENCE_MS));
        for (int i = 0; i < 4; i++) {
            advanceStepwise(120);
            slow.send("X-Piece" + i + ": 1\r\n");
            awaitOnLoop(() -> rig.sidecar.clients().connections().stream()
                    .anyMatch(connection ->
                            rig.clock.nowUs() - connection.activity().lastReceivedUs() < 100_000));
        }
        rig.awaitEvent("request other ");
        slow.send("X-Txn: slow\r\nX-Lane: c\r\nX-Remaining-Ms: 20000\r\n\r\n");
        assertServed("slow", slow);
        assertEquals("other", other.answer().body());
    }

    /** Guards against closing clients for their slots while there are others. */
    @Test
    void aClientThatStoppedIsKeptWhileSlotsAreFree() throws Exception {
        TestServer.Client stopped = connect().send("GET /api HTTP/1.1\r\nHost: a\r\n");
        for (int i = 2; i < SLOTS; i++) {
            connect().send(HALF_HEAD);
        }
        awaitPhase(ClientPhase.WITHIN_HEAD, SLOTS - 1);
        rig.clock.freeze();
        advanceStepwise(1_900);
        stopped.send("X-Txn: late\r\nX-Lane: c\r\nX-Remaining-Ms: 20000\r\n\r\n");
        assertServed("late", stopped);
    }

    /** Guards against closing a client for its slot whose last byte lies unread in the socket. */
    @Test
    void aClientWhoseLastByteHasArrivedIsServed() throws Exception {
        TestServer.Client client = connect().send("GET /api HTTP/1.1\r\nHost: a\r\n");
        awaitPhase(ClientPhase.WITHIN_HEAD, 1);
        rig.clock.freeze();
        rig.stallLoop(() -> {
            rig.sidecar.loop().execute(() -> {
                rig.clock.advance(300);
                ClientConnection connection =
                        rig.sidecar.clients().connections().iterator().next();
                assertTrue(connection.isStalled(rig.clock.nowUs()));
                assertFalse(connection.closeUnlessRequestArrived(CloseReason.ROOM_NEEDED));
            });
            client.send("X-Txn: whole\r\nX-Lane: c\r\nX-Remaining-Ms: 20000\r\n\r\n");
        });
        assertServed("whole", client);
    }

    /** Guards against closing clients whose requests lie unread after the process was held up for longer than they may take. */
    @Test
    void aRequestThatArrivedDuringALongDelayIsServed() throws Exception {
        TestServer.Client client = connect();
        awaitPhase(ClientPhase.IDLE, 1);
        rig.clock.freeze();
        rig.stallLoop(() -> {
            rig.sidecar.loop().execute(() -> {
                rig.clock.advance(3_000);
                rig.sidecar
                        .clients()
                        .connections()
                        .forEach(connection -> connection.closeIfTimedOut(rig.clock.nowUs(), 2_500_000, 2_700_000));
            });
            client.send(SidecarRig.getRequest("whole", PATIENCE_MS));
        });
        assertServed("whole", client);
    }

    /** Guards against closing, unread, the very client that is accepted after a long wait behind a crowd. */
    @Test
    void aClientThatWaitedLongForItsAcceptIsNotClosedUnread() throws Exception {
        for (int i = 0; i < SLOTS - 1; i++) {
            connect().send(HALF_HEAD);
        }
        awaitPhase(ClientPhase.WITHIN_HEAD, SLOTS - 1);
        rig.clock.freeze();
        List<TestServer.Client> waiting = new ArrayList<>();
        rig.stallLoop(() -> {
            for (int i = 0; i < 3; i++) {
                waiting.add(connect().send(SidecarRig.getRequest("waits" + i, PATIENCE_MS)));
            }
            // The kernel's clock can't be moved by the test.
            Thread.sleep(300);
        });
        advanceStepwise(ANSWER_DUE_MS);
        rig.clock.resume();
        for (int i = 0; i < waiting.size(); i++) {
            assertEquals("waits" + i, waiting.get(i).answer().body());
        }
    }
}

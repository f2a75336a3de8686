package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Those who only come to stay, or stop half way, take nobody's place for long; who is slow has no less time. */
@Timeout(60)
class CrowdTest {
    private static SidecarRig rig() throws Exception {
        SidecarRig rig = new SidecarRig().withAdmin();
        rig.addUpstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
        // Sixteen connections for clients.
        rig.maxSockets = 48 + 2 * 16;
        return rig;
    }

    @Test
    void whoStopsHalfWayKeepsNobodyOut() throws Exception {
        try (SidecarRig rig = rig().start()) {
            List<Peer.Client> half = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                half.add(
                        rig.client()
                                .send(
                                        i % 2 == 0
                                                ? "GET /api HT"
                                                : "POST /api HTTP/1.1\r\nX-Txn: h" + i
                                                        + "\r\nX-Lane: c\r\nX-Remaining-Ms: 9000\r\nContent-Length: 9\r\n\r\nhalf"));
                // An answer here says that what was sent before it has been read.
                assertEquals("ACK\n", rig.callAdmin("health"), "the operators wait for no client");
            }
            try (Peer.Client real = rig.client()) {
                real.send(SidecarRig.getRequest("real", 20_000));
                assertEquals("real", real.answer().body());
            }
            for (Peer.Client c : half) {
                c.close();
            }
            assertTrue(rig.events.stream().noneMatch(t -> t.startsWith("request h")));
        }
    }

    /** All others are busy, and two come at once: the first must not make room for the second with its request unread. */
    @Test
    void whoHasJustComeMakesNoRoom() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.maxSockets = 48 + 2 * 16;
            rig.start();
            List<Peer.Client> clients = new ArrayList<>();
            try {
                for (int i = 0; i < 14; i++) {
                    clients.add(rig.client().send(SidecarRig.getRequest("busy" + i, 20_000)));
                    rig.awaitEvent("request busy" + i);
                }
                rig.stallLoop(20, () -> {
                    clients.add(rig.client().send(SidecarRig.getRequest("first", 20_000)));
                    clients.add(rig.client().send(SidecarRig.getRequest("second", 20_000)));
                });
                // Neither has an answer yet, and neither is closed.
                for (Peer.Client c : clients.subList(14, 16)) {
                    c.socket.setSoTimeout(300);
                    assertThrows(SocketTimeoutException.class, c::answer);
                }
            } finally {
                for (Peer.Client c : clients) {
                    c.close();
                }
            }
        }
    }

    /** It waited in the kernel's queue, with its client's end behind it: how long can't be known, so nothing is sent for it. */
    @Test
    void whoLeftBeforeItWasLetInIsSentNothingFor() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer upstream = rig.addUpstream((m, line) -> {
                if (m.header("X-Txn").startsWith("warm")) {
                    line.answer("200 OK", "", "fine");
                }
            });
            rig.maxSockets = 48 + 2 * 16;
            rig.start();
            // As under load: the loop looks at its sockets all the time.
            rig.sidecar.loop().scheduleAtFixedRate(() -> {}, 1, 1, TimeUnit.MILLISECONDS);
            List<Peer.Client> clients = new ArrayList<>();
            try {
                for (int i = 0; i < 12; i++) {
                    clients.add(rig.client());
                }
                // Connections to the upstream that rest: a call on one of them begins at once.
                for (int i = 0; i < 12; i++) {
                    clients.get(i).send(SidecarRig.getRequest("warm" + i, 20_000));
                }
                for (Peer.Client c : clients) {
                    assertEquals(200, c.status());
                }
                for (int i = 0; i < 4; i++) {
                    clients.add(rig.client().send(SidecarRig.getRequest("busy" + i, 20_000)));
                    rig.awaitEvent("request busy" + i);
                }
                for (int i = 0; i < 12; i++) {
                    clients.get(i).send("GET /api HT");
                }
                for (int i = 0; i < 10; i++) {
                    try (Peer.Client leaves = rig.client()) {
                        leaves.send(SidecarRig.getRequest("left" + i, 20_000));
                    }
                }
                Thread.sleep(150);
                clients.get(12).close();
                rig.awaitEvent("request left9");
                Thread.sleep(300);
                assertEquals(
                        List.of(),
                        upstream.messages.stream()
                                .map(m -> m.header("X-Txn"))
                                .filter(id -> id.startsWith("left"))
                                .toList());
            } finally {
                for (Peer.Client c : clients) {
                    c.close();
                }
            }
        }
    }

    /** Its time runs from the last byte: counted from the first it would be over before it has begun. */
    @Test
    void aHeadThatIsWrittenSlowlyHasItsWholeTime() throws Exception {
        try (SidecarRig rig = rig().start();
                Peer.Client slow = rig.client()) {
            String text = SidecarRig.getRequest("a1", 500);
            slow.send(text.substring(0, 40));
            Thread.sleep(800);
            slow.send(text.substring(40));
            assertEquals(200, slow.status());
            assertFalse(rig.awaitEvent("request a1").endsWith(" 1"), "no time was left to it");
        }
    }

    /** Its body lies in the kernel, so its time runs: a refusal is due before its end, not after a second. */
    @Test
    void whatFindsNoRoomIsRefusedWithinItsTime() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.start();
            List<Peer.Client> filling = new ArrayList<>();
            try {
                // 192 of 64 KiB are all that may be kept.
                for (int i = 0; i < 192; i++) {
                    filling.add(rig.client().send(upload("f" + i, 20_000, 65_536)));
                }
                awaitBusy(rig, filling.size());
                BlockingQueue<String> answered = new LinkedBlockingQueue<>();
                for (int i = 0; i < 4; i++) {
                    filling.add(refused(rig, "patient" + i, 20_000, answered));
                }
                filling.add(refused(rig, "hasty", 300, answered));
                assertEquals("hasty 503", answered.poll(20, TimeUnit.SECONDS));
            } finally {
                for (Peer.Client c : filling) {
                    c.close();
                }
            }
        }
    }

    /** It waited for room unread: its client has counted that time. */
    @Test
    void whatWaitedForRoomHasLessTimeLeft() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, r, out) -> out.refuse(r.id(), 0);
            rig.start();
            List<Peer.Client> filling = new ArrayList<>();
            try {
                for (int i = 0; i < 192; i++) {
                    filling.add(rig.client().send(upload("f" + i, 20_000, 65_536)));
                }
                awaitBusy(rig, filling.size());
                try (Peer.Client client = rig.client()) {
                    client.send(upload("a1", 2_000, 60_000) + "x".repeat(60_000));
                    Thread.sleep(300);
                    filling.get(0).close();
                    long givenUs = Long.parseLong(rig.awaitEvent("request a1 ").split(" ")[2]);
                    assertTrue(givenUs < 1_700_000, givenUs + " us");
                    assertEquals(503, client.status());
                }
            } finally {
                for (Peer.Client c : filling) {
                    c.close();
                }
            }
        }
    }

    /** Until so many clients have brought a head, and hold the room that they asked for. */
    private static void awaitBusy(SidecarRig rig, int clients) throws Exception {
        long busy;
        do {
            Thread.sleep(5);
            busy = rig.sidecar
                    .loop()
                    .submit(() -> rig.sidecar.clients().connections().stream()
                            .filter(ClientConnection::isBusy)
                            .count())
                    .get();
        } while (busy < clients);
    }

    /** Sends a whole body and tells, on a thread of its own, how it was answered. */
    private static Peer.Client refused(SidecarRig rig, String id, long remainingMs, BlockingQueue<String> answered)
            throws Exception {
        Peer.Client client = rig.client().send(upload(id, remainingMs, 60_000) + "x".repeat(60_000));
        Thread reader = new Thread(() -> {
            try {
                answered.add(id + " " + client.status());
            } catch (IOException e) {
                answered.add(id + " " + e);
            }
        });
        reader.setDaemon(true);
        reader.start();
        return client;
    }

    private static String upload(String id, long remainingMs, int length) {
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: c\r\nX-Remaining-Ms: " + remainingMs
                + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    @Test
    void whatIsKeptHasABoundAndGoesInTurn() {
        Budget budget = new Budget(100);
        List<String> granted = new ArrayList<>();
        assertTrue(budget.take(60));
        budget.ask(50, () -> granted.add("a"));
        Runnable no = budget.ask(10, () -> granted.add("b"));
        budget.ask(40, () -> granted.add("c"));
        assertFalse(budget.take(1), "who asks first is first");
        no.run();
        assertEquals(List.of(), granted);
        budget.give(60);
        assertEquals(List.of("a", "c"), granted);
        budget.give(50);
        assertTrue(budget.take(60));
    }

    /** Guards against refusing, for want of room that there is, those behind one that waited for more and left. */
    @Test
    void whoLeavesTheQueueForRoomLetsThoseBehindItThrough() {
        Budget budget = new Budget(100);
        List<String> granted = new ArrayList<>();
        assertTrue(budget.take(60));
        Runnable leaves = budget.ask(50, () -> granted.add("a"));
        budget.ask(30, () -> granted.add("b"));
        budget.ask(20, () -> granted.add("c"));
        leaves.run();
        assertEquals(List.of("b"), granted);
        // What has left already changes nothing, and c waits for its turn.
        leaves.run();
        budget.give(10);
        assertEquals(List.of("b", "c"), granted);
    }
}

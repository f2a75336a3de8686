package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A planned stop loses nothing that a client has sent. */
@Timeout(60)
class ShutdownTest {
    /** The longest deadline, and with it the time until the end that is not asked for, leaves room for a slow machine. */
    private static SidecarRig rig() throws Exception {
        SidecarRig rig = new SidecarRig();
        rig.settings = SidecarRig.SETTINGS.replace("\"give_up_us\":800000", "\"give_up_us\":3000000");
        return rig;
    }

    @Test
    void newConnectionsAndHalfReadRequestsAreServedAfterTheStopWasAskedFor() throws Exception {
        try (SidecarRig rig = rig()) {
            CountDownLatch answer = new CountDownLatch(1);
            rig.upstream((m, line) -> {
                if (m.header("X-Txn").equals("held")) {
                    try {
                        answer.await();
                    } catch (InterruptedException e) {
                        throw new java.io.InterruptedIOException();
                    }
                }
                line.answer("200 OK", "", m.header("X-Txn"));
            });
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (Peer.Client held = rig.client();
                    Peer.Client half = rig.client();
                    Peer.Client idle = rig.client()) {
                held.send(SidecarRig.get("held", 30_000));
                rig.awaitEvent("request held");
                idle.send(SidecarRig.get("before", 30_000));
                assertEquals("before", idle.answer().body());
                String text = SidecarRig.get("half", 30_000);
                half.send(text.substring(0, 30));
                rig.sidecar.stop(stopped::countDown);
                try (Peer.Client fresh = rig.client()) {
                    fresh.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                    assertEquals(503, fresh.status());
                    for (int i = 0; i < 3; i++) {
                        fresh.send(SidecarRig.get("fresh" + i, 30_000));
                        assertEquals("fresh" + i, fresh.answer().body(), "clients have nowhere else to go");
                        idle.send(SidecarRig.get("again" + i, 30_000));
                        assertEquals("again" + i, idle.answer().body());
                    }
                    half.send(text.substring(30));
                    assertEquals("half", half.answer().body());
                    assertEquals(1, stopped.getCount(), "it stopped with a request held");
                    answer.countDown();
                    assertEquals("held", held.answer().body());
                    // Before the end they are told, or closed between requests.
                    assertEquals(null, fresh.answer());
                    assertEquals(null, idle.answer());
                    assertEquals(null, held.answer());
                }
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
            }
        }
    }

    /** The end that is not asked for comes the longest deadline and 0.7 s after the stop: an answer comes before it. */
    @Test
    void whatIsTakenAfterTheStopIsAnsweredBeforeTheEnd() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.upstream((m, line) -> {});
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            rig.sidecar.stop(stopped::countDown);
            try (Peer.Client late = rig.client()) {
                late.send(SidecarRig.get("late", 30_000));
                Peer.Message m = late.answer();
                assertTrue(m.head().startsWith("HTTP/1.1 502 "), m.head());
                assertEquals("close", m.header("Connection"));
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Its class may give it more time than there is between the stop and the end: it gets an answer all the same. */
    @Test
    void whatWasHeldBeforeTheStopIsAnsweredBeforeTheEnd() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.upstream((m, line) -> {});
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (Peer.Client held = rig.client()) {
                held.send(SidecarRig.get("held", 30_000));
                rig.awaitEvent("request held");
                rig.sidecar.stop(stopped::countDown);
                Peer.Message m = held.answer();
                assertTrue(m != null && m.head().startsWith("HTTP/1.1 502 "), () -> "" + m);
                rig.awaitEvent("outcome held 0 TIMEOUT");
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Only what ends by itself loses an answer that still flows: whoever is killed with one does not. */
    @Test
    void anAnswerThatFlowsIsWaitedFor() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            CountDownLatch more = new CountDownLatch(1);
            rig.upstream((m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                try {
                    do {
                        line.raw("400\r\n" + "x".repeat(1_024) + "\r\n");
                    } while (!more.await(10, TimeUnit.MILLISECONDS));
                } catch (InterruptedException e) {
                    throw new java.io.InterruptedIOException();
                }
                line.raw("3\r\ndef\r\n0\r\n\r\n");
            });
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (Peer.Client reads = rig.client()) {
                reads.send(SidecarRig.get("long", 30_000));
                rig.awaitEvent("begins long");
                rig.sidecar.stop(stopped::countDown);
                // The end would have come by now: 0.8 s, the longest deadline here, and 0.7 s.
                assertTrue(!stopped.await(2, TimeUnit.SECONDS), "it left with half of an answer");
                more.countDown();
                assertTrue(reads.rest().endsWith("0\r\n\r\n"));
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** One that stands still has an end that its client can recognise before the process may be killed. */
    @Test
    void anAnswerThatStandsStillIsBrokenOffBeforeTheEnd() throws Exception {
        for (int bytes : new int[] {10_000, 100_000}) {
            try (SidecarRig rig = new SidecarRig()) {
                rig.upstream((m, line) -> line.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n"));
                rig.start();
                CountDownLatch stopped = new CountDownLatch(1);
                try (Peer.Client reads = rig.client()) {
                    reads.send(SidecarRig.get("long", 30_000));
                    rig.upstreams.get(0).next();
                    long sinceNanos = System.nanoTime();
                    rig.sidecar.stop(stopped::countDown);
                    assertTrue(!reads.rest().endsWith("0\r\n\r\n"));
                    long tookMs = (System.nanoTime() - sinceNanos) / 1_000_000;
                    assertTrue(
                            tookMs < 1_500, bytes + " bytes that stand still were broken off after " + tookMs + " ms");
                }
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
            }
        }
    }

    /** A close between requests may cross one: its client sends it once more, and finds a listener and an answer. */
    @Test
    void whatCrossedACloseIsServedOnANewConnection() throws Exception {
        try (SidecarRig rig = rig()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (Peer.Client idle = rig.client()) {
                idle.send(SidecarRig.get("before", 30_000));
                assertEquals("before", idle.answer().body());
                rig.sidecar.stop(stopped::countDown);
                assertEquals(null, idle.answer());
                // The loop looks every 20 ms: several looks are over before the client is back.
                assertTrue(!stopped.await(60, TimeUnit.MILLISECONDS), "it has left with the close");
                try (Peer.Client again = rig.client()) {
                    again.send(SidecarRig.get("again", 30_000));
                    assertEquals("again", again.answer().body());
                }
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** A body that is still coming belongs to a request that was begun before the stop. */
    @Test
    void theRestOfABodyIsTakenAfterTheStopWasAskedFor() throws Exception {
        try (SidecarRig rig = rig()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", m.body()));
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (Peer.Client half = rig.client();
                    Peer.Client other = rig.client()) {
                half.send(SidecarRig.get("half", 30_000)
                        .replace("GET", "POST")
                        .replace("\r\n\r\n", "\r\nContent-Length: 6\r\n\r\nabc"));
                // Answered on the same loop: what was sent before has been read.
                other.send(SidecarRig.get("other", 30_000));
                assertEquals("", other.answer().body());
                rig.sidecar.stop(stopped::countDown);
                other.send(SidecarRig.get("again", 30_000));
                assertEquals("", other.answer().body());
                half.send("def");
                assertEquals("abcdef", half.answer().body());
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** The platform may ask again: the time runs from the first call, and the end comes once. */
    /** Half a request is left at the end: its connection has ended by then, so that the rest can't be lost with the process. */
    @Test
    void atItsEndNoConnectionIsLeftThatCouldBringARequest() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", "ok"));
            rig.start();
            CountDownLatch over = new CountDownLatch(1);
            CountDownLatch looked = new CountDownLatch(1);
            try (Peer.Client answered = rig.client();
                    Peer.Client half = rig.client()) {
                answered.send(SidecarRig.get("a1", 9_000));
                assertEquals(200, answered.status());
                rig.sidecar.stop(() -> {
                    over.countDown();
                    try {
                        // Nothing that comes later may end the connections in its place.
                        looked.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                // The end is 1.5 s after the stop; what is half here 0.35 s before it ends as well.
                Thread.sleep(700);
                half.send("GET /api HTTP/1.1\r\nX-Slow: ");
                over.await();
                half.socket.setSoTimeout(1_000);
                answered.socket.setSoTimeout(1_000);
                assertEquals(-1, half.status());
                assertEquals(-1, answered.status());
            } finally {
                looked.countDown();
            }
        }
    }

    @Test
    void askedTwiceItStopsOnce() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            CountDownLatch again = new CountDownLatch(1);
            rig.sidecar.stop(stopped::countDown);
            rig.sidecar.stop(again::countDown);
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            assertTrue(!again.await(300, TimeUnit.MILLISECONDS), "it ended twice");
        }
    }

    /** Half a request whose client has fallen silent holds up the stop no longer than a client would wait. */
    @Test
    void aClientThatFellSilentDoesNotKeepTheSidecarFromEnding() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (Peer.Client half = rig.client()) {
                half.send("GET /api HTTP/1.1\r\nX-T");
                rig.sidecar.stop(stopped::countDown);
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
                assertEquals(null, half.answer());
            }
        }
    }

    /** Beyond the cap an idle connection makes room; otherwise new ones would wait for ever. */
    @Test
    void idleClientsMakeRoomForNewOnes() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", "ok"));
            rig.maxSockets = 48 + 2 * 16;
            rig.start();
            Peer.Client[] clients = new Peer.Client[40];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = rig.client();
                clients[i].send(SidecarRig.get("c" + i, 30_000));
                assertEquals(200, clients[i].status());
            }
            assertEquals(null, clients[0].answer());
            for (Peer.Client c : clients) {
                c.close();
            }
        }
    }
}

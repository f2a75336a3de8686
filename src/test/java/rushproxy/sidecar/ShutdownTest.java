package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A graceful shutdown loses no request. */
@Timeout(60)
class ShutdownTest {
    private static final int PIECES = 10;
    private static final int PIECE_BYTES = 32_000;

    /** Uses a longer deadline, and so a later forced end, to leave room for a slow machine. */
    private static SidecarRig rig() throws Exception {
        SidecarRig rig = new SidecarRig();
        rig.settings = SidecarRig.SETTINGS.replace("\"give_up_us\":800000", "\"give_up_us\":3000000");
        return rig;
    }

    @Test
    void newConnectionsAndPartialRequestsAreServedDuringShutdown() throws Exception {
        try (SidecarRig rig = rig()) {
            CountDownLatch answer = new CountDownLatch(1);
            rig.addUpstream((m, line) -> {
                if (m.header("X-Txn").equals("pending")) {
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
            try (TestServer.Client pending = rig.client();
                    TestServer.Client half = rig.client();
                    TestServer.Client idle = rig.client()) {
                pending.send(SidecarRig.getRequest("pending", 30_000));
                rig.awaitEvent("request pending");
                idle.send(SidecarRig.getRequest("before", 30_000));
                assertEquals("before", idle.answer().body());
                String text = SidecarRig.getRequest("half", 30_000);
                half.send(text.substring(0, 30));
                rig.sidecar.stop(stopped::countDown);
                try (TestServer.Client newcomer = rig.client()) {
                    newcomer.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                    assertEquals(503, newcomer.status());
                    for (int i = 0; i < 3; i++) {
                        newcomer.send(SidecarRig.getRequest("fresh" + i, 30_000));
                        assertEquals("fresh" + i, newcomer.answer().body(), "new connections must still be served");
                        idle.send(SidecarRig.getRequest("again" + i, 30_000));
                        assertEquals("again" + i, idle.answer().body());
                    }
                    half.send(text.substring(30));
                    assertEquals("half", half.answer().body());
                    assertEquals(1, stopped.getCount(), "stopped with a request pending");
                    answer.countDown();
                    assertEquals("pending", pending.answer().body());
                    // All connections are closed before the process ends.
                    assertEquals(null, newcomer.answer());
                    assertEquals(null, idle.answer());
                    assertEquals(null, pending.answer());
                }
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
            }
        }
    }

    /** SIGKILL may follow the stop after the longest deadline plus 0.7 s: the response has to be sent before that. */
    @Test
    void requestsReceivedDuringShutdownAreAnsweredBeforeTheKill() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            rig.sidecar.stop(stopped::countDown);
            try (TestServer.Client late = rig.client()) {
                late.send(SidecarRig.getRequest("late", 30_000));
                TestServer.Message m = late.answer();
                assertTrue(m.head().startsWith("HTTP/1.1 502 "), m.head());
                assertEquals("close", m.header("Connection"));
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against pending requests whose deadline lies after the kill: they must be answered before it. */
    @Test
    void requestsPendingAtTheStopAreAnsweredBeforeTheKill() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (TestServer.Client pending = rig.client()) {
                pending.send(SidecarRig.getRequest("pending", 30_000));
                rig.awaitEvent("request pending");
                rig.sidecar.stop(stopped::countDown);
                TestServer.Message m = pending.answer();
                assertTrue(m != null && m.head().startsWith("HTTP/1.1 502 "), () -> "" + m);
                rig.awaitEvent("outcome pending 0 TIMEOUT");
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against a process that exits, before any kill, while a response is still being streamed. */
    @Test
    void shutdownWaitsForAStreamingResponse() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            CountDownLatch more = new CountDownLatch(1);
            rig.addUpstream((m, line) -> {
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
            try (TestServer.Client reads = rig.client()) {
                reads.send(SidecarRig.getRequest("long", 30_000));
                rig.awaitEvent("begins long");
                rig.sidecar.stop(stopped::countDown);
                // Past the time of the kill, which is the longest deadline, 0.8 s here, plus 0.7 s.
                assertTrue(!stopped.await(2, TimeUnit.SECONDS), "stopped in the middle of a response");
                more.countDown();
                assertTrue(reads.rest().endsWith("0\r\n\r\n"));
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Writes a response of 320 kB in ten pieces. */
    private static void sendPieces(TestServer.Connection connection, boolean chunked, long everyMs)
            throws java.io.IOException {
        String piece = "x".repeat(PIECE_BYTES);
        connection.raw("HTTP/1.1 200 OK\r\n"
                + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + PIECES * PIECE_BYTES) + "\r\n\r\n");
        try {
            for (int i = 0; i < PIECES; i++) {
                connection.raw(chunked ? Integer.toHexString(PIECE_BYTES) + "\r\n" + piece + "\r\n" : piece);
                TimeUnit.MILLISECONDS.sleep(everyMs);
            }
        } catch (InterruptedException e) {
            throw new java.io.InterruptedIOException();
        }
        connection.raw(chunked ? "0\r\n\r\n" : "");
    }

    /** Guards against a response that is begun after the stop and cut off by the end of the process (review, case 9). */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aResponseThatCanNotEndBeforeTheKillIsNotBegun(boolean chunked) throws Exception {
        try (SidecarRig rig = rig()) {
            rig.addUpstream((m, line) -> sendPieces(line, chunked, 480));
            rig.start();
            rig.sidecar.stop(() -> {});
            try (TestServer.Client late = rig.client()) {
                long sentNanos = System.nanoTime();
                late.send(SidecarRig.getRequest("late", 300));
                assertEquals(502, late.status());
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
                assertTrue(tookMs <= 300 + 500 + 50, tookMs + " ms");
            }
        }
    }

    /** Guards against long responses that are turned away in a stop though they end well before the kill. */
    @ParameterizedTest
    @CsvSource({"false, 0", "true, 0", "false, 60", "true, 60"})
    void aLongResponseThatEndsBeforeTheKillIsServed(boolean chunked, long everyMs) throws Exception {
        try (SidecarRig rig = rig()) {
            rig.addUpstream((m, line) -> sendPieces(line, chunked, everyMs));
            rig.start();
            rig.sidecar.stop(() -> {});
            try (TestServer.Client late = rig.client()) {
                late.send(SidecarRig.getRequest("late", 700));
                String text = late.rest();
                assertTrue(text.startsWith("HTTP/1.1 200 "), text.substring(0, Math.min(100, text.length())));
                assertEquals(
                        PIECES * PIECE_BYTES, text.chars().filter(c -> c == 'x').count());
            }
        }
    }

    /** Guards against a process that cuts off, before any kill, what was taken before the stop and still comes. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aResponseThatStillComesAtTheEndIsWaitedFor(boolean chunked) throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> sendPieces(line, chunked, 300));
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (TestServer.Client reads = rig.client()) {
                reads.send(SidecarRig.getRequest("long", 700));
                rig.awaitEvent("begins long");
                // The kill is due 1.5 s later, and the response takes twice as long.
                rig.sidecar.stop(stopped::countDown);
                assertEquals(
                        PIECES * PIECE_BYTES,
                        reads.rest().chars().filter(c -> c == 'x').count());
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against a stalled response that the client can't tell from a complete one when the process is killed. */
    @Test
    void aStalledResponseIsAbortedBeforeTheKill() throws Exception {
        for (int bytes : new int[] {10_000, 100_000}) {
            try (SidecarRig rig = new SidecarRig()) {
                rig.addUpstream((m, line) -> line.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n"));
                rig.start();
                CountDownLatch stopped = new CountDownLatch(1);
                try (TestServer.Client reads = rig.client()) {
                    reads.send(SidecarRig.getRequest("long", 30_000));
                    rig.upstreams.get(0).next();
                    long sinceNanos = System.nanoTime();
                    rig.sidecar.stop(stopped::countDown);
                    assertTrue(!reads.rest().endsWith("0\r\n\r\n"));
                    long tookMs = (System.nanoTime() - sinceNanos) / 1_000_000;
                    assertTrue(
                            tookMs < 1_500,
                            bytes + " bytes of a stalled response were aborted after " + tookMs + " ms");
                }
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
            }
        }
    }

    /** A close between requests may cross a request, whose client repeats it: there must still be a listener to serve it. */
    @Test
    void aRequestThatCrossedACloseIsServedOnANewConnection() throws Exception {
        try (SidecarRig rig = rig()) {
            rig.addUpstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (TestServer.Client idle = rig.client()) {
                idle.send(SidecarRig.getRequest("before", 30_000));
                assertEquals("before", idle.answer().body());
                rig.sidecar.stop(stopped::countDown);
                assertEquals(null, idle.answer());
                // Shutdown checks its state every 20 ms, so several checks pass before the client returns.
                assertTrue(!stopped.await(60, TimeUnit.MILLISECONDS), "stopped right after the close");
                try (TestServer.Client again = rig.client()) {
                    again.send(SidecarRig.getRequest("again", 30_000));
                    assertEquals("again", again.answer().body());
                }
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** A body still being received belongs to a request that began before the stop. */
    @Test
    void theRestOfABodyIsReceivedDuringShutdown() throws Exception {
        try (SidecarRig rig = rig()) {
            rig.addUpstream((m, line) -> line.answer("200 OK", "", m.body()));
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (TestServer.Client half = rig.client();
                    TestServer.Client other = rig.client()) {
                half.send(SidecarRig.getRequest("half", 30_000)
                        .replace("GET", "POST")
                        .replace("\r\n\r\n", "\r\nContent-Length: 6\r\n\r\nabc"));
                // Answered by the same event loop, so everything sent before has been read.
                other.send(SidecarRig.getRequest("other", 30_000));
                assertEquals("", other.answer().body());
                rig.sidecar.stop(stopped::countDown);
                other.send(SidecarRig.getRequest("again", 30_000));
                assertEquals("", other.answer().body());
                half.send("def");
                assertEquals("abcdef", half.answer().body());
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against a connection with a partial request that is still open at the end, so that the rest is lost with the process. */
    @Test
    void allConnectionsAreClosedWhenShutdownCompletes() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.answer("200 OK", "", "ok"));
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            CountDownLatch checked = new CountDownLatch(1);
            try (TestServer.Client answered = rig.client();
                    TestServer.Client half = rig.client()) {
                answered.send(SidecarRig.getRequest("a1", 9_000));
                assertEquals(200, answered.status());
                rig.sidecar.stop(() -> {
                    stopped.countDown();
                    try {
                        // Blocks the loop, so that nothing can close the connections after this point.
                        checked.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                // The end is 1.5 s after the stop. From 0.35 s before it partial requests are closed as well.
                Thread.sleep(700);
                half.send("GET /api HTTP/1.1\r\nX-Slow: ");
                stopped.await();
                half.socket.setSoTimeout(1_000);
                answered.socket.setSoTimeout(1_000);
                assertEquals(-1, half.status());
                assertEquals(-1, answered.status());
            } finally {
                checked.countDown();
            }
        }
    }

    /** The platform may signal twice: the time runs from the first signal, and the process ends once. */
    @Test
    void aSecondStopIsIgnored() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            CountDownLatch again = new CountDownLatch(1);
            rig.sidecar.stop(stopped::countDown);
            rig.sidecar.stop(again::countDown);
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            assertTrue(!again.await(300, TimeUnit.MILLISECONDS), "stopped twice");
        }
    }

    /** A partial request whose client sends nothing more delays the shutdown no longer than a client would wait. */
    @Test
    void aSilentClientDoesNotBlockShutdown() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (TestServer.Client half = rig.client()) {
                half.send("GET /api HTTP/1.1\r\nX-T");
                rig.sidecar.stop(stopped::countDown);
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
                assertEquals(null, half.answer());
            }
        }
    }

    /** Guards against new connections that wait for ever once idle ones have reached the limit. */
    @Test
    void idleConnectionsAreClosedToAdmitNewOnes() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.answer("200 OK", "", "ok"));
            rig.maxSockets = 48 + 2 * 16;
            rig.start();
            TestServer.Client[] clients = new TestServer.Client[40];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = rig.client();
                clients[i].send(SidecarRig.getRequest("c" + i, 30_000));
                assertEquals(200, clients[i].status());
            }
            assertEquals(null, clients[0].answer());
            for (TestServer.Client c : clients) {
                c.close();
            }
        }
    }
}

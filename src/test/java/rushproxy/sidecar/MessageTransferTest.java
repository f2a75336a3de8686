package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Messages of any length and framing are transferred completely, or so that both sides can tell that they were not. */
@Timeout(120)
class MessageTransferTest {
    private static final int LONG_BYTES = 8 << 20;

    private static String post(String id, String framing) {
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: c\r\nX-Remaining-Ms: 20000\r\n" + framing
                + "\r\n";
    }

    private static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = (byte) (i * 31 + i / 251);
        }
        return bytes;
    }

    private static String chunks(byte[] body, int size, String extension, String trailer) {
        StringBuilder text = new StringBuilder();
        for (int at = 0; at < body.length; at += size) {
            int length = Math.min(size, body.length - at);
            text.append(Integer.toHexString(length))
                    .append(extension)
                    .append("\r\n")
                    .append(new String(body, at, length, StandardCharsets.ISO_8859_1))
                    .append("\r\n");
        }
        return text + "0\r\n" + trailer + "\r\n";
    }

    /** Reads a head, then a body by its length or its chunks. Null if it breaks off. */
    private static byte[] readBody(InputStream in) throws Exception {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        TestServer.Message message = new TestServer.Message(head.toString(), "");
        if (message.header("Content-Length") != null) {
            int length = Integer.parseInt(message.header("Content-Length"));
            byte[] body = in.readNBytes(length);
            return body.length == length ? body : null;
        }
        var body = new java.io.ByteArrayOutputStream();
        while (true) {
            StringBuilder sizeLine = new StringBuilder();
            for (int next; (next = in.read()) != '\n'; ) {
                if (next < 0) {
                    return null;
                }
                sizeLine.append((char) next);
            }
            int length = Integer.parseInt(sizeLine.toString().trim().split(";")[0], 16);
            byte[] piece = in.readNBytes(length + 2);
            if (piece.length < length + 2) {
                return null;
            }
            if (length == 0) {
                return body.toByteArray();
            }
            body.write(piece, 0, length);
        }
    }

    /** Starts an upstream that echoes the body of each request, which may be chunked. */
    private static void echo(SidecarRig rig, List<byte[]> received) throws Exception {
        rig.addUpstream((message, connection) -> {
            try {
                InputStream in = connection.socket().getInputStream();
                byte[] body = message.body().getBytes(StandardCharsets.ISO_8859_1);
                if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
                    body = readBody(new java.io.SequenceInputStream(
                            new java.io.ByteArrayInputStream("HTTP/1.1 200 OK\r\n\r\n".getBytes()), in));
                }
                synchronized (received) {
                    received.add(body);
                }
                connection.raw("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                connection.socket().getOutputStream().write(body);
            } catch (java.io.IOException e) {
                throw e;
            } catch (Exception e) {
                throw new java.io.IOException(e);
            }
        });
    }

    @Test
    void requestBodiesOfAnyFramingArriveUnchanged() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            List<byte[]> received = new ArrayList<>();
            echo(rig, received);
            rig.start();
            int id = 0;
            for (int length : new int[] {0, 1, 65_535, 65_536, 65_537, 300_000, LONG_BYTES}) {
                byte[] body = bytes(length);
                for (boolean chunked : new boolean[] {false, true}) {
                    try (TestServer.Client client = rig.client()) {
                        String name = "b" + id++;
                        Thread sender = new Thread(() -> {
                            try {
                                OutputStream actions = client.socket.getOutputStream();
                                client.send(post(
                                        name,
                                        chunked
                                                ? "Transfer-Encoding: chunked\r\n"
                                                : "Content-Length: " + length + "\r\n"));
                                actions.write(
                                        chunked
                                                ? chunks(body, 7_001, ";a=\"b\"", "X-Sum: 1\r\n")
                                                        .getBytes(StandardCharsets.ISO_8859_1)
                                                : body);
                                actions.flush();
                            } catch (java.io.IOException e) {
                                // the assertion on the response fails
                            }
                        });
                        sender.start();
                        org.junit.jupiter.api.Assertions.assertArrayEquals(
                                body, readBody(client.socket.getInputStream()), name);
                        sender.join();
                        // The connection stays usable.
                        client.send(SidecarRig.getRequest(name + "x", 20_000));
                        assertEquals(200, client.status());
                    }
                }
            }
        }
    }

    @Test
    void responsesOfAnyFramingArriveCompletely() throws Exception {
        byte[] body = bytes(500_000);
        String text = new String(body, StandardCharsets.ISO_8859_1);
        List<TestServer.Handler> handlers = List.of(
                (message, connection) -> connection.answer("200 OK", "", text),
                (message, connection) -> connection.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + chunks(body, 9_999, ";x", "T: 1\r\n")),
                (message, connection) -> {
                    connection.raw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + text);
                    connection.socket().shutdownOutput();
                },
                (message, connection) ->
                        connection.raw("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                                + "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + text));
        for (TestServer.Handler handler : handlers) {
            try (SidecarRig rig = new SidecarRig()) {
                rig.addUpstream(handler);
                rig.start();
                try (TestServer.Client client = rig.client()) {
                    for (int i = 0; i < 2; i++) {
                        client.send(SidecarRig.getRequest("a" + i, 20_000));
                        org.junit.jupiter.api.Assertions.assertArrayEquals(
                                body, readBody(client.socket.getInputStream()));
                        assertEquals("begins a" + i + " 0", rig.awaitEvent("begins"));
                        assertEquals("outcome a" + i + " 0 OK true -", rig.awaitEvent("outcome"));
                    }
                }
            }
        }
    }

    /** Guards against clients that mistake a part of a response for all of it. */
    @Test
    void aResponseThatBreaksOffIsRecognisablyIncomplete() throws Exception {
        for (String head : new String[] {
            "Content-Length: 900000\r\n\r\n" + "x".repeat(400_000),
            "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + "x".repeat(200_000) + "\r\n30d40\r\nhalf"
        }) {
            try (SidecarRig rig = new SidecarRig()) {
                rig.addUpstream((message, connection) -> {
                    connection.raw("HTTP/1.1 200 OK\r\n" + head);
                    connection.socket().close();
                });
                rig.start();
                try (TestServer.Client client = rig.client()) {
                    client.send(SidecarRig.getRequest("a1", 20_000));
                    assertEquals(null, readBody(client.socket.getInputStream()));
                    assertEquals("outcome a1 0 RESET true -", rig.awaitEvent("outcome"));
                }
            }
        }
    }

    /** Sends {@code count} chunks with a pause after each. */
    private static void sendChunks(TestServer.Connection connection, int count, int bytes, long pauseMs)
            throws java.io.IOException {
        String chunk = Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
        try {
            for (int i = 0; i < count; i++) {
                connection.raw(chunk);
                Thread.sleep(pauseMs);
            }
        } catch (InterruptedException e) {
            throw new java.io.InterruptedIOException();
        }
    }

    /**
     * Guards against buffering a slow response of unknown length until 64 KiB have arrived, and against cutting it off
     * at the deadline.
     */
    @Test
    void aSlowResponseOfUnknownLengthIsStreamed() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> {
                connection.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                sendChunks(connection, 40, 1_000, 30);
                connection.raw("4\r\nlast\r\n0\r\n\r\n");
            });
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 500));
                rig.awaitEvent("begins a1");
                assertEquals(40_004, readBody(client.socket.getInputStream()).length);
            }
        }
    }

    /** Only the first bytes of a long response must arrive by the deadline; it may pause past it. */
    @Test
    void aLongResponseMayPausePastItsDeadline() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> {
                connection.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                sendChunks(connection, 1, 70_000, 900);
                connection.raw("4\r\nlast\r\n0\r\n\r\n");
            });
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 500));
                assertEquals(70_004, readBody(client.socket.getInputStream()).length);
            }
        }
    }

    /** Nothing was streamed yet, so the client gets an error in time and the connection stays open. */
    @Test
    void aShortResponseThatStallsIsAnsweredAsFailed() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Semaphore stalled = new Semaphore(0);
            rig.addUpstream((message, connection) -> {
                connection.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
                stalled.release();
            });
            // The clock only moves once the response has stalled, however late that is. The kernel's ages still
            // advance, so the request's time is longer than any of them.
            rig.clock.freeze();
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                stalled.acquire();
                rig.clock.advance(20_000);
                assertEquals(502, client.status());
                assertEquals("outcome a1 0 TIMEOUT false -", rig.awaitEvent("outcome a1"));
                client.send(SidecarRig.getRequest("a2", 20_000));
                stalled.acquire();
                rig.clock.advance(20_000);
                assertEquals(502, client.status());
            }
        }
    }

    /**
     * The response was streamed because it made progress, and then stalls: at the deadline the client sees that it is
     * incomplete.
     */
    @Test
    void aStreamedShortResponseThatStallsIsBrokenOff() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> {
                connection.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                sendChunks(connection, 10, 1_000, 10);
            });
            rig.start();
            try (TestServer.Client client = rig.client()) {
                long sentNanos = System.nanoTime();
                client.send(SidecarRig.getRequest("a1", 800));
                rig.awaitEvent("begins a1");
                assertEquals(null, readBody(client.socket.getInputStream()));
                long tookMs = (System.nanoTime() - sentNanos) / 1_000_000;
                assertTrue(tookMs < 5_000, "broken off after " + tookMs + " ms");
                assertEquals("outcome a1 0 RESET true -", rig.awaitEvent("outcome a1"));
            }
        }
    }

    /**
     * Guards against buffering a whole response for a client that does not read: only a window of it may be in transit.
     */
    @Test
    void aClientThatDoesNotReadAppliesBackpressureToTheUpstream() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            long[] written = new long[1];
            CountDownLatch ended = new CountDownLatch(1);
            rig.addUpstream((message, connection) -> {
                connection.raw("HTTP/1.1 200 OK\r\nContent-Length: " + (32 << 20) + "\r\n\r\n");
                byte[] piece = new byte[1 << 16];
                try {
                    for (int i = 0; i < 32 << 4; i++) {
                        connection.socket().getOutputStream().write(piece);
                        synchronized (written) {
                            written[0] += piece.length;
                        }
                    }
                } finally {
                    ended.countDown();
                }
            });
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.socket.setReceiveBufferSize(64 << 10);
                client.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("begins");
                long before = -1;
                for (long now = 0; now != before || now == 0; ) {
                    before = now;
                    Thread.sleep(300);
                    synchronized (written) {
                        now = written[0];
                    }
                }
                assertTrue(before < 24 << 20, before + " bytes were read for a client that reads none");
                assertEquals(32 << 20, readBody(client.socket.getInputStream()).length);
            }
            ended.await();
        }
    }

    /** A response that is streamed to a client ends with that client, and its outcome is reported. */
    @Test
    void aClientThatLeavesDuringItsResponseEndsTheAttempt() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) ->
                    connection.raw("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(100_000)));
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("begins a1");
            }
            assertEquals("outcome a1 0 CANCELLED true -", rig.awaitEvent("outcome"));
        }
    }

    /** The beginning of a streamed body is no longer available, so the request is refused instead. */
    @Test
    void aStreamedBodyIsNotSentAgain() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer upstream = rig.addUpstream((message, connection) -> connection.reset());
            rig.onOutcome = (id, outcome, decided, actions) -> {
                if (outcome == rushproxy.Balancer.Outcome.NOT_SENT) {
                    actions.refuse(id, 0);
                } else if (!decided) {
                    actions.send(id, "u0", 0);
                }
            };
            upstream.handler = (message, connection) -> {};
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(post("a1", "Transfer-Encoding: chunked\r\n") + "18000\r\n" + "x".repeat(0x18000) + "\r\n");
                rig.awaitEvent("request a1");
                // The upstream has received the head, and the body is being streamed.
                upstream.next();
                upstream.accepted.take().close();
                assertEquals(503, client.status());
                assertEquals("outcome a1 0 CONNECT_FAILED false -", rig.awaitEvent("outcome a1 0"));
                assertEquals("outcome a1 1 NOT_SENT false -", rig.awaitEvent("outcome a1 1"));
            }
        }
    }

    @Test
    void aClientThatExpectsContinueGetsIt() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            echo(rig, new ArrayList<>());
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(post("a1", "Expect: 100-continue\r\nContent-Length: 4\r\n"));
                assertEquals(100, client.status());
                client.send("body");
                assertEquals("body", client.answer().body());
            }
            try (TestServer.Client client = rig.client()) {
                client.send(post("a2", "Expect: a-miracle\r\nContent-Length: 4\r\n"));
                assertEquals(417, client.status());
            }
        }
    }

    /** Guards against request smuggling: ambiguous framing never reaches an upstream. */
    @Test
    void ambiguousFramingIsRejected() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer upstream = rig.addUpstream((message, connection) -> connection.answer("200 OK", "", ""));
            rig.start();
            for (String framing : new String[] {
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                "Content-Length: 3\r\nContent-Length: 4\r\n",
                "Content-Length: 3, 4\r\n",
                "Content-Length: +3\r\n",
                "Content-Length: -3\r\n",
                "Content-Length: 3x\r\n",
                "Content-Length : 3\r\n",
                "Transfer-Encoding : chunked\r\n",
                "Transfer-Encoding: gzip\r\n",
                "Transfer-Encoding: gzip, chunked\r\n",
                "Transfer-Encoding: identity\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: xchunked\r\n"
            }) {
                try (TestServer.Client client = rig.client()) {
                    client.send(post("f1", framing) + "3\r\nabc\r\n0\r\n\r\n");
                    assertEquals(400, client.status(), framing);
                }
            }
            for (String body : new String[] {
                "zz\r\nabc\r\n0\r\n\r\n",
                "-3\r\nabc\r\n0\r\n\r\n",
                "3\r\nabcdef\r\n0\r\n\r\n",
                "\r\n\r\n",
                "fffffffffffffffff\r\nabc"
            }) {
                try (TestServer.Client client = rig.client()) {
                    client.send(post("f2", "Transfer-Encoding: chunked\r\n") + body);
                    assertEquals(400, client.status(), body);
                }
            }
            assertEquals(0, upstream.messages.size());
            assertTrue(rig.events.stream().noneMatch(event -> event.startsWith("request")), rig.events.toString());
        }
    }

    /** Guards against an upstream that runs a request with an incomplete body. */
    @Test
    void aClientThatLeavesDuringItsBodyEndsTheAttempt() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            BlockingQueue<Integer> ends = new LinkedBlockingQueue<>();
            rig.addUpstream((message, connection) -> {
                InputStream in = connection.socket().getInputStream();
                try {
                    while (in.read() >= 0) {}
                } finally {
                    ends.add(-1);
                }
            });
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(post("a1", "Transfer-Encoding: chunked\r\n") + "18000\r\n" + "x".repeat(0x18000) + "\r\n");
                rig.upstreams.get(0).next();
            }
            assertEquals(-1, ends.take());
            assertEquals("expired a1", rig.awaitEvent("expired"));
        }
    }

    /** The connection to the client lingers, but the attempt must end with the request. */
    @Test
    void aBodyThatPausesTooLongEndsItsAttemptAtOnce() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer upstream = rig.addUpstream((message, connection) -> connection.answer("200 OK", "", ""));
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a0", 20_000));
                assertEquals(200, client.status());
                BlockingQueue<Long> ends = new LinkedBlockingQueue<>();
                upstream.handler = (message, connection) -> {
                    try {
                        while (connection.socket().getInputStream().read() >= 0) {}
                    } finally {
                        ends.add(System.nanoTime());
                    }
                };
                client.send(post("a1", "Transfer-Encoding: chunked\r\n") + "18000\r\n" + "x".repeat(0x18000) + "\r\n");
                assertEquals(null, client.answer());
                long closedNanos = System.nanoTime();
                long lateMs = (ends.take() - closedNanos) / 1_000_000;
                assertTrue(
                        lateMs < 500, "the attempt ended " + lateMs + " ms after the client's connection was closed");
            }
        }
    }

    /** A body of up to 64 KiB is kept for a retry. */
    @Test
    void aShortBodyIsSentAgainCompletely() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            List<byte[]> received = new ArrayList<>();
            rig.addUpstream((message, connection) -> connection.reset());
            echo(rig, received);
            rig.onOutcome = (id, outcome, decided, actions) -> {
                if (!decided) {
                    actions.send(id, "u1", 0);
                }
            };
            rig.start();
            byte[] body = bytes(65_536);
            try (TestServer.Client client = rig.client()) {
                client.send(post("a1", "Content-Length: 65536\r\n"));
                client.socket.getOutputStream().write(body);
                org.junit.jupiter.api.Assertions.assertArrayEquals(body, readBody(client.socket.getInputStream()));
            }
        }
    }
}

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

/** Messages of any length and form pass whole, in pieces, or so that both sides can tell that they did not. */
@Timeout(120)
class BulkTest {
    private static final int LONG = 8 << 20;

    private static String post(String id, String framing) {
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: c\r\nX-Remaining-Ms: 20000\r\n" + framing
                + "\r\n";
    }

    private static byte[] bytes(int n) {
        byte[] b = new byte[n];
        for (int i = 0; i < n; i++) {
            b[i] = (byte) (i * 31 + i / 251);
        }
        return b;
    }

    private static String chunks(byte[] body, int size, String extension, String trailer) {
        StringBuilder s = new StringBuilder();
        for (int at = 0; at < body.length; at += size) {
            int n = Math.min(size, body.length - at);
            s.append(Integer.toHexString(n))
                    .append(extension)
                    .append("\r\n")
                    .append(new String(body, at, n, StandardCharsets.ISO_8859_1))
                    .append("\r\n");
        }
        return s + "0\r\n" + trailer + "\r\n";
    }

    /** Reads a head, then a body by its length, its chunks or its end. Null where it breaks off. */
    private static byte[] answer(InputStream in) throws Exception {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            head.append((char) c);
        }
        Peer.Message m = new Peer.Message(head.toString(), "");
        if (m.header("Content-Length") != null) {
            int n = Integer.parseInt(m.header("Content-Length"));
            byte[] body = in.readNBytes(n);
            return body.length == n ? body : null;
        }
        var body = new java.io.ByteArrayOutputStream();
        while (true) {
            StringBuilder line = new StringBuilder();
            for (int c; (c = in.read()) != '\n'; ) {
                if (c < 0) {
                    return null;
                }
                line.append((char) c);
            }
            int n = Integer.parseInt(line.toString().trim().split(";")[0], 16);
            byte[] piece = in.readNBytes(n + 2);
            if (piece.length < n + 2) {
                return null;
            }
            if (n == 0) {
                return body.toByteArray();
            }
            body.write(piece, 0, n);
        }
    }

    /** An upstream that answers a body with what it was; requests come whole or in chunks. */
    private static void echo(SidecarRig rig, List<byte[]> got) throws Exception {
        rig.addUpstream((m, line) -> {
            try {
                InputStream in = line.socket().getInputStream();
                byte[] body = m.body().getBytes(StandardCharsets.ISO_8859_1);
                if ("chunked".equalsIgnoreCase(m.header("Transfer-Encoding"))) {
                    body = answer(new java.io.SequenceInputStream(
                            new java.io.ByteArrayInputStream("HTTP/1.1 200 OK\r\n\r\n".getBytes()), in));
                }
                synchronized (got) {
                    got.add(body);
                }
                line.raw("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                line.socket().getOutputStream().write(body);
            } catch (java.io.IOException e) {
                throw e;
            } catch (Exception e) {
                throw new java.io.IOException(e);
            }
        });
    }

    @Test
    void bodiesOfAllFormsArriveAsTheyWereSent() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            List<byte[]> got = new ArrayList<>();
            echo(rig, got);
            rig.start();
            int id = 0;
            for (int n : new int[] {0, 1, 65_535, 65_536, 65_537, 300_000, LONG}) {
                byte[] body = bytes(n);
                for (boolean chunked : new boolean[] {false, true}) {
                    try (Peer.Client c = rig.client()) {
                        String name = "b" + id++;
                        Thread sender = new Thread(() -> {
                            try {
                                OutputStream out = c.socket.getOutputStream();
                                c.send(post(
                                        name,
                                        chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + n + "\r\n"));
                                out.write(
                                        chunked
                                                ? chunks(body, 7_001, ";a=\"b\"", "X-Sum: 1\r\n")
                                                        .getBytes(StandardCharsets.ISO_8859_1)
                                                : body);
                                out.flush();
                            } catch (java.io.IOException e) {
                                // the answer tells
                            }
                        });
                        sender.start();
                        org.junit.jupiter.api.Assertions.assertArrayEquals(
                                body, answer(c.socket.getInputStream()), name);
                        sender.join();
                        // The connection goes on.
                        c.send(SidecarRig.getRequest(name + "x", 20_000));
                        assertEquals(200, c.status());
                    }
                }
            }
        }
    }

    @Test
    void answersOfAllFormsArriveWhole() throws Exception {
        byte[] body = bytes(500_000);
        String text = new String(body, StandardCharsets.ISO_8859_1);
        List<Peer.Script> forms = List.of(
                (m, line) -> line.answer("200 OK", "", text),
                (m, line) -> line.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + chunks(body, 9_999, ";x", "T: 1\r\n")),
                (m, line) -> {
                    line.raw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + text);
                    line.socket().shutdownOutput();
                },
                (m, line) -> line.raw("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                        + "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + text));
        for (Peer.Script form : forms) {
            try (SidecarRig rig = new SidecarRig()) {
                rig.addUpstream(form);
                rig.start();
                try (Peer.Client c = rig.client()) {
                    for (int i = 0; i < 2; i++) {
                        c.send(SidecarRig.getRequest("a" + i, 20_000));
                        org.junit.jupiter.api.Assertions.assertArrayEquals(body, answer(c.socket.getInputStream()));
                        assertEquals("begins a" + i + " 0", rig.awaitEvent("begins"));
                        assertEquals("outcome a" + i + " 0 OK true -", rig.awaitEvent("outcome"));
                    }
                }
            }
        }
    }

    /** The client must not take a part for the whole. */
    @Test
    void anAnswerThatBreaksOffIsSeenToBeBroken() throws Exception {
        for (String head : new String[] {
            "Content-Length: 900000\r\n\r\n" + "x".repeat(400_000),
            "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + "x".repeat(200_000) + "\r\n30d40\r\nhalf"
        }) {
            try (SidecarRig rig = new SidecarRig()) {
                rig.addUpstream((m, line) -> {
                    line.raw("HTTP/1.1 200 OK\r\n" + head);
                    line.socket().close();
                });
                rig.start();
                try (Peer.Client c = rig.client()) {
                    c.send(SidecarRig.getRequest("a1", 20_000));
                    assertEquals(null, answer(c.socket.getInputStream()));
                    assertEquals("outcome a1 0 RESET true -", rig.awaitEvent("outcome"));
                }
            }
        }
    }

    /** Sends chunks of so many bytes, so long apart. */
    private static void chunksApart(Peer.Line line, int count, int bytes, long ms) throws java.io.IOException {
        String chunk = Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
        try {
            for (int i = 0; i < count; i++) {
                line.raw(chunk);
                Thread.sleep(ms);
            }
        } catch (InterruptedException e) {
            throw new java.io.InterruptedIOException();
        }
    }

    /** A slow answer of unknown length is neither held back until 64 KiB of it are there, nor cut while it moves. */
    @Test
    void whatAnUpstreamGivesSlowlyIsPassedOnAsItComes() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                chunksApart(line, 40, 1_000, 30);
                line.raw("4\r\nlast\r\n0\r\n\r\n");
            });
            rig.start();
            try (Peer.Client c = rig.client()) {
                c.send(SidecarRig.getRequest("a1", 500));
                rig.awaitEvent("begins a1");
                assertEquals(40_004, answer(c.socket.getInputStream()).length);
            }
        }
    }

    /** Of a long answer the first bytes are due: it may rest after its request's deadline, and goes on. */
    @Test
    void aLongAnswerMayRestPastItsDeadline() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                chunksApart(line, 1, 70_000, 900);
                line.raw("4\r\nlast\r\n0\r\n\r\n");
            });
            rig.start();
            try (Peer.Client c = rig.client()) {
                c.send(SidecarRig.getRequest("a1", 500));
                assertEquals(70_004, answer(c.socket.getInputStream()).length);
            }
        }
    }

    /** Nothing of it was passed on yet: its client is told, in its time, and the connection goes on. */
    @Test
    void aShortAnswerThatStopsIsAnsweredAsFailed() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Semaphore stopped = new Semaphore(0);
            rig.addUpstream((m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
                stopped.release();
            });
            // The requests' time passes once their answers have stopped, however late that is. The kernel's ages still
            // run: the time is
            // longer than any of them.
            rig.clock.freeze();
            rig.start();
            try (Peer.Client c = rig.client()) {
                c.send(SidecarRig.getRequest("a1", 20_000));
                stopped.acquire();
                rig.clock.advance(20_000);
                assertEquals(502, c.status());
                assertEquals("outcome a1 0 TIMEOUT false -", rig.awaitEvent("outcome a1"));
                c.send(SidecarRig.getRequest("a2", 20_000));
                stopped.acquire();
                rig.clock.advance(20_000);
                assertEquals(502, c.status());
            }
        }
    }

    /** It was passed on since it moved, and stops: its client sees that it is not whole, at its deadline. */
    @Test
    void aShortAnswerThatWasPassedOnAndStopsIsBrokenOff() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                chunksApart(line, 10, 1_000, 10);
            });
            rig.start();
            try (Peer.Client c = rig.client()) {
                long sent = System.nanoTime();
                c.send(SidecarRig.getRequest("a1", 800));
                rig.awaitEvent("begins a1");
                assertEquals(null, answer(c.socket.getInputStream()));
                long tookMs = (System.nanoTime() - sent) / 1_000_000;
                assertTrue(tookMs < 5_000, "broken off after " + tookMs + " ms");
                assertEquals("outcome a1 0 RESET true -", rig.awaitEvent("outcome a1"));
            }
        }
    }

    /** The upstream is read no faster than the client reads: what lies between is a window, not the answer. */
    @Test
    void aClientThatDoesNotReadHoldsTheUpstreamBack() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            long[] written = new long[1];
            CountDownLatch ended = new CountDownLatch(1);
            rig.addUpstream((m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\nContent-Length: " + (32 << 20) + "\r\n\r\n");
                byte[] piece = new byte[1 << 16];
                try {
                    for (int i = 0; i < 32 << 4; i++) {
                        line.socket().getOutputStream().write(piece);
                        synchronized (written) {
                            written[0] += piece.length;
                        }
                    }
                } finally {
                    ended.countDown();
                }
            });
            rig.start();
            try (Peer.Client c = rig.client()) {
                c.socket.setReceiveBufferSize(64 << 10);
                c.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("begins");
                long before = -1;
                for (long now = 0; now != before || now == 0; ) {
                    before = now;
                    Thread.sleep(300);
                    synchronized (written) {
                        now = written[0];
                    }
                }
                assertTrue(before < 24 << 20, before + " bytes were taken for a client that reads none");
                assertEquals(32 << 20, answer(c.socket.getInputStream()).length);
            }
            ended.await();
        }
    }

    /** The answer flowed to it: the attempt ends with it, and its outcome is told. */
    @Test
    void aClientThatLeavesWithinItsAnswerEndsTheAttempt() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream(
                    (m, line) -> line.raw("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(100_000)));
            rig.start();
            try (Peer.Client c = rig.client()) {
                c.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("begins a1");
            }
            assertEquals("outcome a1 0 CANCELLED true -", rig.awaitEvent("outcome"));
        }
    }

    /** Half of a long body has gone: it can't be sent again, and the client hears so. */
    @Test
    void aBodyThatHasBegunToFlowIsNotSentAgain() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> line.reset());
            rig.onOutcome = (id, outcome, done, out) -> {
                if (outcome == rushproxy.Balancer.Outcome.NOT_SENT) {
                    out.refuse(id, 0);
                } else if (!done) {
                    out.send(id, "u0", 0);
                }
            };
            up.script = (m, line) -> {};
            rig.start();
            try (Peer.Client c = rig.client()) {
                c.send(post("a1", "Transfer-Encoding: chunked\r\n") + "18000\r\n" + "x".repeat(0x18000) + "\r\n");
                rig.awaitEvent("request a1");
                // Its head is there, and its body flows behind it.
                up.next();
                up.accepted.take().close();
                assertEquals(503, c.status());
                assertEquals("outcome a1 0 CONNECT_FAILED false -", rig.awaitEvent("outcome a1 0"));
                assertEquals("outcome a1 1 NOT_SENT false -", rig.awaitEvent("outcome a1 1"));
            }
        }
    }

    @Test
    void aClientIsToldToGoOn() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            echo(rig, new ArrayList<>());
            rig.start();
            try (Peer.Client c = rig.client()) {
                c.send(post("a1", "Expect: 100-continue\r\nContent-Length: 4\r\n"));
                assertEquals(100, c.status());
                c.send("body");
                assertEquals("body", c.answer().body());
            }
            try (Peer.Client c = rig.client()) {
                c.send(post("a2", "Expect: a-miracle\r\nContent-Length: 4\r\n"));
                assertEquals(417, c.status());
            }
        }
    }

    /** Where two readers could find two ends, nothing goes on to an upstream. */
    @Test
    void framingThatCanBeReadInTwoWaysIsRefused() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", ""));
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
                try (Peer.Client c = rig.client()) {
                    c.send(post("f1", framing) + "3\r\nabc\r\n0\r\n\r\n");
                    assertEquals(400, c.status(), framing);
                }
            }
            for (String body : new String[] {
                "zz\r\nabc\r\n0\r\n\r\n",
                "-3\r\nabc\r\n0\r\n\r\n",
                "3\r\nabcdef\r\n0\r\n\r\n",
                "\r\n\r\n",
                "fffffffffffffffff\r\nabc"
            }) {
                try (Peer.Client c = rig.client()) {
                    c.send(post("f2", "Transfer-Encoding: chunked\r\n") + body);
                    assertEquals(400, c.status(), body);
                }
            }
            assertEquals(0, up.messages.size());
            assertTrue(rig.events.stream().noneMatch(t -> t.startsWith("request")), rig.events.toString());
        }
    }

    /** A client that leaves within its body takes the attempt with it: the upstream must not run a part. */
    @Test
    void aClientThatLeavesWithinItsBodyEndsTheAttempt() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            BlockingQueue<Integer> ends = new LinkedBlockingQueue<>();
            rig.addUpstream((m, line) -> {
                InputStream in = line.socket().getInputStream();
                try {
                    while (in.read() >= 0) {}
                } finally {
                    ends.add(-1);
                }
            });
            rig.start();
            try (Peer.Client c = rig.client()) {
                c.send(post("a1", "Transfer-Encoding: chunked\r\n") + "18000\r\n" + "x".repeat(0x18000) + "\r\n");
                rig.upstreams.get(0).next();
            }
            assertEquals(-1, ends.take());
            assertEquals("expired a1", rig.awaitEvent("expired"));
        }
    }

    /** Its connection lingers for its client's sake, but the attempt is over with the request. */
    @Test
    void aBodyThatRestsTooLongEndsItsAttemptAtOnce() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", ""));
            rig.start();
            try (Peer.Client c = rig.client()) {
                c.send(SidecarRig.getRequest("a0", 20_000));
                assertEquals(200, c.status());
                BlockingQueue<Long> ends = new LinkedBlockingQueue<>();
                up.script = (m, line) -> {
                    try {
                        while (line.socket().getInputStream().read() >= 0) {}
                    } finally {
                        ends.add(System.nanoTime());
                    }
                };
                c.send(post("a1", "Transfer-Encoding: chunked\r\n") + "18000\r\n" + "x".repeat(0x18000) + "\r\n");
                assertEquals(null, c.answer());
                long dismissed = System.nanoTime();
                long lateMs = (ends.take() - dismissed) / 1_000_000;
                assertTrue(lateMs < 500, "the attempt ended " + lateMs + " ms after the client was dismissed");
            }
        }
    }

    /** What the retry needs is kept up to 64 KiB, and no longer than the budget allows. */
    @Test
    void aShortBodyIsSentAgainWhole() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            List<byte[]> got = new ArrayList<>();
            rig.addUpstream((m, line) -> line.reset());
            echo(rig, got);
            rig.onOutcome = (id, outcome, done, out) -> {
                if (!done) {
                    out.send(id, "u1", 0);
                }
            };
            rig.start();
            byte[] body = bytes(65_536);
            try (Peer.Client c = rig.client()) {
                c.send(post("a1", "Content-Length: 65536\r\n"));
                c.socket.getOutputStream().write(body);
                org.junit.jupiter.api.Assertions.assertArrayEquals(body, answer(c.socket.getInputStream()));
            }
        }
    }
}

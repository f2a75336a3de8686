package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What an upstream does, and the outcome that the module is told. */
@Timeout(60)
class OutcomesTest {
    private static void outcome(String expected, int status, Peer.Script script) throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream(script);
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("outcome a1 0 " + expected, rig.awaitEvent("outcome"));
                assertEquals(status, client.status());
            }
        }
    }

    @Test
    void aServedAnswerCarriesItsLoadReport() throws Exception {
        outcome(
                "OK true 7.0",
                200,
                (m, line) -> line.answer("200 OK", "X-Pressure: TEXT inflight=7, queue=2, util=0.61\r\n", "slot"));
    }

    @Test
    void malformedLoadReportsAreNoReports() throws Exception {
        for (String report :
                new String[] {"TEXT inflight=", "TEXT inflight=NaN", "TEXT inflight=-1", "JSON {}", "TEXT"}) {
            outcome("OK true -", 200, (m, line) -> line.answer("200 OK", "X-Pressure: " + report + "\r\n", "slot"));
        }
    }

    @Test
    void onlyAnAnswerSaidToBeTurnedAwayProvesThatNothingRan() throws Exception {
        outcome("REJECTED false -", 502, (m, line) -> line.answer("503 Busy", "X-Turned-Away: 1\r\n", ""));
        outcome("REJECTED false -", 502, (m, line) -> line.answer("504 Late", "X-Turned-Away: 1\r\n", ""));
        outcome("ERROR false -", 502, (m, line) -> line.answer("503 Busy", "", ""));
        outcome("ERROR false -", 502, (m, line) -> line.answer("500 Oops", "X-Turned-Away: 1\r\n", ""));
        outcome("ERROR false -", 502, (m, line) -> line.answer("302 Found", "", ""));
    }

    @Test
    void whatBreaksAfterTheRequestWasWrittenIsAReset() throws Exception {
        outcome("RESET false -", 502, (m, line) -> line.reset());
        outcome("RESET false -", 502, (m, line) -> line.socket().close());
        outcome("RESET false -", 502, (m, line) -> {
            line.raw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            line.socket().close();
        });
        outcome("RESET false -", 502, (m, line) -> line.raw("this is no HTTP at all\r\n\r\n"));
        outcome(
                "RESET false -",
                502,
                (m, line) -> line.raw("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"));
    }

    /** An interim answer is not the answer. */
    @Test
    void interimAnswersAreWaitedThrough() throws Exception {
        outcome("OK true -", 200, (m, line) -> {
            line.raw("HTTP/1.1 102 Processing\r\n\r\n");
            line.answer("200 OK", "", "slot");
        });
    }

    @Test
    void aRefusedConnectionCouldNotConnect() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {}).close();
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("outcome a1 0 CONNECT_FAILED false -", rig.awaitEvent("outcome"));
            }
        }
    }

    /** A late answer to a call given up must find nobody, so the connection may not be used again. */
    @Test
    void aTimeOutClosesTheConnectionAndTheNextCallOpensAnother() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> out.send(r.id(), "u0", now + 100_000);
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("outcome a1 0 TIMEOUT false -", rig.awaitEvent("outcome"));
                assertEquals(-1, up.accepted.take().getInputStream().read(), "the connection was left open");
                assertEquals(502, client.status());
                up.script = (m, line) -> line.answer("200 OK", "", "fresh");
                rig.onRequest = (now, r, out) -> out.send(r.id(), "u0", 0);
                client.send(SidecarRig.getRequest("a2", 20_000));
                assertEquals("fresh", client.answer().body());
                assertNotNull(up.accepted.poll(20, TimeUnit.SECONDS));
            }
        }
    }

    @Test
    void aCancelledAttemptClosesItsConnection() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> {
                out.send(r.id(), "u0", 0);
                out.cancel(r.id(), 0);
            };
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("outcome a1 0 CANCELLED false -", rig.awaitEvent("outcome"));
            }
        }
    }

    /** No library and no pool may send a request again by itself: the stale connection's end is an outcome. */
    @Test
    void aStaleConnectionIsAResetAndNothingIsResent() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "one"));
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals(200, client.status());
                rig.awaitEvent("outcome a1");
                // Before it has rested another one is opened.
                Thread.sleep(2 * Upstreams.REST_US / 1000);
                up.script = (m, line) -> line.reset();
                client.send(SidecarRig.getRequest("a2", 20_000));
                assertEquals("outcome a2 0 RESET false -", rig.awaitEvent("outcome"));
                assertEquals(502, client.status());
                assertEquals(2, up.messages.size());
                assertEquals(1, up.accepted.size(), "the second call did not use the idle connection");
            }
        }
    }

    /** Where an upstream says that it closes, a call written to that connection would end as a reset. */
    @Test
    void aConnectionThatTheUpstreamClosesIsNotUsedAgain() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> line.answer("200 OK", "Connection: close\r\n", "one"));
            rig.start();
            try (Peer.Client client = rig.client()) {
                for (String id : new String[] {"a1", "a2"}) {
                    client.send(SidecarRig.getRequest(id, 20_000));
                    assertEquals(200, client.status());
                }
                assertEquals(2, up.accepted.size());
            }
        }
    }

    @Test
    void requestAndAnswerPassUnchanged() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "b\u00f6dy\u0000" + "y".repeat(60_000)));
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(
                        "POST /api/x?y=%20z HTTP/1.1\r\nHost: a\r\nX-Txn: q7\r\nX-Lane: c\r\nX-Remaining-Ms: 9000\r\n"
                                + "Idempotency-Key: k9\r\nContent-Length: 5\r\n\r\nh\u00e9llo");
                Peer.Message answer = client.answer();
                assertEquals("b\u00f6dy\u0000" + "y".repeat(60_000), answer.body());
                Peer.Message sent = up.next();
                assertTrue(sent.head().startsWith("POST /api/x?y=%20z HTTP/1.1\r\n"), sent.head());
                assertEquals("q7", sent.header("X-Txn"));
                assertEquals("k9", sent.header("Idempotency-Key"));
                assertEquals("h\u00e9llo", sent.body());
                int waits = Integer.parseInt(sent.header("X-Remaining-Ms"));
                assertTrue(waits > 0 && waits <= 9000, "waits " + waits);
            }
        }
    }

    /** An answer that can't be read as HTTP/1.1 may have run, and nothing of it is passed on as served. */
    @Test
    void answersThatAreNoHttpAreResets() throws Exception {
        for (String head : new String[] {
            "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 3",
            "HTTP/1.1 200 OK\r\nContent-Length : 3",
            "HTTP/1.1 200 OK\r\n: x\r\nContent-Length: 3",
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 3",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3",
            "HTTP/1.1 +200 OK\r\nContent-Length: 3",
            "HTTP/1.1 2x0 OK\r\nContent-Length: 3",
            "HTTP/1.1 OK 200\r\nContent-Length: 3",
            "HTTP/9.1 200 OK\r\nContent-Length: 3"
        }) {
            outcome("RESET false -", 502, (m, line) -> line.raw(head + "\r\n\r\nabc"));
        }
        outcome(
                "RESET false -",
                502,
                (m, line) -> line.raw(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\nabc\r\n0\r\n\r\n"));
    }

    /** Without a length only an orderly end tells that an answer is whole. */
    @Test
    void anAnswerWithoutALengthThatBreaksOffIsAReset() throws Exception {
        outcome("OK true -", 200, (m, line) -> {
            line.raw("HTTP/1.1 200 OK\r\n\r\nslot");
            line.socket().close();
        });
        outcome("RESET false -", 502, (m, line) -> {
            line.raw("HTTP/1.1 200 OK\r\n\r\nsl");
            line.reset();
        });
    }

    /**
     * An upstream that sends more than one answer to a request: the surplus must not be taken for the answer to the
     * request that goes out as soon as the first has ended.
     */
    @Test
    void whatComesBeyondAnAnswerIsNeverTheAnswerToTheNextRequest() throws Exception {
        nextRequestGetsItsOwnAnswer((m, line) -> {
            String answer = answerTo(m);
            line.raw(answer + answer);
        });
        for (int cut : new int[] {1, 12, 30, 39}) {
            nextRequestGetsItsOwnAnswer(new Peer.Script() {
                private String rest = "";

                @Override
                public synchronized void handle(Peer.Message m, Peer.Line line) throws java.io.IOException {
                    String answer = answerTo(m);
                    String late = rest;
                    rest = answer.substring(cut);
                    line.raw(late + answer + answer.substring(0, cut));
                }
            });
        }
    }

    private static String answerTo(Peer.Message m) {
        String id = m.header("X-Txn");
        return "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id;
    }

    private static void nextRequestGetsItsOwnAnswer(Peer.Script script) throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream(new Peer.Script() {
                private java.net.Socket first;

                @Override
                public synchronized void handle(Peer.Message m, Peer.Line line) throws java.io.IOException {
                    if (first == null || first == line.socket()) {
                        first = line.socket();
                        script.handle(m, line);
                    } else {
                        line.raw(answerTo(m));
                    }
                }
            });
            rig.onRequest = (now, r, out) -> {
                if (r.id().equals("a2")) {
                    out.send("a1", "u0", 0);
                }
            };
            rig.onOutcome = (id, outcome, done, out) -> {
                if (id.equals("a1")) {
                    out.send("a2", "u0", 0);
                }
            };
            rig.start();
            try (Peer.Client one = rig.client();
                    Peer.Client two = rig.client()) {
                one.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("request a1");
                two.send(SidecarRig.getRequest("a2", 20_000));
                assertEquals("a1", one.answer().body());
                assertEquals("a2", two.answer().body());
            }
        }
    }
}

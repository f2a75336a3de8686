package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How the behaviour of an upstream maps to the outcome reported to the module. */
@Timeout(60)
class UpstreamOutcomeTest {
    private static void outcome(String expected, int status, TestServer.Handler script) throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream(script);
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("outcome a1 0 " + expected, rig.awaitEvent("outcome"));
                assertEquals(status, client.status());
            }
        }
    }

    @Test
    void aResponseCarriesItsLoadReport() throws Exception {
        outcome(
                "OK true 7.0",
                200,
                (m, line) -> line.answer("200 OK", "X-Pressure: TEXT inflight=7, queue=2, util=0.61\r\n", "slot"));
    }

    @Test
    void malformedLoadReportsAreIgnored() throws Exception {
        for (String report :
                new String[] {"TEXT inflight=", "TEXT inflight=NaN", "TEXT inflight=-1", "JSON {}", "TEXT"}) {
            outcome("OK true -", 200, (m, line) -> line.answer("200 OK", "X-Pressure: " + report + "\r\n", "slot"));
        }
    }

    @Test
    void onlyAStatus503Or504WithTheTurnedAwayHeaderIsARejection() throws Exception {
        outcome("REJECTED false -", 502, (m, line) -> line.answer("503 Busy", "X-Turned-Away: 1\r\n", ""));
        outcome("REJECTED false -", 502, (m, line) -> line.answer("504 Late", "X-Turned-Away: 1\r\n", ""));
        outcome("ERROR false -", 502, (m, line) -> line.answer("503 Busy", "", ""));
        outcome("ERROR false -", 502, (m, line) -> line.answer("500 Oops", "X-Turned-Away: 1\r\n", ""));
        outcome("ERROR false -", 502, (m, line) -> line.answer("302 Found", "", ""));
    }

    @Test
    void aFailureAfterTheRequestWasWrittenIsAReset() throws Exception {
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

    @Test
    void interimResponsesAreSkipped() throws Exception {
        outcome("OK true -", 200, (m, line) -> {
            line.raw("HTTP/1.1 102 Processing\r\n\r\n");
            line.answer("200 OK", "", "slot");
        });
    }

    @Test
    void aRefusedConnectionIsAConnectFailure() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {}).close();
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("outcome a1 0 CONNECT_FAILED false -", rig.awaitEvent("outcome"));
            }
        }
    }

    /** Guards against a late response being taken for that of the next call on the connection. */
    @Test
    void aTimeoutClosesTheConnection() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer up = rig.addUpstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> out.send(r.id(), "u0", now + 100_000);
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("outcome a1 0 TIMEOUT false -", rig.awaitEvent("outcome"));
                assertEquals(-1, up.accepted.take().getInputStream().read(), "the connection was left open");
                assertEquals(502, client.status());
                up.handler = (m, line) -> line.answer("200 OK", "", "fresh");
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
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("outcome a1 0 CANCELLED false -", rig.awaitEvent("outcome"));
            }
        }
    }

    /** Guards against a library or the pool repeating a request by itself; the failure of a stale connection is an outcome. */
    @Test
    void aRequestOnAStaleConnectionIsAResetAndNotRepeated() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer up = rig.addUpstream((m, line) -> line.answer("200 OK", "", "one"));
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals(200, client.status());
                rig.awaitEvent("outcome a1");
                // Wait until the reuse delay is over.
                Thread.sleep(2 * UpstreamPool.REUSE_DELAY_US / 1000);
                up.handler = (m, line) -> line.reset();
                client.send(SidecarRig.getRequest("a2", 20_000));
                assertEquals("outcome a2 0 RESET false -", rig.awaitEvent("outcome"));
                assertEquals(502, client.status());
                assertEquals(2, up.messages.size());
                assertEquals(1, up.accepted.size(), "the second call did not use the idle connection");
            }
        }
    }

    /** Guards against a call on a connection that the upstream has announced to close, which would end as a reset. */
    @Test
    void aConnectionAnnouncedToCloseIsNotReused() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer up = rig.addUpstream((m, line) -> line.answer("200 OK", "Connection: close\r\n", "one"));
            rig.start();
            try (TestServer.Client client = rig.client()) {
                for (String id : new String[] {"a1", "a2"}) {
                    client.send(SidecarRig.getRequest(id, 20_000));
                    assertEquals(200, client.status());
                }
                assertEquals(2, up.accepted.size());
            }
        }
    }

    @Test
    void requestAndResponseAreForwardedUnchanged() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer up =
                    rig.addUpstream((m, line) -> line.answer("200 OK", "", "b\u00f6dy\u0000" + "y".repeat(60_000)));
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(
                        "POST /api/x?y=%20z HTTP/1.1\r\nHost: a\r\nX-Txn: q7\r\nX-Lane: c\r\nX-Remaining-Ms: 9000\r\n"
                                + "Idempotency-Key: k9\r\nContent-Length: 5\r\n\r\nh\u00e9llo");
                TestServer.Message answer = client.answer();
                assertEquals("b\u00f6dy\u0000" + "y".repeat(60_000), answer.body());
                TestServer.Message sent = up.next();
                assertTrue(sent.head().startsWith("POST /api/x?y=%20z HTTP/1.1\r\n"), sent.head());
                assertEquals("q7", sent.header("X-Txn"));
                assertEquals("k9", sent.header("Idempotency-Key"));
                assertEquals("h\u00e9llo", sent.body());
                int remainingMs = Integer.parseInt(sent.header("X-Remaining-Ms"));
                assertTrue(remainingMs > 0 && remainingMs <= 9000, "remaining " + remainingMs);
            }
        }
    }

    /** An invalid response does not prove that the request was not processed, and must not be forwarded. */
    @Test
    void invalidResponsesAreResets() throws Exception {
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

    /** Without a length only an orderly close marks a response as complete. */
    @Test
    void aResponseWithoutALengthThatIsCutOffIsAReset() throws Exception {
        outcome("OK true -", 200, (m, line) -> {
            line.raw("HTTP/1.1 200 OK\r\n\r\nslot");
            line.socket().close();
        });
        outcome("RESET false -", 502, (m, line) -> {
            line.raw("HTTP/1.1 200 OK\r\n\r\nsl");
            line.reset();
        });
    }

    /** Guards against surplus bytes after a response being taken for the response to the next request on the connection. */
    @Test
    void surplusBytesAreNotTakenForTheNextResponse() throws Exception {
        assertNextRequestGetsItsOwnResponse((m, line) -> {
            String answer = responseTo(m);
            line.raw(answer + answer);
        });
        for (int cut : new int[] {1, 12, 30, 39}) {
            assertNextRequestGetsItsOwnResponse(new TestServer.Handler() {
                private String remainder = "";

                @Override
                public synchronized void handle(TestServer.Message m, TestServer.Connection line)
                        throws java.io.IOException {
                    String answer = responseTo(m);
                    String surplus = remainder;
                    remainder = answer.substring(cut);
                    line.raw(surplus + answer + answer.substring(0, cut));
                }
            });
        }
    }

    private static String responseTo(TestServer.Message m) {
        String id = m.header("X-Txn");
        return "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id;
    }

    private static void assertNextRequestGetsItsOwnResponse(TestServer.Handler script) throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream(new TestServer.Handler() {
                private java.net.Socket first;

                @Override
                public synchronized void handle(TestServer.Message m, TestServer.Connection line)
                        throws java.io.IOException {
                    if (first == null || first == line.socket()) {
                        first = line.socket();
                        script.handle(m, line);
                    } else {
                        line.raw(responseTo(m));
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
            try (TestServer.Client one = rig.client();
                    TestServer.Client two = rig.client()) {
                one.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("request a1");
                two.send(SidecarRig.getRequest("a2", 20_000));
                assertEquals("a1", one.answer().body());
                assertEquals("a2", two.answer().body());
            }
        }
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushproxy.Balancer.Outcome;

/** Every accepted request gets one final response, whatever the balancer does. */
@Timeout(60)
class RequestLifecycleTest {
    @Test
    void aRefusalIsSentAtOnceWithItsRetryAfter() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, request, actions) -> {
                actions.refuse(request.id(), 165_000);
                actions.fail(request.id());
                actions.refuse(request.id(), 0);
            };
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                TestServer.Message answer = client.answer();
                assertTrue(answer.head().startsWith("HTTP/1.1 503 "), answer.head());
                assertEquals("0.165", answer.header("Retry-After"));
                // The next response belongs to the next request: there was no second one to the first.
                client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(404, client.status());
            }
        }
    }

    /** Guards against a request that times out at the client because the balancer does not answer it. */
    @Test
    void aRequestThatTheBalancerNeverAnswersFailsBeforeItsDeadline() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, request, actions) -> {};
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 300));
                assertEquals(502, client.status());
                assertEquals("expired a1", rig.awaitEvent("expired"));
            }
        }
    }

    @Test
    void attemptsTimeOutAtTheDeadlineAndTheBalancerAnswers() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> {});
            rig.onRequest = (now, request, actions) -> actions.send(request.id(), "u0", now + 60_000_000);
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 300));
                assertEquals(502, client.status());
                assertEquals("outcome a1 0 TIMEOUT false -", rig.awaitEvent("outcome"));
            }
        }
    }

    /** Guards against a deadline that counts from the read: the client has been waiting since it sent the request. */
    @Test
    void aRequestLeftUnreadDuringALoopDelayHasLessTimeLeft() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, request, actions) -> actions.refuse(request.id(), 0);
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a0", 20_000));
                assertEquals(503, client.status());
                TestServer.Client[] fresh = new TestServer.Client[1];
                rig.stallLoop(500, () -> {
                    client.send(SidecarRig.getRequest("a1", 300));
                    fresh[0] = rig.client().send(SidecarRig.getRequest("a2", 300));
                });
                assertEquals("request a1 1", rig.awaitEvent("request a1"));
                assertEquals("request a2 1", rig.awaitEvent("request a2"));
                assertEquals(503, client.status());
                assertEquals(503, fresh[0].status());
                fresh[0].close();
            }
        }
    }

    /**
     * Requests that follow on a connection opened during a loop delay are new, since everything before them had been
     * read. Guards against counting them as old as the delay, which had them refused within a millisecond during the
     * first 50 ms.
     */
    @Test
    void laterRequestsOnAConnectionOpenedDuringALoopDelayAreNew() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, request, actions) -> actions.refuse(request.id(), 0);
            rig.start();
            TestServer.Client[] fresh = new TestServer.Client[1];
            rig.stallLoop(500, () -> fresh[0] = rig.client().send(SidecarRig.getRequest("a1", 300)));
            try (TestServer.Client client = fresh[0]) {
                assertEquals(503, client.status());
                assertEquals(1, remainingUs(rig, "a1"));
                Thread.sleep(15);
                client.send(SidecarRig.getRequest("a2", 300));
                assertEquals(503, client.status());
                long remainingUs = remainingUs(rig, "a2");
                assertTrue(remainingUs > 100_000, remainingUs + " us");
            }
        }
    }

    /** The response leaves through the core that was just busy, so it is due earlier after a delay. */
    @Test
    void afterALoopDelayResponsesAreTemporarilyDueEarlier() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, request, actions) -> actions.refuse(request.id(), 0);
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a0", 2_000));
                assertEquals(503, client.status());
                long initialUs = remainingUs(rig, "a0");
                rig.stallLoop(500, () -> {});
                // A heartbeat has run by now, so what is read does not count as old itself.
                Thread.sleep(100);
                client.send(SidecarRig.getRequest("a1", 2_000));
                assertEquals(503, client.status());
                long remainingUs = remainingUs(rig, "a1");
                assertTrue(remainingUs < initialUs - 300_000, remainingUs + " us");
                for (int i = 0; remainingUs < initialUs - 50_000; i++) {
                    assertTrue(i < 1_000, remainingUs + " us, still less than before the delay");
                    Thread.sleep(20);
                    client.send(SidecarRig.getRequest("b" + i, 2_000));
                    assertEquals(503, client.status());
                    remainingUs = remainingUs(rig, "b" + i);
                }
                // The margin takes at most a quarter of a short time.
                rig.stallLoop(500, () -> {});
                Thread.sleep(100);
                client.send(SidecarRig.getRequest("c1", 100));
                assertEquals(503, client.status());
                assertTrue(remainingUs(rig, "c1") > 60_000);
            }
        }
    }

    /** The next delay may be as long, so a request that waits for a hanging upstream is answered before it. */
    @Test
    void afterALoopDelayOpenRequestsAreDueEarlierToo() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> {});
            rig.start();
            try (TestServer.Client client = rig.client()) {
                long sentNanos = System.nanoTime();
                client.send(SidecarRig.getRequest("a1", 4_000));
                rig.upstreams.get(0).next();
                rig.stallLoop(900, () -> {});
                assertEquals(502, client.status());
                long tookMs = (System.nanoTime() - sentNanos) / 1_000_000;
                assertTrue(tookMs < 3_600, "answered after " + tookMs + " ms");
            }
        }
    }

    private static long remainingUs(SidecarRig rig, String id) throws InterruptedException {
        return Long.parseLong(rig.awaitEvent("request " + id + " ").split(" ")[2]);
    }

    /** Guards against an exception in the balancer that ends the program or loses the request. */
    @Test
    void anExceptionInTheBalancerFailsTheRequest() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> connection.answer("500 No", "", ""));
            rig.onRequest = (now, request, actions) -> {
                throw new IllegalStateException("thrown by the test");
            };
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals(502, client.status());
                rig.onRequest = (now, request, actions) -> actions.send(request.id(), "u0", 0);
                rig.onOutcome = (id, outcome, decided, actions) -> {
                    throw new IllegalStateException("thrown by the test");
                };
                client.send(SidecarRig.getRequest("a2", 20_000));
                assertEquals(502, client.status());
                rig.onRequest = (now, request, actions) -> actions.startTimer("break", 1);
                client.send(SidecarRig.getRequest("a3", 20_000));
                assertEquals(502, client.status());
            }
        }
    }

    @Test
    void aClientThatLeavesEndsOnlyItsOwnRequest() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> {});
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("request");
            }
            assertEquals("expired a1", rig.awaitEvent("expired"));
            rig.onRequest = (now, request, actions) -> actions.fail(request.id());
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a2", 20_000));
                assertEquals(502, client.status());
            }
        }
    }

    /** Guards against a second response to the client when another attempt ends after the final response. */
    @Test
    void theFirstResponseWinsAndALaterOneIsOnlyReported() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Object[] held = new Object[1];
            rig.addUpstream((message, connection) -> {
                synchronized (held) {
                    held[0] = connection;
                }
            });
            rig.addUpstream((message, connection) -> connection.answer("200 OK", "", "second"));
            rig.onRequest = (now, request, actions) -> actions.send(request.id(), "u0", 0);
            rig.onOutcome = (id, outcome, decided, actions) -> {};
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                rig.upstreams.get(0).next();
                rig.onRequest = (now, request, actions) -> {
                    actions.send("a1", "u1", 0);
                    actions.fail(request.id());
                };
                try (TestServer.Client other = rig.client()) {
                    other.send(SidecarRig.getRequest("a2", 20_000));
                    assertEquals(502, other.status());
                }
                assertEquals("second", client.answer().body());
                assertEquals("outcome a1 1 OK true -", rig.awaitEvent("outcome"));
                synchronized (held) {
                    ((TestServer.Connection) held[0]).answer("200 OK", "", "first");
                }
                assertEquals("outcome a1 0 OK true -", rig.awaitEvent("outcome"));
                client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(404, client.status());
            }
        }
    }

    @Test
    void attemptsBeyondTheMaximumAreNotSent() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer upstream = rig.addUpstream((message, connection) -> connection.answer("500 No", "", ""));
            rig.onOutcome = (id, outcome, decided, actions) -> {
                if (outcome == Outcome.NOT_SENT) {
                    actions.fail(id);
                } else {
                    actions.send(id, "u0", 0);
                }
            };
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals(502, client.status());
                assertEquals(4, upstream.messages.size());
            }
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> connection.answer("200 OK", "", message.header("X-Txn")));
            rig.start();
            try (TestServer.Client client = rig.client()) {
                StringBuilder requests = new StringBuilder();
                for (int i = 0; i < 40; i++) {
                    requests.append(SidecarRig.getRequest("p" + i, 20_000));
                }
                client.send(requests.toString());
                for (int i = 0; i < 40; i++) {
                    assertEquals("p" + i, client.answer().body());
                }
            }
        }
    }
}

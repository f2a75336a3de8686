package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushproxy.Balancer.Outcome;

/** Every request taken gets one final answer, whatever the module does. */
@Timeout(60)
class RequestLifeTest {
    @Test
    void aRefusalIsSaidAtOnceWithTheTimeToComeBack() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, r, out) -> {
                out.refuse(r.id(), 165_000);
                out.fail(r.id());
                out.refuse(r.id(), 0);
            };
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                Peer.Message answer = client.answer();
                assertTrue(answer.head().startsWith("HTTP/1.1 503 "), answer.head());
                assertEquals("0.165", answer.header("Retry-After"));
                // The next answer belongs to the next request: nothing more came about the first.
                client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(404, client.status());
            }
        }
    }

    /** The module may fail to answer; the client's time must not run out over it. */
    @Test
    void aRequestThatTheModuleHoldsIsAnsweredBeforeItsTimeIsUp() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, r, out) -> {};
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 300));
                assertEquals(502, client.status());
                assertEquals("expired a1", rig.awaitEvent("expired"));
            }
        }
    }

    @Test
    void attemptsAreGivenUpAtTheDeadlineAndTheModuleAnswers() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.onRequest = (now, r, out) -> out.send(r.id(), "u0", now + 60_000_000);
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 300));
                assertEquals(502, client.status());
                assertEquals("outcome a1 0 TIMEOUT false -", rig.awaitEvent("outcome"));
            }
        }
    }

    /** Its client has waited meanwhile: answered only when its time has run from then, it would be far too late. */
    @Test
    void whatLayUnreadWhileTheLoopWasHeldUpHasLessTimeLeft() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, r, out) -> out.refuse(r.id(), 0);
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a0", 20_000));
                assertEquals(503, client.status());
                Peer.Client[] fresh = new Peer.Client[1];
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
     * A connection that was opened in a hold-up brought one request that counts as old as that, and then others: these are new, since
     * everything before them had been read. They were told to have no time left and refused within a millisecond, for the first 50 ms.
     */
    @Test
    void whatFollowsOnAConnectionThatWasOpenedInAHoldUpIsNew() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, r, out) -> out.refuse(r.id(), 0);
            rig.start();
            Peer.Client[] fresh = new Peer.Client[1];
            rig.stallLoop(500, () -> fresh[0] = rig.client().send(SidecarRig.getRequest("a1", 300)));
            try (Peer.Client client = fresh[0]) {
                assertEquals(503, client.status());
                assertEquals(1, remaining(rig, "a1"));
                Thread.sleep(15);
                client.send(SidecarRig.getRequest("a2", 300));
                assertEquals(503, client.status());
                long given = remaining(rig, "a2");
                assertTrue(given > 100_000, given + " us");
            }
        }
    }

    /** The way to the client runs through the core that was busy just now. */
    @Test
    void afterAHoldUpAnAnswerIsDueEarlierAndThenAsBefore() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, r, out) -> out.refuse(r.id(), 0);
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a0", 2_000));
                assertEquals(503, client.status());
                long before = remaining(rig, "a0");
                rig.stallLoop(500, () -> {});
                // By now a beat has come: what is read does not count as old itself.
                Thread.sleep(100);
                client.send(SidecarRig.getRequest("a1", 2_000));
                assertEquals(503, client.status());
                long given = remaining(rig, "a1");
                assertTrue(given < before - 300_000, given + " us");
                for (int i = 0; given < before - 50_000; i++) {
                    assertTrue(i < 1_000, given + " us, and not as before");
                    Thread.sleep(20);
                    client.send(SidecarRig.getRequest("b" + i, 2_000));
                    assertEquals(503, client.status());
                    given = remaining(rig, "b" + i);
                }
                // No more than a quarter of a short time is taken away.
                rig.stallLoop(500, () -> {});
                Thread.sleep(100);
                client.send(SidecarRig.getRequest("c1", 100));
                assertEquals(503, client.status());
                assertTrue(remaining(rig, "c1") > 60_000);
            }
        }
    }

    /** The next hold-up may be as long: what waits for an upstream that hangs is answered before it. */
    @Test
    void afterAHoldUpWhatIsHeldIsDueEarlierToo() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.start();
            try (Peer.Client client = rig.client()) {
                long sent = System.nanoTime();
                client.send(SidecarRig.getRequest("a1", 4_000));
                rig.upstreams.get(0).next();
                rig.stallLoop(900, () -> {});
                assertEquals(502, client.status());
                long tookMs = (System.nanoTime() - sent) / 1_000_000;
                assertTrue(tookMs < 3_600, "answered after " + tookMs + " ms");
            }
        }
    }

    private static long remaining(SidecarRig rig, String id) throws InterruptedException {
        return Long.parseLong(rig.awaitEvent("request " + id + " ").split(" ")[2]);
    }

    /** A fault in the module ends neither the program nor the request that met it. */
    @Test
    void anExceptionInTheModuleAnswersWhatItMet() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.answer("500 No", "", ""));
            rig.onRequest = (now, r, out) -> {
                throw new IllegalStateException("as the test wants");
            };
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals(502, client.status());
                rig.onRequest = (now, r, out) -> out.send(r.id(), "u0", 0);
                rig.onOutcome = (id, outcome, done, out) -> {
                    throw new IllegalStateException("as the test wants");
                };
                client.send(SidecarRig.getRequest("a2", 20_000));
                assertEquals(502, client.status());
                rig.onRequest = (now, r, out) -> out.timer("break", 1);
                client.send(SidecarRig.getRequest("a3", 20_000));
                assertEquals(502, client.status());
            }
        }
    }

    @Test
    void aClientThatLeavesEndsItsRequestAndNoOther() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> {});
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("request");
            }
            assertEquals("expired a1", rig.awaitEvent("expired"));
            rig.onRequest = (now, r, out) -> out.fail(r.id());
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a2", 20_000));
                assertEquals(502, client.status());
            }
        }
    }

    /** A second copy's answer, or one after the final answer, must not reach the client. */
    @Test
    void theFirstAnswerCountsAndALaterOneIsOnlyTold() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Object[] held = new Object[1];
            rig.addUpstream((m, line) -> {
                synchronized (held) {
                    held[0] = line;
                }
            });
            rig.addUpstream((m, line) -> line.answer("200 OK", "", "second"));
            rig.onRequest = (now, r, out) -> out.send(r.id(), "u0", 0);
            rig.onOutcome = (id, outcome, done, out) -> {};
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                rig.upstreams.get(0).next();
                rig.onRequest = (now, r, out) -> {
                    out.send("a1", "u1", 0);
                    out.fail(r.id());
                };
                try (Peer.Client other = rig.client()) {
                    other.send(SidecarRig.getRequest("a2", 20_000));
                    assertEquals(502, other.status());
                }
                assertEquals("second", client.answer().body());
                assertEquals("outcome a1 1 OK true -", rig.awaitEvent("outcome"));
                synchronized (held) {
                    ((Peer.Line) held[0]).answer("200 OK", "", "first");
                }
                assertEquals("outcome a1 0 OK true -", rig.awaitEvent("outcome"));
                client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(404, client.status());
            }
        }
    }

    @Test
    void attemptsBeyondWhatIsAllowedAreNotSent() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer up = rig.addUpstream((m, line) -> line.answer("500 No", "", ""));
            rig.onOutcome = (id, outcome, done, out) -> {
                if (outcome == Outcome.NOT_SENT) {
                    out.fail(id);
                } else {
                    out.send(id, "u0", 0);
                }
            };
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals(502, client.status());
                assertEquals(4, up.messages.size());
            }
        }
    }

    @Test
    void requestsSentAheadAreAnsweredInTheirTurn() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
            rig.start();
            try (Peer.Client client = rig.client()) {
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < 40; i++) {
                    all.append(SidecarRig.getRequest("p" + i, 20_000));
                }
                client.send(all.toString());
                for (int i = 0; i < 40; i++) {
                    assertEquals("p" + i, client.answer().body());
                }
            }
        }
    }
}

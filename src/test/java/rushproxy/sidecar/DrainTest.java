package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A drained sidecar says so, answers what it has, holds nobody's connection, and comes back when told. */
@Timeout(60)
class DrainTest {
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";

    private static int ready(Rig rig) throws Exception {
        try (TestServer.Client c = rig.client()) {
            return c.send(READY).status();
        }
    }

    @Test
    void readySaysNoAtOnceAndYesAgainAfterTheCallBack() throws Exception {
        try (Rig rig = new Rig().withAdmin()) {
            rig.upstream((m, line) -> {});
            rig.start();
            assertEquals(200, ready(rig));
            for (int i = 0; i < 2; i++) {
                assertEquals("ACK\n", rig.call("quiesce"));
                assertEquals(503, ready(rig));
            }
            assertEquals("ACK\n", rig.call("health"), "the process runs on");
            for (int i = 0; i < 2; i++) {
                assertEquals("ACK\n", rig.call("resume"));
                assertEquals(200, ready(rig));
            }
        }
    }

    @Test
    void openConnectionsEndAfterTheirAnswersAndIdleOnesInTime() throws Exception {
        try (Rig rig = new Rig().withAdmin()) {
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
            try (TestServer.Client held = rig.client();
                    TestServer.Client used = rig.client();
                    TestServer.Client idle = rig.client()) {
                for (TestServer.Client c : new TestServer.Client[] {used, idle}) {
                    c.send(Rig.get("w" + c.socket.getLocalPort(), 30_000));
                    assertEquals(200, c.status());
                }
                held.send(Rig.get("held", 30_000));
                rig.await("request held");
                assertEquals("ACK\n", rig.call("quiesce"));
                used.send(Rig.get("after", 30_000));
                TestServer.Message m = used.answer();
                assertEquals("after", m.body());
                assertEquals("close", m.header("Connection"));
                assertEquals(null, used.answer());
                assertEquals(null, idle.answer());
                answer.countDown();
                TestServer.Message late = held.answer();
                assertEquals("held", late.body());
                assertEquals("close", late.header("Connection"));
            }
        }
    }

    @Test
    void afterTheCallBackConnectionsStayOpen() throws Exception {
        try (Rig rig = new Rig().withAdmin()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", "ok"));
            rig.start();
            try (TestServer.Client c = rig.client()) {
                rig.call("quiesce");
                rig.call("resume");
                rig.call("quiesce");
                rig.call("resume");
                for (int i = 0; i < 3; i++) {
                    c.send(Rig.get("r" + i, 30_000));
                    assertEquals(null, c.answer().header("Connection"));
                }
            }
        }
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A quiesced sidecar fails its readiness check, answers pending requests, closes its connections, and can be resumed. */
@Timeout(60)
class DrainTest {
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";

    private static int readinessStatus(SidecarRig rig) throws Exception {
        try (TestServer.Client c = rig.client()) {
            return c.send(READY).status();
        }
    }

    @Test
    void readinessFailsWhileQuiescedAndRecoversOnResume() throws Exception {
        try (SidecarRig rig = new SidecarRig().withAdmin()) {
            rig.addUpstream((m, line) -> {});
            rig.start();
            assertEquals(200, readinessStatus(rig));
            for (int i = 0; i < 2; i++) {
                assertEquals("ACK\n", rig.callAdmin("quiesce"));
                assertEquals(503, readinessStatus(rig));
            }
            assertEquals("ACK\n", rig.callAdmin("health"), "the process must keep running");
            for (int i = 0; i < 2; i++) {
                assertEquals("ACK\n", rig.callAdmin("resume"));
                assertEquals(200, readinessStatus(rig));
            }
        }
    }

    @Test
    void quiesceClosesBusyConnectionsAfterTheirResponsesAndIdleOnesToo() throws Exception {
        try (SidecarRig rig = new SidecarRig().withAdmin()) {
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
            try (TestServer.Client pending = rig.client();
                    TestServer.Client used = rig.client();
                    TestServer.Client idle = rig.client()) {
                for (TestServer.Client c : new TestServer.Client[] {used, idle}) {
                    c.send(SidecarRig.getRequest("w" + c.socket.getLocalPort(), 30_000));
                    assertEquals(200, c.status());
                }
                pending.send(SidecarRig.getRequest("pending", 30_000));
                rig.awaitEvent("request pending");
                assertEquals("ACK\n", rig.callAdmin("quiesce"));
                used.send(SidecarRig.getRequest("after", 30_000));
                TestServer.Message m = used.answer();
                assertEquals("after", m.body());
                assertEquals("close", m.header("Connection"));
                assertEquals(null, used.answer());
                assertEquals(null, idle.answer());
                answer.countDown();
                TestServer.Message late = pending.answer();
                assertEquals("pending", late.body());
                assertEquals("close", late.header("Connection"));
            }
        }
    }

    @Test
    void resumeKeepsConnectionsOpen() throws Exception {
        try (SidecarRig rig = new SidecarRig().withAdmin()) {
            rig.addUpstream((m, line) -> line.answer("200 OK", "", "ok"));
            rig.start();
            try (TestServer.Client c = rig.client()) {
                rig.callAdmin("quiesce");
                rig.callAdmin("resume");
                rig.callAdmin("quiesce");
                rig.callAdmin("resume");
                for (int i = 0; i < 3; i++) {
                    c.send(SidecarRig.getRequest("r" + i, 30_000));
                    assertEquals(null, c.answer().header("Connection"));
                }
            }
        }
    }
}

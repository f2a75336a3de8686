package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Before it is ready the sidecar serves itself, from a client's connection to an upstream's answer. It only asked itself for its
 * readiness before: its first real requests then ran code that had never run, 34 to 47 ms for the first of them on a free core, and
 * eight sidecars that had started at once on busy cores answered next to nothing in their first three seconds.
 */
@Timeout(60)
class WarmUpTest {
    @Test
    void allOfItsRequestsAreServedAndNoneReachesTheModule() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Peer upstream = rig.upstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.start();
            WarmUp warmUp = new WarmUp(
                    rig.sidecar.loop(),
                    new Clock(),
                    SidecarRig.config("{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                                    + rig.discovery.address() + "\",\"seed\":\"1\",\"known\":" + rig.knownList()
                                    + ",\"limits\":{\"sockets\":512},\"settings\":"
                                    + SidecarRig.SETTINGS + "}")
                            .settings());
            CountDownLatch done = new CountDownLatch(1);
            rig.sidecar.loop().execute(() -> {
                rig.sidecar.clients().warmsUp(warmUp);
                warmUp.start(rig.address(), done::countDown);
            });
            assertTrue(done.await(30, TimeUnit.SECONDS));
            assertEquals(WarmUp.REQUEST_COUNT, warmUp.successCount());
            assertTrue(rig.events.stream().noneMatch(t -> t.startsWith("request")), rig.events.toString());
            assertEquals(0, upstream.messages.size());
        }
    }

    /** What bears its name but was not sent by it is a request like any other. */
    @Test
    void nobodyElseIsServedByIt() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.start();
            rig.sidecar.warmUp();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.get("a1", 20_000).replace("/api/slots?day=1", "/api/warm-up?0123456789abcdef"));
                assertEquals("served", client.answer().body());
            }
        }
    }
}

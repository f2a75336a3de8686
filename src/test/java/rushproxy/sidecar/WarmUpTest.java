package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The warm-up exercises the whole path of a request, from the client's connection to the response of an upstream. Guards against
 * first requests that run cold code: with only the readiness check exercised, the first request took 34 to 47 ms on an idle core, and
 * eight sidecars started together on busy cores answered almost nothing in their first three seconds.
 */
@Timeout(60)
class WarmUpTest {
    @Test
    void allWarmUpRequestsSucceedWithoutReachingTheBalancerOrUpstreams() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            TestServer upstream = rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.start();
            WarmUp warmUp = new WarmUp(
                    rig.sidecar.loop(),
                    new Clock(),
                    SidecarRig.parseConfig("{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                                    + rig.discovery.address() + "\",\"seed\":\"1\",\"known\":" + rig.knownList()
                                    + ",\"limits\":{\"sockets\":512},\"settings\":"
                                    + SidecarRig.SETTINGS + "}")
                            .settings());
            CountDownLatch done = new CountDownLatch(1);
            rig.sidecar.loop().execute(() -> {
                rig.sidecar.clients().beginWarmUp(warmUp);
                warmUp.start(rig.address(), done::countDown);
            });
            assertTrue(done.await(30, TimeUnit.SECONDS));
            assertEquals(WarmUp.REQUEST_COUNT, warmUp.successCount());
            assertTrue(rig.events.stream().noneMatch(t -> t.startsWith("request")), rig.events.toString());
            assertEquals(0, upstream.messages.size());
        }
    }

    /** Guards against client requests with the path of the warm-up being taken for its own. */
    @Test
    void clientRequestsWithTheWarmUpPathAreProxied() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.start();
            rig.sidecar.warmUp();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000)
                        .replace("/api/slots?day=1", "/api/warm-up?0123456789abcdef"));
                assertEquals("served", client.answer().body());
            }
        }
    }
}

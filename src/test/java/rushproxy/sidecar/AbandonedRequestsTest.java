package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class AbandonedRequestsTest {
    /** How often the upstream runs a request of this class that comes, is left, and comes again once it has run. */
    private static int runs(String semantics) throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            Semaphore hasLeft = new Semaphore(0);
            TestServer upstream = rig.addUpstream((message, connection) -> {
                hasLeft.acquireUninterruptibly();
                connection.answer("200 OK", "", "served");
            });
            rig.settings = SidecarRig.SETTINGS.replace("\"semantics\":\"safe\"", "\"semantics\":\"" + semantics + "\"");
            rig.start();
            try (TestServer.Client leaves = rig.client()) {
                leaves.send(SidecarRig.getRequest("a1", 20_000));
                upstream.next();
            }
            rig.awaitEvent("expired a1");
            hasLeft.release(2);
            rig.awaitEvent("outcome a1 0 OK");
            try (TestServer.Client again = rig.client()) {
                again.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals(semantics.equals("safe") ? 200 : 400, again.status());
            }
            return 1 + upstream.messages.size();
        }
    }

    /** Guards against an id that runs twice because it comes again after its client has left. */
    @Test
    void anIdDoesNotRunAgainAfterItsClientHasLeft() throws Exception {
        assertEquals(1, runs("unsafe"));
        assertEquals(2, runs("safe"));
    }

    /** Guards against memory that grows with ever new ids. */
    @Test
    void idsAreForgottenByAgeAndNumber() {
        AbandonedRequests ids = new AbandonedRequests();
        for (int i = 0; i <= AbandonedRequests.MAX_IDS; i++) {
            ids.add("id" + i, 0);
        }
        assertFalse(ids.contains("id0", 0));
        assertTrue(ids.contains("id1", 0));
        assertFalse(ids.contains("id1", AbandonedRequests.RETENTION_US));
        String longId = "x".repeat(AbandonedRequests.MAX_CHARACTERS - 1);
        ids.add(longId, AbandonedRequests.RETENTION_US);
        ids.add("ab", AbandonedRequests.RETENTION_US);
        assertFalse(ids.contains(longId, AbandonedRequests.RETENTION_US));
        assertTrue(ids.contains("ab", AbandonedRequests.RETENTION_US));
    }
}

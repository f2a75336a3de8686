package rushproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.Outcome;
import rushproxy.Balancer.Request;
import rushproxy.Balancer.Upstream;

/** Key affinity: requests of one key go to the same two servers from every sidecar, and all keys are spread by the shares. */
class AffinityTest {
    private static final int SERVERS = 12;

    private static PolicyHarness harness(long seed, int sidecarIndex) {
        PolicyHarness harness = new PolicyHarness();
        harness.seed = seed;
        harness.sidecarIndex = sidecarIndex;
        Upstream[] servers = new Upstream[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            servers[i] = PolicyHarness.upstream("s" + i, "za", i);
        }
        return harness.start().receiveList(servers);
    }

    private static String send(PolicyHarness harness, String id, long key, boolean answer) {
        harness.advance(3_000);
        harness.policy.onRequest(harness.now, new Request(id, key, false, false, 0, 800_000, null, "c"));
        String at = harness.sentTo(id, 0);
        if (answer && at != null) {
            harness.advance(1_000).outcome(id, 0, at, Outcome.OK, 75_000);
        }
        return at;
    }

    @Test
    void keyUsesTheSameTwoServersFromAllSidecars() {
        for (long key = 0; key < 40; key++) {
            Set<String> used = new HashSet<>();
            for (int sidecar = 0; sidecar < 2; sidecar++) {
                PolicyHarness harness = harness(7 + sidecar, sidecar);
                for (int i = 0; i < 25; i++) {
                    used.add(send(harness, "r" + i, key, true));
                }
            }
            assertTrue(used.size() <= 2, key + ": " + used);
        }
    }

    @Test
    void keysAreSpreadEvenlyOverEqualServers() {
        PolicyHarness harness = harness(7, 0);
        Map<String, Integer> received = new HashMap<>();
        int requests = 6_000;
        for (int i = 0; i < requests; i++) {
            received.merge(send(harness, "r" + i, i, true), 1, Integer::sum);
        }
        assertEquals(SERVERS, received.size());
        received.forEach(
                (s, n) -> assertTrue(Math.abs(n - requests / SERVERS) < requests / SERVERS / 3, received.toString()));
    }

    @Test
    void popularKeySpillsOverWhenItsServersAreFull() {
        PolicyHarness harness = harness(7, 0);
        Map<String, Integer> held = new HashMap<>();
        for (int i = 0; i < SERVERS; i++) {
            held.merge(send(harness, "r" + i, 5, false), 1, Integer::sum);
        }
        assertEquals(
                SERVERS,
                held.values().stream().mapToInt(n -> n).sum(),
                "no request waits while other servers are free");
        assertTrue(held.size() > 4, held.toString());
    }
}

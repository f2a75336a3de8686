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

/** Requests of one key meet the same two servers, at every sidecar, and all keys together each server by its share. */
class AffinityTest {
    private static final int SERVERS = 12;

    private static PolicyHarness rig(long seed, int me) {
        PolicyHarness rig = new PolicyHarness();
        rig.seed = seed;
        rig.sidecarIndex = me;
        Upstream[] ups = new Upstream[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            ups[i] = PolicyHarness.upstream("s" + i, "za", i);
        }
        return rig.start().receiveList(ups);
    }

    private static String send(PolicyHarness rig, String id, long key, boolean answer) {
        rig.advance(3_000);
        rig.policy.onRequest(rig.now, new Request(id, key, false, false, 0, 800_000, null, "c"));
        String at = rig.sentTo(id, 0);
        if (answer && at != null) {
            rig.advance(1_000).outcome(id, 0, at, Outcome.OK, 75_000);
        }
        return at;
    }

    @Test
    void aKeyMeetsTwoServersOnlyAndTheSameAtAllSidecars() {
        for (long key = 0; key < 40; key++) {
            Set<String> pair = new HashSet<>();
            for (int me = 0; me < 2; me++) {
                PolicyHarness rig = rig(7 + me, me);
                for (int i = 0; i < 25; i++) {
                    pair.add(send(rig, "r" + i, key, true));
                }
            }
            assertTrue(pair.size() <= 2, key + ": " + pair);
        }
    }

    @Test
    void overAllKeysServersThatAreAlikeGetAsMuch() {
        PolicyHarness rig = rig(7, 0);
        Map<String, Integer> got = new HashMap<>();
        int requests = 6_000;
        for (int i = 0; i < requests; i++) {
            got.merge(send(rig, "r" + i, i, true), 1, Integer::sum);
        }
        assertEquals(SERVERS, got.size());
        got.forEach((s, n) -> assertTrue(Math.abs(n - requests / SERVERS) < requests / SERVERS / 3, got.toString()));
    }

    @Test
    void aPopularKeyIsServedBeyondItsPairWhereThatIsFull() {
        PolicyHarness rig = rig(7, 0);
        Map<String, Integer> held = new HashMap<>();
        for (int i = 0; i < SERVERS; i++) {
            held.merge(send(rig, "r" + i, 5, false), 1, Integer::sum);
        }
        assertEquals(SERVERS, held.values().stream().mapToInt(n -> n).sum(), "none waits while others are free");
        assertTrue(held.size() > 4, held.toString());
    }
}

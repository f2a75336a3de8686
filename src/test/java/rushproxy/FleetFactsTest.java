package rushproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.Fleet;
import rushproxy.Balancer.Standing;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;

/** What the module makes of word on the fleet: the table of docs/MEMBERSHIP.md. */
class FleetFactsTest {
    private static Rig rig() {
        Rig rig = new Rig();
        rig.balancers = 10;
        return rig.start();
    }

    private static void told(Rig rig, int here, Standing standing) {
        rig.policy.onFleet(rig.now, new Fleet(here, List.of(here, 0, 0), standing, rig.now + 3_000_000));
    }

    @Test
    void theLivingCountInAMajorityOnlyAndOnlyForAWhile() {
        Rig rig = rig();
        assertEquals(10, rig.policy.sidecars(rig.now), "never told");
        told(rig, 7, Standing.MAJORITY);
        assertEquals(7, rig.policy.sidecars(rig.now));
        assertEquals(10, rig.policy.sidecars(rig.now + 3_000_000), "past its bound");
        told(rig, 3, Standing.MINORITY);
        assertEquals(10, rig.policy.sidecars(rig.now));
        told(rig, 1, Standing.NOBODY);
        assertEquals(10, rig.policy.sidecars(rig.now));
        told(rig, 99, Standing.MAJORITY);
        assertEquals(10, rig.policy.sidecars(rig.now), "more than there are");
    }

    /** All requests that a cold server gets in a while, at the rate of a crowd. */
    private static int sentToCold(Rig rig) {
        rig.list(new Upstream("cold", "za", "k", 0, rig.now, 1, UpstreamState.READY));
        for (int i = 0; i < 2_000; i++) {
            rig.after(1_000).request("r" + i);
        }
        return rig.take("send ").size();
    }

    @Test
    void whoIsGoneLeavesNobodyMoreOfAColdServersBudget() {
        Rig without = new Rig().start();
        int before = sentToCold(without);
        // Even a lie.
        Rig with = new Rig().start();
        with.policy.onFleet(with.now, new Fleet(1, List.of(1, 0, 0), Standing.MAJORITY, with.now + 60_000_000));
        assertTrue(before > 0);
        int after = sentToCold(with);
        assertTrue(after <= before, after + " after " + before);
    }
}

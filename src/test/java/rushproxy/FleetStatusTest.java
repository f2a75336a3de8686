package rushproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.FleetStatus;
import rushproxy.Balancer.QuorumState;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;

/** What the module makes of word on the fleet: the table of docs/MEMBERSHIP.md. */
class FleetStatusTest {
    private static PolicyHarness rig() {
        PolicyHarness rig = new PolicyHarness();
        rig.sidecarCount = 10;
        return rig.start();
    }

    private static void told(PolicyHarness rig, int here, QuorumState standing) {
        rig.policy.onFleetStatus(rig.now, new FleetStatus(here, List.of(here, 0, 0), standing, rig.now + 3_000_000));
    }

    @Test
    void theLivingCountInAMajorityOnlyAndOnlyForAWhile() {
        PolicyHarness rig = rig();
        assertEquals(10, rig.policy.effectiveSidecars(rig.now), "never told");
        told(rig, 7, QuorumState.MAJORITY);
        assertEquals(7, rig.policy.effectiveSidecars(rig.now));
        assertEquals(10, rig.policy.effectiveSidecars(rig.now + 3_000_000), "past its bound");
        told(rig, 3, QuorumState.MINORITY);
        assertEquals(10, rig.policy.effectiveSidecars(rig.now));
        told(rig, 1, QuorumState.NOBODY);
        assertEquals(10, rig.policy.effectiveSidecars(rig.now));
        told(rig, 99, QuorumState.MAJORITY);
        assertEquals(10, rig.policy.effectiveSidecars(rig.now), "more than there are");
    }

    /** All requests that a cold server gets in a while, at the rate of a crowd. */
    private static int sentToCold(PolicyHarness rig) {
        rig.receiveList(new Upstream("cold", "za", "k", 0, rig.now, 1, UpstreamState.READY));
        for (int i = 0; i < 2_000; i++) {
            rig.advance(1_000).request("r" + i);
        }
        return rig.actionsWith("send ").size();
    }

    @Test
    void whoIsGoneLeavesNobodyMoreOfAColdServersBudget() {
        PolicyHarness without = new PolicyHarness().start();
        int before = sentToCold(without);
        // Even a lie.
        PolicyHarness with = new PolicyHarness().start();
        with.policy.onFleetStatus(
                with.now, new FleetStatus(1, List.of(1, 0, 0), QuorumState.MAJORITY, with.now + 60_000_000));
        assertTrue(before > 0);
        int after = sentToCold(with);
        assertTrue(after <= before, after + " after " + before);
    }
}

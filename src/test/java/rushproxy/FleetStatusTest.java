package rushproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.FleetStatus;
import rushproxy.Balancer.QuorumState;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;

/** How the policy uses the fleet's membership, as in the table of docs/MEMBERSHIP.md. */
class FleetStatusTest {
    private static PolicyHarness harness() {
        PolicyHarness harness = new PolicyHarness();
        harness.sidecarCount = 10;
        return harness.start();
    }

    private static void setStatus(PolicyHarness harness, int live, QuorumState quorum) {
        harness.policy.onFleetStatus(
                harness.now, new FleetStatus(live, List.of(live, 0, 0), quorum, harness.now + 3_000_000));
    }

    @Test
    void liveSidecarsCountOnlyInAMajorityAndWhileValid() {
        PolicyHarness harness = harness();
        assertEquals(10, harness.policy.effectiveSidecars(harness.now), "no status");
        setStatus(harness, 7, QuorumState.MAJORITY);
        assertEquals(7, harness.policy.effectiveSidecars(harness.now));
        assertEquals(10, harness.policy.effectiveSidecars(harness.now + 3_000_000), "status has expired");
        setStatus(harness, 3, QuorumState.MINORITY);
        assertEquals(10, harness.policy.effectiveSidecars(harness.now));
        setStatus(harness, 1, QuorumState.NOBODY);
        assertEquals(10, harness.policy.effectiveSidecars(harness.now));
        setStatus(harness, 99, QuorumState.MAJORITY);
        assertEquals(10, harness.policy.effectiveSidecars(harness.now), "more than configured");
    }

    /** Number of requests that a cold server gets in 2 s under overload. */
    private static int sentToCold(PolicyHarness harness) {
        harness.receiveList(new Upstream("cold", "za", "k", 0, harness.now, 1, UpstreamState.READY));
        for (int i = 0; i < 2_000; i++) {
            harness.advance(1_000).request("r" + i);
        }
        return harness.actionsWith("send ").size();
    }

    @Test
    void fewerLiveSidecarsDoNotRaiseAColdServersBudget() {
        PolicyHarness withoutStatus = new PolicyHarness().start();
        int before = sentToCold(withoutStatus);
        // Even a false status has no effect.
        PolicyHarness withStatus = new PolicyHarness().start();
        withStatus.policy.onFleetStatus(
                withStatus.now,
                new FleetStatus(1, List.of(1, 0, 0), QuorumState.MAJORITY, withStatus.now + 60_000_000));
        assertTrue(before > 0);
        int after = sentToCold(withStatus);
        assertTrue(after <= before, after + " with a status of one sidecar, without it " + before);
    }
}

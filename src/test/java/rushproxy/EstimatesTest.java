package rushproxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.Outcome;

/** What one instance has learned is the beginning of another. */
class EstimatesTest {
    /** Learns that servers are three times as slow as the settings' classes say. */
    private static PolicyHarness taught(double slower) {
        PolicyHarness rig = new PolicyHarness()
                .start()
                .receiveList(PolicyHarness.upstream("s0", "za", 0), PolicyHarness.upstream("s1", "za", 1));
        for (int i = 0; i < 200; i++) {
            rig.advance(5_000).request("r" + i);
            if (rig.sentTo("r" + i, 0) != null) {
                long us = (long) (75_000 * slower);
                rig.advance(us).outcome("r" + i, 0, rig.sentTo("r" + i, 0), Outcome.OK, us);
            }
        }
        return rig;
    }

    @Test
    void aFreshOneBeginsWhereTheOthersAre() {
        PolicyHarness fresh = new PolicyHarness().start();
        byte[] known = taught(0.5).policy.exportEstimates();
        assertFalse(java.util.Arrays.equals(known, fresh.policy.exportEstimates()));
        assertEquals(2, fresh.policy.importEstimates(fresh.now, List.of(known, known)));
        assertArrayEquals(known, fresh.policy.exportEstimates());
    }

    @Test
    void oneAmongThreeMovesNothing() {
        byte[] known = taught(0.5).policy.exportEstimates();
        Estimates lie = new Estimates(settings());
        assertTrue(lie.decode(known));
        java.util.Arrays.fill(lie.slowness, 100);
        lie.congestion = 500;
        PolicyHarness fresh = new PolicyHarness().start();
        fresh.policy.importEstimates(fresh.now, List.of(known, lie.encode(), known));
        assertArrayEquals(known, fresh.policy.exportEstimates());
    }

    private static Balancer.Settings settings() {
        Balancer.RequestClass c = new Balancer.RequestClass(
                "c", Balancer.Semantics.SAFE, Balancer.DedupScope.ALL, 0, 1, 0, 1, 1, 0, false);
        return new Balancer.Settings(
                0,
                2,
                "za",
                List.of("za", "zb", "zc"),
                List.of("k"),
                List.of(c),
                List.of(),
                null,
                null,
                Balancer.LoadReporting.INLINE,
                false,
                false,
                0,
                null,
                1);
    }

    @Test
    void whatIsNoKnowledgeIsLeftOut() {
        PolicyHarness fresh = new PolicyHarness().start();
        byte[] own = fresh.policy.exportEstimates();
        byte[] known = taught(0.5).policy.exportEstimates();
        byte[] version = known.clone();
        version[0] = 9;
        byte[] shape = known.clone();
        shape[2]++;
        byte[] impossible = known.clone();
        java.nio.ByteBuffer.wrap(impossible).putFloat(5, Float.NaN);
        byte[] negative = known.clone();
        java.nio.ByteBuffer.wrap(negative).putFloat(known.length - 8, -1);
        List<byte[]> bad = List.of(new byte[0], new byte[500], version, shape, impossible, negative);
        assertEquals(0, fresh.policy.importEstimates(fresh.now, bad));
        assertArrayEquals(own, fresh.policy.exportEstimates());
    }

    @Test
    void whoKnowsMoreItselfTakesNothing() {
        PolicyHarness old = taught(2);
        byte[] own = old.policy.exportEstimates();
        old.policy.importEstimates(old.now, List.of(taught(0.5).policy.exportEstimates()));
        assertArrayEquals(own, old.policy.exportEstimates());
    }
}

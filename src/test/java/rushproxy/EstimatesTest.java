package rushproxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.Outcome;

/** Estimates exported by one sidecar initialise another. */
class EstimatesTest {
    /** A policy that has learned that latencies are {@code slower} times those implied by the settings. */
    private static PolicyHarness trainedHarness(double slower) {
        PolicyHarness harness = new PolicyHarness()
                .start()
                .receiveList(PolicyHarness.upstream("s0", "za", 0), PolicyHarness.upstream("s1", "za", 1));
        for (int i = 0; i < 200; i++) {
            harness.advance(5_000).request("r" + i);
            if (harness.sentTo("r" + i, 0) != null) {
                long latencyUs = (long) (75_000 * slower);
                harness.advance(latencyUs).outcome("r" + i, 0, harness.sentTo("r" + i, 0), Outcome.OK, latencyUs);
            }
        }
        return harness;
    }

    @Test
    void freshPolicyTakesImportedEstimates() {
        PolicyHarness fresh = new PolicyHarness().start();
        byte[] export = trainedHarness(0.5).policy.exportEstimates();
        assertFalse(java.util.Arrays.equals(export, fresh.policy.exportEstimates()));
        assertEquals(2, fresh.policy.importEstimates(fresh.now, List.of(export, export)));
        assertArrayEquals(export, fresh.policy.exportEstimates());
    }

    @Test
    void falseExportAmongThreeHasNoEffect() {
        byte[] export = trainedHarness(0.5).policy.exportEstimates();
        Estimates falseExport = new Estimates(settings());
        assertTrue(falseExport.decode(export));
        java.util.Arrays.fill(falseExport.slowness, 100);
        falseExport.congestion = 500;
        PolicyHarness fresh = new PolicyHarness().start();
        fresh.policy.importEstimates(fresh.now, List.of(export, falseExport.encode(), export));
        assertArrayEquals(export, fresh.policy.exportEstimates());
    }

    private static Balancer.Settings settings() {
        Balancer.RequestClass requestClass = new Balancer.RequestClass(
                "c", Balancer.Semantics.SAFE, Balancer.DedupScope.ALL, 0, 1, 0, 1, 1, 0, false);
        return new Balancer.Settings(
                0,
                2,
                "za",
                List.of("za", "zb", "zc"),
                List.of("k"),
                List.of(requestClass),
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
    void malformedExportsAreIgnored() {
        PolicyHarness fresh = new PolicyHarness().start();
        byte[] own = fresh.policy.exportEstimates();
        byte[] export = trainedHarness(0.5).policy.exportEstimates();
        byte[] version = export.clone();
        version[0] = 9;
        byte[] shape = export.clone();
        shape[2]++;
        byte[] notANumber = export.clone();
        java.nio.ByteBuffer.wrap(notANumber).putFloat(5, Float.NaN);
        byte[] negative = export.clone();
        java.nio.ByteBuffer.wrap(negative).putFloat(export.length - 8, -1);
        List<byte[]> bad = List.of(new byte[0], new byte[500], version, shape, notANumber, negative);
        assertEquals(0, fresh.policy.importEstimates(fresh.now, bad));
        assertArrayEquals(own, fresh.policy.exportEstimates());
    }

    @Test
    void policyWithManyAnswersKeepsItsEstimates() {
        PolicyHarness trained = trainedHarness(2);
        byte[] own = trained.policy.exportEstimates();
        trained.policy.importEstimates(
                trained.now, List.of(trainedHarness(0.5).policy.exportEstimates()));
        assertArrayEquals(own, trained.policy.exportEstimates());
    }
}

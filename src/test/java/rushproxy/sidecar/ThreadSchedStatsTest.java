package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Parsing of the kernel's schedstat file. */
class ThreadSchedStatsTest {
    @Test
    void parsesALineAndComputesTheDifference() {
        ThreadSchedStats before = ThreadSchedStats.parse("1000000 2000000 5\n");
        assertEquals(
                new ThreadSchedStats(3, 40),
                ThreadSchedStats.parse("4000000 42000000 9\n").since(before));
    }

    @Test
    void currentThreadHasStatsIfTheKernelProvidesThem() {
        ThreadSchedStats.ofCurrentThread().ifPresent(stats -> assertTrue(stats.cpuMs() > 0));
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Processor time and waits as the kernel writes them. */
class ThreadSchedStatsTest {
    @Test
    void aLineIsReadAndCompared() {
        ThreadSchedStats before = ThreadSchedStats.parse("1000000 2000000 5\n");
        assertEquals(
                new ThreadSchedStats(3, 40),
                ThreadSchedStats.parse("4000000 42000000 9\n").since(before));
    }

    @Test
    void theCallingThreadHasFiguresWhereTheKernelTells() {
        ThreadSchedStats.ofCurrentThread().ifPresent(figures -> assertTrue(figures.cpuMs() > 0));
    }
}

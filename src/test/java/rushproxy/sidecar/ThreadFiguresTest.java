package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Processor time and waits as the kernel writes them. */
class ThreadFiguresTest {
    @Test
    void aLineIsReadAndCompared() {
        ThreadFigures before = ThreadFigures.parse("1000000 2000000 5\n");
        assertEquals(
                new ThreadFigures(3, 40),
                ThreadFigures.parse("4000000 42000000 9\n").since(before));
    }

    @Test
    void theCallingThreadHasFiguresWhereTheKernelTells() {
        ThreadFigures.ofCallingThread().ifPresent(figures -> assertTrue(figures.ranMs() > 0));
    }
}

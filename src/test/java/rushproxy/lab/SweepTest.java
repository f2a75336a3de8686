package rushproxy.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class SweepTest {
    /** Differences 1, 2, 3: mean 2, standard error 1/sqrt(3), Student's t for two degrees of freedom 4.303. */
    @Test
    void theIntervalIsStudents() {
        Sweep.Difference d = Sweep.difference(List.of(2.0, 4.0, 6.0), List.of(1.0, 2.0, 3.0));
        assertEquals(2, d.mean(), 1e-12);
        assertEquals(2 - 4.302653 / Math.sqrt(3), d.low(), 1e-5);
        assertEquals(2 + 4.302653 / Math.sqrt(3), d.high(), 1e-5);
        assertFalse(d.shown());
        assertTrue(d.words().endsWith("no difference shown"));
    }

    @Test
    void aSteadyDifferenceIsShownAndOnePairShowsNothing() {
        assertTrue(Sweep.difference(List.of(0.9, 0.91, 0.93), List.of(0.8, 0.81, 0.82))
                .shown());
        assertFalse(Sweep.difference(List.of(0.9), List.of(0.1)).shown());
    }

    @Test
    void theMedianOfAnEvenNumberLiesBetween() {
        assertEquals(new Sweep.Spread(1, 2.5, 9), Sweep.spread(List.of(9.0, 1.0, 2.0, 3.0)));
    }

    @Test
    void seedsAreNumbersAndRanges() {
        assertEquals(List.of(3L, 7L, 8L, 9L), Sweep.seeds("3,7-9"));
        for (String bad : List.of("", "a", "5-3", "1-5000", "-2")) {
            assertThrows(IllegalArgumentException.class, () -> Sweep.seeds(bad), bad);
        }
    }
}

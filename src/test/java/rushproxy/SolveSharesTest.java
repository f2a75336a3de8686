package rushproxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks Eq. (4) against the paper's corollaries and hand-computed cases. */
class SolveSharesTest {
    private static double[] d(double... values) {
        return values;
    }

    @Test
    void sharesAreProportionalAtAndAboveSaturation() {
        assertArrayEquals(d(2.0 / 3, 1.0 / 3), Policy.solveShares(d(1, 1), d(2, 1), 3), 1e-9);
        assertArrayEquals(d(2.0 / 3, 1.0 / 3), Policy.solveShares(d(1, 1), d(2, 1), 30), 1e-9);
    }

    @Test
    void fastestGroupTakesAllAtLowRates() {
        assertArrayEquals(d(1, 0), Policy.solveShares(d(1, 1), d(2, 1), 0.1), 1e-9);
        assertArrayEquals(d(0, 1), Policy.solveShares(d(3, 2), d(1, 4), 0), 1e-9);
    }

    @Test
    void matchesHandComputedCase() {
        // n = 2, mu = 4 and 1, rate 3: p1 = (4*1 - 1*2 + 3*2) / (3*(2+1)) = 8/9.
        assertArrayEquals(d(8.0 / 9, 1.0 / 9), Policy.solveShares(d(1, 1), d(4, 1), 3), 1e-9);
    }

    @Test
    void groupsWithNegativeSharesAreDropped() {
        // Of mu = 9, 4, 1/4 at rate 6 the slow group goes negative; the rest alone: p1 = (9*2 - 4*3 + 6*3)
        // / 30.
        double[] p = Policy.solveShares(d(1, 1, 1), d(9, 4, 0.25), 6);
        assertArrayEquals(d(24.0 / 30, 6.0 / 30, 0), p, 1e-9);
    }

    @Test
    void sharesDoNotDependOnTheScaleOfTheGroups() {
        double[] small = Policy.solveShares(d(2, 3), d(2, 1), 5);
        double[] large = Policy.solveShares(d(200, 300), d(2, 1), 500);
        assertArrayEquals(small, large, 1e-9);
        assertEquals(1, small[0] + small[1], 1e-9);
    }

    @Test
    void degenerateInputs() {
        assertArrayEquals(d(1), Policy.solveShares(d(5), d(2), 0.5), 1e-9);
        assertArrayEquals(d(0, 1), Policy.solveShares(d(0, 2), d(5, 1), 1), 1e-9);
        assertArrayEquals(d(0, 0), Policy.solveShares(d(0, 0), d(5, 1), 1), 1e-9);
        assertEquals(0, Policy.solveShares(d(), d(), 1).length);
        double[] p = Policy.solveShares(d(1, 2, 3, 1), d(0.3, 7, 2, 90), 40);
        double sum = 0;
        for (double x : p) {
            assertTrue(x >= 0 && x <= 1);
            sum += x;
        }
        assertEquals(1, sum, 1e-9);
    }
}

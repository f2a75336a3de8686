package rushproxy.fleet.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rushproxy.fleet.release.Gate.Verdict;
import rushproxy.lab.sim.GateFigures;
import rushproxy.lab.sim.GateFigures.Judged;
import rushproxy.lab.sim.GateFigures.Release;

/** Which stages of a release go on, wait, are halted and taken back. */
class GateTest {
    private static final long SECOND_US = 1_000_000;
    private static final Gate.Criteria CRITERIA = Gate.Criteria.DEFAULT;

    private static Tally tally(int good, long us, int failed, int silent) {
        Tally t = new Tally();
        for (int i = 0; i < good; i++) {
            t.addSuccess(us + i % 10 * us / 100);
        }
        for (int i = 0; i < failed; i++) {
            t.addFailure();
        }
        for (int i = 0; i < silent; i++) {
            t.addTimeout();
        }
        return t;
    }

    /** Batches of a second until a verdict other than to wait; null where there is none in the time. */
    private static Gate.Decision run(
            Gate gate,
            int seconds,
            java.util.function.IntFunction<Tally> fresh,
            java.util.function.IntFunction<Tally> control) {
        for (int s = 0; s < seconds; s++) {
            gate.addBatch("read in a", fresh.apply(s), control.apply(s));
            Gate.Decision r = gate.decide(s * SECOND_US);
            if (r.verdict() != Verdict.WAIT) {
                return r;
            }
        }
        return null;
    }

    /** A thousand good releases, with faults that hit both groups: the stated chance is one in a hundred. */
    @Test
    void falseHaltRateStaysWithinTheBound() {
        int halted = 0;
        for (long seed = 1; seed <= 1_000; seed++) {
            Judged j = GateFigures.judge(Release.GOOD, 60, 0.2, CRITERIA, seed);
            halted += j.verdict() == Verdict.ON ? 0 : 1;
        }
        assertTrue(halted <= CRITERIA.falseHaltProbability() * 1_000, halted + " of 1000");
    }

    @Test
    void badReleasesAreHalted() {
        for (long seed = 1; seed <= 20; seed++) {
            for (Release bad : new Release[] {new Release(0.2, 1, false, 0, true), new Release(0, 3, false, 0, true)}) {
                Judged j = GateFigures.judge(bad, 200, 0.2, CRITERIA, seed);
                assertTrue(
                        j.verdict() == Verdict.HALT || j.verdict() == Verdict.BACK, bad + ", seed " + seed + ": " + j);
                assertTrue(j.afterS() < CRITERIA.minDurationUs() / SECOND_US, "before it would have gone on: " + j);
            }
        }
    }

    @Test
    void regressionInOneStratumIsDetected() {
        Gate gate = new Gate(CRITERIA);
        Gate.Decision r = null;
        for (int s = 0; s < 60 && (r == null || r.verdict() == Verdict.WAIT); s++) {
            for (int zone = 0; zone < 5; zone++) {
                gate.addBatch("read in z" + zone, tally(20, 10_000, zone == 3 ? 6 : 0, 0), tally(60, 10_000, 0, 0));
            }
            r = gate.decide(s * SECOND_US);
        }
        assertTrue(r.verdict() != Verdict.ON && r.reason().contains("strongest in read in z3"), r.toString());
    }

    @Test
    void fastErrorsCountAsFailures() {
        Gate.Decision r = run(new Gate(CRITERIA), 60, s -> tally(5, 1_000, 10, 0), s -> tally(60, 10_000, 0, 0));
        assertTrue(r.verdict() == Verdict.HALT || r.verdict() == Verdict.BACK);
        assertTrue(r.reason().startsWith("failures"), r.reason());
    }

    @Test
    void lateRegressionIsDetectedWithinTheStage() {
        Gate.Criteria slow = new Gate.Criteria(120 * SECOND_US, 600 * SECOND_US, 200, 0.01, 0.02, 1.25, 0.3);
        Gate.Decision r =
                run(new Gate(slow), 115, s -> tally(20, 10_000, s < 60 ? 0 : 4, 0), s -> tally(60, 10_000, 0, 0));
        assertTrue(r.verdict() != Verdict.ON, r.toString());
    }

    @Test
    void faultInBothGroupsIsInconclusive() {
        Gate gate = new Gate(CRITERIA);
        assertEquals(null, run(gate, 60, s -> tally(10, 10_000, 10, 0), s -> tally(30, 10_000, 30, 0)));
        assertEquals(
                "control servers fail too: inconclusive",
                gate.decide(60 * SECOND_US).reason());
        // And slowness of both is none of the new ones'.
        Gate other = new Gate(CRITERIA);
        Gate.Decision r = run(
                other,
                60,
                s -> tally(20, s < 10 ? 10_000 : 40_000, 0, 0),
                s -> tally(60, s < 10 ? 10_000 : 40_000, 0, 0));
        assertEquals(Verdict.ON, r.verdict(), r.reason());
    }

    @Test
    void tooLittleTrafficWaitsAndThenHalts() {
        Gate gate = new Gate(CRITERIA);
        for (int minute = 0; minute < 9; minute++) {
            gate.addBatch("read in a", tally(1, 10_000, 0, 0), tally(2, 10_000, 0, 0));
            Gate.Decision r = gate.decide(minute * 60 * SECOND_US);
            assertEquals(Verdict.WAIT, r.verdict());
            assertEquals(
                    (minute + 1) + " answers of new and " + 2 * (minute + 1)
                            + " of control servers, 200 of each are needed",
                    r.reason());
        }
        Gate.Decision r = gate.decide(600 * SECOND_US);
        assertTrue(
                r.verdict() == Verdict.HALT && r.reason().startsWith("inconclusive at the end of the stage"),
                r.toString());
    }

    @Test
    void missingControlEndsInAHalt() {
        Gate.Decision r = run(new Gate(CRITERIA), 700, s -> tally(20, 10_000, 10, 0), s -> new Tally());
        assertEquals(Verdict.HALT, r.verdict());
        assertTrue(r.reason().contains("0 of control"), r.reason());
    }

    @Test
    void deltaOfARestartedProcessCountsFromItsStart() {
        Tally before = tally(10, 10_000, 2, 1);
        Tally after = tally(15, 10_000, 2, 4);
        Tally d = after.deltaSince(before);
        assertEquals("8 0 3 5", d.attempts() + " " + d.failures() + " " + d.timeouts() + " " + d.successes());
        Tally anew = tally(3, 10_000, 0, 0).deltaSince(before);
        assertEquals(
                "3 0 0 3", anew.attempts() + " " + anew.failures() + " " + anew.timeouts() + " " + anew.successes());
    }
}

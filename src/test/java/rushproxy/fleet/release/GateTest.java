package rushproxy.fleet.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rushproxy.fleet.release.Gate.Verdict;
import rushproxy.lab.sim.GateFigures;
import rushproxy.lab.sim.GateFigures.Judged;
import rushproxy.lab.sim.GateFigures.Release;

/** Decisions on the stages of a release. */
class GateTest {
    private static final long SECOND_US = 1_000_000;
    private static final Gate.Criteria CRITERIA = Gate.Criteria.DEFAULT;

    private static Tally tally(int successes, long latencyUs, int failures, int timeouts) {
        Tally tally = new Tally();
        for (int i = 0; i < successes; i++) {
            tally.addSuccess(latencyUs + i % 10 * latencyUs / 100);
        }
        for (int i = 0; i < failures; i++) {
            tally.addFailure();
        }
        for (int i = 0; i < timeouts; i++) {
            tally.addTimeout();
        }
        return tally;
    }

    /** Adds one batch per second until a verdict other than WAIT; null if there is none. */
    private static Gate.Decision run(
            Gate gate,
            int seconds,
            java.util.function.IntFunction<Tally> candidate,
            java.util.function.IntFunction<Tally> control) {
        for (int second = 0; second < seconds; second++) {
            gate.addBatch("read in a", candidate.apply(second), control.apply(second));
            Gate.Decision decision = gate.decide(second * SECOND_US);
            if (decision.verdict() != Verdict.WAIT) {
                return decision;
            }
        }
        return null;
    }

    /** Good releases with faults in both groups must not be halted more often than the configured probability of 1%. */
    @Test
    void falseHaltRateStaysWithinTheBound() {
        int halted = 0;
        for (long seed = 1; seed <= 1_000; seed++) {
            Judged judged = GateFigures.judge(Release.GOOD, 60, 0.2, CRITERIA, seed);
            halted += judged.verdict() == Verdict.ON ? 0 : 1;
        }
        assertTrue(halted <= CRITERIA.falseHaltProbability() * 1_000, halted + " of 1000");
    }

    @Test
    void badReleasesAreHalted() {
        for (long seed = 1; seed <= 20; seed++) {
            for (Release bad : new Release[] {new Release(0.2, 1, false, 0, true), new Release(0, 3, false, 0, true)}) {
                Judged judged = GateFigures.judge(bad, 200, 0.2, CRITERIA, seed);
                assertTrue(
                        judged.verdict() == Verdict.HALT || judged.verdict() == Verdict.BACK,
                        bad + ", seed " + seed + ": " + judged);
                assertTrue(
                        judged.afterS() < CRITERIA.minDurationUs() / SECOND_US,
                        "halted only after the minimum duration: " + judged);
            }
        }
    }

    @Test
    void regressionInOneStratumIsDetected() {
        Gate gate = new Gate(CRITERIA);
        Gate.Decision decision = null;
        for (int second = 0; second < 60 && (decision == null || decision.verdict() == Verdict.WAIT); second++) {
            for (int zone = 0; zone < 5; zone++) {
                gate.addBatch("read in z" + zone, tally(20, 10_000, zone == 3 ? 6 : 0, 0), tally(60, 10_000, 0, 0));
            }
            decision = gate.decide(second * SECOND_US);
        }
        assertTrue(
                decision.verdict() != Verdict.ON && decision.reason().contains("strongest in read in z3"),
                decision.toString());
    }

    @Test
    void fastErrorsCountAsFailures() {
        Gate.Decision decision = run(new Gate(CRITERIA), 60, s -> tally(5, 1_000, 10, 0), s -> tally(60, 10_000, 0, 0));
        assertTrue(decision.verdict() == Verdict.HALT || decision.verdict() == Verdict.BACK);
        assertTrue(decision.reason().startsWith("failures"), decision.reason());
    }

    @Test
    void lateRegressionIsDetectedWithinTheStage() {
        Gate.Criteria slow = new Gate.Criteria(120 * SECOND_US, 600 * SECOND_US, 200, 0.01, 0.02, 1.25, 0.3);
        Gate.Decision decision =
                run(new Gate(slow), 115, s -> tally(20, 10_000, s < 60 ? 0 : 4, 0), s -> tally(60, 10_000, 0, 0));
        assertTrue(decision.verdict() != Verdict.ON, decision.toString());
    }

    @Test
    void faultInBothGroupsIsInconclusive() {
        Gate gate = new Gate(CRITERIA);
        assertEquals(null, run(gate, 60, s -> tally(10, 10_000, 10, 0), s -> tally(30, 10_000, 30, 0)));
        assertEquals(
                "control servers fail too: inconclusive",
                gate.decide(60 * SECOND_US).reason());
        // Slowness of both groups is not held against the candidate either.
        Gate other = new Gate(CRITERIA);
        Gate.Decision decision = run(
                other,
                60,
                s -> tally(20, s < 10 ? 10_000 : 40_000, 0, 0),
                s -> tally(60, s < 10 ? 10_000 : 40_000, 0, 0));
        assertEquals(Verdict.ON, decision.verdict(), decision.reason());
    }

    @Test
    void tooLittleTrafficWaitsAndThenHalts() {
        Gate gate = new Gate(CRITERIA);
        for (int minute = 0; minute < 9; minute++) {
            gate.addBatch("read in a", tally(1, 10_000, 0, 0), tally(2, 10_000, 0, 0));
            Gate.Decision decision = gate.decide(minute * 60 * SECOND_US);
            assertEquals(Verdict.WAIT, decision.verdict());
            assertEquals(
                    (minute + 1) + " answers of new and " + 2 * (minute + 1)
                            + " of control servers, 200 of each are needed",
                    decision.reason());
        }
        Gate.Decision decision = gate.decide(600 * SECOND_US);
        assertTrue(
                decision.verdict() == Verdict.HALT
                        && decision.reason().startsWith("inconclusive at the end of the stage"),
                decision.toString());
    }

    @Test
    void missingControlEndsInAHalt() {
        Gate.Decision decision = run(new Gate(CRITERIA), 700, s -> tally(20, 10_000, 10, 0), s -> new Tally());
        assertEquals(Verdict.HALT, decision.verdict());
        assertTrue(decision.reason().contains("0 of control"), decision.reason());
    }

    @Test
    void deltaOfARestartedProcessCountsFromItsStart() {
        Tally before = tally(10, 10_000, 2, 1);
        Tally after = tally(15, 10_000, 2, 4);
        Tally delta = after.deltaSince(before);
        assertEquals(
                "8 0 3 5",
                delta.attempts() + " " + delta.failures() + " " + delta.timeouts() + " " + delta.successes());
        Tally restarted = tally(3, 10_000, 0, 0).deltaSince(before);
        assertEquals(
                "3 0 0 3",
                restarted.attempts() + " " + restarted.failures() + " " + restarted.timeouts() + " "
                        + restarted.successes());
    }
}

package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Attempts for a client that is gone are found regardless of the laboratory's own lateness. */
class DepartedClientCheckerTest {
    private static final long TOO_LATE_MS = 201;

    private static RecordedRunBuilder left() {
        return new RecordedRunBuilder().asked(1_000, "a").clientLeft(1_100, "a");
    }

    @Test
    void attemptStartedTooLateAfterClientLeftIsViolation() {
        assertEquals(1, left().got(1_100 + TOO_LATE_MS, 1_400, "a").violations(new DepartedClientChecker()));
        assertEquals(0, left().got(1_099 + TOO_LATE_MS, 1_400, "a").violations(new DepartedClientChecker()));
    }

    @Test
    void attemptStartedTooLateAfterClientTimeoutIsViolation() {
        assertEquals(
                1,
                new RecordedRunBuilder()
                        .asked(1_000, "a")
                        .gaveUp(1_870, "a")
                        .got(1_870 + TOO_LATE_MS, 2_100, "a")
                        .violations(new DepartedClientChecker()));
    }

    /** Guards against blaming the sidecar for a first byte that the laboratory read late. */
    @Test
    void attemptPossiblyStartedInTimeIsAllowed() {
        assertEquals(0, left().got(1_099 + TOO_LATE_MS, 1_600, 1_610, "a").violations(new DepartedClientChecker()));
    }

    /** Guards against excusing an attempt that certainly started too late by the laboratory's lateness. */
    @Test
    void laboratoryLatenessDoesNotExcuseLateAttempt() {
        RecordedRunBuilder late = left().laboratoryLateness(2_000, 300).got(1_100 + TOO_LATE_MS, 1_600, 1_610, "a");
        assertEquals(1, late.violations(new DepartedClientChecker()));
    }
}

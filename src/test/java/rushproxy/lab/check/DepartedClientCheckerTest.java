package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** An attempt for a client that has gone is found, whatever the laboratory was late by. */
class DepartedClientCheckerTest {
    private static final long TOO_LATE_MS = 201;

    private static RecordedRunBuilder left() {
        return new RecordedRunBuilder().asked(1_000, "a").left(1_100, "a");
    }

    @Test
    void whatBeginsLongAfterItsClientLeftIsFound() {
        assertEquals(1, left().got(1_100 + TOO_LATE_MS, 1_400, "a").violations(new DepartedClientChecker()));
        assertEquals(0, left().got(1_099 + TOO_LATE_MS, 1_400, "a").violations(new DepartedClientChecker()));
    }

    @Test
    void aClientThatGaveUpHasGoneToo() {
        assertEquals(
                1,
                new RecordedRunBuilder()
                        .asked(1_000, "a")
                        .gaveUp(1_870, "a")
                        .got(1_870 + TOO_LATE_MS, 2_100, "a")
                        .violations(new DepartedClientChecker()));
    }

    /** Guards against holding a first byte that a late laboratory read late against the sidecar. */
    @Test
    void whatMayHaveBegunInTimeIsAllowed() {
        assertEquals(0, left().got(1_099 + TOO_LATE_MS, 1_600, 1_610, "a").violations(new DepartedClientChecker()));
    }

    /** Guards against excusing an attempt that began late by what the laboratory was late by at that time. */
    @Test
    void whatBeganTooLateIsFoundHoweverLateTheLaboratoryWas() {
        RecordedRunBuilder late = left().late(2_000, 300).got(1_100 + TOO_LATE_MS, 1_600, 1_610, "a");
        assertEquals(1, late.violations(new DepartedClientChecker()));
    }
}

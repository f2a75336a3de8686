package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AnswerProgressTest {
    private static final long DUE = 500_000;
    private static final long NO_END = Long.MAX_VALUE;

    @Test
    void aShortAnswerHasStoppedWhenItIsSilentAtItsDeadline() {
        AnswerProgress p = new AnswerProgress(-1, 0);
        p.moved(10, 300_000);
        assertFalse(p.hasStopped(DUE - 1, DUE, NO_END));
        assertTrue(p.hasStopped(DUE, DUE, NO_END));
        p.moved(10, DUE);
        assertFalse(p.hasStopped(DUE + AnswerProgress.SHORT_SILENCE_US - 1, DUE, NO_END));
        assertTrue(p.hasStopped(DUE + AnswerProgress.SHORT_SILENCE_US, DUE, NO_END));
    }

    @Test
    void aLongAnswerMayBeSilentForLongerButNotForEver() {
        for (AnswerProgress p : new AnswerProgress[] {new AnswerProgress(100_000, 0), new AnswerProgress(-1, 0)}) {
            p.moved(70_000, 0);
            assertFalse(p.hasStopped(2_000_000, DUE, NO_END));
            assertTrue(p.hasStopped(AnswerProgress.LONG_SILENCE_US, DUE, NO_END));
        }
    }

    @Test
    void atTheEndOfTheProcessNothingThatIsSilentIsWaitedFor() {
        AnswerProgress p = new AnswerProgress(100_000, 0);
        p.moved(10, 900_000);
        assertFalse(p.hasStopped(950_000, DUE, 950_000));
        assertTrue(p.hasStopped(1_000_000, DUE, 950_000));
    }

    @Test
    void whatItsClientHoldsBackIsNoSilenceOfTheUpstream() {
        AnswerProgress p = new AnswerProgress(-1, 0);
        p.moved(10_000, 100_000);
        p.heldBack(true, 100_000);
        assertFalse(p.hasStopped(DUE, DUE, NO_END));
        assertTrue(p.hasStopped(100_000 + AnswerProgress.UNREAD_US, DUE, NO_END));
        p.heldBack(false, DUE);
        assertFalse(p.hasStopped(DUE, DUE, NO_END));
    }

    @Test
    void onlyWhatMovesIsPassedOnBeforeItIsWhole() {
        AnswerProgress p = new AnswerProgress(-1, 0);
        p.moved(AnswerProgress.FLOWING_BYTES - 1, 10_000);
        assertFalse(p.flows(10_000));
        p.moved(1, 20_000);
        assertTrue(p.flows(20_000));
        assertFalse(p.flows(20_000 + AnswerProgress.FLOWING_US));
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ResponseProgressTest {
    private static final long DUE = 500_000;
    private static final long NO_END = Long.MAX_VALUE;

    @Test
    void aShortAnswerHasStoppedWhenItIsSilentAtItsDeadline() {
        ResponseProgress p = new ResponseProgress(-1, 0);
        p.recordBytes(10, 300_000);
        assertFalse(p.isStalled(DUE - 1, DUE, NO_END));
        assertTrue(p.isStalled(DUE, DUE, NO_END));
        p.recordBytes(10, DUE);
        assertFalse(p.isStalled(DUE + ResponseProgress.SHORT_STALL_US - 1, DUE, NO_END));
        assertTrue(p.isStalled(DUE + ResponseProgress.SHORT_STALL_US, DUE, NO_END));
    }

    @Test
    void aLongAnswerMayBeSilentForLongerButNotForEver() {
        for (ResponseProgress p :
                new ResponseProgress[] {new ResponseProgress(100_000, 0), new ResponseProgress(-1, 0)}) {
            p.recordBytes(70_000, 0);
            assertFalse(p.isStalled(2_000_000, DUE, NO_END));
            assertTrue(p.isStalled(ResponseProgress.LONG_STALL_US, DUE, NO_END));
        }
    }

    @Test
    void atTheEndOfTheProcessNothingThatIsSilentIsWaitedFor() {
        ResponseProgress p = new ResponseProgress(100_000, 0);
        p.recordBytes(10, 900_000);
        assertFalse(p.isStalled(950_000, DUE, 950_000));
        assertTrue(p.isStalled(1_000_000, DUE, 950_000));
    }

    @Test
    void whatItsClientHoldsBackIsNoSilenceOfTheUpstream() {
        ResponseProgress p = new ResponseProgress(-1, 0);
        p.recordBytes(10_000, 100_000);
        p.setHeldBack(true, 100_000);
        assertFalse(p.isStalled(DUE, DUE, NO_END));
        assertTrue(p.isStalled(100_000 + ResponseProgress.CLIENT_STALL_US, DUE, NO_END));
        p.setHeldBack(false, DUE);
        assertFalse(p.isStalled(DUE, DUE, NO_END));
    }

    @Test
    void onlyWhatMovesIsPassedOnBeforeItIsWhole() {
        ResponseProgress p = new ResponseProgress(-1, 0);
        p.recordBytes(ResponseProgress.MIN_STREAMING_BYTES - 1, 10_000);
        assertFalse(p.shouldStream(10_000));
        p.recordBytes(1, 20_000);
        assertTrue(p.shouldStream(20_000));
        assertFalse(p.shouldStream(20_000 + ResponseProgress.MAX_STREAMING_GAP_US));
    }
}

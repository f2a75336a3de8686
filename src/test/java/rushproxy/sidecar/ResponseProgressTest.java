package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ResponseProgressTest {
    private static final long DEADLINE_US = 500_000;
    private static final long NO_PROCESS_END = Long.MAX_VALUE;

    @Test
    void aShortResponseStallsIfItIsSilentAtItsDeadline() {
        ResponseProgress progress = new ResponseProgress(-1, 0);
        progress.recordBytes(10, 300_000);
        assertFalse(progress.isStalled(DEADLINE_US - 1, DEADLINE_US, NO_PROCESS_END));
        assertTrue(progress.isStalled(DEADLINE_US, DEADLINE_US, NO_PROCESS_END));
        progress.recordBytes(10, DEADLINE_US);
        assertFalse(progress.isStalled(DEADLINE_US + ResponseProgress.SHORT_STALL_US - 1, DEADLINE_US, NO_PROCESS_END));
        assertTrue(progress.isStalled(DEADLINE_US + ResponseProgress.SHORT_STALL_US, DEADLINE_US, NO_PROCESS_END));
    }

    @Test
    void aLongResponseMayBeSilentForLongerButNotForever() {
        for (ResponseProgress progress :
                new ResponseProgress[] {new ResponseProgress(100_000, 0), new ResponseProgress(-1, 0)}) {
            progress.recordBytes(70_000, 0);
            assertFalse(progress.isStalled(2_000_000, DEADLINE_US, NO_PROCESS_END));
            assertTrue(progress.isStalled(ResponseProgress.LONG_STALL_US, DEADLINE_US, NO_PROCESS_END));
        }
    }

    @Test
    void aSilentResponseStallsAtTheEndOfTheProcess() {
        ResponseProgress progress = new ResponseProgress(100_000, 0);
        progress.recordBytes(10, 900_000);
        assertFalse(progress.isStalled(950_000, DEADLINE_US, 950_000));
        assertTrue(progress.isStalled(1_000_000, DEADLINE_US, 950_000));
    }

    @Test
    void timeHeldBackByTheClientIsNoSilenceOfTheUpstream() {
        ResponseProgress progress = new ResponseProgress(-1, 0);
        progress.recordBytes(10_000, 100_000);
        progress.setHeldBack(true, 100_000);
        assertFalse(progress.isStalled(DEADLINE_US, DEADLINE_US, NO_PROCESS_END));
        assertTrue(progress.isStalled(100_000 + ResponseProgress.CLIENT_STALL_US, DEADLINE_US, NO_PROCESS_END));
        progress.setHeldBack(false, DEADLINE_US);
        assertFalse(progress.isStalled(DEADLINE_US, DEADLINE_US, NO_PROCESS_END));
    }

    @Test
    void onlyAResponseThatMakesProgressIsStreamedEarly() {
        ResponseProgress progress = new ResponseProgress(-1, 0);
        progress.recordBytes(ResponseProgress.MIN_STREAMING_BYTES - 1, 10_000);
        assertFalse(progress.shouldStream(10_000));
        progress.recordBytes(1, 20_000);
        assertTrue(progress.shouldStream(20_000));
        assertFalse(progress.shouldStream(20_000 + ResponseProgress.MAX_STREAMING_GAP_US));
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rushproxy.sidecar.ResponseProgress.Limits;

class ResponseProgressTest {
    private static final long DEADLINE_US = 500_000;
    private static final long LATE_LIMIT_US = DEADLINE_US + 500_000;
    private static final long NO_PROCESS_END = Long.MAX_VALUE;
    private static final Limits LIMITS = new Limits(DEADLINE_US, LATE_LIMIT_US, NO_PROCESS_END);
    private static final int UNKNOWN_LENGTH = -1;
    private static final int SHORT = ResponseProgress.MAX_SHORT_BYTES;

    @Test
    void aShortResponseStallsIfItIsSilentAtItsDeadline() {
        ResponseProgress progress = new ResponseProgress(1_000, 0);
        progress.recordBytes(10, 300_000);
        assertFalse(progress.isStalled(DEADLINE_US - 1, LIMITS));
        assertTrue(progress.isStalled(DEADLINE_US, LIMITS));
        progress.recordBytes(10, DEADLINE_US);
        assertFalse(progress.isStalled(DEADLINE_US + ResponseProgress.SHORT_STALL_US - 1, LIMITS));
        assertTrue(progress.isStalled(DEADLINE_US + ResponseProgress.SHORT_STALL_US, LIMITS));
    }

    /** Guards against a short response that trickles on past the time by which it is lost. */
    @Test
    void aResponseOfAShortStatedLengthStallsAtItsLateLimit() {
        ResponseProgress progress = new ResponseProgress(SHORT, 0);
        for (long now = 0; now < LATE_LIMIT_US; now += 10_000) {
            progress.recordBytes(10, now);
            assertFalse(progress.isStalled(now, LIMITS));
        }
        assertTrue(progress.isStalled(LATE_LIMIT_US, LIMITS));
    }

    @Test
    void aLongResponseMayBeSilentForLongerButNotForever() {
        for (ResponseProgress progress :
                new ResponseProgress[] {new ResponseProgress(100_000, 0), new ResponseProgress(UNKNOWN_LENGTH, 0)}) {
            progress.recordBytes(70_000, 0);
            assertFalse(progress.isStalled(2_000_000, LIMITS));
            assertTrue(progress.isStalled(ResponseProgress.LONG_STALL_US, LIMITS));
        }
    }

    @Test
    void aSilentResponseStallsAtTheEndOfTheProcess() {
        Limits limits = new Limits(DEADLINE_US, LATE_LIMIT_US, 950_000);
        ResponseProgress progress = new ResponseProgress(100_000, 0);
        progress.recordBytes(10, 900_000);
        assertFalse(progress.isStalled(950_000, limits));
        assertTrue(progress.isStalled(1_000_000, limits));
    }

    @Test
    void timeHeldBackByTheClientIsNoSilenceOfTheUpstream() {
        ResponseProgress progress = new ResponseProgress(UNKNOWN_LENGTH, 0);
        progress.recordBytes(10_000, 100_000);
        progress.setHeldBack(true, 100_000);
        assertFalse(progress.isStalled(LATE_LIMIT_US, LIMITS));
        assertTrue(progress.isStalled(100_000 + ResponseProgress.CLIENT_STALL_US, LIMITS));
        progress.setHeldBack(false, LATE_LIMIT_US);
        assertFalse(progress.isStalled(LATE_LIMIT_US, LIMITS));
    }

    /** Guards against a pause of the client that is taken for the pace of the upstream, which would hide a stall. */
    @Test
    void timeHeldBackByTheClientIsNoPaceOfTheUpstream() {
        ResponseProgress progress = new ResponseProgress(UNKNOWN_LENGTH, 0);
        progress.recordBytes(10_000, 0);
        progress.setHeldBack(true, 10_000);
        progress.recordBytes(10_000, 800_000);
        progress.setHeldBack(false, 810_000);
        assertTrue(progress.isStalled(LATE_LIMIT_US, LIMITS));
    }

    @Test
    void onlyAResponseThatMakesProgressIsStreamedEarly() {
        ResponseProgress progress = new ResponseProgress(UNKNOWN_LENGTH, 0);
        progress.recordBytes(ResponseProgress.MIN_STREAMING_BYTES - 1, 10_000);
        assertFalse(progress.shouldStream(10_000, LIMITS));
        progress.recordBytes(1, 20_000);
        assertTrue(progress.shouldStream(20_000, LIMITS));
        assertFalse(progress.shouldStream(20_000 + ResponseProgress.MAX_STREAMING_GAP_US, LIMITS));
    }

    /** Guards against the promise of a response that may be short and too late: at its pace little of it comes by its late limit. */
    @Test
    void aResponseThatMayBeShortAndLateIsNotBegun() {
        for (long everyUs : new long[] {10_000, 40_000, 100_000}) {
            ResponseProgress slow = new ResponseProgress(UNKNOWN_LENGTH, 0);
            ResponseProgress fast = new ResponseProgress(UNKNOWN_LENGTH, 0);
            long now = 0;
            for (; now < DEADLINE_US; now += everyUs) {
                slow.recordBytes((int) (everyUs * 20 / 1000), now);
                fast.recordBytes((int) (everyUs * 80 / 1000), now);
            }
            assertFalse(slow.mayContinue(now, LIMITS));
            assertTrue(fast.mayContinue(now, LIMITS));
        }
    }

    /** Guards against the promise of a response whose next piece, at a slow pace, would come after it had to be cut off. */
    @Test
    void aResponseIsNotBegunIfItCanNotBeToldFromOneThatHasStopped() {
        ResponseProgress fine = new ResponseProgress(UNKNOWN_LENGTH, 0);
        fine.recordBytes(32_000, 100_000);
        assertTrue(fine.mayContinue(DEADLINE_US - 100_000, LIMITS));
        ResponseProgress coarse = new ResponseProgress(UNKNOWN_LENGTH, 0);
        coarse.recordBytes(32_000, 100_000);
        coarse.recordBytes(32_000, 101_000);
        assertFalse(coarse.mayContinue(DEADLINE_US - 100_000, LIMITS));
    }

    /** Guards against a response in pieces that is cut off between two of them, at whatever pace (review, case 8). */
    @Test
    void aResponseThatComesAtItsPaceIsNotCutOffAtItsLateLimit() {
        for (long everyUs : new long[] {40_000, 240_000, 480_000, 900_000}) {
            ResponseProgress progress = new ResponseProgress(UNKNOWN_LENGTH, 0);
            for (long piece = 0, now = 0; piece < 3; piece++, now += everyUs) {
                progress.recordBytes(SHORT / 4, now);
                Limits limits = new Limits(0, now + everyUs / 2, NO_PROCESS_END);
                assertTrue(piece == 0 || !progress.isStalled(now + everyUs - 1, limits), everyUs + " us");
            }
        }
    }

    /** Guards against a response that stops and is ended too late, or one that is ended in the half second that it is given. */
    @Test
    void aResponseThatStopsIsCutOffAtItsLateLimit() {
        for (int bytes : new int[] {100, 60_000}) {
            ResponseProgress progress = new ResponseProgress(UNKNOWN_LENGTH, 0);
            progress.recordBytes(bytes / 2, 50_000);
            progress.recordBytes(bytes / 2, 250_000);
            assertFalse(progress.isStalled(LATE_LIMIT_US - 1, LIMITS));
            assertTrue(progress.isStalled(LATE_LIMIT_US, LIMITS));
        }
    }

    /** Guards against a response that trickles on for ever and never turns out to be long. */
    @Test
    void aResponseThatStaysShortEnds() {
        ResponseProgress progress = new ResponseProgress(UNKNOWN_LENGTH, 0);
        long endUs = LATE_LIMIT_US + ResponseProgress.MAX_UNDECIDED_US;
        for (long now = 0; now < endUs; now += 50_000) {
            progress.recordBytes(100, now);
            assertFalse(progress.isStalled(now, LIMITS));
        }
        assertTrue(progress.isStalled(endUs, LIMITS));
    }

    /** Guards against a response that is begun in a stop because its first piece came fast (review, case 9). */
    @Test
    void theFirstPieceIsNoPace() {
        ResponseProgress progress = new ResponseProgress(320_000, 0);
        progress.recordBytes(32_000, 15_000);
        for (long now = 15_000; now < 480_000; now += 25_000) {
            assertFalse(progress.canEndBy(2_000_000, now, 0));
        }
        progress.recordBytes(32_000, 495_000);
        // 256 kB are left, at 32 kB each 0.48 s: 3.84 s.
        assertFalse(progress.canEndBy(4_300_000, 495_000, 0));
        assertTrue(progress.canEndBy(4_400_000, 495_000, 0));
    }

    /** Guards against responses that are failed in a stop though all of them is there, or comes faster than it is taken. */
    @Test
    void aResponseThatIsThereCanEnd() {
        assertTrue(new ResponseProgress(100_000, 0).canEndBy(1_000_000, 0, 100_000));
        assertTrue(new ResponseProgress(4_000_000, 0).canEndBy(1_000_000, 0, ResponseProgress.FULL_SOCKET_BYTES));
        assertFalse(new ResponseProgress(4_000_000, 0).canEndBy(1_000_000, 0, ResponseProgress.FULL_SOCKET_BYTES - 1));
    }

    /** Guards against a response in chunks that is begun in a stop with more to come than its pace allows. */
    @Test
    void anUnknownRestIsTakenToBeLong() {
        ResponseProgress progress = new ResponseProgress(UNKNOWN_LENGTH, 0);
        assertFalse(progress.canEndBy(2_000_000, 0, 0));
        progress.recordBytes(66_000, 1_000_000);
        assertFalse(progress.canEndBy(2_000_000, 1_000_000, 0));
        progress.recordBytes(934_000, 1_000_000);
        assertTrue(progress.canEndBy(2_100_000, 1_000_000, 0));
    }

    /** Guards against a process that ends what still comes at its pace before the kill, or waits for what has stopped. */
    @Test
    void aResponseAtItsPaceIsWaitedForAtTheEndOfTheProcess() {
        Limits limits = new Limits(DEADLINE_US, LATE_LIMIT_US, 1_500_000);
        ResponseProgress progress = new ResponseProgress(320_000, 0);
        for (long now = 0; now <= 1_440_000; now += 480_000) {
            progress.recordBytes(32_000, now);
        }
        assertFalse(progress.isStalled(1_440_000 + 700_000, limits));
        assertTrue(progress.isStalled(1_440_000 + 720_000, limits));
    }
}

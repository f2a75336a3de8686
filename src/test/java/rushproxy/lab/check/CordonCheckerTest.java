package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * A cordon lasts from the sidecar's yes to the moment in which the call back is sent. The sidecar obeys that call when it takes it, and
 * the laboratory notes the answer later: a run in which that note came 60 ms late was called broken, by requests that were sent in
 * between ("sent by n2 to s2 4832 ms after it was called out", 4.83 s after the call at 1.2 s, in the moment of the call back).
 */
class CordonCheckerTest {
    private static RecordedRunBuilder cordoned() {
        return new RecordedRunBuilder()
                .called(1_000, 1_010, "cordon s0 -> ACK")
                .called(6_000, 6_060, "uncordon s0 -> ACK");
    }

    private static int sentAt(long ms) {
        return cordoned().got(ms, ms + 1, "a").violations(new CordonChecker());
    }

    @Test
    void whatIsSentBeforeTheCallBackBreaksTheRule() {
        assertEquals(1, sentAt(1_011 + RecordedRunBuilder.graceMs()));
        assertEquals(1, sentAt(5_999));
        assertEquals(1, cordoned().got(5_999, 6_300, "a").violations(new CordonChecker()));
    }

    @Test
    void whatIsSentBetweenTheCallBackAndItsAnswerDoesNot() {
        assertEquals(0, sentAt(6_001));
        assertEquals(0, sentAt(6_100));
    }

    @Test
    void theGraceRunsFromTheAnswer() {
        assertEquals(0, sentAt(1_010 + RecordedRunBuilder.graceMs()));
        assertEquals(0, sentAt(999));
    }

    /** An answer is due within a second: whoever gives none, or late, is held to that. */
    @Test
    void aCallWithoutAnAnswerCountsAfterASecond() {
        for (String answer : new String[] {"no answer: Read timed out", "ACK"}) {
            RecordedRunBuilder seen = new RecordedRunBuilder()
                    .called(1_000, 4_000, "cordon s0 -> " + answer)
                    .got(2_001 + RecordedRunBuilder.graceMs(), 2_600, "a");
            assertEquals(1, seen.violations(new CordonChecker()), answer);
        }
        assertEquals(
                0,
                new RecordedRunBuilder()
                        .called(1_000, 1_010, "cordon s0 -> NAK no such upstream")
                        .got(3_000, 3_001, "a")
                        .violations(new CordonChecker()));
    }

    /** Two calls out need one call back. */
    @Test
    void calledOutAgainItIsOutAgain() {
        RecordedRunBuilder seen =
                cordoned().called(1_500, 1_510, "cordon s0 -> ACK").called(7_000, 7_010, "cordon s0 -> ACK");
        assertEquals(1, seen.got(6_500, 6_501, "a").got(8_000, 8_001, "b").violations(new CordonChecker()));
    }
}

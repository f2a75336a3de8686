package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * A cordon lasts from the sidecar's acknowledgement until the uncordon is sent. The sidecar acts on the uncordon before the laboratory
 * records the reply; when that was recorded 60 ms late, requests sent in between were wrongly reported as violations.
 */
class CordonCheckerTest {
    private static RecordedRunBuilder cordoned() {
        return new RecordedRunBuilder()
                .adminCall(1_000, 1_010, "cordon s0 -> ACK")
                .adminCall(6_000, 6_060, "uncordon s0 -> ACK");
    }

    private static int sentAt(long ms) {
        return cordoned().got(ms, ms + 1, "a").violations(new CordonChecker());
    }

    @Test
    void requestSentDuringCordonIsViolation() {
        assertEquals(1, sentAt(1_011 + RecordedRunBuilder.graceMs()));
        assertEquals(1, sentAt(5_999));
        assertEquals(1, cordoned().got(5_999, 6_300, "a").violations(new CordonChecker()));
    }

    @Test
    void requestSentBetweenUncordonAndItsReplyIsAllowed() {
        assertEquals(0, sentAt(6_001));
        assertEquals(0, sentAt(6_100));
    }

    @Test
    void gracePeriodRunsFromReply() {
        assertEquals(0, sentAt(1_010 + RecordedRunBuilder.graceMs()));
        assertEquals(0, sentAt(999));
    }

    /** A reply is due within a second; a missing or late reply does not delay the cordon further. */
    @Test
    void cordonWithoutTimelyReplyStartsAfterOneSecond() {
        for (String reply : new String[] {"no answer: Read timed out", "ACK"}) {
            RecordedRunBuilder builder = new RecordedRunBuilder()
                    .adminCall(1_000, 4_000, "cordon s0 -> " + reply)
                    .got(2_001 + RecordedRunBuilder.graceMs(), 2_600, "a");
            assertEquals(1, builder.violations(new CordonChecker()), reply);
        }
        assertEquals(
                0,
                new RecordedRunBuilder()
                        .adminCall(1_000, 1_010, "cordon s0 -> NAK no such upstream")
                        .got(3_000, 3_001, "a")
                        .violations(new CordonChecker()));
    }

    /** One uncordon ends two cordons in a row, and a later cordon starts a new ban. */
    @Test
    void repeatedCordonNeedsOneUncordon() {
        RecordedRunBuilder builder =
                cordoned().adminCall(1_500, 1_510, "cordon s0 -> ACK").adminCall(7_000, 7_010, "cordon s0 -> ACK");
        assertEquals(1, builder.got(6_500, 6_501, "a").got(8_000, 8_001, "b").violations(new CordonChecker()));
    }
}

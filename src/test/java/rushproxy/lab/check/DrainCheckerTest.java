package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What a server got is judged by when its first byte was sent, not by what the laboratory had noted last when it had all of it. */
class DrainCheckerTest {
    private static RecordedRunBuilder draining() {
        return new RecordedRunBuilder().told(1_000, "Terminating");
    }

    @Test
    void nothingNewIsSentAfterTheGrace() {
        assertEquals(
                1,
                draining().got(1_001 + RecordedRunBuilder.graceMs(), 3_000, "a").violations(new DrainChecker()));
        assertEquals(
                0,
                draining().got(1_000 + RecordedRunBuilder.graceMs(), 3_000, "a").violations(new DrainChecker()));
    }

    /** Guards against holding what a late laboratory read late, or noted late, against the sidecar; what was sent late stays found. */
    @Test
    void onlyWhatWasSentInTheBanForSureIsFound() {
        long endMs = 1_000 + RecordedRunBuilder.graceMs();
        assertEquals(0, draining().got(endMs, endMs + 300, 3_000, "a").violations(new DrainChecker()));
        assertEquals(1, draining().got(endMs + 1, endMs + 300, 3_000, "a").violations(new DrainChecker()));
        assertEquals(
                0, draining().told(4_000, "Ready").got(3_990, 4_001, 4_010, "a").violations(new DrainChecker()));
    }

    /** Its last byte came when the server was back, or the sidecar's process another one; its first did not. */
    @Test
    void whatBeganBeforeTheEndOfTheDrainIsJudgedToo() {
        assertEquals(1, draining().told(4_000, "Ready").got(3_990, 4_010, "a").violations(new DrainChecker()));
        assertEquals(1, draining().node(4_000, "started").got(3_990, 4_010, "a").violations(new DrainChecker()));
        assertEquals(0, draining().told(4_000, "Ready").got(4_001, 4_010, "a").violations(new DrainChecker()));
    }
}

package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A request is checked against the ban at the time its first byte was sent, not at the time the server had received all of it. */
class DrainCheckerTest {
    private static RecordedRunBuilder draining() {
        return new RecordedRunBuilder().discoveryUpdate(1_000, "Terminating");
    }

    @Test
    void requestSentAfterGracePeriodIsViolation() {
        assertEquals(
                1,
                draining().got(1_001 + RecordedRunBuilder.graceMs(), 3_000, "a").violations(new DrainChecker()));
        assertEquals(
                0,
                draining().got(1_000 + RecordedRunBuilder.graceMs(), 3_000, "a").violations(new DrainChecker()));
    }

    /** Guards against blaming the sidecar for requests that the laboratory read or recorded late, without missing those sent late. */
    @Test
    void onlyRequestCertainlySentDuringBanIsViolation() {
        long endMs = 1_000 + RecordedRunBuilder.graceMs();
        assertEquals(0, draining().got(endMs, endMs + 300, 3_000, "a").violations(new DrainChecker()));
        assertEquals(1, draining().got(endMs + 1, endMs + 300, 3_000, "a").violations(new DrainChecker()));
        assertEquals(
                0,
                draining()
                        .discoveryUpdate(4_000, "Ready")
                        .got(3_990, 4_001, 4_010, "a")
                        .violations(new DrainChecker()));
    }

    /** The first byte is sent during the ban, the last one after the server is back or the sidecar has restarted. */
    @Test
    void requestStartedBeforeEndOfDrainIsViolation() {
        assertEquals(
                1,
                draining()
                        .discoveryUpdate(4_000, "Ready")
                        .got(3_990, 4_010, "a")
                        .violations(new DrainChecker()));
        assertEquals(
                1,
                draining().processEvent(4_000, "started").got(3_990, 4_010, "a").violations(new DrainChecker()));
        assertEquals(
                0,
                draining()
                        .discoveryUpdate(4_000, "Ready")
                        .got(4_001, 4_010, "a")
                        .violations(new DrainChecker()));
    }
}

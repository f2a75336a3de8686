package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** A request with a deadline of 800 ms is sent at 1 s, so 300 ms are left at 1.5 s; the checker allows 150 ms more. */
class DeadlineCheckerTest {
    private static int violations(long toldMs, Observation... more) {
        List<Observation> all = new ArrayList<>(
                new RecordedRunBuilder().asked(1_000, "a").build().observations());
        all.addAll(List.of(more));
        all.add(new Observation(
                1_600_000, EventType.GOT, "n0", "s0", "a", null, null, 4, 1_590_000, 1_500_000, toldMs));
        return new DeadlineChecker()
                .check(new RecordedRun(RecordedRunBuilder.scenario(), all))
                .size();
    }

    /** Guards against announcing more time to a server than its client has left, beyond the allowance for a hold-up. */
    @Test
    void announcedTimeBeyondClientDeadlineIsViolation() {
        assertEquals(0, violations(450));
        assertEquals(1, violations(451));
    }

    /** Guards against measuring the client's time from before it had sent its last byte. */
    @Test
    void deadlineCountsFromLastByteSent() {
        Observation written = new Observation(1_100_000, EventType.WRITTEN, "n0", null, "a", "a", null, 800, 1_000_000);
        assertEquals(0, violations(550, written));
        assertEquals(1, violations(551, written));
    }
}

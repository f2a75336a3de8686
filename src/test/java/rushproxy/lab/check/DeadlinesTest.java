package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** A request with 800 ms is asked at 1 s: 300 ms of them are left at 1.5 s. */
class DeadlinesTest {
    private static int violations(long toldMs, Observation... more) {
        List<Observation> all =
                new ArrayList<>(new Seen().asked(1_000, "a").run().all());
        all.addAll(List.of(more));
        all.add(new Observation(
                1_600_000, EventType.GOT, "n0", "s0", "a", null, null, 4, 1_590_000, 1_500_000, toldMs));
        return new Deadlines().check(new Run(Seen.scenario(), all)).size();
    }

    /** Guards against a server that is told more time than its client has, by more than a hold-up may add. */
    @Test
    void aServerThatIsToldMoreThanItsClientHasIsFound() {
        assertEquals(0, violations(450));
        assertEquals(1, violations(451));
    }

    /** Guards against counting a client's time from before its last byte had left. */
    @Test
    void theTimeBeginsWithTheLastByte() {
        Observation written = new Observation(1_100_000, EventType.WRITTEN, "n0", null, "a", "a", null, 800, 1_000_000);
        assertEquals(0, violations(550, written));
        assertEquals(1, violations(551, written));
    }
}

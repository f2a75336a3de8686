package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

class AcceptPauseStatsTest {
    /** Guards against a pause that outlasts a report and is counted in none, or twice. */
    @Test
    void aPauseIsCountedInEachPeriodItLastsInto() {
        FreezableClock clock = new FreezableClock();
        clock.freeze();
        Map<ClientPhase, Integer> phases = Map.of(ClientPhase.WITHIN_HEAD, 3);
        AcceptPauseStats pauses = new AcceptPauseStats(clock, () -> phases);
        clock.advance(10);
        pauses.setAccepting(false);
        clock.advance(20);
        pauses.setAccepting(false);
        clock.advance(30);
        assertEquals(new AcceptPauseStats.Report(50_000, phases), pauses.take());
        clock.advance(5);
        pauses.setAccepting(true);
        clock.advance(40);
        assertEquals(new AcceptPauseStats.Report(5_000, phases), pauses.take());
        assertEquals(new AcceptPauseStats.Report(0, Map.of()), pauses.take());
    }
}

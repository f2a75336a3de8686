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
        assertEquals(50_000, pauses.totalUs());
        assertEquals(phases, pauses.phases());
        pauses.reset();
        clock.advance(5);
        pauses.setAccepting(true);
        clock.advance(40);
        assertEquals(5_000, pauses.totalUs());
        assertEquals(phases, pauses.phases());
        pauses.reset();
        assertEquals(0, pauses.totalUs());
        assertEquals(Map.of(), pauses.phases());
    }
}

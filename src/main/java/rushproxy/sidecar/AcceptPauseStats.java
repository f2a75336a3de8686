package rushproxy.sidecar;

import java.util.Map;
import java.util.function.Supplier;

/**
 * Measures how long a listener accepts nothing, so that its clients wait in the kernel with their requests unread, and what the
 * connections are doing that hold the slots meanwhile.
 */
final class AcceptPauseStats {
    /** All pauses of a period; {@code phases}: the connections at the start of its first pause. */
    record Report(long totalUs, Map<ClientPhase, Integer> phases) {}

    private final Clock clock;
    private final Supplier<Map<ClientPhase, Integer>> countByPhase;
    /** When the current pause, or the part of it that was not reported yet, began; 0 if there is none. */
    private long pausedSinceUs;

    private long totalUs;
    private Map<ClientPhase, Integer> phases = Map.of();

    AcceptPauseStats(Clock clock, Supplier<Map<ClientPhase, Integer>> countByPhase) {
        this.clock = clock;
        this.countByPhase = countByPhase;
    }

    void setAccepting(boolean accepting) {
        if (accepting) {
            addCurrentPause();
            pausedSinceUs = 0;
        } else if (pausedSinceUs == 0) {
            pausedSinceUs = clock.nowUs();
            if (phases.isEmpty()) {
                phases = countByPhase.get();
            }
        }
    }

    private void addCurrentPause() {
        if (pausedSinceUs > 0) {
            totalUs += clock.nowUs() - pausedSinceUs;
        }
    }

    /** Reports what was paused since the last call, including the current pause up to now. */
    Report take() {
        addCurrentPause();
        boolean paused = pausedSinceUs > 0;
        Report report = new Report(totalUs, phases);
        pausedSinceUs = paused ? clock.nowUs() : 0;
        phases = paused ? countByPhase.get() : Map.of();
        totalUs = 0;
        return report;
    }
}

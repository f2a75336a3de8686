package rushproxy.sidecar;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Measures how long a listener accepts nothing, so that its clients wait in the kernel with their requests unread, and what the
 * connections are doing that hold the slots meanwhile.
 */
final class AcceptPauseStats {
    /** Also loads the class of the keys at the start, since no file can be opened for it once all descriptors are in use. */
    private static final Map<ClientPhase, Integer> NONE = Collections.unmodifiableMap(new EnumMap<>(ClientPhase.class));

    private final Clock clock;
    private final Supplier<Map<ClientPhase, Integer>> countByPhase;
    /** When the current pause, or the part of it that was not reported yet, began; 0 if there is none. */
    private long pausedSinceUs;

    private long totalUs;
    /** The connections at the start of the first pause that was not reported yet. */
    private Map<ClientPhase, Integer> phases = NONE;

    AcceptPauseStats(Clock clock, Supplier<Map<ClientPhase, Integer>> countByPhase) {
        this.clock = clock;
        this.countByPhase = countByPhase;
    }

    void setAccepting(boolean accepting) {
        if (accepting) {
            totalUs = totalUs();
            pausedSinceUs = 0;
        } else if (pausedSinceUs == 0) {
            pausedSinceUs = clock.nowUs();
            if (phases.isEmpty()) {
                phases = countByPhase.get();
            }
        }
    }

    /** The time of all pauses since the last call of {@link #reset}, including the current one. */
    long totalUs() {
        return totalUs + (pausedSinceUs > 0 ? clock.nowUs() - pausedSinceUs : 0);
    }

    /** How many connections were in each phase when the first of these pauses began; empty if there was none. */
    Map<ClientPhase, Integer> phases() {
        return phases;
    }

    /** Starts counting anew; a pause that lasts counts from now on. */
    void reset() {
        boolean paused = pausedSinceUs > 0;
        pausedSinceUs = paused ? clock.nowUs() : 0;
        phases = paused ? countByPhase.get() : NONE;
        totalUs = 0;
    }
}

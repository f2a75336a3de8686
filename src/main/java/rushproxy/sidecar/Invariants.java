package rushproxy.sidecar;

import java.util.EnumMap;
import java.util.Map;

/** Counts and logs violations of invariants. Each violation is prevented, and is a fault of this program. */
final class Invariants {
    /** At most this many violations are logged; all are counted. */
    private static final int MAX_LOGGED_VIOLATIONS = 100;

    /** Names what was about to happen. */
    enum Breach {
        /** An illegal transition of a request's state, such as a second response. */
        TRANSITION,
        /** An attempt for a request that is already decided. */
        SENT_AFTER_ITS_END,
        /** A second attempt for a request that may have run, although its class forbids that. */
        REPEATED,
        /** A refusal, which promises that nothing has run, of a request that may have run. */
        REFUSED_WHAT_MAY_HAVE_RUN,
        /** A message that states more remaining time than the client has. */
        TOLD_TOO_MUCH_TIME,
        /** A close of a connection with a complete request that has no response. */
        CLOSED_WITH_A_REQUEST,
        /** A close, to free its slot, of a new connection that has not been read yet. */
        CLOSED_YOUNG,
        /** An exception in a task of the event loop, which ended its request or connection. */
        FAILED_TASK
    }

    private final Map<Breach, Integer> counts = new EnumMap<>(Breach.class);
    private int total;

    void recordViolation(Breach breach, String requestId, String text) {
        counts.merge(breach, 1, Integer::sum);
        if (++total <= MAX_LOGGED_VIOLATIONS) {
            Log.event(
                    Log.Level.ERROR,
                    "invariant_violations=1 " + breach + ": request " + requestId + " " + text,
                    "breach",
                    breach,
                    "request",
                    requestId);
        }
    }

    /** All violations since the start of the process. */
    int total() {
        return total;
    }

    /** Violations since the start of the process, by kind. */
    Map<Breach, Integer> counts() {
        return Map.copyOf(counts);
    }
}

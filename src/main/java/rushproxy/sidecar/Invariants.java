package rushproxy.sidecar;

import java.util.EnumMap;
import java.util.Map;

/** What must hold at all times. A breach is prevented, told and counted: each is a fault of this program. */
final class Invariants {
    /** Breaches are told one by one up to so many; all are counted. */
    private static final int MAX_LOGGED_VIOLATIONS = 100;

    /** By the name of what was about to happen. */
    enum Breach {
        /** A request was to become what it can't become any more, such as answered twice. */
        TRANSITION,
        /** An attempt was to begin for a request that is over. */
        SENT_AFTER_ITS_END,
        /** What may have run was to be sent again although its class forbids it. */
        REPEATED,
        /** What may have run was to be refused, which promises that it has not. */
        REFUSED_WHAT_MAY_HAVE_RUN,
        /** More time was to be told to an upstream than the client has left. */
        TOLD_TOO_MUCH_TIME,
        /** A connection was to be closed with a whole request on it that has no answer. */
        CLOSED_WITH_A_REQUEST,
        /** A connection was to be closed for another's sake that has just come and has not been read. */
        CLOSED_YOUNG
    }

    private final Map<Breach, Integer> counts = new EnumMap<>(Breach.class);
    private int total;

    void recordViolation(Breach what, String id, String words) {
        counts.merge(what, 1, Integer::sum);
        if (++total <= MAX_LOGGED_VIOLATIONS) {
            Log.event(
                    Log.Level.ERROR,
                    "invariant_violations=1 " + what + ": request " + id + " " + words,
                    "breach",
                    what,
                    "request",
                    id);
        }
    }

    /** Since the start of the process. */
    int total() {
        return total;
    }

    /** Since the start of the process, by name. */
    Map<Breach, Integer> counts() {
        return Map.copyOf(counts);
    }
}

package rushproxy.sidecar;

import java.util.EnumSet;
import java.util.Set;

/** What has become of a request, and what may still become of it. */
enum RequestState {
    /** The client has had no part of an answer and is still owed one; nothing was sent for it yet. */
    TAKEN,
    /** As before, but an upstream may have it. */
    ATTEMPTING,
    /** The client has the beginning of its answer, and is owed the rest or an end that it can recognise. */
    PASSING_ON,
    /** The client has its final answer. */
    ANSWERED,
    /** The client has been shown that its answer will not be whole. */
    BROKEN_OFF,
    /** The client has gone, and is owed nothing. */
    LEFT;

    private Set<RequestState> successors() {
        return switch (this) {
            case TAKEN -> EnumSet.of(ATTEMPTING, ANSWERED, LEFT);
            case ATTEMPTING -> EnumSet.of(ATTEMPTING, PASSING_ON, ANSWERED, LEFT);
            case PASSING_ON -> EnumSet.of(ANSWERED, BROKEN_OFF, LEFT);
            case ANSWERED, BROKEN_OFF, LEFT -> EnumSet.noneOf(RequestState.class);
        };
    }

    boolean canBecome(RequestState state) {
        return successors().contains(state);
    }

    /** Whether nothing more is decided about it: its answer is on its way, or nobody waits for one. */
    boolean isDecided() {
        return this != TAKEN && this != ATTEMPTING;
    }
}

package rushproxy.sidecar;

import java.util.EnumSet;
import java.util.Set;

/** The states of a request and the transitions between them. */
enum RequestState {
    /** Accepted; nothing was sent to the client or to an upstream. */
    TAKEN,
    /** An upstream may have received it; nothing was sent to the client. */
    ATTEMPTING,
    /** The response is being streamed to the client, and must be completed or recognisably broken off. */
    PASSING_ON,
    /** The final response was sent. */
    ANSWERED,
    /** The response was broken off, and the client can tell. */
    BROKEN_OFF,
    /** The client has left; no response is needed. */
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

    /** Whether the response is sent or being sent, or is no longer needed. */
    boolean isDecided() {
        return this != TAKEN && this != ATTEMPTING;
    }
}

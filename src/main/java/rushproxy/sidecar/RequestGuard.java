package rushproxy.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.Balancer.RequestClass;
import rushproxy.Balancer.Semantics;
import rushproxy.Balancer.Upstream;
import rushproxy.sidecar.Invariants.Breach;

/**
 * Checks the invariants of requests before each state transition, before the first byte of each attempt and before a
 * client connection is closed. It is independent of the balancer and uses only what is known here.
 */
final class RequestGuard {
    /** The balancer was asked just before, with an earlier clock reading. */
    private static final long CLOCK_SLACK_US = 1_000;

    private final Clock clock;
    private final Invariants invariants;
    private final Map<String, RequestClass> classes = new HashMap<>();

    RequestGuard(Clock clock, List<RequestClass> classes, Invariants invariants) {
        this.clock = clock;
        this.invariants = invariants;
        classes.forEach(requestClass -> this.classes.put(requestClass.name(), requestClass));
    }

    /**
     * Moves the request to its next state. Returns false, and changes nothing, if that transition is not allowed; the
     * caller must then take no action for it.
     */
    boolean transition(Exchange exchange, RequestState next) {
        if (!exchange.state.canBecome(next)) {
            invariants.recordViolation(
                    Breach.TRANSITION, exchange.request.id(), "is " + exchange.state + " and can't become " + next);
            return false;
        }
        exchange.state = next;
        return true;
    }

    /** Why the first byte of the attempt must not be sent now; null if it may. */
    String reasonNotToSend(Exchange exchange, UpstreamCall call) {
        if (exchange.state.isDecided()) {
            invariants.recordViolation(
                    Breach.SENT_AFTER_ITS_END,
                    exchange.request.id(),
                    "is " + exchange.state + " but was about to be sent");
            return "the request is already decided";
        }
        if (!exchange.response.isClientConnected()) {
            return "the client has disconnected";
        }
        if (exchange.disconnectUndetectable) {
            return "a disconnect of the client can't be detected";
        }
        if (clock.nowUs() >= call.deadlineUs()) {
            return "no time left";
        }
        return reasonNotToRepeat(exchange, call);
    }

    private String reasonNotToRepeat(Exchange exchange, UpstreamCall call) {
        for (UpstreamCall other : exchange.attempts) {
            if (other != call && other.mayHaveReachedUpstream() && !isRepeatable(exchange, other, call)) {
                invariants.recordViolation(
                        Breach.REPEATED,
                        exchange.request.id(),
                        "may run at " + other.upstreamId + " but was about to be sent to " + call.upstreamId);
                return "it may have run";
            }
        }
        return null;
    }

    private boolean isRepeatable(Exchange exchange, UpstreamCall earlier, UpstreamCall call) {
        RequestClass requestClass = classes.get(exchange.request.requestClass());
        if (requestClass == null || requestClass.semantics() == Semantics.UNSAFE) {
            return false;
        }
        if (requestClass.semantics() == Semantics.SAFE) {
            return true;
        }
        if (clock.nowUs() - earlier.sentUs() >= requestClass.dedupWindowUs() + CLOCK_SLACK_US) {
            return false;
        }
        Upstream earlierUpstream = earlier.listedUpstream();
        Upstream upstream = call.listedUpstream();
        return switch (requestClass.dedupScope()) {
            case ALL -> true;
            case ZONE -> earlierUpstream.zone().equals(upstream.zone());
            case CELL -> earlierUpstream.cell() == upstream.cell();
        };
    }

    /** Whether the request's class allows that it runs again. */
    boolean mayRunAgain(Exchange exchange) {
        RequestClass requestClass = classes.get(exchange.request.requestClass());
        return requestClass != null && requestClass.semantics() == Semantics.SAFE;
    }

    /** Whether the request may have run for a client that has left, and its class does not allow that it runs again. */
    boolean isRunUnanswered(Exchange exchange) {
        return exchange.state == RequestState.LEFT
                && !mayRunAgain(exchange)
                && exchange.attempts.stream().anyMatch(UpstreamCall::mayHaveReachedUpstream);
    }

    /** Whether the request may be refused. A refusal promises that nothing has run. */
    boolean canRefuse(Exchange exchange) {
        if (exchange.attempts.stream().noneMatch(UpstreamCall::mayHaveReachedUpstream)) {
            return true;
        }
        invariants.recordViolation(
                Breach.REFUSED_WHAT_MAY_HAVE_RUN,
                exchange.request.id(),
                "was about to be refused although it may have run");
        return false;
    }

    /**
     * The remaining time that is stated to an upstream for a complete request: until {@code untilUs}, but never more
     * than the client has left.
     */
    long remainingForUpstreamUs(Exchange exchange, long untilUs) {
        long clientUntilUs = exchange.sentUs + exchange.remainingUs;
        if (untilUs > clientUntilUs) {
            invariants.recordViolation(
                    Breach.TOLD_TOO_MUCH_TIME,
                    exchange.request.id(),
                    "was about to state " + (untilUs - clientUntilUs) + " us too much remaining time");
        }
        return Math.min(untilUs, clientUntilUs) - clock.nowUs();
    }

    /**
     * Whether a client connection may be closed. To free its slot a new connection may not, since its first request may
     * be on its way.
     */
    boolean canClose(boolean isNew, CloseReason reason) {
        if (isNew && reason == CloseReason.ROOM_NEEDED) {
            invariants.recordViolation(
                    Breach.CLOSED_YOUNG, "of a new connection", "was about to lose it: " + reason.text());
            return false;
        }
        return true;
    }

    /** Records that a connection with this complete and unanswered request was about to be closed. */
    void recordCloseWithRequest(String id, CloseReason reason) {
        invariants.recordViolation(
                Breach.CLOSED_WITH_A_REQUEST, id, "was about to lose its connection: " + reason.text());
    }
}

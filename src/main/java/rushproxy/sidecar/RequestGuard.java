package rushproxy.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.Balancer.RequestClass;
import rushproxy.Balancer.Semantics;
import rushproxy.Balancer.Upstream;
import rushproxy.sidecar.Invariants.Breach;

/**
 * The one place that is asked before a request changes its state, before the first byte of an attempt is sent, and before a
 * client's connection is closed. Whatever asks, it holds the rules by what is known here, without the decision module.
 */
final class RequestGuard {
    private static final long CLOCK_SLACK_US = 1_000;

    private final Clock clock;
    private final Invariants invariants;
    private final Map<String, RequestClass> classes = new HashMap<>();

    RequestGuard(Clock clock, List<RequestClass> classes, Invariants invariants) {
        this.clock = clock;
        this.invariants = invariants;
        classes.forEach(c -> this.classes.put(c.name(), c));
    }

    /** False where it can't become that: then nothing has changed, and nothing may be done about it. */
    boolean become(Exchange x, RequestState next) {
        if (!x.state.mayBecome(next)) {
            invariants.breached(Breach.TRANSITION, x.request.id(), "is " + x.state + " and can't become " + next);
            return false;
        }
        x.state = next;
        return true;
    }

    /** Why the attempt's first byte must not be sent now; null where it may. */
    String whyNotSend(Exchange x, UpstreamCall call) {
        if (x.state.isOver()) {
            invariants.breached(Breach.SENT_AFTER_ITS_END, x.request.id(), "is " + x.state + " and was to be sent");
            return "the request is over";
        }
        if (!x.answer.clientIsThere()) {
            return "the client has gone";
        }
        if (x.unwatched) {
            return "the client can't be watched";
        }
        if (clock.nowUs() >= call.untilUs()) {
            return "no time left";
        }
        return whyNotRepeat(x, call);
    }

    private String whyNotRepeat(Exchange x, UpstreamCall call) {
        for (UpstreamCall other : x.attempts) {
            if (other != call && other.mayRun() && !repeatable(x, other, call)) {
                invariants.breached(
                        Breach.REPEATED,
                        x.request.id(),
                        "may run at " + other.upstream + " and was to be sent to " + call.upstream);
                return "it may have run";
            }
        }
        return null;
    }

    private boolean repeatable(Exchange x, UpstreamCall earlier, UpstreamCall call) {
        RequestClass c = classes.get(x.request.requestClass());
        if (c == null || c.semantics() == Semantics.UNSAFE) {
            return false;
        }
        if (c.semantics() == Semantics.SAFE) {
            return true;
        }
        // The module has been asked just before, by its own clock reading.
        if (clock.nowUs() - earlier.sentUs() >= c.windowUs() + CLOCK_SLACK_US) {
            return false;
        }
        Upstream at = earlier.target();
        Upstream now = call.target();
        return switch (c.group()) {
            case ALL -> true;
            case ZONE -> at.zone().equals(now.zone());
            case CELL -> at.cell() == now.cell();
        };
    }

    /** Whether a refusal would be true: it promises that nothing has run. */
    boolean mayRefuse(Exchange x) {
        if (x.attempts.stream().noneMatch(UpstreamCall::mayRun)) {
            return true;
        }
        invariants.breached(Breach.REFUSED_WHAT_MAY_HAVE_RUN, x.request.id(), "was to be refused");
        return false;
    }

    /** The time that an upstream is told for a request that has come whole: up to then, and never more than the client has left. */
    long tellUs(Exchange x, long untilUs) {
        long clientUntilUs = x.sentUs + x.remainingUs;
        if (untilUs > clientUntilUs) {
            invariants.breached(
                    Breach.TOLD_TOO_MUCH_TIME,
                    x.request.id(),
                    "was to be told " + (untilUs - clientUntilUs) + " us too much");
        }
        return Math.min(untilUs, clientUntilUs) - clock.nowUs();
    }

    /** Whether a client's connection may be closed for others' sake: not while its first request may be on its way. */
    boolean mayClose(boolean young, CloseReason reason) {
        if (young && reason == CloseReason.ROOM_NEEDED) {
            invariants.breached(Breach.CLOSED_YOUNG, "of a new connection", "was to lose it: " + reason.words());
            return false;
        }
        return true;
    }

    /** A connection was to be closed that holds this request, whole and unanswered. */
    void closesWith(String id, CloseReason reason) {
        invariants.breached(Breach.CLOSED_WITH_A_REQUEST, id, "was to lose its connection: " + reason.words());
    }
}

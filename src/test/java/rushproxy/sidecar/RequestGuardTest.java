package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushproxy.Balancer.Group;
import rushproxy.Balancer.Outcome;
import rushproxy.Balancer.Request;
import rushproxy.Balancer.RequestClass;
import rushproxy.Balancer.Semantics;
import rushproxy.sidecar.Invariants.Breach;

/** Each rule of the guard, by what it lets through, what it stops, and what it counts. */
class RequestGuardTest {
    private static final long SECOND_US = 1_000_000;

    private final Clock clock = new Clock();
    private final Invariants invariants = new Invariants();
    private final RequestGuard guard = new RequestGuard(
            clock,
            List.of(
                    requestClass("safe", Semantics.SAFE),
                    requestClass("unsafe", Semantics.UNSAFE),
                    requestClass("keyed", Semantics.KEYED)),
            invariants);
    private boolean clientIsThere = true;

    private static RequestClass requestClass(String name, Semantics semantics) {
        return new RequestClass(name, semantics, Group.ALL, 10 * SECOND_US, SECOND_US, 0, 2 * SECOND_US, 1, 0, false);
    }

    private Exchange exchange(String requestClass) {
        Request request = new Request("id", -1, false, false, 0, SECOND_US, null, requestClass, false);
        Body body = new Body(() -> {}, 0);
        body.end();
        return new Exchange(
                request,
                HttpMethod.GET,
                "/api",
                null,
                body,
                clock.nowUs(),
                2 * SECOND_US,
                clock.nowUs() + SECOND_US,
                new NoAnswer(),
                new RequestTimes(0, 0, 0, 0, 0));
    }

    private UpstreamCall attempt(Exchange x) {
        UpstreamCall call = new UpstreamCall(
                "u", clock.nowUs() + SECOND_US, false, left -> null, null, (c, outcome, report, body) -> {});
        call.sentAt(new StallAwareClock.Timestamp(clock.nowUs(), 0));
        x.attempts.add(call);
        return call;
    }

    private UpstreamCall begun(Exchange x) {
        UpstreamCall call = attempt(x);
        call.startsNow();
        return call;
    }

    @Test
    void aSecondFinalAnswerIsStoppedAndCounted() {
        Exchange x = exchange("safe");
        assertTrue(guard.become(x, RequestState.ATTEMPTING));
        assertTrue(guard.become(x, RequestState.ANSWERED));
        assertFalse(guard.become(x, RequestState.ANSWERED));
        assertFalse(guard.become(x, RequestState.PASSING_ON));
        assertEquals(RequestState.ANSWERED, x.state);
        assertEquals(Map.of(Breach.TRANSITION, 2), invariants.counts());
    }

    @Test
    void whatWasPassedOnEndsWholeOrBrokenAndIsNeverRefusedOrSentAgain() {
        Exchange x = exchange("safe");
        guard.become(x, RequestState.ATTEMPTING);
        assertTrue(guard.become(x, RequestState.PASSING_ON));
        assertFalse(guard.become(x, RequestState.ATTEMPTING));
        assertTrue(guard.become(x, RequestState.BROKEN_OFF));
        assertFalse(guard.become(x, RequestState.ANSWERED));
    }

    @Test
    void everyOtherStateHasItsNextOnes() {
        for (RequestState from : RequestState.values()) {
            assertFalse(from.mayBecome(RequestState.TAKEN), from + " is never taken again");
            boolean last =
                    from == RequestState.ANSWERED || from == RequestState.BROKEN_OFF || from == RequestState.LEFT;
            assertEquals(!last, from.mayBecome(RequestState.LEFT), from + " and a client that leaves");
        }
    }

    @Test
    void nothingIsSentForARequestThatIsOver() {
        Exchange x = exchange("safe");
        UpstreamCall call = attempt(x);
        assertNull(guard.whyNotSend(x, call));
        guard.become(x, RequestState.ANSWERED);
        assertNotNull(guard.whyNotSend(x, call));
        assertEquals(Map.of(Breach.SENT_AFTER_ITS_END, 1), invariants.counts());
    }

    @Test
    void nothingIsSentForAClientThatHasGoneOrCannotBeSeenOrHasNoTime() {
        Exchange x = exchange("safe");
        UpstreamCall call = attempt(x);
        clientIsThere = false;
        assertEquals("the client has gone", guard.whyNotSend(x, call));
        clientIsThere = true;
        x.unwatched = true;
        assertEquals("the client can't be watched", guard.whyNotSend(x, call));
        x.unwatched = false;
        UpstreamCall late = new UpstreamCall("u", clock.nowUs() - 1, false, left -> null, null, (c, o, r, b) -> {});
        assertEquals("no time left", guard.whyNotSend(x, late));
        assertEquals(0, invariants.total(), "these are ordinary");
    }

    @Test
    void whatMayRunIsNotSentAgainUnlessItsClassAllowsIt() {
        for (String requestClass : List.of("unsafe", "no such class")) {
            Exchange x = exchange(requestClass);
            begun(x);
            assertEquals("it may have run", guard.whyNotSend(x, attempt(x)), requestClass);
        }
        Exchange safe = exchange("safe");
        begun(safe);
        assertNull(guard.whyNotSend(safe, attempt(safe)));
        assertEquals(Map.of(Breach.REPEATED, 2), invariants.counts());
    }

    @Test
    void whatProvablyDidNotRunMayBeSentAgain() {
        for (Outcome outcome : Outcome.values()) {
            Exchange x = exchange("unsafe");
            begun(x).end(outcome, null, null);
            assertEquals(outcome.mayHaveRun, guard.whyNotSend(x, attempt(x)) != null, outcome.toString());
        }
    }

    @Test
    void aKeyIsRememberedForItsWindow() {
        Exchange x = exchange("keyed");
        UpstreamCall earlier = begun(x);
        assertNull(guard.whyNotSend(x, attempt(x)));
        earlier.sentAt(new StallAwareClock.Timestamp(clock.nowUs() - 11 * SECOND_US, 0));
        assertEquals("it may have run", guard.whyNotSend(x, attempt(x)));
    }

    @Test
    void whatMayRunIsNotRefused() {
        Exchange x = exchange("safe");
        attempt(x);
        assertTrue(guard.mayRefuse(x));
        begun(x);
        assertFalse(guard.mayRefuse(x));
        assertEquals(Map.of(Breach.REFUSED_WHAT_MAY_HAVE_RUN, 1), invariants.counts());
    }

    @Test
    void anUpstreamIsNeverToldMoreThanTheClientHasLeft() {
        Exchange x = exchange("safe");
        long untilUs = clock.nowUs() + SECOND_US;
        long toldUs = guard.tellUs(x, untilUs);
        assertTrue(toldUs <= SECOND_US && toldUs >= untilUs - clock.nowUs(), toldUs + " us");
        assertEquals(Map.of(), invariants.counts());
        assertTrue(guard.tellUs(x, clock.nowUs() + 3 * SECOND_US) <= 2 * SECOND_US);
        assertEquals(Map.of(Breach.TOLD_TOO_MUCH_TIME, 1), invariants.counts());
    }

    @Test
    void aCloseWithARequestIsCountedByItsName() {
        guard.closesWith("id", CloseReason.ROOM_NEEDED);
        assertEquals(Map.of(Breach.CLOSED_WITH_A_REQUEST, 1), invariants.counts());
    }

    private final class NoAnswer implements Exchange.Answer {
        @Override
        public void served(ByteBuf body) {}

        @Override
        public void refused(long retryAfterUs) {}

        @Override
        public void failed() {}

        @Override
        public void begins(long length, Runnable more) {}

        @Override
        public boolean piece(ByteBuf piece) {
            return true;
        }

        @Override
        public void ends() {}

        @Override
        public void breaks() {}

        @Override
        public boolean clientIsThere() {
            return clientIsThere;
        }
    }
}

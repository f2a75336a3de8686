package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;

/** The requests held: each is told to the module, carried through its attempts and answered exactly once. */
final class RequestCoordinator {
    /** The module answers at the deadline, when attempts time out; what it has not by then is answered here. */
    private static final long OVERDUE_GRACE_US = 2_000;
    /** A deadline is not moved for less. */
    static final long MIN_DEADLINE_CHANGE_US = 5_000;
    /** A body that is still coming has its own bounds, with the client and with the upstream. */
    private static final long UPLOAD_TIMEOUT_US = 3_600_000_000L;

    private final EventLoop loop;
    private final Clock clock;
    private final SocketTimeouts timeouts;
    private AttemptListener attemptListener = (upstream, requestClass, outcome, tookUs) -> {};
    private final BalancerDispatcher dispatcher;
    private final Upstreams upstreams;
    private final RequestGuard guard;
    private final int maxAttempts;
    private final Map<String, Exchange> open = new HashMap<>();
    /** When the process may be killed, once it is to end. */
    private long processEndUs = Long.MAX_VALUE;
    /** Since the last {@link #reportStats}. */
    private int taken;

    private int served;
    private int refused;
    private int failed;
    private int overdue;
    private int left;
    private int brokenOff;
    private final UnservedRequestStats unservedStats = new UnservedRequestStats();
    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);

    RequestCoordinator(
            EventLoop loop,
            RunningTime time,
            BalancerDispatcher decisions,
            Upstreams upstreams,
            RequestGuard guard,
            int maxAttempts) {
        this.guard = guard;
        this.loop = loop;
        clock = time.clock();
        timeouts = new SocketTimeouts(loop, time);
        this.dispatcher = decisions;
        this.upstreams = upstreams;
        this.maxAttempts = maxAttempts;
    }

    boolean isOpen(String id) {
        return open.containsKey(id);
    }

    /** By when a request is to be answered, as it stands now; empty where it is not held. */
    OptionalLong deadlineUs(String id) {
        return open.containsKey(id) ? OptionalLong.of(open.get(id).deadlineUs) : OptionalLong.empty();
    }

    /** Its body may still be coming: {@link #onBodyComplete} tells when it is not. */
    void accept(Exchange x) {
        taken++;
        RequestLog.logTaken(x.request.id(), x.request.requestClass(), x.deadlineUs - clock.now());
        open.put(x.request.id(), x);
        if (x.body.isComplete()) {
            scheduleTimeout(x);
        }
        dispatcher.call(m -> m.onRequest(clock.now(), x.request), () -> fail(x));
    }

    private void scheduleTimeout(Exchange x) {
        x.timeout = timeouts.schedule(
                x.deadlineUs + OVERDUE_GRACE_US,
                () -> List.copyOf(x.attempts).stream().allMatch(upstreams::readNow),
                () -> failOverdue(x));
    }

    /** The last byte of the request has come: its time runs from now. */
    void onBodyComplete(Exchange x, long sentUs, long deadlineUs) {
        if (!x.state.isDecided()) {
            x.sentUs = sentUs;
            x.deadlineUs = deadlineUs;
            scheduleTimeout(x);
            for (UpstreamCall call : x.attempts) {
                upstreams.due(call, deadlineUs);
            }
        }
    }

    /** All that is held has to be over by then. */
    void capDeadlines(long us) {
        processEndUs = us;
        for (Exchange x : open.values()) {
            if (x.streamingCall != null) {
                upstreams.endBy(x.streamingCall, us);
            }
            shortenDeadline(x, us);
        }
    }

    /** The loop has been late: it may be as late again, and what is held has to be over before that. */
    void tightenDeadlines(ResponseDeadlines deadlines) {
        for (Exchange x : open.values()) {
            long dueUs = deadlines.deadlineUs(x.request.requestClass(), x.sentUs, x.remainingUs);
            if (x.deadlineUs - dueUs >= MIN_DEADLINE_CHANGE_US) {
                shortenDeadline(x, dueUs);
            }
        }
    }

    /** It has to be over by then, if that is sooner than before. What is still coming gets its time when it has come. */
    private void shortenDeadline(Exchange x, long us) {
        if (x.state.isDecided() || !x.body.isComplete() || x.deadlineUs <= us) {
            return;
        }
        x.timeout.cancel(false);
        x.deadlineUs = us;
        // Before the request's own time-out, also where both are due already.
        for (UpstreamCall call : x.attempts) {
            upstreams.due(call, Math.min(call.untilUs(), us));
        }
        scheduleTimeout(x);
    }

    /** The client has left: nothing is owed any more, and what is out ends by itself, but for what flows. */
    void onClientLeft(Exchange x) {
        boolean flows = x.streamingCall != null || !x.body.isComplete();
        if (x.state == RequestState.PASSING_ON) {
            guard.transition(x, RequestState.LEFT);
        }
        if (!x.state.isDecided()) {
            left++;
            RequestLog.logState(x.request.id(), "left by its client");
            finish(x, RequestState.LEFT);
            notifyExpired(x);
        }
        if (flows) {
            x.body.discard();
            List.copyOf(x.attempts).forEach(UpstreamCall::cancel);
        }
    }

    private void failOverdue(Exchange x) {
        if (!x.state.isDecided()) {
            overdue++;
            RequestLog.logState(x.request.id(), "overdue");
            fail(x, "overdue");
            notifyExpired(x);
        }
    }

    private void notifyExpired(Exchange x) {
        dispatcher.call(m -> m.onExpired(clock.now(), x.request.id()), () -> {});
    }

    /** After a call that broke off: what the module held may be forgotten, so it is answered now. */
    void failPending() {
        for (Exchange x : List.copyOf(open.values())) {
            if (x.hasNoPendingAttempt()) {
                failOverdue(x);
            }
        }
    }

    void send(String id, String upstream, long untilUs) {
        Exchange x = open.get(id);
        if (x == null) {
            return;
        }
        int number = x.attempts.size();
        long now = clock.now();
        long until = !x.body.isComplete()
                ? now + UPLOAD_TIMEOUT_US
                : untilUs <= 0 ? x.deadlineUs : Math.min(untilUs, x.deadlineUs);
        String moot = reasonNotToAttempt(x, number, until <= now);
        UpstreamCall call =
                new UpstreamCall(upstream, until, false, left -> buildRequest(x, number), x.body, new CallResult() {
                    @Override
                    public void ended(UpstreamCall c, Outcome outcome, LoadReport report, ByteBuf body) {
                        RequestCoordinator.this.onCallEnded(x, number, c, outcome, report, body);
                    }

                    @Override
                    public boolean begins(UpstreamCall c, long length, Runnable resume) {
                        return RequestCoordinator.this.beginStreaming(x, number, c, length, resume);
                    }

                    @Override
                    public boolean piece(ByteBuf piece) {
                        return x.response.writePart(piece);
                    }

                    @Override
                    public boolean mayBegin(UpstreamCall c) {
                        return RequestCoordinator.this.mayBegin(x, number, c);
                    }

                    @Override
                    public void sent(UpstreamCall c) {
                        if (x.request.partial()) {
                            dispatcher.call(m -> m.onSent(clock.now(), x.request.id(), number), () -> {});
                        }
                    }
                });
        upstreams.sentNow(call);
        x.attempts.add(call);
        x.timestamps.recordAttempt(now);
        if (moot != null) {
            RequestLog.logNotAttempted(id, number, upstream, moot);
            call.end(Outcome.NOT_SENT, null, null);
        } else {
            RequestLog.logAttempt(id, number, upstream, until - now);
            startCall(call);
        }
    }

    /** Asked just before the first byte, on every way to it: the module, then the guard. */
    private boolean mayBegin(Exchange x, int number, UpstreamCall call) {
        String why = dispatcher.query(m -> m.mayBegin(clock.now(), x.request.id(), number))
                ? guard.reasonNotToSend(x, call)
                : "the module says no";
        if (why != null) {
            RequestLog.logNotAttempted(x.request.id(), number, call.upstream, why);
            return false;
        }
        return guard.transition(x, RequestState.ATTEMPTING);
    }

    /** The last byte of an answer that was passed on has come, or none comes any more. */
    private void finishStreaming(Exchange x, boolean whole) {
        if (x.state == RequestState.LEFT) {
            return;
        }
        if (!whole) {
            brokenOff++;
        }
        if (guard.transition(x, whole ? RequestState.ANSWERED : RequestState.BROKEN_OFF)) {
            if (whole) {
                x.response.endStream();
            } else {
                x.response.abortStream();
            }
        }
    }

    /** Why an attempt that the module asks for must not begin; null where it may. */
    private String reasonNotToAttempt(Exchange x, int number, boolean late) {
        if (x.state.isDecided()) {
            return "the request is over";
        }
        if (number >= maxAttempts) {
            return "too many attempts";
        }
        if (late) {
            return "no time left";
        }
        // Of a body that has begun to flow the beginning is gone.
        if (!x.body.isReplayable()) {
            return "the body has flowed";
        }
        return x.disconnectUndetectable ? "the client can't be watched" : null;
    }

    /** What lies in the sockets goes first: it may say that this must not be sent any more. */
    private void startCall(UpstreamCall call) {
        SocketLook.before(loop, () -> {
            if (!call.ended()) {
                upstreams.start(call);
            }
        });
    }

    /** Whether its client is still there can't be known: no attempt begins any more. Without one it is over now. */
    void onDisconnectUndetectable(Exchange x) {
        x.disconnectUndetectable = true;
        List.copyOf(x.attempts).forEach(UpstreamCall::withdraw);
        if (x.state.isDecided() || !x.hasNoPendingAttempt()) {
            return;
        }
        if (x.attempts.stream().allMatch(UpstreamCall::neverRan)) {
            refuse(x.request.id(), 0);
        } else {
            fail(x);
        }
        notifyExpired(x);
    }

    private HttpRequest buildRequest(Exchange x, int number) {
        HttpRequest message = new DefaultHttpRequest(HttpVersion.HTTP_1_1, x.method, x.uri);
        // Where the request still comes its client's time has not begun.
        long left = x.body.isComplete()
                ? guard.remainingForUpstreamUs(x, x.attempts.get(number).untilUs())
                : x.request.remainingUs();
        message.headers().set(Headers.REQUEST_ID, x.request.id()).set(Headers.REMAINING_MS, Math.max(1, left / 1000));
        if (x.idempotencyKey != null) {
            message.headers().set(Headers.IDEMPOTENCY_KEY, x.idempotencyKey);
        }
        return message;
    }

    /** An answer too long to be kept, or of which nobody knows how long it is, has begun to come. */
    private boolean beginStreaming(Exchange x, int number, UpstreamCall call, long length, Runnable resume) {
        if (x.state.isDecided() || !finish(x, RequestState.PASSING_ON)) {
            return false;
        }
        served++;
        RequestLog.logState(x.request.id(), "passing its answer on");
        x.streamingCall = call;
        upstreams.endBy(call, processEndUs);
        x.response.beginStream(length, resume);
        long now = clock.now();
        dispatcher.call(
                m -> m.onStreamStart(now, x.request.id(), number, call.upstream, upstreams.tookUs(call)), () -> {});
        return true;
    }

    private void onCallEnded(
            Exchange x, int number, UpstreamCall call, Outcome outcome, LoadReport report, ByteBuf body) {
        outcomes.merge(outcome, 1, Integer::sum);
        long tookUs = upstreams.tookUs(call);
        RequestLog.logOutcome(x.request.id(), number, call.upstream, outcome, tookUs);
        if (x.streamingCall == call) {
            finishStreaming(x, outcome == Outcome.OK);
        } else if (outcome == Outcome.OK && !x.state.isDecided() && finish(x, RequestState.ANSWERED)) {
            served++;
            x.response.succeed(body.retain());
        }
        removeIfSettled(x);
        long now = clock.now();
        attemptListener.onAttemptEnded(call.upstream, x.request.requestClass(), outcome, tookUs);
        dispatcher.call(
                m -> m.onOutcome(
                        now, x.request.id(), number, call.upstream, outcome, tookUs, x.state.isDecided(), report),
                () -> failIfNonePending(x));
    }

    private void failIfNonePending(Exchange x) {
        if (x.hasNoPendingAttempt()) {
            fail(x);
        }
    }

    void refuse(String id, long retryAfterUs) {
        Exchange x = open.get(id);
        if (x == null || x.state.isDecided()) {
            return;
        }
        if (!guard.canRefuse(x)) {
            fail(x);
        } else if (finish(x, RequestState.ANSWERED)) {
            refused++;
            unservedStats.add(x, "refused", clock.now());
            RequestLog.logState(x.request.id(), "refused");
            x.response.refuse(retryAfterUs);
        }
    }

    void fail(String id) {
        if (open.containsKey(id)) {
            fail(open.get(id));
        }
    }

    private void fail(Exchange x) {
        fail(x, "failed");
    }

    private void fail(Exchange x, String reason) {
        if (!x.state.isDecided() && finish(x, RequestState.ANSWERED)) {
            failed++;
            unservedStats.add(x, reason, clock.now());
            RequestLog.logState(x.request.id(), "failed");
            x.response.fail();
        }
    }

    /** Hears of each attempt's end. */
    interface AttemptListener {
        void onAttemptEnded(String upstream, String requestClass, Outcome outcome, long tookUs);
    }

    void setAttemptListener(AttemptListener now) {
        attemptListener = now;
    }

    /** Hears what became of requests and attempts, in words and as fields. */
    interface StatsSink {
        void accept(String words, Object... fields);
    }

    /** Of the time since the last call; nothing is told where there was nothing. */
    void reportStats(StatsSink to) {
        if (taken == 0 && outcomes.isEmpty()) {
            return;
        }
        String words = taken + " requests: " + served + " served (" + brokenOff + " broken off), " + refused
                + " refused, "
                + failed + " failed (" + overdue + " overdue), " + left + " left by their client; " + open.size()
                + " held; attempts " + outcomes;
        Map<String, Integer> reasons = unservedStats.takeCounts();
        words += reasons.isEmpty() ? "" : "; not served " + reasons;
        to.accept(
                words,
                "taken",
                taken,
                "served",
                served,
                "broken_off",
                brokenOff,
                "refused",
                refused,
                "failed",
                failed,
                "overdue",
                overdue,
                "left",
                left,
                "held",
                open.size(),
                "attempts",
                outcomes,
                "not_served",
                reasons);
        taken = served = refused = failed = overdue = left = brokenOff = 0;
        outcomes.clear();
    }

    void cancel(String id, int attempt) {
        Exchange x = open.get(id);
        // What the client is getting is no longer the module's to call off.
        if (x != null && attempt >= 0 && attempt < x.attempts.size() && x.attempts.get(attempt) != x.streamingCall) {
            x.attempts.get(attempt).cancel();
        }
    }

    /** From now on nothing more is decided about it. False, and nothing is changed, where it can't become that any more. */
    private boolean finish(Exchange x, RequestState state) {
        if (!guard.transition(x, state)) {
            return false;
        }
        if (x.timeout != null) {
            x.timeout.cancel(false);
        }
        // A connection may still be coming up for one: whoever has gone, or has been answered, is sent nothing more
        // for.
        List.copyOf(x.attempts).forEach(UpstreamCall::withdraw);
        removeIfSettled(x);
        return true;
    }

    private void removeIfSettled(Exchange x) {
        if (x.isSettled()) {
            open.remove(x.request.id());
        }
    }
}

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

/**
 * Holds all open requests. Reports each to the balancer, carries it through its attempts and answers it exactly once.
 */
final class RequestCoordinator {
    /**
     * The balancer answers at the deadline, when attempts time out. Requests still open this much later are failed
     * here.
     */
    private static final long OVERDUE_GRACE_US = 2_000;
    /** A deadline is not moved earlier by less than this. */
    static final long MIN_DEADLINE_CHANGE_US = 5_000;
    /** Timeout of an attempt whose body is still arriving; client and upstream have tighter limits of their own. */
    private static final long UPLOAD_TIMEOUT_US = 3_600_000_000L;

    private final EventLoop loop;
    private final Clock clock;
    private final SocketTimeouts timeouts;
    private AttemptListener attemptListener = (upstream, requestClass, outcome, tookUs) -> {};
    private final BalancerDispatcher dispatcher;
    private final UpstreamPool upstreams;
    private final RequestGuard guard;
    private final TaskGuard tasks;
    private final int maxAttempts;
    private final Map<String, Exchange> open = new HashMap<>();
    private final AbandonedRequests abandoned = new AbandonedRequests();
    private final SharedRequestTable sharedTable;
    /** When the process may be killed, once it is stopping. */
    private long processEndUs = Long.MAX_VALUE;
    /** Counts since the last {@link #reportStats}. */
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
            StallAwareClock time,
            BalancerDispatcher dispatcher,
            UpstreamPool upstreams,
            RequestGuard guard,
            int maxAttempts,
            SharedRequestTable sharedTable,
            TaskGuard tasks) {
        this.guard = guard;
        this.tasks = tasks;
        this.sharedTable = sharedTable;
        this.loop = loop;
        clock = time.clock();
        timeouts = new SocketTimeouts(loop, time);
        this.dispatcher = dispatcher;
        this.upstreams = upstreams;
        this.maxAttempts = maxAttempts;
    }

    boolean isOpen(String id) {
        return open.containsKey(id);
    }

    /**
     * Whether a request of this id must not run again: it is open, or may have run for a client that has left, here or at the other
     * process of an upgrade.
     */
    boolean mustNotRepeat(String id) {
        return isOpen(id) || abandoned.contains(id, clock.nowUs()) || sharedTable.contains(id);
    }

    /** The current deadline of a request; empty if it is not open. */
    OptionalLong deadlineUs(String id) {
        return open.containsKey(id) ? OptionalLong.of(open.get(id).deadlineUs) : OptionalLong.empty();
    }

    /** Takes over a request. Its body may still be arriving; {@link #onBodyComplete} reports its end. */
    void accept(Exchange exchange) {
        taken++;
        RequestLog.logTaken(
                exchange.request.id(), exchange.request.requestClass(), exchange.deadlineUs - clock.nowUs());
        open.put(exchange.request.id(), exchange);
        if (exchange.body.isComplete()) {
            scheduleTimeout(exchange);
        }
        dispatcher.call(balancer -> balancer.onRequest(clock.nowUs(), exchange.request), () -> fail(exchange));
    }

    private void scheduleTimeout(Exchange exchange) {
        exchange.timeout = timeouts.schedule(
                exchange.deadlineUs + OVERDUE_GRACE_US,
                () -> List.copyOf(exchange.attempts).stream().allMatch(upstreams::readNow),
                tasks.ofRequest(exchange.request.id(), () -> failOverdue(exchange), () -> cancelAttempts(exchange)));
    }

    /** Called when the last byte of the request has arrived. Its deadline counts from now on. */
    void onBodyComplete(Exchange exchange, long sentUs, long deadlineUs) {
        if (!exchange.state.isDecided()) {
            exchange.sentUs = sentUs;
            exchange.deadlineUs = deadlineUs;
            scheduleTimeout(exchange);
            for (UpstreamCall call : exchange.attempts) {
                call.lateLimitUs = exchange.lateLimitUs();
                upstreams.setDeadline(call, deadlineUs);
            }
        }
    }

    /** Limits all open requests to this deadline. */
    void capDeadlines(long newDeadlineUs) {
        processEndUs = newDeadlineUs;
        for (Exchange exchange : open.values()) {
            exchange.attempts.forEach(call -> call.processEndUs = newDeadlineUs);
            shortenDeadline(exchange, newDeadlineUs);
        }
    }

    /**
     * Moves deadlines earlier after a delay of the event loop, so that another such delay does not make responses late.
     */
    void tightenDeadlines(ResponseDeadlines deadlines) {
        for (Exchange exchange : open.values()) {
            long newDeadlineUs =
                    deadlines.deadlineUs(exchange.request.requestClass(), exchange.sentUs, exchange.remainingUs);
            if (exchange.deadlineUs - newDeadlineUs >= MIN_DEADLINE_CHANGE_US) {
                shortenDeadline(exchange, newDeadlineUs);
            }
        }
    }

    /**
     * Moves the deadline earlier. A request whose body is still arriving gets its deadline when the body is complete.
     */
    private void shortenDeadline(Exchange exchange, long newDeadlineUs) {
        if (exchange.state.isDecided() || !exchange.body.isComplete() || exchange.deadlineUs <= newDeadlineUs) {
            return;
        }
        exchange.timeout.cancel(false);
        exchange.deadlineUs = newDeadlineUs;
        // Ahead of the request's own timeout, even if both are due already.
        for (UpstreamCall call : exchange.attempts) {
            upstreams.setDeadline(call, Math.min(call.deadlineUs(), newDeadlineUs));
        }
        scheduleTimeout(exchange);
    }

    /**
     * Ends a request whose client has left. Pending attempts run to their end, except those that stream a body or a
     * response.
     */
    void onClientLeft(Exchange exchange) {
        boolean isStreaming = exchange.streamingCall != null || !exchange.body.isComplete();
        if (exchange.state == RequestState.PASSING_ON) {
            guard.transition(exchange, RequestState.LEFT);
        }
        if (!exchange.state.isDecided()) {
            left++;
            RequestLog.logState(exchange.request.id(), "left by its client");
            finish(exchange, RequestState.LEFT);
            notifyExpired(exchange);
        }
        if (isStreaming) {
            cancelAttempts(exchange);
        }
    }

    private void failOverdue(Exchange exchange) {
        if (!exchange.state.isDecided()) {
            overdue++;
            RequestLog.logState(exchange.request.id(), "overdue");
            fail(exchange, "overdue");
            notifyExpired(exchange);
        }
    }

    /** Fails a request whose time is over although its body is still arriving, and ends its attempt. */
    void failStreaming(Exchange exchange) {
        failOverdue(exchange);
        cancelAttempts(exchange);
    }

    private static void cancelAttempts(Exchange exchange) {
        exchange.body.discard();
        List.copyOf(exchange.attempts).forEach(UpstreamCall::cancel);
    }

    private void notifyExpired(Exchange exchange) {
        dispatcher.call(balancer -> balancer.onRequestExpired(clock.nowUs(), exchange.request.id()), () -> {});
    }

    /**
     * Fails all requests without a pending attempt. Called after the balancer failed in a call, since it may have lost
     * track of them.
     */
    void failPending() {
        for (Exchange exchange : List.copyOf(open.values())) {
            if (exchange.hasNoPendingAttempt()) {
                failOverdue(exchange);
            }
        }
    }

    void send(String id, String upstream, long untilUs) {
        Exchange exchange = open.get(id);
        if (exchange == null) {
            return;
        }
        int number = exchange.attempts.size();
        long now = clock.nowUs();
        long callUntilUs = !exchange.body.isComplete()
                ? now + UPLOAD_TIMEOUT_US
                : untilUs <= 0 ? exchange.deadlineUs : Math.min(untilUs, exchange.deadlineUs);
        String reason = reasonNotToAttempt(exchange, number, callUntilUs <= now);
        UpstreamCall call = new UpstreamCall(
                upstream,
                callUntilUs,
                false,
                remainingUs -> buildRequest(exchange, number),
                exchange.body,
                new CallListener() {
                    @Override
                    public void onEnd(UpstreamCall call, Outcome outcome, LoadReport report, ByteBuf body) {
                        RequestCoordinator.this.onCallEnded(exchange, number, call, outcome, report, body);
                    }

                    @Override
                    public boolean onResponseStart(UpstreamCall call, long length, Runnable resume) {
                        return RequestCoordinator.this.beginStreaming(exchange, number, call, length, resume);
                    }

                    @Override
                    public boolean onResponsePart(ByteBuf piece) {
                        return exchange.response.writePart(piece);
                    }

                    @Override
                    public boolean maySend(UpstreamCall call) {
                        return RequestCoordinator.this.mayBegin(exchange, number, call);
                    }

                    @Override
                    public void onSent(UpstreamCall call) {
                        if (exchange.request.bodyIncomplete()) {
                            dispatcher.call(
                                    balancer -> balancer.onRequestSent(clock.nowUs(), exchange.request.id(), number),
                                    () -> {});
                        }
                    }
                });
        call.processEndUs = processEndUs;
        if (exchange.body.isComplete()) {
            call.lateLimitUs = exchange.lateLimitUs();
        }
        upstreams.markSent(call);
        exchange.attempts.add(call);
        exchange.timestamps.recordAttempt(now);
        if (reason != null) {
            RequestLog.logNotAttempted(id, number, upstream, reason);
            call.end(Outcome.NOT_SENT, null, null);
        } else {
            RequestLog.logAttempt(id, number, upstream, callUntilUs - now);
            if (!guard.mayRunAgain(exchange)) {
                sharedTable.add(id);
            }
            startCall(call);
        }
    }

    /** Checked right before the first byte of every attempt: by the balancer, then by the guard. */
    private boolean mayBegin(Exchange exchange, int number, UpstreamCall call) {
        String reason =
                dispatcher.query(balancer -> balancer.canStartAttempt(clock.nowUs(), exchange.request.id(), number))
                        ? guard.reasonNotToSend(exchange, call)
                        : "the balancer forbids it";
        if (reason != null) {
            RequestLog.logNotAttempted(exchange.request.id(), number, call.upstreamId, reason);
            return false;
        }
        return guard.transition(exchange, RequestState.ATTEMPTING);
    }

    /** Ends a streamed response, either complete or broken off. */
    private void finishStreaming(Exchange exchange, boolean complete) {
        if (exchange.state == RequestState.LEFT) {
            return;
        }
        if (!complete) {
            brokenOff++;
        }
        if (guard.transition(exchange, complete ? RequestState.ANSWERED : RequestState.BROKEN_OFF)) {
            if (complete) {
                exchange.response.endStream();
            } else {
                exchange.response.abortStream();
            }
        }
    }

    /** Why an attempt that the balancer asks for must not start; null if it may. */
    private String reasonNotToAttempt(Exchange exchange, int number, boolean late) {
        if (exchange.state.isDecided()) {
            return "the request is already decided";
        }
        if (number >= maxAttempts) {
            return "too many attempts";
        }
        if (late) {
            return "no time left";
        }
        // The beginning of a streamed body is no longer available.
        if (!exchange.body.isReplayable()) {
            return "the body was already streamed";
        }
        return exchange.disconnectUndetectable ? "a disconnect of the client can't be detected" : null;
    }

    /** Reads the sockets first, since their contents may make this attempt obsolete. */
    private void startCall(UpstreamCall call) {
        Runnable start = () -> {
            if (!call.isEnded()) {
                upstreams.start(call);
            }
        };
        SocketPolling.runAfterNextPoll(loop, tasks.ofCall(call, start));
    }

    /**
     * Starts no further attempt, since a disconnect of the client can't be detected. Answers the request at once if no
     * attempt is pending.
     */
    void onDisconnectUndetectable(Exchange exchange) {
        exchange.disconnectUndetectable = true;
        List.copyOf(exchange.attempts).forEach(UpstreamCall::cancelIfUnsent);
        if (exchange.state.isDecided() || !exchange.hasNoPendingAttempt()) {
            return;
        }
        if (exchange.attempts.stream().allMatch(UpstreamCall::isProvenNotRun)) {
            refuse(exchange.request.id(), 0);
        } else {
            fail(exchange);
        }
        notifyExpired(exchange);
    }

    private HttpRequest buildRequest(Exchange exchange, int number) {
        HttpRequest message = new DefaultHttpRequest(HttpVersion.HTTP_1_1, exchange.method, exchange.uri);
        // While the request is still arriving its client's time has not started.
        long remainingUs = exchange.body.isComplete()
                ? guard.remainingForUpstreamUs(
                        exchange, exchange.attempts.get(number).deadlineUs())
                : exchange.request.remainingUs();
        message.headers()
                .set(Headers.REQUEST_ID, exchange.request.id())
                .set(Headers.REMAINING_MS, Math.max(1, remainingUs / 1000));
        if (exchange.idempotencyKey != null) {
            message.headers().set(Headers.IDEMPOTENCY_KEY, exchange.idempotencyKey);
        }
        return message;
    }

    /** Starts streaming a response that is too long to be buffered or has no known length. */
    private boolean beginStreaming(Exchange exchange, int number, UpstreamCall call, long length, Runnable resume) {
        if (exchange.state.isDecided() || !finish(exchange, RequestState.PASSING_ON)) {
            return false;
        }
        served++;
        RequestLog.logState(exchange.request.id(), "streaming its response");
        exchange.streamingCall = call;
        exchange.response.beginStream(length, resume);
        long now = clock.nowUs();
        dispatcher.call(
                balancer -> balancer.onStreamStart(
                        now, exchange.request.id(), number, call.upstreamId, upstreams.latencyUs(call)),
                () -> {});
        return true;
    }

    private void onCallEnded(
            Exchange exchange, int number, UpstreamCall call, Outcome outcome, LoadReport report, ByteBuf body) {
        outcomes.merge(outcome, 1, Integer::sum);
        long tookUs = upstreams.latencyUs(call);
        RequestLog.logOutcome(exchange.request.id(), number, call.upstreamId, outcome, tookUs);
        if (exchange.streamingCall == call) {
            finishStreaming(exchange, outcome == Outcome.OK);
        } else if (outcome == Outcome.OK && !exchange.state.isDecided() && finish(exchange, RequestState.ANSWERED)) {
            served++;
            exchange.response.succeed(body.retain());
        }
        removeIfSettled(exchange);
        long now = clock.nowUs();
        attemptListener.onAttemptEnded(call.upstreamId, exchange.request.requestClass(), outcome, tookUs);
        dispatcher.call(
                balancer -> balancer.onOutcome(
                        now,
                        exchange.request.id(),
                        number,
                        call.upstreamId,
                        outcome,
                        tookUs,
                        exchange.state.isDecided(),
                        report),
                () -> failIfNonePending(exchange));
    }

    private void failIfNonePending(Exchange exchange) {
        if (exchange.hasNoPendingAttempt()) {
            fail(exchange);
        }
    }

    void refuse(String id, long retryAfterUs) {
        Exchange exchange = open.get(id);
        if (exchange == null || exchange.state.isDecided()) {
            return;
        }
        if (!guard.canRefuse(exchange)) {
            fail(exchange);
        } else if (finish(exchange, RequestState.ANSWERED)) {
            refused++;
            unservedStats.add(exchange, "refused", clock.nowUs());
            RequestLog.logState(exchange.request.id(), "refused");
            exchange.response.refuse(retryAfterUs);
        }
    }

    void fail(String id) {
        if (open.containsKey(id)) {
            fail(open.get(id));
        }
    }

    private void fail(Exchange exchange) {
        fail(exchange, "failed");
    }

    private void fail(Exchange exchange, String reason) {
        if (!exchange.state.isDecided() && finish(exchange, RequestState.ANSWERED)) {
            failed++;
            unservedStats.add(exchange, reason, clock.nowUs());
            RequestLog.logState(exchange.request.id(), "failed");
            exchange.response.fail();
        }
    }

    /** Receives the end of each attempt. */
    interface AttemptListener {
        void onAttemptEnded(String upstream, String requestClass, Outcome outcome, long tookUs);
    }

    void setAttemptListener(AttemptListener now) {
        attemptListener = now;
    }

    /** Receives statistics as text and as key/value pairs. */
    interface StatsSink {
        void accept(String text, Object... fields);
    }

    /** Reports the counts since the last call, unless there are none. */
    void reportStats(StatsSink sink) {
        if (taken == 0 && outcomes.isEmpty()) {
            return;
        }
        String text = taken + " requests: " + served + " served (" + brokenOff + " broken off), " + refused
                + " refused, "
                + failed + " failed (" + overdue + " overdue), " + left + " left by their client; " + open.size()
                + " held; attempts " + outcomes;
        Map<String, Integer> reasons = unservedStats.takeCounts();
        text += reasons.isEmpty() ? "" : "; not served " + reasons;
        sink.accept(
                text,
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
        Exchange exchange = open.get(id);
        // The balancer can't cancel a response that is being streamed to the client.
        if (exchange != null
                && attempt >= 0
                && attempt < exchange.attempts.size()
                && exchange.attempts.get(attempt) != exchange.streamingCall) {
            exchange.attempts.get(attempt).cancel();
        }
    }

    /** Moves the request to a decided state. Returns false, and changes nothing, if that transition is not allowed. */
    private boolean finish(Exchange exchange, RequestState state) {
        if (!guard.transition(exchange, state)) {
            return false;
        }
        if (exchange.timeout != null) {
            exchange.timeout.cancel(false);
        }
        exchange.body.endReplay();
        // Attempts that wait for a connection are withdrawn: nothing more is sent for a request that is decided.
        List.copyOf(exchange.attempts).forEach(UpstreamCall::cancelIfUnsent);
        removeIfSettled(exchange);
        return true;
    }

    private void removeIfSettled(Exchange exchange) {
        String id = exchange.request.id();
        if (!exchange.isSettled()) {
            return;
        }
        exchange.body.discard();
        if (open.remove(id) == null) {
            return;
        }
        exchange.releaseHeadMemory.run();
        if (guard.mayRunAgain(exchange)) {
            return;
        }
        if (guard.isRunUnanswered(exchange)) {
            abandoned.add(id, clock.nowUs());
            sharedTable.add(id);
        } else {
            sharedTable.remove(id);
        }
    }
}

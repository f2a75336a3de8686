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
final class Requests {
    /** The module answers at the deadline, when attempts time out; what it has not by then is answered here. */
    private static final long OVERDUE_US = 2_000;
    /** A deadline is not moved for less. */
    static final long LEAST_GAIN_US = 5_000;
    /** A body that is still coming has its own bounds, with the client and with the upstream. */
    private static final long UPLOAD_US = 3_600_000_000L;

    private final EventLoop loop;
    private final Clock clock;
    private final TimeOuts timeOuts;
    private Watch watch = (upstream, requestClass, outcome, tookUs) -> {};
    private final Decisions decisions;
    private final Upstreams upstreams;
    private final RequestGuard guard;
    private final int maxAttempts;
    private final Map<String, Exchange> open = new HashMap<>();
    /** When the process may be killed, once it is to end. */
    private long endUs = Long.MAX_VALUE;
    /** Since the last {@link #tally}. */
    private int taken;

    private int served;
    private int refused;
    private int failed;
    private int overdue;
    private int left;
    private int broken;
    private final UnservedRequests unserved = new UnservedRequests();
    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);

    Requests(
            EventLoop loop,
            StallAwareClock time,
            Decisions decisions,
            Upstreams upstreams,
            RequestGuard guard,
            int maxAttempts) {
        this.guard = guard;
        this.loop = loop;
        clock = time.clock();
        timeOuts = new TimeOuts(loop, time);
        this.decisions = decisions;
        this.upstreams = upstreams;
        this.maxAttempts = maxAttempts;
    }

    boolean knows(String id) {
        return open.containsKey(id);
    }

    /** By when a request is to be answered, as it stands now; empty where it is not held. */
    OptionalLong dueUs(String id) {
        return open.containsKey(id) ? OptionalLong.of(open.get(id).deadlineUs) : OptionalLong.empty();
    }

    /** Its body may still be coming: {@link #complete} tells when it is not. */
    void take(Exchange x) {
        taken++;
        RequestLog.taken(x.request.id(), x.request.requestClass(), x.deadlineUs - clock.nowUs());
        open.put(x.request.id(), x);
        if (x.body.complete()) {
            await(x);
        }
        decisions.call(m -> m.onRequest(clock.nowUs(), x.request), () -> fail(x));
    }

    private void await(Exchange x) {
        x.overdue = timeOuts.at(
                x.deadlineUs + OVERDUE_US,
                () -> List.copyOf(x.attempts).stream().allMatch(upstreams::readNow),
                () -> overdue(x));
    }

    /** The last byte of the request has come: its time runs from now. */
    void complete(Exchange x, long sentUs, long deadlineUs) {
        if (!x.state.isOver()) {
            x.sentUs = sentUs;
            x.deadlineUs = deadlineUs;
            await(x);
            for (UpstreamCall call : x.attempts) {
                upstreams.due(call, deadlineUs);
            }
        }
    }

    /** All that is held has to be over by then. */
    void dueBy(long us) {
        endUs = us;
        for (Exchange x : open.values()) {
            if (x.passing != null) {
                upstreams.endBy(x.passing, us);
            }
            hasten(x, us);
        }
    }

    /** The loop has been late: it may be as late again, and what is held has to be over before that. */
    void tighten(AnswerDeadlines deadlines) {
        for (Exchange x : open.values()) {
            long dueUs = deadlines.dueUs(x.request.requestClass(), x.sentUs, x.remainingUs);
            if (x.deadlineUs - dueUs >= LEAST_GAIN_US) {
                hasten(x, dueUs);
            }
        }
    }

    /** It has to be over by then, if that is sooner than before. What is still coming gets its time when it has come. */
    private void hasten(Exchange x, long us) {
        if (x.state.isOver() || !x.body.complete() || x.deadlineUs <= us) {
            return;
        }
        x.overdue.cancel(false);
        x.deadlineUs = us;
        // Before the request's own time-out, also where both are due already.
        for (UpstreamCall call : x.attempts) {
            upstreams.due(call, Math.min(call.untilUs(), us));
        }
        await(x);
    }

    /** The client has left: nothing is owed any more, and what is out ends by itself, but for what flows. */
    void left(Exchange x) {
        boolean flows = x.passing != null || !x.body.complete();
        if (x.state == RequestState.PASSING_ON) {
            guard.become(x, RequestState.LEFT);
        }
        if (!x.state.isOver()) {
            left++;
            RequestLog.state(x.request.id(), "left by its client");
            finish(x, RequestState.LEFT);
            expired(x);
        }
        if (flows) {
            x.body.stop();
            List.copyOf(x.attempts).forEach(UpstreamCall::cancel);
        }
    }

    private void overdue(Exchange x) {
        if (!x.state.isOver()) {
            overdue++;
            RequestLog.state(x.request.id(), "overdue");
            fail(x, "overdue");
            expired(x);
        }
    }

    private void expired(Exchange x) {
        decisions.call(m -> m.onExpired(clock.nowUs(), x.request.id()), () -> {});
    }

    /** After a call that broke off: what the module held may be forgotten, so it is answered now. */
    void failHeld() {
        for (Exchange x : List.copyOf(open.values())) {
            if (x.noneOut()) {
                overdue(x);
            }
        }
    }

    void send(String id, String upstream, long untilUs) {
        Exchange x = open.get(id);
        if (x == null) {
            return;
        }
        int number = x.attempts.size();
        long now = clock.nowUs();
        long until =
                !x.body.complete() ? now + UPLOAD_US : untilUs <= 0 ? x.deadlineUs : Math.min(untilUs, x.deadlineUs);
        String moot = whyMoot(x, number, until <= now);
        UpstreamCall call =
                new UpstreamCall(upstream, until, false, left -> message(x, number), x.body, new CallResult() {
                    @Override
                    public void ended(UpstreamCall c, Outcome outcome, LoadReport report, ByteBuf body) {
                        Requests.this.ended(x, number, c, outcome, report, body);
                    }

                    @Override
                    public boolean begins(UpstreamCall c, long length, Runnable resume) {
                        return Requests.this.begins(x, number, c, length, resume);
                    }

                    @Override
                    public boolean piece(ByteBuf piece) {
                        return x.answer.piece(piece);
                    }

                    @Override
                    public boolean mayBegin(UpstreamCall c) {
                        return Requests.this.mayBegin(x, number, c);
                    }

                    @Override
                    public void sent(UpstreamCall c) {
                        if (x.request.partial()) {
                            decisions.call(m -> m.onSent(clock.nowUs(), x.request.id(), number), () -> {});
                        }
                    }
                });
        upstreams.sentNow(call);
        x.attempts.add(call);
        x.times.attempted(now);
        if (moot != null) {
            RequestLog.notAttempted(id, number, upstream, moot);
            call.end(Outcome.NOT_SENT, null, null);
        } else {
            RequestLog.attempt(id, number, upstream, until - now);
            begin(call);
        }
    }

    /** Asked just before the first byte, on every way to it: the module, then the guard. */
    private boolean mayBegin(Exchange x, int number, UpstreamCall call) {
        String why = decisions.ask(m -> m.mayBegin(clock.nowUs(), x.request.id(), number))
                ? guard.whyNotSend(x, call)
                : "the module says no";
        if (why != null) {
            RequestLog.notAttempted(x.request.id(), number, call.upstream, why);
            return false;
        }
        return guard.become(x, RequestState.ATTEMPTING);
    }

    /** The last byte of an answer that was passed on has come, or none comes any more. */
    private void endPassing(Exchange x, boolean whole) {
        if (x.state == RequestState.LEFT) {
            return;
        }
        if (!whole) {
            broken++;
        }
        if (guard.become(x, whole ? RequestState.ANSWERED : RequestState.BROKEN_OFF)) {
            if (whole) {
                x.answer.ends();
            } else {
                x.answer.breaks();
            }
        }
    }

    /** Why an attempt that the module asks for must not begin; null where it may. */
    private String whyMoot(Exchange x, int number, boolean late) {
        if (x.state.isOver()) {
            return "the request is over";
        }
        if (number >= maxAttempts) {
            return "too many attempts";
        }
        if (late) {
            return "no time left";
        }
        // Of a body that has begun to flow the beginning is gone.
        if (!x.body.whole()) {
            return "the body has flowed";
        }
        return x.unwatched ? "the client can't be watched" : null;
    }

    /** What lies in the sockets goes first: it may say that this must not be sent any more. */
    private void begin(UpstreamCall call) {
        SocketPolling.runAfterNextPoll(loop, () -> {
            if (!call.ended()) {
                upstreams.start(call);
            }
        });
    }

    /** Whether its client is still there can't be known: no attempt begins any more. Without one it is over now. */
    void unwatched(Exchange x) {
        x.unwatched = true;
        List.copyOf(x.attempts).forEach(UpstreamCall::withdraw);
        if (x.state.isOver() || !x.noneOut()) {
            return;
        }
        if (x.attempts.stream().allMatch(UpstreamCall::neverRan)) {
            refuse(x.request.id(), 0);
        } else {
            fail(x);
        }
        expired(x);
    }

    private HttpRequest message(Exchange x, int number) {
        HttpRequest message = new DefaultHttpRequest(HttpVersion.HTTP_1_1, x.method, x.uri);
        // Where the request still comes its client's time has not begun.
        long left = x.body.complete() ? guard.tellUs(x, x.attempts.get(number).untilUs()) : x.request.remainingUs();
        message.headers().set(Headers.TXN, x.request.id()).set(Headers.REMAINING, Math.max(1, left / 1000));
        if (x.idempotencyKey != null) {
            message.headers().set(Headers.IDEMPOTENCY_KEY, x.idempotencyKey);
        }
        return message;
    }

    /** An answer too long to be kept, or of which nobody knows how long it is, has begun to come. */
    private boolean begins(Exchange x, int number, UpstreamCall call, long length, Runnable resume) {
        if (x.state.isOver() || !finish(x, RequestState.PASSING_ON)) {
            return false;
        }
        served++;
        RequestLog.state(x.request.id(), "passing its answer on");
        x.passing = call;
        upstreams.endBy(call, endUs);
        x.answer.begins(length, resume);
        long now = clock.nowUs();
        decisions.call(
                m -> m.onStreamStart(now, x.request.id(), number, call.upstream, upstreams.tookUs(call)), () -> {});
        return true;
    }

    private void ended(Exchange x, int number, UpstreamCall call, Outcome outcome, LoadReport report, ByteBuf body) {
        outcomes.merge(outcome, 1, Integer::sum);
        long tookUs = upstreams.tookUs(call);
        RequestLog.outcome(x.request.id(), number, call.upstream, outcome, tookUs);
        if (x.passing == call) {
            endPassing(x, outcome == Outcome.OK);
        } else if (outcome == Outcome.OK && !x.state.isOver() && finish(x, RequestState.ANSWERED)) {
            served++;
            x.answer.served(body.retain());
        }
        forgetIfSettled(x);
        long now = clock.nowUs();
        watch.ended(call.upstream, x.request.requestClass(), outcome, tookUs);
        decisions.call(
                m -> m.onOutcome(now, x.request.id(), number, call.upstream, outcome, tookUs, x.state.isOver(), report),
                () -> failUnlessOut(x));
    }

    private void failUnlessOut(Exchange x) {
        if (x.noneOut()) {
            fail(x);
        }
    }

    void refuse(String id, long retryAfterUs) {
        Exchange x = open.get(id);
        if (x == null || x.state.isOver()) {
            return;
        }
        if (!guard.mayRefuse(x)) {
            fail(x);
        } else if (finish(x, RequestState.ANSWERED)) {
            refused++;
            unserved.add(x, "refused", clock.nowUs());
            RequestLog.state(x.request.id(), "refused");
            x.answer.refused(retryAfterUs);
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
        if (!x.state.isOver() && finish(x, RequestState.ANSWERED)) {
            failed++;
            unserved.add(x, reason, clock.nowUs());
            RequestLog.state(x.request.id(), "failed");
            x.answer.failed();
        }
    }

    /** Hears of each attempt's end. */
    interface Watch {
        void ended(String upstream, String requestClass, Outcome outcome, long tookUs);
    }

    void watch(Watch now) {
        watch = now;
    }

    /** Hears what became of requests and attempts, in words and as fields. */
    interface Tally {
        void of(String words, Object... fields);
    }

    /** Of the time since the last call; nothing is told where there was nothing. */
    void tally(Tally to) {
        if (taken == 0 && outcomes.isEmpty()) {
            return;
        }
        String words = taken + " requests: " + served + " served (" + broken + " broken off), " + refused + " refused, "
                + failed + " failed (" + overdue + " overdue), " + left + " left by their client; " + open.size()
                + " held; attempts " + outcomes;
        Map<String, Integer> reasons = unserved.sinceLast();
        words += reasons.isEmpty() ? "" : "; not served " + reasons;
        to.of(
                words,
                "taken",
                taken,
                "served",
                served,
                "broken_off",
                broken,
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
        taken = served = refused = failed = overdue = left = broken = 0;
        outcomes.clear();
    }

    void cancel(String id, int attempt) {
        Exchange x = open.get(id);
        // What the client is getting is no longer the module's to call off.
        if (x != null && attempt >= 0 && attempt < x.attempts.size() && x.attempts.get(attempt) != x.passing) {
            x.attempts.get(attempt).cancel();
        }
    }

    /** From now on nothing more is decided about it. False, and nothing is changed, where it can't become that any more. */
    private boolean finish(Exchange x, RequestState state) {
        if (!guard.become(x, state)) {
            return false;
        }
        if (x.overdue != null) {
            x.overdue.cancel(false);
        }
        // A connection may still be coming up for one: whoever has gone, or has been answered, is sent nothing more
        // for.
        List.copyOf(x.attempts).forEach(UpstreamCall::withdraw);
        forgetIfSettled(x);
        return true;
    }

    private void forgetIfSettled(Exchange x) {
        if (x.settled()) {
            open.remove(x.request.id());
        }
    }
}

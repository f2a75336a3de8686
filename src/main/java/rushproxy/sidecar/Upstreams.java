package rushproxy.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;

/** Connections to the upstreams, and the calls on them: attempts and probes. */
final class Upstreams {
    /** Idle connections are dropped this much before an upstream may drop them: a request then can't cross it. */
    private static final long IDLE_MARGIN_US = 2_000_000;
    /**
     * A second answer may come some milliseconds after the first. To whatever call is out by then it would
     * be the answer; on a connection that rests it is one that
     * nobody asked for, and ends it.
     */
    static final long REST_US = 6_000;

    private static final long SWEEP_MS = 1_000;
    /** A connection that this machine fails to open is tried so often, a few milliseconds apart. */
    private static final int MOST_DIALS = 12;
    /** A first byte that can't be written for so long is not written any more: its message tells a time that runs on. */
    private static final long MOST_FIRST_BYTE_US = 50_000;
    /** A connection that had less time to come up, since its call's was over, says nothing of its upstream. */
    private static final long LEAST_DIAL_US = 20_000;

    /** What a call brings. */
    interface Result {
        /** Once; {@code body} is set with {@code OK} alone, and empty where the answer came in pieces. */
        void ended(Call call, Outcome outcome, LoadReport report, ByteBuf body);

        /**
         * The answer is going to come in pieces; {@code length} is -1 where it is not known, {@code resume} asks for
         * more after a piece that was one too many. False: nobody wants it.
         */
        default boolean begins(Call call, long length, Runnable resume) {
            return false;
        }

        /** False when no more is wanted for now. */
        default boolean piece(ByteBuf piece) {
            return true;
        }

        /** Whether it is still to be sent, now that it could be. */
        default boolean mayBegin(Call call) {
            return true;
        }

        /** The last byte of the message has been written. */
        default void sent(Call call) {}
    }

    /** One message to an upstream, until its outcome. */
    static final class Call {
        final String upstream;
        private long untilUs;
        /** When the process may be killed; an answer that has stopped by then is broken off. */
        private long endUs = Long.MAX_VALUE;
        /** Makes the message's head, told how long an answer is waited for. */
        private final LongFunction<HttpRequest> message;
        /** Null where there is none. */
        private final Body body;

        private final Result result;
        private final boolean reportInBody;
        private RunningTime.Mark sent;
        /** When its upstream was given something to act on: a connection to accept, or a message on an old one; null before. */
        private RunningTime.Mark offered;

        private Target target;
        private Channel channel;
        private Future<?> timeout;
        /** Connections that this machine has failed to open for it. */
        private int dials;
        /** It waits for its connection's rest to be over: its upstream has no part in that. */
        private boolean awaitsRest;
        /** Its first byte has been handed to a connection. */
        private boolean started;

        private long startedUs;
        private boolean written;
        private boolean ended;
        private boolean mayHaveRun;
        private Outcome outcome;
        /** Its body goes on coming while it is sent. */
        private boolean flowing;
        /** Its answer is being passed on. */
        private boolean begun;

        Call(
                String upstream,
                long untilUs,
                boolean reportInBody,
                LongFunction<HttpRequest> message,
                Body body,
                Result result) {
            this.upstream = upstream;
            this.untilUs = untilUs;
            this.message = message;
            this.body = body;
            this.reportInBody = reportInBody;
            this.result = result;
        }

        /** True for a probe, whose answer's body is the load report. */
        boolean reportInBody() {
            return reportInBody;
        }

        boolean ended() {
            return ended;
        }

        /** Null while it is out. */
        Outcome outcome() {
            return outcome;
        }

        long untilUs() {
            return untilUs;
        }

        long sentUs() {
            return sent.atUs();
        }

        void sentAt(RunningTime.Mark mark) {
            sent = mark;
        }

        boolean written() {
            return written;
        }

        /** Its first byte is handed to its connection. */
        void startsNow() {
            started = true;
        }

        /** Whether a byte of it has left: the write of the first one may be failing for a moment. */
        private boolean hasLeft() {
            return started && !((TcpConnection) channel).waitsToBegin();
        }

        /** Whether its upstream may work on it, or has. */
        boolean mayRun() {
            return started && !neverRan();
        }

        /** The upstream as the list had it when the call was begun; null before. */
        Upstream target() {
            return target == null ? null : target.upstream;
        }

        /** Whether it has ended in a way that proves that its upstream did nothing for it. */
        boolean neverRan() {
            return ended && !mayHaveRun;
        }

        long endUs() {
            return endUs;
        }

        /** From now on its connection watches the deadline: the client has the answer as it comes. */
        boolean begins(long length, Runnable resume) {
            if (ended || !result.begins(this, length, resume)) {
                return false;
            }
            if (timeout != null) {
                timeout.cancel(false);
            }
            begun = true;
            return true;
        }

        boolean piece(ByteBuf piece) {
            return ended || result.piece(piece);
        }

        /** The connection takes more, or takes no more for now. */
        void writable() {
            if (flowing && !ended) {
                body.look();
            }
        }

        void end(Outcome outcome, LoadReport report, ByteBuf body) {
            if (ended) {
                return;
            }
            ended = true;
            this.outcome = outcome;
            mayHaveRun = outcome.mayHaveRun;
            if (flowing) {
                this.body.stop();
            }
            if (timeout != null) {
                timeout.cancel(false);
            }
            result.ended(this, outcome, report, body);
        }

        /** Ends a call that gets no answer any more: a late one must find nobody, so its connection goes. */
        private void abandon(Outcome outcome) {
            if (!ended) {
                if (channel != null) {
                    Upstreams.close(channel, CloseReason.CALL_ABANDONED);
                }
                end(outcome, null, null);
            }
        }

        void cancel() {
            abandon(Outcome.CANCELLED);
        }

        /** Nobody wants its answer any more: what has not begun to be sent is not sent. */
        void withdraw() {
            if (!ended && !hasLeft()) {
                // Told first: the end of a connection that is still coming up would be told as the upstream's failure.
                end(Outcome.NOT_SENT, null, null);
                if (channel != null) {
                    Upstreams.close(channel, CloseReason.CALL_ABANDONED);
                }
            }
        }

        /** The hinge of all outcomes: without its last byte written a request has never run. */
        void broke() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null, null);
        }

        /** Its time is over, and its upstream had too little of it to be judged by. */
        private void endUnjudged() {
            end(written ? Outcome.CANCELLED : Outcome.NOT_SENT, null, null);
            if (channel != null) {
                Upstreams.close(channel, CloseReason.CALL_ABANDONED);
            }
        }
    }

    /** An upstream as the list has it now; another address or start makes it another one. */
    private static final class Target {
        final InetSocketAddress address;
        final long startedUs;
        Upstream upstream;
        UpstreamState state;
        final ArrayDeque<Channel> idle = new ArrayDeque<>();

        Target(UpstreamList.Entry entry) {
            address = entry.address();
            startedUs = entry.upstream().startedUs();
            upstream = entry.upstream();
        }

        boolean is(UpstreamList.Entry entry) {
            return address.equals(entry.address())
                    && startedUs == entry.upstream().startedUs();
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final RunningTime time;
    private final TimeOuts timeOuts;
    private final long idleUs;
    private final long restUs;
    private final long dialTimeoutUs;
    private final IntSupplier maxConnections;
    private final Bootstrap bootstrap;
    private final Map<String, Target> targets = new HashMap<>();
    /** Left out by the operators, whatever the list says. */
    private final Set<String> cordoned = new HashSet<>();

    private final Future<?> sweep;
    private int connections;

    /** {@code restUs}: connections are used again no earlier than this after an answer. */
    Upstreams(
            EventLoop loop,
            RunningTime time,
            long connIdleUs,
            long restUs,
            long dialTimeoutUs,
            IntSupplier maxConnections,
            Budget budget) {
        this.loop = loop;
        this.time = time;
        timeOuts = new TimeOuts(loop, time);
        this.clock = time.clock();
        this.restUs = restUs;
        this.dialTimeoutUs = dialTimeoutUs;
        this.maxConnections = maxConnections;
        idleUs = Math.max(connIdleUs / 2, connIdleUs - IDLE_MARGIN_US);
        bootstrap = Dialling.http(loop, () -> new UpstreamConnection(budget, clock));
        sweep = Recurring.every(loop, SWEEP_MS, this::dropIdle);
    }

    /** Connections to what drained, went or is now another process are of no more use. */
    void update(UpstreamList list) {
        Set<String> named = new HashSet<>();
        for (UpstreamList.Entry e : list.entries()) {
            String id = e.upstream().id();
            named.add(id);
            Target t = targets.get(id);
            if (t == null || !t.is(e)) {
                forget(t);
                t = new Target(e);
                targets.put(id, t);
            }
            t.state = e.upstream().state();
            t.upstream = e.upstream();
            if (t.state != UpstreamState.READY) {
                close(t);
            }
        }
        if (list.whole()) {
            targets.entrySet().removeIf(e -> {
                if (named.contains(e.getKey())) {
                    return false;
                }
                forget(e.getValue());
                return true;
            });
        }
    }

    /** No call is to be started any more. */
    void end() {
        sweep.cancel(false);
        targets.values().forEach(this::forget);
    }

    int open() {
        return connections;
    }

    boolean anyReady() {
        return targets.entrySet().stream()
                .anyMatch(e -> e.getValue().state == UpstreamState.READY && !cordoned.contains(e.getKey()));
    }

    /** Those listed as ready that the operators don't leave out. */
    List<Upstream> ready() {
        return targets.entrySet().stream()
                .filter(e -> e.getValue().state == UpstreamState.READY && !cordoned.contains(e.getKey()))
                .map(e -> e.getValue().upstream)
                .toList();
    }

    /** Whether the list names it, or has named it since the whole list came. */
    boolean knows(String id) {
        return targets.containsKey(id);
    }

    /** What runs there ends by itself; nothing new begins, and what has been idle would meet another process. */
    void cordon(String id, boolean out) {
        if (out) {
            cordoned.add(id);
        } else {
            cordoned.remove(id);
        }
        close(id);
    }

    private boolean mayBegin(Call call) {
        return call.target.state == UpstreamState.READY && !cordoned.contains(call.upstream);
    }

    private void forget(Target t) {
        if (t != null) {
            t.state = UpstreamState.GONE;
            close(t);
        }
    }

    private static void close(Channel channel, CloseReason reason) {
        RequestLog.closes(channel, reason);
        channel.close();
    }

    private void close(Target t) {
        for (Channel c; (c = t.idle.poll()) != null; ) {
            close(c, CloseReason.UPSTREAM_LEAVES);
        }
    }

    void close(String upstream) {
        Target t = targets.get(upstream);
        if (t != null) {
            close(t);
        }
    }

    void start(Call call) {
        long now = clock.now();
        sentNow(call);
        call.target = targets.get(call.upstream);
        if (call.target == null || !mayBegin(call)) {
            call.end(Outcome.NOT_SENT, null, null);
            return;
        }
        due(call, call.untilUs);
        Channel channel = takeIdle(call.target, now);
        if (channel == null) {
            connect(call);
            return;
        }
        call.channel = channel;
        long restsUs = connection(channel).idleSinceUs + restUs - now;
        if (restsUs <= 0) {
            write(call);
        } else {
            call.awaitsRest = true;
            loop.schedule(() -> rested(call), restsUs, TimeUnit.MICROSECONDS);
        }
    }

    /** The rest of its connection is over, or what came meanwhile has ended it. */
    private void rested(Call call) {
        call.awaitsRest = false;
        if (call.ended) {
            close(call.channel, CloseReason.CALL_ENDED_BEFORE);
        } else if (call.channel.isActive()) {
            write(call);
        } else {
            connect(call);
        }
    }

    /** The process may be killed after this: nothing that stands still then is waited for. */
    void endBy(Call call, long endUs) {
        call.endUs = endUs;
    }

    /** An answer is waited for until then; one that is being passed on may go on, but not stop. */
    void due(Call call, long untilUs) {
        if (call.ended) {
            return;
        }
        call.untilUs = untilUs;
        if (call.begun) {
            return;
        }
        if (call.timeout != null) {
            call.timeout.cancel(false);
        }
        call.timeout = timeOuts.at(untilUs, () -> timedOut(call));
    }

    private void timedOut(Call call) {
        if (call.ended || call.begun || clock.now() < call.untilUs) {
            return;
        }
        if (call.awaitsRest) {
            call.withdraw();
        } else if (mayBeJudged(call)) {
            call.abandon(call.written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        } else {
            call.endUnjudged();
        }
    }

    /** Whether most of the time that has passed since the call was sent was its upstream's, and none of this process's hold-ups. */
    private boolean mayBeJudged(Call call) {
        boolean upAndUnused = !call.started && call.channel != null && call.channel.isActive();
        if (call.offered == null || upAndUnused) {
            return false;
        }
        long offeredUs = time.runningUs(call.offered);
        return 2 * offeredUs >= time.passedUs(call.sent) && (call.written || offeredUs >= LEAST_DIAL_US);
    }

    /** The call counts as sent from now on. */
    void sentNow(Call call) {
        call.sentAt(time.mark());
    }

    /** For how long the call has been out, without this process's own hold-ups. */
    long tookUs(Call call) {
        return time.runningUs(call.sent);
    }

    /**
     * The most recently used of those that have rested, so that the others grow old enough to be dropped; else the one whose
     * rest ends first, which is sooner there than a new one.
     */
    private Channel takeIdle(Target t, long now) {
        Channel rests = null;
        for (Iterator<Channel> i = t.idle.iterator(); i.hasNext(); ) {
            Channel c = i.next();
            if (!usable(c, now)) {
                i.remove();
                close(c, CloseReason.IDLE_TOO_LONG);
            } else if (now - connection(c).idleSinceUs >= restUs) {
                i.remove();
                return c;
            } else {
                rests = c;
            }
        }
        t.idle.remove(rests);
        return rests;
    }

    private boolean usable(Channel c, long now) {
        return c.isActive() && now - connection(c).idleSinceUs < idleUs;
    }

    private static UpstreamConnection connection(Channel c) {
        return c.pipeline().get(UpstreamConnection.class);
    }

    private void connect(Call call) {
        if (connections >= maxConnections.getAsInt() && !dropOldestIdle()) {
            call.end(Outcome.NOT_SENT, null, null);
            return;
        }
        connections++;
        call.offered = time.mark();
        call.channel = Dialling.connect(
                bootstrap, loop, call.target.address, dialTimeoutUs, failure -> dialled(call, failure));
    }

    /** {@code failure} is null where the connection is up; it then counts until it is closed. */
    private void dialled(Call call, Throwable failure) {
        if (failure == null) {
            call.channel.closeFuture().addListener(closed -> connections--);
        } else {
            connections--;
        }
        if (call.ended && call.channel != null) {
            close(call.channel, CloseReason.CALL_ENDED_BEFORE);
        } else if (!call.ended && failure != null) {
            notConnected(call, failure);
        } else if (!call.ended) {
            // What came while the connection did is looked at first: the client's end, or news of the list.
            SocketLook.before(loop, () -> connected(call));
        }
    }

    /** What this machine fails, as for want of descriptors or ports, is tried again; it is no fault of the upstream's. */
    private void notConnected(Call call, Throwable failure) {
        if (failure instanceof ConnectTimeoutException && time.mostlyHeldUp(call.offered)) {
            call.end(Outcome.NOT_SENT, null, null);
        } else if (SocketErrors.isOfPeer(failure)) {
            call.broke();
        } else if (++call.dials < MOST_DIALS) {
            loop.schedule(() -> connectAgain(call), FailureSpell.AGAIN_MS, TimeUnit.MILLISECONDS);
        } else {
            call.end(Outcome.NOT_SENT, null, null);
        }
    }

    private void connectAgain(Call call) {
        if (!call.ended) {
            connect(call);
        }
    }

    private void connected(Call call) {
        if (call.ended) {
            close(call.channel, CloseReason.CALL_ENDED_BEFORE);
        } else if (!call.channel.isActive()) {
            // Closed as soon as it was up.
            call.broke();
        } else if (clock.now() >= call.untilUs) {
            // It is up: what took too long was not its upstream.
            call.endUnjudged();
        } else {
            write(call);
        }
    }

    private boolean dropOldestIdle() {
        Target oldest = null;
        for (Target t : targets.values()) {
            if (!t.idle.isEmpty()
                    && (oldest == null
                            || connection(t.idle.peekLast()).idleSinceUs
                                    < connection(oldest.idle.peekLast()).idleSinceUs)) {
                oldest = t;
            }
        }
        if (oldest != null) {
            close(oldest.idle.pollLast(), CloseReason.ROOM_NEEDED);
        }
        return oldest != null;
    }

    /** The one place at which a first byte is sent: the list, a window or the client may have changed on the way here. */
    private void write(Call call) {
        if (!mayBegin(call) || !call.result.mayBegin(call)) {
            call.withdraw();
            return;
        }
        call.startsNow();
        call.startedUs = clock.now();
        if (call.offered == null) {
            call.offered = time.mark();
        }
        ((TcpConnection) call.channel).beginsIf(() -> stillBegins(call));
        HttpRequest head = call.message.apply(call.untilUs - clock.now());
        head.headers().set(HttpHeaderNames.HOST, "api.internal");
        connection(call.channel).begin(call, this::release);
        if (call.body != null && !call.body.complete()) {
            if (call.body.length >= 0) {
                head.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.length);
            } else {
                HttpUtil.setTransferEncodingChunked(head, true);
            }
            call.flowing = true;
            call.channel.write(head).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            call.body.flow(call.channel, () -> {
                call.written = true;
                sentNow(call);
                call.offered = call.sent;
                call.result.sent(call);
            });
            return;
        }
        ByteBuf body = call.body == null ? Unpooled.EMPTY_BUFFER : call.body.copy();
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        call.channel
                .writeAndFlush(new DefaultFullHttpRequest(
                        head.protocolVersion(),
                        head.method(),
                        head.uri(),
                        body,
                        head.headers(),
                        EmptyHttpHeaders.INSTANCE))
                .addListener(f -> {
                    if (f.isSuccess()) {
                        call.written = true;
                        call.result.sent(call);
                    } else {
                        close(call.channel, CloseReason.WRITE_FAILED);
                        call.broke();
                    }
                });
    }

    /** Its first byte could not be written for a moment: what was asked before it is asked again, and the time that it tells is old. */
    private boolean stillBegins(Call call) {
        if (call.ended) {
            return false;
        }
        if (clock.now() - call.startedUs < MOST_FIRST_BYTE_US && mayBegin(call) && call.result.mayBegin(call)) {
            return true;
        }
        call.withdraw();
        return false;
    }

    private void release(Call call, Channel channel) {
        if (mayBegin(call) && call.written) {
            connection(channel).idleSinceUs = clock.now();
            call.target.idle.addFirst(channel);
        } else {
            close(channel, CloseReason.UPSTREAM_LEAVES);
        }
    }

    private void dropIdle() {
        long now = clock.now();
        for (Target t : targets.values()) {
            t.idle.removeIf(c -> {
                boolean drop = !usable(c, now);
                if (drop) {
                    close(c, CloseReason.IDLE_TOO_LONG);
                }
                return drop;
            });
        }
    }
}

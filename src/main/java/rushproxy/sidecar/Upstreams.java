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
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
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
    /** What allowed a first byte so short a time ago need not be asked again. */
    private static final long BEGINS_AT_ONCE_US = 1_000;
    /** A connection that had less time to come up, since its call's was over, says nothing of its upstream. */
    private static final long LEAST_DIAL_US = 20_000;

    private final EventLoop loop;
    private final Clock clock;
    private final StallAwareClock time;
    private final TimeOuts timeOuts;
    private final long idleUs;
    private final long restUs;
    private final long dialTimeoutUs;
    private final IntSupplier maxConnections;
    private final Bootstrap bootstrap;
    private final Map<String, UpstreamTarget> targets = new HashMap<>();
    /** Left out by the operators, whatever the list says. */
    private final Set<String> cordoned = new HashSet<>();

    private final Future<?> sweep;
    private int connections;

    /** {@code restUs}: connections are used again no earlier than this after an answer. */
    Upstreams(
            EventLoop loop,
            StallAwareClock time,
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
        sweep = PeriodicTask.scheduleEvery(loop, SWEEP_MS, this::dropIdle);
    }

    /** Connections to what drained, went or is now another process are of no more use. */
    void update(UpstreamList list) {
        Set<String> named = new HashSet<>();
        for (UpstreamList.Entry e : list.entries()) {
            String id = e.upstream().id();
            named.add(id);
            UpstreamTarget t = targets.get(id);
            if (t == null || !t.is(e)) {
                forget(t);
                t = new UpstreamTarget(e, new IdleConnections(idleUs, restUs));
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

    private boolean mayBegin(UpstreamCall call) {
        return call.target.state == UpstreamState.READY && !cordoned.contains(call.upstream);
    }

    private void forget(UpstreamTarget t) {
        if (t != null) {
            t.state = UpstreamState.GONE;
            close(t);
        }
    }

    static void close(Channel channel, CloseReason reason) {
        RequestLog.closes(channel, reason);
        channel.close();
    }

    private void close(UpstreamTarget t) {
        t.idle.closeAll(CloseReason.UPSTREAM_LEAVES);
    }

    void close(String upstream) {
        UpstreamTarget t = targets.get(upstream);
        if (t != null) {
            close(t);
        }
    }

    void start(UpstreamCall call) {
        long now = clock.nowUs();
        sentNow(call);
        call.target = targets.get(call.upstream);
        if (call.target == null || !mayBegin(call)) {
            call.end(Outcome.NOT_SENT, null, null);
            return;
        }
        due(call, call.untilUs);
        Channel channel = call.target.idle.take(now);
        if (channel == null) {
            connect(call);
            return;
        }
        call.channel = channel;
        long restsUs = call.target.idle.restLeftUs(channel, now);
        if (restsUs <= 0) {
            write(call);
        } else {
            call.awaitsRest = true;
            loop.schedule(() -> rested(call), restsUs, TimeUnit.MICROSECONDS);
        }
    }

    /** The rest of its connection is over, or what came meanwhile has ended it. */
    private void rested(UpstreamCall call) {
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
    void endBy(UpstreamCall call, long endUs) {
        call.endUs = endUs;
    }

    /** An answer is waited for until then; one that is being passed on may go on, but not stop. */
    void due(UpstreamCall call, long untilUs) {
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
        call.timeout = timeOuts.at(untilUs, () -> readNow(call), () -> timedOut(call));
    }

    /** Reads what lies in the call's socket; false where it is not up, or can't be read now. */
    boolean readNow(UpstreamCall call) {
        if (call.ended) {
            return true;
        }
        if (!call.started || !((TcpConnection) call.channel).isReading()) {
            return false;
        }
        ((TcpConnection) call.channel).readNow();
        return true;
    }

    private void timedOut(UpstreamCall call) {
        if (call.ended || call.begun || clock.nowUs() < call.untilUs) {
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
    private boolean mayBeJudged(UpstreamCall call) {
        boolean upAndUnused = !call.started && call.channel != null && call.channel.isActive();
        if (call.offered == null || upAndUnused) {
            return false;
        }
        long offeredUs = time.elapsedUnstalledUs(call.offered);
        return 2 * offeredUs >= time.elapsedUs(call.sent) && (call.written || offeredUs >= LEAST_DIAL_US);
    }

    /** The call counts as sent from now on. */
    void sentNow(UpstreamCall call) {
        call.sentAt(time.timestamp());
    }

    /** For how long the call has been out, without this process's own hold-ups. */
    long tookUs(UpstreamCall call) {
        return time.elapsedUnstalledUs(call.sent);
    }

    private static UpstreamConnection connection(Channel c) {
        return c.pipeline().get(UpstreamConnection.class);
    }

    private void connect(UpstreamCall call) {
        if (connections >= maxConnections.getAsInt() && !closeOldestIdle()) {
            call.end(Outcome.NOT_SENT, null, null);
            return;
        }
        connections++;
        call.offered = time.timestamp();
        call.channel = Dialling.connect(
                bootstrap, loop, call.target.address, dialTimeoutUs, failure -> dialled(call, failure));
    }

    /** {@code failure} is null where the connection is up; it then counts until it is closed. */
    private void dialled(UpstreamCall call, Throwable failure) {
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
            SocketPolling.runAfterNextPoll(loop, () -> connected(call));
        }
    }

    /** What this machine fails, as for want of descriptors or ports, is tried again; it is no fault of the upstream's. */
    private void notConnected(UpstreamCall call, Throwable failure) {
        if (failure instanceof ConnectTimeoutException && time.wasMostlyStalled(call.offered)) {
            call.end(Outcome.NOT_SENT, null, null);
        } else if (SocketErrors.isRemoteConnectFailure(failure)) {
            call.broke();
        } else if (++call.dials < MOST_DIALS) {
            loop.schedule(() -> connectAgain(call), FailureSpell.AGAIN_MS, TimeUnit.MILLISECONDS);
        } else {
            call.end(Outcome.NOT_SENT, null, null);
        }
    }

    private void connectAgain(UpstreamCall call) {
        if (!call.ended) {
            connect(call);
        }
    }

    private void connected(UpstreamCall call) {
        if (call.ended) {
            close(call.channel, CloseReason.CALL_ENDED_BEFORE);
        } else if (!call.channel.isActive()) {
            // Closed as soon as it was up.
            call.broke();
        } else if (clock.nowUs() >= call.untilUs) {
            // It is up: what took too long was not its upstream.
            call.endUnjudged();
        } else {
            write(call);
        }
    }

    /** False where no connection is idle. */
    boolean closeOldestIdle() {
        UpstreamTarget oldest = null;
        for (UpstreamTarget t : targets.values()) {
            if (!t.idle.isEmpty() && (oldest == null || t.idle.oldestSinceUs() < oldest.idle.oldestSinceUs())) {
                oldest = t;
            }
        }
        if (oldest != null) {
            oldest.idle.closeOldest(CloseReason.ROOM_NEEDED);
        }
        return oldest != null;
    }

    /** The one place at which a first byte is sent: the list, a window or the client may have changed on the way here. */
    private void write(UpstreamCall call) {
        if (!mayBegin(call) || !call.result.mayBegin(call)) {
            call.withdraw();
            return;
        }
        call.startsNow();
        call.startedUs = clock.nowUs();
        if (call.offered == null) {
            call.offered = time.timestamp();
        }
        ((TcpConnection) call.channel).startWriteIf(() -> stillBegins(call));
        HttpRequest head = call.message.apply(call.untilUs - clock.nowUs());
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

    /**
     * Its first byte could not be written for a moment, or the process was held up on the way to it: what was asked before it is asked
     * again. While writes fail the time that it tells grows old.
     */
    private boolean stillBegins(UpstreamCall call) {
        if (call.ended) {
            return false;
        }
        long waitedUs = clock.nowUs() - call.startedUs;
        if (waitedUs < BEGINS_AT_ONCE_US) {
            return true;
        }
        boolean tooOld = waitedUs >= MOST_FIRST_BYTE_US && ((TcpConnection) call.channel).isWriteFailing();
        if (!tooOld && mayBegin(call) && call.result.mayBegin(call)) {
            return true;
        }
        call.withdraw();
        return false;
    }

    private void release(UpstreamCall call, Channel channel) {
        if (mayBegin(call) && call.written) {
            call.target.idle.add(channel, clock.nowUs());
        } else {
            close(channel, CloseReason.UPSTREAM_LEAVES);
        }
    }

    private void dropIdle() {
        long now = clock.nowUs();
        targets.values().forEach(t -> t.idle.closeUnusable(now));
    }
}

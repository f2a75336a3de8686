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
final class UpstreamPool {
    /** Idle connections are dropped this much before an upstream may drop them: a request then can't cross it. */
    private static final long IDLE_MARGIN_US = 2_000_000;
    /**
     * A second answer may come some milliseconds after the first. To whatever call is out by then it would
     * be the answer; on a connection that rests it is one that
     * nobody asked for, and ends it.
     */
    static final long REUSE_DELAY_US = 6_000;

    private static final long IDLE_SWEEP_MS = 1_000;
    /** A connection that this machine fails to open is tried so often, a few milliseconds apart. */
    private static final int MAX_CONNECT_TRIES = 12;
    /** A first byte that can't be written for so long is not written any more: its message tells a time that runs on. */
    private static final long MAX_FIRST_BYTE_DELAY_US = 50_000;
    /** What allowed a first byte so short a time ago need not be asked again. */
    private static final long SEND_CHECK_VALID_US = 1_000;
    /** A connection that had less time to come up, since its call's was over, says nothing of its upstream. */
    private static final long MIN_CONCLUSIVE_CONNECT_US = 20_000;

    private final EventLoop loop;
    private final Clock clock;
    private final RunningTime time;
    private final TimeOuts timeouts;
    private final long idleTimeoutUs;
    private final long reuseDelayUs;
    private final long connectTimeoutUs;
    private final IntSupplier maxConnections;
    private final Bootstrap bootstrap;
    private final Map<String, UpstreamTarget> targets = new HashMap<>();
    /** Left out by the operators, whatever the list says. */
    private final Set<String> cordoned = new HashSet<>();

    private final Future<?> sweep;
    private int openConnections;

    /** {@code reuseDelayUs}: connections are used again no earlier than this after an answer. */
    UpstreamPool(
            EventLoop loop,
            RunningTime time,
            long connIdleUs,
            long restUs,
            long dialTimeoutUs,
            IntSupplier maxConnections,
            Budget budget) {
        this.loop = loop;
        this.time = time;
        timeouts = new TimeOuts(loop, time);
        this.clock = time.clock();
        this.reuseDelayUs = restUs;
        this.connectTimeoutUs = dialTimeoutUs;
        this.maxConnections = maxConnections;
        idleTimeoutUs = Math.max(connIdleUs / 2, connIdleUs - IDLE_MARGIN_US);
        bootstrap = OutboundConnector.streamingBootstrap(loop, () -> new UpstreamConnection(budget, clock));
        sweep = Recurring.every(loop, IDLE_SWEEP_MS, this::closeExpiredIdle);
    }

    /** Connections to what drained, went or is now another process are of no more use. */
    void update(UpstreamList list) {
        Set<String> named = new HashSet<>();
        for (UpstreamList.Entry e : list.entries()) {
            String id = e.upstream().id();
            named.add(id);
            UpstreamTarget t = targets.get(id);
            if (t == null || !t.matches(e)) {
                retire(t);
                t = new UpstreamTarget(e, new IdleConnectionPool(idleTimeoutUs, reuseDelayUs));
                targets.put(id, t);
            }
            t.state = e.upstream().state();
            t.upstream = e.upstream();
            if (t.state != UpstreamState.READY) {
                closeIdle(t);
            }
        }
        if (list.isFull()) {
            targets.entrySet().removeIf(e -> {
                if (named.contains(e.getKey())) {
                    return false;
                }
                retire(e.getValue());
                return true;
            });
        }
    }

    /** No call is to be started any more. */
    void shutDown() {
        sweep.cancel(false);
        targets.values().forEach(this::retire);
    }

    int openConnections() {
        return openConnections;
    }

    boolean hasAvailable() {
        return targets.entrySet().stream()
                .anyMatch(e -> e.getValue().state == UpstreamState.READY && !cordoned.contains(e.getKey()));
    }

    /** Those listed as ready that the operators don't leave out. */
    List<Upstream> available() {
        return targets.entrySet().stream()
                .filter(e -> e.getValue().state == UpstreamState.READY && !cordoned.contains(e.getKey()))
                .map(e -> e.getValue().upstream)
                .toList();
    }

    /** Whether the list names it, or has named it since the whole list came. */
    boolean isListed(String id) {
        return targets.containsKey(id);
    }

    /** What runs there ends by itself; nothing new begins, and what has been idle would meet another process. */
    void setCordoned(String id, boolean out) {
        if (out) {
            cordoned.add(id);
        } else {
            cordoned.remove(id);
        }
        closeIdle(id);
    }

    private boolean acceptsCall(UpstreamCall call) {
        return call.target.state == UpstreamState.READY && !cordoned.contains(call.upstreamId);
    }

    private void retire(UpstreamTarget t) {
        if (t != null) {
            t.state = UpstreamState.GONE;
            closeIdle(t);
        }
    }

    static void close(Channel channel, CloseReason reason) {
        RequestLog.closes(channel, reason);
        channel.close();
    }

    private void closeIdle(UpstreamTarget t) {
        t.idleConnections.closeAll(CloseReason.UPSTREAM_LEAVES);
    }

    void closeIdle(String upstream) {
        UpstreamTarget t = targets.get(upstream);
        if (t != null) {
            closeIdle(t);
        }
    }

    void start(UpstreamCall call) {
        long now = clock.now();
        markSent(call);
        call.target = targets.get(call.upstreamId);
        if (call.target == null || !acceptsCall(call)) {
            call.end(Outcome.NOT_SENT, null, null);
            return;
        }
        setDeadline(call, call.deadlineUs);
        Channel channel = call.target.idleConnections.take(now);
        if (channel == null) {
            connect(call);
            return;
        }
        call.channel = channel;
        long restsUs = call.target.idleConnections.reuseDelayLeftUs(channel, now);
        if (restsUs <= 0) {
            write(call);
        } else {
            call.awaitsReuseDelay = true;
            loop.schedule(() -> reuseDelayOver(call), restsUs, TimeUnit.MICROSECONDS);
        }
    }

    /** The rest of its connection is over, or what came meanwhile has ended it. */
    private void reuseDelayOver(UpstreamCall call) {
        call.awaitsReuseDelay = false;
        if (call.isEnded) {
            close(call.channel, CloseReason.CALL_ENDED_BEFORE);
        } else if (call.channel.isActive()) {
            write(call);
        } else {
            connect(call);
        }
    }

    /** The process may be killed after this: nothing that stands still then is waited for. */
    void setProcessEnd(UpstreamCall call, long endUs) {
        call.processEndUs = endUs;
    }

    /** An answer is waited for until then; one that is being passed on may go on, but not stop. */
    void setDeadline(UpstreamCall call, long untilUs) {
        if (call.isEnded) {
            return;
        }
        call.deadlineUs = untilUs;
        if (call.isResponseStreaming) {
            return;
        }
        if (call.timeout != null) {
            call.timeout.cancel(false);
        }
        call.timeout = timeouts.at(untilUs, () -> readNow(call), () -> timedOut(call));
    }

    /** Reads what lies in the call's socket; false where it is not up, or can't be read now. */
    boolean readNow(UpstreamCall call) {
        if (call.isEnded) {
            return true;
        }
        if (!call.isWriteStarted || !((TcpConnection) call.channel).reads()) {
            return false;
        }
        ((TcpConnection) call.channel).readNow();
        return true;
    }

    private void timedOut(UpstreamCall call) {
        if (call.isEnded || call.isResponseStreaming || clock.now() < call.deadlineUs) {
            return;
        }
        if (call.awaitsReuseDelay) {
            call.cancelIfUnsent();
        } else if (isTimeoutConclusive(call)) {
            call.abandon(call.isWritten ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        } else {
            call.endInconclusively();
        }
    }

    /** Whether most of the time that has passed since the call was sent was its upstream's, and none of this process's hold-ups. */
    private boolean isTimeoutConclusive(UpstreamCall call) {
        boolean upAndUnused = !call.isWriteStarted && call.channel != null && call.channel.isActive();
        if (call.dispatched == null || upAndUnused) {
            return false;
        }
        long offeredUs = time.runningUs(call.dispatched);
        return 2 * offeredUs >= time.passedUs(call.sent) && (call.isWritten || offeredUs >= MIN_CONCLUSIVE_CONNECT_US);
    }

    /** The call counts as sent from now on. */
    void markSent(UpstreamCall call) {
        call.setSent(time.mark());
    }

    /** For how long the call has been out, without this process's own hold-ups. */
    long latencyUs(UpstreamCall call) {
        return time.runningUs(call.sent);
    }

    private static UpstreamConnection connection(Channel c) {
        return c.pipeline().get(UpstreamConnection.class);
    }

    private void connect(UpstreamCall call) {
        if (openConnections >= maxConnections.getAsInt() && !closeOldestIdle()) {
            call.end(Outcome.NOT_SENT, null, null);
            return;
        }
        openConnections++;
        call.dispatched = time.mark();
        call.channel = OutboundConnector.connect(
                bootstrap, loop, call.target.address, connectTimeoutUs, failure -> connectCompleted(call, failure));
    }

    /** {@code failure} is null where the connection is up; it then counts until it is closed. */
    private void connectCompleted(UpstreamCall call, Throwable failure) {
        if (failure == null) {
            call.channel.closeFuture().addListener(closed -> openConnections--);
        } else {
            openConnections--;
        }
        if (call.isEnded && call.channel != null) {
            close(call.channel, CloseReason.CALL_ENDED_BEFORE);
        } else if (!call.isEnded && failure != null) {
            connectFailed(call, failure);
        } else if (!call.isEnded) {
            // What came while the connection did is looked at first: the client's end, or news of the list.
            SocketLook.before(loop, () -> connected(call));
        }
    }

    /** What this machine fails, as for want of descriptors or ports, is tried again; it is no fault of the upstream's. */
    private void connectFailed(UpstreamCall call, Throwable failure) {
        if (failure instanceof ConnectTimeoutException && time.mostlyHeldUp(call.dispatched)) {
            call.end(Outcome.NOT_SENT, null, null);
        } else if (SocketErrors.isOfPeer(failure)) {
            call.connectionFailed();
        } else if (++call.failedConnects < MAX_CONNECT_TRIES) {
            loop.schedule(() -> retryConnect(call), TransientFailureTracker.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        } else {
            call.end(Outcome.NOT_SENT, null, null);
        }
    }

    private void retryConnect(UpstreamCall call) {
        if (!call.isEnded) {
            connect(call);
        }
    }

    private void connected(UpstreamCall call) {
        if (call.isEnded) {
            close(call.channel, CloseReason.CALL_ENDED_BEFORE);
        } else if (!call.channel.isActive()) {
            // Closed as soon as it was up.
            call.connectionFailed();
        } else if (clock.now() >= call.deadlineUs) {
            // It is up: what took too long was not its upstream.
            call.endInconclusively();
        } else {
            write(call);
        }
    }

    /** False where no connection is idle. */
    boolean closeOldestIdle() {
        UpstreamTarget oldest = null;
        for (UpstreamTarget t : targets.values()) {
            if (!t.idleConnections.isEmpty()
                    && (oldest == null
                            || t.idleConnections.oldestIdleSinceUs() < oldest.idleConnections.oldestIdleSinceUs())) {
                oldest = t;
            }
        }
        if (oldest != null) {
            oldest.idleConnections.closeOldest(CloseReason.ROOM_NEEDED);
        }
        return oldest != null;
    }

    /** The one place at which a first byte is sent: the list, a window or the client may have changed on the way here. */
    private void write(UpstreamCall call) {
        if (!acceptsCall(call) || !call.listener.mayBegin(call)) {
            call.cancelIfUnsent();
            return;
        }
        call.markWriteStarted();
        call.writeStartedUs = clock.now();
        if (call.dispatched == null) {
            call.dispatched = time.mark();
        }
        ((TcpConnection) call.channel).beginsIf(() -> maySendFirstByte(call));
        HttpRequest head = call.headFactory.apply(call.deadlineUs - clock.now());
        head.headers().set(HttpHeaderNames.HOST, "api.internal");
        connection(call.channel).startCall(call, this::release);
        if (call.body != null && !call.body.complete()) {
            if (call.body.length >= 0) {
                head.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.length);
            } else {
                HttpUtil.setTransferEncodingChunked(head, true);
            }
            call.isBodyStreaming = true;
            call.channel.write(head).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            call.body.flow(call.channel, () -> {
                call.isWritten = true;
                markSent(call);
                call.dispatched = call.sent;
                call.listener.onSent(call);
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
                        call.isWritten = true;
                        call.listener.onSent(call);
                    } else {
                        close(call.channel, CloseReason.WRITE_FAILED);
                        call.connectionFailed();
                    }
                });
    }

    /**
     * Its first byte could not be written for a moment, or the process was held up on the way to it: what was asked before it is asked
     * again. While writes fail the time that it tells grows old.
     */
    private boolean maySendFirstByte(UpstreamCall call) {
        if (call.isEnded) {
            return false;
        }
        long waitedUs = clock.now() - call.writeStartedUs;
        if (waitedUs < SEND_CHECK_VALID_US) {
            return true;
        }
        boolean tooOld = waitedUs >= MAX_FIRST_BYTE_DELAY_US && ((TcpConnection) call.channel).writesFail();
        if (!tooOld && acceptsCall(call) && call.listener.mayBegin(call)) {
            return true;
        }
        call.cancelIfUnsent();
        return false;
    }

    private void release(UpstreamCall call, Channel channel) {
        if (acceptsCall(call) && call.isWritten) {
            call.target.idleConnections.add(channel, clock.now());
        } else {
            close(channel, CloseReason.UPSTREAM_LEAVES);
        }
    }

    private void closeExpiredIdle() {
        long now = clock.now();
        targets.values().forEach(t -> t.idleConnections.closeExpired(now));
    }
}

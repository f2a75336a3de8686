package rushproxy.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
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

/**
 * Connection pool for all upstreams. Runs calls (attempts of requests, and probes) on idle or new connections. Confined to the event
 * loop.
 */
final class UpstreamPool {
    /** Idle connections are closed this long before the upstream may close them, so that no request crosses its FIN. */
    private static final long IDLE_MARGIN_US = 2_000_000;
    /**
     * Delay before a connection is reused after a response. A faulty upstream may send a duplicate response a few milliseconds
     * later: during the delay it is recognized as unsolicited and the connection is closed; afterwards it would be taken for the
     * response to the next call.
     */
    static final long REUSE_DELAY_US = 6_000;

    private static final long IDLE_SWEEP_MS = 1_000;
    /** Connect attempts that fail locally (no descriptors or ports) before the call ends; they are a few milliseconds apart. */
    private static final int MAX_CONNECT_TRIES = 12;
    /** A request whose first byte can't be written for this long is dropped: the remaining time in its head is out of date. */
    private static final long MAX_FIRST_BYTE_DELAY_US = 50_000;
    /** Permission to send is not checked again within this time. */
    private static final long SEND_CHECK_VALID_US = 1_000;
    /** A connect that was cut off by its call's deadline earlier than this is no evidence against the upstream. */
    private static final long MIN_CONCLUSIVE_CONNECT_US = 20_000;

    private final EventLoop loop;
    private final Clock clock;
    private final StallAwareClock time;
    private final StreamBuffers streams;
    private final SocketTimeouts timeouts;
    private final long idleTimeoutUs;
    private final long reuseDelayUs;
    private final long connectTimeoutUs;
    private final IntSupplier maxConnections;
    private final Bootstrap bootstrap;
    private final Map<String, UpstreamTarget> targets = new HashMap<>();
    /** Ids of upstreams that operators have cordoned; overrides the discovery list. */
    private final Set<String> cordoned = new HashSet<>();

    private final TaskGuard tasks;
    private final Future<?> sweep;
    private int openConnections;

    /**
     * @param connIdleUs idle timeout of the upstreams
     * @param reuseDelayUs minimum time between a response and the next call on its connection
     * @param maxConnections current limit on open connections
     */
    UpstreamPool(
            EventLoop loop,
            StallAwareClock time,
            long connIdleUs,
            long reuseDelayUs,
            long connectTimeoutUs,
            IntSupplier maxConnections,
            ConnectionMemory memory,
            TaskGuard tasks) {
        this.loop = loop;
        this.tasks = tasks;
        this.time = time;
        timeouts = new SocketTimeouts(loop, time);
        this.clock = time.clock();
        this.reuseDelayUs = reuseDelayUs;
        this.connectTimeoutUs = connectTimeoutUs;
        this.maxConnections = maxConnections;
        idleTimeoutUs = Math.max(connIdleUs / 2, connIdleUs - IDLE_MARGIN_US);
        bootstrap = OutboundConnector.streamingBootstrap(
                loop, memory.streams(), () -> new UpstreamConnection(memory, clock, tasks));
        streams = memory.streams();
        sweep = PeriodicTask.scheduleEvery(loop, IDLE_SWEEP_MS, this::closeExpiredIdle);
    }

    /** Applies a discovery list; closes idle connections to upstreams that drain, are gone or have been replaced by another process. */
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

    /** Closes all idle connections; no call can be started afterwards. */
    void shutDown() {
        sweep.cancel(false);
        targets.values().forEach(this::retire);
    }

    int openConnections() {
        return openConnections;
    }

    /** Whether any upstream is listed as ready and not cordoned. */
    boolean hasAvailable() {
        return targets.entrySet().stream()
                .anyMatch(e -> e.getValue().state == UpstreamState.READY && !cordoned.contains(e.getKey()));
    }

    /** Upstreams that are listed as ready and not cordoned. */
    List<Upstream> available() {
        return targets.entrySet().stream()
                .filter(e -> e.getValue().state == UpstreamState.READY && !cordoned.contains(e.getKey()))
                .map(e -> e.getValue().upstream)
                .toList();
    }

    /** Whether the upstream is in the current list, also as draining or gone. */
    boolean isListed(String id) {
        return targets.containsKey(id);
    }

    /** Calls in progress finish; no new ones start. Idle connections are closed, as the process behind them may be replaced. */
    void setCordoned(String id, boolean isCordoned) {
        if (isCordoned) {
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
        RequestLog.recordClose(channel, reason);
        channel.close();
    }

    private void closeIdle(UpstreamTarget t) {
        t.idleConnections.closeAll(CloseReason.UPSTREAM_LEAVES);
    }

    void closeIdle(String upstreamId) {
        UpstreamTarget t = targets.get(upstreamId);
        if (t != null) {
            closeIdle(t);
        }
    }

    /** Sends the call on an idle connection or opens one; the call ends as {@code NOT_SENT} where neither is possible. */
    void start(UpstreamCall call) {
        long now = clock.nowUs();
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
        long delayUs = call.target.idleConnections.reuseDelayLeftUs(channel, now);
        if (delayUs <= 0) {
            write(call);
        } else {
            call.awaitsReuseDelay = true;
            loop.schedule(tasks.ofCall(call, () -> reuseDelayOver(call)), delayUs, TimeUnit.MICROSECONDS);
        }
    }

    /** Sends the call, on a new connection if its own was closed during the reuse delay. */
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

    /** Sets the time by which the response must start. A response that is being streamed may take longer, but must not stall. */
    void setDeadline(UpstreamCall call, long deadlineUs) {
        if (call.isEnded) {
            return;
        }
        call.deadlineUs = deadlineUs;
        if (call.isResponseStreaming) {
            return;
        }
        if (call.timeout != null) {
            call.timeout.cancel(false);
        }
        call.timeout = timeouts.schedule(deadlineUs, () -> readNow(call), tasks.ofCall(call, () -> timedOut(call)));
    }

    /** Reads the data available on the call's socket; false if it is not connected or can't be read now. */
    boolean readNow(UpstreamCall call) {
        if (call.isEnded) {
            return true;
        }
        if (!call.isWriteStarted || !((TcpConnection) call.channel).isReading()) {
            return false;
        }
        ((TcpConnection) call.channel).readNow();
        return true;
    }

    private void timedOut(UpstreamCall call) {
        if (call.isEnded || call.isResponseStreaming || clock.nowUs() < call.deadlineUs) {
            return;
        }
        if (call.awaitsReuseDelay) {
            call.cancelIfUnsent();
        } else if (call.isWritten && streamAtDeadline(call.channel)) {
            return;
        } else if (isTimeoutConclusive(call)) {
            call.abandon(call.isWritten ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        } else {
            call.endInconclusively();
        }
    }

    private static boolean streamAtDeadline(Channel channel) {
        ChannelHandlerContext context = channel.pipeline().context(UpstreamConnection.class);
        return context != null && ((UpstreamConnection) context.handler()).streamAtDeadline(context);
    }

    /** Whether the upstream had most of the call's time, not counting delays of this process's event loop. */
    private boolean isTimeoutConclusive(UpstreamCall call) {
        boolean isConnectedUnused = !call.isWriteStarted && call.channel != null && call.channel.isActive();
        if (call.dispatched == null || isConnectedUnused) {
            return false;
        }
        long dispatchedUs = time.elapsedUnstalledUs(call.dispatched);
        return 2 * dispatchedUs >= time.elapsedUs(call.sent)
                && (call.isWritten || dispatchedUs >= MIN_CONCLUSIVE_CONNECT_US);
    }

    /** Starts the call's latency measurement. */
    void markSent(UpstreamCall call) {
        call.setSent(time.timestamp());
    }

    /** Time since the call was sent, less the delays of this process's event loop. */
    long latencyUs(UpstreamCall call) {
        return time.elapsedUnstalledUs(call.sent);
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
        call.dispatched = time.timestamp();
        call.channel = OutboundConnector.connect(
                bootstrap, loop, call.target.address, connectTimeoutUs, failure -> connectCompleted(call, failure));
    }

    /** {@code failure} is null if the connection is established; it then counts as open until it is closed. */
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
            // First process input that arrived meanwhile, such as the client's disconnect or a list update.
            SocketPolling.runAfterNextPoll(loop, tasks.ofCall(call, () -> connected(call)));
        }
    }

    /** Retries local failures, such as a lack of descriptors or ports; they are not attributed to the upstream. */
    private void connectFailed(UpstreamCall call, Throwable failure) {
        if (failure instanceof ConnectTimeoutException && time.wasMostlyStalled(call.dispatched)) {
            call.end(Outcome.NOT_SENT, null, null);
        } else if (SocketErrors.isRemoteConnectFailure(failure)) {
            call.connectionFailed();
        } else if (++call.failedConnects < MAX_CONNECT_TRIES) {
            loop.schedule(
                    tasks.ofCall(call, () -> retryConnect(call)),
                    TransientFailureTracker.RETRY_DELAY_MS,
                    TimeUnit.MILLISECONDS);
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
            // The upstream closed it right after accepting.
            call.connectionFailed();
        } else if (clock.nowUs() >= call.deadlineUs) {
            // The upstream accepted, so the delay can't be attributed to it.
            call.endInconclusively();
        } else {
            write(call);
        }
    }

    /** Closes the connection that has been idle longest; false if none is idle. */
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

    /**
     * Writes the request. Every call passes here, so this is where the list, the retry window and the client's presence are checked
     * once more.
     */
    private void write(UpstreamCall call) {
        if (!acceptsCall(call) || !call.listener.maySend(call)) {
            call.cancelIfUnsent();
            return;
        }
        call.markWriteStarted();
        call.writeStartedUs = clock.nowUs();
        if (call.dispatched == null) {
            call.dispatched = time.timestamp();
        }
        ((TcpConnection) call.channel).startWriteIf(() -> maySendFirstByte(call));
        HttpRequest head = call.headFactory.apply(call.deadlineUs - clock.nowUs());
        head.headers().set(HttpHeaderNames.HOST, "api.internal");
        connection(call.channel).startCall(call, this::release);
        if (call.body != null && call.body.isStreamed()) {
            if (call.body.length >= 0) {
                head.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.length);
            } else {
                HttpUtil.setTransferEncodingChunked(head, true);
            }
            call.isBodyStreaming = true;
            streams.begin(call.channel);
            call.channel.write(head).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            call.body.streamTo(call.channel, () -> {
                call.isWritten = true;
                streams.end(call.channel);
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
     * Checked before each write of the first byte: if writes failed or the event loop was delayed, the conditions of {@link #write} may
     * no longer hold, and the remaining time in the request's head may be out of date.
     */
    private boolean maySendFirstByte(UpstreamCall call) {
        if (call.isEnded) {
            return false;
        }
        long waitedUs = clock.nowUs() - call.writeStartedUs;
        if (waitedUs < SEND_CHECK_VALID_US) {
            return true;
        }
        boolean isOutOfDate = waitedUs >= MAX_FIRST_BYTE_DELAY_US && ((TcpConnection) call.channel).isWriteFailing();
        if (!isOutOfDate && acceptsCall(call) && call.listener.maySend(call)) {
            return true;
        }
        call.cancelIfUnsent();
        return false;
    }

    private void release(UpstreamCall call, Channel channel) {
        if (acceptsCall(call) && call.isWritten) {
            call.target.idleConnections.add(channel, clock.nowUs());
        } else {
            close(channel, CloseReason.UPSTREAM_LEAVES);
        }
    }

    private void closeExpiredIdle() {
        long now = clock.nowUs();
        targets.values().forEach(t -> t.idleConnections.closeExpired(now));
    }
}

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import rushproxy.Balancer.Request;

/** One connection of the application: its requests in turn, each answered once, whole or so that the client can tell. */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientInput.Listener {
    /** Parts of requests sent ahead of their turn before no more is read. */
    private static final int MAX_QUEUED_PARTS = 32;
    /** A body has this long to get going, and then comes at half the pace at least of a client on a poor link. */
    private static final long BODY_START_GRACE_US = 2_200_000;

    private static final long MIN_BODY_BYTES_PER_S = 32_000;
    /** A body that rests for so long while it is waited for does not go on; a request may be written in 2 s. */
    private static final long MAX_BODY_PAUSE_US = 2_200_000;
    /** An upstream that takes nothing of a body for so long does not go on either. */
    private static final long MAX_UPSTREAM_BLOCKED_US = 10_000_000;
    /** Room for a body is waited for so long; a refusal says that nothing was sent. */
    private static final long MAX_MEMORY_WAIT_US = 1_000_000;
    /** A client that takes nothing of its answer for so long is no longer there to read it. */
    private static final long MAX_UNREAD_RESPONSE_US = 20_000_000;
    /** As the socket was: its close waits for nothing, and what is written still leaves. */
    private static final int LINGER_DISABLED = -1;
    /** A client sends its first request as soon as its connection is up. */
    private static final long NEW_CONNECTION_US = 200_000;
    /** What the client has been given of an answer that broke off waits for the client to take it so long. */
    private static final long MAX_ABORT_FLUSH_US = 1_000_000;

    private final TcpConnection channel;
    private final Clock clock;
    /** Those that the request in hand belongs to. */
    private RequestCoordinator coordinator;

    private final Set<String> classes;
    private final ClientServer server;
    private final MemoryBudget memoryBudget;
    private final ResponseDeadlines deadlines;
    private final RequestGuard guard;
    private final ClientInput input;
    private final ArrayDeque<QueuedPart> queued = new ArrayDeque<>();
    /** When the request being read sent its first byte; 0 between requests. */
    private long readStartUs;
    /** When the head that was decoded last sent its first byte. */
    private long headStartUs;

    private long lastActiveUs;
    private final long openedUs;
    /** When its first bytes came by the kernel, where that was before it was accepted; 0 before they are read. */
    private long firstReceivedUs;
    /** Since when what was read last may have lain there. */
    private long sentUs;
    /** Whether a whole request has come: such a client may be quiet for as long as it likes. */
    private boolean hasSentRequest;

    // ---- the request in hand, from its head to the end of its answer
    private boolean busy;
    /** Its end has not come yet. */
    private boolean receiving;

    private boolean responded;
    /** The kernel has the last byte of its answer. */
    private boolean flushed;
    /** No other request follows on this connection. */
    private boolean closeAfterResponse;
    /** The output has ended, and all that still comes is discarded. */
    private boolean lingering;
    /** What comes on this connection is refused, since its client can't be watched any more. */
    private boolean refusing;
    /** An answer may still be on its way to the client. */
    private boolean hasSentResponse;

    private HttpRequest head;
    /** What its head says; that of the request before where it is none of the protocol. */
    private RequestHead requestHead;

    private RequestBody body;
    /** When its first byte was read. */
    private long firstByteUs;

    private long bodyStartUs;
    private long lastPartUs;
    private long bodyBytesSinceStart;
    private long bodyBytes;
    private int reservedBytes;
    /** Takes back a wish for memory that has not been granted; null where none is open. */
    private Runnable cancelReservation;
    /** Since when its body has had to wait for room, unread in the kernel; 0 where it has not. */
    private long unreadSinceUs;

    private Exchange exchange;
    /** Asks for more of an answer that comes in pieces; null where none does. */
    private Runnable resumeUpstream;

    private record QueuedPart(HttpObject part, long sentUs) {}

    ClientConnection(
            TcpConnection channel,
            Clock clock,
            Set<String> classes,
            ClientServer server,
            MemoryBudget budget,
            LoopDelay loopDelay,
            ResponseDeadlines deadlines,
            RequestGuard guard) {
        this.channel = channel;
        this.clock = clock;
        this.classes = classes;
        this.server = server;
        this.memoryBudget = budget;
        this.deadlines = deadlines;
        this.guard = guard;
        input = new ClientInput(clock, loopDelay, budget, this);
        lastActiveUs = openedUs = clock.now();
    }

    TcpConnection channel() {
        return channel;
    }

    /** Stands before the decoder. */
    ClientInput input() {
        return input;
    }

    /** Half a request is no quiet. */
    @Override
    public void onBytes(long sinceUs) {
        lastActiveUs = clock.now();
        sentUs = sinceUs;
        if (firstReceivedUs == 0) {
            long agoUs = channel.lastReceivedAgoUs();
            firstReceivedUs = agoUs == TcpInfo.UNKNOWN ? openedUs : Math.min(openedUs, lastActiveUs - agoUs);
        }
        if (readStartUs == 0) {
            readStartUs = lastActiveUs;
        }
    }

    /** What has been read is answered, without an attempt that could begin after its client's end; then the connection ends. */
    @Override
    public void onDisconnectUndetectable() {
        if (lingering || cancelReservation != null || exchange != null && !exchange.body.isReplayable()) {
            // Nothing begins before there is room; what flows to an upstream has begun, and begins no second time.
            return;
        }
        input.stopReading();
        refusing = true;
        if (exchange != null) {
            coordinator.onDisconnectUndetectable(exchange);
        }
    }

    /** The decoder gets no more than there is room for; the socket is read for as long as it may tell of the client's end. */
    private void updateReading() {
        input.setFlow(
                queued.size() >= MAX_QUEUED_PARTS || body != null && body.isFull(),
                cancelReservation != null || body != null && body.isBlocked());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        HttpObject part = (HttpObject) message;
        if (part instanceof HttpRequest) {
            headStartUs = readStartUs == 0 ? lastActiveUs : readStartUs;
        }
        if (part instanceof LastHttpContent) {
            readStartUs = 0;
            hasSentRequest |= part.decoderResult().isSuccess();
        }
        if (busy && !receiving || !queued.isEmpty()) {
            queued.add(new QueuedPart(part, sentUs));
            if (queued.size() >= MAX_QUEUED_PARTS) {
                updateReading();
            }
        } else {
            handle(part, sentUs);
        }
    }

    /** What came ahead has its turn, up to the end of the next request. */
    private void handleQueued() {
        if (!queued.isEmpty()) {
            while ((!busy || receiving) && !queued.isEmpty() && channel.isActive()) {
                QueuedPart arrival = queued.poll();
                handle(arrival.part, arrival.sentUs);
            }
            updateReading();
        }
    }

    private void handle(HttpObject part, long atUs) {
        try {
            if (part instanceof HttpRequest request) {
                beginRequest(request);
            }
            if (part instanceof HttpContent content) {
                handleContent(content, atUs);
            }
        } catch (RuntimeException e) {
            Log.trouble("a handler failed", e);
            if (busy && !responded && exchange == null) {
                reject(HttpResponseStatus.INTERNAL_SERVER_ERROR);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void beginRequest(HttpRequest m) {
        busy = receiving = true;
        responded = flushed = false;
        head = m;
        body = null;
        bodyStartUs = lastPartUs = clock.now();
        firstByteUs = headStartUs;
        unreadSinceUs = 0;
        bodyBytesSinceStart = bodyBytes = 0;
        closeAfterResponse = !HttpUtil.isKeepAlive(m);
        coordinator = server.coordinatorFor(m);
        if (!m.decoderResult().isSuccess() || !RequestDecoder.hasUnambiguousFraming(m)) {
            closeAfterResponse = true;
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        String path = m.uri().split("\\?", 2)[0];
        if (path.equals("/health/ready") && m.method().equals(HttpMethod.GET)) {
            write(
                    server.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    Unpooled.EMPTY_BUFFER,
                    0);
        } else if (server.isWarmUpAttempt(m)) {
            write(HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER, 0);
        } else if (!path.equals("/api") && !path.startsWith("/api/")) {
            reject(HttpResponseStatus.NOT_FOUND);
        } else if (!parseHead(m)) {
            reject(HttpResponseStatus.BAD_REQUEST);
        } else if (m.headers().contains(HttpHeaderNames.EXPECT) && !HttpUtil.is100ContinueExpected(m)) {
            reject(HttpResponseStatus.EXPECTATION_FAILED);
        } else {
            receiveBody(m);
        }
    }

    /** Whether it is a request of the protocol, of a class that there is, and of an id that is not held already. */
    private boolean parseHead(HttpRequest m) {
        RequestHead parsed = RequestHead.parse(m).orElse(null);
        if (parsed == null || coordinator.isOpen(parsed.id()) || !classes.contains(parsed.requestClass())) {
            return false;
        }
        requestHead = parsed;
        return true;
    }

    private void receiveBody(HttpRequest m) {
        long length = HttpUtil.isTransferEncodingChunked(m) ? -1 : HttpUtil.getContentLength(m, 0L);
        if (length > Headers.MAX_BODY_BYTES) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        body = new RequestBody(this::updateReading, length);
        if (length == 0) {
            return;
        }
        // Until there is room for it no more is read; what the client is asked for it may send.
        cancelReservation = memoryBudget.reserve(body.maxKeptBytes(), () -> {
            cancelReservation = null;
            reservedBytes = body.maxKeptBytes();
            bodyStartUs = lastPartUs = clock.now();
            if (!HttpUtil.is100ContinueExpected(m)) {
                input.setUnreadSince(unreadSinceUs);
            } else {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
            body.updateFlow();
        });
        if (reservedBytes > 0) {
            cancelReservation = null;
        } else {
            scheduleMemoryTimeout();
        }
        updateReading();
    }

    /** Its client may have sent all of it already, and counts from then: what finds no room in time is refused in time. */
    private void scheduleMemoryTimeout() {
        HttpRequest waits = head;
        unreadSinceUs = sentUs;
        long untilUs = Math.min(
                clock.now() + MAX_MEMORY_WAIT_US,
                deadlines.deadlineUs(requestHead.requestClass(), sentUs, requestHead.remainingUs()));
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (cancelReservation != null && head == waits) {
                                reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
                            }
                        },
                        untilUs - clock.now(),
                        TimeUnit.MICROSECONDS);
    }

    private void handleContent(HttpContent content, long atUs) {
        boolean ends = content instanceof LastHttpContent;
        if (!receiving) {
            return;
        }
        receiving = !ends;
        if (content.decoderResult().isFailure()) {
            rejectMalformed();
            return;
        }
        if (!responded && body != null) {
            receivePart(content.content(), ends, atUs);
        }
        if (ends && responded) {
            // What came ahead may be many requests that are answered as fast: not one within the other.
            if (queued.isEmpty()) {
                finishRequest();
            } else {
                channel.eventLoop().execute(this::finishRequest);
            }
        }
    }

    private void receivePart(ByteBuf piece, boolean ends, long atUs) {
        lastPartUs = clock.now();
        bodyBytesSinceStart += piece.readableBytes();
        bodyBytes += piece.readableBytes();
        if (bodyBytes > Headers.MAX_BODY_BYTES) {
            abandonExchange();
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (piece.isReadable()) {
            body.append(piece);
        }
        if (ends) {
            body.finish();
        }
        if (exchange != null) {
            if (ends) {
                coordinator.onBodyComplete(exchange, atUs, deadlineUs(atUs));
            }
        } else if (ends || body.isFull()) {
            accept(atUs);
        }
    }

    private void accept(long atUs) {
        if (refusing) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        long deadline = deadlineUs(atUs);
        Request request = new Request(
                requestHead.id(),
                requestHead.key(),
                requestHead.resent(),
                false,
                requestHead.estimateUs(),
                Math.max(1, deadline - clock.now()),
                requestHead.tenant(),
                requestHead.requestClass(),
                !body.isComplete());
        RequestTimestamps times = new RequestTimestamps(
                openedUs, firstByteUs, body.isComplete() ? clock.now() : 0, atUs, atUs + requestHead.remainingUs());
        exchange = new Exchange(
                request,
                head.method(),
                head.uri(),
                requestHead.idempotencyKey(),
                body,
                atUs,
                requestHead.remainingUs(),
                deadline,
                new ConnectionResponseWriter(),
                times);
        coordinator.accept(exchange);
    }

    /** A request's time runs from its last byte: who writes slowly has no less of it. */
    private long deadlineUs(long sentUs) {
        return Math.min(
                server.latestDeadlineUs(),
                deadlines.deadlineUs(requestHead.requestClass(), sentUs, requestHead.remainingUs()));
    }

    /** The end of the request can't be found: whatever has been made of it is not what the client meant. */
    private void rejectMalformed() {
        closeAfterResponse = true;
        if (!responded) {
            abandonExchange();
            reject(HttpResponseStatus.BAD_REQUEST);
        } else {
            closeGracefully(CloseReason.NO_HTTP);
        }
    }

    /** No attempt goes on for the request in hand, and its answer is not awaited any more. */
    private void abandonExchange() {
        if (exchange != null) {
            Exchange gone = exchange;
            exchange = null;
            log(gone, "given up");
            coordinator.onClientLeft(gone);
        }
    }

    private final class ConnectionResponseWriter implements Exchange.ResponseWriter {
        @Override
        public void succeed(ByteBuf content) {
            write(HttpResponseStatus.OK, content, 0);
        }

        @Override
        public void refuse(long retryAfterUs) {
            write(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, retryAfterUs);
        }

        @Override
        public void fail() {
            write(HttpResponseStatus.BAD_GATEWAY, Unpooled.EMPTY_BUFFER, 0);
        }

        @Override
        public void beginStream(long length, Runnable more) {
            releaseMemory();
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (length >= 0) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            } else if (head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
                HttpUtil.setTransferEncodingChunked(response, true);
            } else {
                // The end of the connection is the end of the answer: that of a broken one is a reset, whatever ends
                // the process.
                closeAfterResponse = true;
                channel.options().set(StandardSocketOptions.SO_LINGER, 0);
            }
            setConnectionHeader(response);
            resumeUpstream = more;
            channel.writeAndFlush(response);
        }

        @Override
        public boolean writePart(ByteBuf piece) {
            channel.writeAndFlush(new DefaultHttpContent(piece.retainedSlice()));
            return channel.isWritable();
        }

        @Override
        public void endStream() {
            resumeUpstream = null;
            if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
                channel.options().set(StandardSocketOptions.SO_LINGER, LINGER_DISABLED);
            }
            awaitFlush(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), "streamed");
        }

        @Override
        public boolean isClientConnected() {
            return channel.isActive() && !lingering;
        }

        @Override
        public void abortStream() {
            resumeUpstream = null;
            if (exchange == null) {
                // The client has gone, and what flowed to it was called off.
                return;
            }
            log(exchange, "broken off");
            exchange = null;
            if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
                // The end of the connection would be the end of the answer.
                channel.options().set(StandardSocketOptions.SO_LINGER, 0);
                channel.options().whenSet(() -> close(CloseReason.ANSWER_BROKEN));
                return;
            }
            var stuck = channel.eventLoop()
                    .schedule(() -> close(CloseReason.ANSWER_BROKEN), MAX_ABORT_FLUSH_US, TimeUnit.MICROSECONDS);
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> {
                stuck.cancel(false);
                closeGracefully(CloseReason.ANSWER_BROKEN);
            });
        }
    }

    private void reject(HttpResponseStatus status) {
        RequestLog.logRejected(channel, status.code());
        write(status, Unpooled.EMPTY_BUFFER, 0);
    }

    private void write(HttpResponseStatus status, ByteBuf content, long retryAfterUs) {
        releaseMemory();
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        setConnectionHeader(response);
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6));
        }
        awaitFlush(channel.writeAndFlush(response), "answered " + status.code());
    }

    /** What the client still sends of a request that has been answered may be long: nothing follows on it. */
    private void setConnectionHeader(HttpResponse response) {
        hasSentResponse = true;
        channel.history().answered();
        closeAfterResponse |= !server.keepsConnectionsOpen() || receiving && expectsBody();
        if (closeAfterResponse) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }

    private boolean expectsBody() {
        return !head.decoderResult().isSuccess()
                || HttpUtil.isTransferEncodingChunked(head)
                || HttpUtil.getContentLength(head, 0L) > 0;
    }

    private void log(Exchange x, String end) {
        x.timestamps.log(x.request.id(), end, x.attempts.size(), clock.now());
    }

    private void awaitFlush(ChannelFuture written, String end) {
        if (exchange != null) {
            Exchange x = exchange;
            x.timestamps.recordResponse(clock.now());
            written.addListener(f -> log(x, f.isSuccess() ? end : "not written"));
        }
        exchange = null;
        responded = true;
        lastActiveUs = clock.now();
        written.addListener(f -> {
            this.flushed = true;
            if (closeAfterResponse) {
                closeGracefully(CloseReason.LAST_ANSWER);
            } else if (!receiving) {
                // Not from within: an answer may come while the one before is still being handled.
                channel.eventLoop().execute(this::finishRequest);
            }
        });
    }

    /** The request in hand is over, both ways. */
    private void finishRequest() {
        if (!busy || receiving || !responded || !flushed || closeAfterResponse) {
            return;
        }
        busy = false;
        body = null;
        handleQueued();
        if (refusing && !busy && queued.isEmpty() && input.isEmpty()) {
            closeGracefully(CloseReason.UNWATCHED);
        }
    }

    private void releaseMemory() {
        if (cancelReservation != null) {
            cancelReservation.run();
            cancelReservation = null;
        }
        int back = reservedBytes;
        reservedBytes = 0;
        if (back > 0) {
            memoryBudget.release(back);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (resumeUpstream != null && channel.isWritable()) {
            resumeUpstream.run();
        }
    }

    /** The head of a request has come, and its answer is not over. */
    boolean isBusy() {
        return busy;
    }

    /** Between requests: nothing is held, and no part of the next one has come. */
    boolean isIdle() {
        return !busy && queued.isEmpty() && readStartUs == 0 && !lingering;
    }

    /** It has brought no request yet, and is so new that its first one may be on its way. */
    boolean isNew() {
        return !hasSentRequest && clock.now() - openedUs < NEW_CONNECTION_US;
    }

    /** A whole request has come, and its answer is not wholly with the kernel yet. */
    boolean owesResponse() {
        return busy && !receiving && !lingering;
    }

    long lastActiveUs() {
        return lastActiveUs;
    }

    /**
     * Half a request is waited for as long as its client may still wait for the answer, not for ever. {@code sparesYoung}: not one that has
     * just come. True where it closes.
     */
    boolean closeIfIdle(long sinceUs, long halfSinceUs, boolean sparesYoung, CloseReason reason) {
        if (!isIdleSince(sinceUs, halfSinceUs) || sparesYoung && isNew()) {
            return false;
        }
        channel.readNow();
        boolean closes = isIdleSince(sinceUs, halfSinceUs) && channel.isActive();
        if (closes) {
            closeGracefully(reason);
        }
        return closes;
    }

    private boolean isIdleSince(long sinceUs, long halfSinceUs) {
        boolean untaken = !busy || receiving && exchange == null && !responded;
        return lastActiveUs < (isIdle() ? sinceUs : halfSinceUs) && untaken && queued.isEmpty() && !lingering;
    }

    /** Gives its descriptor back at once, unless a request lies in its socket. True where it is closed by now. */
    boolean closeUnlessRequestArrived(CloseReason reason) {
        channel.readNow();
        if (channel.isActive() && isIdle()) {
            close(reason);
        }
        return !channel.isOpen();
    }

    /** Ends it, unless a request lies in its socket or is owed its answer. */
    void closeGracefullyUnlessRequestArrived(CloseReason reason) {
        channel.readNow();
        if (!owesResponse()) {
            closeGracefully(reason);
        }
    }

    /**
     * A head is waited for from its first byte, not the last: a peer that sends byte by byte is no better than a silent
     * one. A new peer's wait begins with its connection, or with its first bytes where they waited in the kernel's queue.
     */
    void closeIfTimedOut(long now, long patienceUs, long firstPatienceUs) {
        if (lingering) {
            return;
        }
        if (busy) {
            if (responded && !flushed && now - lastActiveUs >= MAX_UNREAD_RESPONSE_US) {
                close(CloseReason.ANSWER_UNREAD);
            } else if (receiving && !responded && body != null) {
                checkBodyProgress(now);
            }
        } else if (queued.isEmpty()) {
            boolean late = !hasSentRequest
                    ? now - requestWaitStartUs() >= firstPatienceUs && !isNew()
                    : readStartUs != 0 && now - readStartUs >= patienceUs;
            if (late) {
                closeGracefully(CloseReason.REQUEST_UNFINISHED);
            }
        }
    }

    /** Since when its peer, which has sent no whole request yet, is known to be there. */
    private long requestWaitStartUs() {
        return firstReceivedUs == 0 ? openedUs : firstReceivedUs;
    }

    private void checkBodyProgress(long now) {
        if (cancelReservation != null) {
            return;
        }
        long stuckUs = body.blockedSinceUs(now);
        if (body.isFull() || stuckUs > 0) {
            // It is not read: this time is not the client's.
            bodyStartUs = lastPartUs = now;
            bodyBytesSinceStart = 0;
            if (stuckUs > 0 && now - stuckUs >= MAX_UPSTREAM_BLOCKED_US) {
                abandonExchange();
                reject(HttpResponseStatus.BAD_GATEWAY);
            }
            return;
        }
        long sinceUs = now - bodyStartUs;
        boolean slow = sinceUs >= BODY_START_GRACE_US
                && bodyBytesSinceStart < MIN_BODY_BYTES_PER_S * (sinceUs - BODY_START_GRACE_US) / 1_000_000 + 1;
        if (slow || now - lastPartUs >= MAX_BODY_PAUSE_US) {
            abandonExchange();
            closeGracefully(CloseReason.BODY_TOO_SLOW);
        }
    }

    /** Ends the connection so that its client still gets what it has been answered; nothing may be waiting to be written. */
    void closeGracefully(CloseReason reason) {
        if (lingering || answerBeforeClose(reason)) {
            return;
        }
        if (!hasSentResponse) {
            close(reason);
            return;
        }
        RequestLog.recordClose(channel, reason);
        lingering = true;
        input.discard();
        releaseMemory();
        server.addLingering(this);
        LingeringClose.start(channel, Math.min(LingeringClose.MAX_LINGER_US, server.closeDeadlineUs() - clock.now()));
    }

    /** A whole request that has no part of an answer yet gets one before its connection ends, which then follows on it. */
    private boolean answerBeforeClose(CloseReason reason) {
        boolean owed = busy
                && !receiving
                && !responded
                && exchange != null
                && !exchange.state.isDecided()
                && channel.isActive();
        if (owed) {
            guard.recordCloseWithRequest(exchange.request.id(), reason);
            closeAfterResponse = true;
            abandonExchange();
            reject(HttpResponseStatus.BAD_GATEWAY);
        }
        return owed;
    }

    /** Whether the output has ended, and only the client's end is waited for. */
    boolean isLingering() {
        return lingering;
    }

    /** Gives its descriptor back at once. */
    void close(CloseReason reason) {
        if (answerBeforeClose(reason) || !guard.canClose(isNew() && !lingering, reason)) {
            return;
        }
        RequestLog.recordClose(channel, reason);
        channel.close();
    }

    /** While reads fail the client's end can't be seen: no attempt begins any more for what has been read whole. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == TcpConnection.ReadsFail.FOR_LONG && exchange != null && exchange.body.isReplayable()) {
            coordinator.onDisconnectUndetectable(exchange);
        }
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        for (QueuedPart a; (a = queued.poll()) != null; ) {
            ReferenceCountUtil.release(a.part);
        }
        resumeUpstream = null;
        releaseMemory();
        abandonExchange();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            // A client that leaves, also within a request, is no fault.
            RequestLog.recordClose(channel, CloseReason.PEER_ENDED);
            ctx.close();
            return;
        }
        channel.history().failed(ConnectionHistory.Call.HANDLER, cause);
        Log.trouble("a client's connection failed", cause);
        if (busy && !responded && exchange == null) {
            closeAfterResponse = true;
            reject(HttpResponseStatus.INTERNAL_SERVER_ERROR);
        } else if (busy && responded && !flushed) {
            // Its answer is on its way, and the connection ends behind it.
            closeAfterResponse = true;
        } else {
            close(CloseReason.FAILED);
        }
    }
}

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
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import rushproxy.Balancer.Request;

/**
 * A connection from a client. Handles its requests one after the other and gives each exactly one response, which is
 * either complete or recognisably incomplete.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter
        implements ClientInput.Listener, RequestDecoder.Listener {
    /** After this time without accepting any of a body an upstream counts as stalled. */
    private static final long MAX_UPSTREAM_BLOCKED_US = 10_000_000;
    /** Bodies up to this size do not wait for memory behind larger ones. */
    private static final int SMALL_BODY_BYTES = 4 * 1024;
    /** Longest wait for body memory. The refusal that follows tells the client that nothing was sent upstream. */
    private static final long MAX_MEMORY_WAIT_US = 1_000_000;
    /** After this time without reading any of its response a client counts as gone. */
    private static final long MAX_UNREAD_RESPONSE_US = 20_000_000;
    /** The default of SO_LINGER: close returns at once, and the kernel still sends what was written. */
    private static final int LINGER_DISABLED = -1;
    /** A client that has sent nothing, or not completed its request, for this long may give way to one that waits for its accept. */
    private static final long KEEPS_SLOT_US = 200_000;

    /** Longest wait for the client to read what was written of a response that has broken off. */
    private static final long MAX_ABORT_FLUSH_US = 1_000_000;

    /** A client that stops within its first body is closed within 3 s of connecting; the check is late by up to 0.1 s. */
    private static final long FIRST_BODY_TIMEOUT_US = 2_700_000;
    /** Pause after which a client that is due to be closed counts as stopped; it may take up to 2 s to write a request. */
    private static final long FIRST_BODY_PAUSE_US = 2_000_000;
    /** The same while others wait for memory, when bodies are read late. */
    private static final long CROWDED_BODY_PAUSE_US = 400_000;

    private final TcpConnection channel;
    private final Clock clock;
    /** Coordinates the current request. */
    private RequestCoordinator coordinator;
    /** Whether the warm-up has sent a request on this connection. */
    private boolean servesWarmUp;

    private final Set<String> classes;
    private final ClientServer server;
    private final ConnectionMemory memory;
    private final MemoryBudget memoryBudget;
    private final ResponseDeadlines deadlines;
    private final RequestGuard guard;
    private final TaskGuard tasks;
    private final ClientInput input;
    private final RequestDecoder decoder = new RequestDecoder(this);
    private final HeadMemory headMemory;
    private final StreamBuffers streams;
    /** When the first byte of the most recently decoded head arrived. */
    private long headStartUs;

    private final ReadWorkLimiter readWork;
    private final ClientActivity activity;
    /** Earliest time at which the client may have sent the bytes read last. */
    private long sentUs;

    // ---- the current request, from its head to the end of its response
    private boolean busy;
    /** Whether the end of the request is still to come. */
    private boolean receiving;

    private boolean responded;
    /** Whether the current request has a body. */
    private boolean expectsBody;
    /** Whether the last byte of the response was handed to the kernel. */
    private boolean flushed;
    /** Whether the connection closes after the current response. */
    private boolean closeAfterResponse;
    /** Whether the output is shut down and all further input is discarded. */
    private boolean lingering;
    /** Whether new requests are refused because a disconnect of the client can no longer be detected. */
    private boolean refusing;
    /** Whether a response was sent, which may not have reached the client yet. */
    private boolean hasSentResponse;

    private HttpRequest head;
    /** The parsed head; still that of the previous request if the current head is invalid. */
    private RequestHead requestHead;

    private RequestBody body;
    /** Whether the body has an owner here, as no coordinator has taken its request. */
    private boolean ownsBody;
    /** Refuses a request that waits for memory; null if there is none. */
    private Future<?> memoryTimeout;

    /** When the first byte of the current request was read. */
    private long firstByteUs;

    private final BodyProgress bodyProgress = new BodyProgress();
    private final UnreadBodyWatch unreadBodyWatch;
    private long bodyBytes;
    /** Withdraws the wait for memory for an incomplete head; null if there is none. */
    private Runnable cancelHeadWait;
    /** Earliest time at which the client may have sent what is held behind the current request. */
    private long heldSentUs;
    /** Since when the body has waited unread in the kernel for memory; 0 if it has not. */
    private long unreadSinceUs;

    private Exchange exchange;
    /** Resumes reading a streamed response from its upstream; null if none is streamed. */
    private Runnable resumeUpstream;

    ClientConnection(TcpConnection channel, Set<String> classes, ClientServer server, ConnectionServices services) {
        this.channel = channel;
        tasks = services.tasks();
        clock = services.clock();
        this.classes = classes;
        this.server = server;
        memory = services.memory();
        memoryBudget = memory.bodies();
        headMemory = new HeadMemory(memory.heads());
        streams = memory.streams();
        deadlines = services.deadlines();
        guard = services.guard();
        input = new ClientInput(clock, services.loopDelay(), memoryBudget, this::guarded, this);
        activity = new ClientActivity(channel, clock);
        readWork = new ReadWorkLimiter(channel);
        unreadBodyWatch = new UnreadBodyWatch(channel, clock, this::guarded, new CurrentUpload());
    }

    TcpConnection channel() {
        return channel;
    }

    /** The handler in front of the decoder. */
    ClientInput input() {
        return input;
    }

    /** The handler behind the input. */
    RequestDecoder decoder() {
        return decoder;
    }

    /** Counts any input as activity, even a part of a request. */
    @Override
    public void onBytes(long sinceUs) {
        readWork.beginRead();
        activity.recordBytes();
        sentUs = sinceUs;
    }

    /**
     * Answers what has been read but starts no attempt, since it might start after the client has left; then closes the
     * connection.
     */
    @Override
    public void onDisconnectUndetectable() {
        if (lingering || isAwaitingMemory() || exchange != null && exchange.body.hasStreamed()) {
            // No attempt starts before memory is reserved, and a streamed body has started its only attempt.
            return;
        }
        input.stopReading();
        refusing = true;
        if (exchange != null) {
            coordinator.onDisconnectUndetectable(exchange);
        }
    }

    /** One request is decoded at a time. What the client sends meanwhile is held in its raw form. */
    @Override
    public boolean acceptsRequest() {
        return !busy;
    }

    @Override
    public void onHeld(int bytes, boolean incompleteHead) {
        if (incompleteHead) {
            activity.recordIncompleteRequest();
        } else {
            heldSentUs = sentUs;
        }
        headMemory.setHeldBytes(bytes);
        if (incompleteHead && headMemory.isShort() && cancelHeadWait == null) {
            awaitHeadMemory();
        }
    }

    @Override
    public void onNoneHeld() {
        headMemory.setHeldBytes(0);
    }

    /** Reads no more of an incomplete head until memory is free. */
    private void awaitHeadMemory() {
        cancelHeadWait = headMemory.whenFree(guarded(() -> {
            cancelHeadWait = null;
            updateReading();
        }));
        updateReading();
        server.reclaimHeadMemory();
    }

    /**
     * Passes no more to the decoder than can be stored. The socket itself is read as long as possible, so that a
     * disconnect is noticed.
     */
    private void updateReading() {
        unreadBodyWatch.update();
        input.setFlow(
                busy && !receiving || body != null && body.isFull(),
                isAwaitingMemory() || cancelHeadWait != null || body != null && body.isBlocked());
    }

    private final class CurrentUpload implements UnreadBodyWatch.Upload {
        @Override
        public boolean isReceiving() {
            return exchange != null && receiving && !responded && body != null;
        }

        @Override
        public boolean isSuspended() {
            return body.isReadSuspended();
        }

        @Override
        public void readAhead() {
            body.readAhead();
        }

        @Override
        public long missingBytes() {
            return body.length < 0 ? UnreadBodyEnd.UNKNOWN_LENGTH : body.length - bodyBytes;
        }

        @Override
        public long readBytes() {
            return bodyBytes;
        }

        @Override
        public int heldBytes() {
            return input.bufferedBytes() + decoder.heldBytes();
        }

        @Override
        public long deadlineUs(long writtenUs) {
            return ClientConnection.this.deadlineUs(writtenUs);
        }

        @Override
        public void fail() {
            coordinator.failStreaming(exchange);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        HttpObject part = (HttpObject) message;
        readWork.recordPart();
        if (part instanceof HttpRequest) {
            headStartUs = activity.requestStartUs();
        }
        if (part instanceof LastHttpContent) {
            activity.recordRequestEnd(part.decoderResult().isSuccess());
        }
        handle(part, sentUs);
    }

    /** Decodes the next of several requests that were sent at once. */
    private void resumeDecoding() {
        if (busy || lingering || !channel.isActive()) {
            return;
        }
        if (decoder.heldBytes() > 0) {
            onBytes(heldSentUs);
            try {
                decoder.resume();
            } catch (Exception e) {
                channel.pipeline().fireExceptionCaught(e);
            }
        }
        updateReading();
        closeIfRefusing();
    }

    private void handle(HttpObject part, long partSentUs) {
        try {
            if (part instanceof HttpRequest request) {
                beginRequest(request);
            }
            if (part instanceof HttpContent content) {
                handleContent(content, partSentUs);
            }
        } catch (RuntimeException e) {
            Log.error("a handler failed", e);
            if (busy && !responded && exchange == null) {
                reject(HttpResponseStatus.INTERNAL_SERVER_ERROR);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void beginRequest(HttpRequest message) {
        busy = receiving = true;
        responded = flushed = false;
        head = message;
        expectsBody = !message.decoderResult().isSuccess()
                || HttpUtil.isTransferEncodingChunked(message)
                || HttpUtil.getContentLength(message, 0L) > 0;
        body = null;
        bodyProgress.restart(clock.nowUs());
        unreadBodyWatch.restart(sentUs);
        firstByteUs = headStartUs;
        unreadSinceUs = 0;
        bodyBytes = 0;
        closeAfterResponse = !HttpUtil.isKeepAlive(message);
        coordinator = server.coordinatorFor(message);
        servesWarmUp |= server.isWarmUpMessage(message);
        if (!message.decoderResult().isSuccess() || !RequestDecoder.hasUnambiguousFraming(message)) {
            closeAfterResponse = true;
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        String path = message.uri().split("\\?", 2)[0];
        if (path.equals("/health/ready") && message.method().equals(HttpMethod.GET)) {
            write(
                    server.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    Unpooled.EMPTY_BUFFER,
                    0);
        } else if (server.isWarmUpAttempt(message)) {
            write(HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER, 0);
        } else if (!path.equals("/api") && !path.startsWith("/api/")) {
            reject(HttpResponseStatus.NOT_FOUND);
        } else if (!parseHead(message)) {
            reject(HttpResponseStatus.BAD_REQUEST);
        } else if (message.headers().contains(HttpHeaderNames.EXPECT) && !HttpUtil.is100ContinueExpected(message)) {
            reject(HttpResponseStatus.EXPECTATION_FAILED);
        } else {
            receiveBody(message);
        }
        // Nothing reads the fields any more, and the request may last.
        message.headers().clear();
    }

    /** Parses the head. Returns false if it is invalid, names an unknown class or an id that must not be repeated. */
    private boolean parseHead(HttpRequest message) {
        RequestHead parsed = RequestHead.parse(message).orElse(null);
        if (parsed == null || coordinator.mustNotRepeat(parsed.id()) || !classes.contains(parsed.requestClass())) {
            return false;
        }
        requestHead = parsed;
        headMemory.setRequestBytes(parsed.textBytes() + message.uri().length());
        return true;
    }

    private void receiveBody(HttpRequest message) {
        long length = HttpUtil.isTransferEncodingChunked(message) ? -1 : HttpUtil.getContentLength(message, 0L);
        if (length > Headers.MAX_BODY_BYTES) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        body = new RequestBody(this::execute, this::updateReading, length, memory);
        ownsBody = true;
        if (length == 0) {
            return;
        }
        // Reading stops until memory is granted; a 100 Continue is sent only then.
        boolean expectsContinue = HttpUtil.is100ContinueExpected(message);
        if (length > 0 && length <= SMALL_BODY_BYTES && !expectsContinue) {
            body.takeMemory();
            return;
        }
        body.awaitMemory(guarded(() -> {
            cancelMemoryTimeout();
            if (!expectsContinue) {
                // Its client could send while the body waited; the kernel has kept that.
                bodyProgress.restart(unreadSinceUs == 0 ? clock.nowUs() : unreadSinceUs);
                input.setUnreadSince(unreadSinceUs);
            } else {
                bodyProgress.restart(clock.nowUs());
                activity.recordInvitation();
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
            body.updateFlow();
        }));
        if (isAwaitingMemory()) {
            scheduleMemoryTimeout();
        }
        updateReading();
    }

    /**
     * Refuses the request if memory is not granted in time. The client may have sent the whole body already, so its
     * deadline counts from that time.
     */
    private void scheduleMemoryTimeout() {
        unreadSinceUs = sentUs;
        long untilUs = Math.min(
                clock.nowUs() + MAX_MEMORY_WAIT_US,
                deadlines.deadlineUs(requestHead.requestClass(), sentUs, requestHead.remainingUs()));
        memoryTimeout = channel.eventLoop()
                .schedule(
                        guarded(() -> reject(HttpResponseStatus.SERVICE_UNAVAILABLE)),
                        untilUs - clock.nowUs(),
                        TimeUnit.MICROSECONDS);
        server.reclaimBodyMemory();
    }

    /** A task of this connection, which closes it if it fails. */
    private Runnable guarded(Runnable task) {
        return tasks.ofConnection(channel, task);
    }

    private void execute(Runnable task) {
        channel.eventLoop().execute(guarded(task));
    }

    private boolean isAwaitingMemory() {
        return body != null && body.isAwaitingMemory();
    }

    private void cancelMemoryTimeout() {
        if (memoryTimeout != null) {
            memoryTimeout.cancel(false);
            memoryTimeout = null;
        }
    }

    /** Discards the body of a request that no coordinator has taken. */
    private void releaseBody() {
        cancelMemoryTimeout();
        if (ownsBody) {
            ownsBody = false;
            body.discard();
        }
    }

    private void handleContent(HttpContent content, long partSentUs) {
        boolean isLast = content instanceof LastHttpContent;
        if (!receiving) {
            return;
        }
        receiving = !isLast;
        if (content.decoderResult().isFailure()) {
            rejectMalformed();
            return;
        }
        if (!responded && body != null) {
            receivePart(content.content(), isLast, partSentUs);
        }
        if (isLast) {
            updateReading();
        }
        if (isLast && responded) {
            // Not at once: many requests that are answered at once would be decoded in one turn of the loop.
            SocketPolling.runInNextIteration(channel.eventLoop(), guarded(this::finishRequest));
        }
    }

    private void receivePart(ByteBuf part, boolean isLast, long partSentUs) {
        bodyProgress.recordPart(clock.nowUs(), part.readableBytes());
        bodyBytes += part.readableBytes();
        if (bodyBytes > Headers.MAX_BODY_BYTES) {
            abandonExchange();
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (part.isReadable()) {
            body.append(part);
        }
        if (isLast) {
            body.finish();
        }
        if (exchange != null) {
            if (isLast) {
                long writtenUs = unreadBodyWatch.writtenUs(partSentUs);
                coordinator.onBodyComplete(exchange, writtenUs, deadlineUs(writtenUs));
            }
        } else if (isLast || body.isLong()) {
            accept(partSentUs);
        }
    }

    private void accept(long partSentUs) {
        if (refusing) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        endMemoryWait();
        long requestDeadlineUs = deadlineUs(partSentUs);
        Request request = new Request(
                requestHead.id(),
                requestHead.key(),
                requestHead.resent(),
                false,
                requestHead.estimateUs(),
                Math.max(1, requestDeadlineUs - clock.nowUs()),
                requestHead.tenant(),
                requestHead.requestClass(),
                !body.isComplete());
        RequestTimestamps timestamps = new RequestTimestamps(
                activity.acceptedUs(),
                firstByteUs,
                body.isComplete() ? clock.nowUs() : 0,
                partSentUs,
                partSentUs + requestHead.remainingUs());
        exchange = new Exchange(
                request,
                head.method(),
                head.uri(),
                requestHead.idempotencyKey(),
                body,
                partSentUs,
                requestHead.remainingUs(),
                requestDeadlineUs,
                new ConnectionResponseWriter(),
                timestamps,
                headMemory.handOverRequest());
        ownsBody = false;
        coordinator.accept(exchange);
    }

    /** A body that came with its head is here already, and its request is not refused any more for want of memory. */
    private void endMemoryWait() {
        if (isAwaitingMemory()) {
            cancelMemoryTimeout();
            body.endMemoryWait();
            updateReading();
        }
    }

    /** The deadline counts from the last byte of the request, so a slow sender has the same time as any other. */
    private long deadlineUs(long sentUs) {
        return Math.min(
                server.latestDeadlineUs(servesWarmUp),
                deadlines.deadlineUs(requestHead.requestClass(), sentUs, requestHead.remainingUs()));
    }

    /** Handles a body whose end can't be determined. */
    private void rejectMalformed() {
        closeAfterResponse = true;
        if (!responded) {
            abandonExchange();
            reject(HttpResponseStatus.BAD_REQUEST);
        } else {
            closeGracefully(CloseReason.NO_HTTP);
        }
    }

    /** Gives up the current request: no further attempt starts, and its response is no longer needed. */
    private void abandonExchange() {
        if (exchange != null) {
            Exchange abandoned = exchange;
            exchange = null;
            log(abandoned, "given up");
            coordinator.onClientLeft(abandoned);
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
        public void beginStream(long length, Runnable resume) {
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (length >= 0) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            } else if (head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
                HttpUtil.setTransferEncodingChunked(response, true);
            } else {
                // HTTP/1.0 marks the end of the response by closing. With SO_LINGER 0 any premature end, even that of
                // the process, is a reset.
                closeAfterResponse = true;
                channel.options().set(StandardSocketOptions.SO_LINGER, 0);
            }
            setConnectionHeader(response);
            resumeUpstream = resume;
            streams.begin(channel);
            channel.writeAndFlush(response).addListener(ClientConnection.this::closeIfNotWritten);
        }

        @Override
        public boolean writePart(ByteBuf part) {
            channel.writeAndFlush(new DefaultHttpContent(part.retainedSlice()))
                    .addListener(ClientConnection.this::closeIfNotWritten);
            return channel.isWritable();
        }

        @Override
        public void endStream() {
            resumeUpstream = null;
            streams.end(channel);
            ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
                // Only once the socket has taken all of it: until then any end must be a reset.
                written.addListener(f -> {
                    if (f.isSuccess()) {
                        channel.options().set(StandardSocketOptions.SO_LINGER, LINGER_DISABLED);
                    }
                });
            }
            awaitFlush(written, "streamed");
        }

        @Override
        public boolean isClientConnected() {
            return channel.isActive() && !lingering;
        }

        @Override
        public void abortStream() {
            resumeUpstream = null;
            streams.end(channel);
            if (exchange == null) {
                // The client has disconnected, and its exchange was abandoned.
                return;
            }
            log(exchange, "broken off");
            exchange = null;
            if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
                // For HTTP/1.0 an orderly close would mark the response as complete, so reset the connection.
                channel.options().set(StandardSocketOptions.SO_LINGER, 0);
                channel.options().whenApplied(() -> close(CloseReason.ANSWER_BROKEN));
                return;
            }
            var timeout = channel.eventLoop()
                    .schedule(
                            guarded(() -> close(CloseReason.ANSWER_BROKEN)), MAX_ABORT_FLUSH_US, TimeUnit.MICROSECONDS);
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> {
                timeout.cancel(false);
                closeGracefully(CloseReason.ANSWER_BROKEN);
            });
        }
    }

    private void reject(HttpResponseStatus status) {
        // A request that was taken may have run: no answer of this class may say that it has not.
        HttpResponseStatus safe = exchange == null ? status : HttpResponseStatus.BAD_GATEWAY;
        abandonExchange();
        RequestLog.logRejected(channel, safe.code());
        write(safe, Unpooled.EMPTY_BUFFER, 0);
    }

    private void write(HttpResponseStatus status, ByteBuf content, long retryAfterUs) {
        releaseBody();
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        setConnectionHeader(response);
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6));
        }
        ChannelFuture written = channel.writeAndFlush(response);
        if (!written.isDone()) {
            // Until the socket has taken it. Beyond the limit further responses pass through in parts.
            int bytes = content.readableBytes();
            memoryBudget.take(bytes);
            written.addListener(f -> memoryBudget.release(bytes));
        }
        awaitFlush(written, "answered " + status.code());
    }

    /** Closes after this response if the client is still sending the body of the request, which may be long. */
    private void setConnectionHeader(HttpResponse response) {
        hasSentResponse = true;
        channel.history().recordResponse();
        closeAfterResponse |= !server.keepsConnectionsOpen(servesWarmUp) || receiving && expectsBody;
        if (closeAfterResponse) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }

    private void log(Exchange logged, String end) {
        logged.timestamps.log(logged.request.id(), end, logged.attempts.size(), clock.nowUs());
    }

    private void awaitFlush(ChannelFuture written, String end) {
        if (exchange != null) {
            Exchange completed = exchange;
            completed.timestamps.recordResponse(clock.nowUs());
            written.addListener(f -> log(completed, f.isSuccess() ? end : "not written"));
        }
        exchange = null;
        responded = true;
        activity.recordResponse();
        written.addListener(f -> {
            this.flushed = true;
            if (!f.isSuccess()) {
                closeIfNotWritten(f);
            } else if (closeAfterResponse) {
                closeGracefully(CloseReason.LAST_ANSWER);
            } else if (!receiving) {
                // On the loop, since a response may be written while the previous one is still being handled.
                execute(this::finishRequest);
            }
        });
    }

    /** A part that is left out for want of memory must not be followed by the rest: the client has to see the response end. */
    private void closeIfNotWritten(Future<?> written) {
        if (!written.isSuccess() && channel.isActive()) {
            channel.history().recordFailure(ConnectionHistory.SocketOperation.WRITE, written.cause());
            RequestLog.recordClose(channel, CloseReason.WRITE_FAILED);
            channel.close();
        }
    }

    /** Finishes the current request once both directions are complete, and goes on to the next. */
    private void finishRequest() {
        if (!busy || receiving || !responded || !flushed || closeAfterResponse) {
            return;
        }
        busy = false;
        body = null;
        forgetHead();
        if (decoder.heldBytes() > 0 || !input.isEmpty()) {
            // One request in a turn of the loop, so that others are not kept waiting by many of one client.
            SocketPolling.runInNextIteration(channel.eventLoop(), guarded(this::resumeDecoding));
        } else {
            updateReading();
            closeIfRefusing();
        }
    }

    private void closeIfRefusing() {
        if (refusing && !busy && input.isEmpty()) {
            closeGracefully(CloseReason.UNWATCHED);
        }
    }

    /** Drops the head of a request that is over; its text may be long. */
    private void forgetHead() {
        head = null;
        requestHead = null;
        headMemory.setRequestBytes(0);
    }

    private void releaseHead() {
        decoder.discard();
        headMemory.release();
        if (cancelHeadWait != null) {
            cancelHeadWait.run();
            cancelHeadWait = null;
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (resumeUpstream != null && channel.isWritable()) {
            resumeUpstream.run();
        }
    }

    /** Whether bytes behind the last request are not decoded yet. */
    private boolean hasPendingInput() {
        return !input.isEmpty() || decoder.heldBytes() > 0 && !activity.isWithinRequest();
    }

    ClientPhase phase() {
        if (lingering) {
            return ClientPhase.LINGERING;
        }
        if (busy) {
            return receiving && !responded ? ClientPhase.WITHIN_BODY : ClientPhase.SERVED;
        }
        if (hasPendingInput()) {
            return ClientPhase.SERVED;
        }
        return activity.isWithinRequest() ? ClientPhase.WITHIN_HEAD : ClientPhase.IDLE;
    }

    /** Whether a request is in progress, from its head to the end of its response. */
    boolean isBusy() {
        return busy;
    }

    /** Whether the connection is between requests, with no part of the next one received. */
    boolean isIdle() {
        return !busy && !hasPendingInput() && !activity.isWithinRequest() && !lingering;
    }

    /** Whether the connection is so recent that its first request may still be on its way. */
    boolean isNew() {
        return activity.isNew();
    }

    /** Whether a part of a request has arrived and the rest depends on the client alone, with all that it sent read. */
    private boolean awaitsRestOfRequest() {
        if (lingering || !channel.isReading() || hasPendingInput()) {
            return false;
        }
        if (!busy) {
            return activity.isWithinRequest();
        }
        return receiving && !responded && body != null && !body.isAwaitingMemory() && !body.isFull();
    }

    /** Whether the client has stopped within a request. */
    boolean isStalled(long nowUs) {
        return awaitsRestOfRequest() && nowUs - activity.lastReceivedUs() >= KEEPS_SLOT_US;
    }

    /** Whether the client takes long for a request, in whatever pieces it sends it; for a body its rate counts. */
    boolean isSlow(long nowUs) {
        return awaitsRestOfRequest()
                && nowUs - activity.awaitedSinceUs() >= KEEPS_SLOT_US
                && (!busy || bodyProgress.isBelowMinimumRate(nowUs, KEEPS_SLOT_US));
    }

    /** Whether a complete request has arrived whose response was not fully handed to the kernel. */
    boolean owesResponse() {
        return busy && !receiving && !lingering;
    }

    /** The memory reserved for the head of a request that is not complete, and for bytes behind the current request. */
    int heldBytes() {
        return decoder.heldBytes();
    }

    /** The memory reserved for the body of the current request. */
    int reservedBytes() {
        return body == null ? 0 : body.countedBytes();
    }

    ClientActivity activity() {
        return activity;
    }

    /**
     * Closes the connection if it has been inactive since {@code sinceUs}, or since {@code partialSinceUs} while a
     * request is incomplete: its client may still wait for a response, but not forever. With {@code spareNew} a new
     * connection stays open. Returns whether it closes.
     */
    boolean closeIfIdle(long sinceUs, long partialSinceUs, boolean spareNew, CloseReason reason) {
        if (!isIdleSince(sinceUs, partialSinceUs) || spareNew && isNew()) {
            return false;
        }
        channel.readNow();
        // While reads fail a request may lie unread.
        boolean closes = isIdleSince(sinceUs, partialSinceUs) && channel.isReading();
        if (closes) {
            closeGracefully(reason);
        }
        return closes;
    }

    private boolean isIdleSince(long sinceUs, long partialSinceUs) {
        boolean notAccepted = !busy || receiving && exchange == null && !responded;
        return activity.lastActiveUs() < (isIdle() ? sinceUs : partialSinceUs)
                && notAccepted
                && !hasPendingInput()
                && !lingering;
    }

    /** Whether this is a connection of the warm-up and not of a client. */
    boolean servesWarmUp() {
        return servesWarmUp;
    }

    /**
     * Closes at once to free the descriptor, unless the socket holds a request or more of one. Returns whether the
     * connection is now closed.
     */
    boolean closeUnlessRequestArrived(CloseReason reason) {
        channel.readNow();
        long now = clock.nowUs();
        // While reads fail a request may lie unread.
        if (channel.isReading() && (isIdle() || isStalled(now) || isSlow(now))) {
            close(reason);
        }
        return !channel.isOpen();
    }

    /** Closes gracefully, unless the socket holds a request or a request awaits its response. */
    void closeGracefullyUnlessRequestArrived(CloseReason reason) {
        channel.readNow();
        if (!owesResponse()) {
            closeGracefully(reason);
        }
    }

    /**
     * Closes the connection if its client has stopped sending or reading. The timeout of a head counts from its first
     * byte, so that sending byte by byte does not extend it. On a new connection it counts from the accept, or from the
     * first bytes if they arrived in the accept queue.
     */
    void closeIfTimedOut(long now, long timeoutUs, long firstTimeoutUs) {
        if (lingering) {
            return;
        }
        if (busy) {
            if (responded && !flushed && now - activity.lastActiveUs() >= MAX_UNREAD_RESPONSE_US) {
                close(CloseReason.ANSWER_UNREAD);
            } else if (receiving && !responded && body != null) {
                checkBodyProgress(now);
            }
        } else if (isRequestLate(now, timeoutUs, firstTimeoutUs)) {
            // The request may lie unread in the socket after a delay of this process.
            channel.readNow();
            if (isRequestLate(now, timeoutUs, firstTimeoutUs)) {
                closeGracefully(CloseReason.REQUEST_UNFINISHED);
            }
        }
    }

    private boolean isRequestLate(long now, long timeoutUs, long firstTimeoutUs) {
        if (busy || lingering || hasPendingInput()) {
            return false;
        }
        return activity.hasSentRequest()
                ? activity.isWithinRequest() && now - activity.awaitedSinceUs() >= timeoutUs
                : now - activity.awaitedSinceUs() >= firstTimeoutUs && !isNew();
    }

    private void checkBodyProgress(long now) {
        if (body.isAwaitingMemory()) {
            return;
        }
        long blockedUs = body.blockedSinceUs(now);
        if (blockedUs > 0 && now - blockedUs >= MAX_UPSTREAM_BLOCKED_US) {
            coordinator.failStreaming(exchange);
            return;
        }
        if (body.isReadSuspended()) {
            // This time does not count against the client.
            bodyProgress.restart(now);
            return;
        }
        if (bodyProgress.isTooSlow(now) || hasStoppedInFirstBody(now)) {
            abandonExchange();
            closeGracefully(CloseReason.BODY_TOO_SLOW);
        }
    }

    /** Whether a client that stopped within its first request has to be given up, however late its bytes were read. */
    private boolean hasStoppedInFirstBody(long now) {
        long pauseUs = server.wasBodyMemoryShort(FIRST_BODY_TIMEOUT_US) ? CROWDED_BODY_PAUSE_US : FIRST_BODY_PAUSE_US;
        return !activity.hasSentRequest()
                && now - activity.awaitedSinceUs() >= FIRST_BODY_TIMEOUT_US
                && now - activity.queryLastReceivedUs() >= pauseUs;
    }

    /** Shuts the connection down so that the client still receives all responses. No write may be pending. */
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
        releaseHead();
        releaseBody();
        abandonExchange();
        forgetHead();
        server.addLingering(this);
        LingeringClose.start(channel, Math.min(LingeringClose.MAX_LINGER_US, server.closeDeadlineUs() - clock.nowUs()));
    }

    /** Answers a complete request that has no part of a response yet; the connection closes after that response. */
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

    /** Whether the output is shut down and only the end of the client's input is awaited. */
    boolean isLingering() {
        return lingering;
    }

    /** Closes at once and frees the descriptor. */
    void close(CloseReason reason) {
        if (answerBeforeClose(reason) || !guard.canClose(isNew() && !lingering, reason)) {
            return;
        }
        RequestLog.recordClose(channel, reason);
        channel.close();
    }

    /**
     * While reads fail a disconnect can't be detected, so a request that was read completely starts no further attempt.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == TcpConnection.ReadFailure.FOR_LONG && exchange != null && !exchange.body.hasStreamed()) {
            coordinator.onDisconnectUndetectable(exchange);
        }
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        resumeUpstream = null;
        releaseHead();
        releaseBody();
        abandonExchange();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            // A client that disconnects, even within a request, is not an error.
            RequestLog.recordClose(channel, CloseReason.PEER_ENDED);
            ctx.close();
            return;
        }
        channel.history().recordFailure(ConnectionHistory.SocketOperation.HANDLER, cause);
        Log.error("a client's connection failed", cause);
        if (busy && !responded && exchange == null) {
            closeAfterResponse = true;
            reject(HttpResponseStatus.INTERNAL_SERVER_ERROR);
        } else if (busy && responded && !flushed) {
            // The response is being written; close after it.
            closeAfterResponse = true;
        } else {
            close(CloseReason.FAILED);
        }
    }
}

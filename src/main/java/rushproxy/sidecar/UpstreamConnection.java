package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;

/**
 * Handler of one connection to an upstream. Carries one call at a time and turns what is received into the call's outcome. A short
 * response is buffered until it is complete; a longer one is streamed to the client.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Interval of the progress checks on a response that has no length or is being streamed. */
    private static final long PROGRESS_CHECK_US = 50_000;
    /** Bytes of a discarded response body that are read to keep the connection; beyond that it is closed. */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;
    /** What is held of one response, beside the part that is buffered. */
    private static final int MAX_HELD_SEGMENTS = 12;
    /** Interval of the looks at a response that is held because the process stops. */
    private static final long HELD_CHECK_US = 25_000;

    private final MemoryBudget budget;
    private final ReadAheadBudget heldBudget;
    private final Clock clock;
    private final TaskGuard tasks;
    long idleSinceUs;
    private UpstreamCall call;
    private BiConsumer<UpstreamCall, Channel> release;
    /** The head of the current response; null until it has been received. */
    private HttpResponse head;

    private Outcome outcome;
    /** The buffered response body; null if the response is streamed or discarded. */
    private ReservedBuffer buffered;

    /** What has come behind the buffered part while it is not certain that the rest comes before the process ends; null if none. */
    private ReadAheadBuffer held;

    private long discardedBytes;
    private boolean isStreaming;
    /** The response is too long for the buffer or the budget is used up: it is streamed from its first body bytes on. */
    private boolean isUnbuffered;
    /** The response has been read to its end; surplus bytes may follow. */
    private boolean isComplete;

    private boolean isInterim;
    /** The connection is being closed; the rest of the current read is ignored. */
    private boolean isAborted;
    /** Bytes read from the connection up to the last completed read. */
    private long previousReadBytes;

    private Future<?> timer;
    /** Progress of the current response; null between responses. */
    private ResponseProgress progress;

    UpstreamConnection(ConnectionMemory memory, Clock clock, TaskGuard tasks) {
        this.tasks = tasks;
        budget = memory.bodies();
        heldBudget = memory.readAhead();
        this.clock = clock;
    }

    /** {@code release} is called when the response is complete and the connection can be reused. */
    void startCall(UpstreamCall call, BiConsumer<UpstreamCall, Channel> release) {
        this.call = call;
        this.release = release;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (isAborted) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            close(ctx, CloseReason.NO_HTTP);
            return;
        }
        if (message instanceof HttpResponse response) {
            HttpResponseStatus status = response.status();
            isInterim = status.codeClass() == HttpStatusClass.INFORMATIONAL;
            if (status.equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                // The upgrade was not requested, and what follows is not HTTP.
                close(ctx, CloseReason.NO_HTTP);
            } else if (!isInterim) {
                onResponseHead(ctx, response);
            }
        }
        if (message instanceof HttpContent content && !isInterim) {
            onContent(ctx, content.content());
            if (content instanceof LastHttpContent && !isAborted && isEndGenuine(ctx)) {
                if (held != null) {
                    startStreaming(ctx);
                }
                isComplete = !isAborted;
            }
        }
    }

    /** Whether the end of a response comes from the upstream: the decoder takes any end of the connection for that of a response without a length. */
    private static boolean isEndGenuine(ChannelHandlerContext ctx) {
        return ctx.channel().isActive()
                || ((TcpConnection) ctx.channel()).history().hasPeerClosed();
    }

    private void onResponseHead(ChannelHandlerContext ctx, HttpResponse response) {
        Outcome result = outcome(response);
        if (call == null || head != null || result == Outcome.OK && !call.isWritten()) {
            // Unsolicited: no call, a second response, or success before the request was sent in full. What follows
            // can't be attributed
            // to a call.
            close(ctx, CloseReason.NOT_ASKED_FOR);
            return;
        }
        head = response;
        outcome = result;
        long length = HttpUtil.getContentLength(response, -1L);
        int maxBytes = (int) (length < 0 || length > RequestBody.MAX_KEPT_BYTES ? RequestBody.MAX_KEPT_BYTES : length);
        if (outcome != Outcome.OK) {
            return;
        }
        progress = new ResponseProgress(length, clock.nowUs());
        if (call.isReportInBody()) {
            buffered = new ReservedBuffer(budget);
            return;
        }
        if (length > RequestBody.MAX_KEPT_BYTES || !budget.tryReserve(maxBytes)) {
            // Streaming starts with the first body bytes; until then another attempt may still answer the request.
            isUnbuffered = true;
            return;
        }
        buffered = new ReservedBuffer(budget);
        buffered.addReservation(maxBytes);
        if (length < 0) {
            startTimer(ctx, () -> checkStreaming(ctx), PROGRESS_CHECK_US);
        }
    }

    private void onContent(ChannelHandlerContext ctx, ByteBuf part) {
        if (head == null || isComplete || !part.isReadable()) {
            return;
        }
        if (progress != null) {
            progress.recordBytes(part.readableBytes(), clock.nowUs());
        }
        if (isStreaming) {
            forward(ctx, part);
        } else if (held != null) {
            hold(ctx, part);
        } else if (isUnbuffered) {
            streamFrom(ctx, part);
        } else if (buffered == null) {
            discardedBytes += part.readableBytes();
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                close(ctx, CloseReason.REMAINDER_TOO_LONG);
            }
        } else if (buffered.readableBytes() + part.readableBytes() <= RequestBody.MAX_KEPT_BYTES) {
            buffered.writeBytes(part);
        } else if (call.isReportInBody()) {
            close(ctx, CloseReason.REMAINDER_TOO_LONG);
        } else {
            streamFrom(ctx, part);
        }
    }

    private void streamFrom(ChannelHandlerContext ctx, ByteBuf part) {
        if (!canEndBeforeProcess(ctx)) {
            stopTimer();
            held = new ReadAheadBuffer(heldBudget);
            hold(ctx, part);
            checkHeld(ctx);
            return;
        }
        startStreaming(ctx);
        if (isStreaming) {
            forward(ctx, part);
        }
    }

    /** Whether the rest of the response can be expected before the process is killed. Otherwise its first byte must not be passed on. */
    private boolean canEndBeforeProcess(ChannelHandlerContext ctx) {
        long endUs = call.responseLimits().processEndUs();
        return endUs == Long.MAX_VALUE
                || progress.canEndBy(endUs, clock.nowUs(), ((TcpConnection) ctx.channel()).unreadBytes());
    }

    /** Keeps a part, and reads on as long as there is memory. At its deadline the request fails, unless it has been answered. */
    private void hold(ChannelHandlerContext ctx, ByteBuf part) {
        held.append(part);
        ctx.channel().config().setAutoRead(held.size() < MAX_HELD_SEGMENTS && held.reserveRoom());
    }

    private void checkHeld(ChannelHandlerContext ctx) {
        if (held == null || call == null || isComplete || isAborted) {
            return;
        }
        if (canEndBeforeProcess(ctx)) {
            startStreaming(ctx);
        } else {
            startTimer(ctx, () -> checkHeld(ctx), HELD_CHECK_US);
        }
    }

    /** Streams a response of unknown length while it makes progress; one that stalls stays buffered, so another attempt can answer. */
    private void checkStreaming(ChannelHandlerContext ctx) {
        if (call == null || head == null || isComplete || isStreaming || buffered == null) {
            return;
        }
        if (progress.shouldStream(clock.nowUs(), call.responseLimits()) && canEndBeforeProcess(ctx)) {
            startStreaming(ctx);
        } else {
            startTimer(ctx, () -> checkStreaming(ctx), PROGRESS_CHECK_US);
        }
    }

    /** What the decoder makes of this end, as the regular one of a response without a length, is ignored. */
    private void close(ChannelHandlerContext ctx, CloseReason reason) {
        isAborted = true;
        RequestLog.recordClose(ctx.channel(), reason);
        ctx.close();
    }

    /** Starts forwarding the response to the client, beginning with what has been buffered. */
    private void startStreaming(ChannelHandlerContext ctx) {
        long length = HttpUtil.getContentLength(head, -1L);
        if (!call.startResponseStreaming(length, () -> ctx.channel().config().setAutoRead(true))) {
            // Another attempt was faster or the client has disconnected. The upstream did answer, so the outcome is OK.
            UpstreamCall current = call;
            call = null;
            reset();
            close(ctx, CloseReason.NOT_WANTED);
            current.end(Outcome.OK, null, Unpooled.EMPTY_BUFFER);
            return;
        }
        isStreaming = true;
        stopTimer();
        isUnbuffered = false;
        scheduleStallCheck(ctx);
        forwardBuffered(ctx);
        forwardHeld(ctx);
    }

    private void forwardBuffered(ChannelHandlerContext ctx) {
        ByteBuf prefix = takeBuffered();
        if (prefix != null) {
            if (prefix.isReadable()) {
                forward(ctx, prefix);
            }
            prefix.release();
        }
    }

    /** The buffered part, which its taker releases; null if there is none. */
    private ByteBuf takeBuffered() {
        ByteBuf taken = buffered;
        buffered = null;
        return taken;
    }

    private void forwardHeld(ChannelHandlerContext ctx) {
        if (held == null) {
            return;
        }
        ctx.channel().config().setAutoRead(true);
        while (!held.isEmpty()) {
            ByteBuf segment = held.poll();
            forward(ctx, segment);
            segment.release();
        }
        releaseHeld();
    }

    private void releaseHeld() {
        if (held != null) {
            held.release();
            held = null;
        }
    }

    /**
     * At its deadline a response of unknown length is passed on if it is likely to be long: only its first bytes were due. Returns
     * false if there is none.
     */
    boolean streamAtDeadline(ChannelHandlerContext ctx) {
        boolean isPartial = call != null && progress != null && buffered != null && !isComplete && !isAborted;
        if (!isPartial || call.isReportInBody() || held != null) {
            return false;
        }
        if (!progress.mayContinue(clock.nowUs(), call.responseLimits()) || !canEndBeforeProcess(ctx)) {
            return false;
        }
        startStreaming(ctx);
        return true;
    }

    private void forward(ChannelHandlerContext ctx, ByteBuf part) {
        if (!call.passResponsePart(part)) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    /** A streamed response is checked for stalls here up to its last byte, as the call's own timeout has been cancelled. */
    private void scheduleStallCheck(ChannelHandlerContext ctx) {
        long leftUs = call.deadlineUs() - clock.nowUs();
        long delayUs = leftUs > 0 ? Math.min(PROGRESS_CHECK_US, leftUs) : PROGRESS_CHECK_US;
        startTimer(ctx, () -> checkStall(ctx), delayUs);
    }

    private void checkStall(ChannelHandlerContext ctx) {
        if (!isStreaming) {
            return;
        }
        if (!isStalled(ctx)) {
            scheduleStallCheck(ctx);
            return;
        }
        ResponseProgress checked = progress;
        // After a delay of the event loop unread data may be waiting in the socket.
        Runnable checkAgain = tasks.ofConnection(ctx.channel(), () -> checkStallAgain(ctx, checked));
        SocketPolling.runAfterNextPoll((EventLoop) ctx.executor(), checkAgain);
    }

    private void checkStallAgain(ChannelHandlerContext ctx, ResponseProgress checked) {
        if (progress != checked || !ctx.channel().isActive()) {
            return;
        }
        if (isStalled(ctx)) {
            close(ctx, CloseReason.STALLED);
        } else {
            scheduleStallCheck(ctx);
        }
    }

    private boolean isStalled(ChannelHandlerContext ctx) {
        long now = clock.nowUs();
        progress.setHeldBack(!ctx.channel().config().isAutoRead(), now);
        return progress.isStalled(now, call.responseLimits());
    }

    /**
     * Ends the call only after the whole read, when surplus bytes are known. The next call may start as soon as this one has ended and
     * would take them for its own response, so a connection with surplus bytes is closed first.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        long read = ((TcpConnection) ctx.channel()).history().readBytes();
        boolean hasRead = read > previousReadBytes;
        previousReadBytes = read;
        if (!isComplete) {
            // Unsolicited data. A read that failed temporarily has read nothing.
            if (call == null && hasRead) {
                close(ctx, CloseReason.NOT_ASKED_FOR);
            }
            return;
        }
        HttpResponse response = head;
        Outcome result = outcome;
        ByteBuf taken = takeBuffered();
        ByteBuf body = taken == null ? Unpooled.EMPTY_BUFFER : taken;
        UpstreamCall current = call;
        call = null;
        reset();
        if (HttpUtil.isKeepAlive(response)
                && ctx.pipeline().get(UpstreamResponseDecoder.class).isBetweenResponses()) {
            ctx.channel().config().setAutoRead(true);
            release.accept(current, ctx.channel());
        } else {
            close(ctx, CloseReason.NOT_KEPT_ALIVE);
        }
        LoadReport report = LoadReportParser.parse(
                current.isReportInBody()
                        ? body.toString(StandardCharsets.UTF_8)
                        : response.headers().get(Headers.LOAD));
        current.end(result, report, result == Outcome.OK ? body : null);
        body.release();
    }

    /** Drops the state of the current response and returns its reservation to the budget. */
    private void reset() {
        head = null;
        ByteBuf dropped = takeBuffered();
        if (dropped != null) {
            dropped.release();
        }
        releaseHeld();
        isStreaming = isComplete = isUnbuffered = false;
        progress = null;
        discardedBytes = 0;
        stopTimer();
    }

    private void startTimer(ChannelHandlerContext ctx, Runnable task, long delayUs) {
        timer = ctx.executor().schedule(tasks.ofConnection(ctx.channel(), task), delayUs, TimeUnit.MICROSECONDS);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private static Outcome outcome(HttpResponse response) {
        HttpHeaders headers = response.headers();
        return switch (response.status().code()) {
            case 200 -> Outcome.OK;
            case 503, 504 -> "1".equals(headers.get(Headers.TURNED_AWAY)) ? Outcome.REJECTED : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (call != null) {
            call.writabilityChanged();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (isComplete) {
            // Closed by a second response within the same read; the first one is still valid.
            channelReadComplete(ctx);
        }
        connectionLost();
    }

    /** A protocol or I/O error ends the call; a response without a length is then incomplete. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        isComplete = false;
        close(ctx, cause instanceof IOException ? CloseReason.PEER_ENDED : CloseReason.FAILED);
        connectionLost();
    }

    private void connectionLost() {
        UpstreamCall current = call;
        call = null;
        reset();
        if (current != null) {
            current.connectionFailed();
        }
    }
}

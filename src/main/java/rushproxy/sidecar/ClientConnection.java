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
    private static final int MOST_AHEAD = 32;
    /** A body has this long to get going, and then comes at half the pace at least of a client on a poor link. */
    private static final long BODY_STARTS_US = 2_200_000;

    private static final long BODY_BYTES_PER_S = 32_000;
    /** A body that rests for so long while it is waited for does not go on; a request may be written in 2 s. */
    private static final long BODY_RESTS_US = 2_200_000;
    /** An upstream that takes nothing of a body for so long does not go on either. */
    private static final long STUCK_US = 10_000_000;
    /** Room for a body is waited for so long; a refusal says that nothing was sent. */
    private static final long ROOM_US = 1_000_000;
    /** A client that takes nothing of its answer for so long is no longer there to read it. */
    private static final long UNREAD_US = 20_000_000;
    /** As the socket was: its close waits for nothing, and what is written still leaves. */
    private static final int NO_LINGER = -1;
    /** A client sends its first request as soon as its connection is up. */
    private static final long YOUNG_US = 200_000;
    /** What the client has been given of an answer that broke off waits for the client to take it so long. */
    private static final long BROKEN_US = 1_000_000;

    private final TcpConnection channel;
    private final Clock clock;
    /** Those that the request in hand belongs to. */
    private Requests requests;

    private final Set<String> classes;
    private final ClientServer server;
    private final Budget budget;
    private final AnswerDeadlines deadlines;
    private final RequestGuard guard;
    private final ClientInput input;
    private final ArrayDeque<Arrival> ahead = new ArrayDeque<>();
    /** When the request being read sent its first byte; 0 between requests. */
    private long readingSinceUs;
    /** When the head that was decoded last sent its first byte. */
    private long headSinceUs;

    private long activeUs;
    private final long openedUs;
    /** When its first bytes came by the kernel, where that was before it was accepted; 0 before they are read. */
    private long firstBytesUs;
    /** Since when what was read last may have lain there. */
    private long sentUs;
    /** Whether a whole request has come: such a client may be quiet for as long as it likes. */
    private boolean proven;

    // ---- the request in hand, from its head to the end of its answer
    private boolean busy;
    /** Its end has not come yet. */
    private boolean receiving;

    private boolean answered;
    /** The kernel has the last byte of its answer. */
    private boolean written;
    /** No other request follows on this connection. */
    private boolean last;
    /** The output has ended, and all that still comes is discarded. */
    private boolean lingers;
    /** What comes on this connection is refused, since its client can't be watched any more. */
    private boolean refuses;
    /** An answer may still be on its way to the client. */
    private boolean anyAnswer;

    private HttpRequest head;
    /** What its head says; that of the request before where it is none of the protocol. */
    private RequestHead asked;

    private Body body;
    /** When its first byte was read. */
    private long firstByteUs;

    private long bodySinceUs;
    private long pieceUs;
    private long bodyBytes;
    private long size;
    private int reserved;
    /** Takes back a wish for memory that has not been granted; null where none is open. */
    private Runnable asking;
    /** Since when its body has had to wait for room, unread in the kernel; 0 where it has not. */
    private long unreadSinceUs;

    private Exchange current;
    /** Asks for more of an answer that comes in pieces; null where none does. */
    private Runnable resume;

    private record Arrival(HttpObject part, long atUs) {}

    ClientConnection(
            TcpConnection channel,
            Clock clock,
            Set<String> classes,
            ClientServer server,
            Budget budget,
            EventLoopDelay loopDelay,
            AnswerDeadlines deadlines,
            RequestGuard guard) {
        this.channel = channel;
        this.clock = clock;
        this.classes = classes;
        this.server = server;
        this.budget = budget;
        this.deadlines = deadlines;
        this.guard = guard;
        input = new ClientInput(clock, loopDelay, budget, this);
        activeUs = openedUs = clock.nowUs();
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
    public void arrived(long sinceUs) {
        activeUs = clock.nowUs();
        sentUs = sinceUs;
        if (firstBytesUs == 0) {
            long agoUs = channel.sinceLastReceiveUs();
            firstBytesUs = agoUs == TcpInfo.UNKNOWN ? openedUs : Math.min(openedUs, activeUs - agoUs);
        }
        if (readingSinceUs == 0) {
            readingSinceUs = activeUs;
        }
    }

    /** What has been read is answered, without an attempt that could begin after its client's end; then the connection ends. */
    @Override
    public void unwatched() {
        if (lingers || asking != null || current != null && !current.body.whole()) {
            // Nothing begins before there is room; what flows to an upstream has begun, and begins no second time.
            return;
        }
        input.stop();
        refuses = true;
        if (current != null) {
            requests.unwatched(current);
        }
    }

    /** The decoder gets no more than there is room for; the socket is read for as long as it may tell of the client's end. */
    private void regulate() {
        input.regulate(
                ahead.size() >= MOST_AHEAD || body != null && body.full(),
                asking != null || body != null && body.stuck());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        HttpObject part = (HttpObject) message;
        if (part instanceof HttpRequest) {
            headSinceUs = readingSinceUs == 0 ? activeUs : readingSinceUs;
        }
        if (part instanceof LastHttpContent) {
            readingSinceUs = 0;
            proven |= part.decoderResult().isSuccess();
        }
        if (busy && !receiving || !ahead.isEmpty()) {
            ahead.add(new Arrival(part, sentUs));
            if (ahead.size() >= MOST_AHEAD) {
                regulate();
            }
        } else {
            handle(part, sentUs);
        }
    }

    /** What came ahead has its turn, up to the end of the next request. */
    private void next() {
        if (!ahead.isEmpty()) {
            while ((!busy || receiving) && !ahead.isEmpty() && channel.isActive()) {
                Arrival arrival = ahead.poll();
                handle(arrival.part, arrival.atUs);
            }
            regulate();
        }
    }

    private void handle(HttpObject part, long atUs) {
        try {
            if (part instanceof HttpRequest request) {
                begin(request);
            }
            if (part instanceof HttpContent content) {
                go(content, atUs);
            }
        } catch (RuntimeException e) {
            Log.error("a handler failed", e);
            if (busy && !answered && current == null) {
                reject(HttpResponseStatus.INTERNAL_SERVER_ERROR);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void begin(HttpRequest m) {
        busy = receiving = true;
        answered = written = false;
        head = m;
        body = null;
        bodySinceUs = pieceUs = clock.nowUs();
        firstByteUs = headSinceUs;
        unreadSinceUs = 0;
        bodyBytes = size = 0;
        last = !HttpUtil.isKeepAlive(m);
        requests = server.requestsFor(m);
        if (!m.decoderResult().isSuccess() || !RequestDecoder.framed(m)) {
            last = true;
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        String path = m.uri().split("\\?", 2)[0];
        if (path.equals("/health/ready") && m.method().equals(HttpMethod.GET)) {
            write(
                    server.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    Unpooled.EMPTY_BUFFER,
                    0);
        } else if (server.isAttemptOfWarmUp(m)) {
            write(HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER, 0);
        } else if (!path.equals("/api") && !path.startsWith("/api/")) {
            reject(HttpResponseStatus.NOT_FOUND);
        } else if (!fits(m)) {
            reject(HttpResponseStatus.BAD_REQUEST);
        } else if (m.headers().contains(HttpHeaderNames.EXPECT) && !HttpUtil.is100ContinueExpected(m)) {
            reject(HttpResponseStatus.EXPECTATION_FAILED);
        } else {
            receive(m);
        }
    }

    /** Whether it is a request of the protocol, of a class that there is, and of an id that is not held already. */
    private boolean fits(HttpRequest m) {
        RequestHead parsed = RequestHead.of(m).orElse(null);
        if (parsed == null || requests.knows(parsed.id()) || !classes.contains(parsed.requestClass())) {
            return false;
        }
        asked = parsed;
        return true;
    }

    private void receive(HttpRequest m) {
        long length = HttpUtil.isTransferEncodingChunked(m) ? -1 : HttpUtil.getContentLength(m, 0L);
        if (length > Headers.MAX_BODY) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        body = new Body(this::regulate, length);
        if (length == 0) {
            return;
        }
        // Until there is room for it no more is read; what the client is asked for it may send.
        asking = budget.ask(body.keeps(), () -> {
            asking = null;
            reserved = body.keeps();
            bodySinceUs = pieceUs = clock.nowUs();
            if (!HttpUtil.is100ContinueExpected(m)) {
                input.unreadSince(unreadSinceUs);
            } else {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
            body.look();
        });
        if (reserved > 0) {
            asking = null;
        } else {
            awaitRoom();
        }
        regulate();
    }

    /** Its client may have sent all of it already, and counts from then: what finds no room in time is refused in time. */
    private void awaitRoom() {
        HttpRequest waits = head;
        unreadSinceUs = sentUs;
        long untilUs =
                Math.min(clock.nowUs() + ROOM_US, deadlines.dueUs(asked.requestClass(), sentUs, asked.remainingUs()));
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (asking != null && head == waits) {
                                reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
                            }
                        },
                        untilUs - clock.nowUs(),
                        TimeUnit.MICROSECONDS);
    }

    private void go(HttpContent content, long atUs) {
        boolean ends = content instanceof LastHttpContent;
        if (!receiving) {
            return;
        }
        receiving = !ends;
        if (content.decoderResult().isFailure()) {
            spoilt();
            return;
        }
        if (!answered && body != null) {
            took(content.content(), ends, atUs);
        }
        if (ends && answered) {
            // What came ahead may be many requests that are answered as fast: not one within the other.
            if (ahead.isEmpty()) {
                turn();
            } else {
                channel.eventLoop().execute(this::turn);
            }
        }
    }

    private void took(ByteBuf piece, boolean ends, long atUs) {
        pieceUs = clock.nowUs();
        bodyBytes += piece.readableBytes();
        size += piece.readableBytes();
        if (size > Headers.MAX_BODY) {
            abort();
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (piece.isReadable()) {
            body.add(piece);
        }
        if (ends) {
            body.end();
        }
        if (current != null) {
            if (ends) {
                requests.complete(current, atUs, deadline(atUs));
            }
        } else if (ends || body.full()) {
            take(atUs);
        }
    }

    private void take(long atUs) {
        if (refuses) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        long deadline = deadline(atUs);
        Request request = new Request(
                asked.id(),
                asked.key(),
                asked.resent(),
                false,
                asked.estimateUs(),
                Math.max(1, deadline - clock.nowUs()),
                asked.tenant(),
                asked.requestClass(),
                !body.complete());
        RequestTimes times = new RequestTimes(
                openedUs, firstByteUs, body.complete() ? clock.nowUs() : 0, atUs, atUs + asked.remainingUs());
        current = new Exchange(
                request,
                head.method(),
                head.uri(),
                asked.idempotencyKey(),
                body,
                atUs,
                asked.remainingUs(),
                deadline,
                new Answer(),
                times);
        requests.take(current);
    }

    /** A request's time runs from its last byte: who writes slowly has no less of it. */
    private long deadline(long sentUs) {
        return Math.min(server.dueUs(), deadlines.dueUs(asked.requestClass(), sentUs, asked.remainingUs()));
    }

    /** The end of the request can't be found: whatever has been made of it is not what the client meant. */
    private void spoilt() {
        last = true;
        if (!answered) {
            abort();
            reject(HttpResponseStatus.BAD_REQUEST);
        } else {
            end(CloseReason.NO_HTTP);
        }
    }

    /** No attempt goes on for the request in hand, and its answer is not awaited any more. */
    private void abort() {
        if (current != null) {
            Exchange gone = current;
            current = null;
            log(gone, "given up");
            requests.left(gone);
        }
    }

    private final class Answer implements Exchange.Answer {
        @Override
        public void served(ByteBuf content) {
            write(HttpResponseStatus.OK, content, 0);
        }

        @Override
        public void refused(long retryAfterUs) {
            write(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, retryAfterUs);
        }

        @Override
        public void failed() {
            write(HttpResponseStatus.BAD_GATEWAY, Unpooled.EMPTY_BUFFER, 0);
        }

        @Override
        public void begins(long length, Runnable more) {
            release();
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (length >= 0) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            } else if (head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
                HttpUtil.setTransferEncodingChunked(response, true);
            } else {
                // The end of the connection is the end of the answer: that of a broken one is a reset, whatever ends
                // the process.
                last = true;
                channel.options().set(StandardSocketOptions.SO_LINGER, 0);
            }
            closeOrKeep(response);
            resume = more;
            channel.writeAndFlush(response);
        }

        @Override
        public boolean piece(ByteBuf piece) {
            channel.writeAndFlush(new DefaultHttpContent(piece.retainedSlice()));
            return channel.isWritable();
        }

        @Override
        public void ends() {
            resume = null;
            if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
                channel.options().set(StandardSocketOptions.SO_LINGER, NO_LINGER);
            }
            over(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), "streamed");
        }

        @Override
        public boolean clientIsThere() {
            return channel.isActive() && !lingers;
        }

        @Override
        public void breaks() {
            resume = null;
            if (current == null) {
                // The client has gone, and what flowed to it was called off.
                return;
            }
            log(current, "broken off");
            current = null;
            if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
                // The end of the connection would be the end of the answer.
                channel.options().set(StandardSocketOptions.SO_LINGER, 0);
                channel.options().whenApplied(() -> close(CloseReason.ANSWER_BROKEN));
                return;
            }
            var stuck = channel.eventLoop()
                    .schedule(() -> close(CloseReason.ANSWER_BROKEN), BROKEN_US, TimeUnit.MICROSECONDS);
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> {
                stuck.cancel(false);
                end(CloseReason.ANSWER_BROKEN);
            });
        }
    }

    private void reject(HttpResponseStatus status) {
        RequestLog.rejected(channel, status.code());
        write(status, Unpooled.EMPTY_BUFFER, 0);
    }

    private void write(HttpResponseStatus status, ByteBuf content, long retryAfterUs) {
        release();
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        closeOrKeep(response);
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6));
        }
        over(channel.writeAndFlush(response), "answered " + status.code());
    }

    /** What the client still sends of a request that has been answered may be long: nothing follows on it. */
    private void closeOrKeep(HttpResponse response) {
        anyAnswer = true;
        channel.history().recordResponse();
        last |= !server.goesOn() || receiving && bodyComes();
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }

    private boolean bodyComes() {
        return !head.decoderResult().isSuccess()
                || HttpUtil.isTransferEncodingChunked(head)
                || HttpUtil.getContentLength(head, 0L) > 0;
    }

    private void log(Exchange x, String end) {
        x.times.log(x.request.id(), end, x.attempts.size(), clock.nowUs());
    }

    private void over(ChannelFuture written, String end) {
        if (current != null) {
            Exchange x = current;
            x.times.answered(clock.nowUs());
            written.addListener(f -> log(x, f.isSuccess() ? end : "not written"));
        }
        current = null;
        answered = true;
        activeUs = clock.nowUs();
        written.addListener(f -> {
            this.written = true;
            if (last) {
                end(CloseReason.LAST_ANSWER);
            } else if (!receiving) {
                // Not from within: an answer may come while the one before is still being handled.
                channel.eventLoop().execute(this::turn);
            }
        });
    }

    /** The request in hand is over, both ways. */
    private void turn() {
        if (!busy || receiving || !answered || !written || last) {
            return;
        }
        busy = false;
        body = null;
        next();
        if (refuses && !busy && ahead.isEmpty() && input.isEmpty()) {
            end(CloseReason.UNWATCHED);
        }
    }

    private void release() {
        if (asking != null) {
            asking.run();
            asking = null;
        }
        int back = reserved;
        reserved = 0;
        if (back > 0) {
            budget.give(back);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (resume != null && channel.isWritable()) {
            resume.run();
        }
    }

    /** The head of a request has come, and its answer is not over. */
    boolean isBusy() {
        return busy;
    }

    /** Between requests: nothing is held, and no part of the next one has come. */
    boolean quiet() {
        return !busy && ahead.isEmpty() && readingSinceUs == 0 && !lingers;
    }

    /** It has brought no request yet, and is so new that its first one may be on its way. */
    boolean isYoung() {
        return !proven && clock.nowUs() - openedUs < YOUNG_US;
    }

    /** A whole request has come, and its answer is not wholly with the kernel yet. */
    boolean owes() {
        return busy && !receiving && !lingers;
    }

    long activeUs() {
        return activeUs;
    }

    /**
     * Half a request is waited for as long as its client may still wait for the answer, not for ever. {@code sparesYoung}: not one that has
     * just come. True where it closes.
     */
    boolean closeIfQuiet(long sinceUs, long halfSinceUs, boolean sparesYoung, CloseReason reason) {
        if (!isQuietSince(sinceUs, halfSinceUs) || sparesYoung && isYoung()) {
            return false;
        }
        channel.readNow();
        boolean closes = isQuietSince(sinceUs, halfSinceUs) && channel.isActive();
        if (closes) {
            end(reason);
        }
        return closes;
    }

    private boolean isQuietSince(long sinceUs, long halfSinceUs) {
        boolean untaken = !busy || receiving && current == null && !answered;
        return activeUs < (quiet() ? sinceUs : halfSinceUs) && untaken && ahead.isEmpty() && !lingers;
    }

    /** Gives its descriptor back at once, unless a request lies in its socket. True where it is closed by now. */
    boolean closeUnlessItBrings(CloseReason reason) {
        channel.readNow();
        if (channel.isActive() && quiet()) {
            close(reason);
        }
        return !channel.isOpen();
    }

    /** Ends it, unless a request lies in its socket or is owed its answer. */
    void endUnlessItBrings(CloseReason reason) {
        channel.readNow();
        if (!owes()) {
            end(reason);
        }
    }

    /**
     * A head is waited for from its first byte, not the last: a peer that sends byte by byte is no better than a silent
     * one. A new peer's wait begins with its connection, or with its first bytes where they waited in the kernel's queue.
     */
    void closeIfUnfinished(long now, long patienceUs, long firstPatienceUs) {
        if (lingers) {
            return;
        }
        if (busy) {
            if (answered && !written && now - activeUs >= UNREAD_US) {
                close(CloseReason.ANSWER_UNREAD);
            } else if (receiving && !answered && body != null) {
                lookAtBody(now);
            }
        } else if (ahead.isEmpty()) {
            boolean late = !proven
                    ? now - beganUs() >= firstPatienceUs && !isYoung()
                    : readingSinceUs != 0 && now - readingSinceUs >= patienceUs;
            if (late) {
                end(CloseReason.REQUEST_UNFINISHED);
            }
        }
    }

    /** Since when its peer, which has sent no whole request yet, is known to be there. */
    private long beganUs() {
        return firstBytesUs == 0 ? openedUs : firstBytesUs;
    }

    private void lookAtBody(long now) {
        if (asking != null) {
            return;
        }
        long stuckUs = body.stuckSince(now);
        if (body.full() || stuckUs > 0) {
            // It is not read: this time is not the client's.
            bodySinceUs = pieceUs = now;
            bodyBytes = 0;
            if (stuckUs > 0 && now - stuckUs >= STUCK_US) {
                abort();
                reject(HttpResponseStatus.BAD_GATEWAY);
            }
            return;
        }
        long sinceUs = now - bodySinceUs;
        boolean slow =
                sinceUs >= BODY_STARTS_US && bodyBytes < BODY_BYTES_PER_S * (sinceUs - BODY_STARTS_US) / 1_000_000 + 1;
        if (slow || now - pieceUs >= BODY_RESTS_US) {
            abort();
            end(CloseReason.BODY_TOO_SLOW);
        }
    }

    /** Ends the connection so that its client still gets what it has been answered; nothing may be waiting to be written. */
    void end(CloseReason reason) {
        if (lingers || answersFirst(reason)) {
            return;
        }
        if (!anyAnswer) {
            close(reason);
            return;
        }
        RequestLog.closes(channel, reason);
        lingers = true;
        input.discard();
        release();
        server.lingers(this);
        LingeringClose.begin(channel, Math.min(LingeringClose.MOST_US, server.openUntilUs() - clock.nowUs()));
    }

    /** A whole request that has no part of an answer yet gets one before its connection ends, which then follows on it. */
    private boolean answersFirst(CloseReason reason) {
        boolean owed =
                busy && !receiving && !answered && current != null && !current.state.isOver() && channel.isActive();
        if (owed) {
            guard.closesWith(current.request.id(), reason);
            last = true;
            abort();
            reject(HttpResponseStatus.BAD_GATEWAY);
        }
        return owed;
    }

    /** Whether the output has ended, and only the client's end is waited for. */
    boolean lingers() {
        return lingers;
    }

    /** Gives its descriptor back at once. */
    void close(CloseReason reason) {
        if (answersFirst(reason) || !guard.mayClose(isYoung() && !lingers, reason)) {
            return;
        }
        RequestLog.closes(channel, reason);
        channel.close();
    }

    /** While reads fail the client's end can't be seen: no attempt begins any more for what has been read whole. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == TcpConnection.ReadFailure.FOR_LONG && current != null && current.body.whole()) {
            requests.unwatched(current);
        }
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        for (Arrival a; (a = ahead.poll()) != null; ) {
            ReferenceCountUtil.release(a.part);
        }
        resume = null;
        release();
        abort();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            // A client that leaves, also within a request, is no fault.
            RequestLog.closes(channel, CloseReason.PEER_ENDED);
            ctx.close();
            return;
        }
        channel.history().recordFailure(ConnectionHistory.SocketOperation.HANDLER, cause);
        Log.error("a client's connection failed", cause);
        if (busy && !answered && current == null) {
            last = true;
            reject(HttpResponseStatus.INTERNAL_SERVER_ERROR);
        } else if (busy && answered && !written) {
            // Its answer is on its way, and the connection ends behind it.
            last = true;
        } else {
            close(CloseReason.FAILED);
        }
    }
}

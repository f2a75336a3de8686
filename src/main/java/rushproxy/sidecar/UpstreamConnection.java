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
 * One connection to an upstream: one call at a time, and what comes back told as its outcome. A short answer is kept
 * until it is whole; a longer one is passed on piece by piece once it has begun.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** How often an answer of unknown length, or one that is passed on, is looked at. */
    private static final long LOOK_US = 50_000;
    /** What is read of an answer that is not passed on, to keep its connection. */
    private static final int MOST_SKIPPED = 1 << 20;
    /** Room for an answer of unknown length at first. */
    private static final int FIRST_BYTES = 512;

    private final Budget budget;
    private final Clock clock;
    long idleSinceUs;
    private UpstreamCall call;
    private BiConsumer<UpstreamCall, Channel> release;
    /** The head of the call's answer; null until it has come. */
    private HttpResponse head;

    private Outcome outcome;
    /** What is kept of it; null where none is, or none any more. */
    private ByteBuf kept;

    private int reserved;
    private long skipped;
    private boolean passing;
    /** It is too long to be kept, or there is no room for it: it is passed on with its first bytes. */
    private boolean passesAtOnce;
    /** All of the answer has been read, and perhaps more. */
    private boolean whole;

    private boolean interim;
    private boolean gaveUp;
    /** Bytes read of the connection when it was last looked at. */
    private long readBefore;

    private Future<?> timer;
    /** Of the answer that is being read; null between answers. */
    private AnswerProgress progress;

    UpstreamConnection(Budget budget, Clock clock) {
        this.budget = budget;
        this.clock = clock;
    }

    void begin(UpstreamCall next, BiConsumer<UpstreamCall, Channel> whenFree) {
        call = next;
        release = whenFree;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (gaveUp) {
            // The rest of a read that was broken off.
            return;
        }
        if (part.decoderResult().isFailure()) {
            giveUp(ctx, CloseReason.NO_HTTP);
            return;
        }
        if (part instanceof HttpResponse response) {
            HttpResponseStatus status = response.status();
            interim = status.codeClass() == HttpStatusClass.INFORMATIONAL;
            if (status.equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                // Nobody asked for another protocol, and what follows is no HTTP.
                giveUp(ctx, CloseReason.NO_HTTP);
            } else if (!interim) {
                headed(ctx, response);
            }
        }
        if (part instanceof HttpContent content && !interim) {
            came(ctx, content.content());
            if (content instanceof LastHttpContent && !gaveUp) {
                whole = true;
            }
        }
    }

    private void headed(ChannelHandlerContext ctx, HttpResponse response) {
        Outcome told = outcome(response);
        if (call == null || head != null || told == Outcome.OK && !call.written()) {
            // Nobody asked, asked no more than once, or not yet all: what else comes here can't be told apart.
            giveUp(ctx, CloseReason.NOT_ASKED_FOR);
            return;
        }
        head = response;
        outcome = told;
        long length = HttpUtil.getContentLength(response, -1L);
        int most = (int) (length < 0 || length > Body.KEPT ? Body.KEPT : length);
        if (outcome != Outcome.OK) {
            return;
        }
        progress = new AnswerProgress(length, clock.nowUs());
        if (call.reportInBody()) {
            kept = Unpooled.buffer(length < 0 ? FIRST_BYTES : most);
            return;
        }
        if (length > Body.KEPT || !budget.take(most)) {
            // Passed on with its first bytes: until they come its request may still be answered otherwise.
            passesAtOnce = true;
            return;
        }
        reserved = most;
        kept = Unpooled.buffer(length < 0 ? FIRST_BYTES : most);
        if (length < 0) {
            timer = ctx.executor().schedule(() -> passIfItFlows(ctx), LOOK_US, TimeUnit.MICROSECONDS);
        }
    }

    private void came(ChannelHandlerContext ctx, ByteBuf piece) {
        if (head == null || whole || !piece.isReadable()) {
            return;
        }
        if (progress != null) {
            progress.moved(piece.readableBytes(), clock.nowUs());
        }
        if (passing) {
            give(ctx, piece);
        } else if (passesAtOnce) {
            passWith(ctx, piece);
        } else if (kept == null) {
            skipped += piece.readableBytes();
            if (skipped > MOST_SKIPPED) {
                giveUp(ctx, CloseReason.REMAINDER_TOO_LONG);
            }
        } else if (kept.readableBytes() + piece.readableBytes() <= Body.KEPT) {
            kept.writeBytes(piece);
        } else if (call.reportInBody()) {
            giveUp(ctx, CloseReason.REMAINDER_TOO_LONG);
        } else {
            passWith(ctx, piece);
        }
    }

    private void passWith(ChannelHandlerContext ctx, ByteBuf piece) {
        pass(ctx);
        if (passing) {
            give(ctx, piece);
        }
    }

    /** One that stands still is kept: for as long as nothing of it was passed on its request can be answered otherwise. */
    private void passIfItFlows(ChannelHandlerContext ctx) {
        if (call == null || head == null || whole || passing || kept == null) {
            return;
        }
        if (progress.flows(clock.nowUs())) {
            pass(ctx);
        } else {
            timer = ctx.executor().schedule(() -> passIfItFlows(ctx), LOOK_US, TimeUnit.MICROSECONDS);
        }
    }

    /** Nothing more is taken from here. */
    private void giveUp(ChannelHandlerContext ctx, CloseReason reason) {
        gaveUp = true;
        close(ctx, reason);
    }

    private static void close(ChannelHandlerContext ctx, CloseReason reason) {
        RequestLog.closes(ctx.channel(), reason);
        ctx.close();
    }

    /** From here on the answer is the client's. */
    private void pass(ChannelHandlerContext ctx) {
        long length = HttpUtil.getContentLength(head, -1L);
        ByteBuf first = kept;
        kept = null;
        if (!call.begins(length, () -> ctx.channel().config().setAutoRead(true))) {
            // Another attempt was faster, or the client has left: this one is answered, and nobody wants the rest.
            UpstreamCall current = call;
            call = null;
            settle();
            giveUp(ctx, CloseReason.NOT_WANTED);
            current.end(Outcome.OK, null, Unpooled.EMPTY_BUFFER);
            return;
        }
        passing = true;
        stopTimer();
        passesAtOnce = false;
        watch(ctx);
        if (first != null && first.isReadable()) {
            give(ctx, first);
        }
    }

    private void give(ChannelHandlerContext ctx, ByteBuf piece) {
        if (!call.piece(piece)) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    /** The deadline of an answer that is being passed on is watched here, up to its last byte. */
    private void watch(ChannelHandlerContext ctx) {
        long untilDueUs = call.untilUs() - clock.nowUs();
        long nextUs = untilDueUs > 0 ? Math.min(LOOK_US, untilDueUs) : LOOK_US;
        timer = ctx.executor().schedule(() -> lookIfStopped(ctx), nextUs, TimeUnit.MICROSECONDS);
    }

    private void lookIfStopped(ChannelHandlerContext ctx) {
        if (!passing) {
            return;
        }
        if (!stopped(ctx)) {
            watch(ctx);
            return;
        }
        AnswerProgress of = progress;
        // After a hold-up of the loop more of it may lie in the socket.
        SocketPolling.runAfterNextPoll((EventLoop) ctx.executor(), () -> {
            if (progress != of || !ctx.channel().isActive()) {
                return;
            }
            if (stopped(ctx)) {
                close(ctx, CloseReason.STALLED);
            } else {
                watch(ctx);
            }
        });
    }

    private boolean stopped(ChannelHandlerContext ctx) {
        long now = clock.nowUs();
        progress.heldBack(!ctx.channel().config().isAutoRead(), now);
        return progress.hasStopped(now, call.untilUs(), call.endUs());
    }

    /**
     * Only now is it known whether more came than the answer. The next call may begin as soon as this one has ended,
     * and would take what is left over for its own answer: a connection that brought more is closed first.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        long read = ((TcpConnection) ctx.channel()).history().readBytes();
        boolean any = read > readBefore;
        readBefore = read;
        if (!whole) {
            // A read that failed for a moment brought nothing.
            if (call == null && any) {
                close(ctx, CloseReason.NOT_ASKED_FOR);
            }
            return;
        }
        HttpResponse response = head;
        Outcome told = outcome;
        ByteBuf body = passing || kept == null ? Unpooled.EMPTY_BUFFER : kept;
        UpstreamCall current = call;
        call = null;
        settle();
        if (HttpUtil.isKeepAlive(response)
                && ctx.pipeline().get(AnswerDecoder.class).betweenAnswers()) {
            ctx.channel().config().setAutoRead(true);
            release.accept(current, ctx.channel());
        } else {
            close(ctx, CloseReason.NOT_KEPT_ALIVE);
        }
        LoadReport report = LoadReports.read(
                current.reportInBody()
                        ? body.toString(StandardCharsets.UTF_8)
                        : response.headers().get(Headers.LOAD));
        current.end(told, report, told == Outcome.OK ? body : null);
    }

    /** Nothing of an answer is held any more. */
    private void settle() {
        head = null;
        kept = null;
        passing = whole = passesAtOnce = false;
        progress = null;
        skipped = 0;
        stopTimer();
        int back = reserved;
        reserved = 0;
        budget.give(back);
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
            call.writable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (whole) {
            // Closed within the read that brought it: by a second answer, after which the first still stands.
            channelReadComplete(ctx);
        }
        broke();
    }

    /** No HTTP, or a connection that broke: in each case the call is over, and what has come of an answer without a
     * length is not the whole of it. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        whole = false;
        close(ctx, cause instanceof IOException ? CloseReason.PEER_ENDED : CloseReason.FAILED);
        broke();
    }

    private void broke() {
        UpstreamCall current = call;
        call = null;
        settle();
        if (current != null) {
            current.broke();
        }
    }
}

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * What a client sends, between its socket and the decoder. While the decoder is to take nothing the socket is read all the
 * same, up to a bound, since a client's end lies behind its bytes: nothing may be begun for a client that has gone. Where
 * the bound is met reading stops, and {@link Listener#unwatched} says so in time.
 */
final class ClientInput extends ChannelInboundHandlerAdapter {
    /** Bytes of one connection that wait for the decoder; over all connections they come out of the {@link Budget}. */
    static final int MOST_KEPT = 64 * 1024;
    /** An attempt may begin 100 ms after its client's end; that is not seen while nothing is read. */
    static final long UNWATCHED_MS = 80;
    /** What lies in the kernel is read without such a gap. */
    private static final long PAUSE_US = 5_000;
    /** Each head has it in its first line. */
    private static final ByteBuf VERSION =
            Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer("HTTP/1.".getBytes(StandardCharsets.US_ASCII))
                    .asReadOnly());

    interface Listener {
        /** Bytes come that may have lain there since {@code sentUs}. */
        void arrived(long sentUs);

        /** For another 80 ms nothing could be read: whether the client is still there can't be known. */
        void unwatched();
    }

    private record Kept(ByteBuf bytes, long sentUs) {}

    private final Clock clock;
    private final EventLoopDelay loopDelay;
    private final Budget budget;
    private final Listener listener;
    private final long openedUs;
    private final ArrayDeque<Kept> kept = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private int keptBytes;
    /** Since when what is read may have lain there. */
    private long sentUs;
    /** What is read without a pause may have lain there since then, nothing having been read meanwhile; 0 otherwise. */
    private long unreadSinceUs;

    private long readAtUs;
    /** The socket was found empty after this: what is read from then on has come since. */
    private long emptySinceUs;

    private int reads;
    /** What was read last had lain in the kernel, and more of it may lie there. */
    private boolean lay;

    private boolean held;
    private boolean paused;
    /** No more may be kept until the decoder has taken what is. */
    private boolean full;
    /** Counts the times at which it became full, for the looks that follow each. */
    private int fills;

    private boolean passing;
    /** Nothing is read any more. */
    private boolean stopped;

    ClientInput(Clock clock, EventLoopDelay loopDelay, Budget budget, Listener listener) {
        this.clock = clock;
        this.loopDelay = loopDelay;
        this.budget = budget;
        this.listener = listener;
        openedUs = clock.nowUs();
        sentUs = openedUs - loopDelay.heartbeatLagUs(openedUs);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        if (ctx.channel() instanceof TcpConnection connection) {
            connection.measureDataAgeIf(this::mayBeOld);
        }
    }

    /** What is read next may have lain in the kernel: before the connection was accepted, in a hold-up, or while nothing was read. */
    private boolean mayBeOld() {
        return readAtUs == 0 || lay || loopDelay.heartbeatLagUs(clock.nowUs()) >= EventLoopDelay.STALL_THRESHOLD_US;
    }

    /**
     * How long ago the last byte of it came; {@link TcpInfo#UNKNOWN} where the kernel does not tell, and where it may hold several requests,
     * of which the first is older.
     */
    private static long receivedAgoUs(ChannelHandlerContext ctx, ByteBuf bytes) {
        long agoUs =
                ctx.channel() instanceof TcpConnection connection ? connection.sinceLastReceiveUs() : TcpInfo.UNKNOWN;
        return agoUs == TcpInfo.UNKNOWN || mayHoldSeveral(bytes) ? TcpInfo.UNKNOWN : agoUs;
    }

    private static boolean mayHoldSeveral(ByteBuf bytes) {
        ByteBuf all = bytes.slice();
        int first = ByteBufUtil.indexOf(VERSION, all);
        if (first < 0) {
            return false;
        }
        ByteBuf rest = all.skipBytes(first + VERSION.readableBytes()).slice();
        return ByteBufUtil.indexOf(VERSION, rest) >= 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        long now = clock.nowUs();
        // What comes with a new connection is read a turn of the loop later, and may be as old as that.
        if (now - openedUs >= EventLoopDelay.HEARTBEAT_INTERVAL_US) {
            sentUs = now - loopDelay.heartbeatLagUs(now);
        }
        if (readAtUs > 0 && now - readAtUs >= PAUSE_US) {
            unreadSinceUs = 0;
        }
        readAtUs = now;
        ByteBuf bytes = (ByteBuf) message;
        long agoUs = receivedAgoUs(ctx, bytes);
        if (agoUs != TcpInfo.UNKNOWN) {
            sentUs = now - agoUs;
            lay = agoUs >= EventLoopDelay.STALL_THRESHOLD_US;
        }
        if (unreadSinceUs > 0) {
            sentUs = Math.min(sentUs, unreadSinceUs);
        }
        sentUs = Math.max(sentUs, emptySinceUs);
        lookIfEmpty(now);
        if (held || paused || passing || !kept.isEmpty()) {
            keep(bytes);
        } else {
            pass(new Kept(bytes, sentUs));
        }
    }

    /**
     * After a hold-up what is read counts as old as that. But what comes after all of it has been read is new, and its client has all
     * of its time.
     */
    private void lookIfEmpty(long now) {
        int read = ++reads;
        if (now - sentUs < EventLoopDelay.STALL_THRESHOLD_US) {
            return;
        }
        SocketPolling.runAfterNextPoll((EventLoop) context.executor(), () -> {
            if (read == reads && context.channel() instanceof TcpConnection connection && connection.isReading()) {
                emptySinceUs = now;
                lay = false;
            }
        });
    }

    /** What is read from now on, up to the first pause, may have lain there since then. */
    void unreadSince(long us) {
        unreadSinceUs = us;
        readAtUs = 0;
    }

    private void keep(ByteBuf bytes) {
        kept.add(new Kept(bytes, sentUs));
        // What has been read is kept whatever the bound says: it can be given back to nobody.
        boolean granted = budget.take(bytes.capacity());
        keptBytes += granted ? bytes.capacity() : 0;
        if (!granted || keptBytes >= MOST_KEPT) {
            full = true;
            tellIfStillFull(++fills);
            look();
        }
    }

    /** Again and again: what the listener could do nothing about at one time it may at the next, for another request. */
    private void tellIfStillFull(int fill) {
        context.executor()
                .schedule(
                        () -> {
                            if (full
                                    && fill == fills
                                    && !stopped
                                    && context.channel().isActive()) {
                                tellIfStillFull(fill);
                                listener.unwatched();
                            }
                        },
                        UNWATCHED_MS,
                        TimeUnit.MILLISECONDS);
    }

    private void pass(Kept next) {
        passing = true;
        try {
            listener.arrived(next.sentUs);
            context.fireChannelRead(next.bytes);
        } finally {
            passing = false;
        }
    }

    /**
     * {@code hold}: the decoder takes nothing, and what comes is kept for it. {@code pause}: nothing is read. What is kept
     * goes to the decoder once neither holds.
     */
    void regulate(boolean hold, boolean pause) {
        held = hold;
        paused = pause;
        if (!passing) {
            release();
        } else if (!kept.isEmpty()) {
            context.executor().execute(this::release);
        }
    }

    private void release() {
        boolean any = !kept.isEmpty();
        while (!held && !paused && !kept.isEmpty()) {
            pass(kept.poll());
        }
        if (any && kept.isEmpty()) {
            giveBack();
            full = false;
            context.fireChannelReadComplete();
        }
        look();
    }

    private void look() {
        context.channel().config().setAutoRead(!paused && !full && !stopped);
    }

    /** What is kept is the last of it: nothing more is read. */
    void stop() {
        stopped = true;
        look();
    }

    /** Whether anything waits for the decoder. */
    boolean isEmpty() {
        return kept.isEmpty();
    }

    private void giveBack() {
        int back = keptBytes;
        keptBytes = 0;
        if (back > 0) {
            budget.give(back);
        }
    }

    /** What waits is nobody's any more. */
    void discard() {
        for (Kept k; (k = kept.poll()) != null; ) {
            k.bytes.release();
        }
        giveBack();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        discard();
        ctx.fireChannelInactive();
    }
}

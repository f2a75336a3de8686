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
 * the bound is met reading stops, and {@link Listener#onDisconnectUndetectable} says so in time.
 */
final class ClientInput extends ChannelInboundHandlerAdapter {
    /** Bytes of one connection that wait for the decoder; over all connections they come out of the {@link MemoryBudget}. */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /** An attempt may begin 100 ms after its client's end; that is not seen while nothing is read. */
    static final long MAX_UNREAD_MS = 80;
    /** What lies in the kernel is read without such a gap. */
    private static final long READ_PAUSE_US = 5_000;
    /** Each head has it in its first line. */
    private static final ByteBuf HTTP_VERSION_PREFIX =
            Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer("HTTP/1.".getBytes(StandardCharsets.US_ASCII))
                    .asReadOnly());

    interface Listener {
        /** Bytes come that may have lain there since {@code sentUs}. */
        void onBytes(long sentUs);

        /** For another 80 ms nothing could be read: whether the client is still there can't be known. */
        void onDisconnectUndetectable();
    }

    private record BufferedRead(ByteBuf bytes, long sentUs) {}

    private final Clock clock;
    private final LoopDelay loopDelay;
    private final MemoryBudget memoryBudget;
    private final Listener listener;
    private final long openedUs;
    private final ArrayDeque<BufferedRead> buffered = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private int reservedBytes;
    /** Since when what is read may have lain there. */
    private long sentUs;
    /** What is read without a pause may have lain there since then, nothing having been read meanwhile; 0 otherwise. */
    private long unreadSinceUs;

    private long lastReadUs;
    /** The socket was found empty after this: what is read from then on has come since. */
    private long emptySinceUs;

    private int readCount;
    /** What was read last had lain in the kernel, and more of it may lie there. */
    private boolean readWasDelayed;

    private boolean held;
    private boolean paused;
    /** No more may be kept until the decoder has taken what is. */
    private boolean full;
    /** Counts the times at which it became full, for the looks that follow each. */
    private int fillCount;

    private boolean passing;
    /** Nothing is read any more. */
    private boolean stopped;

    ClientInput(Clock clock, LoopDelay loopDelay, MemoryBudget budget, Listener listener) {
        this.clock = clock;
        this.loopDelay = loopDelay;
        this.memoryBudget = budget;
        this.listener = listener;
        openedUs = clock.now();
        sentUs = openedUs - loopDelay.behindUs(openedUs);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        if (ctx.channel() instanceof TcpConnection connection) {
            connection.tellsAgeIf(this::mayBeDelayed);
        }
    }

    /** What is read next may have lain in the kernel: before the connection was accepted, in a hold-up, or while nothing was read. */
    private boolean mayBeDelayed() {
        return lastReadUs == 0 || readWasDelayed || loopDelay.behindUs(clock.now()) >= LoopDelay.LATE_US;
    }

    /**
     * How long ago the last byte of it came; {@link TcpInfo#UNKNOWN} where the kernel does not tell, and where it may hold several requests,
     * of which the first is older.
     */
    private static long receivedAgoUs(ChannelHandlerContext ctx, ByteBuf bytes) {
        long agoUs =
                ctx.channel() instanceof TcpConnection connection ? connection.lastReceivedAgoUs() : TcpInfo.UNKNOWN;
        return agoUs == TcpInfo.UNKNOWN || mayHoldSeveralRequests(bytes) ? TcpInfo.UNKNOWN : agoUs;
    }

    private static boolean mayHoldSeveralRequests(ByteBuf bytes) {
        ByteBuf all = bytes.slice();
        int first = ByteBufUtil.indexOf(HTTP_VERSION_PREFIX, all);
        if (first < 0) {
            return false;
        }
        ByteBuf rest =
                all.skipBytes(first + HTTP_VERSION_PREFIX.readableBytes()).slice();
        return ByteBufUtil.indexOf(HTTP_VERSION_PREFIX, rest) >= 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        long now = clock.now();
        // What comes with a new connection is read a turn of the loop later, and may be as old as that.
        if (now - openedUs >= LoopDelay.BEAT_US) {
            sentUs = now - loopDelay.behindUs(now);
        }
        if (lastReadUs > 0 && now - lastReadUs >= READ_PAUSE_US) {
            unreadSinceUs = 0;
        }
        lastReadUs = now;
        ByteBuf bytes = (ByteBuf) message;
        long agoUs = receivedAgoUs(ctx, bytes);
        if (agoUs != TcpInfo.UNKNOWN) {
            sentUs = now - agoUs;
            readWasDelayed = agoUs >= LoopDelay.LATE_US;
        }
        if (unreadSinceUs > 0) {
            sentUs = Math.min(sentUs, unreadSinceUs);
        }
        sentUs = Math.max(sentUs, emptySinceUs);
        checkSocketEmpty(now);
        if (held || paused || passing || !buffered.isEmpty()) {
            buffer(bytes);
        } else {
            passOn(new BufferedRead(bytes, sentUs));
        }
    }

    /**
     * After a hold-up what is read counts as old as that. But what comes after all of it has been read is new, and its client has all
     * of its time.
     */
    private void checkSocketEmpty(long now) {
        int read = ++readCount;
        if (now - sentUs < LoopDelay.LATE_US) {
            return;
        }
        SocketLook.before((EventLoop) context.executor(), () -> {
            if (read == readCount && context.channel() instanceof TcpConnection connection && connection.reads()) {
                emptySinceUs = now;
                readWasDelayed = false;
            }
        });
    }

    /** What is read from now on, up to the first pause, may have lain there since then. */
    void setUnreadSince(long us) {
        unreadSinceUs = us;
        lastReadUs = 0;
    }

    private void buffer(ByteBuf bytes) {
        buffered.add(new BufferedRead(bytes, sentUs));
        // What has been read is kept whatever the bound says: it can be given back to nobody.
        boolean granted = memoryBudget.tryReserve(bytes.capacity());
        reservedBytes += granted ? bytes.capacity() : 0;
        if (!granted || reservedBytes >= MAX_BUFFERED_BYTES) {
            full = true;
            scheduleFullNotice(++fillCount);
            updateAutoRead();
        }
    }

    /** Again and again: what the listener could do nothing about at one time it may at the next, for another request. */
    private void scheduleFullNotice(int fill) {
        context.executor()
                .schedule(
                        () -> {
                            if (full
                                    && fill == fillCount
                                    && !stopped
                                    && context.channel().isActive()) {
                                scheduleFullNotice(fill);
                                listener.onDisconnectUndetectable();
                            }
                        },
                        MAX_UNREAD_MS,
                        TimeUnit.MILLISECONDS);
    }

    private void passOn(BufferedRead next) {
        passing = true;
        try {
            listener.onBytes(next.sentUs);
            context.fireChannelRead(next.bytes);
        } finally {
            passing = false;
        }
    }

    /**
     * {@code hold}: the decoder takes nothing, and what comes is kept for it. {@code pause}: nothing is read. What is kept
     * goes to the decoder once neither holds.
     */
    void setFlow(boolean hold, boolean pause) {
        held = hold;
        paused = pause;
        if (!passing) {
            passBuffered();
        } else if (!buffered.isEmpty()) {
            context.executor().execute(this::passBuffered);
        }
    }

    private void passBuffered() {
        boolean any = !buffered.isEmpty();
        while (!held && !paused && !buffered.isEmpty()) {
            passOn(buffered.poll());
        }
        if (any && buffered.isEmpty()) {
            releaseMemory();
            full = false;
            context.fireChannelReadComplete();
        }
        updateAutoRead();
    }

    private void updateAutoRead() {
        context.channel().config().setAutoRead(!paused && !full && !stopped);
    }

    /** What is kept is the last of it: nothing more is read. */
    void stopReading() {
        stopped = true;
        updateAutoRead();
    }

    /** Whether anything waits for the decoder. */
    boolean isEmpty() {
        return buffered.isEmpty();
    }

    private void releaseMemory() {
        int back = reservedBytes;
        reservedBytes = 0;
        if (back > 0) {
            memoryBudget.release(back);
        }
    }

    /** What waits is nobody's any more. */
    void discard() {
        for (BufferedRead k; (k = buffered.poll()) != null; ) {
            k.bytes.release();
        }
        releaseMemory();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        discard();
        ctx.fireChannelInactive();
    }
}

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * Buffers a client's input between its socket and the decoder. While the decoder accepts nothing the socket is still
 * read, up to a limit, because a disconnect is only seen behind all bytes before it, and no attempt may start for a
 * client that has left. At the limit reading stops, and {@link Listener#onDisconnectUndetectable} reports that.
 */
final class ClientInput extends ChannelInboundHandlerAdapter {
    /**
     * Maximum buffered bytes of one connection; the total over all connections is limited by the {@link MemoryBudget}.
     */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /** How long reading may stop before it is reported. An attempt may start up to 100 ms after the client has left. */
    static final long MAX_UNREAD_MS = 80;
    /** A gap this long between reads means that the kernel's receive buffer was empty in between. */
    private static final long READ_PAUSE_US = 5_000;
    /** Occurs in the first line of every request head. */
    private static final byte[] HTTP_VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    /** Bytes with more letters that could begin the version than this are not searched to their end. */
    private static final int MAX_VERSION_CANDIDATES = 64;

    interface Listener {
        /** Called before bytes are passed on; the client may have sent them as early as {@code sentUs}. */
        void onBytes(long sentUs);

        /**
         * Called every {@link #MAX_UNREAD_MS} while the socket can't be read, so that a disconnect can't be detected.
         */
        void onDisconnectUndetectable();
    }

    /** What the objects of one buffered read take beside its bytes. */
    private static final int READ_OVERHEAD_BYTES = 160;

    private record BufferedRead(ByteBuf bytes, long sentUs) {}

    private final Clock clock;
    private final EventLoopDelay loopDelay;
    private final MemoryBudget memoryBudget;
    /** Wraps tasks so that one that fails closes the connection. */
    private final UnaryOperator<Runnable> guarded;

    private final Listener listener;
    private final long openedUs;
    private final ArrayDeque<BufferedRead> buffered = new ArrayDeque<>();
    private ChannelHandlerContext context;
    /** What is counted for the reads that are buffered, until all have been passed on. */
    private int bufferedCost;
    /** Earliest time at which the bytes being read may have been sent. */
    private long sentUs;
    /** Start of a period without reads; bytes read from then on without a pause may be as old. 0 if there is none. */
    private long unreadSinceUs;

    private long lastReadUs;
    /** When the socket was last found empty: bytes read later arrived later. */
    private long emptySinceUs;

    private int readCount;
    /** Whether the last read was delayed in the kernel, and more of the same age may follow. */
    private boolean readWasDelayed;

    /** Whether the decoder accepts nothing for now. */
    private boolean decoderHeld;
    /** Whether the socket is not to be read for now. */
    private boolean readPaused;
    /** Whether the buffer is full until the decoder has accepted all of it. */
    private boolean full;
    /** Counts how often the buffer became full, to tell stale notices apart. */
    private int fillCount;

    private boolean passing;
    /** Whether reading has stopped for good. */
    private boolean stopped;

    ClientInput(
            Clock clock,
            EventLoopDelay loopDelay,
            MemoryBudget memoryBudget,
            UnaryOperator<Runnable> guarded,
            Listener listener) {
        this.guarded = guarded;
        this.clock = clock;
        this.loopDelay = loopDelay;
        this.memoryBudget = memoryBudget;
        this.listener = listener;
        openedUs = clock.nowUs();
        sentUs = openedUs - loopDelay.heartbeatLagUs(openedUs);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        if (ctx.channel() instanceof TcpConnection connection) {
            connection.measureDataAgeIf(this::mayBeDelayed);
        }
    }

    /**
     * Whether the next read may be delayed: before the first read, after a delay of the event loop, or after a delayed
     * read.
     */
    private boolean mayBeDelayed() {
        return lastReadUs == 0
                || readWasDelayed
                || loopDelay.heartbeatLagUs(clock.nowUs()) >= EventLoopDelay.STALL_THRESHOLD_US;
    }

    /**
     * How long ago the last of these bytes was received. {@link TcpInfo#UNKNOWN} if the kernel can't tell, or if there
     * may be several requests, of which the first is older.
     */
    private static long receivedAgoUs(ChannelHandlerContext ctx, ByteBuf bytes) {
        long agoUs =
                ctx.channel() instanceof TcpConnection connection ? connection.sinceLastReceiveUs() : TcpInfo.UNKNOWN;
        return agoUs == TcpInfo.UNKNOWN || mayHoldSeveralRequests(bytes) ? TcpInfo.UNKNOWN : agoUs;
    }

    /**
     * Whether the bytes may hold the first lines of two requests. Costs little for each byte, since every read of a body passes here
     * while the loop is late, and would make it later.
     */
    static boolean mayHoldSeveralRequests(ByteBuf bytes) {
        int requests = 0;
        int candidates = 0;
        int end = bytes.writerIndex();
        for (int from = bytes.readerIndex();
                (from = bytes.indexOf(from, end, HTTP_VERSION_PREFIX[0])) >= 0;
                from++, candidates++) {
            if (candidates >= MAX_VERSION_CANDIDATES || startsWithVersion(bytes, from, end) && ++requests > 1) {
                return true;
            }
        }
        return false;
    }

    private static boolean startsWithVersion(ByteBuf bytes, int from, int end) {
        if (end - from < HTTP_VERSION_PREFIX.length) {
            return false;
        }
        for (int i = 1; i < HTTP_VERSION_PREFIX.length; i++) {
            if (bytes.getByte(from + i) != HTTP_VERSION_PREFIX[i]) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        long now = clock.nowUs();
        // The first bytes of a new connection are read one loop iteration after the accept, and keep the age determined
        // then.
        if (now - openedUs >= EventLoopDelay.HEARTBEAT_INTERVAL_US) {
            sentUs = now - loopDelay.heartbeatLagUs(now);
        }
        if (lastReadUs > 0 && now - lastReadUs >= READ_PAUSE_US) {
            unreadSinceUs = 0;
        }
        lastReadUs = now;
        ByteBuf bytes = (ByteBuf) message;
        long agoUs = receivedAgoUs(ctx, bytes);
        if (agoUs != TcpInfo.UNKNOWN) {
            sentUs = now - agoUs;
            readWasDelayed = agoUs >= EventLoopDelay.STALL_THRESHOLD_US;
        }
        if (unreadSinceUs > 0) {
            sentUs = Math.min(sentUs, unreadSinceUs);
        }
        sentUs = Math.max(sentUs, emptySinceUs);
        checkSocketEmpty(now);
        if (decoderHeld || readPaused || passing || !buffered.isEmpty()) {
            buffer(bytes);
        } else {
            passOn(new BufferedRead(bytes, sentUs));
        }
    }

    /**
     * After a delay of the event loop, bytes count as being as old as the delay. Once the socket has been found empty
     * later bytes are new, and their request has its full time.
     */
    private void checkSocketEmpty(long now) {
        int readNumber = ++readCount;
        if (now - sentUs < EventLoopDelay.STALL_THRESHOLD_US) {
            return;
        }
        SocketPolling.runAfterNextPoll((EventLoop) context.executor(), () -> {
            if (readNumber == readCount
                    && context.channel() instanceof TcpConnection connection
                    && connection.isReading()) {
                emptySinceUs = now;
                readWasDelayed = false;
            }
        });
    }

    /** Bytes read from now on, up to the first pause, may have been sent as early as {@code sinceUs}. */
    void setUnreadSince(long sinceUs) {
        unreadSinceUs = sinceUs;
        lastReadUs = 0;
    }

    private void buffer(ByteBuf bytes) {
        // In a buffer of its size, so that the larger one that it was read into is not kept for it.
        int cost = bytes.readableBytes() + READ_OVERHEAD_BYTES;
        boolean hasMemory = memoryBudget.tryReserve(cost);
        if (!hasMemory) {
            // It has been read already.
            memoryBudget.take(cost);
        }
        ReservedBuffer copy = ReservedBuffer.withReserved(memoryBudget, cost);
        buffered.add(new BufferedRead(copy.writeBytes(bytes), sentUs));
        bytes.release();
        bufferedCost += cost;
        if (!hasMemory || bufferedCost >= MAX_BUFFERED_BYTES) {
            full = true;
            scheduleFullNotice(++fillCount);
            updateAutoRead();
        }
    }

    /** Repeats the notice, since the listener may be able to act on it later, for another request. */
    private void scheduleFullNotice(int number) {
        Runnable notice = () -> {
            if (full && number == fillCount && !stopped && context.channel().isActive()) {
                scheduleFullNotice(number);
                listener.onDisconnectUndetectable();
            }
        };
        context.executor().schedule(guarded.apply(notice), MAX_UNREAD_MS, TimeUnit.MILLISECONDS);
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
     * Controls the flow. {@code hold}: buffer everything, pass nothing to the decoder. {@code pause}: don't read the
     * socket. Buffered bytes are passed on once neither is set.
     */
    void setFlow(boolean hold, boolean pause) {
        if (readPaused && !pause) {
            // What is read next may have lain in the kernel for as long; its age is measured.
            lastReadUs = 0;
        }
        decoderHeld = hold;
        readPaused = pause;
        if (!passing) {
            passBuffered();
        } else {
            if (!buffered.isEmpty()) {
                context.executor().execute(guarded.apply(this::passBuffered));
            }
            updateAutoRead();
        }
    }

    private void passBuffered() {
        boolean hadBuffered = !buffered.isEmpty();
        while (!decoderHeld && !readPaused && !buffered.isEmpty()) {
            passOn(buffered.poll());
        }
        if (hadBuffered && buffered.isEmpty()) {
            bufferedCost = 0;
            full = false;
            context.fireChannelReadComplete();
        }
        updateAutoRead();
    }

    private void updateAutoRead() {
        context.channel().config().setAutoRead(!readPaused && !full && !stopped);
    }

    /** Stops reading for good; what is buffered is still passed on. */
    void stopReading() {
        stopped = true;
        updateAutoRead();
    }

    /** Whether nothing is buffered. */
    boolean isEmpty() {
        return buffered.isEmpty();
    }

    /** How many bytes are buffered. */
    int bufferedBytes() {
        return buffered.stream().mapToInt(read -> read.bytes.readableBytes()).sum();
    }

    /** Discards everything that is buffered. */
    void discard() {
        for (BufferedRead read; (read = buffered.poll()) != null; ) {
            read.bytes.release();
        }
        bufferedCost = 0;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        discard();
        ctx.fireChannelInactive();
    }
}

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Limits what all messages that pass through in parts take outside the heap: what was read of a message and not yet taken by the socket
 * of its receiver. The more messages there are, the less each may take.
 */
final class StreamBuffers {
    static final int MAX_READ_BYTES = 16 * 1024;
    private static final int MIN_READ_BYTES = 1024;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int SMALLEST_READ_BYTES = 256;
    private static final int MAX_WRITE_BYTES = 32 * 1024;
    private static final int MIN_WRITE_BYTES = 2 * 1024;
    /** A read that came last may exceed the write limit by its size. */
    private static final int READ_SHARE = 3;
    /** While more memory is taken than there is: what is read may have to be kept, and nothing was reserved for it. */
    private static final int SHORT_READ_BYTES = 4 * 1024;
    /** One read a turn of the loop, so that a fast sender does not keep others waiting. */
    private static final int READS_PER_TURN = 1;

    private final long limitBytes;
    /** Whether more memory is taken for bodies than there is. */
    private final BooleanSupplier isMemoryOverdrawn;
    /** The connections of receivers. */
    private final Set<Channel> receivers = new HashSet<>();

    private final ChannelFutureListener endOnClose = closed -> end(closed.channel());

    private int readBytes = MAX_READ_BYTES;
    private int writeBytes = MAX_WRITE_BYTES;

    StreamBuffers(long limitBytes, BooleanSupplier isMemoryOverdrawn) {
        this.limitBytes = limitBytes;
        this.isMemoryOverdrawn = isMemoryOverdrawn;
    }

    /** Sizes of reads, on whichever connection. */
    RecvByteBufAllocator readAllocator() {
        return new BoundedReadAllocator();
    }

    /** Limits the reads of one connection, until the next call. */
    static void limitReads(Channel channel, int bytes) {
        if (channel.unsafe().recvBufAllocHandle() instanceof BoundedHandle handle) {
            handle.maxBytes = bytes;
        }
    }

    /** How many messages pass through. */
    int count() {
        return receivers.size();
    }

    /** A message is passed to this connection from now on. */
    void begin(Channel receiver) {
        if (receivers.add(receiver)) {
            receiver.closeFuture().addListener(endOnClose);
            adapt();
            limit(receiver);
        }
    }

    /** The message has ended. */
    void end(Channel receiver) {
        if (receivers.remove(receiver)) {
            receiver.closeFuture().removeListener(endOnClose);
            adapt();
        }
    }

    private void adapt() {
        long share = limitBytes / Math.max(1, receivers.size());
        int step = Integer.highestOneBit((int) Math.min(share, MAX_READ_BYTES + MAX_WRITE_BYTES));
        int newReadBytes = Math.max(MIN_READ_BYTES, Math.min(MAX_READ_BYTES, step / READ_SHARE));
        int newWriteBytes = Math.max(MIN_WRITE_BYTES, Math.min(MAX_WRITE_BYTES, step - newReadBytes));
        if (newReadBytes != readBytes || newWriteBytes != writeBytes) {
            readBytes = newReadBytes;
            writeBytes = newWriteBytes;
            receivers.forEach(this::limit);
        }
    }

    private void limit(Channel receiver) {
        receiver.config().setWriteBufferWaterMark(new WriteBufferWaterMark(writeBytes / 2, writeBytes));
    }

    private final class BoundedReadAllocator extends AdaptiveRecvByteBufAllocator {
        BoundedReadAllocator() {
            super(SMALLEST_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
            maxMessagesPerRead(READS_PER_TURN);
        }

        @Override
        public Handle newHandle() {
            return new BoundedHandle(super.newHandle());
        }
    }

    private final class BoundedHandle extends RecvByteBufAllocator.DelegatingHandle {
        private int maxBytes = MAX_READ_BYTES;

        BoundedHandle(RecvByteBufAllocator.Handle delegate) {
            super(delegate);
        }

        @Override
        public int guess() {
            int limit = isMemoryOverdrawn.getAsBoolean() ? Math.min(SHORT_READ_BYTES, readBytes) : readBytes;
            return Math.min(super.guess(), Math.min(limit, maxBytes));
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }
    }
}

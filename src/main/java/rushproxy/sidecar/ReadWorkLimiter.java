package rushproxy.sidecar;

import io.netty.channel.Channel;

/**
 * Limits how much one client's reads make the event loop decode in a turn. A body in chunks of a few bytes costs many times its bytes: while
 * a read brings more parts than others may wait for, the reads that follow it are small, and the rest stays in the kernel.
 */
final class ReadWorkLimiter {
    /** Decoding as many takes well under a millisecond. */
    private static final int MAX_PARTS_PER_READ = 64;

    private static final int SMALL_READ_BYTES = 512;

    private final Channel channel;
    private int parts;
    private boolean isLimited;

    ReadWorkLimiter(Channel channel) {
        this.channel = channel;
    }

    /** A read is about to be decoded. */
    void beginRead() {
        boolean hadTooMany = parts > MAX_PARTS_PER_READ;
        parts = 0;
        if (hadTooMany != isLimited) {
            isLimited = hadTooMany;
            StreamBuffers.limitReads(channel, isLimited ? SMALL_READ_BYTES : StreamBuffers.MAX_READ_BYTES);
        }
    }

    /** A part of a message has been decoded. */
    void recordPart() {
        parts++;
    }
}

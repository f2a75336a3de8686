package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * The body of a request. Up to {@link #MAX_KEPT_BYTES} are kept so that another attempt can send them again. A longer
 * body is streamed to the connection of one attempt as fast as that accepts it, and can't be sent again.
 */
final class RequestBody {
    static final int MAX_KEPT_BYTES = 64 * 1024;
    /** Initial buffer size for a chunked body. */
    private static final int INITIAL_BUFFER_BYTES = 512;

    /** The stated length; -1 for a chunked body. */
    final long length;
    /** Runs whenever more or less of the body may be read from the client. */
    private final Runnable onFlowChange;

    private ByteBuf kept;
    private boolean complete;
    /** The connection that the body is streamed to; null if it is not. */
    private Channel target;

    private Runnable onWritten;
    private long blockedSinceUs;

    RequestBody(Runnable regulate, long length) {
        this.onFlowChange = regulate;
        this.length = length;
        kept = length == 0
                ? Unpooled.EMPTY_BUFFER
                : Unpooled.buffer((int) (length < 0 ? INITIAL_BUFFER_BYTES : Math.min(length, MAX_KEPT_BYTES)));
    }

    /** Maximum number of bytes that are kept. */
    int maxKeptBytes() {
        return (int) (length < 0 ? MAX_KEPT_BYTES : Math.min(length, MAX_KEPT_BYTES));
    }

    void append(ByteBuf part) {
        if (target != null) {
            target.writeAndFlush(new DefaultHttpContent(part.retain()))
                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        } else if (kept != null) {
            kept.writeBytes(part);
        }
        updateFlow();
    }

    void finish() {
        complete = true;
        if (target != null) {
            Runnable whenWritten = onWritten;
            target.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener((io.netty.channel.ChannelFuture f) -> {
                if (f.isSuccess()) {
                    whenWritten.run();
                } else {
                    f.channel().close();
                }
            });
        }
        updateFlow();
    }

    /** Whether all of it has arrived. */
    boolean isComplete() {
        return complete;
    }

    /** Whether reading stops until an attempt starts to stream it. */
    boolean isFull() {
        return !complete && kept != null && kept.readableBytes() >= MAX_KEPT_BYTES;
    }

    /** Whether it is still kept from its first byte on, so that another attempt can send it. */
    boolean isReplayable() {
        return kept != null;
    }

    /** The whole body, for one of possibly several attempts. */
    ByteBuf copy() {
        return kept.retainedDuplicate();
    }

    /**
     * Streams what has arrived and what follows to this connection. {@code whenWritten} runs when the last byte is
     * written.
     */
    void streamTo(Channel upstream, Runnable whenWritten) {
        target = upstream;
        onWritten = whenWritten;
        ByteBuf bytes = kept;
        kept = null;
        target.writeAndFlush(new DefaultHttpContent(bytes)).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        updateFlow();
    }

    /** Discards the body, including what still arrives, since its attempt or request is over. */
    void discard() {
        target = null;
        kept = null;
        updateFlow();
    }

    /**
     * Re-evaluates whether the client is read: while its body can be stored or sent, and once it is complete, to detect
     * a disconnect.
     */
    void updateFlow() {
        if (!isBlocked()) {
            blockedSinceUs = 0;
        }
        onFlowChange.run();
    }

    /** Whether the upstream accepts no more of it for now. */
    boolean isBlocked() {
        return target != null && !complete && !target.isWritable();
    }

    /** Since when the upstream has accepted nothing; 0 if it does. If it has just stopped this records {@code now}. */
    long blockedSinceUs(long now) {
        if (blockedSinceUs == 0 && isBlocked()) {
            blockedSinceUs = now;
        }
        return blockedSinceUs;
    }
}

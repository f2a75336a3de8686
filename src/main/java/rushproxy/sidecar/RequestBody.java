package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * What a client sends with its request. Up to {@link #MAX_KEPT_BYTES} bytes are kept, for another attempt; what grows past that
 * flows on to the connection of one attempt as it comes, as fast as that takes it, and can't be sent again.
 */
final class RequestBody {
    static final int MAX_KEPT_BYTES = 64 * 1024;
    /** A client's pieces: the read that brings the last of what is kept may bring some more. */
    private static final int INITIAL_BUFFER_BYTES = 512;

    /** What the client said: -1 where it sends chunks. */
    final long length;
    /** Runs whenever what is wanted of the client may have changed. */
    private final Runnable onFlowChange;

    private ByteBuf kept;
    private boolean complete;
    /** The connection it flows to. */
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

    /** Bytes to be kept for it at most. */
    int maxKeptBytes() {
        return (int) (length < 0 ? MAX_KEPT_BYTES : Math.min(length, MAX_KEPT_BYTES));
    }

    void append(ByteBuf piece) {
        if (target != null) {
            target.writeAndFlush(new DefaultHttpContent(piece.retain()))
                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        } else if (kept != null) {
            kept.writeBytes(piece);
        }
        updateFlow();
    }

    void finish() {
        complete = true;
        if (target != null) {
            Runnable last = onWritten;
            target.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener((io.netty.channel.ChannelFuture f) -> {
                if (f.isSuccess()) {
                    last.run();
                } else {
                    f.channel().close();
                }
            });
        }
        updateFlow();
    }

    /** All of it is here. */
    boolean isComplete() {
        return complete;
    }

    /** No more is read of it until an attempt takes it. */
    boolean isFull() {
        return !complete && kept != null && kept.readableBytes() >= MAX_KEPT_BYTES;
    }

    /** Nothing of it is gone yet. */
    boolean isReplayable() {
        return kept != null;
    }

    /** The whole of it, for one attempt of perhaps several. */
    ByteBuf copy() {
        return kept.retainedDuplicate();
    }

    /** What is here and what comes goes there; {@code whenWritten} runs when its last byte has. */
    void streamTo(Channel upstream, Runnable whenWritten) {
        target = upstream;
        onWritten = whenWritten;
        ByteBuf first = kept;
        kept = null;
        target.writeAndFlush(new DefaultHttpContent(first)).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        updateFlow();
    }

    /** The attempt is over, or the request: what still comes is nobody's. */
    void discard() {
        target = null;
        kept = null;
        updateFlow();
    }

    /** The client is read while there is room for what it sends; once all is here, to see whether it leaves. */
    void updateFlow() {
        if (!isBlocked()) {
            blockedSinceUs = 0;
        }
        onFlowChange.run();
    }

    /** The upstream takes no more of it for now. */
    boolean isBlocked() {
        return target != null && !complete && !target.isWritable();
    }

    /** Since when the upstream has taken nothing; 0 where it does. {@code now} is noted where it has just begun. */
    long blockedSinceUs(long now) {
        if (blockedSinceUs == 0 && isBlocked()) {
            blockedSinceUs = now;
        }
        return blockedSinceUs;
    }
}

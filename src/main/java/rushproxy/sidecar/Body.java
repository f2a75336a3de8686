package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * What a client sends with its request. Up to {@link #KEPT} bytes are kept, for another attempt; what grows past that
 * flows on to the connection of one attempt as it comes, as fast as that takes it, and can't be sent again.
 */
final class Body {
    static final int KEPT = 64 * 1024;
    /** A client's pieces: the read that brings the last of what is kept may bring some more. */
    private static final int FIRST = 512;

    /** What the client said: -1 where it sends chunks. */
    final long length;
    /** Runs whenever what is wanted of the client may have changed. */
    private final Runnable regulate;

    private ByteBuf kept;
    private boolean complete;
    /** The connection it flows to. */
    private Channel to;

    private Runnable written;
    private long stuckSinceUs;

    Body(Runnable regulate, long length) {
        this.regulate = regulate;
        this.length = length;
        kept = length == 0
                ? Unpooled.EMPTY_BUFFER
                : Unpooled.buffer((int) (length < 0 ? FIRST : Math.min(length, KEPT)));
    }

    /** Bytes to be kept for it at most. */
    int keeps() {
        return (int) (length < 0 ? KEPT : Math.min(length, KEPT));
    }

    void add(ByteBuf piece) {
        if (to != null) {
            to.writeAndFlush(new DefaultHttpContent(piece.retain()))
                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        } else if (kept != null) {
            kept.writeBytes(piece);
        }
        look();
    }

    void end() {
        complete = true;
        if (to != null) {
            Runnable last = written;
            to.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener((io.netty.channel.ChannelFuture f) -> {
                if (f.isSuccess()) {
                    last.run();
                } else {
                    f.channel().close();
                }
            });
        }
        look();
    }

    /** All of it is here. */
    boolean complete() {
        return complete;
    }

    /** No more is read of it until an attempt takes it. */
    boolean full() {
        return !complete && kept != null && kept.readableBytes() >= KEPT;
    }

    /** Nothing of it is gone yet. */
    boolean whole() {
        return kept != null;
    }

    /** The whole of it, for one attempt of perhaps several. */
    ByteBuf copy() {
        return kept.retainedDuplicate();
    }

    /** What is here and what comes goes there; {@code whenWritten} runs when its last byte has. */
    void flow(Channel upstream, Runnable whenWritten) {
        to = upstream;
        written = whenWritten;
        ByteBuf first = kept;
        kept = null;
        to.writeAndFlush(new DefaultHttpContent(first)).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        look();
    }

    /** The attempt is over, or the request: what still comes is nobody's. */
    void stop() {
        to = null;
        kept = null;
        look();
    }

    /** The client is read while there is room for what it sends; once all is here, to see whether it leaves. */
    void look() {
        if (!stuck()) {
            stuckSinceUs = 0;
        }
        regulate.run();
    }

    /** The upstream takes no more of it for now. */
    boolean stuck() {
        return to != null && !complete && !to.isWritable();
    }

    /** Since when the upstream has taken nothing; 0 where it does. {@code now} is noted where it has just begun. */
    long stuckSince(long now) {
        if (stuckSinceUs == 0 && stuck()) {
            stuckSinceUs = now;
        }
        return stuckSinceUs;
    }
}

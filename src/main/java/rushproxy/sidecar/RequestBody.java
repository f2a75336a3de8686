package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * The body of a request. Up to {@link #MAX_KEPT_BYTES} are kept so that another attempt can send them again. A longer
 * body is streamed to the connection of one attempt as fast as that accepts it, and can't be sent again. Where that takes
 * long the rest is read ahead as far as there is memory for it, so that its end is seen when the client has written it.
 */
final class RequestBody {
    static final int MAX_KEPT_BYTES = 64 * 1024;
    /** Written at once. */
    private static final int MAX_WRITE_BYTES = 16 * 1024;
    /** The stated length; -1 for a chunked body. */
    final long length;
    /** Runs whenever more or less of the body may be read from the client. */
    private final Runnable onFlowChange;

    private ByteBuf kept;
    private boolean complete;
    /** The connection that the body is streamed to; null if it is not. */
    private Channel target;

    /** What has arrived since the body is streamed and is not written yet. */
    private ByteBuf pending;

    /** What is read ahead, behind {@link #kept} or {@link #pending}. */
    private final ReadAheadBuffer ahead;

    private boolean readsAhead;
    private boolean passOnScheduled;
    private boolean isLastWritten;
    private Runnable onWritten;
    private long blockedSinceUs;

    RequestBody(Runnable onFlowChange, long length, ReadAheadBudget readAheadBudget) {
        this.onFlowChange = onFlowChange;
        this.length = length;
        ahead = new ReadAheadBuffer(readAheadBudget);
        kept = Unpooled.EMPTY_BUFFER;
    }

    /** Maximum number of bytes that are kept. */
    int maxKeptBytes() {
        return (int) (length < 0 ? MAX_KEPT_BYTES : Math.min(length, MAX_KEPT_BYTES));
    }

    void append(ByteBuf part) {
        if (isAppendedAhead()) {
            ahead.append(part);
        } else if (target != null) {
            pending = withRoom(pending, part.readableBytes()).writeBytes(part);
        } else if (kept != null) {
            kept = withRoom(kept, part.readableBytes()).writeBytes(part);
        }
        if (target != null && target.isWritable()) {
            schedulePassOn();
        }
        updateFlow();
    }

    private boolean isAppendedAhead() {
        if (target == null) {
            return readsAhead && isLong();
        }
        return !ahead.isEmpty() || readsAhead && !target.isWritable();
    }

    /** From now on reads what its upstream does not take yet, as far as there is memory for it. */
    void readAhead() {
        readsAhead = true;
        updateFlow();
    }

    /** Gives back what was read ahead, since nothing will send it. */
    void releaseReadAhead() {
        readsAhead = false;
        ahead.release();
    }

    /** Memory is taken as bytes arrive, since a client may state a length and send nothing. */
    private static ByteBuf withRoom(ByteBuf buffer, int bytes) {
        int needed = buffer.writerIndex() + bytes;
        if (needed <= buffer.capacity()) {
            return buffer;
        }
        int capacity = Math.max(needed, Math.min(2 * buffer.capacity(), MAX_KEPT_BYTES));
        return buffer == Unpooled.EMPTY_BUFFER ? Unpooled.buffer(capacity) : buffer.capacity(capacity);
    }

    void finish() {
        complete = true;
        if (target != null) {
            schedulePassOn();
        }
        updateFlow();
    }

    /** Passes on what one read has brought in one write, in however many pieces the client sent it. */
    private void schedulePassOn() {
        if (!passOnScheduled) {
            passOnScheduled = true;
            target.eventLoop().execute(() -> {
                passOnScheduled = false;
                passOn();
            });
        }
    }

    /** Writes as much of what is pending as the connection accepts. The rest stays on the heap, where it is accounted for. */
    private void passOn() {
        if (target == null || isLastWritten) {
            return;
        }
        while (hasUnwritten() && target.isWritable()) {
            target.write(new DefaultHttpContent(nextPiece())).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
        if (!pending.isReadable()) {
            dropWritten();
        }
        if (complete && !hasUnwritten()) {
            writeLast();
        }
        target.flush();
        updateFlow();
    }

    private boolean hasUnwritten() {
        return pending.isReadable() || !ahead.isEmpty();
    }

    private ByteBuf nextPiece() {
        return pending.isReadable()
                ? pending.readRetainedSlice(Math.min(pending.readableBytes(), MAX_WRITE_BYTES))
                : ahead.poll();
    }

    /** Uses the buffer again unless a write still refers to it. */
    private void dropWritten() {
        if (pending.refCnt() == 1) {
            pending.clear();
        } else {
            pending.release();
            pending = Unpooled.EMPTY_BUFFER;
        }
    }

    private void writeLast() {
        isLastWritten = true;
        releaseReadAhead();
        Runnable whenWritten = onWritten;
        target.write(LastHttpContent.EMPTY_LAST_CONTENT).addListener((ChannelFuture written) -> {
            if (written.isSuccess()) {
                whenWritten.run();
            } else {
                written.channel().close();
            }
        });
    }

    /** Whether all of it has arrived. */
    boolean isComplete() {
        return complete;
    }

    /** Whether as much has arrived as is kept, and no attempt streams it yet. */
    boolean isLong() {
        return kept != null && kept.readableBytes() >= MAX_KEPT_BYTES;
    }

    /** Whether it has to be streamed, since not all of it has arrived or it is longer than what is kept. */
    boolean isStreamed() {
        return !complete || !ahead.isEmpty();
    }

    /** Whether reading stops until an attempt starts to stream it. */
    boolean isFull() {
        return !complete && isLong() && !hasRoomAhead();
    }

    private boolean hasRoomAhead() {
        return readsAhead && ahead.reserveRoom();
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
        pending = kept;
        kept = null;
        passOn();
    }

    /** To be called when the connection that the body is streamed to accepts more, or no more, of it. */
    void onWritabilityChanged() {
        if (target != null && target.isWritable()) {
            schedulePassOn();
        }
        updateFlow();
    }

    /** Discards the body, including what still arrives, since its attempt or request is over. */
    void discard() {
        target = null;
        kept = null;
        pending = null;
        releaseReadAhead();
        updateFlow();
    }

    /**
     * Re-evaluates whether the client is read: while its body can be stored or sent, and once it is complete, to detect
     * a disconnect.
     */
    void updateFlow() {
        if (!isUpstreamBlocked()) {
            blockedSinceUs = 0;
        }
        onFlowChange.run();
    }

    /** Whether the upstream accepts no more of it for now. */
    private boolean isUpstreamBlocked() {
        return target != null && !complete && !target.isWritable();
    }

    /** Whether the upstream accepts no more of it for now, and no more is read ahead. */
    boolean isBlocked() {
        return isUpstreamBlocked() && !hasRoomAhead();
    }

    /** Whether it is not read for now. */
    boolean isReadSuspended() {
        return isFull() || isBlocked();
    }

    /** Since when the upstream has accepted nothing; 0 if it does. If it has just stopped this records {@code now}. */
    long blockedSinceUs(long now) {
        if (blockedSinceUs == 0 && isUpstreamBlocked()) {
            blockedSinceUs = now;
        }
        return blockedSinceUs;
    }
}

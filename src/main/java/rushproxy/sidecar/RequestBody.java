package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.Executor;

/**
 * The body of a request. Up to {@link #MAX_KEPT_BYTES} are kept so that another attempt can send them again. A longer
 * body is streamed to the connection of one attempt as fast as that accepts it, and can't be sent again. Where that takes
 * long the rest is read ahead as far as there is memory for it, so that its end is seen when the client has written it.
 *
 * <p>It owns its memory: each byte that it holds is counted until {@link #discard} or until it is written. Its connection owns the body
 * until a coordinator takes the request; from then on the request does, which ends it when it is decided or its attempt is over.
 */
final class RequestBody {
    static final int MAX_KEPT_BYTES = 64 * 1024;
    /** Written at once. */
    private static final int MAX_WRITE_BYTES = 16 * 1024;
    /** The stated length; -1 for a chunked body. */
    final long length;
    /** Runs whenever more or less of the body may be read from the client. */
    private final Runnable onFlowChange;
    /** Runs tasks on the event loop. */
    private final Executor executor;

    private final MemoryBudget budget;
    /** Withdraws the wait for memory; null if there is none. */
    private Runnable withdrawWait;

    /** What has arrived from the first byte on; null once the body is streamed or discarded. */
    private ReservedBuffer kept;

    private boolean complete;
    /** The connection that the body is streamed to; null if it is not. */
    private Channel target;

    /** What has arrived since the body is streamed and is not written yet; null before and after. */
    private ReservedBuffer pending;

    /** What is read ahead, behind {@link #kept} or {@link #pending}. */
    private final ReadAheadBuffer ahead;

    private boolean readsAhead;
    private boolean passOnScheduled;
    private boolean isLastWritten;
    private boolean isDiscarded;
    private Runnable onWritten;
    private long blockedSinceUs;

    RequestBody(Executor executor, Runnable onFlowChange, long length, ConnectionMemory memory) {
        this.executor = executor;
        this.onFlowChange = onFlowChange;
        this.length = length;
        budget = memory.bodies();
        ahead = new ReadAheadBuffer(memory.readAhead());
        kept = new ReservedBuffer(budget);
    }

    /** Reserves the memory for what is kept, now or later; {@code onGranted} runs once it is reserved. */
    void awaitMemory(Runnable onGranted) {
        if (budget.tryReserve(uncountedBytes())) {
            kept.addReservation(uncountedBytes());
            onGranted.run();
            return;
        }
        withdrawWait = budget.reserve(this::uncountedBytes, () -> {
            withdrawWait = null;
            kept.addReservation(uncountedBytes());
            onGranted.run();
        });
    }

    /** What of the memory for what is kept is not counted yet. */
    private int uncountedBytes() {
        return Math.max(0, maxKeptBytes() - kept.countedBytes());
    }

    /** Takes the memory for what is kept at once, even beyond the limit. */
    void takeMemory() {
        int bytes = maxKeptBytes();
        budget.take(bytes);
        kept.addReservation(bytes);
    }

    boolean isAwaitingMemory() {
        return withdrawWait != null;
    }

    /** Waits for memory no longer; what has arrived is counted as it is. */
    void endMemoryWait() {
        if (withdrawWait != null) {
            withdrawWait.run();
            withdrawWait = null;
        }
    }

    /** The memory that is counted for what is kept or pending. */
    int countedBytes() {
        return (kept == null ? 0 : kept.countedBytes()) + (pending == null ? 0 : pending.countedBytes());
    }

    /** Maximum number of bytes that are kept. */
    int maxKeptBytes() {
        return (int) (length < 0 ? MAX_KEPT_BYTES : Math.min(length, MAX_KEPT_BYTES));
    }

    void append(ByteBuf part) {
        if (isAppendedAhead()) {
            ahead.append(part);
        } else if (target != null) {
            write(pending, part);
        } else if (kept != null) {
            write(kept, part);
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
        readsAhead = !isDiscarded;
        updateFlow();
    }

    private void releaseReadAhead() {
        readsAhead = false;
        ahead.release();
    }

    /** Memory is allocated as bytes arrive, since a client may state a length and send nothing. */
    private static void write(ReservedBuffer buffer, ByteBuf part) {
        if (part.readableBytes() > buffer.writableBytes() && buffer.refCnt() == 1) {
            buffer.discardReadBytes();
        }
        int needed = buffer.writerIndex() + part.readableBytes();
        if (needed > buffer.capacity()) {
            buffer.capacity(Math.max(needed, Math.min(2 * buffer.capacity(), MAX_KEPT_BYTES)));
        }
        buffer.writeBytes(part);
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
            executor.execute(() -> {
                passOnScheduled = false;
                passOn();
            });
        }
    }

    /** Writes as much of what is pending as the connection accepts. The rest stays on the heap, where it is accounted for. */
    private void passOn() {
        Channel receiver = target;
        if (receiver == null || isLastWritten) {
            return;
        }
        while (hasUnwritten() && receiver.isWritable()) {
            receiver.write(new DefaultHttpContent(nextPiece())).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
        if (target == null) {
            // Discarded by what the write has set off.
            return;
        }
        dropWritten();
        if (complete && !hasUnwritten()) {
            writeLast();
        }
        receiver.flush();
        updateFlow();
    }

    private boolean hasUnwritten() {
        return pending != null && (pending.isReadable() || !ahead.isEmpty());
    }

    private ByteBuf nextPiece() {
        return pending.isReadable()
                ? pending.readRetainedSlice(Math.min(pending.readableBytes(), MAX_WRITE_BYTES))
                : ahead.poll();
    }

    /** Uses the buffer again unless a write still refers to it. */
    private void dropWritten() {
        if (pending.isReadable()) {
            return;
        }
        if (pending.refCnt() == 1) {
            pending.clear();
        } else {
            pending.release();
            pending = new ReservedBuffer(budget);
        }
    }

    private void writeLast() {
        isLastWritten = true;
        Channel receiver = target;
        Runnable whenWritten = onWritten;
        // Nothing of it is needed any more.
        releaseMemory();
        receiver.write(LastHttpContent.EMPTY_LAST_CONTENT).addListener((ChannelFuture written) -> {
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

    /** Whether an attempt has begun to stream it. */
    boolean hasStreamed() {
        return onWritten != null;
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

    /** To be called when the connection that the body is streamed to accepts more, or no more, of it; also within a write of it. */
    void onWritabilityChanged() {
        if (target != null) {
            schedulePassOn();
        }
    }

    /** No further attempt will send it: discards it, unless an attempt streams it, which then ends it. */
    void endReplay() {
        if (target == null) {
            discard();
        }
    }

    /** Discards the body, including what still arrives, since its attempt or request is over. */
    void discard() {
        if (isDiscarded) {
            return;
        }
        isDiscarded = true;
        target = null;
        releaseMemory();
        if (!complete) {
            // In a task of its own, since whoever discards it may be in the middle of a write or a read.
            executor.execute(this::updateFlow);
        }
    }

    private void releaseMemory() {
        endMemoryWait();
        releaseReadAhead();
        if (kept != null) {
            kept.release();
            kept = null;
        }
        if (pending != null) {
            pending.release();
            pending = null;
        }
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

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/** The part of one message that is read before its receiver takes it, in segments whose memory is reserved before they are read. */
final class ReadAheadBuffer {
    /** As much as one read may bring. */
    static final int SEGMENT_BYTES = 16 * 1024;

    private final ReadAheadBudget budget;
    private final ArrayDeque<ByteBuf> segments = new ArrayDeque<>();
    /** Segments that are reserved and not in use yet. */
    private int freeSegments;

    ReadAheadBuffer(ReadAheadBudget budget) {
        this.budget = budget;
    }

    /** Makes sure that there is room for another read. Returns false if there is no memory for it. */
    boolean reserveRoom() {
        if (freeSegments == 0 && budget.tryReserve(SEGMENT_BYTES)) {
            freeSegments++;
        }
        return freeSegments > 0;
    }

    /** Adds bytes that have been read, whether or not there is room for them. */
    void append(ByteBuf part) {
        while (part.isReadable()) {
            if (segments.isEmpty() || !segments.peekLast().isWritable()) {
                addSegment();
            }
            ByteBuf last = segments.peekLast();
            last.writeBytes(part, Math.min(part.readableBytes(), last.writableBytes()));
        }
    }

    private void addSegment() {
        if (freeSegments > 0) {
            freeSegments--;
        } else {
            budget.take(SEGMENT_BYTES);
        }
        segments.add(ReservedBuffer.withReserved(budget, SEGMENT_BYTES));
    }

    /** How many segments are in use. */
    int size() {
        return segments.size();
    }

    boolean isEmpty() {
        return segments.isEmpty();
    }

    /** Takes out the first segment, whose memory is given back when it is released. */
    ByteBuf poll() {
        return segments.poll();
    }

    /** Drops all that has been read and gives back its memory. */
    void release() {
        segments.forEach(ByteBuf::release);
        segments.clear();
        int unused = freeSegments;
        freeSegments = 0;
        if (unused > 0) {
            budget.release(unused * SEGMENT_BYTES);
        }
    }
}

package rushproxy.sidecar;

import java.util.ArrayDeque;
import rushproxy.sidecar.TcpInfo.ReceiveWindow;

/**
 * Tells the earliest time at which a client may have written the last byte of a body that is not read, because its server takes no more
 * of it. The request's time runs from then on, however late the byte is read and however fast the server goes on. Where the client's own
 * socket may hold the rest it is taken to be written: a client that still writes is failed early, which is a final response in time.
 */
final class UnreadBodyEnd {
    /** No estimate: the client can't have written the last byte. */
    static final long NOT_WRITTEN = 0;

    static final long UNKNOWN_LENGTH = -1;
    /** Where the kernel does not tell whether the receive buffer is full, it is taken to be from this size on. */
    static final int FULL_SOCKET_BYTES = 96 * 1024;
    /** There too, it is taken to be if nothing has come for this long. */
    static final long SILENCE_US = 200_000;
    /** What a client's socket holds at most: the usual limit of Linux (tcp_wmem), and one segment that may exceed it. */
    static final int CLIENT_SOCKET_BYTES = (4_096 + 64) * 1024;
    /** A client with more to send fills an empty receive buffer within this time. */
    static final long REFILL_US = 20_000;
    /** The same of a buffer with some room, which the client's kernel may learn only by its next probe. */
    static final long PROBE_US = 250_000;
    /** Arrivals are recorded in steps of this size. A client's socket that is not empty brings more within {@link #REFILL_US}. */
    private static final int ARRIVAL_STEP_BYTES = 64 * 1024;

    /**
     * What is known of a body while it arrives.
     *
     * @param isSuspended whether the body is not read
     * @param missing     bytes of the body that have not been decoded; {@link #UNKNOWN_LENGTH} if its length is not known
     * @param unread      bytes that have arrived and have not been decoded
     * @param passedOn    bytes of the body that have been decoded
     * @param agoUs       how long ago the client's last bytes arrived; {@link TcpInfo#UNKNOWN} if that is not known
     */
    record Observation(
            long nowUs,
            boolean isSuspended,
            long missing,
            int unread,
            long passedOn,
            long agoUs,
            ReceiveWindow window) {
        private long arrived() {
            return passedOn + unread;
        }

        /** Bytes of the body that the client has yet to write, or that its own socket holds. */
        private long beyondReceiveBuffer() {
            return missing - unread;
        }
    }

    private record Arrival(long atUs, long bytes) {}

    private final long startUs;
    private long lastArrived = -1;
    /** Since when nothing has arrived, as far as was observed. */
    private long arrivedSinceUs;
    /** Since when the receive buffer was seen empty, and since when it was seen to have room; 0 if it was not. */
    private long emptySinceUs;

    private long roomSinceUs;

    /** All of the rest was seen to have arrived. */
    private long knownUs = NOT_WRITTEN;
    /** The client's socket may hold the rest. */
    private long possibleUs = NOT_WRITTEN;
    /** What had arrived by when, since the client's socket was last empty; from the last arrival on that it can have held. */
    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>(1);
    /** How long the client took per byte until the receive buffer was first full; negative before. */
    private double usPerByte = -1;

    /** @param startUs when the client began to write */
    UnreadBodyEnd(long startUs) {
        this.startUs = startUs;
    }

    void observe(Observation now) {
        observeRoom(now, now.arrived() - lastArrived >= ARRIVAL_STEP_BYTES);
        if (now.arrived() != lastArrived) {
            lastArrived = now.arrived();
            arrivedSinceUs = now.nowUs;
        }
        if (now.missing != UNKNOWN_LENGTH && now.unread >= now.missing) {
            knownUs = earlier(knownUs, lastArrivalUs(now));
        } else if (isReceiveBufferFull(now)) {
            observeFull(now);
        } else if (isClientSocketEmpty(now)) {
            observeEmpty(now);
        } else if (now.missing == UNKNOWN_LENGTH && now.unread > 0) {
            possibleUs = arrivals.isEmpty() ? lastArrivalUs(now) : earliestEndUs(now);
        }
    }

    private void observeRoom(Observation now, boolean isUsed) {
        boolean hasRoom = !isUsed && now.window != ReceiveWindow.SHUT;
        boolean isEmpty = hasRoom && now.unread == 0;
        emptySinceUs = !isEmpty ? 0 : emptySinceUs == 0 ? now.nowUs : emptySinceUs;
        roomSinceUs = !hasRoom ? 0 : roomSinceUs == 0 ? now.nowUs : roomSinceUs;
    }

    private boolean isReceiveBufferFull(Observation now) {
        if (now.window != ReceiveWindow.UNKNOWN) {
            return now.window == ReceiveWindow.SHUT;
        }
        boolean isSilent = now.unread > 0 && now.nowUs - arrivedSinceUs >= SILENCE_US;
        return now.isSuspended && (now.unread >= FULL_SOCKET_BYTES || isSilent);
    }

    /** Whether the client has nothing more to send for now, since it does not use the room in the receive buffer. */
    private boolean isClientSocketEmpty(Observation now) {
        boolean leavesAll = emptySinceUs > 0 && now.nowUs - emptySinceUs >= REFILL_US;
        boolean leavesSome = now.window == ReceiveWindow.OPEN
                && roomSinceUs > 0
                && now.nowUs - roomSinceUs >= PROBE_US
                && now.agoUs >= REFILL_US;
        return leavesAll || leavesSome;
    }

    private long lastArrivalUs(Observation now) {
        return now.agoUs == TcpInfo.UNKNOWN ? arrivedSinceUs : now.nowUs - now.agoUs;
    }

    /** Of a body of unknown length the last byte may be the last that has arrived. */
    private void observeEmpty(Observation now) {
        arrivals.clear();
        possibleUs = now.missing == UNKNOWN_LENGTH && now.unread > 0 ? lastArrivalUs(now) : NOT_WRITTEN;
    }

    private void observeFull(Observation now) {
        if (usPerByte < 0) {
            usPerByte = Math.max(0, lastArrivalUs(now) - startUs) / (double) Math.max(1, now.arrived());
        }
        if (now.missing == UNKNOWN_LENGTH) {
            possibleUs = earliestEndUs(now);
        } else if (now.beyondReceiveBuffer() <= CLIENT_SOCKET_BYTES) {
            // The client is taken to go on at the pace at which it filled the receive buffer.
            long endUs = lastArrivalUs(now) + Math.round(now.beyondReceiveBuffer() * usPerByte);
            possibleUs = earlier(possibleUs, endUs);
        }
    }

    /** The last byte may be the last that has arrived. Its client's socket held it from when no more than that lay before it. */
    private long earliestEndUs(Observation now) {
        if (arrivals.isEmpty() || now.arrived() - arrivals.peekLast().bytes >= ARRIVAL_STEP_BYTES) {
            arrivals.add(new Arrival(lastArrivalUs(now), now.arrived()));
        }
        while (arrivals.size() > 1 && secondArrivalBytes() <= now.arrived() - CLIENT_SOCKET_BYTES) {
            arrivals.poll();
        }
        return arrivals.peek().atUs;
    }

    private long secondArrivalBytes() {
        var iterator = arrivals.iterator();
        iterator.next();
        return iterator.next().bytes;
    }

    private static long earlier(long estimateUs, long otherUs) {
        return estimateUs == NOT_WRITTEN ? otherUs : Math.min(estimateUs, otherUs);
    }

    /** The earliest time at which the last byte may have been written; {@link #NOT_WRITTEN} if it can't have been. */
    long estimateUs() {
        // What lay in the client's socket arrived later than it was written.
        return possibleUs == NOT_WRITTEN ? knownUs : earlier(knownUs, possibleUs);
    }

    /** The same for a byte that has been read at last. */
    long writtenUs(long readUs) {
        long estimateUs = estimateUs();
        return estimateUs == NOT_WRITTEN ? readUs : Math.min(estimateUs, readUs);
    }
}

package rushproxy.sidecar;

import java.util.function.LongPredicate;
import rushproxy.sidecar.TcpInfo.ReceiveWindow;

/**
 * Estimates when a client has written the last byte of a body that is not read, because its server takes no more of it. The request's
 * time runs from then on, however late the byte is read. A client that is seen to be still writing is given time.
 */
final class UnreadBodyEnd {
    /** No estimate: the client can't have written the last byte, or is given time. */
    static final long NOT_WRITTEN = 0;

    static final long UNKNOWN_LENGTH = -1;
    /** Where the kernel does not tell whether the receive buffer is full, it is taken to be from this size on. */
    static final int FULL_SOCKET_BYTES = 96 * 1024;
    /** There too, it is taken to be if nothing has come for this long. */
    static final long SILENCE_US = 200_000;
    /** What the sockets between this process and a server that reads slowly hold. */
    static final int UPSTREAM_SOCKETS_BYTES = 256 * 1024;
    /** What any client's own socket is taken to hold while the receive buffer is full. */
    static final int CLIENT_SOCKET_BYTES = 128 * 1024;
    /** What a client's socket holds at most: Linux gives a local connection this much unless the client limits it. */
    static final int LARGE_CLIENT_SOCKET_BYTES = 2_560 * 1024;
    /** A client with more to send uses new room in the receive buffer within this time. */
    static final long REFILL_US = 20_000;
    /** What a client has written while its body was not read is read within this time once its server takes more. */
    static final long READ_ON_US = 100_000;

    /**
     * What is known of a body that is not read.
     *
     * @param missing  bytes of the body that have not been read; {@link #UNKNOWN_LENGTH} if its length is not known
     * @param unread   bytes that lie in the receive buffer
     * @param passedOn bytes of the body that have been read so far
     * @param agoUs    how long ago the client's last bytes arrived; {@link TcpInfo#UNKNOWN} if that is not known
     */
    record Observation(long nowUs, long missing, int unread, long passedOn, long agoUs, ReceiveWindow window) {
        /** Bytes of the body that the client has yet to write, or that its own socket holds. */
        private long beyondReceiveBuffer() {
            return missing - unread;
        }
    }

    private final long startUs;
    private Observation last = new Observation(0, 0, -1, -1, 0, ReceiveWindow.UNKNOWN);
    private long unchangedSinceUs;

    /** All of the rest was seen in the receive buffer. */
    private long knownUs = NOT_WRITTEN;
    /** The client's socket may hold the rest, whatever its size. */
    private long likelyUs = NOT_WRITTEN;
    /** The client's socket may hold the rest if its size was not limited. */
    private long possibleUs = NOT_WRITTEN;
    /** When the server had last taken as much as the sockets hold, and how much had been read then. */
    private long takenSinceUs;

    private long takenBytes;
    /** How long the client took per byte until the receive buffer was first full; negative before. */
    private double usPerByte = -1;

    /** @param startUs when the client began to write */
    UnreadBodyEnd(long startUs) {
        this.startUs = startUs;
    }

    void observe(Observation now) {
        if (now.passedOn != last.passedOn || now.unread != last.unread) {
            unchangedSinceUs = now.nowUs;
        }
        if (now.nowUs - last.nowUs > READ_ON_US) {
            likelyUs = possibleUs = NOT_WRITTEN;
        }
        last = now;
        observePace(now);
        if (now.missing == UNKNOWN_LENGTH) {
            // Whether the end is among the unread bytes can't be seen. While the server takes bytes the client may go
            // on.
            likelyUs = now.unread > 0 ? unchangedSinceUs : NOT_WRITTEN;
        } else if (now.unread >= now.missing) {
            knownUs = earlier(knownUs, lastArrivalUs(now));
        } else if (isReceiveBufferFull(now)) {
            observeFull(now);
        } else if (isRoomUnused(now)) {
            likelyUs = possibleUs = NOT_WRITTEN;
        }
    }

    private boolean isReceiveBufferFull(Observation now) {
        if (now.window != ReceiveWindow.UNKNOWN) {
            return now.window == ReceiveWindow.SHUT;
        }
        boolean isSilent = now.unread > 0 && now.nowUs - unchangedSinceUs >= SILENCE_US;
        return now.unread >= FULL_SOCKET_BYTES || isSilent;
    }

    /** Whether the client has nothing more to send for now. Where the window is not known only an empty buffer tells. */
    private static boolean isRoomUnused(Observation now) {
        return now.window == ReceiveWindow.UNKNOWN ? now.unread == 0 : now.agoUs >= REFILL_US;
    }

    private long lastArrivalUs(Observation now) {
        return now.agoUs == TcpInfo.UNKNOWN ? unchangedSinceUs : now.nowUs - now.agoUs;
    }

    /** The client is taken to go on at the pace at which it filled the receive buffer. */
    private void observeFull(Observation now) {
        long arrived = now.passedOn + now.unread;
        if (usPerByte < 0) {
            usPerByte = Math.max(0, lastArrivalUs(now) - startUs) / (double) Math.max(1, arrived);
        }
        long endUs = lastArrivalUs(now) + Math.round(now.beyondReceiveBuffer() * usPerByte);
        if (now.beyondReceiveBuffer() <= CLIENT_SOCKET_BYTES) {
            likelyUs = earlier(likelyUs, endUs);
        }
        if (now.beyondReceiveBuffer() <= LARGE_CLIENT_SOCKET_BYTES) {
            possibleUs = earlier(possibleUs, endUs);
        }
    }

    /** A server that takes within a request's time what the sockets hold may be in time for a client that writes on. */
    private void observePace(Observation now) {
        if (now.passedOn - takenBytes >= now.unread + UPSTREAM_SOCKETS_BYTES) {
            takenBytes = now.passedOn;
            takenSinceUs = now.nowUs;
        }
    }

    private static long earlier(long estimateUs, long otherUs) {
        return estimateUs == NOT_WRITTEN ? otherUs : Math.min(estimateUs, otherUs);
    }

    /** The earliest time at which the last byte may have been written; {@link #NOT_WRITTEN} if there is no estimate. */
    long estimateUs() {
        if (knownUs != NOT_WRITTEN || likelyUs != NOT_WRITTEN) {
            return knownUs != NOT_WRITTEN ? knownUs : likelyUs;
        }
        return possibleUs == NOT_WRITTEN ? NOT_WRITTEN : Math.max(possibleUs, takenSinceUs);
    }

    /** The same for a byte that has been read at last. An end that was not seen does not make the request overdue. */
    long writtenUs(long readUs, LongPredicate isOverdue) {
        if (knownUs != NOT_WRITTEN) {
            return Math.min(knownUs, readUs);
        }
        long estimateUs = estimateUs();
        boolean isUsable = estimateUs != NOT_WRITTEN
                && estimateUs < readUs
                && readUs - last.nowUs <= READ_ON_US
                && !isOverdue.test(estimateUs);
        return isUsable ? estimateUs : readUs;
    }
}

package rushproxy.sidecar;

/** What is known of one connection at its end, for the log: its age, what was read of it, and why it ended. */
final class ConnectionHistory {
    /** A call on a socket that can fail. */
    enum SocketOperation {
        REGISTER,
        READ,
        WRITE,
        HANDLER
    }

    private final long openedNanos = System.nanoTime();
    private long readBytes;
    /** The peer has ended its side. */
    private boolean peerClosed;

    private boolean answered;
    private CloseReason closeReason;
    private SocketOperation failedOperation;
    private Throwable error;

    void recordRead(int bytes) {
        readBytes += bytes;
    }

    void recordPeerClosed() {
        peerClosed = true;
    }

    /** A part of an answer has been handed to the connection. */
    void recordResponse() {
        answered = true;
    }

    /** This program closes it; the first reason counts. */
    void recordCloseReason(CloseReason why) {
        closeReason = closeReason == null ? why : closeReason;
    }

    /** The last call that failed is kept. */
    void recordFailure(SocketOperation call, Throwable why) {
        failedOperation = call;
        error = why;
    }

    long readBytes() {
        return readBytes;
    }

    long ageUs() {
        return (System.nanoTime() - openedNanos) / 1000;
    }

    /** Whether it ends by this program's doing, or this machine's, before its client had any part of an answer. */
    boolean isClosedLocallyUnanswered() {
        return !answered && !peerClosed && !SocketErrors.isConnectionLost(error);
    }

    /** Why it ended, as words without figures of its own, so that ends of one kind can be counted. */
    String describeEnd() {
        String words = closeReason == null ? "not taken" : closeReason.words();
        return failedOperation == null
                ? words
                : words + " (" + failedOperation.name().toLowerCase(java.util.Locale.ROOT) + ": " + error + ")";
    }
}

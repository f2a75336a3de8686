package rushproxy.sidecar;

/** Records what the log reports when a connection closes: its age, the bytes read and the reason. */
final class ConnectionHistory {
    /** An operation whose failure is recorded. */
    enum SocketOperation {
        REGISTER,
        READ,
        WRITE,
        HANDLER
    }

    private final long openedNanos = System.nanoTime();
    private long readBytes;
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

    /** Whether the peer has closed its side in an orderly way. */
    boolean hasPeerClosed() {
        return peerClosed;
    }

    /** At least a part of a response was written. */
    void recordResponse() {
        answered = true;
    }

    /** Records why this process closes the connection. Only the first reason counts. */
    void recordCloseReason(CloseReason reason) {
        closeReason = closeReason == null ? reason : closeReason;
    }

    /** Records a failed operation, in place of an earlier one. */
    void recordFailure(SocketOperation operation, Throwable cause) {
        failedOperation = operation;
        error = cause;
    }

    long readBytes() {
        return readBytes;
    }

    long ageUs() {
        return (System.nanoTime() - openedNanos) / 1000;
    }

    /** Whether this process or machine, and not the peer, ended the connection before any part of a response was written. */
    boolean isClosedLocallyUnanswered() {
        return !answered && !peerClosed && !SocketErrors.isConnectionLost(error);
    }

    /** Why the connection ended. The text contains nothing specific to the connection, so that equal ends can be counted. */
    String describeEnd() {
        String reason = closeReason == null ? "not taken" : closeReason.text();
        return failedOperation == null
                ? reason
                : reason + " (" + failedOperation.name().toLowerCase(java.util.Locale.ROOT) + ": " + error + ")";
    }
}

package rushproxy.sidecar;

/** What is known of one connection at its end, for the log: its age, what was read of it, and why it ended. */
final class ConnectionHistory {
    /** A call on a socket that can fail. */
    enum Call {
        REGISTER,
        READ,
        WRITE,
        HANDLER
    }

    private final long openedNanos = System.nanoTime();
    private long readBytes;
    /** The peer has ended its side. */
    private boolean peerEnded;

    private boolean answered;
    private CloseReason reason;
    private Call failedCall;
    private Throwable error;

    void read(int bytes) {
        readBytes += bytes;
    }

    void peerEnded() {
        peerEnded = true;
    }

    /** A part of an answer has been handed to the connection. */
    void answered() {
        answered = true;
    }

    /** This program closes it; the first reason counts. */
    void closes(CloseReason why) {
        reason = reason == null ? why : reason;
    }

    /** The last call that failed is kept. */
    void failed(Call call, Throwable why) {
        failedCall = call;
        error = why;
    }

    long readBytes() {
        return readBytes;
    }

    long ageUs() {
        return (System.nanoTime() - openedNanos) / 1000;
    }

    /** Whether it ends by this program's doing, or this machine's, before its client had any part of an answer. */
    boolean endsUnanswered() {
        return !answered && !peerEnded && !SocketErrors.endsConnection(error);
    }

    /** Why it ended, as words without figures of its own, so that ends of one kind can be counted. */
    String end() {
        String words = reason == null ? "not taken" : reason.text();
        return failedCall == null
                ? words
                : words + " (" + failedCall.name().toLowerCase(java.util.Locale.ROOT) + ": " + error + ")";
    }
}

package rushproxy.sidecar;

/** When a client connection was established and when its client last sent something. Holds times only and closes nothing. */
final class ClientActivity {
    /** A connection is new for this long; clients send their first request right after connecting. */
    private static final long NEW_CONNECTION_US = 200_000;

    private final TcpConnection channel;
    private final Clock clock;
    private final long acceptedUs;
    /** When the connection was established, at most the time of the accept; 0 if not looked up yet. */
    private long establishedUs;
    /** When the kernel received the bytes read last. */
    private long lastReceivedUs;
    /** When the first byte of the request that is being read was read; 0 between requests. */
    private long requestStartUs;

    private long lastActiveUs;
    /** Whether a complete request has arrived. Such a client may be idle without a limit. */
    private boolean hasSentRequest;

    ClientActivity(TcpConnection channel, Clock clock) {
        this.channel = channel;
        this.clock = clock;
        lastActiveUs = lastReceivedUs = acceptedUs = clock.nowUs();
    }

    /** Records bytes that were just read, of whatever part of a request. */
    void recordBytes() {
        lastActiveUs = clock.nowUs();
        long agoUs = channel.sinceLastReceiveUs();
        lastReceivedUs = agoUs == TcpInfo.UNKNOWN ? lastActiveUs : lastActiveUs - agoUs;
        // While nothing has been sent the kernel can tell.
        establishedUs();
        if (requestStartUs == 0) {
            requestStartUs = lastActiveUs;
        }
    }

    /** Records that what was read last is the beginning of a request, even if it came behind the end of another. */
    void recordIncompleteRequest() {
        if (requestStartUs == 0) {
            requestStartUs = lastActiveUs;
        }
    }

    /** Records that the client may only now go on sending, because it had to wait for this sidecar. */
    void recordInvitation() {
        lastReceivedUs = clock.nowUs();
    }

    void recordRequestEnd(boolean isValid) {
        requestStartUs = 0;
        hasSentRequest |= isValid;
    }

    void recordResponse() {
        lastActiveUs = clock.nowUs();
    }

    long acceptedUs() {
        return acceptedUs;
    }

    /** When the client last sent, or was last sent, anything. */
    long lastActiveUs() {
        return lastActiveUs;
    }

    /** When the kernel last received something from the client, whenever that was read. */
    long lastReceivedUs() {
        return lastReceivedUs;
    }

    /** The same, looked up in the kernel if that can tell, for bytes that were read late. */
    long queryLastReceivedUs() {
        long agoUs = channel.querySinceReceiveUs();
        return agoUs == TcpInfo.UNKNOWN ? lastReceivedUs : Math.min(lastReceivedUs, clock.nowUs() - agoUs);
    }

    boolean hasSentRequest() {
        return hasSentRequest;
    }

    /** Whether a part of a request has been read, but not its end. */
    boolean isWithinRequest() {
        return requestStartUs != 0;
    }

    /** When the first byte of the request that is being read was read; now if there is none. */
    long requestStartUs() {
        return requestStartUs == 0 ? lastActiveUs : requestStartUs;
    }

    /**
     * Since when the request is awaited that is incomplete: from its first byte on, and on a new connection from its connect, even if it
     * lay in the accept queue.
     */
    long awaitedSinceUs() {
        return hasSentRequest ? requestStartUs() : establishedUs();
    }

    /** Whether the connection is so recent that its first request may still be on its way. */
    boolean isNew() {
        long nowUs = clock.nowUs();
        return !hasSentRequest
                && nowUs - acceptedUs < NEW_CONNECTION_US
                && nowUs - awaitedSinceUs() < NEW_CONNECTION_US;
    }

    private long establishedUs() {
        if (establishedUs == 0) {
            long agoUs = channel.queryAgeUs();
            establishedUs = agoUs == TcpInfo.UNKNOWN ? acceptedUs : Math.min(acceptedUs, clock.nowUs() - agoUs);
        }
        return establishedUs;
    }
}

package rushproxy.sidecar;

/** When a client connection was established and when its client last sent something. Holds times only and closes nothing. */
final class ClientActivity {
    /** A connection is new for this long; clients send their first request right after connecting. */
    private static final long NEW_CONNECTION_US = 200_000;

    private final TcpConnection channel;
    private final Clock clock;
    private final long acceptedUs;
    /** When the kernel received the first bytes, at most the time of the accept; 0 before they are read. */
    private long firstReceivedUs;
    /** When the first byte of the request that is being read was read; 0 between requests. */
    private long requestStartUs;

    private long lastActiveUs;
    /** Whether a complete request has arrived. Such a client may be idle without a limit. */
    private boolean hasSentRequest;

    ClientActivity(TcpConnection channel, Clock clock) {
        this.channel = channel;
        this.clock = clock;
        lastActiveUs = acceptedUs = clock.nowUs();
    }

    /** Records bytes that were just read, of whatever part of a request. */
    void recordBytes() {
        lastActiveUs = clock.nowUs();
        if (firstReceivedUs == 0) {
            long agoUs = channel.sinceLastReceiveUs();
            firstReceivedUs = agoUs == TcpInfo.UNKNOWN ? acceptedUs : Math.min(acceptedUs, lastActiveUs - agoUs);
        }
        if (requestStartUs == 0) {
            requestStartUs = lastActiveUs;
        }
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
     * Since when the request is awaited that is incomplete: from its first byte on, and on a new connection from the first bytes of
     * all, even if they lay in the accept queue, or the accept if there are none.
     */
    long awaitedSinceUs() {
        if (hasSentRequest) {
            return requestStartUs();
        }
        return firstReceivedUs == 0 ? acceptedUs : firstReceivedUs;
    }

    /** Whether the connection is so recent that its first request may still be on its way. */
    boolean isNew() {
        return !hasSentRequest && clock.nowUs() - acceptedUs < NEW_CONNECTION_US;
    }
}

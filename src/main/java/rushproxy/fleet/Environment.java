package rushproxy.fleet;

/** What the parts of the fleet plane can do to the world. They have no socket, clock, thread or random source of their own. */
public interface Environment {
    /** Sends a datagram of at most {@link Envelope#MAX_BYTES} bytes to the peer at this place of the configured list. */
    void send(int peer, byte[] datagram);

    /** Something that operators should know, with why. One line. */
    void logEvent(String event);
}

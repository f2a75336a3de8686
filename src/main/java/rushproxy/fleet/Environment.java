package rushproxy.fleet;

/** Output of the components of the fleet plane, which have no socket, clock, thread or entropy source of their own. */
public interface Environment {
    /** Sends a datagram of at most {@link Envelope#MAX_BYTES} bytes to the peer at this index of the configured list. */
    void send(int peer, byte[] datagram);

    /** Logs an event for operators, with its reason, in one line. */
    void logEvent(String event);
}

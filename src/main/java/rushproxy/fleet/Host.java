package rushproxy.fleet;

/** What the parts of the fleet plane can do to the world. They have no socket, clock, thread or random source of their own. */
public interface Host {
    /** Sends a datagram of at most {@link Envelope#MOST} bytes to the peer at this place of the configured list. */
    void send(int peer, byte[] datagram);

    /** Something that operators should know, with why. One line. */
    void note(String event);
}

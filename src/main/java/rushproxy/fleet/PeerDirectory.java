package rushproxy.fleet;

/** The live members of the fleet, as components that only exchange messages with them need it. */
public interface PeerDirectory {
    /** Number of live members, including this one. */
    int size();

    /** Index in the configured list of a random live member, other than this one, with the feature; -1 if none was drawn. */
    int randomPeer(int feature, java.util.SplittableRandom random);

    /** Whether the member is alive or suspect, and reachable. */
    boolean isLive(long member);

    /** The member's name, or its id as text if the name is unknown. */
    String nameOf(long member);
}

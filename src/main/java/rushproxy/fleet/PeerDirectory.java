package rushproxy.fleet;

/** Who is here, as the parts that only talk to them need it. */
public interface PeerDirectory {
    /** Those here, itself included. */
    int size();

    /** The place in the configured list of one that is here and speaks the part, drawn by {@code random}; -1 for nobody. */
    int randomPeer(int feature, java.util.SplittableRandom random);

    /** Whether it is here. */
    boolean isLive(long member);

    /** Its name, or its id as text. */
    String nameOf(long member);
}

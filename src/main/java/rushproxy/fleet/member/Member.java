package rushproxy.fleet.member;

import java.nio.ByteBuffer;
import rushproxy.fleet.Envelope;

/** State of one member as seen by another or by itself. Owned by its {@link Membership}. */
public final class Member {
    /** State of a member. SUSPECT is local to members with direct evidence; the others are disseminated. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    /** Encoded size: id, incarnation, state, zone, index, version, features. */
    static final int WIRE_BYTES = 18;

    static final int UNKNOWN_INDEX = 0xFFFF;

    final long id;
    /** Unix time of the process's start in milliseconds, plus one for each refutation; 48 bits, never decreases. */
    long incarnation;

    State state;
    int zone;
    /** Index of the member in its own peer list. */
    int ownIndex;

    int version;
    /** Bit set of the fleet plane's components that it supports. */
    int features;
    /** Null until it has been received. */
    String name;
    /** Index in the local peer list at which the member is reached; -1 while unknown. */
    int peerIndex = -1;
    /** Time of the last change of its state. */
    long sinceUs;

    String reason = "";
    /** Time of its last datagram; {@code Long.MIN_VALUE / 2} for never. */
    long lastHeardUs = Long.MIN_VALUE / 2;

    Member(long id) {
        this.id = id;
    }

    /** Whether zone, version and features have been received, from the member or through others. Versions begin at 1. */
    boolean hasMetadata() {
        return version > 0;
    }

    public long id() {
        return id;
    }

    public long incarnation() {
        return incarnation;
    }

    public State state() {
        return state;
    }

    public int zone() {
        return zone;
    }

    public int version() {
        return version;
    }

    public int features() {
        return features;
    }

    /** Its name, or its id as text while the name is unknown. */
    public String name() {
        return name != null ? name : String.format("%012x", id);
    }

    public long sinceUs() {
        return sinceUs;
    }

    public String reason() {
        return reason;
    }

    void write(ByteBuffer b) {
        Envelope.put48(b, id);
        Envelope.put48(b, incarnation);
        b.put((byte) (state == State.SUSPECT ? State.ALIVE : state).ordinal())
                .put((byte) zone)
                .putShort((short) ownIndex)
                .put((byte) version)
                .put((byte) features);
    }

    /** Null if the bytes don't encode a member. */
    static Member read(ByteBuffer b) {
        Member m = new Member(Envelope.get48(b));
        m.incarnation = Envelope.get48(b);
        int state = b.get() & 255;
        m.zone = b.get() & 255;
        m.ownIndex = b.getShort() & 0xFFFF;
        m.version = b.get() & 255;
        m.features = b.get() & 255;
        if (state >= State.values().length) {
            return null;
        }
        m.state = State.values()[state];
        return m;
    }

    /** Position in the ring, the same at all members: the id mixed by Stafford's variant 13. */
    static long ringPosition(long id) {
        long z = (id ^ id >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /** Whether an update replaces another one on the same member: by incarnation, then by state. A leave is final for its incarnation. */
    static boolean supersedes(long incarnation, State state, long otherIncarnation, State otherState) {
        return incarnation != otherIncarnation
                ? incarnation > otherIncarnation
                : state.ordinal() > otherState.ordinal();
    }
}

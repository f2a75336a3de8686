package rushproxy.fleet.member;

import java.nio.ByteBuffer;
import rushproxy.fleet.Envelope;

/** What one sidecar knows of another, or of itself. Belongs to its {@link Membership}. */
public final class Member {
    /** Suspect is a state for those alone that have evidence; dead and left are told. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    /** Bytes on the wire: id, incarnation, state, zone, number, version, parts. */
    static final int WIRE_BYTES = 18;

    static final int UNKNOWN_INDEX = 0xFFFF;

    final long id;
    /** Milliseconds since 1970 at its process's start, and one more for each refutation; 48 bits, and only grows. */
    long incarnation;

    State state;
    int zone;
    /** Its place in its own configured list. */
    int ownIndex;

    int version;
    /** A bit for each part of the fleet plane that it speaks. */
    int features;
    /** Null until it has told. */
    String name;
    /** Where it is reached: its place in our configured list; -1 while that is not known. */
    int peerIndex = -1;
    /** Since when it is in its state, and why. */
    long sinceUs;

    String reason = "";
    /** When a datagram of its own came last; {@code Long.MIN_VALUE / 2} for never. */
    long lastHeardUs = Long.MIN_VALUE / 2;

    Member(long id) {
        this.id = id;
    }

    /** Whether it has told of itself, or somebody has who knew: versions begin at 1. */
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

    /** Its name, or its id as text while it has not told. */
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

    /** Null where the bytes can't be a member's. */
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

    /** Its place in the ring that all share: the id, well mixed (Stafford's variant 13). */
    static long ringPosition(long id) {
        long z = (id ^ id >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /** Of two words on the same member the later: by incarnation, then by state; a leave is final for its incarnation. */
    static boolean supersedes(long incarnation, State state, long otherIncarnation, State otherState) {
        return incarnation != otherIncarnation
                ? incarnation > otherIncarnation
                : state.ordinal() > otherState.ordinal();
    }
}

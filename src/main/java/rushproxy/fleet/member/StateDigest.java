package rushproxy.fleet.member;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collection;
import rushproxy.fleet.member.Member.State;

/**
 * Hashes over the members' states for anti-entropy: members are divided into buckets by id, two members compare a bucket's hash,
 * and transfer its content if the hashes differ. After a change all hashes are computed in one pass, so that comparisons cost
 * nothing while nothing changes, however large the fleet is.
 */
final class StateDigest {
    /** Average members per bucket: as many as fit into a datagram. */
    static final int MEMBERS_PER_BUCKET = 12;

    private final Collection<Member> members;
    private int[] hashes = new int[0];
    private boolean stale = true;

    /** {@code members}: a live view of all known members. */
    StateDigest(Collection<Member> members) {
        this.members = members;
    }

    /** To be called when a member is added or removed, or changes its state, incarnation or metadata. */
    void invalidate() {
        stale = true;
    }

    /** {@code peerCount}: length of the configured list. */
    int bucketCount(int peerCount) {
        return Math.max(1, Math.max(peerCount, members.size()) / MEMBERS_PER_BUCKET);
    }

    private static int bucketOf(long id, int buckets) {
        return (int) Long.remainderUnsigned(Member.ringPosition(id) >>> 8, buckets);
    }

    /** Hash of one bucket. The number of buckets is a parameter because the other member may use a different one. */
    int bucketHash(int bucket, int buckets) {
        if (stale || hashes.length != buckets) {
            stale = false;
            hashes = hashes.length == buckets ? hashes : new int[buckets];
            Arrays.fill(hashes, 0);
            for (Member m : members) {
                if (m.hasMetadata()) {
                    // A sum, as it does not depend on the iteration order.
                    hashes[bucketOf(m.id, buckets)] += memberHash(m);
                }
            }
        }
        return hashes[bucket];
    }

    /** A suspect counts as alive, because suspicions are local to a member. */
    private static int memberHash(Member m) {
        State state = m.state == State.SUSPECT ? State.ALIVE : m.state;
        long mixed = Member.ringPosition(m.id ^ m.incarnation << 3 ^ state.ordinal());
        return (int) (mixed ^ mixed >>> 32);
    }

    /** Writes the bucket's members, as far as there is space. */
    void writeBucket(int bucket, int buckets, ByteBuffer to) {
        for (Member m : members) {
            if (bucketOf(m.id, buckets) == bucket && to.hasRemaining() && m.hasMetadata()) {
                m.write(to);
            }
        }
    }
}

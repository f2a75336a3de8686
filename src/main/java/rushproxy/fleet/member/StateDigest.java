package rushproxy.fleet.member;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collection;
import rushproxy.fleet.member.Member.State;

/**
 * Hashes over the members' states for anti-entropy: members lie in buckets by their ids, two members compare one bucket's hash,
 * and exchange its content where the hashes differ. All hashes are made in one pass after a change, so that a comparison costs
 * nothing while nothing changes, however large the fleet is.
 */
final class StateDigest {
    /** Members of a bucket on average: a datagram's worth. */
    static final int MEMBERS_PER_BUCKET = 12;

    private final Collection<Member> members;
    private int[] hashes = new int[0];
    private boolean stale = true;

    /** {@code members}: a live view of all that are remembered. */
    StateDigest(Collection<Member> members) {
        this.members = members;
    }

    /** Some member's state, incarnation or presence is another than before. */
    void invalidate() {
        stale = true;
    }

    /** {@code places}: length of the configured list. */
    int bucketCount(int peerCount) {
        return Math.max(1, Math.max(peerCount, members.size()) / MEMBERS_PER_BUCKET);
    }

    private static int bucketOf(long id, int buckets) {
        return (int) Long.remainderUnsigned(Member.ringPosition(id) >>> 8, buckets);
    }

    /** The other side may have another number of buckets than this one. */
    int bucketHash(int bucket, int buckets) {
        if (stale || hashes.length != buckets) {
            stale = false;
            hashes = hashes.length == buckets ? hashes : new int[buckets];
            Arrays.fill(hashes, 0);
            for (Member m : members) {
                if (m.hasMetadata()) {
                    // The sum: in whatever order the members come.
                    hashes[bucketOf(m.id, buckets)] += memberHash(m);
                }
            }
        }
        return hashes[bucket];
    }

    /** A suspicion is its holder's own, and no difference. */
    private static int memberHash(Member m) {
        State state = m.state == State.SUSPECT ? State.ALIVE : m.state;
        long mixed = Member.ringPosition(m.id ^ m.incarnation << 3 ^ state.ordinal());
        return (int) (mixed ^ mixed >>> 32);
    }

    /** Writes the bucket's members, as far as there is room. */
    void writeBucket(int bucket, int buckets, ByteBuffer to) {
        for (Member m : members) {
            if (bucketOf(m.id, buckets) == bucket && to.hasRemaining() && m.hasMetadata()) {
                m.write(to);
            }
        }
    }
}

package rushproxy.fleet.member;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Changes of members that are being told on, each on a bounded number of datagrams (SWIM's retransmit limit, a multiple of the
 * logarithm of the fleet's size). Deaths, leaves and returns go first; who has come is found by {@link StateDigest} too.
 */
final class Dissemination {
    private static final int RETRANSMIT_FACTOR = 3;

    /** A change, and on how many more datagrams it goes. */
    private static final class Update {
        private final Member member;
        private int remaining;

        Update(Member of, int left) {
            this.member = of;
            this.remaining = left;
        }
    }

    /** By id, each told in turn. */
    private final Map<Long, Update> urgent = new LinkedHashMap<>();

    private final Map<Long, Update> regular = new LinkedHashMap<>();

    /** A death, a leave, a return or a refutation; {@code members} is how many are remembered. */
    void enqueueUrgent(Member m, int memberCount) {
        regular.remove(m.id);
        urgent.put(m.id, new Update(m, RETRANSMIT_FACTOR * log2(memberCount)));
    }

    /** One that has come, or told of itself; one that is told urgently is told already. */
    void enqueueRegular(Member m, int memberCount) {
        if (m.hasMetadata() && !urgent.containsKey(m.id)) {
            regular.put(m.id, new Update(m, log2(memberCount)));
        }
    }

    private static int log2(int members) {
        return 32 - Integer.numberOfLeadingZeros(Math.max(2, members));
    }

    boolean hasUrgent() {
        return !urgent.isEmpty();
    }

    boolean isEmpty() {
        return urgent.isEmpty() && regular.isEmpty();
    }

    void clear() {
        urgent.clear();
        regular.clear();
    }

    /** Fills the buffer with changes, and counts them as told once more. */
    void writeUpdates(ByteBuffer to) {
        writeUpdates(urgent, to);
        writeUpdates(regular, to);
    }

    /** The first go to the end of the line, or out of it. */
    private static void writeUpdates(Map<Long, Update> queue, ByteBuffer to) {
        List<Update> written = new ArrayList<>();
        for (Iterator<Update> i = queue.values().iterator(); i.hasNext() && to.hasRemaining(); ) {
            Update update = i.next();
            update.member.write(to);
            i.remove();
            written.add(update);
        }
        for (Update update : written) {
            if (--update.remaining > 0) {
                queue.put(update.member.id, update);
            }
        }
    }
}

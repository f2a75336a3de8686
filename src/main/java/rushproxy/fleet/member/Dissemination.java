package rushproxy.fleet.member;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of member updates that are being gossiped, each on a bounded number of datagrams (SWIM's retransmit limit, a multiple of
 * the logarithm of the fleet's size). Deaths, leaves and returns go first; joins are also found by {@link StateDigest}.
 */
final class Dissemination {
    private static final int RETRANSMIT_FACTOR = 3;

    /** An update and the number of datagrams that are still to carry it. */
    private static final class Update {
        private final Member member;
        private int remaining;

        Update(Member member, int remaining) {
            this.member = member;
            this.remaining = remaining;
        }
    }

    /** By member id, in round-robin order. */
    private final Map<Long, Update> urgent = new LinkedHashMap<>();

    private final Map<Long, Update> regular = new LinkedHashMap<>();

    /** Queues a death, leave, return or refutation. */
    void enqueueUrgent(Member m, int memberCount) {
        regular.remove(m.id);
        urgent.put(m.id, new Update(m, RETRANSMIT_FACTOR * log2(memberCount)));
    }

    /** Queues a join or new metadata, unless an urgent update of the member is queued. */
    void enqueueRegular(Member m, int memberCount) {
        if (m.hasMetadata() && !urgent.containsKey(m.id)) {
            regular.put(m.id, new Update(m, log2(memberCount)));
        }
    }

    private static int log2(int memberCount) {
        return 32 - Integer.numberOfLeadingZeros(Math.max(2, memberCount));
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

    /** Fills the buffer with updates and counts each as sent once more. */
    void writeUpdates(ByteBuffer to) {
        writeUpdates(urgent, to);
        writeUpdates(regular, to);
    }

    /** Takes updates from the head of the queue and puts them back at the tail until their limit is reached. */
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

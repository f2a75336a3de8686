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
        private final Member of;
        private int left;

        Update(Member of, int left) {
            this.of = of;
            this.left = left;
        }
    }

    /** By id, each told in turn. */
    private final Map<Long, Update> urgent = new LinkedHashMap<>();

    private final Map<Long, Update> others = new LinkedHashMap<>();

    /** A death, a leave, a return or a refutation; {@code members} is how many are remembered. */
    void tell(Member m, int members) {
        others.remove(m.id);
        urgent.put(m.id, new Update(m, RETRANSMIT_FACTOR * log2(members)));
    }

    /** One that has come, or told of itself; one that is told urgently is told already. */
    void tellInPassing(Member m, int members) {
        if (m.hasMetadata() && !urgent.containsKey(m.id)) {
            others.put(m.id, new Update(m, log2(members)));
        }
    }

    private static int log2(int members) {
        return 32 - Integer.numberOfLeadingZeros(Math.max(2, members));
    }

    boolean anyUrgent() {
        return !urgent.isEmpty();
    }

    boolean isEmpty() {
        return urgent.isEmpty() && others.isEmpty();
    }

    void clear() {
        urgent.clear();
        others.clear();
    }

    /** Fills the buffer with changes, and counts them as told once more. */
    void write(ByteBuffer to) {
        write(urgent, to);
        write(others, to);
    }

    /** The first go to the end of the line, or out of it. */
    private static void write(Map<Long, Update> line, ByteBuffer to) {
        List<Update> written = new ArrayList<>();
        for (Iterator<Update> i = line.values().iterator(); i.hasNext() && to.hasRemaining(); ) {
            Update update = i.next();
            update.of.write(to);
            i.remove();
            written.add(update);
        }
        for (Update update : written) {
            if (--update.left > 0) {
                line.put(update.of.id, update);
            }
        }
    }
}

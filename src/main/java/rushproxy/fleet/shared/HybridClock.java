package rushproxy.fleet.shared;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva, Leone 2014): stamps of 48 bits of milliseconds since 1970 and 16
 * bits of order within one, each greater than all that were given or seen before. Two things are added for hosts whose
 * clock is wrong: a stamp further ahead than {@link #MAX_DRIFT_MS} is not taken, and a host that is further off than that
 * from the middle of those it hears goes by theirs. One thread.
 */
public final class HybridClock {
    /** Clocks that are kept by a time service differ by far less; a store's word may be this far from the order of events. */
    public static final long MAX_DRIFT_MS = 5_000;
    /** As many members are heard for the middle; with fewer than three nobody can say whose clock is wrong. */
    private static final int MAX_PEERS = 15;

    private static final int MIN_PEERS = 3;
    private static final int SEQUENCE_BITS = 16;

    private long lastStamp;
    private long correctionMs;
    /** How far each is ahead of the own clock, the longest unheard first. */
    private final Map<Long, Long> offsetsMs = new LinkedHashMap<>();

    /** A stamp for an event of now. */
    public long stamp(long nowUs) {
        lastStamp = Math.max(lastStamp + 1, correctedMs(nowUs) << SEQUENCE_BITS);
        return lastStamp;
    }

    /** The own time, corrected: what the others hear of. */
    public long correctedMs(long nowUs) {
        return nowUs / 1_000 + correctionMs;
    }

    public static long millisOf(long stamp) {
        return stamp >>> SEQUENCE_BITS;
    }

    /** False where the stamp is too far ahead to be taken; else what follows is stamped after it. */
    public boolean observe(long stamp, long nowUs) {
        if (millisOf(stamp) > correctedMs(nowUs) + MAX_DRIFT_MS) {
            return false;
        }
        lastStamp = Math.max(lastStamp, stamp);
        return true;
    }

    /**
     * A member's own time has come in a datagram.
     *
     * @return whether the own time is another by it: what was stamped before may be ahead of all, and wants a new stamp
     */
    public boolean onRemoteTime(long member, long remoteMs, long nowUs) {
        offsetsMs.remove(member);
        offsetsMs.put(member, remoteMs - nowUs / 1_000);
        if (offsetsMs.size() > MAX_PEERS) {
            offsetsMs.remove(offsetsMs.keySet().iterator().next());
        }
        if (offsetsMs.size() < MIN_PEERS) {
            return false;
        }
        long[] sorted =
                offsetsMs.values().stream().mapToLong(Long::longValue).sorted().toArray();
        long median = sorted[sorted.length / 2];
        long newCorrectionMs = Math.abs(median) > MAX_DRIFT_MS ? median : 0;
        // The middle moves a little with each datagram; time that does so too would be no time.
        if (Math.abs(newCorrectionMs - correctionMs) <= MAX_DRIFT_MS) {
            return false;
        }
        correctionMs = newCorrectionMs;
        lastStamp = Math.min(lastStamp, correctedMs(nowUs) + MAX_DRIFT_MS << SEQUENCE_BITS);
        return true;
    }

    /** By how much the own clock is corrected; 0 where it goes well. */
    public long correctionMs() {
        return correctionMs;
    }
}

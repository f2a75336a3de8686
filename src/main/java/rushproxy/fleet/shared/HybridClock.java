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
    private static final int HEARD = 15;

    private static final int FEWEST = 3;
    private static final int ORDER_BITS = 16;

    private long last;
    private long correctionMs;
    /** How far each is ahead of the own clock, the longest unheard first. */
    private final Map<Long, Long> aheadMs = new LinkedHashMap<>();

    /** A stamp for an event of now. */
    public long stamp(long nowUs) {
        last = Math.max(last + 1, correctedMs(nowUs) << ORDER_BITS);
        return last;
    }

    /** The own time, corrected: what the others hear of. */
    public long correctedMs(long nowUs) {
        return nowUs / 1_000 + correctionMs;
    }

    public static long millisOf(long stamp) {
        return stamp >>> ORDER_BITS;
    }

    /** False where the stamp is too far ahead to be taken; else what follows is stamped after it. */
    public boolean observe(long stamp, long nowUs) {
        if (millisOf(stamp) > correctedMs(nowUs) + MAX_DRIFT_MS) {
            return false;
        }
        last = Math.max(last, stamp);
        return true;
    }

    /**
     * A member's own time has come in a datagram.
     *
     * @return whether the own time is another by it: what was stamped before may be ahead of all, and wants a new stamp
     */
    public boolean onRemoteTime(long member, long theirMs, long nowUs) {
        aheadMs.remove(member);
        aheadMs.put(member, theirMs - nowUs / 1_000);
        if (aheadMs.size() > HEARD) {
            aheadMs.remove(aheadMs.keySet().iterator().next());
        }
        if (aheadMs.size() < FEWEST) {
            return false;
        }
        long[] sorted =
                aheadMs.values().stream().mapToLong(Long::longValue).sorted().toArray();
        long middle = sorted[sorted.length / 2];
        long wanted = Math.abs(middle) > MAX_DRIFT_MS ? middle : 0;
        // The middle moves a little with each datagram; time that does so too would be no time.
        if (Math.abs(wanted - correctionMs) <= MAX_DRIFT_MS) {
            return false;
        }
        correctionMs = wanted;
        last = Math.min(last, correctedMs(nowUs) + MAX_DRIFT_MS << ORDER_BITS);
        return true;
    }

    /** By how much the own clock is corrected; 0 where it goes well. */
    public long correctionMs() {
        return correctionMs;
    }
}

package rushproxy.fleet.shared;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva, Leone 2014). Stamps have 48 bits of Unix time in milliseconds and a
 * 16-bit sequence within a millisecond; each is greater than all that were issued or observed before. Two additions handle hosts
 * with a wrong clock: stamps further ahead than {@link #MAX_DRIFT_MS} are rejected, and a host that is further than that from the
 * median of its peers' clocks is corrected to the median. Not thread-safe.
 */
public final class HybridClock {
    /** Far above the error of synchronised clocks. The order of writes may differ from that of events by up to this. */
    public static final long MAX_DRIFT_MS = 5_000;
    /** Peers whose clocks are used for the median, the most recently heard ones. */
    private static final int MAX_PEERS = 15;
    /** With fewer peers it is undecidable whose clock is wrong. */
    private static final int MIN_PEERS = 3;

    private static final int SEQUENCE_BITS = 16;

    private long lastStamp;
    private long correctionMs;
    /** By member id, how far its clock is ahead of the local one; the least recently heard first. */
    private final Map<Long, Long> offsetsMs = new LinkedHashMap<>();

    /** Issues a stamp for an event at this time. */
    public long stamp(long nowUs) {
        lastStamp = Math.max(lastStamp + 1, correctedMs(nowUs) << SEQUENCE_BITS);
        return lastStamp;
    }

    /** The corrected local time, as sent to other members. */
    public long correctedMs(long nowUs) {
        return nowUs / 1_000 + correctionMs;
    }

    public static long millisOf(long stamp) {
        return stamp >>> SEQUENCE_BITS;
    }

    /** Observes a received stamp, so that later ones are greater; false if it is too far ahead and rejected. */
    public boolean observe(long stamp, long nowUs) {
        if (millisOf(stamp) > correctedMs(nowUs) + MAX_DRIFT_MS) {
            return false;
        }
        lastStamp = Math.max(lastStamp, stamp);
        return true;
    }

    /**
     * Records another member's time from a datagram.
     *
     * @return whether it changed the correction of the local clock, so that earlier stamps may be wrong and need renewal
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
        // The median changes slightly with each datagram; the correction must not follow these fluctuations.
        if (Math.abs(newCorrectionMs - correctionMs) <= MAX_DRIFT_MS) {
            return false;
        }
        correctionMs = newCorrectionMs;
        lastStamp = Math.min(lastStamp, correctedMs(nowUs) + MAX_DRIFT_MS << SEQUENCE_BITS);
        return true;
    }

    /** Correction applied to the local clock; 0 if it is accurate enough. */
    public long correctionMs() {
        return correctionMs;
    }
}

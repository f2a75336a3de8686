package rushproxy.fleet.shared;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import rushproxy.fleet.Envelope;

/**
 * Grow-only counters that are summed over the fleet (G-counter, Shapiro et al. 2011). Each process counts under its own
 * incarnation, so that a restart keeps earlier counts. Not thread-safe.
 */
public final class FleetCounters {
    private static final int VALUE_BYTES = 20;
    /** Changes within this time are published together. */
    private static final long PUBLISH_INTERVAL_US = 1_000_000;
    /** Unchanged counters are renewed before their lease expires. */
    private static final long RENEW_INTERVAL_US = Table.COUNTS.leaseMs() * 1_000 / 3;

    private final ReplicatedStore store;
    private final long incarnation;
    private final Map<Long, Long> local = new LinkedHashMap<>();
    private final Map<Long, Long> published = new LinkedHashMap<>();
    private long publishedUs = Long.MIN_VALUE / 2;
    private long renewedUs = Long.MIN_VALUE / 2;

    /** {@code incarnation}: the process's first one, as a refutation does not make a new process. */
    public FleetCounters(ReplicatedStore store, long incarnation) {
        this.store = store;
        this.incarnation = incarnation;
    }

    public void add(String counter, long increment) {
        local.merge(Envelope.idOf(counter), increment, Long::sum);
    }

    public void onTick(long nowUs) {
        if (nowUs - publishedUs < PUBLISH_INTERVAL_US) {
            return;
        }
        publishedUs = nowUs;
        boolean renew = nowUs - renewedUs >= RENEW_INTERVAL_US;
        renewedUs = renew ? nowUs : renewedUs;
        local.forEach((id, count) -> {
            if (renew || !count.equals(published.get(id))) {
                published.put(id, count);
                ByteBuffer b = ByteBuffer.allocate(VALUE_BYTES);
                Envelope.put48(b, id);
                Envelope.put48(b, incarnation);
                store.put(
                        nowUs,
                        Table.COUNTS,
                        ReplicatedStore.mix(id ^ ReplicatedStore.mix(incarnation)) & (1L << 48) - 1,
                        b.putLong(count).array());
            }
        });
    }

    /** Sum over all known processes; the local counts are current even if unpublished. */
    public long sum(long nowUs, String counter) {
        long id = Envelope.idOf(counter);
        long sum = local.getOrDefault(id, 0L);
        for (StoredEntry entry : store.readAll(nowUs, Table.COUNTS)) {
            ByteBuffer b = ByteBuffer.wrap(entry.value());
            if (entry.value().length == VALUE_BYTES
                    && Envelope.get48(b) == id
                    && !(Envelope.get48(b) == incarnation && entry.writer() == store.selfId())) {
                sum += b.getLong();
            }
        }
        return sum;
    }
}

package rushproxy.fleet.shared;

/**
 * A table of the {@link ReplicatedStore} with its bounds, the same at all sidecars of one version. Sidecars skip entries of
 * unknown tables.
 *
 * @param id               on the wire, 1 to 127
 * @param owned            whether each writer has its own entry of a key; otherwise a key has one entry and the last writer wins
 * @param ranked           whether the first eight bytes of a value are its rank (a fencing token), which precedes the timestamp
 * @param maxEntries       entries kept at one sidecar; beyond it the last ones in an order common to all sidecars are evicted
 * @param maxWritersPerKey writers kept per key, evicted in the same order
 * @param maxValueBytes    of one value
 * @param leaseMs          lifetime of an entry after it was written or renewed; 0 for no expiry
 */
public record Table(
        int id,
        String name,
        boolean owned,
        boolean ranked,
        int maxEntries,
        int maxWritersPerKey,
        int maxValueBytes,
        long leaseMs) {
    /** Lifetime of tombstones in tables without a lease; in others it is the lease. */
    static final long TOMBSTONE_MS = 86_400_000;

    /**
     * Witness reports on servers. Three witnesses per server are as good as a hundred; two more may be wrong or leave. Holds about
     * 1,200 servers.
     */
    public static final Table VERDICTS = new Table(1, "verdicts", true, false, 6_144, 5, 8, 15_000);
    /** Fleet-wide limits set by operators: few, and without expiry. */
    public static final Table LIMITS = new Table(2, "limits", false, false, 64, 1, 48, 0);
    /** Counters by writer and incarnation, four for each of 2,048 processes; one that is not renewed expires after 15 minutes. */
    public static final Table COUNTS = new Table(3, "counts", true, false, 8_192, 2_048, 24, 900_000);

    /** Orders of releases, ranked by the controller's epoch and then by its step. They expire a day after the last step. */
    public static final Table ORDERS = new Table(4, "orders", false, true, 16, 1, 96, TOMBSTONE_MS);

    long tombstoneMs() {
        return leaseMs > 0 ? leaseMs : TOMBSTONE_MS;
    }
}

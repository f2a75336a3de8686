package rushproxy.fleet.shared;

/**
 * One kind of shared entries and its bounds, the same at all sidecars of a version; an entry of a table that a sidecar does not
 * know is skipped there.
 *
 * @param id         on the wire, 1 to 127
 * @param owned      each writer has entries of its own, which nobody else writes; else one entry a key, and the last writer's holds
 * @param most       entries kept at one sidecar; past it those go whose place in an order that all share is the last
 * @param mostPerKey writers kept of one key, by the same order
 * @param mostBytes  of one value
 * @param ranked     the first eight bytes of a value are its rank, and the higher goes before the later: orders that are fenced
 * @param leaseMs    an entry ends so long after it was written or renewed, and its age is at most this; 0: it does not end
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
    /** What is taken back is remembered for so long: a lease for what has one, a day for what has none. */
    static final long TOMBSTONE_MS = 86_400_000;

    /** What is known of servers. Three witnesses tell as much as a hundred; two more may be wrong, or leave. Room for some 1,200 servers. */
    public static final Table VERDICTS = new Table(1, "verdicts", true, false, 6_144, 5, 8, 15_000);
    /** The operators' fleet-wide limits: few, and they stay. */
    public static final Table LIMITS = new Table(2, "limits", false, false, 64, 1, 48, 0);
    /** Counters by writer and incarnation, of 2,048 processes four each; a quiet one is forgotten after a quarter of an hour. */
    public static final Table COUNTS = new Table(3, "counts", true, false, 8_192, 2_048, 24, 900_000);

    /** What releases order: by epoch of the controller, then by its steps. Forgotten a day after its last step. */
    public static final Table ORDERS = new Table(4, "orders", false, true, 16, 1, 96, TOMBSTONE_MS);

    long tombstoneMs() {
        return leaseMs > 0 ? leaseMs : TOMBSTONE_MS;
    }
}

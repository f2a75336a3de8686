package rushproxy.fleet.shared;

/**
 * One entry as it is read.
 *
 * @param writer who wrote it, by its member's id
 * @param ageUs  since it was written or last renewed, without its time on the network; at most the table's lease where it has one
 * @param holds  whether the table's bound on staleness holds: the lease has not ended and somebody was heard of late. Where it
 *               does not, a reader acts as if it had never been told
 */
public record StoredEntry(long key, long writer, byte[] value, long ageUs, boolean fresh) {}

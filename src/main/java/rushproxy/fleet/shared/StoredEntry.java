package rushproxy.fleet.shared;

/**
 * One entry as read from a {@link ReplicatedStore}.
 *
 * @param writer member id of its writer
 * @param ageUs  time since it was written or renewed, without its time on the network; at most the table's lease, if it has one
 * @param fresh  whether the table's bound on staleness holds: the lease has not expired and a message was received recently. A
 *               reader ignores an entry that is not fresh
 */
public record StoredEntry(long key, long writer, byte[] value, long ageUs, boolean fresh) {}

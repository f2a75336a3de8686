package rushproxy.fleet.shared;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongUnaryOperator;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Environment;
import rushproxy.fleet.PeerDirectory;

/**
 * Small replicated last-writer-wins store. Entries are ordered by {@link HybridClock}, gossiped while they are new (rumour
 * mongering, Demers et al. 1987; as deltas, Almeida, Shoker, Baquero 2018) and compared with one random member per second by a
 * two-level hash tree, so that missed updates are repaired. Performs no I/O and is deterministic: equal calls give equal
 * results. Not thread-safe.
 *
 * <p>Entries with a lease carry the remaining time instead of an expiry timestamp, so that they expire even if clocks are wrong.
 * An entry of an owned table is accepted only from its writer or from two other members, so that a malicious member can write
 * only in its own name. An entry that only one member has after its writer has gone is therefore not accepted anywhere else.
 *
 * <p>Two alternatives were rejected: one table of all members' statements, whose size grows with the fleet, and signatures,
 * which don't fit into datagrams of 256 bytes.
 */
public final class ReplicatedStore {
    /** Interval at which {@link #onTick} is to be called. */
    public static final long TICK_INTERVAL_US = 100_000;

    static final long COMPARE_INTERVAL_US = 1_000_000;
    private static final long JOIN_PHASE_US = 2_000_000;
    /** Reads are fresh while a message was received within this time: enough for three comparisons, each with its answer. */
    public static final long CONTACT_TIMEOUT_US = 5_000_000;
    /** An update is sent on this number times log2 of the fleet's size datagrams. */
    private static final double RETRANSMIT_FACTOR = 2;
    /** Members that get updates at a tick. */
    private static final int GOSSIP_FANOUT = 2;
    /** The same for a writer's own updates, which alone need no confirmation by a second member. */
    private static final int WRITER_GOSSIP_FANOUT = 6;
    /** Transmissions saved when another member already has the update. */
    private static final int DUPLICATE_DISCOUNT = 1;

    private static final int TREE_FANOUT = 32;
    private static final int MAX_LEAF_SECTIONS = 3;
    /** Datagrams with entries per answer of a comparison. */
    private static final int MAX_REPAIR_DATAGRAMS = 3;
    /** Unconfirmed entries kept per sender. */
    private static final int MAX_PENDING_PER_SENDER = 64;
    /** Unconfirmed entries kept in all. */
    private static final int MAX_PENDING = 512;

    private static final long PENDING_TIMEOUT_US = 10_000_000;
    /** Entries with less of their lease left are not compared: they expire at slightly different times at each member. */
    private static final long MIN_COMPARED_LEASE_US = 1_000_000;

    private static final long SWEEP_INTERVAL_US = 500_000;
    private static final long LOG_INTERVAL_US = 60_000_000;
    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final int NO_EXPIRY = -1;
    private static final int TOMBSTONE_FLAG = 0x80;
    private static final int ENTRY_HEADER_BYTES = 26;

    static final int CLOCK = 20;
    private static final int ENTRIES = 21;
    private static final int DIGEST = 22;
    private static final int LEAVES = 23;
    private static final int REQUEST = 24;

    /** Explicit {@code equals} and {@code hashCode}: a record's own are generated at their first call, which blocks the event loop. */
    private record EntryId(int table, long key, long writer) {
        @Override
        public boolean equals(Object o) {
            return o instanceof EntryId other && table == other.table && key == other.key && writer == other.writer;
        }

        @Override
        public int hashCode() {
            return 31 * (31 * table + Long.hashCode(key)) + Long.hashCode(writer);
        }
    }

    /** One version of an entry; {@code value} is null for a tombstone. */
    private static final class Entry {
        private final EntryId id;
        private final long writer;
        private final byte[] value;
        private final long stamp;
        /** {@code Long.MAX_VALUE} for no expiry. */
        private final long expiresUs;

        private final long rank;

        Entry(Table t, EntryId id, long writer, byte[] value, long stamp, long expiresUs) {
            rank = t.ranked() && value != null && value.length >= Long.BYTES
                    ? ByteBuffer.wrap(value).getLong()
                    : 0;
            this.id = id;
            this.writer = writer;
            this.value = value;
            this.stamp = stamp;
            this.expiresUs = expiresUs;
        }

        boolean supersedes(Entry other) {
            if (rank != other.rank) {
                return rank > other.rank;
            }
            if (stamp != other.stamp) {
                return stamp > other.stamp;
            }
            int order = Arrays.compareUnsigned(
                    value == null ? new byte[0] : value, other.value == null ? new byte[0] : other.value);
            return order != 0 ? order > 0 : writer > other.writer;
        }

        boolean isSameVersion(Entry other) {
            return stamp == other.stamp && writer == other.writer && Arrays.equals(value, other.value);
        }
    }

    /** An unconfirmed entry. {@code peerIndex} identifies the sender, as a member can forge names but not its peer index. */
    private record Pending(Entry entry, int peerIndex, long receivedUs) {}

    private final long selfId;
    private final int feature;
    private final int reservedLength;
    private final PeerDirectory peers;
    private final Environment environment;
    private final SplittableRandom random;
    private final HybridClock clock = new HybridClock();
    private final Map<Integer, Table> tables = new LinkedHashMap<>();
    private final Map<Integer, Map<EntryId, Entry>> entries = new HashMap<>();
    private final Map<EntryId, Pending> unconfirmed = new LinkedHashMap<>();
    /** Entries to be gossiped and the number of datagrams that are still to carry each. */
    private final Map<EntryId, Integer> pendingUpdates = new LinkedHashMap<>();

    private final long startUs;
    private long incarnation;
    private long nowUs;
    private long nextCompareUs;
    private long nextSweepUs;
    private long lastContactUs = NEVER;
    private final Map<String, Long> loggedUs = new HashMap<>();

    /**
     * @param selfId         id of the local member
     * @param feature        feature bit of members that have a store
     * @param reservedLength datagram length used by another protocol on the same socket, -1 for none
     */
    public ReplicatedStore(
            long selfId,
            int feature,
            int reservedLength,
            List<Table> tables,
            long nowUs,
            long seed,
            PeerDirectory peers,
            Environment environment) {
        this.selfId = selfId;
        this.feature = feature;
        this.reservedLength = reservedLength;
        this.peers = peers;
        this.environment = environment;
        random = new SplittableRandom(seed);
        this.nowUs = nowUs;
        startUs = nowUs;
        nextCompareUs = nowUs;
        for (Table t : tables) {
            this.tables.put(t.id(), t);
            entries.put(t.id(), new HashMap<>());
        }
    }

    // ---- reads and writes ---------------------------------------------------------------------------

    /**
     * Writes or renews the local member's entry of an owned table, or the single entry of any other table. The store takes
     * ownership of the value. In a ranked table the caller makes sure that the rank is not lower than that of the stored value.
     */
    public void put(long now, Table table, long key, byte[] value) {
        if (value.length > table.maxValueBytes()) {
            throw new IllegalArgumentException(
                    table.name() + ": a value of " + value.length + " bytes, " + table.maxValueBytes() + " at most");
        }
        write(now, table, key, value);
    }

    /** Removes an entry at all members. A tombstone keeps old copies from returning. */
    public void remove(long now, Table table, long key) {
        Entry entry = entries.get(table.id()).get(idOf(table, key, selfId));
        if (entry != null && entry.value != null) {
            write(now, table, key, null);
        }
    }

    private void write(long now, Table table, long key, byte[] value) {
        advance(now);
        long lifetimeMs = value == null ? table.tombstoneMs() : table.leaseMs();
        Entry entry = new Entry(
                table,
                idOf(table, key, selfId),
                selfId,
                value,
                clock.stamp(nowUs),
                lifetimeMs == 0 ? Long.MAX_VALUE : nowUs + lifetimeMs * 1_000);
        install(table, entry);
    }

    /** Null if there is no entry, or it has expired or was removed. */
    public StoredEntry read(long now, Table table, long key, long writer) {
        advance(now);
        Entry entry = entries.get(table.id()).get(idOf(table, key, writer));
        return entry == null || entry.value == null || entry.expiresUs <= nowUs ? null : toStoredEntry(table, entry);
    }

    /** All entries of a table that have a value and have not expired, in no order. */
    public List<StoredEntry> readAll(long now, Table table) {
        advance(now);
        List<StoredEntry> all = new ArrayList<>();
        for (Entry entry : entries.get(table.id()).values()) {
            if (entry.value != null && entry.expiresUs > nowUs) {
                all.add(toStoredEntry(table, entry));
            }
        }
        return all;
    }

    private StoredEntry toStoredEntry(Table table, Entry entry) {
        long ageUs = table.leaseMs() > 0
                ? table.leaseMs() * 1_000 - (entry.expiresUs - nowUs)
                : Math.max(0, (clock.correctedMs(nowUs) - HybridClock.millisOf(entry.stamp)) * 1_000);
        boolean own = entry.writer == selfId;
        return new StoredEntry(
                entry.id.key,
                entry.writer,
                entry.value.clone(),
                ageUs,
                own || nowUs - lastContactUs < CONTACT_TIMEOUT_US);
    }

    long selfId() {
        return selfId;
    }

    /** Number of entries that are held, including tombstones, as the bounds of the tables count them. */
    public int size() {
        return entries.values().stream().mapToInt(Map::size).sum();
    }

    /**
     * Hash of all entries with a value, equal for stores with equal content. Entries of owned tables count only if written since
     * {@code sinceMs} of their writer.
     */
    public long fingerprint(long now, LongUnaryOperator sinceMs) {
        advance(now);
        long sum = 0;
        for (Map.Entry<Integer, Map<EntryId, Entry>> table : entries.entrySet()) {
            for (Entry entry : table.getValue().values()) {
                boolean counts = !tables.get(table.getKey()).owned()
                        || HybridClock.millisOf(entry.stamp) >= sinceMs.applyAsLong(entry.writer);
                sum += counts && entry.expiresUs > nowUs && entry.value != null
                        ? hashOf(entry, Arrays.hashCode(entry.value))
                        : 0;
            }
        }
        return sum;
    }

    // ---- time ---------------------------------------------------------------------------------------

    /** {@code incarnation}: the current one of the local member. */
    public void onTick(long now, long incarnation) {
        advance(now);
        this.incarnation = incarnation;
        if (nowUs >= nextSweepUs) {
            nextSweepUs = nowUs + SWEEP_INTERVAL_US;
            removeExpired();
        }
        boolean hasOwnUpdates = pendingUpdates.keySet().stream().anyMatch(id -> id.writer == selfId);
        for (int i = 0; i < (hasOwnUpdates ? WRITER_GOSSIP_FANOUT : GOSSIP_FANOUT) && !pendingUpdates.isEmpty(); i++) {
            int peerIndex = peers.randomPeer(feature, random);
            if (peerIndex >= 0) {
                environment.send(peerIndex, addUpdates(newEnvelope()).toBytes(reservedLength));
            }
        }
        if (nowUs >= nextCompareUs) {
            // After a start everything is missing, so comparisons run at every tick.
            nextCompareUs = nowUs - startUs < JOIN_PHASE_US
                    ? nowUs + TICK_INTERVAL_US
                    : Math.max(nextCompareUs + COMPARE_INTERVAL_US, nowUs + COMPARE_INTERVAL_US / 2);
            startComparison();
        }
    }

    private void advance(long now) {
        nowUs = Math.max(nowUs, now);
    }

    private void removeExpired() {
        for (Map<EntryId, Entry> table : entries.values()) {
            table.values().removeIf(entry -> entry.expiresUs <= nowUs);
        }
        unconfirmed.values().removeIf(p -> p.receivedUs + PENDING_TIMEOUT_US <= nowUs);
    }

    private Envelope newEnvelope() {
        ByteBuffer b = ByteBuffer.allocate(6);
        Envelope.put48(b, clock.correctedMs(nowUs));
        return Envelope.from(selfId, incarnation).addSection(CLOCK, b);
    }

    /** Adds updates from the head of the queue and puts them back at the tail until their limit is reached. */
    private Envelope addUpdates(Envelope envelope) {
        ByteBuffer b = ByteBuffer.allocate(Math.max(0, envelope.remainingBytes()));
        Map<EntryId, Integer> requeued = new LinkedHashMap<>();
        for (Iterator<Map.Entry<EntryId, Integer>> i = pendingUpdates.entrySet().iterator();
                i.hasNext() && b.remaining() > ENTRY_HEADER_BYTES; ) {
            Map.Entry<EntryId, Integer> update = i.next();
            Entry entry = entries.get(update.getKey().table).get(update.getKey());
            if (entry != null && entry.expiresUs > nowUs && !encodeEntry(b, entry)) {
                break;
            }
            i.remove();
            if (entry != null && update.getValue() > 1) {
                requeued.put(update.getKey(), update.getValue() - 1);
            }
        }
        pendingUpdates.putAll(requeued);
        return b.position() == 0 ? envelope : envelope.addSection(ENTRIES, b);
    }

    /** False if it does not fit. */
    private boolean encodeEntry(ByteBuffer b, Entry entry) {
        int length = entry.value == null ? 0 : entry.value.length;
        if (b.remaining() < ENTRY_HEADER_BYTES + length) {
            return false;
        }
        b.put((byte) (entry.id.table | (entry.value == null ? TOMBSTONE_FLAG : 0)));
        Envelope.put48(b, entry.id.key);
        Envelope.put48(b, entry.writer);
        b.putLong(entry.stamp)
                .putInt(entry.expiresUs == Long.MAX_VALUE ? NO_EXPIRY : (int) ((entry.expiresUs - nowUs) / 1_000));
        b.put((byte) length);
        if (length > 0) {
            b.put(entry.value);
        }
        return true;
    }

    // ---- anti-entropy ---------------------------------------------------------------------------------

    /** Sends the upper level of the tree to a random member, which answers only if the stores differ. */
    private void startComparison() {
        int peerIndex = peers.randomPeer(feature, random);
        if (peerIndex < 0) {
            return;
        }
        int salt = random.nextInt();
        ByteBuffer b = ByteBuffer.allocate(4 + 4 * TREE_FANOUT).putInt(salt);
        for (long hash : treeHashes(salt, -1)) {
            b.putInt((int) hash);
        }
        environment.send(peerIndex, newEnvelope().addSection(DIGEST, b).toBytes(reservedLength));
    }

    /**
     * Hashes of all buckets, or for {@code bucket >= 0} of its leaves. They are sums, so that the order does not matter, and
     * salted, so that a collision does not persist.
     */
    private long[] treeHashes(int salt, int bucket) {
        long[] hashes = new long[TREE_FANOUT];
        for (Map<EntryId, Entry> table : entries.values()) {
            for (Entry entry : table.values()) {
                if (entry.expiresUs - MIN_COMPARED_LEASE_US > nowUs) {
                    int position = treePosition(entry.id);
                    if (bucket < 0) {
                        hashes[position >>> 5 & TREE_FANOUT - 1] += hashOf(entry, salt);
                    } else if ((position >>> 5 & TREE_FANOUT - 1) == bucket) {
                        hashes[position & TREE_FANOUT - 1] += hashOf(entry, salt);
                    }
                }
            }
        }
        return hashes;
    }

    private static long hashOf(Entry entry, long salt) {
        return mix(entry.id.key ^ Long.rotateLeft(entry.writer, 21) ^ mix(entry.stamp ^ salt << 32 ^ entry.id.table));
    }

    private static int treePosition(EntryId id) {
        return (int) mix(id.key ^ Long.rotateLeft(id.writer, 17) ^ (long) id.table << 56);
    }

    private void onDigest(int peerIndex, ByteBuffer b) {
        if (b.remaining() < 4 + 4 * TREE_FANOUT) {
            return;
        }
        int salt = b.getInt();
        long[] localHashes = treeHashes(salt, -1);
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < TREE_FANOUT; i++) {
            if (b.getInt() != (int) localHashes[i]) {
                differing.add(i);
            }
        }
        if (differing.isEmpty()) {
            return;
        }
        Envelope envelope = newEnvelope();
        for (int n = 0; n < MAX_LEAF_SECTIONS && !differing.isEmpty(); n++) {
            int bucket = differing.remove(random.nextInt(differing.size()));
            ByteBuffer leaves =
                    ByteBuffer.allocate(5 + 2 * TREE_FANOUT).put((byte) bucket).putInt(salt);
            for (long hash : treeHashes(salt, bucket)) {
                leaves.putShort((short) hash);
            }
            envelope.addSection(LEAVES, leaves);
        }
        environment.send(peerIndex, envelope.toBytes(reservedLength));
    }

    /** Sends the entries of differing leaves and requests those of the other member. */
    private void onLeaves(int peerIndex, ByteBuffer b) {
        if (b.remaining() < 5 + 2 * TREE_FANOUT) {
            return;
        }
        int bucket = b.get() & TREE_FANOUT - 1;
        long[] localHashes = treeHashes(b.getInt(), bucket);
        int mask = 0;
        for (int i = 0; i < TREE_FANOUT; i++) {
            mask |= b.getShort() != (short) localHashes[i] ? 1 << i : 0;
        }
        if (mask != 0) {
            ByteBuffer request = ByteBuffer.allocate(5).put((byte) bucket).putInt(mask);
            environment.send(
                    peerIndex, newEnvelope().addSection(REQUEST, request).toBytes(reservedLength));
            sendEntries(peerIndex, bucket, mask);
        }
    }

    private void sendEntries(int peerIndex, int bucket, int mask) {
        List<Entry> wanted = new ArrayList<>();
        for (Map<EntryId, Entry> table : entries.values()) {
            for (Entry entry : table.values()) {
                int position = treePosition(entry.id);
                if ((position >>> 5 & TREE_FANOUT - 1) == bucket
                        && (mask & 1 << (position & TREE_FANOUT - 1)) != 0
                        && entry.expiresUs > nowUs) {
                    wanted.add(entry);
                }
            }
        }
        for (int n = 0; n < MAX_REPAIR_DATAGRAMS && !wanted.isEmpty(); n++) {
            Envelope envelope = newEnvelope();
            ByteBuffer b = ByteBuffer.allocate(envelope.remainingBytes());
            while (!wanted.isEmpty() && encodeEntry(b, wanted.get(wanted.size() - 1))) {
                wanted.remove(wanted.size() - 1);
            }
            environment.send(peerIndex, envelope.addSection(ENTRIES, b).toBytes(reservedLength));
        }
    }

    // ---- messages -------------------------------------------------------------------------------------

    /** Handles a message whose sender has been verified to be the member at this peer index. Implausible content is ignored. */
    public void onMessage(long now, int peerIndex, Envelope.Message message) {
        advance(now);
        if (message.sender() == selfId) {
            return;
        }
        recordContact();
        for (Envelope.Section section : message.sections()) {
            ByteBuffer b = ByteBuffer.wrap(section.bytes());
            switch (section.type()) {
                case CLOCK -> onClock(message.sender(), b);
                case ENTRIES -> onEntries(message.sender(), peerIndex, b);
                case DIGEST -> onDigest(peerIndex, b);
                case LEAVES -> onLeaves(peerIndex, b);
                case REQUEST -> {
                    if (b.remaining() >= 5) {
                        sendEntries(peerIndex, b.get() & TREE_FANOUT - 1, b.getInt());
                    }
                }
                default -> {}
            }
        }
    }

    private void onClock(long sender, ByteBuffer b) {
        if (b.remaining() < 6) {
            return;
        }
        if (clock.onRemoteTime(sender, Envelope.get48(b), nowUs)) {
            environment.logEvent("the local clock is off by " + -clock.correctionMs()
                    + " ms from the median of the fleet, corrected");
            // Entries written with the wrong clock would win over later writes, or lose to earlier ones.
            for (Map.Entry<Integer, Map<EntryId, Entry>> table : entries.entrySet()) {
                for (Entry entry : List.copyOf(table.getValue().values())) {
                    if (entry.writer == selfId) {
                        install(
                                tables.get(table.getKey()),
                                new Entry(
                                        tables.get(table.getKey()),
                                        entry.id,
                                        selfId,
                                        entry.value,
                                        clock.stamp(nowUs),
                                        entry.expiresUs));
                    }
                }
            }
        }
    }

    /** After an isolation longer than tombstones are kept, entries without expiry may have been removed elsewhere and are dropped. */
    private void recordContact() {
        if (lastContactUs != NEVER && nowUs - lastContactUs > Table.TOMBSTONE_MS * 1_000) {
            int before = size();
            entries.values().forEach(t -> t.values().removeIf(entry -> entry.expiresUs == Long.MAX_VALUE));
            environment.logEvent(
                    "was isolated for more than a day: " + (before - size()) + " entries without expiry are dropped");
        }
        lastContactUs = nowUs;
    }

    private void onEntries(long sender, int peerIndex, ByteBuffer b) {
        while (b.remaining() >= ENTRY_HEADER_BYTES) {
            int type = b.get() & 255;
            long key = Envelope.get48(b);
            long writer = Envelope.get48(b);
            long stamp = b.getLong();
            int remainingMs = b.getInt();
            int length = b.get() & 255;
            if (length > b.remaining()) {
                return;
            }
            byte[] value = new byte[length];
            b.get(value);
            Table table = tables.get(type & ~TOMBSTONE_FLAG);
            boolean tombstone = (type & TOMBSTONE_FLAG) != 0;
            if (table == null || writer == 0 || length > table.maxValueBytes() || tombstone && length > 0) {
                continue;
            }
            long maxLifetimeMs = tombstone ? table.tombstoneMs() : table.leaseMs();
            boolean expires = maxLifetimeMs > 0;
            if (expires ? remainingMs <= 0 || remainingMs > maxLifetimeMs : remainingMs != NO_EXPIRY) {
                continue;
            }
            if (!clock.observe(stamp, nowUs)) {
                logRateLimited(
                        "ahead",
                        peers.nameOf(sender) + " sent an entry more than " + HybridClock.MAX_DRIFT_MS
                                + " ms ahead of the local clock: ignored");
                continue;
            }
            merge(
                    table,
                    sender,
                    peerIndex,
                    new Entry(
                            table,
                            idOf(table, key, writer),
                            writer,
                            tombstone ? null : value,
                            stamp,
                            expires ? nowUs + remainingMs * 1_000L : Long.MAX_VALUE));
        }
    }

    private void merge(Table table, long sender, int peerIndex, Entry received) {
        Entry current = entries.get(table.id()).get(received.id);
        if (current != null && current.expiresUs <= nowUs) {
            current = null;
        }
        if (current != null && !received.supersedes(current)) {
            if (!current.isSameVersion(received)) {
                pendingUpdates.putIfAbsent(current.id, 1);
            } else {
                // The sender has the same version, so fewer transmissions are needed.
                pendingUpdates.computeIfPresent(
                        current.id, (id, left) -> left > DUPLICATE_DISCOUNT ? left - DUPLICATE_DISCOUNT : null);
            }
            return;
        }
        if (received.writer == selfId) {
            // Written by an earlier process of this name: a local value is restamped, so that it wins.
            if (current != null) {
                install(
                        table,
                        new Entry(table, current.id, selfId, current.value, clock.stamp(nowUs), current.expiresUs));
                return;
            }
        }
        // Only owned tables need confirmation: in others a malicious member could write in its own name anyway.
        if (table.owned() && sender != received.writer) {
            Pending pending = unconfirmed.get(received.id);
            boolean confirmed =
                    pending != null && pending.peerIndex != peerIndex && pending.entry.isSameVersion(received);
            if (!confirmed) {
                boolean newer = pending == null || received.supersedes(pending.entry);
                long unconfirmedOfSender = unconfirmed.values().stream()
                        .filter(o -> o.peerIndex == peerIndex)
                        .count();
                if (newer
                        && unconfirmedOfSender < MAX_PENDING_PER_SENDER
                        && (pending != null || unconfirmed.size() < MAX_PENDING)) {
                    unconfirmed.put(received.id, new Pending(received, peerIndex, nowUs));
                }
                return;
            }
        }
        unconfirmed.remove(received.id);
        install(table, received);
    }

    private void install(Table table, Entry entry) {
        Map<EntryId, Entry> tableEntries = entries.get(table.id());
        tableEntries.put(entry.id, entry);
        int logSize = 32 - Integer.numberOfLeadingZeros(Math.max(2, peers.size()));
        pendingUpdates.remove(entry.id);
        pendingUpdates.put(entry.id, (int)
                Math.ceil(RETRANSMIT_FACTOR * logSize * (entry.writer == selfId ? WRITER_GOSSIP_FANOUT : 1)));
        if (table.owned()) {
            evictExcess(table, tableEntries, entry.id.key, table.maxWritersPerKey(), "writers of one key");
        }
        evictExcess(table, tableEntries, -1, table.maxEntries(), "entries");
    }

    /** Evicts the last entry of a key (of the table for -1) in an order common to all members, so that all keep the same ones. */
    private void evictExcess(Table table, Map<EntryId, Entry> tableEntries, long key, int max, String what) {
        int count = 0;
        Entry last = null;
        if (key < 0 && tableEntries.size() <= max) {
            return;
        }
        for (Entry entry : tableEntries.values()) {
            if (key < 0 || entry.id.key == key) {
                count++;
                last = last == null || Integer.compareUnsigned(treePosition(entry.id), treePosition(last.id)) > 0
                        ? entry
                        : last;
            }
        }
        if (count > max) {
            tableEntries.remove(last.id);
            pendingUpdates.remove(last.id);
            if (key < 0) {
                logRateLimited(
                        "full " + table.id(),
                        "the table of " + table.name() + " is full: more than " + max + " " + what);
            }
        }
    }

    /** Logs at most one event per topic and {@link #LOG_INTERVAL_US}. */
    private void logRateLimited(String topic, String text) {
        Long lastUs = loggedUs.get(topic);
        if (lastUs == null || nowUs - lastUs > LOG_INTERVAL_US) {
            loggedUs.put(topic, nowUs);
            environment.logEvent(text);
        }
    }

    private static EntryId idOf(Table table, long key, long writer) {
        return new EntryId(table.id(), key, table.owned() ? writer : 0);
    }

    /** Stafford's variant 13. */
    static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}

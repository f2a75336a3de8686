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
 * A small replicated store of a sidecar, without I/O: entries with one last writer by {@link HybridClock}, told on while they
 * are news (Demers et al. 1987, rumours; as deltas, Almeida, Shoker, Baquero 2018) and compared with one other each second by a
 * tree of two levels of hashes, so that what was missed is found. One thread; equal calls give equal results.
 *
 * <p>What one alone knows of an owned table whose writer has gone stays with that one: it counts nowhere else.
 *
 * <p>Entries with a lease carry the time that is left, not an end by the clock: no clock has to be right for them to end.
 * An entry of an owned table counts only from its writer, or from two others: one that lies can write in its own name alone.
 *
 * <p>Not taken: one table of all members' words (its size grows with the fleet), and signatures, which 256 bytes don't hold.
 */
public final class ReplicatedStore {
    /** Call {@link #onTick} this often. */
    public static final long TICK_INTERVAL_US = 100_000;

    static final long COMPARE_INTERVAL_US = 1_000_000;
    private static final long JOIN_PHASE_US = 2_000_000;
    /** Reads hold while somebody was heard within this: three comparisons, each with its answer. */
    public static final long CONTACT_TIMEOUT_US = 5_000_000;
    /** A change is told on so many times log2 of the fleet's size datagrams. */
    private static final double RETRANSMIT_FACTOR = 2;
    /** Members told at a tick; more by the writer, whose word alone needs no second. */
    private static final int GOSSIP_FANOUT = 2;

    private static final int WRITER_GOSSIP_FANOUT = 6;
    /** Of changes that others have told us already, so many tellings are saved. */
    private static final int DUPLICATE_DISCOUNT = 1;

    private static final int TREE_FANOUT = 32;
    private static final int MAX_LEAF_SECTIONS = 3;
    /** Entries that one exchange sends at most. */
    private static final int MAX_REPAIR_DATAGRAMS = 3;
    /** Of one sender, and of all, as yet unconfirmed. */
    private static final int MAX_PENDING_PER_SENDER = 64;

    private static final int MAX_PENDING = 512;
    private static final long PENDING_TIMEOUT_US = 10_000_000;
    /** What has less than this left is not compared: it ends here and there at about that time. */
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

    /** A record's own {@code equals} and {@code hashCode} are made at their first call, which holds the event loop up. */
    private record EntryKey(int table, long key, long writer) {
        @Override
        public boolean equals(Object o) {
            return o instanceof EntryKey other && table == other.table && key == other.key && writer == other.writer;
        }

        @Override
        public int hashCode() {
            return 31 * (31 * table + Long.hashCode(key)) + Long.hashCode(writer);
        }
    }

    /** {@code value} is null where it was taken back. */
    private static final class Entry {
        private final EntryKey id;
        private final long writer;
        private final byte[] value;
        private final long stamp;
        /** {@code Long.MAX_VALUE} for no end. */
        private final long expiresUs;

        private final long rank;

        Entry(Table t, EntryKey id, long writer, byte[] value, long stamp, long untilUs) {
            rank = t.ranked() && value != null && value.length >= Long.BYTES
                    ? ByteBuffer.wrap(value).getLong()
                    : 0;
            this.id = id;
            this.writer = writer;
            this.value = value;
            this.stamp = stamp;
            this.expiresUs = untilUs;
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

    /** {@code peerIndex} is the place of the one who told it: names can be made up, places can't. */
    private record Pending(Entry entry, int peerIndex, long receivedUs) {}

    private final long selfId;
    private final int feature;
    private final int reservedLength;
    private final PeerDirectory peers;
    private final Environment environment;
    private final SplittableRandom random;
    private final HybridClock clock = new HybridClock();
    private final Map<Integer, Table> tables = new LinkedHashMap<>();
    private final Map<Integer, Map<EntryKey, Entry>> entries = new HashMap<>();
    private final Map<EntryKey, Pending> unconfirmed = new LinkedHashMap<>();
    /** What is news, and how often it is still to be told. */
    private final Map<EntryKey, Integer> pendingUpdates = new LinkedHashMap<>();

    private final long startUs;
    private long incarnation;
    private long nowUs;
    private long nextCompareUs;
    private long nextSweepUs;
    private long lastContactUs = NEVER;
    private final Map<String, Long> loggedUs = new HashMap<>();

    /**
     * @param me    the own member's id
     * @param part  the bit by which members say that they have a store
     * @param taken a datagram's length that is somebody else's, -1 for none
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

    // ---- users --------------------------------------------------------------------------------------

    /**
     * Writes, or renews, the own entry of an owned table, or the one entry of another. The value is the store's own then. Of a
     * ranked table the caller sees to it that the rank is no lower than what is there.
     */
    public void put(long now, Table t, long key, byte[] value) {
        if (value.length > t.maxValueBytes()) {
            throw new IllegalArgumentException(
                    t.name() + ": a value of " + value.length + " bytes, " + t.maxValueBytes() + " at most");
        }
        write(now, t, key, value);
    }

    /** Takes it back: all forget it, and a grave keeps old copies from coming back. */
    public void remove(long now, Table t, long key) {
        Entry entry = entries.get(t.id()).get(keyOf(t, key, selfId));
        if (entry != null && entry.value != null) {
            write(now, t, key, null);
        }
    }

    private void write(long now, Table t, long key, byte[] value) {
        advance(now);
        long lifetimeMs = value == null ? t.tombstoneMs() : t.leaseMs();
        Entry entry = new Entry(
                t,
                keyOf(t, key, selfId),
                selfId,
                value,
                clock.stamp(nowUs),
                lifetimeMs == 0 ? Long.MAX_VALUE : nowUs + lifetimeMs * 1_000);
        install(t, entry);
    }

    /** Null where nothing is known, or no more. */
    public StoredEntry read(long now, Table t, long key, long writer) {
        advance(now);
        Entry h = entries.get(t.id()).get(keyOf(t, key, writer));
        return h == null || h.value == null || h.expiresUs <= nowUs ? null : toStoredEntry(t, h);
    }

    /** All that is known of a table and has not ended, in no order. */
    public List<StoredEntry> readAll(long now, Table t) {
        advance(now);
        List<StoredEntry> all = new ArrayList<>();
        for (Entry h : entries.get(t.id()).values()) {
            if (h.value != null && h.expiresUs > nowUs) {
                all.add(toStoredEntry(t, h));
            }
        }
        return all;
    }

    private StoredEntry toStoredEntry(Table t, Entry h) {
        long ageUs = t.leaseMs() > 0
                ? t.leaseMs() * 1_000 - (h.expiresUs - nowUs)
                : Math.max(0, (clock.correctedMs(nowUs) - HybridClock.millisOf(h.stamp)) * 1_000);
        boolean own = h.writer == selfId;
        return new StoredEntry(
                h.id.key, h.writer, h.value.clone(), ageUs, own || nowUs - lastContactUs < CONTACT_TIMEOUT_US);
    }

    long selfId() {
        return selfId;
    }

    /** Entries that are kept, graves with them: what its bounds bound. */
    public int size() {
        return entries.values().stream().mapToInt(Map::size).sum();
    }

    /** A hash of all that has a value, of these writers and since these milliseconds where they own it; equal where two hold the same. */
    public long fingerprint(long now, LongUnaryOperator sinceMs) {
        advance(now);
        long sum = 0;
        for (Map.Entry<Integer, Map<EntryKey, Entry>> table : entries.entrySet()) {
            for (Entry h : table.getValue().values()) {
                boolean counts = !tables.get(table.getKey()).owned()
                        || HybridClock.millisOf(h.stamp) >= sinceMs.applyAsLong(h.writer);
                sum += counts && h.expiresUs > nowUs && h.value != null ? hashOf(h, Arrays.hashCode(h.value)) : 0;
            }
        }
        return sum;
    }

    // ---- time ---------------------------------------------------------------------------------------

    /** {@code incarnation} is the own member's at this time. */
    public void onTick(long now, long incarnation) {
        advance(now);
        this.incarnation = incarnation;
        if (nowUs >= nextSweepUs) {
            nextSweepUs = nowUs + SWEEP_INTERVAL_US;
            removeExpired();
        }
        boolean hasOwnUpdates = pendingUpdates.keySet().stream().anyMatch(id -> id.writer == selfId);
        for (int i = 0; i < (hasOwnUpdates ? WRITER_GOSSIP_FANOUT : GOSSIP_FANOUT) && !pendingUpdates.isEmpty(); i++) {
            int to = peers.randomPeer(feature, random);
            if (to >= 0) {
                environment.send(to, addUpdates(newEnvelope()).toBytes(reservedLength));
            }
        }
        if (nowUs >= nextCompareUs) {
            // Who has just come has missed all.
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
        for (Map<EntryKey, Entry> table : entries.values()) {
            table.values().removeIf(h -> h.expiresUs <= nowUs);
        }
        unconfirmed.values().removeIf(p -> p.receivedUs + PENDING_TIMEOUT_US <= nowUs);
    }

    private Envelope newEnvelope() {
        ByteBuffer b = ByteBuffer.allocate(6);
        Envelope.put48(b, clock.correctedMs(nowUs));
        return Envelope.from(selfId, incarnation).addSection(CLOCK, b);
    }

    /** The first in line are told and go to its end, or out of it. */
    private Envelope addUpdates(Envelope e) {
        ByteBuffer b = ByteBuffer.allocate(Math.max(0, e.remainingBytes()));
        Map<EntryKey, Integer> requeued = new LinkedHashMap<>();
        for (Iterator<Map.Entry<EntryKey, Integer>> i =
                        pendingUpdates.entrySet().iterator();
                i.hasNext() && b.remaining() > ENTRY_HEADER_BYTES; ) {
            Map.Entry<EntryKey, Integer> n = i.next();
            Entry h = entries.get(n.getKey().table).get(n.getKey());
            if (h != null && h.expiresUs > nowUs && !encodeEntry(b, h)) {
                break;
            }
            i.remove();
            if (h != null && n.getValue() > 1) {
                requeued.put(n.getKey(), n.getValue() - 1);
            }
        }
        pendingUpdates.putAll(requeued);
        return b.position() == 0 ? e : e.addSection(ENTRIES, b);
    }

    /** False where it has no room. */
    private boolean encodeEntry(ByteBuffer b, Entry h) {
        int length = h.value == null ? 0 : h.value.length;
        if (b.remaining() < ENTRY_HEADER_BYTES + length) {
            return false;
        }
        b.put((byte) (h.id.table | (h.value == null ? TOMBSTONE_FLAG : 0)));
        Envelope.put48(b, h.id.key);
        Envelope.put48(b, h.writer);
        b.putLong(h.stamp).putInt(h.expiresUs == Long.MAX_VALUE ? NO_EXPIRY : (int) ((h.expiresUs - nowUs) / 1_000));
        b.put((byte) length);
        if (length > 0) {
            b.put(h.value);
        }
        return true;
    }

    // ---- comparing ------------------------------------------------------------------------------------

    /** The upper level of the tree goes to one member; equal stores end it with that. */
    private void startComparison() {
        int to = peers.randomPeer(feature, random);
        if (to < 0) {
            return;
        }
        int salt = random.nextInt();
        ByteBuffer b = ByteBuffer.allocate(4 + 4 * TREE_FANOUT).putInt(salt);
        for (long hash : treeHashes(salt, -1)) {
            b.putInt((int) hash);
        }
        environment.send(to, newEnvelope().addSection(DIGEST, b).toBytes(reservedLength));
    }

    /** Of the buckets, or of the leaves of one: sums, so that the order does not matter; salted, so that no two stay equal by chance. */
    private long[] treeHashes(int salt, int bucket) {
        long[] hashes = new long[TREE_FANOUT];
        for (Map<EntryKey, Entry> table : entries.values()) {
            for (Entry h : table.values()) {
                if (h.expiresUs - MIN_COMPARED_LEASE_US > nowUs) {
                    int place = treePosition(h.id);
                    if (bucket < 0) {
                        hashes[place >>> 5 & TREE_FANOUT - 1] += hashOf(h, salt);
                    } else if ((place >>> 5 & TREE_FANOUT - 1) == bucket) {
                        hashes[place & TREE_FANOUT - 1] += hashOf(h, salt);
                    }
                }
            }
        }
        return hashes;
    }

    private static long hashOf(Entry h, long salt) {
        return mix(h.id.key ^ Long.rotateLeft(h.writer, 21) ^ mix(h.stamp ^ salt << 32 ^ h.id.table));
    }

    private static int treePosition(EntryKey id) {
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
        Envelope e = newEnvelope();
        for (int n = 0; n < MAX_LEAF_SECTIONS && !differing.isEmpty(); n++) {
            int bucket = differing.remove(random.nextInt(differing.size()));
            ByteBuffer l =
                    ByteBuffer.allocate(5 + 2 * TREE_FANOUT).put((byte) bucket).putInt(salt);
            for (long hash : treeHashes(salt, bucket)) {
                l.putShort((short) hash);
            }
            e.addSection(LEAVES, l);
        }
        environment.send(peerIndex, e.toBytes(reservedLength));
    }

    /** Where leaves differ the own entries go out and the other's are asked for. */
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

    private void sendEntries(int to, int bucket, int mask) {
        List<Entry> wanted = new ArrayList<>();
        for (Map<EntryKey, Entry> table : entries.values()) {
            for (Entry h : table.values()) {
                int place = treePosition(h.id);
                if ((place >>> 5 & TREE_FANOUT - 1) == bucket
                        && (mask & 1 << (place & TREE_FANOUT - 1)) != 0
                        && h.expiresUs > nowUs) {
                    wanted.add(h);
                }
            }
        }
        for (int n = 0; n < MAX_REPAIR_DATAGRAMS && !wanted.isEmpty(); n++) {
            Envelope e = newEnvelope();
            ByteBuffer b = ByteBuffer.allocate(e.remainingBytes());
            while (!wanted.isEmpty() && encodeEntry(b, wanted.get(wanted.size() - 1))) {
                wanted.remove(wanted.size() - 1);
            }
            environment.send(to, e.addSection(ENTRIES, b).toBytes(reservedLength));
        }
    }

    // ---- datagrams ------------------------------------------------------------------------------------

    /** From the member at this place of the list, which has been taken for the letter's sender; what can't be true is left out. */
    public void onMessage(long now, int peerIndex, Envelope.Message message) {
        advance(now);
        if (message.sender() == selfId) {
            return;
        }
        recordContact();
        for (Envelope.Section s : message.sections()) {
            ByteBuffer b = ByteBuffer.wrap(s.bytes());
            switch (s.type()) {
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
            environment.logEvent(
                    "the own clock is off by " + -clock.correctionMs() + " ms of the others', and is corrected by it");
            // What it has written is ahead of all time, or will be passed by what was written before it.
            for (Map.Entry<Integer, Map<EntryKey, Entry>> table : entries.entrySet()) {
                for (Entry h : List.copyOf(table.getValue().values())) {
                    if (h.writer == selfId) {
                        install(
                                tables.get(table.getKey()),
                                new Entry(
                                        tables.get(table.getKey()),
                                        h.id,
                                        selfId,
                                        h.value,
                                        clock.stamp(nowUs),
                                        h.expiresUs));
                    }
                }
            }
        }
    }

    /** Who was alone for longer than graves are kept may hold what was taken back long ago. */
    private void recordContact() {
        if (lastContactUs != NEVER && nowUs - lastContactUs > Table.TOMBSTONE_MS * 1_000) {
            int before = size();
            entries.values().forEach(t -> t.values().removeIf(h -> h.expiresUs == Long.MAX_VALUE));
            environment.logEvent(
                    "was alone for longer than a day: " + (before - size()) + " entries without an end are forgotten");
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
            Table t = tables.get(type & ~TOMBSTONE_FLAG);
            boolean tombstone = (type & TOMBSTONE_FLAG) != 0;
            if (t == null || writer == 0 || length > t.maxValueBytes() || tombstone && length > 0) {
                continue;
            }
            long maxLifetimeMs = tombstone ? t.tombstoneMs() : t.leaseMs();
            boolean expires = maxLifetimeMs > 0;
            if (expires ? remainingMs <= 0 || remainingMs > maxLifetimeMs : remainingMs != NO_EXPIRY) {
                continue;
            }
            if (!clock.observe(stamp, nowUs)) {
                logRateLimited(
                        "ahead",
                        peers.nameOf(sender) + " tells of what is more than " + HybridClock.MAX_DRIFT_MS
                                + " ms ahead of this clock: left out");
                continue;
            }
            merge(
                    t,
                    sender,
                    peerIndex,
                    new Entry(
                            t,
                            keyOf(t, key, writer),
                            writer,
                            tombstone ? null : value,
                            stamp,
                            expires ? nowUs + remainingMs * 1_000L : Long.MAX_VALUE));
        }
    }

    private void merge(Table t, long sender, int peerIndex, Entry received) {
        Entry current = entries.get(t.id()).get(received.id);
        if (current != null && current.expiresUs <= nowUs) {
            current = null;
        }
        if (current != null && !received.supersedes(current)) {
            if (!current.isSameVersion(received)) {
                pendingUpdates.putIfAbsent(current.id, 1);
            } else {
                // Known there too: the fewer tellings are left to do.
                pendingUpdates.computeIfPresent(
                        current.id, (id, left) -> left > DUPLICATE_DISCOUNT ? left - DUPLICATE_DISCOUNT : null);
            }
            return;
        }
        if (received.writer == selfId) {
            // A process of this name wrote it before us: what we have is later, or will be by the clock that saw it.
            if (current != null) {
                install(t, new Entry(t, current.id, selfId, current.value, clock.stamp(nowUs), current.expiresUs));
                return;
            }
        }
        // Where all may write, whoever lies may do so in its own name: there is nothing to confirm.
        if (t.owned() && sender != received.writer) {
            Pending p = unconfirmed.get(received.id);
            boolean confirmed = p != null && p.peerIndex != peerIndex && p.entry.isSameVersion(received);
            if (!confirmed) {
                boolean newer = p == null || received.supersedes(p.entry);
                long unconfirmedOfSender = unconfirmed.values().stream()
                        .filter(o -> o.peerIndex == peerIndex)
                        .count();
                if (newer
                        && unconfirmedOfSender < MAX_PENDING_PER_SENDER
                        && (p != null || unconfirmed.size() < MAX_PENDING)) {
                    unconfirmed.put(received.id, new Pending(received, peerIndex, nowUs));
                }
                return;
            }
        }
        unconfirmed.remove(received.id);
        install(t, received);
    }

    private void install(Table t, Entry h) {
        Map<EntryKey, Entry> table = entries.get(t.id());
        table.put(h.id, h);
        int log = 32 - Integer.numberOfLeadingZeros(Math.max(2, peers.size()));
        pendingUpdates.remove(h.id);
        pendingUpdates.put(
                h.id, (int) Math.ceil(RETRANSMIT_FACTOR * log * (h.writer == selfId ? WRITER_GOSSIP_FANOUT : 1)));
        if (t.owned()) {
            evictExcess(t, table, h.id.key, t.maxWritersPerKey(), "writers of one key");
        }
        evictExcess(t, table, -1, t.maxEntries(), "entries");
    }

    /** Of the key's entries, or of all with -1, the last in an order that all share go, and all keep the same. */
    private void evictExcess(Table t, Map<EntryKey, Entry> table, long key, int max, String what) {
        int count = 0;
        Entry last = null;
        if (key < 0 && table.size() <= max) {
            return;
        }
        for (Entry h : table.values()) {
            if (key < 0 || h.id.key == key) {
                count++;
                last = last == null || Integer.compareUnsigned(treePosition(h.id), treePosition(last.id)) > 0
                        ? h
                        : last;
            }
        }
        if (count > max) {
            table.remove(last.id);
            pendingUpdates.remove(last.id);
            if (key < 0) {
                logRateLimited(
                        "full " + t.id(), "the table of " + t.name() + " is full: more than " + max + " " + what);
            }
        }
    }

    /** The same is not said twice within a minute. */
    private void logRateLimited(String topic, String text) {
        Long lastUs = loggedUs.get(topic);
        if (lastUs == null || nowUs - lastUs > LOG_INTERVAL_US) {
            loggedUs.put(topic, nowUs);
            environment.logEvent(text);
        }
    }

    private static EntryKey keyOf(Table t, long key, long writer) {
        return new EntryKey(t.id(), key, t.owned() ? writer : 0);
    }

    /** Stafford's variant 13. */
    static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}

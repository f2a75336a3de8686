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
    private static final long JOIN_US = 2_000_000;
    /** Reads hold while somebody was heard within this: three comparisons, each with its answer. */
    public static final long CONTACT_TIMEOUT_US = 5_000_000;
    /** A change is told on so many times log2 of the fleet's size datagrams. */
    private static final double TOLD = 2;
    /** Members told at a tick; more by the writer, whose word alone needs no second. */
    private static final int FAN = 2;

    private static final int OWN_FAN = 6;
    /** Of changes that others have told us already, so many tellings are saved. */
    private static final int KNOWN = 1;

    private static final int FANOUT = 32;
    private static final int LEAVES_MOST = 3;
    /** Entries that one exchange sends at most. */
    private static final int REPAIR = 3;
    /** Of one sender, and of all, as yet unconfirmed. */
    private static final int PENDING_EACH = 64;

    private static final int PENDING = 512;
    private static final long PENDING_US = 10_000_000;
    /** What has less than this left is not compared: it ends here and there at about that time. */
    private static final long ENDING_US = 1_000_000;

    private static final long SWEEP_US = 500_000;
    private static final long NOTE_US = 60_000_000;
    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final int NO_END = -1;
    private static final int GRAVE = 0x80;
    private static final int HEAD = 26;

    static final int CLOCK = 20;
    private static final int ENTRIES = 21;
    private static final int DIGEST = 22;
    private static final int LEAVES = 23;
    private static final int WANT = 24;

    /** A record's own {@code equals} and {@code hashCode} are made at their first call, which holds the event loop up. */
    private record Id(int table, long key, long writer) {
        @Override
        public boolean equals(Object o) {
            return o instanceof Id other && table == other.table && key == other.key && writer == other.writer;
        }

        @Override
        public int hashCode() {
            return 31 * (31 * table + Long.hashCode(key)) + Long.hashCode(writer);
        }
    }

    /** {@code value} is null where it was taken back. */
    private static final class Held {
        private final Id id;
        private final long writer;
        private final byte[] value;
        private final long stamp;
        /** {@code Long.MAX_VALUE} for no end. */
        private final long untilUs;

        private final long rank;

        Held(Table t, Id id, long writer, byte[] value, long stamp, long untilUs) {
            rank = t.ranked() && value != null && value.length >= Long.BYTES
                    ? ByteBuffer.wrap(value).getLong()
                    : 0;
            this.id = id;
            this.writer = writer;
            this.value = value;
            this.stamp = stamp;
            this.untilUs = untilUs;
        }

        boolean laterThan(Held other) {
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

        boolean same(Held other) {
            return stamp == other.stamp && writer == other.writer && Arrays.equals(value, other.value);
        }
    }

    /** {@code from} is the place of the one who told it: names can be made up, places can't. */
    private record Pending(Held word, int from, long atUs) {}

    private final long selfId;
    private final int part;
    private final int taken;
    private final PeerDirectory group;
    private final Environment host;
    private final SplittableRandom random;
    private final HybridClock clock = new HybridClock();
    private final Map<Integer, Table> tables = new LinkedHashMap<>();
    private final Map<Integer, Map<Id, Held>> entries = new HashMap<>();
    private final Map<Id, Pending> pending = new LinkedHashMap<>();
    /** What is news, and how often it is still to be told. */
    private final Map<Id, Integer> news = new LinkedHashMap<>();

    private final long startUs;
    private long incarnation;
    private long nowUs;
    private long compareUs;
    private long sweepUs;
    private long contactUs = NEVER;
    private final Map<String, Long> noted = new HashMap<>();

    /**
     * @param me    the own member's id
     * @param part  the bit by which members say that they have a store
     * @param taken a datagram's length that is somebody else's, -1 for none
     */
    public ReplicatedStore(
            long me,
            int part,
            int taken,
            List<Table> tables,
            long nowUs,
            long seed,
            PeerDirectory group,
            Environment host) {
        this.selfId = me;
        this.part = part;
        this.taken = taken;
        this.group = group;
        this.host = host;
        random = new SplittableRandom(seed);
        this.nowUs = nowUs;
        startUs = nowUs;
        compareUs = nowUs;
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
        Held held = entries.get(t.id()).get(id(t, key, selfId));
        if (held != null && held.value != null) {
            write(now, t, key, null);
        }
    }

    private void write(long now, Table t, long key, byte[] value) {
        advance(now);
        long left = value == null ? t.tombstoneMs() : t.leaseMs();
        Held held = new Held(
                t,
                id(t, key, selfId),
                selfId,
                value,
                clock.stamp(nowUs),
                left == 0 ? Long.MAX_VALUE : nowUs + left * 1_000);
        hold(t, held);
    }

    /** Null where nothing is known, or no more. */
    public StoredEntry read(long now, Table t, long key, long writer) {
        advance(now);
        Held h = entries.get(t.id()).get(id(t, key, writer));
        return h == null || h.value == null || h.untilUs <= nowUs ? null : reading(t, h);
    }

    /** All that is known of a table and has not ended, in no order. */
    public List<StoredEntry> readAll(long now, Table t) {
        advance(now);
        List<StoredEntry> all = new ArrayList<>();
        for (Held h : entries.get(t.id()).values()) {
            if (h.value != null && h.untilUs > nowUs) {
                all.add(reading(t, h));
            }
        }
        return all;
    }

    private StoredEntry reading(Table t, Held h) {
        long age = t.leaseMs() > 0
                ? t.leaseMs() * 1_000 - (h.untilUs - nowUs)
                : Math.max(0, (clock.correctedMs(nowUs) - HybridClock.millisOf(h.stamp)) * 1_000);
        boolean own = h.writer == selfId;
        return new StoredEntry(h.id.key, h.writer, h.value.clone(), age, own || nowUs - contactUs < CONTACT_TIMEOUT_US);
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
        for (Map.Entry<Integer, Map<Id, Held>> table : entries.entrySet()) {
            for (Held h : table.getValue().values()) {
                boolean counts = !tables.get(table.getKey()).owned()
                        || HybridClock.millisOf(h.stamp) >= sinceMs.applyAsLong(h.writer);
                sum += counts && h.untilUs > nowUs && h.value != null ? mixed(h, Arrays.hashCode(h.value)) : 0;
            }
        }
        return sum;
    }

    // ---- time ---------------------------------------------------------------------------------------

    /** {@code incarnation} is the own member's at this time. */
    public void onTick(long now, long incarnation) {
        advance(now);
        this.incarnation = incarnation;
        if (nowUs >= sweepUs) {
            sweepUs = nowUs + SWEEP_US;
            sweep();
        }
        boolean own = news.keySet().stream().anyMatch(id -> id.writer == selfId);
        for (int i = 0; i < (own ? OWN_FAN : FAN) && !news.isEmpty(); i++) {
            int to = group.randomPeer(part, random);
            if (to >= 0) {
                host.send(to, withNews(letter()).toBytes(taken));
            }
        }
        if (nowUs >= compareUs) {
            // Who has just come has missed all.
            compareUs = nowUs - startUs < JOIN_US
                    ? nowUs + TICK_INTERVAL_US
                    : Math.max(compareUs + COMPARE_INTERVAL_US, nowUs + COMPARE_INTERVAL_US / 2);
            compare();
        }
    }

    private void advance(long now) {
        nowUs = Math.max(nowUs, now);
    }

    private void sweep() {
        for (Map<Id, Held> table : entries.values()) {
            table.values().removeIf(h -> h.untilUs <= nowUs);
        }
        pending.values().removeIf(p -> p.atUs + PENDING_US <= nowUs);
    }

    private Envelope letter() {
        ByteBuffer b = ByteBuffer.allocate(6);
        Envelope.put48(b, clock.correctedMs(nowUs));
        return Envelope.from(selfId, incarnation).addSection(CLOCK, b);
    }

    /** The first in line are told and go to its end, or out of it. */
    private Envelope withNews(Envelope e) {
        ByteBuffer b = ByteBuffer.allocate(Math.max(0, e.remainingBytes()));
        Map<Id, Integer> again = new LinkedHashMap<>();
        for (Iterator<Map.Entry<Id, Integer>> i = news.entrySet().iterator(); i.hasNext() && b.remaining() > HEAD; ) {
            Map.Entry<Id, Integer> n = i.next();
            Held h = entries.get(n.getKey().table).get(n.getKey());
            if (h != null && h.untilUs > nowUs && !append(b, h)) {
                break;
            }
            i.remove();
            if (h != null && n.getValue() > 1) {
                again.put(n.getKey(), n.getValue() - 1);
            }
        }
        news.putAll(again);
        return b.position() == 0 ? e : e.addSection(ENTRIES, b);
    }

    /** False where it has no room. */
    private boolean append(ByteBuffer b, Held h) {
        int length = h.value == null ? 0 : h.value.length;
        if (b.remaining() < HEAD + length) {
            return false;
        }
        b.put((byte) (h.id.table | (h.value == null ? GRAVE : 0)));
        Envelope.put48(b, h.id.key);
        Envelope.put48(b, h.writer);
        b.putLong(h.stamp).putInt(h.untilUs == Long.MAX_VALUE ? NO_END : (int) ((h.untilUs - nowUs) / 1_000));
        b.put((byte) length);
        if (length > 0) {
            b.put(h.value);
        }
        return true;
    }

    // ---- comparing ------------------------------------------------------------------------------------

    /** The upper level of the tree goes to one member; equal stores end it with that. */
    private void compare() {
        int to = group.randomPeer(part, random);
        if (to < 0) {
            return;
        }
        int salt = random.nextInt();
        ByteBuffer b = ByteBuffer.allocate(4 + 4 * FANOUT).putInt(salt);
        for (long hash : hashes(salt, -1)) {
            b.putInt((int) hash);
        }
        host.send(to, letter().addSection(DIGEST, b).toBytes(taken));
    }

    /** Of the buckets, or of the leaves of one: sums, so that the order does not matter; salted, so that no two stay equal by chance. */
    private long[] hashes(int salt, int bucket) {
        long[] hashes = new long[FANOUT];
        for (Map<Id, Held> table : entries.values()) {
            for (Held h : table.values()) {
                if (h.untilUs - ENDING_US > nowUs) {
                    int place = place(h.id);
                    if (bucket < 0) {
                        hashes[place >>> 5 & FANOUT - 1] += mixed(h, salt);
                    } else if ((place >>> 5 & FANOUT - 1) == bucket) {
                        hashes[place & FANOUT - 1] += mixed(h, salt);
                    }
                }
            }
        }
        return hashes;
    }

    private static long mixed(Held h, long salt) {
        return mix(h.id.key ^ Long.rotateLeft(h.writer, 21) ^ mix(h.stamp ^ salt << 32 ^ h.id.table));
    }

    private static int place(Id id) {
        return (int) mix(id.key ^ Long.rotateLeft(id.writer, 17) ^ (long) id.table << 56);
    }

    private void digest(int from, ByteBuffer b) {
        if (b.remaining() < 4 + 4 * FANOUT) {
            return;
        }
        int salt = b.getInt();
        long[] own = hashes(salt, -1);
        List<Integer> differ = new ArrayList<>();
        for (int i = 0; i < FANOUT; i++) {
            if (b.getInt() != (int) own[i]) {
                differ.add(i);
            }
        }
        if (differ.isEmpty()) {
            return;
        }
        Envelope e = letter();
        for (int n = 0; n < LEAVES_MOST && !differ.isEmpty(); n++) {
            int bucket = differ.remove(random.nextInt(differ.size()));
            ByteBuffer l =
                    ByteBuffer.allocate(5 + 2 * FANOUT).put((byte) bucket).putInt(salt);
            for (long hash : hashes(salt, bucket)) {
                l.putShort((short) hash);
            }
            e.addSection(LEAVES, l);
        }
        host.send(from, e.toBytes(taken));
    }

    /** Where leaves differ the own entries go out and the other's are asked for. */
    private void leaves(int from, ByteBuffer b) {
        if (b.remaining() < 5 + 2 * FANOUT) {
            return;
        }
        int bucket = b.get() & FANOUT - 1;
        long[] own = hashes(b.getInt(), bucket);
        int mask = 0;
        for (int i = 0; i < FANOUT; i++) {
            mask |= b.getShort() != (short) own[i] ? 1 << i : 0;
        }
        if (mask != 0) {
            ByteBuffer want = ByteBuffer.allocate(5).put((byte) bucket).putInt(mask);
            host.send(from, letter().addSection(WANT, want).toBytes(taken));
            give(from, bucket, mask);
        }
    }

    private void give(int to, int bucket, int mask) {
        List<Held> wanted = new ArrayList<>();
        for (Map<Id, Held> table : entries.values()) {
            for (Held h : table.values()) {
                int place = place(h.id);
                if ((place >>> 5 & FANOUT - 1) == bucket
                        && (mask & 1 << (place & FANOUT - 1)) != 0
                        && h.untilUs > nowUs) {
                    wanted.add(h);
                }
            }
        }
        for (int n = 0; n < REPAIR && !wanted.isEmpty(); n++) {
            Envelope e = letter();
            ByteBuffer b = ByteBuffer.allocate(e.remainingBytes());
            while (!wanted.isEmpty() && append(b, wanted.get(wanted.size() - 1))) {
                wanted.remove(wanted.size() - 1);
            }
            host.send(to, e.addSection(ENTRIES, b).toBytes(taken));
        }
    }

    // ---- datagrams ------------------------------------------------------------------------------------

    /** From the member at this place of the list, which has been taken for the letter's sender; what can't be true is left out. */
    public void onMessage(long now, int from, Envelope.Message letter) {
        advance(now);
        if (letter.sender() == selfId) {
            return;
        }
        contact();
        for (Envelope.Section s : letter.sections()) {
            ByteBuffer b = ByteBuffer.wrap(s.bytes());
            switch (s.type()) {
                case CLOCK -> time(letter.sender(), b);
                case ENTRIES -> words(letter.sender(), from, b);
                case DIGEST -> digest(from, b);
                case LEAVES -> leaves(from, b);
                case WANT -> {
                    if (b.remaining() >= 5) {
                        give(from, b.get() & FANOUT - 1, b.getInt());
                    }
                }
                default -> {}
            }
        }
    }

    private void time(long sender, ByteBuffer b) {
        if (b.remaining() < 6) {
            return;
        }
        if (clock.onRemoteTime(sender, Envelope.get48(b), nowUs)) {
            host.logEvent(
                    "the own clock is off by " + -clock.correctionMs() + " ms of the others', and is corrected by it");
            // What it has written is ahead of all time, or will be passed by what was written before it.
            for (Map.Entry<Integer, Map<Id, Held>> table : entries.entrySet()) {
                for (Held h : List.copyOf(table.getValue().values())) {
                    if (h.writer == selfId) {
                        hold(
                                tables.get(table.getKey()),
                                new Held(
                                        tables.get(table.getKey()),
                                        h.id,
                                        selfId,
                                        h.value,
                                        clock.stamp(nowUs),
                                        h.untilUs));
                    }
                }
            }
        }
    }

    /** Who was alone for longer than graves are kept may hold what was taken back long ago. */
    private void contact() {
        if (contactUs != NEVER && nowUs - contactUs > Table.TOMBSTONE_MS * 1_000) {
            int before = size();
            entries.values().forEach(t -> t.values().removeIf(h -> h.untilUs == Long.MAX_VALUE));
            host.logEvent(
                    "was alone for longer than a day: " + (before - size()) + " entries without an end are forgotten");
        }
        contactUs = nowUs;
    }

    private void words(long sender, int from, ByteBuffer b) {
        while (b.remaining() >= HEAD) {
            int type = b.get() & 255;
            long key = Envelope.get48(b);
            long writer = Envelope.get48(b);
            long stamp = b.getLong();
            int left = b.getInt();
            int length = b.get() & 255;
            if (length > b.remaining()) {
                return;
            }
            byte[] value = new byte[length];
            b.get(value);
            Table t = tables.get(type & ~GRAVE);
            boolean grave = (type & GRAVE) != 0;
            if (t == null || writer == 0 || length > t.maxValueBytes() || grave && length > 0) {
                continue;
            }
            long most = grave ? t.tombstoneMs() : t.leaseMs();
            boolean ends = most > 0;
            if (ends ? left <= 0 || left > most : left != NO_END) {
                continue;
            }
            if (!clock.observe(stamp, nowUs)) {
                note(
                        "ahead",
                        group.nameOf(sender) + " tells of what is more than " + HybridClock.MAX_DRIFT_MS
                                + " ms ahead of this clock: left out");
                continue;
            }
            take(
                    t,
                    sender,
                    from,
                    new Held(
                            t,
                            id(t, key, writer),
                            writer,
                            grave ? null : value,
                            stamp,
                            ends ? nowUs + left * 1_000L : Long.MAX_VALUE));
        }
    }

    private void take(Table t, long sender, int from, Held word) {
        Held held = entries.get(t.id()).get(word.id);
        if (held != null && held.untilUs <= nowUs) {
            held = null;
        }
        if (held != null && !word.laterThan(held)) {
            if (!held.same(word)) {
                news.putIfAbsent(held.id, 1);
            } else {
                // Known there too: the fewer tellings are left to do.
                news.computeIfPresent(held.id, (id, left) -> left > KNOWN ? left - KNOWN : null);
            }
            return;
        }
        if (word.writer == selfId) {
            // A process of this name wrote it before us: what we have is later, or will be by the clock that saw it.
            if (held != null) {
                hold(t, new Held(t, held.id, selfId, held.value, clock.stamp(nowUs), held.untilUs));
                return;
            }
        }
        // Where all may write, whoever lies may do so in its own name: there is nothing to confirm.
        if (t.owned() && sender != word.writer) {
            Pending p = pending.get(word.id);
            boolean second = p != null && p.from != from && p.word.same(word);
            if (!second) {
                boolean newer = p == null || word.laterThan(p.word);
                long ofSender =
                        pending.values().stream().filter(o -> o.from == from).count();
                if (newer && ofSender < PENDING_EACH && (p != null || pending.size() < PENDING)) {
                    pending.put(word.id, new Pending(word, from, nowUs));
                }
                return;
            }
        }
        pending.remove(word.id);
        hold(t, word);
    }

    private void hold(Table t, Held h) {
        Map<Id, Held> table = entries.get(t.id());
        table.put(h.id, h);
        int log = 32 - Integer.numberOfLeadingZeros(Math.max(2, group.size()));
        news.remove(h.id);
        news.put(h.id, (int) Math.ceil(TOLD * log * (h.writer == selfId ? OWN_FAN : 1)));
        if (t.owned()) {
            bound(t, table, h.id.key, t.maxWritersPerKey(), "writers of one key");
        }
        bound(t, table, -1, t.maxEntries(), "entries");
    }

    /** Of the key's entries, or of all with -1, the last in an order that all share go, and all keep the same. */
    private void bound(Table t, Map<Id, Held> table, long key, int most, String of) {
        int count = 0;
        Held last = null;
        if (key < 0 && table.size() <= most) {
            return;
        }
        for (Held h : table.values()) {
            if (key < 0 || h.id.key == key) {
                count++;
                last = last == null || Integer.compareUnsigned(place(h.id), place(last.id)) > 0 ? h : last;
            }
        }
        if (count > most) {
            table.remove(last.id);
            news.remove(last.id);
            if (key < 0) {
                note("full " + t.id(), "the table of " + t.name() + " is full: more than " + most + " " + of);
            }
        }
    }

    /** The same is not said twice within a minute. */
    private void note(String about, String text) {
        Long before = noted.get(about);
        if (before == null || nowUs - before > NOTE_US) {
            noted.put(about, nowUs);
            host.logEvent(text);
        }
    }

    private static Id id(Table t, long key, long writer) {
        return new Id(t.id(), key, t.owned() ? writer : 0);
    }

    /** Stafford's variant 13. */
    static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}

package rushproxy.fleet.member;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Environment;
import rushproxy.fleet.PeerDirectory;
import rushproxy.fleet.member.Member.State;

/**
 * Who is here, who has left: a failure detector and membership view of the SWIM family (Das, Gupta, Motivala 2002; probes,
 * suspicion, refutation by incarnation, gossip that rides on probes) with Lifeguard's self-doubt (Dadgar, Phillips,
 * Currey 2017: a member that was held up or hears nobody accuses nobody). Without I/O: it is told datagrams and the time,
 * in microseconds, and acts through its {@link Environment}. Equal calls give equal results. One thread.
 *
 * <p>It differs from SWIM in two things. Most probes go to fixed targets, the next members of a ring that all order
 * alike, so that each member is looked at in every period, not only on average. And a suspicion stays with those who have
 * evidence of their own: they ask the accused again and again and others to look for themselves, and declare it dead
 * when their time is up. Not taken: to gossip suspicions, as SWIM does. At 10% loss each member misses an answer every
 * second; told to all, with the refutations, that costs more the larger the fleet is, and the accused would have to be
 * heard by the whole fleet, not by its accusers alone, before the time is up.
 */
public final class Membership implements PeerDirectory {
    /** Call {@link #onTick} this often. */
    public static final long TICK_INTERVAL_US = 100_000;
    /** Each member sends {@link #RING_TARGETS} and one more probes in this time: 12 datagrams a second with their answers. */
    static final long PROBE_PERIOD_US = 500_000;
    /** Two accusers are wanted for a quick death, so two watch each member. */
    static final int RING_TARGETS = 2;
    /** An answer across regions comes within 0.1 s; a busy core takes as long again. */
    static final long ACK_TIMEOUT_US = 300_000;
    /** Suspects are asked so often, so that one who goes on is heard at once. */
    static final long SUSPECT_PING_INTERVAL_US = 200_000;
    /** With evidence of two: a process that stalls for 1.5 s is not dead, and needs {@link #ACK_TIMEOUT_US} to say so. */
    static final long CONFIRMED_SUSPICION_TIMEOUT_US = 1_800_000;
    /** With evidence of one alone, whose own link may be at fault. */
    static final long LONE_SUSPICION_TIMEOUT_US = 4_000_000;
    /** Members asked to look for themselves when one does not answer. */
    private static final int WITNESSES = 3;
    /** Unanswered probes make its own answer time longer, up to so many times. */
    private static final int MOST_DOUBT = 4;
    /** Who has heard nobody for so long doubts itself before others. */
    private static final long DEAF_US = 1_000_000;
    /** And for so long, is alone as far as it can tell. */
    private static final long ALONE_US = 5_000_000;
    /** A tick that comes later than this after its time was held up, and all that ran then ran without us. */
    private static final long HELD_UP_US = 100_000;

    private static final int EAGER = 3;
    /** One in so many random probes goes to those held dead, so that halves of a fleet find each other again. */
    private static final int DEAD_ONE_IN = 4;
    /** One page of the state is compared with somebody's in this time, and many more after a start. */
    private static final long COMPARE_US = 1_000_000;

    private static final long JOIN_US = 3_000_000;
    private static final int JOIN_PAGES = 4;
    /** The dead are forgotten after this: a member that comes back tells of itself. */
    private static final long FORGET_US = 600_000_000;

    private static final long FORGET_LOOK_US = 10_000_000;
    /** Word of the program before counts as life for so long. */
    private static final long OLD_WORD_US = 10_000_000;
    /** An incarnation further ahead of our clock is a lie or a fault. */
    private static final long AHEAD_MS = 86_400_000;
    /** Refutations of another's claim to be us, in a minute, before we let it. */
    private static final int MOST_CLAIMS = 3;

    private static final long CLAIMS_US = 60_000_000;
    /** A place that has heard from one member within this is no other's, nor is the member at another place. */
    private static final long MOVE_US = 2_000_000;

    private static final long NAME_EVERY = 8;
    private static final int MOST_NAME = 48;
    /** Draws for somebody who is here, in a list that names many who are not. */
    private static final int TRIES = 16;
    /** Bytes before the name. */
    private static final int FACTS = 5;
    /** A datagram with one change and nothing else, and one that compares a page. */
    private static final int LEAST_NEWS = 40;

    private static final int COMPARISON = 30;
    /** A question to one under suspicion; what is told and compared leaves room for some of them. */
    private static final int QUESTION = 22;

    private static final int RESERVE = 200;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int CHECK = 3;
    private static final int ACCUSE = 4;
    private static final int SEEN = 5;
    private static final int UPDATES = 6;
    private static final int NAME = 7;
    private static final int COMPARE = 8;
    private static final int PAGE_OF = 9;

    /**
     * What it is told of itself.
     *
     * @param number  its place in its configured list
     * @param peers   length of that list
     * @param startMs Unix time of its start, its first incarnation
     * @param taken   length of a datagram that belongs to somebody else; -1 for none
     */
    public record Self(
            String name,
            int index,
            int peerCount,
            int zone,
            int zoneCount,
            int version,
            int features,
            long startMs,
            int reservedLength) {}

    /** A probe that is out. */
    private static final class Probe {
        private final Member target;
        /** Of our own accord, not since another has asked us to look. */
        private final boolean own;

        private long dueUs;

        Probe(Member target, boolean own, long dueUs) {
            this.target = target;
            this.own = own;
            this.dueUs = dueUs;
        }
    }

    /** Own evidence against a member: it has not answered us. */
    private static final class Accusation {
        private final Set<Long> accusers = new HashSet<>();
        private long sinceUs;
        private long againUs;
        private int asked;
        /** Not where it was another who made us look, or at a loss of 30% all would look for ever. */
        private boolean asksOthers;
        /** Those who asked us to look, and hear what we saw. */
        private final Set<Integer> askers = new HashSet<>();

        /** Who misses many answers is at the worse end of its links, and waits for longer. */
        long dueUs(int doubt) {
            return sinceUs
                    + (accusers.size() >= 2 ? CONFIRMED_SUSPICION_TIMEOUT_US : LONE_SUSPICION_TIMEOUT_US)
                            * (MOST_DOUBT + doubt)
                            / MOST_DOUBT;
        }
    }

    private final Self self;
    private final Environment host;
    private final SplittableRandom random;
    private final SendBudget budget;
    private final Member me;
    private final Map<Long, Member> members = new HashMap<>();
    /** All but the dead and those who left, in the order that all share. */
    private final NavigableMap<Long, Member> ring = new TreeMap<>();
    /** By place in the configured list; null where nobody is known. */
    private final Member[] slots;

    private final long[] oldWordUs;
    private final Map<Integer, Probe> probes = new LinkedHashMap<>();
    private final Map<Long, Accusation> accusations = new LinkedHashMap<>();
    /** Who asked us to look at whom, until our own probe has ended. */
    private final Map<Long, Set<Integer>> asked = new LinkedHashMap<>();

    private final Dissemination dissemination = new Dissemination();
    private final StateDigest digest = new StateDigest(members.values());
    private final long startedUs;
    private long nowUs;
    private long tickedUs;
    private long periodUs;
    private long compareUs;
    private long forgetUs;
    private long heardUs = NEVER;
    private long lookUs;
    /** A change to be told on at once; one of the view. */
    private boolean fresh;

    private boolean changed;
    private boolean quiet;
    private int doubt;
    private int sequence;
    private int bucket;
    private long sentCount;
    private final List<Long> claims = new ArrayList<>();
    private MembershipView view;

    public Membership(Self self, long nowUs, long seed, Environment host) {
        this.self = self;
        this.host = host;
        random = new SplittableRandom(seed);
        this.nowUs = tickedUs = startedUs = nowUs;
        budget = new SendBudget(nowUs);
        me = new Member(Envelope.idOf(self.name()));
        me.incarnation = self.startMs();
        me.state = State.ALIVE;
        me.zone = self.zone();
        me.ownIndex = self.index();
        me.version = self.version();
        me.features = self.features();
        me.name = self.name();
        me.peerIndex = self.index();
        me.sinceUs = nowUs;
        slots = new Member[self.peerCount()];
        oldWordUs = new long[self.peerCount()];
        Arrays.fill(oldWordUs, NEVER);
        if (self.index() >= 0 && self.index() < slots.length) {
            slots[self.index()] = me;
        }
        members.put(me.id, me);
        ring.put(Member.ringPosition(me.id), me);
        periodUs = nowUs + random.nextLong(PROBE_PERIOD_US);
        compareUs = nowUs;
        tell(me);
        view = look(null);
    }

    // ---- what users see ---------------------------------------------------------------------------

    public MembershipView view() {
        return view;
    }

    /** All that are remembered, itself included, in no order. */
    public Collection<Member> members() {
        return members.values();
    }

    /** Null where nothing is known of it. */
    public Member member(long id) {
        return members.get(id);
    }

    public Member self() {
        return me;
    }

    /** Another process of its name has come after it: it takes no part any more. */
    public boolean isStopped() {
        return quiet;
    }

    @Override
    public int size() {
        return ring.size();
    }

    @Override
    public int randomPeer(int part, SplittableRandom by) {
        for (int tries = 0; tries < TRIES && slots.length > 0; tries++) {
            Member m = slots[by.nextInt(slots.length)];
            if (m != null && m != me && m.state == State.ALIVE && (m.features & part) != 0) {
                return m.peerIndex;
            }
        }
        return -1;
    }

    /** Alive, or suspect, and reached at a place of its own: one that several names claim is nobody's. */
    @Override
    public boolean isLive(long member) {
        Member m = members.get(member);
        return m != null && m.peerIndex >= 0 && (m.state == State.ALIVE || m.state == State.SUSPECT);
    }

    @Override
    public String nameOf(long member) {
        Member m = members.get(member);
        return m == null ? String.format("%012x", member) : m.name();
    }

    // ---- time ---------------------------------------------------------------------------------------

    /** Wants to be called every {@link #TICK_INTERVAL_US}. A time that goes back is taken as no time at all. */
    public void onTick(long now) {
        advance(now);
        long heldUpUs = nowUs - tickedUs - TICK_INTERVAL_US;
        tickedUs = nowUs;
        if (quiet) {
            return;
        }
        if (heldUpUs > HELD_UP_US) {
            heldUp(heldUpUs);
        }
        lateProbes();
        lateAccusations();
        if (nowUs >= periodUs) {
            periodUs = Math.max(periodUs + PROBE_PERIOD_US, nowUs + PROBE_PERIOD_US / 2);
            period();
        }
        if (nowUs >= compareUs) {
            compare();
        }
        if (fresh) {
            eager();
        }
        if (changed || nowUs >= lookUs) {
            changed = false;
            lookUs = nowUs + COMPARE_US;
            view = look(view);
        }
    }

    private void advance(long now) {
        nowUs = Math.max(nowUs, now);
        budget.advance(nowUs);
    }

    /** What lay in our socket meanwhile has not been read: nobody's time ran. */
    private void heldUp(long us) {
        doubt = Math.min(MOST_DOUBT, doubt + 1);
        probes.values().forEach(p -> p.dueUs += us);
        accusations.values().forEach(a -> a.sinceUs += us);
        heardUs = heardUs == NEVER ? NEVER : heardUs + us;
    }

    private boolean deaf() {
        return nowUs - heardUs > DEAF_US;
    }

    private void lateProbes() {
        for (Iterator<Map.Entry<Integer, Probe>> i = probes.entrySet().iterator(); i.hasNext(); ) {
            Probe p = i.next().getValue();
            if (nowUs < p.dueUs) {
                continue;
            }
            i.remove();
            doubt = Math.min(MOST_DOUBT, doubt + 1);
            if (p.target.state == State.ALIVE || p.target.state == State.SUSPECT) {
                accuse(p.target, p.own);
            }
        }
    }

    private void accuse(Member m, boolean own) {
        if (accusations.containsKey(m.id) || deaf() && heardUs != NEVER) {
            return;
        }
        Accusation a = new Accusation();
        a.accusers.add(me.id);
        a.sinceUs = nowUs;
        a.againUs = nowUs;
        a.asksOthers = own;
        accusations.put(m.id, a);
        for (int slot : asked.getOrDefault(m.id, Set.of())) {
            a.askers.add(slot);
            send(slot, letter().addSection(ACCUSE, about(m)).toBytes(self.reservedLength()));
        }
        asked.remove(m.id);
        if (m.state == State.ALIVE) {
            become(m, State.SUSPECT, "no answer to our probe");
        }
    }

    /** Asks again; the second time others too, since most that is missed is one datagram lost. */
    private void askAgain(Accusation a, Member m) {
        a.againUs = nowUs + SUSPECT_PING_INTERVAL_US;
        ping(m);
        if (++a.asked == 2 && a.asksOthers) {
            for (Member w : some(WITNESSES, m)) {
                send(w.peerIndex, letter().addSection(CHECK, about(m)).toBytes(self.reservedLength()));
            }
        }
    }

    private void lateAccusations() {
        for (Map.Entry<Long, Accusation> e : List.copyOf(accusations.entrySet())) {
            Accusation a = e.getValue();
            Member m = members.get(e.getKey());
            if (m == null || m.state == State.DEAD || m.state == State.LEFT) {
                accusations.remove(e.getKey());
            } else if (nowUs >= a.dueUs(doubt) && !deaf()) {
                accusations.remove(e.getKey());
                become(m, State.DEAD, a.accusers.size() >= 2 ? "silent for us and " + name(a) : "silent for us alone");
            } else if (nowUs >= a.againUs && budget.admits(QUESTION)) {
                askAgain(a, m);
            } else if (nowUs >= a.againUs) {
                // Many are silent at once. Who could not be asked has not failed to answer: its time waits too.
                a.sinceUs += TICK_INTERVAL_US;
            }
        }
    }

    private String name(Accusation a) {
        return a.accusers.stream()
                .filter(id -> id != me.id)
                .map(id -> members.containsKey(id) ? members.get(id).name() : String.format("%012x", id))
                .sorted()
                .reduce((x, y) -> x + " and " + y)
                .orElse("nobody");
    }

    /** Probes of a period: the next in the ring and one at random. */
    private void period() {
        int wanted = RING_TARGETS;
        Member at = me;
        for (int i = 0; i < ring.size() - 1 && wanted > 0; i++) {
            Map.Entry<Long, Member> next = ring.higherEntry(Member.ringPosition(at.id));
            at = next == null ? ring.firstEntry().getValue() : next.getValue();
            if (at.peerIndex >= 0 && at != me) {
                if (!accusations.containsKey(at.id)) {
                    probe(at, true);
                }
                // Beyond one under suspicion is somebody who would have nobody left to look at him.
                wanted -= at.state == State.SUSPECT ? 0 : 1;
            }
        }
        int slot = random.nextInt(slots.length);
        Member m = slots[slot];
        if (m == null) {
            // Nobody is known there yet, or the program before is.
            ping(slot);
        } else if (m != me) {
            boolean gone = m.state == State.DEAD || m.state == State.LEFT;
            if (!gone || random.nextInt(DEAD_ONE_IN) == 0) {
                probe(m, true);
            }
        }
        if (random.nextInt(DEAD_ONE_IN) == 0) {
            oneOfTheDead();
        }
        forget();
    }

    private void oneOfTheDead() {
        List<Member> dead = new ArrayList<>();
        for (Member m : members.values()) {
            if (m.state == State.DEAD && m.peerIndex >= 0) {
                dead.add(m);
            }
        }
        if (!dead.isEmpty()) {
            dead.sort((a, b) -> Long.compare(a.id, b.id));
            ping(dead.get(random.nextInt(dead.size())));
        }
    }

    /** Seldom: it goes through all members. */
    private void forget() {
        if (nowUs < forgetUs) {
            return;
        }
        forgetUs = nowUs + FORGET_LOOK_US;
        members.values().removeIf(m -> {
            boolean old = (m.state == State.DEAD || m.state == State.LEFT) && nowUs - m.sinceUs > FORGET_US;
            if (old && m.peerIndex >= 0 && slots[m.peerIndex] == m) {
                slots[m.peerIndex] = null;
            }
            if (old) {
                digest.changed();
            }
            return old;
        });
    }

    private void probe(Member m, boolean own) {
        int number = ping(m);
        if (!accusations.containsKey(m.id)) {
            probes.put(number, new Probe(m, own, nowUs + ACK_TIMEOUT_US * (4 + doubt) / 4));
        }
    }

    private int ping(Member m) {
        return ping(m.peerIndex);
    }

    /** Whoever is there answers, and says by it who that is. */
    private int ping(int slot) {
        int number = sequence = sequence + 1 & 0xFFFF;
        ByteBuffer b = ByteBuffer.allocate(2).putShort((short) number);
        Envelope e = letter().addSection(PING, b);
        if (nowUs - startedUs < JOIN_US || sentCount++ % NAME_EVERY == 0) {
            addName(e);
        }
        send(slot, withUpdates(e).toBytes(self.reservedLength()));
        return number;
    }

    /** Who we are: zone, number, version, parts, and the name. */
    private void addName(Envelope e) {
        byte[] name = self.name().getBytes(StandardCharsets.UTF_8);
        ByteBuffer b = ByteBuffer.allocate(FACTS + MOST_NAME);
        b.put((byte) me.zone)
                .putShort((short) me.ownIndex)
                .put((byte) me.version)
                .put((byte) me.features);
        b.put(name, 0, Math.min(MOST_NAME, name.length));
        e.addSection(NAME, b);
    }

    /** One page of the state with somebody's: only a hash goes out where both have the same. */
    private void compare() {
        boolean joining = nowUs - startedUs < JOIN_US;
        compareUs = nowUs + (joining ? TICK_INTERVAL_US : COMPARE_US);
        for (int i = 0; i < (joining ? JOIN_PAGES : 1); i++) {
            List<Member> one = some(1, null);
            int slot = one.isEmpty() ? random.nextInt(slots.length) : one.get(0).peerIndex;
            if (slot == self.index() || !budget.admits(COMPARISON + RESERVE)) {
                continue;
            }
            int buckets = digest.buckets(slots.length);
            bucket = (bucket + 1) % buckets;
            ByteBuffer b = ByteBuffer.allocate(8)
                    .putShort((short) bucket)
                    .putShort((short) buckets)
                    .putInt(digest.hash(bucket, buckets));
            send(slot, withUpdates(letter().addSection(COMPARE, b)).toBytes(self.reservedLength()));
        }
    }

    // ---- datagrams ----------------------------------------------------------------------------------

    /** The program before, which speaks no envelopes, has said something: its peer lives. */
    public void onLegacyDatagram(long now, int from) {
        advance(now);
        if (from >= 0 && from < oldWordUs.length) {
            oldWordUs[from] = nowUs;
        }
    }

    /** {@link #onMessage} of what is an envelope. */
    public void onDatagram(long now, int from, byte[] datagram) {
        Envelope.Message letter = Envelope.parse(datagram);
        if (letter != null) {
            onMessage(now, from, letter);
        }
    }

    /**
     * From the peer at this place of the list; what can't be true changes nothing.
     *
     * @return whether it is its sender's: another part may take its own sections then
     */
    public boolean onMessage(long now, int from, Envelope.Message letter) {
        advance(now);
        if (from < 0 || from >= slots.length || quiet || letter.sender() == 0 || ahead(letter.incarnation())) {
            return false;
        }
        if (letter.sender() == me.id) {
            mirror(letter, from);
            return false;
        }
        Member sender = another(letter.sender(), from) ? null : heard(letter, from);
        if (sender == null) {
            return false;
        }
        for (Envelope.Section s : letter.sections()) {
            ByteBuffer b = ByteBuffer.wrap(s.bytes());
            switch (s.type()) {
                case PING -> pinged(sender, b);
                case ACK -> acked(sender, b);
                case CHECK -> checked(sender, b);
                case ACCUSE -> accused(sender, b);
                case SEEN -> seen(b);
                case UPDATES -> updated(sender, b);
                case COMPARE -> compared(sender, b);
                case PAGE_OF -> page(b);
                default -> {}
            }
        }
        return sender.peerIndex == from;
    }

    /** A place speaks for one member, and a member from one place: another has to wait until the one is silent. */
    private boolean another(long sender, int from) {
        Member m = members.get(sender);
        Member before = slots[from];
        return m != null && m.peerIndex != from && m.peerIndex >= 0 && speaks(m)
                || before != null && before != m && speaks(before);
    }

    private boolean speaks(Member m) {
        return m != me && (m.state == State.ALIVE || m.state == State.SUSPECT) && nowUs - m.lastHeardUs < MOVE_US;
    }

    private boolean ahead(long incarnation) {
        return incarnation > nowUs / 1_000 + AHEAD_MS;
    }

    /** Somebody else has our name. The later process stays, the earlier goes quiet and leaves the name to it. */
    private void mirror(Envelope.Message letter, int from) {
        if (from == self.index() && letter.incarnation() == me.incarnation) {
            return;
        }
        if (letter.incarnation() > me.incarnation && nowUs - startedUs >= JOIN_US) {
            // The last word: the other would not know that there was one before it.
            send(from, letter().toBytes(self.reservedLength()));
            goQuiet("another process of this name, started later, speaks from place " + from);
        } else if (letter.incarnation() > me.incarnation) {
            host.logEvent("another process of this name speaks from place " + from);
            refute(letter.incarnation(), "place " + from);
        } else {
            host.logEvent("another process of this name, started before, speaks from place " + from);
        }
    }

    private void goQuiet(String why) {
        quiet = true;
        probes.clear();
        accusations.clear();
        dissemination.clear();
        host.logEvent("takes no part among members any more: " + why);
        view = look(view);
    }

    /** What a datagram says by having come: its sender lives, is this one, and is reached there. */
    private Member heard(Envelope.Message letter, int from) {
        Member m = members.get(letter.sender());
        if (m == null) {
            m = new Member(letter.sender());
            m.ownIndex = Member.UNKNOWN_INDEX;
            m.incarnation = letter.incarnation();
            m.state = State.LEFT;
            facts(m, letter);
            members.put(m.id, m);
            place(m, from);
            heardNow(m);
            become(m, State.ALIVE, "has come");
            return m;
        }
        if (letter.incarnation() < m.incarnation) {
            // A process of before, or one that does not know yet what was said of it: it is told, and may answer that.
            if ((m.peerIndex < 0 || m.peerIndex == from) && budget.admits(LEAST_NEWS)) {
                ByteBuffer b = ByteBuffer.allocate(Member.WIRE_BYTES);
                m.write(b);
                send(from, letter().addSection(UPDATES, b).toBytes(self.reservedLength()));
            }
            return null;
        }
        facts(m, letter);
        place(m, from);
        heardNow(m);
        if (letter.incarnation() > m.incarnation) {
            m.incarnation = letter.incarnation();
            digest.changed();
            become(m, State.ALIVE, "has come back");
            tell(m);
        } else if (m.state == State.SUSPECT) {
            become(m, State.ALIVE, "has answered");
        }
        Accusation a = accusations.remove(m.id);
        for (int slot : a == null ? Set.<Integer>of() : a.askers) {
            sendSeen(slot, m.id);
        }
        return m;
    }

    private void heardNow(Member m) {
        m.lastHeardUs = nowUs;
        heardUs = nowUs;
        if (m.peerIndex >= 0) {
            oldWordUs[m.peerIndex] = NEVER;
        }
    }

    private void place(Member m, int from) {
        if (m.peerIndex == from || from == self.index()) {
            return;
        }
        if (m.peerIndex >= 0 && slots[m.peerIndex] == m) {
            slots[m.peerIndex] = null;
        }
        Member before = slots[from];
        if (before != null && before != me) {
            before.peerIndex = -1;
        }
        slots[from] = m;
        m.peerIndex = from;
    }

    private static boolean has(ByteBuffer b, int bytes) {
        return b.remaining() >= bytes;
    }

    private void pinged(Member sender, ByteBuffer b) {
        if (!has(b, 2)) {
            return;
        }
        short number = b.getShort();
        ByteBuffer ack = ByteBuffer.allocate(2).putShort(number);
        Envelope e = letter().addSection(ACK, ack);
        if (nowUs - startedUs < JOIN_US || sentCount++ % NAME_EVERY == 0) {
            addName(e);
        }
        send(sender.peerIndex, withUpdates(e).toBytes(self.reservedLength()));
    }

    private void acked(Member sender, ByteBuffer b) {
        if (!has(b, 2)) {
            return;
        }
        Probe p = probes.remove(b.getShort() & 0xFFFF);
        if (p != null && p.target == sender) {
            doubt = Math.max(0, doubt - 1);
        }
        Set<Integer> askers = asked.remove(sender.id);
        if (askers != null) {
            askers.forEach(slot -> sendSeen(slot, sender.id));
        }
    }

    /** A member that has not heard from another asks us to look for ourselves. */
    private void checked(Member sender, ByteBuffer b) {
        Member m = has(b, 12) ? members.get(Envelope.get48(b)) : null;
        long incarnation = m == null ? 0 : Envelope.get48(b);
        if (m == null
                || m == me
                || incarnation < m.incarnation
                || m.peerIndex < 0
                || m.state == State.DEAD
                || m.state == State.LEFT) {
            return;
        }
        Accusation own = accusations.get(m.id);
        if (own != null) {
            own.accusers.add(sender.id);
            own.askers.add(sender.peerIndex);
            send(sender.peerIndex, letter().addSection(ACCUSE, about(m)).toBytes(self.reservedLength()));
        } else {
            asked.computeIfAbsent(m.id, id -> new HashSet<>()).add(sender.peerIndex);
            probe(m, false);
        }
    }

    private void accused(Member sender, ByteBuffer b) {
        Accusation a = has(b, 12) ? accusations.get(Envelope.get48(b)) : null;
        if (a != null) {
            a.accusers.add(sender.id);
        }
    }

    /** A witness has heard from the one that does not answer us: the link between us is bad, not the member. */
    private void seen(ByteBuffer b) {
        Member m = has(b, 12) ? members.get(Envelope.get48(b)) : null;
        if (m != null && accusations.remove(m.id) != null && m.state == State.SUSPECT) {
            m.lastHeardUs = nowUs;
            become(m, State.ALIVE, "was heard by a witness");
        }
    }

    private void sendSeen(int slot, long id) {
        Member m = members.get(id);
        send(slot, letter().addSection(SEEN, about(m)).toBytes(self.reservedLength()));
    }

    private void updated(Member sender, ByteBuffer b) {
        while (has(b, Member.WIRE_BYTES)) {
            Member word = Member.read(b);
            if (word == null) {
                return;
            }
            take(word, sender.name(), false);
        }
    }

    /** What it says of itself; only the name that the id stands for. */
    private void facts(Member m, Envelope.Message letter) {
        for (Envelope.Section s : letter.sections()) {
            if (s.type() != NAME || s.bytes().length < FACTS) {
                continue;
            }
            ByteBuffer b = ByteBuffer.wrap(s.bytes());
            int zone = b.get() & 255;
            if (zone < Math.max(1, self.zoneCount())) {
                boolean news = !m.hasMetadata();
                if (news) {
                    digest.changed();
                }
                m.zone = zone;
                m.ownIndex = b.getShort() & 0xFFFF;
                m.version = b.get() & 255;
                m.features = b.get() & 255;
                if (news && m.hasMetadata() && m.state == State.ALIVE) {
                    tellInPassing(m);
                }
            }
            if (m.name == null) {
                String name = new String(s.bytes(), FACTS, s.bytes().length - FACTS, StandardCharsets.UTF_8);
                m.name = Envelope.idOf(name) == m.id ? name : null;
            }
        }
    }

    private void compared(Member sender, ByteBuffer b) {
        if (!has(b, 8)) {
            return;
        }
        int of = b.getShort() & 0xFFFF;
        int buckets = b.getShort() & 0xFFFF;
        if (buckets == 0
                || of >= buckets
                || !budget.admits(Envelope.MAX_BYTES + RESERVE)
                || b.getInt() == digest.hash(of, buckets)) {
            return;
        }
        ByteBuffer page = ByteBuffer.allocate(Member.WIRE_BYTES * StateDigest.PAGE);
        digest.write(of, buckets, page);
        send(sender.peerIndex, letter().addSection(PAGE_OF, page).toBytes(self.reservedLength()));
    }

    private void page(ByteBuffer b) {
        while (has(b, Member.WIRE_BYTES)) {
            Member word = Member.read(b);
            if (word == null) {
                return;
            }
            take(word, "a page", true);
        }
    }

    /** Somebody's word on a member. What can't be true is left out. */
    private void take(Member word, String who, boolean paged) {
        boolean zoneFits = word.zone < Math.max(1, self.zoneCount());
        if (word.id == 0 || !zoneFits || ahead(word.incarnation)) {
            return;
        }
        if (word.id == me.id) {
            if (word.incarnation > me.incarnation || word.incarnation == me.incarnation && word.state != State.ALIVE) {
                claimed(word, who);
            }
            return;
        }
        Member m = members.get(word.id);
        if (m != null && !m.hasMetadata() && word.hasMetadata() && word.incarnation == m.incarnation) {
            adopt(m, word);
            presume(m);
        }
        if (m == null) {
            if (word.state == State.DEAD || word.state == State.LEFT) {
                return;
            }
            m = new Member(word.id);
            m.state = State.LEFT;
            members.put(m.id, m);
            adopt(m, word);
            presume(m);
            become(m, State.ALIVE, "by word of " + who);
            return;
        }
        if (!Member.supersedes(
                        word.incarnation, word.state, m.incarnation, m.state == State.SUSPECT ? State.ALIVE : m.state)
                || word.state == State.SUSPECT && word.incarnation == m.incarnation) {
            return;
        }
        boolean deadByPage = paged
                && word.state == State.DEAD
                && word.incarnation == m.incarnation
                && (m.state == State.ALIVE || m.state == State.SUSPECT);
        boolean heardJustNow =
                word.state == State.DEAD && word.incarnation == m.incarnation && nowUs - m.lastHeardUs < DEAF_US;
        if (deadByPage || heardJustNow) {
            // An old page, or a quarrel: it hears of it, and says itself whether it lives.
            if (m.peerIndex >= 0 && budget.admits(LEAST_NEWS)) {
                ByteBuffer b = ByteBuffer.allocate(Member.WIRE_BYTES);
                word.write(b);
                send(m.peerIndex, letter().addSection(UPDATES, b).toBytes(self.reservedLength()));
            }
            return;
        }
        // Suspicions are not told: one that is says no more than that it lives.
        State now = word.state == State.SUSPECT ? State.ALIVE : word.state;
        adopt(m, word);
        presume(m);
        become(m, now, "by word of " + who);
        tell(m);
    }

    private void adopt(Member m, Member word) {
        digest.changed();
        m.incarnation = word.incarnation;
        m.zone = word.zone;
        m.ownIndex = word.ownIndex;
        m.version = word.version;
        m.features = word.features;
    }

    /** Where nothing else is known, it is reached at the place that it says it has: its first datagram tells better. */
    private void presume(Member m) {
        if (m.peerIndex < 0 && m.ownIndex < slots.length && slots[m.ownIndex] == null) {
            m.peerIndex = m.ownIndex;
            slots[m.ownIndex] = m;
        }
    }

    /** Word on ourselves that is not so. */
    private void claimed(Member word, String who) {
        if (word.state == State.ALIVE && nowUs - startedUs >= JOIN_US) {
            claims.removeIf(at -> nowUs - at > CLAIMS_US);
            claims.add(nowUs);
            if (claims.size() > MOST_CLAIMS) {
                goQuiet("another process of this name goes on claiming it, by word of " + who);
                return;
            }
        }
        refute(word.incarnation, who);
    }

    private void refute(long incarnation, String who) {
        me.incarnation = Math.min((1L << 48) - 1, incarnation + 1);
        digest.changed();
        me.sinceUs = nowUs;
        host.logEvent("refutes what " + who + " says of it");
        tell(me);
    }

    // ---- changes ------------------------------------------------------------------------------------

    private void become(Member m, State state, String why) {
        digest.changed();
        boolean was = m.state == State.ALIVE || m.state == State.SUSPECT;
        // One that is new here was in no state before.
        boolean gone = !was && m.sinceUs != 0;
        if (m.state != state
                && (state != State.SUSPECT && m.state != State.SUSPECT || state == State.DEAD || state == State.LEFT)) {
            host.logEvent(m.name() + " is " + state.name().toLowerCase(java.util.Locale.ROOT) + ": " + why);
        }
        if (m.state != state) {
            m.sinceUs = nowUs;
            m.reason = why;
        }
        m.state = state;
        boolean is = state == State.ALIVE || state == State.SUSPECT;
        if (is && !was) {
            ring.put(Member.ringPosition(m.id), m);
        } else if (!is) {
            ring.remove(Member.ringPosition(m.id));
            accusations.remove(m.id);
        }
        if (state == State.ALIVE) {
            Accusation a = accusations.remove(m.id);
            if (a != null) {
                a.askers.forEach(slot -> sendSeen(slot, m.id));
            }
        }
        changed = true;
        if (!is || gone) {
            tell(m);
        } else if (!was) {
            tellInPassing(m);
        }
    }

    private void tell(Member m) {
        dissemination.tell(m, members.size());
        fresh = true;
    }

    private void tellInPassing(Member m) {
        dissemination.tellInPassing(m, members.size());
    }

    /** Fills what room is left with changes. */
    private Envelope withUpdates(Envelope e) {
        int affordable = (budget.left() - RESERVE - SendBudget.HEADERS - (Envelope.MAX_BYTES - e.remainingBytes()))
                / Member.WIRE_BYTES;
        int most = Math.min(Math.min(e.remainingBytes() / Member.WIRE_BYTES, StateDigest.PAGE), affordable);
        if (most <= 0 || dissemination.isEmpty()) {
            return e;
        }
        ByteBuffer b = ByteBuffer.allocate(most * Member.WIRE_BYTES);
        dissemination.write(b);
        return e.addSection(UPDATES, b);
    }

    /** News does not wait for the next probe, but for room in the budget. */
    private void eager() {
        fresh = false;
        for (Member m : some(EAGER, null)) {
            if (!dissemination.anyUrgent()) {
                return;
            }
            if (!budget.admits(LEAST_NEWS + RESERVE)) {
                fresh = true;
                return;
            }
            send(m.peerIndex, withUpdates(letter()).toBytes(self.reservedLength()));
        }
    }

    /** So many of those here that can be reached, at random, without one. */
    private List<Member> some(int n, Member but) {
        List<Member> some = new ArrayList<>(n);
        for (int tries = 0; tries < 4 * n && some.size() < n; tries++) {
            Member m = slots.length == 0 ? null : slots[random.nextInt(slots.length)];
            if (m != null && m != me && m != but && m.state == State.ALIVE && !some.contains(m)) {
                some.add(m);
            }
        }
        return some;
    }

    private ByteBuffer about(Member m) {
        ByteBuffer b = ByteBuffer.allocate(12);
        Envelope.put48(b, m.id);
        Envelope.put48(b, m.incarnation);
        return b;
    }

    private void send(int slot, byte[] datagram) {
        budget.spend(datagram.length);
        host.send(slot, datagram);
    }

    private Envelope letter() {
        return Envelope.from(me.id, me.incarnation);
    }

    /** The process leaves of its own will: told to several, since some word is lost. Nothing follows. */
    public void leave(long now) {
        advance(now);
        if (quiet) {
            return;
        }
        me.state = State.LEFT;
        digest.changed();
        ByteBuffer b = ByteBuffer.allocate(Member.WIRE_BYTES);
        me.write(b);
        for (Member m : some(2 * EAGER, null)) {
            ByteBuffer copy = ByteBuffer.allocate(Member.WIRE_BYTES).put(b.array());
            send(m.peerIndex, letter().addSection(UPDATES, copy).toBytes(self.reservedLength()));
        }
        quiet = true;
        host.logEvent("has told that it leaves");
    }

    private MembershipView look(MembershipView before) {
        int here = 0;
        int gone = 0;
        int[] zones = new int[Math.max(1, self.zoneCount())];
        // Whom it has not heard of for so long it can't call dead, nor count.
        boolean alone = nowUs - Math.max(startedUs, heardUs) > ALONE_US;
        if (alone) {
            here = 1;
            zones[Math.min(zones.length - 1, me.zone)]++;
        }
        if (!quiet && !alone) {
            for (Member m : members.values()) {
                if (m.state == State.LEFT) {
                    gone += m.peerIndex >= 0 ? 1 : 0;
                } else if (m.state != State.DEAD) {
                    here++;
                    zones[Math.min(zones.length - 1, m.zone)]++;
                }
            }
            for (int i = 0; i < slots.length; i++) {
                here += slots[i] == null && nowUs - oldWordUs[i] < OLD_WORD_US ? 1 : 0;
            }
        }
        int expected = Math.max(1, slots.length - gone);
        MembershipView.Standing standing = here <= 1 && expected > 1
                ? MembershipView.Standing.NOBODY
                : 2 * here > expected ? MembershipView.Standing.MAJORITY : MembershipView.Standing.MINORITY;
        boolean same = before != null && before.standing() == standing;
        return new MembershipView(
                expected,
                here,
                Arrays.stream(zones).boxed().toList(),
                standing,
                same ? before.standingSinceUs() : nowUs);
    }
}

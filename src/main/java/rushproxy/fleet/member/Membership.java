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
    private static final int INDIRECT_PROBERS = 3;
    /** Unanswered probes make its own answer time longer, up to so many times. */
    private static final int MAX_SELF_DOUBT = 4;
    /** Who has heard nobody for so long doubts itself before others. */
    private static final long ISOLATION_SUSPECTED_US = 1_000_000;
    /** And for so long, is alone as far as it can tell. */
    private static final long ISOLATED_US = 5_000_000;
    /** A tick that comes later than this after its time was held up, and all that ran then ran without us. */
    private static final long PAUSE_THRESHOLD_US = 100_000;

    private static final int URGENT_FANOUT = 3;
    /** One in so many random probes goes to those held dead, so that halves of a fleet find each other again. */
    private static final int DEAD_PROBE_RATIO = 4;
    /** One page of the state is compared with somebody's in this time, and many more after a start. */
    private static final long COMPARE_INTERVAL_US = 1_000_000;

    private static final long JOIN_PHASE_US = 3_000_000;
    private static final int JOIN_COMPARISONS = 4;
    /** The dead are forgotten after this: a member that comes back tells of itself. */
    private static final long REMOVE_AFTER_US = 600_000_000;

    private static final long REMOVE_INTERVAL_US = 10_000_000;
    /** Word of the program before counts as life for so long. */
    private static final long LEGACY_LIVENESS_US = 10_000_000;
    /** An incarnation further ahead of our clock is a lie or a fault. */
    private static final long MAX_INCARNATION_AHEAD_MS = 86_400_000;
    /** Refutations of another's claim to be us, in a minute, before we let it. */
    private static final int MAX_CLAIMS = 3;

    private static final long CLAIM_WINDOW_US = 60_000_000;
    /** A place that has heard from one member within this is no other's, nor is the member at another place. */
    private static final long PEER_INDEX_LOCK_US = 2_000_000;

    private static final long NAME_INTERVAL_MESSAGES = 8;
    private static final int MAX_NAME_BYTES = 48;
    /** Draws for somebody who is here, in a list that names many who are not. */
    private static final int MAX_DRAWS = 16;
    /** Bytes before the name. */
    private static final int METADATA_BYTES = 5;
    /** A datagram with one change and nothing else, and one that compares a page. */
    private static final int MIN_UPDATE_MESSAGE_BYTES = 40;

    private static final int COMPARE_MESSAGE_BYTES = 30;
    /** A question to one under suspicion; what is told and compared leaves room for some of them. */
    private static final int PING_MESSAGE_BYTES = 22;

    private static final int RESERVED_BYTES = 200;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int PING_REQUEST = 3;
    private static final int CONFIRM_SUSPICION = 4;
    private static final int HEARD_BY_WITNESS = 5;
    private static final int UPDATES = 6;
    private static final int NAME = 7;
    private static final int COMPARE = 8;
    private static final int BUCKET = 9;

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
        private final boolean direct;

        private long dueUs;

        Probe(Member target, boolean own, long dueUs) {
            this.target = target;
            this.direct = own;
            this.dueUs = dueUs;
        }
    }

    /** Own evidence against a member: it has not answered us. */
    private static final class Suspicion {
        private final Set<Long> suspecters = new HashSet<>();
        private long sinceUs;
        private long nextPingUs;
        private int pings;
        /** Not where it was another who made us look, or at a loss of 30% all would look for ever. */
        private boolean requestsIndirectProbes;
        /** Those who asked us to look, and hear what we saw. */
        private final Set<Integer> requesters = new HashSet<>();

        /** Who misses many answers is at the worse end of its links, and waits for longer. */
        long expiresUs(int doubt) {
            return sinceUs
                    + (suspecters.size() >= 2 ? CONFIRMED_SUSPICION_TIMEOUT_US : LONE_SUSPICION_TIMEOUT_US)
                            * (MAX_SELF_DOUBT + doubt)
                            / MAX_SELF_DOUBT;
        }
    }

    private final Self config;
    private final Environment environment;
    private final SplittableRandom random;
    private final SendBudget budget;
    private final Member localMember;
    private final Map<Long, Member> members = new HashMap<>();
    /** All but the dead and those who left, in the order that all share. */
    private final NavigableMap<Long, Member> ring = new TreeMap<>();
    /** By place in the configured list; null where nobody is known. */
    private final Member[] byPeerIndex;

    private final long[] legacyHeardUs;
    private final Map<Integer, Probe> probes = new LinkedHashMap<>();
    private final Map<Long, Suspicion> suspicions = new LinkedHashMap<>();
    /** Who asked us to look at whom, until our own probe has ended. */
    private final Map<Long, Set<Integer>> probeRequesters = new LinkedHashMap<>();

    private final Dissemination dissemination = new Dissemination();
    private final StateDigest digest = new StateDigest(members.values());
    private final long startedUs;
    private long nowUs;
    private long lastTickUs;
    private long nextProbeUs;
    private long nextCompareUs;
    private long nextRemoveUs;
    private long lastHeardUs = NEVER;
    private long nextViewUs;
    /** A change to be told on at once; one of the view. */
    private boolean urgentPending;

    private boolean viewStale;
    private boolean stopped;
    private int selfDoubt;
    private int sequence;
    private int nextBucket;
    private long messageCount;
    private final List<Long> claimTimesUs = new ArrayList<>();
    private MembershipView view;

    public Membership(Self self, long nowUs, long seed, Environment host) {
        this.config = self;
        this.environment = host;
        random = new SplittableRandom(seed);
        this.nowUs = lastTickUs = startedUs = nowUs;
        budget = new SendBudget(nowUs);
        localMember = new Member(Envelope.idOf(self.name()));
        localMember.incarnation = self.startMs();
        localMember.state = State.ALIVE;
        localMember.zone = self.zone();
        localMember.ownIndex = self.index();
        localMember.version = self.version();
        localMember.features = self.features();
        localMember.name = self.name();
        localMember.peerIndex = self.index();
        localMember.sinceUs = nowUs;
        byPeerIndex = new Member[self.peerCount()];
        legacyHeardUs = new long[self.peerCount()];
        Arrays.fill(legacyHeardUs, NEVER);
        if (self.index() >= 0 && self.index() < byPeerIndex.length) {
            byPeerIndex[self.index()] = localMember;
        }
        members.put(localMember.id, localMember);
        ring.put(Member.ringPosition(localMember.id), localMember);
        nextProbeUs = nowUs + random.nextLong(PROBE_PERIOD_US);
        nextCompareUs = nowUs;
        disseminateUrgently(localMember);
        view = computeView(null);
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
        return localMember;
    }

    /** Another process of its name has come after it: it takes no part any more. */
    public boolean isStopped() {
        return stopped;
    }

    @Override
    public int size() {
        return ring.size();
    }

    @Override
    public int randomPeer(int feature, SplittableRandom random) {
        for (int tries = 0; tries < MAX_DRAWS && byPeerIndex.length > 0; tries++) {
            Member m = byPeerIndex[random.nextInt(byPeerIndex.length)];
            if (m != null && m != localMember && m.state == State.ALIVE && (m.features & feature) != 0) {
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
        long pauseUs = nowUs - lastTickUs - TICK_INTERVAL_US;
        lastTickUs = nowUs;
        if (stopped) {
            return;
        }
        if (pauseUs > PAUSE_THRESHOLD_US) {
            compensateForPause(pauseUs);
        }
        expireProbes();
        processSuspicions();
        if (nowUs >= nextProbeUs) {
            nextProbeUs = Math.max(nextProbeUs + PROBE_PERIOD_US, nowUs + PROBE_PERIOD_US / 2);
            runProbePeriod();
        }
        if (nowUs >= nextCompareUs) {
            startComparison();
        }
        if (urgentPending) {
            sendUrgentUpdates();
        }
        if (viewStale || nowUs >= nextViewUs) {
            viewStale = false;
            nextViewUs = nowUs + COMPARE_INTERVAL_US;
            view = computeView(view);
        }
    }

    private void advance(long now) {
        nowUs = Math.max(nowUs, now);
        budget.refill(nowUs);
    }

    /** What lay in our socket meanwhile has not been read: nobody's time ran. */
    private void compensateForPause(long pauseUs) {
        selfDoubt = Math.min(MAX_SELF_DOUBT, selfDoubt + 1);
        probes.values().forEach(p -> p.dueUs += pauseUs);
        suspicions.values().forEach(a -> a.sinceUs += pauseUs);
        lastHeardUs = lastHeardUs == NEVER ? NEVER : lastHeardUs + pauseUs;
    }

    private boolean isPossiblyIsolated() {
        return nowUs - lastHeardUs > ISOLATION_SUSPECTED_US;
    }

    private void expireProbes() {
        for (Iterator<Map.Entry<Integer, Probe>> i = probes.entrySet().iterator(); i.hasNext(); ) {
            Probe p = i.next().getValue();
            if (nowUs < p.dueUs) {
                continue;
            }
            i.remove();
            selfDoubt = Math.min(MAX_SELF_DOUBT, selfDoubt + 1);
            if (p.target.state == State.ALIVE || p.target.state == State.SUSPECT) {
                suspect(p.target, p.direct);
            }
        }
    }

    private void suspect(Member m, boolean direct) {
        if (suspicions.containsKey(m.id) || isPossiblyIsolated() && lastHeardUs != NEVER) {
            return;
        }
        Suspicion a = new Suspicion();
        a.suspecters.add(localMember.id);
        a.sinceUs = nowUs;
        a.nextPingUs = nowUs;
        a.requestsIndirectProbes = direct;
        suspicions.put(m.id, a);
        for (int requester : probeRequesters.getOrDefault(m.id, Set.of())) {
            a.requesters.add(requester);
            send(
                    requester,
                    newEnvelope()
                            .addSection(CONFIRM_SUSPICION, encodeIdentity(m))
                            .toBytes(config.reservedLength()));
        }
        probeRequesters.remove(m.id);
        if (m.state == State.ALIVE) {
            setState(m, State.SUSPECT, "no answer to our probe");
        }
    }

    /** Asks again; the second time others too, since most that is missed is one datagram lost. */
    private void pingSuspect(Suspicion a, Member m) {
        a.nextPingUs = nowUs + SUSPECT_PING_INTERVAL_US;
        ping(m);
        if (++a.pings == 2 && a.requestsIndirectProbes) {
            for (Member w : randomAliveMembers(INDIRECT_PROBERS, m)) {
                send(
                        w.peerIndex,
                        newEnvelope()
                                .addSection(PING_REQUEST, encodeIdentity(m))
                                .toBytes(config.reservedLength()));
            }
        }
    }

    private void processSuspicions() {
        for (Map.Entry<Long, Suspicion> e : List.copyOf(suspicions.entrySet())) {
            Suspicion a = e.getValue();
            Member m = members.get(e.getKey());
            if (m == null || m.state == State.DEAD || m.state == State.LEFT) {
                suspicions.remove(e.getKey());
            } else if (nowUs >= a.expiresUs(selfDoubt) && !isPossiblyIsolated()) {
                suspicions.remove(e.getKey());
                setState(
                        m,
                        State.DEAD,
                        a.suspecters.size() >= 2 ? "silent for us and " + otherSuspecters(a) : "silent for us alone");
            } else if (nowUs >= a.nextPingUs && budget.canSend(PING_MESSAGE_BYTES)) {
                pingSuspect(a, m);
            } else if (nowUs >= a.nextPingUs) {
                // Many are silent at once. Who could not be asked has not failed to answer: its time waits too.
                a.sinceUs += TICK_INTERVAL_US;
            }
        }
    }

    private String otherSuspecters(Suspicion a) {
        return a.suspecters.stream()
                .filter(id -> id != localMember.id)
                .map(id -> members.containsKey(id) ? members.get(id).name() : String.format("%012x", id))
                .sorted()
                .reduce((x, y) -> x + " and " + y)
                .orElse("nobody");
    }

    /** Probes of a period: the next in the ring and one at random. */
    private void runProbePeriod() {
        int remaining = RING_TARGETS;
        Member current = localMember;
        for (int i = 0; i < ring.size() - 1 && remaining > 0; i++) {
            Map.Entry<Long, Member> next = ring.higherEntry(Member.ringPosition(current.id));
            current = next == null ? ring.firstEntry().getValue() : next.getValue();
            if (current.peerIndex >= 0 && current != localMember) {
                if (!suspicions.containsKey(current.id)) {
                    probe(current, true);
                }
                // Beyond one under suspicion is somebody who would have nobody left to look at him.
                remaining -= current.state == State.SUSPECT ? 0 : 1;
            }
        }
        int peerIndex = random.nextInt(byPeerIndex.length);
        Member m = byPeerIndex[peerIndex];
        if (m == null) {
            // Nobody is known there yet, or the program before is.
            ping(peerIndex);
        } else if (m != localMember) {
            boolean isGone = m.state == State.DEAD || m.state == State.LEFT;
            if (!isGone || random.nextInt(DEAD_PROBE_RATIO) == 0) {
                probe(m, true);
            }
        }
        if (random.nextInt(DEAD_PROBE_RATIO) == 0) {
            pingRandomDeadMember();
        }
        removeOldMembers();
    }

    private void pingRandomDeadMember() {
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
    private void removeOldMembers() {
        if (nowUs < nextRemoveUs) {
            return;
        }
        nextRemoveUs = nowUs + REMOVE_INTERVAL_US;
        members.values().removeIf(m -> {
            boolean old = (m.state == State.DEAD || m.state == State.LEFT) && nowUs - m.sinceUs > REMOVE_AFTER_US;
            if (old && m.peerIndex >= 0 && byPeerIndex[m.peerIndex] == m) {
                byPeerIndex[m.peerIndex] = null;
            }
            if (old) {
                digest.invalidate();
            }
            return old;
        });
    }

    private void probe(Member m, boolean direct) {
        int number = ping(m);
        if (!suspicions.containsKey(m.id)) {
            probes.put(number, new Probe(m, direct, nowUs + ACK_TIMEOUT_US * (4 + selfDoubt) / 4));
        }
    }

    private int ping(Member m) {
        return ping(m.peerIndex);
    }

    /** Whoever is there answers, and says by it who that is. */
    private int ping(int peerIndex) {
        int number = sequence = sequence + 1 & 0xFFFF;
        ByteBuffer b = ByteBuffer.allocate(2).putShort((short) number);
        Envelope e = newEnvelope().addSection(PING, b);
        if (nowUs - startedUs < JOIN_PHASE_US || messageCount++ % NAME_INTERVAL_MESSAGES == 0) {
            addNameSection(e);
        }
        send(peerIndex, addUpdates(e).toBytes(config.reservedLength()));
        return number;
    }

    /** Who we are: zone, number, version, parts, and the name. */
    private void addNameSection(Envelope e) {
        byte[] name = config.name().getBytes(StandardCharsets.UTF_8);
        ByteBuffer b = ByteBuffer.allocate(METADATA_BYTES + MAX_NAME_BYTES);
        b.put((byte) localMember.zone)
                .putShort((short) localMember.ownIndex)
                .put((byte) localMember.version)
                .put((byte) localMember.features);
        b.put(name, 0, Math.min(MAX_NAME_BYTES, name.length));
        e.addSection(NAME, b);
    }

    /** One page of the state with somebody's: only a hash goes out where both have the same. */
    private void startComparison() {
        boolean joining = nowUs - startedUs < JOIN_PHASE_US;
        nextCompareUs = nowUs + (joining ? TICK_INTERVAL_US : COMPARE_INTERVAL_US);
        for (int i = 0; i < (joining ? JOIN_COMPARISONS : 1); i++) {
            List<Member> one = randomAliveMembers(1, null);
            int peerIndex = one.isEmpty() ? random.nextInt(byPeerIndex.length) : one.get(0).peerIndex;
            if (peerIndex == config.index() || !budget.canSend(COMPARE_MESSAGE_BYTES + RESERVED_BYTES)) {
                continue;
            }
            int buckets = digest.bucketCount(byPeerIndex.length);
            nextBucket = (nextBucket + 1) % buckets;
            ByteBuffer b = ByteBuffer.allocate(8)
                    .putShort((short) nextBucket)
                    .putShort((short) buckets)
                    .putInt(digest.bucketHash(nextBucket, buckets));
            send(peerIndex, addUpdates(newEnvelope().addSection(COMPARE, b)).toBytes(config.reservedLength()));
        }
    }

    // ---- datagrams ----------------------------------------------------------------------------------

    /** The program before, which speaks no envelopes, has said something: its peer lives. */
    public void onLegacyDatagram(long now, int peerIndex) {
        advance(now);
        if (peerIndex >= 0 && peerIndex < legacyHeardUs.length) {
            legacyHeardUs[peerIndex] = nowUs;
        }
    }

    /** {@link #onMessage} of what is an envelope. */
    public void onDatagram(long now, int peerIndex, byte[] datagram) {
        Envelope.Message message = Envelope.parse(datagram);
        if (message != null) {
            onMessage(now, peerIndex, message);
        }
    }

    /**
     * From the peer at this place of the list; what can't be true changes nothing.
     *
     * @return whether it is its sender's: another part may take its own sections then
     */
    public boolean onMessage(long now, int peerIndex, Envelope.Message message) {
        advance(now);
        if (peerIndex < 0
                || peerIndex >= byPeerIndex.length
                || stopped
                || message.sender() == 0
                || isTooFarAhead(message.incarnation())) {
            return false;
        }
        if (message.sender() == localMember.id) {
            onDuplicateId(message, peerIndex);
            return false;
        }
        Member sender =
                conflictsWithRecentSender(message.sender(), peerIndex) ? null : identifySender(message, peerIndex);
        if (sender == null) {
            return false;
        }
        for (Envelope.Section s : message.sections()) {
            ByteBuffer b = ByteBuffer.wrap(s.bytes());
            switch (s.type()) {
                case PING -> onPing(sender, b);
                case ACK -> onAck(sender, b);
                case PING_REQUEST -> onPingRequest(sender, b);
                case CONFIRM_SUSPICION -> onSuspicionConfirmed(sender, b);
                case HEARD_BY_WITNESS -> onHeardByWitness(b);
                case UPDATES -> onUpdates(sender, b);
                case COMPARE -> onCompare(sender, b);
                case BUCKET -> onBucket(b);
                default -> {}
            }
        }
        return sender.peerIndex == peerIndex;
    }

    /** A place speaks for one member, and a member from one place: another has to wait until the one is silent. */
    private boolean conflictsWithRecentSender(long sender, int peerIndex) {
        Member m = members.get(sender);
        Member before = byPeerIndex[peerIndex];
        return m != null && m.peerIndex != peerIndex && m.peerIndex >= 0 && wasHeardRecently(m)
                || before != null && before != m && wasHeardRecently(before);
    }

    private boolean wasHeardRecently(Member m) {
        return m != localMember
                && (m.state == State.ALIVE || m.state == State.SUSPECT)
                && nowUs - m.lastHeardUs < PEER_INDEX_LOCK_US;
    }

    private boolean isTooFarAhead(long incarnation) {
        return incarnation > nowUs / 1_000 + MAX_INCARNATION_AHEAD_MS;
    }

    /** Somebody else has our name. The later process stays, the earlier goes quiet and leaves the name to it. */
    private void onDuplicateId(Envelope.Message message, int peerIndex) {
        if (peerIndex == config.index() && message.incarnation() == localMember.incarnation) {
            return;
        }
        if (message.incarnation() > localMember.incarnation && nowUs - startedUs >= JOIN_PHASE_US) {
            // The last word: the other would not know that there was one before it.
            send(peerIndex, newEnvelope().toBytes(config.reservedLength()));
            stop("another process of this name, started later, speaks from place " + peerIndex);
        } else if (message.incarnation() > localMember.incarnation) {
            environment.logEvent("another process of this name speaks from place " + peerIndex);
            refute(message.incarnation(), "place " + peerIndex);
        } else {
            environment.logEvent("another process of this name, started before, speaks from place " + peerIndex);
        }
    }

    private void stop(String reason) {
        stopped = true;
        probes.clear();
        suspicions.clear();
        dissemination.clear();
        environment.logEvent("takes no part among members any more: " + reason);
        view = computeView(view);
    }

    /** What a datagram says by having come: its sender lives, is this one, and is reached there. */
    private Member identifySender(Envelope.Message message, int peerIndex) {
        Member m = members.get(message.sender());
        if (m == null) {
            m = new Member(message.sender());
            m.ownIndex = Member.UNKNOWN_INDEX;
            m.incarnation = message.incarnation();
            m.state = State.LEFT;
            applyMetadata(m, message);
            members.put(m.id, m);
            assignPeerIndex(m, peerIndex);
            recordContact(m);
            setState(m, State.ALIVE, "has come");
            return m;
        }
        if (message.incarnation() < m.incarnation) {
            // A process of before, or one that does not know yet what was said of it: it is told, and may answer that.
            if ((m.peerIndex < 0 || m.peerIndex == peerIndex) && budget.canSend(MIN_UPDATE_MESSAGE_BYTES)) {
                ByteBuffer b = ByteBuffer.allocate(Member.WIRE_BYTES);
                m.write(b);
                send(peerIndex, newEnvelope().addSection(UPDATES, b).toBytes(config.reservedLength()));
            }
            return null;
        }
        applyMetadata(m, message);
        assignPeerIndex(m, peerIndex);
        recordContact(m);
        if (message.incarnation() > m.incarnation) {
            m.incarnation = message.incarnation();
            digest.invalidate();
            setState(m, State.ALIVE, "has come back");
            disseminateUrgently(m);
        } else if (m.state == State.SUSPECT) {
            setState(m, State.ALIVE, "has answered");
        }
        Suspicion a = suspicions.remove(m.id);
        for (int requester : a == null ? Set.<Integer>of() : a.requesters) {
            sendHeardByWitness(requester, m.id);
        }
        return m;
    }

    private void recordContact(Member m) {
        m.lastHeardUs = nowUs;
        lastHeardUs = nowUs;
        if (m.peerIndex >= 0) {
            legacyHeardUs[m.peerIndex] = NEVER;
        }
    }

    private void assignPeerIndex(Member m, int peerIndex) {
        if (m.peerIndex == peerIndex || peerIndex == config.index()) {
            return;
        }
        if (m.peerIndex >= 0 && byPeerIndex[m.peerIndex] == m) {
            byPeerIndex[m.peerIndex] = null;
        }
        Member before = byPeerIndex[peerIndex];
        if (before != null && before != localMember) {
            before.peerIndex = -1;
        }
        byPeerIndex[peerIndex] = m;
        m.peerIndex = peerIndex;
    }

    private static boolean hasRemaining(ByteBuffer b, int bytes) {
        return b.remaining() >= bytes;
    }

    private void onPing(Member sender, ByteBuffer b) {
        if (!hasRemaining(b, 2)) {
            return;
        }
        short number = b.getShort();
        ByteBuffer ack = ByteBuffer.allocate(2).putShort(number);
        Envelope e = newEnvelope().addSection(ACK, ack);
        if (nowUs - startedUs < JOIN_PHASE_US || messageCount++ % NAME_INTERVAL_MESSAGES == 0) {
            addNameSection(e);
        }
        send(sender.peerIndex, addUpdates(e).toBytes(config.reservedLength()));
    }

    private void onAck(Member sender, ByteBuffer b) {
        if (!hasRemaining(b, 2)) {
            return;
        }
        Probe p = probes.remove(b.getShort() & 0xFFFF);
        if (p != null && p.target == sender) {
            selfDoubt = Math.max(0, selfDoubt - 1);
        }
        Set<Integer> requesters = probeRequesters.remove(sender.id);
        if (requesters != null) {
            requesters.forEach(requester -> sendHeardByWitness(requester, sender.id));
        }
    }

    /** A member that has not heard from another asks us to look for ourselves. */
    private void onPingRequest(Member sender, ByteBuffer b) {
        Member m = hasRemaining(b, 12) ? members.get(Envelope.get48(b)) : null;
        long incarnation = m == null ? 0 : Envelope.get48(b);
        if (m == null
                || m == localMember
                || incarnation < m.incarnation
                || m.peerIndex < 0
                || m.state == State.DEAD
                || m.state == State.LEFT) {
            return;
        }
        Suspicion suspicion = suspicions.get(m.id);
        if (suspicion != null) {
            suspicion.suspecters.add(sender.id);
            suspicion.requesters.add(sender.peerIndex);
            send(
                    sender.peerIndex,
                    newEnvelope()
                            .addSection(CONFIRM_SUSPICION, encodeIdentity(m))
                            .toBytes(config.reservedLength()));
        } else {
            probeRequesters.computeIfAbsent(m.id, id -> new HashSet<>()).add(sender.peerIndex);
            probe(m, false);
        }
    }

    private void onSuspicionConfirmed(Member sender, ByteBuffer b) {
        Suspicion a = hasRemaining(b, 12) ? suspicions.get(Envelope.get48(b)) : null;
        if (a != null) {
            a.suspecters.add(sender.id);
        }
    }

    /** A witness has heard from the one that does not answer us: the link between us is bad, not the member. */
    private void onHeardByWitness(ByteBuffer b) {
        Member m = hasRemaining(b, 12) ? members.get(Envelope.get48(b)) : null;
        if (m != null && suspicions.remove(m.id) != null && m.state == State.SUSPECT) {
            m.lastHeardUs = nowUs;
            setState(m, State.ALIVE, "was heard by a witness");
        }
    }

    private void sendHeardByWitness(int peerIndex, long id) {
        Member m = members.get(id);
        send(
                peerIndex,
                newEnvelope().addSection(HEARD_BY_WITNESS, encodeIdentity(m)).toBytes(config.reservedLength()));
    }

    private void onUpdates(Member sender, ByteBuffer b) {
        while (hasRemaining(b, Member.WIRE_BYTES)) {
            Member update = Member.read(b);
            if (update == null) {
                return;
            }
            applyUpdate(update, sender.name(), false);
        }
    }

    /** What it says of itself; only the name that the id stands for. */
    private void applyMetadata(Member m, Envelope.Message message) {
        for (Envelope.Section s : message.sections()) {
            if (s.type() != NAME || s.bytes().length < METADATA_BYTES) {
                continue;
            }
            ByteBuffer b = ByteBuffer.wrap(s.bytes());
            int zone = b.get() & 255;
            if (zone < Math.max(1, config.zoneCount())) {
                boolean first = !m.hasMetadata();
                if (first) {
                    digest.invalidate();
                }
                m.zone = zone;
                m.ownIndex = b.getShort() & 0xFFFF;
                m.version = b.get() & 255;
                m.features = b.get() & 255;
                if (first && m.hasMetadata() && m.state == State.ALIVE) {
                    disseminate(m);
                }
            }
            if (m.name == null) {
                String name = new String(
                        s.bytes(), METADATA_BYTES, s.bytes().length - METADATA_BYTES, StandardCharsets.UTF_8);
                m.name = Envelope.idOf(name) == m.id ? name : null;
            }
        }
    }

    private void onCompare(Member sender, ByteBuffer b) {
        if (!hasRemaining(b, 8)) {
            return;
        }
        int bucket = b.getShort() & 0xFFFF;
        int buckets = b.getShort() & 0xFFFF;
        if (buckets == 0
                || bucket >= buckets
                || !budget.canSend(Envelope.MAX_BYTES + RESERVED_BYTES)
                || b.getInt() == digest.bucketHash(bucket, buckets)) {
            return;
        }
        ByteBuffer content = ByteBuffer.allocate(Member.WIRE_BYTES * StateDigest.MEMBERS_PER_BUCKET);
        digest.writeBucket(bucket, buckets, content);
        send(sender.peerIndex, newEnvelope().addSection(BUCKET, content).toBytes(config.reservedLength()));
    }

    private void onBucket(ByteBuffer b) {
        while (hasRemaining(b, Member.WIRE_BYTES)) {
            Member update = Member.read(b);
            if (update == null) {
                return;
            }
            applyUpdate(update, "a page", true);
        }
    }

    /** Somebody's word on a member. What can't be true is left out. */
    private void applyUpdate(Member update, String source, boolean fromBucket) {
        boolean zoneFits = update.zone < Math.max(1, config.zoneCount());
        if (update.id == 0 || !zoneFits || isTooFarAhead(update.incarnation)) {
            return;
        }
        if (update.id == localMember.id) {
            if (update.incarnation > localMember.incarnation
                    || update.incarnation == localMember.incarnation && update.state != State.ALIVE) {
                onFalseUpdateAboutSelf(update, source);
            }
            return;
        }
        Member m = members.get(update.id);
        if (m != null && !m.hasMetadata() && update.hasMetadata() && update.incarnation == m.incarnation) {
            copyMetadata(m, update);
            assumePeerIndex(m);
        }
        if (m == null) {
            if (update.state == State.DEAD || update.state == State.LEFT) {
                return;
            }
            m = new Member(update.id);
            m.state = State.LEFT;
            members.put(m.id, m);
            copyMetadata(m, update);
            assumePeerIndex(m);
            setState(m, State.ALIVE, "by word of " + source);
            return;
        }
        if (!Member.supersedes(
                        update.incarnation,
                        update.state,
                        m.incarnation,
                        m.state == State.SUSPECT ? State.ALIVE : m.state)
                || update.state == State.SUSPECT && update.incarnation == m.incarnation) {
            return;
        }
        boolean deathInBucket = fromBucket
                && update.state == State.DEAD
                && update.incarnation == m.incarnation
                && (m.state == State.ALIVE || m.state == State.SUSPECT);
        boolean deathOfRecentlyHeard = update.state == State.DEAD
                && update.incarnation == m.incarnation
                && nowUs - m.lastHeardUs < ISOLATION_SUSPECTED_US;
        if (deathInBucket || deathOfRecentlyHeard) {
            // An old page, or a quarrel: it hears of it, and says itself whether it lives.
            if (m.peerIndex >= 0 && budget.canSend(MIN_UPDATE_MESSAGE_BYTES)) {
                ByteBuffer b = ByteBuffer.allocate(Member.WIRE_BYTES);
                update.write(b);
                send(m.peerIndex, newEnvelope().addSection(UPDATES, b).toBytes(config.reservedLength()));
            }
            return;
        }
        // Suspicions are not told: one that is says no more than that it lives.
        State newState = update.state == State.SUSPECT ? State.ALIVE : update.state;
        copyMetadata(m, update);
        assumePeerIndex(m);
        setState(m, newState, "by word of " + source);
        disseminateUrgently(m);
    }

    private void copyMetadata(Member m, Member update) {
        digest.invalidate();
        m.incarnation = update.incarnation;
        m.zone = update.zone;
        m.ownIndex = update.ownIndex;
        m.version = update.version;
        m.features = update.features;
    }

    /** Where nothing else is known, it is reached at the place that it says it has: its first datagram tells better. */
    private void assumePeerIndex(Member m) {
        if (m.peerIndex < 0 && m.ownIndex < byPeerIndex.length && byPeerIndex[m.ownIndex] == null) {
            m.peerIndex = m.ownIndex;
            byPeerIndex[m.ownIndex] = m;
        }
    }

    /** Word on ourselves that is not so. */
    private void onFalseUpdateAboutSelf(Member update, String source) {
        if (update.state == State.ALIVE && nowUs - startedUs >= JOIN_PHASE_US) {
            claimTimesUs.removeIf(at -> nowUs - at > CLAIM_WINDOW_US);
            claimTimesUs.add(nowUs);
            if (claimTimesUs.size() > MAX_CLAIMS) {
                stop("another process of this name goes on claiming it, by word of " + source);
                return;
            }
        }
        refute(update.incarnation, source);
    }

    private void refute(long incarnation, String source) {
        localMember.incarnation = Math.min((1L << 48) - 1, incarnation + 1);
        digest.invalidate();
        localMember.sinceUs = nowUs;
        environment.logEvent("refutes what " + source + " says of it");
        disseminateUrgently(localMember);
    }

    // ---- changes ------------------------------------------------------------------------------------

    private void setState(Member m, State state, String reason) {
        digest.invalidate();
        boolean wasLive = m.state == State.ALIVE || m.state == State.SUSPECT;
        // One that is new here was in no state before.
        boolean wasGone = !wasLive && m.sinceUs != 0;
        if (m.state != state
                && (state != State.SUSPECT && m.state != State.SUSPECT || state == State.DEAD || state == State.LEFT)) {
            environment.logEvent(m.name() + " is " + state.name().toLowerCase(java.util.Locale.ROOT) + ": " + reason);
        }
        if (m.state != state) {
            m.sinceUs = nowUs;
            m.reason = reason;
        }
        m.state = state;
        boolean isLive = state == State.ALIVE || state == State.SUSPECT;
        if (isLive && !wasLive) {
            ring.put(Member.ringPosition(m.id), m);
        } else if (!isLive) {
            ring.remove(Member.ringPosition(m.id));
            suspicions.remove(m.id);
        }
        if (state == State.ALIVE) {
            Suspicion a = suspicions.remove(m.id);
            if (a != null) {
                a.requesters.forEach(requester -> sendHeardByWitness(requester, m.id));
            }
        }
        viewStale = true;
        if (!isLive || wasGone) {
            disseminateUrgently(m);
        } else if (!wasLive) {
            disseminate(m);
        }
    }

    private void disseminateUrgently(Member m) {
        dissemination.enqueueUrgent(m, members.size());
        urgentPending = true;
    }

    private void disseminate(Member m) {
        dissemination.enqueueRegular(m, members.size());
    }

    /** Fills what room is left with changes. */
    private Envelope addUpdates(Envelope e) {
        int affordable = (budget.availableBytes()
                        - RESERVED_BYTES
                        - SendBudget.IP_UDP_HEADER_BYTES
                        - (Envelope.MAX_BYTES - e.remainingBytes()))
                / Member.WIRE_BYTES;
        int count =
                Math.min(Math.min(e.remainingBytes() / Member.WIRE_BYTES, StateDigest.MEMBERS_PER_BUCKET), affordable);
        if (count <= 0 || dissemination.isEmpty()) {
            return e;
        }
        ByteBuffer b = ByteBuffer.allocate(count * Member.WIRE_BYTES);
        dissemination.writeUpdates(b);
        return e.addSection(UPDATES, b);
    }

    /** News does not wait for the next probe, but for room in the budget. */
    private void sendUrgentUpdates() {
        urgentPending = false;
        for (Member m : randomAliveMembers(URGENT_FANOUT, null)) {
            if (!dissemination.hasUrgent()) {
                return;
            }
            if (!budget.canSend(MIN_UPDATE_MESSAGE_BYTES + RESERVED_BYTES)) {
                urgentPending = true;
                return;
            }
            send(m.peerIndex, addUpdates(newEnvelope()).toBytes(config.reservedLength()));
        }
    }

    /** So many of those here that can be reached, at random, without one. */
    private List<Member> randomAliveMembers(int count, Member excluded) {
        List<Member> chosen = new ArrayList<>(count);
        for (int tries = 0; tries < 4 * count && chosen.size() < count; tries++) {
            Member m = byPeerIndex.length == 0 ? null : byPeerIndex[random.nextInt(byPeerIndex.length)];
            if (m != null && m != localMember && m != excluded && m.state == State.ALIVE && !chosen.contains(m)) {
                chosen.add(m);
            }
        }
        return chosen;
    }

    private ByteBuffer encodeIdentity(Member m) {
        ByteBuffer b = ByteBuffer.allocate(12);
        Envelope.put48(b, m.id);
        Envelope.put48(b, m.incarnation);
        return b;
    }

    private void send(int peerIndex, byte[] datagram) {
        budget.spend(datagram.length);
        environment.send(peerIndex, datagram);
    }

    private Envelope newEnvelope() {
        return Envelope.from(localMember.id, localMember.incarnation);
    }

    /** The process leaves of its own will: told to several, since some word is lost. Nothing follows. */
    public void leave(long now) {
        advance(now);
        if (stopped) {
            return;
        }
        localMember.state = State.LEFT;
        digest.invalidate();
        ByteBuffer b = ByteBuffer.allocate(Member.WIRE_BYTES);
        localMember.write(b);
        for (Member m : randomAliveMembers(2 * URGENT_FANOUT, null)) {
            ByteBuffer copy = ByteBuffer.allocate(Member.WIRE_BYTES).put(b.array());
            send(m.peerIndex, newEnvelope().addSection(UPDATES, copy).toBytes(config.reservedLength()));
        }
        stopped = true;
        environment.logEvent("has told that it leaves");
    }

    private MembershipView computeView(MembershipView before) {
        int live = 0;
        int left = 0;
        int[] liveByZone = new int[Math.max(1, config.zoneCount())];
        // Whom it has not heard of for so long it can't call dead, nor count.
        boolean isolated = nowUs - Math.max(startedUs, lastHeardUs) > ISOLATED_US;
        if (isolated) {
            live = 1;
            liveByZone[Math.min(liveByZone.length - 1, localMember.zone)]++;
        }
        if (!stopped && !isolated) {
            for (Member m : members.values()) {
                if (m.state == State.LEFT) {
                    left += m.peerIndex >= 0 ? 1 : 0;
                } else if (m.state != State.DEAD) {
                    live++;
                    liveByZone[Math.min(liveByZone.length - 1, m.zone)]++;
                }
            }
            for (int i = 0; i < byPeerIndex.length; i++) {
                live += byPeerIndex[i] == null && nowUs - legacyHeardUs[i] < LEGACY_LIVENESS_US ? 1 : 0;
            }
        }
        int expected = Math.max(1, byPeerIndex.length - left);
        MembershipView.Standing standing = live <= 1 && expected > 1
                ? MembershipView.Standing.NOBODY
                : 2 * live > expected ? MembershipView.Standing.MAJORITY : MembershipView.Standing.MINORITY;
        boolean standingUnchanged = before != null && before.standing() == standing;
        return new MembershipView(
                expected,
                live,
                Arrays.stream(liveByZone).boxed().toList(),
                standing,
                standingUnchanged ? before.standingSinceUs() : nowUs);
    }
}

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
 * Failure detector and membership view of the SWIM family (Das, Gupta, Motivala 2002): probes, suspicion, refutation by
 * incarnation, and gossip piggybacked on probes, with Lifeguard's self-awareness (Dadgar, Phillips, Currey 2017): a member that
 * was paused or receives nothing suspects nobody. Performs no I/O: datagrams and the time in microseconds are passed in, and it
 * acts through its {@link Environment}. Deterministic: equal calls give equal results. Not thread-safe.
 *
 * <p>It differs from SWIM in two ways. Most probes go to fixed targets, the successors in a ring that all members order alike,
 * so that each member is probed in every period and not only on average. And a suspicion stays with the members that have
 * direct evidence: they keep pinging the suspect, ask others to probe it too, and declare it dead when the suspicion times out.
 * Suspicions are not gossiped as in SWIM: at 10% loss each member misses an answer every second, so the traffic for suspicions
 * and refutations would grow with the fleet, and a suspect would have to reach the whole fleet in time instead of only its
 * suspecters.
 */
public final class Membership implements PeerDirectory {
    /** Interval at which {@link #onTick} is to be called. */
    public static final long TICK_INTERVAL_US = 100_000;
    /** Each member sends {@link #RING_TARGETS} + 1 probes in this time: with the answers 12 datagrams per second. */
    static final long PROBE_PERIOD_US = 500_000;
    /** Ring successors that each member probes. Two, because a suspicion confirmed by a second member times out sooner. */
    static final int RING_TARGETS = 2;
    /** An answer across regions takes up to 0.1 s, and a busy core as long again. */
    static final long ACK_TIMEOUT_US = 300_000;
    /** Short, so that a suspect that resumes is heard at once. */
    static final long SUSPECT_PING_INTERVAL_US = 200_000;
    /** Timeout when two members suspect: a process that stalls for 1.5 s must survive, and needs {@link #ACK_TIMEOUT_US} to answer. */
    static final long CONFIRMED_SUSPICION_TIMEOUT_US = 1_800_000;
    /** Timeout when only one member suspects: its own link may be at fault. */
    static final long LONE_SUSPICION_TIMEOUT_US = 4_000_000;
    /** Members asked to probe a suspect. */
    private static final int INDIRECT_PROBERS = 3;
    /** Bound on the number of unanswered probes that lengthen this member's own timeouts (Lifeguard's local health). */
    private static final int MAX_SELF_DOUBT = 4;
    /** A member that has received nothing for this long suspects itself rather than others. */
    private static final long ISOLATION_SUSPECTED_US = 1_000_000;
    /** A member that has received nothing for this long counts itself as the only live one. */
    private static final long ISOLATED_US = 5_000_000;
    /** A tick later than this counts as a pause of the process, and deadlines are extended by it. */
    private static final long PAUSE_THRESHOLD_US = 100_000;

    private static final int URGENT_FANOUT = 3;
    /** One in this many random probes goes to a dead member, so that the parts of a partitioned fleet find each other again. */
    private static final int DEAD_PROBE_RATIO = 4;
    /** One bucket of the state is compared with a random member in this time; after a start, more often. */
    private static final long COMPARE_INTERVAL_US = 1_000_000;

    private static final long JOIN_PHASE_US = 3_000_000;
    private static final int JOIN_COMPARISONS = 4;
    /** Members that are dead or left are removed after this; one that returns announces itself. */
    private static final long REMOVE_AFTER_US = 600_000_000;

    private static final long REMOVE_INTERVAL_US = 10_000_000;
    /** A peer counts as live for this long after a datagram of the previous program version. */
    private static final long LEGACY_LIVENESS_US = 10_000_000;
    /** An incarnation further ahead of the local clock is forged or faulty, and ignored. */
    private static final long MAX_INCARNATION_AHEAD_MS = 86_400_000;
    /** Claims to this member's name that are refuted per {@link #CLAIM_WINDOW_US}; one more, and the other process keeps the name. */
    private static final int MAX_CLAIMS = 3;

    private static final long CLAIM_WINDOW_US = 60_000_000;
    /** A member heard within this time keeps its peer index: no other member takes the index, and it takes no other index. */
    private static final long PEER_INDEX_LOCK_US = 2_000_000;

    private static final long NAME_INTERVAL_MESSAGES = 8;
    private static final int MAX_NAME_BYTES = 48;
    /** Random draws for a live member, as many entries of the peer list may not be live. */
    private static final int MAX_DRAWS = 16;
    /** Bytes before the name in a {@link #NAME} section. */
    private static final int METADATA_BYTES = 5;
    /** A datagram with a single update. */
    private static final int MIN_UPDATE_MESSAGE_BYTES = 40;

    private static final int COMPARE_MESSAGE_BYTES = 30;
    private static final int PING_MESSAGE_BYTES = 22;
    /** Send budget that dissemination and anti-entropy leave for pings to suspects. */
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
     * Configuration of the local member.
     *
     * @param index          its position in its own peer list
     * @param peerCount      length of that list
     * @param startMs        Unix time of its start, used as its first incarnation
     * @param reservedLength datagram length used by another protocol on the same socket; -1 for none
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

    /** A probe that waits for its acknowledgement. */
    private static final class Probe {
        private final Member target;
        /** Whether this member started it; false for one on behalf of another member. */
        private final boolean direct;

        private long dueUs;

        Probe(Member target, boolean direct, long dueUs) {
            this.target = target;
            this.direct = direct;
            this.dueUs = dueUs;
        }
    }

    /** This member's own evidence against a member that did not answer it. */
    private static final class Suspicion {
        private final Set<Long> suspecters = new HashSet<>();
        private long sinceUs;
        private long nextPingUs;
        private int pings;
        /** False after an indirect probe: otherwise, at a loss of 30%, indirect probes would trigger each other without end. */
        private boolean requestsIndirectProbes;
        /** Peer indexes of the members that asked for a probe and get its result. */
        private final Set<Integer> requesters = new HashSet<>();

        /** A member that misses many answers probably has bad links itself, and waits longer. */
        long expiresUs(int selfDoubt) {
            return sinceUs
                    + (suspecters.size() >= 2 ? CONFIRMED_SUSPICION_TIMEOUT_US : LONE_SUSPICION_TIMEOUT_US)
                            * (MAX_SELF_DOUBT + selfDoubt)
                            / MAX_SELF_DOUBT;
        }
    }

    private final Self config;
    private final Environment environment;
    private final SplittableRandom random;
    private final SendBudget budget;
    private final Member localMember;
    private final Map<Long, Member> members = new HashMap<>();
    /** Live members in an order that is the same at all members. */
    private final NavigableMap<Long, Member> ring = new TreeMap<>();
    /** By index in the peer list; null where no member is known. */
    private final Member[] byPeerIndex;

    private final long[] legacyHeardUs;
    private final Map<Integer, Probe> probes = new LinkedHashMap<>();
    private final Map<Long, Suspicion> suspicions = new LinkedHashMap<>();
    /** By member id: peer indexes of those that asked for a probe of it, until that probe has ended. */
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
    /** Whether updates are to be sent without waiting for the next probe. */
    private boolean urgentPending;

    private boolean viewStale;
    private boolean stopped;
    private int selfDoubt;
    private int sequence;
    private int nextBucket;
    private long messageCount;
    private final List<Long> claimTimesUs = new ArrayList<>();
    private MembershipView view;

    public Membership(Self config, long nowUs, long seed, Environment environment) {
        this.config = config;
        this.environment = environment;
        random = new SplittableRandom(seed);
        this.nowUs = lastTickUs = startedUs = nowUs;
        budget = new SendBudget(nowUs);
        localMember = new Member(Envelope.idOf(config.name()));
        localMember.incarnation = config.startMs();
        localMember.state = State.ALIVE;
        localMember.zone = config.zone();
        localMember.ownIndex = config.index();
        localMember.version = config.version();
        localMember.features = config.features();
        localMember.name = config.name();
        localMember.peerIndex = config.index();
        localMember.sinceUs = nowUs;
        byPeerIndex = new Member[config.peerCount()];
        legacyHeardUs = new long[config.peerCount()];
        Arrays.fill(legacyHeardUs, NEVER);
        if (config.index() >= 0 && config.index() < byPeerIndex.length) {
            byPeerIndex[config.index()] = localMember;
        }
        members.put(localMember.id, localMember);
        ring.put(Member.ringPosition(localMember.id), localMember);
        nextProbeUs = nowUs + random.nextLong(PROBE_PERIOD_US);
        nextCompareUs = nowUs;
        disseminateUrgently(localMember);
        view = computeView(null);
    }

    // ---- queries ----------------------------------------------------------------------------------

    public MembershipView view() {
        return view;
    }

    /** All known members in any state, including this one, in no order. */
    public Collection<Member> members() {
        return members.values();
    }

    /** Null if the member is unknown. */
    public Member member(long id) {
        return members.get(id);
    }

    public Member self() {
        return localMember;
    }

    /** Whether this member takes no further part: it has left, or another process uses its name. */
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

    /** Alive or suspect, and reachable at a peer index that no other member has taken. */
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

    /** To be called every {@link #TICK_INTERVAL_US}. A clock that steps back counts as standing still. */
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

    /** Datagrams that arrived during a pause are still unread, so all deadlines are extended by it. */
    private void compensateForPause(long pauseUs) {
        selfDoubt = Math.min(MAX_SELF_DOUBT, selfDoubt + 1);
        probes.values().forEach(p -> p.dueUs += pauseUs);
        suspicions.values().forEach(suspicion -> suspicion.sinceUs += pauseUs);
        lastHeardUs = lastHeardUs == NEVER ? NEVER : lastHeardUs + pauseUs;
    }

    private boolean isPossiblyIsolated() {
        return nowUs - lastHeardUs > ISOLATION_SUSPECTED_US;
    }

    private void expireProbes() {
        for (Iterator<Map.Entry<Integer, Probe>> i = probes.entrySet().iterator(); i.hasNext(); ) {
            Probe probe = i.next().getValue();
            if (nowUs < probe.dueUs) {
                continue;
            }
            i.remove();
            selfDoubt = Math.min(MAX_SELF_DOUBT, selfDoubt + 1);
            if (probe.target.state == State.ALIVE || probe.target.state == State.SUSPECT) {
                suspect(probe.target, probe.direct);
            }
        }
    }

    private void suspect(Member member, boolean direct) {
        if (suspicions.containsKey(member.id) || isPossiblyIsolated() && lastHeardUs != NEVER) {
            return;
        }
        Suspicion suspicion = new Suspicion();
        suspicion.suspecters.add(localMember.id);
        suspicion.sinceUs = nowUs;
        suspicion.nextPingUs = nowUs;
        suspicion.requestsIndirectProbes = direct;
        suspicions.put(member.id, suspicion);
        for (int requester : probeRequesters.getOrDefault(member.id, Set.of())) {
            suspicion.requesters.add(requester);
            send(
                    requester,
                    newEnvelope()
                            .addSection(CONFIRM_SUSPICION, encodeIdentity(member))
                            .toBytes(config.reservedLength()));
        }
        probeRequesters.remove(member.id);
        if (member.state == State.ALIVE) {
            setState(member, State.SUSPECT, "no answer to a probe");
        }
    }

    /** Pings again, and asks other members only with the second ping: most missed answers are a single lost datagram. */
    private void pingSuspect(Suspicion suspicion, Member member) {
        suspicion.nextPingUs = nowUs + SUSPECT_PING_INTERVAL_US;
        ping(member);
        if (++suspicion.pings == 2 && suspicion.requestsIndirectProbes) {
            for (Member prober : randomAliveMembers(INDIRECT_PROBERS, member)) {
                send(
                        prober.peerIndex,
                        newEnvelope()
                                .addSection(PING_REQUEST, encodeIdentity(member))
                                .toBytes(config.reservedLength()));
            }
        }
    }

    private void processSuspicions() {
        for (Map.Entry<Long, Suspicion> e : List.copyOf(suspicions.entrySet())) {
            Suspicion suspicion = e.getValue();
            Member member = members.get(e.getKey());
            if (member == null || member.state == State.DEAD || member.state == State.LEFT) {
                suspicions.remove(e.getKey());
            } else if (nowUs >= suspicion.expiresUs(selfDoubt) && !isPossiblyIsolated()) {
                suspicions.remove(e.getKey());
                setState(
                        member,
                        State.DEAD,
                        suspicion.suspecters.size() >= 2
                                ? "unreachable from this member and " + otherSuspecters(suspicion)
                                : "unreachable from this member alone");
            } else if (nowUs >= suspicion.nextPingUs && budget.canSend(PING_MESSAGE_BYTES)) {
                pingSuspect(suspicion, member);
            } else if (nowUs >= suspicion.nextPingUs) {
                // The budget is exhausted by many suspects. One that was not pinged can't answer, so its timeout is
                // extended.
                suspicion.sinceUs += TICK_INTERVAL_US;
            }
        }
    }

    private String otherSuspecters(Suspicion suspicion) {
        return suspicion.suspecters.stream()
                .filter(id -> id != localMember.id)
                .map(id -> members.containsKey(id) ? members.get(id).name() : String.format("%012x", id))
                .sorted()
                .reduce((x, y) -> x + " and " + y)
                .orElse("nobody");
    }

    /** Probes the next members in the ring and one at random. */
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
                // A suspect doesn't count as a target, as its successor may have lost a prober with it.
                remaining -= current.state == State.SUSPECT ? 0 : 1;
            }
        }
        int peerIndex = random.nextInt(byPeerIndex.length);
        Member member = byPeerIndex[peerIndex];
        if (member == null) {
            // No member is known there yet, or it runs the previous program version.
            ping(peerIndex);
        } else if (member != localMember) {
            boolean gone = member.state == State.DEAD || member.state == State.LEFT;
            if (!gone || random.nextInt(DEAD_PROBE_RATIO) == 0) {
                probe(member, true);
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

    /** Runs only every {@link #REMOVE_INTERVAL_US}, as it visits all members. */
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

    private void probe(Member member, boolean direct) {
        int number = ping(member);
        if (!suspicions.containsKey(member.id)) {
            probes.put(number, new Probe(member, direct, nowUs + ACK_TIMEOUT_US * (4 + selfDoubt) / 4));
        }
    }

    private int ping(Member m) {
        return ping(m.peerIndex);
    }

    /** Pings a peer index. The answer identifies the member there. */
    private int ping(int peerIndex) {
        int number = sequence = sequence + 1 & 0xFFFF;
        ByteBuffer b = ByteBuffer.allocate(2).putShort((short) number);
        Envelope envelope = newEnvelope().addSection(PING, b);
        if (nowUs - startedUs < JOIN_PHASE_US || messageCount++ % NAME_INTERVAL_MESSAGES == 0) {
            addNameSection(envelope);
        }
        send(peerIndex, addUpdates(envelope).toBytes(config.reservedLength()));
        return number;
    }

    /** Adds this member's zone, index, version, features and name. */
    private void addNameSection(Envelope envelope) {
        byte[] name = config.name().getBytes(StandardCharsets.UTF_8);
        ByteBuffer b = ByteBuffer.allocate(METADATA_BYTES + MAX_NAME_BYTES);
        b.put((byte) localMember.zone)
                .putShort((short) localMember.ownIndex)
                .put((byte) localMember.version)
                .put((byte) localMember.features);
        b.put(name, 0, Math.min(MAX_NAME_BYTES, name.length));
        envelope.addSection(NAME, b);
    }

    /** Starts anti-entropy for one bucket; its content is transferred only if the hashes differ. */
    private void startComparison() {
        boolean joining = nowUs - startedUs < JOIN_PHASE_US;
        nextCompareUs = nowUs + (joining ? TICK_INTERVAL_US : COMPARE_INTERVAL_US);
        for (int i = 0; i < (joining ? JOIN_COMPARISONS : 1); i++) {
            List<Member> chosen = randomAliveMembers(1, null);
            int peerIndex = chosen.isEmpty() ? random.nextInt(byPeerIndex.length) : chosen.get(0).peerIndex;
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

    /** A datagram of the previous program version, which doesn't use envelopes, came from this peer. */
    public void onLegacyDatagram(long now, int peerIndex) {
        advance(now);
        if (peerIndex >= 0 && peerIndex < legacyHeardUs.length) {
            legacyHeardUs[peerIndex] = nowUs;
        }
    }

    /** Passes the datagram to {@link #onMessage} if it is an envelope. */
    public void onDatagram(long now, int peerIndex, byte[] datagram) {
        Envelope.Message message = Envelope.parse(datagram);
        if (message != null) {
            onMessage(now, peerIndex, message);
        }
    }

    /**
     * Handles a message from the peer at this index. Implausible content changes nothing.
     *
     * @return whether the sender is the member at this index, so that other components may handle their sections of the message
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
        for (Envelope.Section section : message.sections()) {
            ByteBuffer b = ByteBuffer.wrap(section.bytes());
            switch (section.type()) {
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

    /** An index belongs to one member and a member to one index; either may change only once the previous pairing is silent. */
    private boolean conflictsWithRecentSender(long sender, int peerIndex) {
        Member member = members.get(sender);
        Member previous = byPeerIndex[peerIndex];
        return member != null && member.peerIndex != peerIndex && member.peerIndex >= 0 && wasHeardRecently(member)
                || previous != null && previous != member && wasHeardRecently(previous);
    }

    private boolean wasHeardRecently(Member member) {
        return member != localMember
                && (member.state == State.ALIVE || member.state == State.SUSPECT)
                && nowUs - member.lastHeardUs < PEER_INDEX_LOCK_US;
    }

    private boolean isTooFarAhead(long incarnation) {
        return incarnation > nowUs / 1_000 + MAX_INCARNATION_AHEAD_MS;
    }

    /** Another process has this member's name. The one started later keeps it, and the earlier one stops. */
    private void onDuplicateId(Envelope.Message message, int peerIndex) {
        if (peerIndex == config.index() && message.incarnation() == localMember.incarnation) {
            return;
        }
        if (message.incarnation() > localMember.incarnation && nowUs - startedUs >= JOIN_PHASE_US) {
            // One last datagram, so that the other process can log that there was an earlier one.
            send(peerIndex, newEnvelope().toBytes(config.reservedLength()));
            stop("another process of this name, started later, sends from place " + peerIndex);
        } else if (message.incarnation() > localMember.incarnation) {
            environment.logEvent("another process of this name sends from place " + peerIndex);
            refute(message.incarnation(), "place " + peerIndex);
        } else {
            environment.logEvent("another process of this name, started earlier, sends from place " + peerIndex);
        }
    }

    private void stop(String reason) {
        stopped = true;
        probes.clear();
        suspicions.clear();
        dissemination.clear();
        environment.logEvent("stops taking part in the membership: " + reason);
        view = computeView(view);
    }

    /** Records that the sender of a message is alive and reachable at this index; null if the message is outdated. */
    private Member identifySender(Envelope.Message message, int peerIndex) {
        Member member = members.get(message.sender());
        if (member == null) {
            member = new Member(message.sender());
            member.ownIndex = Member.UNKNOWN_INDEX;
            member.incarnation = message.incarnation();
            member.state = State.LEFT;
            applyMetadata(member, message);
            members.put(member.id, member);
            assignPeerIndex(member, peerIndex);
            recordContact(member);
            setState(member, State.ALIVE, "joined");
            return member;
        }
        if (message.incarnation() < member.incarnation) {
            // An earlier process of this name, or a member that missed an update about itself: send it, so that it can
            // refute it.
            if ((member.peerIndex < 0 || member.peerIndex == peerIndex) && budget.canSend(MIN_UPDATE_MESSAGE_BYTES)) {
                ByteBuffer buffer = ByteBuffer.allocate(Member.WIRE_BYTES);
                member.write(buffer);
                send(peerIndex, newEnvelope().addSection(UPDATES, buffer).toBytes(config.reservedLength()));
            }
            return null;
        }
        applyMetadata(member, message);
        assignPeerIndex(member, peerIndex);
        recordContact(member);
        if (message.incarnation() > member.incarnation) {
            member.incarnation = message.incarnation();
            digest.invalidate();
            setState(member, State.ALIVE, "rejoined");
            disseminateUrgently(member);
        } else if (member.state == State.SUSPECT) {
            setState(member, State.ALIVE, "answered again");
        }
        Suspicion suspicion = suspicions.remove(member.id);
        for (int requester : suspicion == null ? Set.<Integer>of() : suspicion.requesters) {
            sendHeardByWitness(requester, member.id);
        }
        return member;
    }

    private void recordContact(Member member) {
        member.lastHeardUs = nowUs;
        lastHeardUs = nowUs;
        if (member.peerIndex >= 0) {
            legacyHeardUs[member.peerIndex] = NEVER;
        }
    }

    private void assignPeerIndex(Member member, int peerIndex) {
        if (member.peerIndex == peerIndex || peerIndex == config.index()) {
            return;
        }
        if (member.peerIndex >= 0 && byPeerIndex[member.peerIndex] == member) {
            byPeerIndex[member.peerIndex] = null;
        }
        Member previous = byPeerIndex[peerIndex];
        if (previous != null && previous != localMember) {
            previous.peerIndex = -1;
        }
        byPeerIndex[peerIndex] = member;
        member.peerIndex = peerIndex;
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
        Envelope envelope = newEnvelope().addSection(ACK, ack);
        if (nowUs - startedUs < JOIN_PHASE_US || messageCount++ % NAME_INTERVAL_MESSAGES == 0) {
            addNameSection(envelope);
        }
        send(sender.peerIndex, addUpdates(envelope).toBytes(config.reservedLength()));
    }

    private void onAck(Member sender, ByteBuffer b) {
        if (!hasRemaining(b, 2)) {
            return;
        }
        Probe probe = probes.remove(b.getShort() & 0xFFFF);
        if (probe != null && probe.target == sender) {
            selfDoubt = Math.max(0, selfDoubt - 1);
        }
        Set<Integer> requesters = probeRequesters.remove(sender.id);
        if (requesters != null) {
            requesters.forEach(requester -> sendHeardByWitness(requester, sender.id));
        }
    }

    /** The sender got no answer from a member and asks for an indirect probe of it. */
    private void onPingRequest(Member sender, ByteBuffer buffer) {
        Member member = hasRemaining(buffer, 12) ? members.get(Envelope.get48(buffer)) : null;
        long incarnation = member == null ? 0 : Envelope.get48(buffer);
        if (member == null
                || member == localMember
                || incarnation < member.incarnation
                || member.peerIndex < 0
                || member.state == State.DEAD
                || member.state == State.LEFT) {
            return;
        }
        Suspicion suspicion = suspicions.get(member.id);
        if (suspicion != null) {
            suspicion.suspecters.add(sender.id);
            suspicion.requesters.add(sender.peerIndex);
            send(
                    sender.peerIndex,
                    newEnvelope()
                            .addSection(CONFIRM_SUSPICION, encodeIdentity(member))
                            .toBytes(config.reservedLength()));
        } else {
            probeRequesters.computeIfAbsent(member.id, id -> new HashSet<>()).add(sender.peerIndex);
            probe(member, false);
        }
    }

    private void onSuspicionConfirmed(Member sender, ByteBuffer b) {
        Suspicion suspicion = hasRemaining(b, 12) ? suspicions.get(Envelope.get48(b)) : null;
        if (suspicion != null) {
            suspicion.suspecters.add(sender.id);
        }
    }

    /** Another member has heard from the suspect, so only the link to it is bad and the suspicion ends. */
    private void onHeardByWitness(ByteBuffer buffer) {
        Member member = hasRemaining(buffer, 12) ? members.get(Envelope.get48(buffer)) : null;
        if (member != null && suspicions.remove(member.id) != null && member.state == State.SUSPECT) {
            member.lastHeardUs = nowUs;
            setState(member, State.ALIVE, "heard by another member");
        }
    }

    private void sendHeardByWitness(int peerIndex, long id) {
        Member member = members.get(id);
        send(
                peerIndex,
                newEnvelope()
                        .addSection(HEARD_BY_WITNESS, encodeIdentity(member))
                        .toBytes(config.reservedLength()));
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

    /** Takes over what the sender reports about itself; a name only if it hashes to the sender's id. */
    private void applyMetadata(Member member, Envelope.Message message) {
        for (Envelope.Section section : message.sections()) {
            if (section.type() != NAME || section.bytes().length < METADATA_BYTES) {
                continue;
            }
            ByteBuffer buffer = ByteBuffer.wrap(section.bytes());
            int zone = buffer.get() & 255;
            if (zone < Math.max(1, config.zoneCount())) {
                boolean first = !member.hasMetadata();
                if (first) {
                    digest.invalidate();
                }
                member.zone = zone;
                member.ownIndex = buffer.getShort() & 0xFFFF;
                member.version = buffer.get() & 255;
                member.features = buffer.get() & 255;
                if (first && member.hasMetadata() && member.state == State.ALIVE) {
                    disseminate(member);
                }
            }
            if (member.name == null) {
                String name = new String(
                        section.bytes(),
                        METADATA_BYTES,
                        section.bytes().length - METADATA_BYTES,
                        StandardCharsets.UTF_8);
                member.name = Envelope.idOf(name) == member.id ? name : null;
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
            applyUpdate(update, "a state comparison", true);
        }
    }

    /** Merges a reported member state. Implausible updates are ignored. */
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
        Member member = members.get(update.id);
        if (member != null
                && !member.hasMetadata()
                && update.hasMetadata()
                && update.incarnation == member.incarnation) {
            copyMetadata(member, update);
            assumePeerIndex(member);
        }
        if (member == null) {
            if (update.state == State.DEAD || update.state == State.LEFT) {
                return;
            }
            member = new Member(update.id);
            member.state = State.LEFT;
            members.put(member.id, member);
            copyMetadata(member, update);
            assumePeerIndex(member);
            setState(member, State.ALIVE, "reported by " + source);
            return;
        }
        if (!Member.supersedes(
                        update.incarnation,
                        update.state,
                        member.incarnation,
                        member.state == State.SUSPECT ? State.ALIVE : member.state)
                || update.state == State.SUSPECT && update.incarnation == member.incarnation) {
            return;
        }
        boolean deathInBucket = fromBucket
                && update.state == State.DEAD
                && update.incarnation == member.incarnation
                && (member.state == State.ALIVE || member.state == State.SUSPECT);
        boolean deathOfRecentlyHeard = update.state == State.DEAD
                && update.incarnation == member.incarnation
                && nowUs - member.lastHeardUs < ISOLATION_SUSPECTED_US;
        if (deathInBucket || deathOfRecentlyHeard) {
            // The bucket may be outdated, or the reporter wrong: the member gets the update and may refute it.
            if (member.peerIndex >= 0 && budget.canSend(MIN_UPDATE_MESSAGE_BYTES)) {
                ByteBuffer buffer = ByteBuffer.allocate(Member.WIRE_BYTES);
                update.write(buffer);
                send(member.peerIndex, newEnvelope().addSection(UPDATES, buffer).toBytes(config.reservedLength()));
            }
            return;
        }
        // Suspicions are not disseminated; a received one only shows that the member is not dead.
        State newState = update.state == State.SUSPECT ? State.ALIVE : update.state;
        copyMetadata(member, update);
        assumePeerIndex(member);
        setState(member, newState, "reported by " + source);
        disseminateUrgently(member);
    }

    private void copyMetadata(Member member, Member update) {
        digest.invalidate();
        member.incarnation = update.incarnation;
        member.zone = update.zone;
        member.ownIndex = update.ownIndex;
        member.version = update.version;
        member.features = update.features;
    }

    /** Assumes that both peer lists agree, until the member's first datagram shows its actual index. */
    private void assumePeerIndex(Member member) {
        if (member.peerIndex < 0 && member.ownIndex < byPeerIndex.length && byPeerIndex[member.ownIndex] == null) {
            member.peerIndex = member.ownIndex;
            byPeerIndex[member.ownIndex] = member;
        }
    }

    /** Handles a wrong update about this member: it is refuted, unless another process insists on the name. */
    private void onFalseUpdateAboutSelf(Member update, String source) {
        if (update.state == State.ALIVE && nowUs - startedUs >= JOIN_PHASE_US) {
            claimTimesUs.removeIf(at -> nowUs - at > CLAIM_WINDOW_US);
            claimTimesUs.add(nowUs);
            if (claimTimesUs.size() > MAX_CLAIMS) {
                stop("another process of this name keeps claiming it, reported by " + source);
                return;
            }
        }
        refute(update.incarnation, source);
    }

    private void refute(long incarnation, String source) {
        localMember.incarnation = Math.min((1L << 48) - 1, incarnation + 1);
        digest.invalidate();
        localMember.sinceUs = nowUs;
        environment.logEvent("refutes the update from " + source + " about itself");
        disseminateUrgently(localMember);
    }

    // ---- state changes ------------------------------------------------------------------------------

    private void setState(Member member, State state, String reason) {
        digest.invalidate();
        boolean wasLive = member.state == State.ALIVE || member.state == State.SUSPECT;
        // A member that was just created has no previous state.
        boolean wasGone = !wasLive && member.sinceUs != 0;
        if (member.state != state
                && (state != State.SUSPECT && member.state != State.SUSPECT
                        || state == State.DEAD
                        || state == State.LEFT)) {
            environment.logEvent(
                    member.name() + " is " + state.name().toLowerCase(java.util.Locale.ROOT) + ": " + reason);
        }
        if (member.state != state) {
            member.sinceUs = nowUs;
            member.reason = reason;
        }
        member.state = state;
        boolean isLive = state == State.ALIVE || state == State.SUSPECT;
        if (isLive && !wasLive) {
            ring.put(Member.ringPosition(member.id), member);
        } else if (!isLive) {
            ring.remove(Member.ringPosition(member.id));
            suspicions.remove(member.id);
        }
        if (state == State.ALIVE) {
            Suspicion suspicion = suspicions.remove(member.id);
            if (suspicion != null) {
                suspicion.requesters.forEach(requester -> sendHeardByWitness(requester, member.id));
            }
        }
        viewStale = true;
        if (!isLive || wasGone) {
            disseminateUrgently(member);
        } else if (!wasLive) {
            disseminate(member);
        }
    }

    private void disseminateUrgently(Member member) {
        dissemination.enqueueUrgent(member, members.size());
        urgentPending = true;
    }

    private void disseminate(Member member) {
        dissemination.enqueueRegular(member, members.size());
    }

    /** Fills the remaining space with updates, as far as the budget allows. */
    private Envelope addUpdates(Envelope envelope) {
        int affordable = (budget.availableBytes()
                        - RESERVED_BYTES
                        - SendBudget.IP_UDP_HEADER_BYTES
                        - (Envelope.MAX_BYTES - envelope.remainingBytes()))
                / Member.WIRE_BYTES;
        int count = Math.min(
                Math.min(envelope.remainingBytes() / Member.WIRE_BYTES, StateDigest.MEMBERS_PER_BUCKET), affordable);
        if (count <= 0 || dissemination.isEmpty()) {
            return envelope;
        }
        ByteBuffer buffer = ByteBuffer.allocate(count * Member.WIRE_BYTES);
        dissemination.writeUpdates(buffer);
        return envelope.addSection(UPDATES, buffer);
    }

    /** Sends urgent updates without waiting for the next probe, as far as the budget allows. */
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

    /** Up to {@code count} reachable alive members at random, without {@code excluded}. */
    private List<Member> randomAliveMembers(int count, Member excluded) {
        List<Member> chosen = new ArrayList<>(count);
        for (int tries = 0; tries < 4 * count && chosen.size() < count; tries++) {
            Member member = byPeerIndex.length == 0 ? null : byPeerIndex[random.nextInt(byPeerIndex.length)];
            if (member != null
                    && member != localMember
                    && member != excluded
                    && member.state == State.ALIVE
                    && !chosen.contains(member)) {
                chosen.add(member);
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

    /** Announces a voluntary leave to several members, as datagrams get lost, and stops. */
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
        environment.logEvent("announced that it leaves");
    }

    private MembershipView computeView(MembershipView previous) {
        int live = 0;
        int left = 0;
        int[] liveByZone = new int[Math.max(1, config.zoneCount())];
        // An isolated member can't tell whether the others are dead, and counts none of them.
        boolean isolated = nowUs - Math.max(startedUs, lastHeardUs) > ISOLATED_US;
        if (isolated) {
            live = 1;
            liveByZone[Math.min(liveByZone.length - 1, localMember.zone)]++;
        }
        if (!stopped && !isolated) {
            for (Member member : members.values()) {
                if (member.state == State.LEFT) {
                    left += member.peerIndex >= 0 ? 1 : 0;
                } else if (member.state != State.DEAD) {
                    live++;
                    liveByZone[Math.min(liveByZone.length - 1, member.zone)]++;
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
        boolean standingUnchanged = previous != null && previous.standing() == standing;
        return new MembershipView(
                expected,
                live,
                Arrays.stream(liveByZone).boxed().toList(),
                standing,
                standingUnchanged ? previous.standingSinceUs() : nowUs);
    }
}

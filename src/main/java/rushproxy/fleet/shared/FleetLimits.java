package rushproxy.fleet.shared;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import rushproxy.Balancer.Scope;
import rushproxy.Balancer.Share;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Environment;
import rushproxy.fleet.PeerDirectory;

/**
 * Fleet-wide limits by leased shares (after Doorman's leases, but without a server that holds them). Each sidecar has the limit
 * over the configured number by right, and may lend of it to one that asks; what it has lent it does not use until the lease
 * has ended. Without I/O; one thread.
 *
 * <p>Why the sum never exceeds the limit: a borrower counts its lease from when it <em>asked</em>, the lender from when
 * it <em>heard</em>, for the same time, so the borrower's ends first, whatever is lost, late or doubled; no clocks are compared.
 * A lender whose process starts anew has forgotten its leases and uses no more than it never lends ({@link #RESERVED_SHARE}) until they have
 * ended. So in calm, in a split and after a mass restart all shares together are at most the limit at every time. While a process
 * hands over to another of its name both have a share: at most one more of the sidecars that hand over.
 *
 * <p>The price: the shares of the dead are not used (one that seems dead may serve behind a cut), and a demand that moves
 * is followed within the lease's time.
 *
 * <p>Not taken: a holder for each limit, elected or by rank (its cost grows with the fleet and its death is everybody's); and
 * a table of all demands, which does not fit into the bounds of {@link ReplicatedStore}.
 */
public final class FleetLimits {
    public static final long LEASE_US = 2_000_000;
    /** Call {@link #onTick} at least this often. */
    public static final long TICK_INTERVAL_US = 250_000;
    /** Of the own part this much is never lent: whoever is asked after a pause can answer some at once. */
    public static final double RESERVED_SHARE = 0.2;
    /** The demand is met with so much to spare. */
    private static final double DEMAND_HEADROOM = 1.05;

    private static final double DEMAND_SMOOTHING = 0.35;
    /** Asks at a tick, of all limits together. */
    private static final int MAX_REQUESTS_PER_TICK = 6;
    /** Renewed with this much left: two asks may be lost. */
    private static final long RENEW_BEFORE_US = 1_300_000;
    /** Who had nothing to lend is not asked for so long. */
    private static final long REFUSAL_BACKOFF_US = 1_000_000;
    /** Borrowers of one lender, more than a fleet has processes: a bound on what liars can fill. */
    private static final int MAX_BORROWERS = 4_096;

    private static final int LEASE_REQUEST = 30;
    private static final int LEASE_GRANT = 31;
    private static final int SECTION_BYTES = 16;

    /** {@code max} a second, or in flight. */
    public record Limit(String name, Scope scope, String subject, boolean inFlight, double max) {
        private static final int HEADER_BYTES = 7;

        /** As the store has it; throws where the names are too long. */
        byte[] encode() {
            byte[] o = subject.getBytes(StandardCharsets.UTF_8);
            byte[] n = name.getBytes(StandardCharsets.UTF_8);
            if (HEADER_BYTES + o.length + n.length > Table.LIMITS.maxValueBytes()) {
                throw new IllegalArgumentException("'" + name + "' and '" + subject + "' are " + (o.length + n.length)
                        + " bytes, " + (Table.LIMITS.maxValueBytes() - HEADER_BYTES) + " at most");
            }
            return ByteBuffer.allocate(HEADER_BYTES + o.length + n.length)
                    .put((byte) scope.ordinal())
                    .put((byte) (inFlight ? 1 : 0))
                    .putFloat((float) max)
                    .put((byte) o.length)
                    .put(o)
                    .put(n)
                    .array();
        }

        /** Null where the bytes are no limit. */
        static Limit decode(byte[] bytes) {
            ByteBuffer b = ByteBuffer.wrap(bytes);
            if (bytes.length <= HEADER_BYTES || bytes[0] < 0 || bytes[0] >= Scope.values().length) {
                return null;
            }
            Scope scope = Scope.values()[b.get()];
            boolean inFlight = b.get() == 1;
            double most = b.getFloat();
            int length = b.get() & 255;
            if (!(most >= 0 && most < 1e9) || length >= b.remaining()) {
                return null;
            }
            byte[] o = new byte[length];
            b.get(o);
            byte[] n = new byte[b.remaining()];
            b.get(n);
            return new Limit(
                    new String(n, StandardCharsets.UTF_8),
                    scope,
                    new String(o, StandardCharsets.UTF_8),
                    inFlight,
                    most);
        }
    }

    /** The limit itself; throws where its names are too long for the store. */
    public static Limit validated(Limit limit) {
        limit.encode();
        return limit;
    }

    /** What operators see of one limit here. */
    public record LimitStatus(
            Limit limit, double baseShare, double share, double lent, double borrowed, double demand) {}

    /** Lent to one, or borrowed from one: of several leases between two the largest that lives counts. */
    private record Lease(int sequence, double amount, long expiresUs) {}

    private static final class LimitState {
        private Limit limit;
        private double demand;
        private long freshUs;
        /** By borrower's id. */
        private final Map<Long, List<Lease>> lent = new LinkedHashMap<>();
        /** By lender's place, the latest answer of each. */
        private final Map<Integer, Lease> borrowed = new LinkedHashMap<>();
        /** Asked and not answered yet, by place. */
        private final Map<Integer, LeaseRequest> pendingRequests = new HashMap<>();

        private final Map<Integer, Long> refusedUntilUs = new HashMap<>();

        double totalLent(long nowUs, long excludedBorrower) {
            double sum = 0;
            for (Map.Entry<Long, List<Lease>> e : lent.entrySet()) {
                sum += e.getKey() == excludedBorrower ? 0 : largestLive(e.getValue(), nowUs);
            }
            return sum;
        }

        private static double largestLive(List<Lease> leases, long nowUs) {
            return leases.stream()
                    .filter(l -> l.expiresUs > nowUs)
                    .mapToDouble(Lease::amount)
                    .max()
                    .orElse(0);
        }

        double totalBorrowed(long nowUs) {
            return borrowed.values().stream()
                    .filter(l -> l.expiresUs > nowUs)
                    .mapToDouble(Lease::amount)
                    .sum();
        }
    }

    private record LeaseRequest(int sequence, double amount, long sentUs) {}

    private final long selfId;
    private final int sidecarCount;
    private final int feature;
    private final int reservedLength;
    private final ReplicatedStore store;
    private final PeerDirectory peers;
    private final Environment environment;
    private final SplittableRandom random;
    private final List<Limit> configuredLimits;
    private final Map<Long, LimitState> limits = new LinkedHashMap<>();
    private final long startUs;
    private long incarnation;
    private long nowUs;
    private int sequence;

    /**
     * @param configured number of sidecars in the configuration: the part of each without a word
     * @param own        the configuration's limits; one of the same name that operators set later goes before
     */
    public FleetLimits(
            long selfId,
            int sidecarCount,
            int feature,
            int reservedLength,
            ReplicatedStore store,
            List<Limit> configuredLimits,
            long nowUs,
            long seed,
            PeerDirectory peers,
            Environment environment) {
        this.selfId = selfId;
        this.sidecarCount = Math.max(1, sidecarCount);
        this.feature = feature;
        this.reservedLength = reservedLength;
        this.store = store;
        this.configuredLimits = List.copyOf(configuredLimits);
        this.peers = peers;
        this.environment = environment;
        this.nowUs = startUs = nowUs;
        random = new SplittableRandom(seed);
        refreshDefinitions();
    }

    /** Operators set a limit for the fleet, from here. Throws where its names are too long. */
    public void setLimit(long now, Limit limit) {
        advance(now);
        store.put(nowUs, Table.LIMITS, Envelope.idOf(limit.name()), limit.encode());
        refreshDefinitions();
    }

    /** False where no limit of the name was set by a call; the configuration's own hold on. */
    public boolean removeLimit(long now, String name) {
        advance(now);
        boolean known = store.read(nowUs, Table.LIMITS, Envelope.idOf(name), 0) != null;
        store.remove(nowUs, Table.LIMITS, Envelope.idOf(name));
        refreshDefinitions();
        return known;
    }

    private void refreshDefinitions() {
        Map<Long, Limit> definitions = new LinkedHashMap<>();
        configuredLimits.forEach(l -> definitions.put(Envelope.idOf(l.name()), l));
        for (StoredEntry r : store.readAll(nowUs, Table.LIMITS)) {
            Limit l = Limit.decode(r.value());
            if (l != null) {
                definitions.put(r.key(), l);
            }
        }
        limits.keySet().retainAll(definitions.keySet());
        definitions.forEach((key, limit) -> {
            LimitState s = limits.get(key);
            if (s == null || s.limit.inFlight() != limit.inFlight()) {
                s = new LimitState();
                limits.put(key, s);
            }
            if (s.limit == null || !s.limit.equals(limit)) {
                if (s.limit != null) {
                    // Leases are parts of the old limit: none counts for the new one, here or at others.
                    s.borrowed.clear();
                    s.pendingRequests.clear();
                }
                environment.logEvent("limit " + limit.name() + ": " + limit.max()
                        + (limit.inFlight() ? " in flight" : " a second") + " for "
                        + limit.scope().name().toLowerCase(java.util.Locale.ROOT) + " " + limit.subject());
            }
            s.limit = limit;
        });
    }

    private void advance(long now) {
        nowUs = Math.max(nowUs, now);
    }

    /** What is asked of the limit here: requests a second, or in flight, also those that were refused by it. */
    public void recordDemand(long now, String name, double demand) {
        advance(now);
        LimitState s = limits.get(Envelope.idOf(name));
        if (s != null) {
            s.demand += DEMAND_SMOOTHING * (demand - s.demand);
        }
    }

    /** Renews and asks for more, where the demand wants it. */
    public void onTick(long now, long incarnation) {
        advance(now);
        this.incarnation = incarnation;
        refreshDefinitions();
        int requestsLeft = MAX_REQUESTS_PER_TICK;
        for (Map.Entry<Long, LimitState> e : limits.entrySet()) {
            LimitState s = e.getValue();
            s.lent.values().forEach(l -> l.removeIf(lease -> lease.expiresUs <= nowUs));
            s.lent.values().removeIf(List::isEmpty);
            s.borrowed.values().removeIf(l -> l.expiresUs <= nowUs);
            s.pendingRequests.values().removeIf(a -> a.sentUs + LEASE_US <= nowUs);
            s.refusedUntilUs.values().removeIf(until -> until <= nowUs);
            requestsLeft = requestLeases(e.getKey(), s, requestsLeft);
        }
    }

    private double equalShare(LimitState s) {
        return s.limit.max() / sidecarCount;
    }

    /** What the own part is at least while those whom a process before lent to may use it still. */
    private double baseShare(LimitState s) {
        return nowUs - startUs < LEASE_US ? RESERVED_SHARE * equalShare(s) : equalShare(s);
    }

    private double effectiveShare(LimitState s) {
        return Math.max(0, baseShare(s) - s.totalLent(nowUs, 0)) + s.totalBorrowed(nowUs);
    }

    private int requestLeases(long key, LimitState s, int maxRequests) {
        double wanted = DEMAND_HEADROOM * s.demand;
        double need = wanted - Math.max(0, baseShare(s) - s.totalLent(nowUs, 0));
        int requestsLeft = maxRequests;
        // First those who have lent: the part that is wanted still.
        for (Map.Entry<Integer, Lease> e : List.copyOf(s.borrowed.entrySet())) {
            Lease l = e.getValue();
            if (need <= 0 || requestsLeft == 0) {
                break;
            }
            if (l.expiresUs - nowUs < RENEW_BEFORE_US && !hasRecentRequest(s, e.getKey())) {
                requestLease(key, s, e.getKey(), Math.min(need, equalShare(s)));
                requestsLeft--;
            }
            need -= l.amount;
        }
        for (Map.Entry<Integer, LeaseRequest> a : s.pendingRequests.entrySet()) {
            need -= s.borrowed.containsKey(a.getKey()) || nowUs - a.getValue().sentUs > TICK_INTERVAL_US
                    ? 0
                    : a.getValue().amount;
        }
        for (int tries = 4 * requestsLeft;
                tries > 0 && requestsLeft > 0 && need > 1e-3 * s.limit.max() / sidecarCount;
                tries--) {
            int peerIndex = peers.randomPeer(feature, random);
            if (peerIndex < 0
                    || s.borrowed.containsKey(peerIndex)
                    || hasRecentRequest(s, peerIndex)
                    || s.refusedUntilUs.containsKey(peerIndex)) {
                continue;
            }
            double amount = Math.min(need, equalShare(s));
            requestLease(key, s, peerIndex, amount);
            need -= amount;
            requestsLeft--;
        }
        return requestsLeft;
    }

    private boolean hasRecentRequest(LimitState s, int peerIndex) {
        LeaseRequest request = s.pendingRequests.get(peerIndex);
        return request != null && nowUs - request.sentUs < TICK_INTERVAL_US;
    }

    private void requestLease(long key, LimitState s, int peerIndex, double amount) {
        sequence = sequence + 1 & 0xFFFF;
        s.pendingRequests.put(peerIndex, new LeaseRequest(sequence, amount, nowUs));
        send(peerIndex, LEASE_REQUEST, key, s, sequence, amount);
    }

    private void send(int peerIndex, int type, long key, LimitState s, int number, double amount) {
        ByteBuffer b = ByteBuffer.allocate(SECTION_BYTES);
        Envelope.put48(b, key);
        b.putShort((short) number).putFloat((float) amount).putFloat((float) s.limit.max());
        environment.send(
                peerIndex,
                Envelope.from(selfId, incarnation).addSection(type, b).toBytes(reservedLength));
    }

    /** From the member at this place of the list. */
    public void onMessage(long now, int peerIndex, Envelope.Message message) {
        advance(now);
        for (Envelope.Section section : message.sections()) {
            ByteBuffer b = ByteBuffer.wrap(section.bytes());
            if (section.type() != LEASE_REQUEST && section.type() != LEASE_GRANT || b.remaining() < SECTION_BYTES) {
                continue;
            }
            long key = Envelope.get48(b);
            int number = b.getShort() & 0xFFFF;
            double amount = b.getFloat();
            LimitState s = limits.get(key);
            // Another size is another limit, of before or to come: their parts don't add up.
            if (s == null || !(amount >= 0) || b.getFloat() != (float) s.limit.max()) {
                continue;
            }
            if (section.type() == LEASE_REQUEST) {
                onLeaseRequest(peerIndex, key, s, message.sender(), number, amount);
            } else {
                onLeaseGrant(peerIndex, s, number, amount);
            }
        }
    }

    private void onLeaseRequest(int peerIndex, long key, LimitState s, long borrower, int number, double amount) {
        List<Lease> leases = s.lent.getOrDefault(borrower, List.of());
        for (Lease l : leases) {
            if (l.sequence == number && l.expiresUs > nowUs) {
                // The network has doubled it: it has its answer.
                return;
            }
        }
        double localNeed =
                Math.min(equalShare(s), Math.max(RESERVED_SHARE * equalShare(s), DEMAND_HEADROOM * s.demand));
        double free = baseShare(s) - localNeed - s.totalLent(nowUs, borrower);
        boolean full = leases.isEmpty() && s.lent.size() >= MAX_BORROWERS;
        // As the borrower reads it: a rounding up would be lent twice.
        double lent = full ? 0 : Math.nextDown((float) Math.max(0, Math.min(amount, free)));
        if (lent > 0) {
            s.lent.computeIfAbsent(borrower, b -> new ArrayList<>()).add(new Lease(number, lent, nowUs + LEASE_US));
        }
        send(peerIndex, LEASE_GRANT, key, s, number, Math.max(0, lent));
    }

    private void onLeaseGrant(int peerIndex, LimitState s, int number, double amount) {
        LeaseRequest request = s.pendingRequests.get(peerIndex);
        if (request == null || request.sequence != number || nowUs - request.sentUs >= LEASE_US) {
            return;
        }
        s.pendingRequests.remove(peerIndex);
        if (amount > request.amount * (1 + 1e-6)) {
            return;
        }
        if (amount <= 0) {
            s.refusedUntilUs.put(peerIndex, nowUs + REFUSAL_BACKOFF_US);
            // An earlier lease of theirs runs on to its own end.
            return;
        }
        s.borrowed.put(peerIndex, new Lease(number, amount, request.sentUs + LEASE_US));
    }

    // ---- users ----------------------------------------------------------------------------------------

    /** What the module may use of each limit; told again within half of {@code validUs}. */
    public List<Share> shares(long now, long validUs) {
        advance(now);
        List<Share> shares = new ArrayList<>();
        for (LimitState s : limits.values()) {
            double baseShare = Math.max(0, baseShare(s) - s.totalLent(nowUs, 0));
            double share = baseShare;
            long validUntilUs = nowUs + validUs;
            for (Lease l : s.borrowed.values()) {
                // One that ends before the next telling would take all the others with it.
                if (l.expiresUs > nowUs + TICK_INTERVAL_US) {
                    share += l.amount;
                    validUntilUs = Math.min(validUntilUs, l.expiresUs);
                }
            }
            shares.add(new Share(
                    s.limit.name(),
                    s.limit.scope(),
                    s.limit.subject(),
                    s.limit.inFlight(),
                    share,
                    baseShare,
                    validUntilUs));
        }
        return shares;
    }

    public Collection<LimitStatus> status(long now) {
        advance(now);
        return limits.values().stream()
                .map(s -> new LimitStatus(
                        s.limit,
                        equalShare(s),
                        effectiveShare(s),
                        s.totalLent(nowUs, 0),
                        s.totalBorrowed(nowUs),
                        s.demand))
                .toList();
    }
}

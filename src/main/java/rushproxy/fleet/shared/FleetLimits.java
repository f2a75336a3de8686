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
import rushproxy.Balancer.LimitScope;
import rushproxy.Balancer.LimitShare;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Environment;
import rushproxy.fleet.PeerDirectory;

/**
 * Fleet-wide limits by leased shares, like Doorman's leases but without a server that grants them. Each sidecar owns an equal
 * share, the limit divided by the configured number of sidecars, and may lend part of it on request; it does not use a lent part
 * until the lease has expired. Performs no I/O. Not thread-safe.
 *
 * <p>The sum never exceeds the limit: a lease lasts equally long for both sides, but the borrower counts from when it
 * <em>sent</em> its request and the lender from when it <em>received</em> it. So the borrower's lease expires first, whatever is
 * lost, delayed or duplicated, and no clocks are compared. A restarted lender has lost its leases and uses only the part that it
 * never lends ({@link #RESERVED_SHARE}) until they have expired. So at every time all shares together are at most the limit, in
 * normal operation, in a partition and after a mass restart. During a handover between two processes of one name both have a
 * share, so the excess is at most one share per sidecar that is being replaced.
 *
 * <p>The cost: the shares of dead sidecars are unused, as one that seems dead may still serve in another partition, and shares
 * follow a moving demand only within the lease time.
 *
 * <p>Two alternatives were rejected: a coordinator for each limit, elected or chosen by rank, whose load grows with the fleet and
 * whose death affects all; and a table of all demands, which exceeds the bounds of {@link ReplicatedStore}.
 */
public final class FleetLimits {
    public static final long LEASE_US = 2_000_000;
    /** Maximum interval between calls of {@link #onTick}. */
    public static final long TICK_INTERVAL_US = 250_000;
    /** Fraction of the own share that is never lent, so that some requests can be served at once after a pause. */
    public static final double RESERVED_SHARE = 0.2;
    /** Shares are requested for this multiple of the demand. */
    private static final double DEMAND_HEADROOM = 1.05;

    private static final double DEMAND_SMOOTHING = 0.35;
    /** Lease requests at a tick, for all limits together. */
    private static final int MAX_REQUESTS_PER_TICK = 6;
    /** Leases are renewed with this much left, so that two requests may be lost. */
    private static final long RENEW_BEFORE_US = 1_300_000;
    /** A lender that had nothing to lend gets no request for this long. */
    private static final long REFUSAL_BACKOFF_US = 1_000_000;
    /** Borrowers of one lender: more than a fleet has processes, but a bound on what forged requests can occupy. */
    private static final int MAX_BORROWERS = 4_096;

    private static final int LEASE_REQUEST = 30;
    private static final int LEASE_GRANT = 31;
    private static final int SECTION_BYTES = 16;

    /** A limit on requests per second or in flight, for one class, one tenant or all requests. */
    public record Limit(String name, LimitScope scope, String subject, boolean inFlight, double max) {
        private static final int HEADER_BYTES = 7;

        /** Encodes the limit for the store; throws if the names are too long. */
        byte[] encode() {
            byte[] subjectBytes = subject.getBytes(StandardCharsets.UTF_8);
            byte[] nameBytes = name.getBytes(StandardCharsets.UTF_8);
            if (HEADER_BYTES + subjectBytes.length + nameBytes.length > Table.LIMITS.maxValueBytes()) {
                throw new IllegalArgumentException(
                        "'" + name + "' and '" + subject + "' are " + (subjectBytes.length + nameBytes.length)
                                + " bytes, " + (Table.LIMITS.maxValueBytes() - HEADER_BYTES) + " at most");
            }
            return ByteBuffer.allocate(HEADER_BYTES + subjectBytes.length + nameBytes.length)
                    .put((byte) scope.ordinal())
                    .put((byte) (inFlight ? 1 : 0))
                    .putFloat((float) max)
                    .put((byte) subjectBytes.length)
                    .put(subjectBytes)
                    .put(nameBytes)
                    .array();
        }

        /** Null if the bytes don't encode a limit. */
        static Limit decode(byte[] bytes) {
            ByteBuffer b = ByteBuffer.wrap(bytes);
            if (bytes.length <= HEADER_BYTES || bytes[0] < 0 || bytes[0] >= LimitScope.values().length) {
                return null;
            }
            LimitScope scope = LimitScope.values()[b.get()];
            boolean inFlight = b.get() == 1;
            double max = b.getFloat();
            int subjectLength = b.get() & 255;
            if (!(max >= 0 && max < 1e9) || subjectLength >= b.remaining()) {
                return null;
            }
            byte[] subjectBytes = new byte[subjectLength];
            b.get(subjectBytes);
            byte[] nameBytes = new byte[b.remaining()];
            b.get(nameBytes);
            return new Limit(
                    new String(nameBytes, StandardCharsets.UTF_8),
                    scope,
                    new String(subjectBytes, StandardCharsets.UTF_8),
                    inFlight,
                    max);
        }
    }

    /** Returns the limit; throws if its names are too long for the store. */
    public static Limit validated(Limit limit) {
        limit.encode();
        return limit;
    }

    /** State of one limit at this sidecar, for operators. */
    public record LimitStatus(
            Limit limit, double equalShare, double share, double lent, double borrowed, double demand) {}

    /** A lease that was lent or borrowed. Of several leases between two members only the largest unexpired one counts. */
    private record Lease(int sequence, double amount, long expiresUs) {}

    private static final class LimitState {
        private Limit limit;
        private double demand;
        private long freshUs;
        /** By the borrower's id. */
        private final Map<Long, List<Lease>> lent = new LinkedHashMap<>();
        /** By the lender's peer index, the latest grant of each. */
        private final Map<Integer, Lease> borrowed = new LinkedHashMap<>();
        /** Unanswered requests, by the lender's peer index. */
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
     * @param sidecarCount     configured number of sidecars; each has an equal share without any message
     * @param configuredLimits limits of the configuration; an operator's limit of the same name takes precedence
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

    /** Sets a fleet-wide limit on behalf of an operator. Throws if its names are too long. */
    public void setLimit(long now, Limit limit) {
        advance(now);
        store.put(nowUs, Table.LIMITS, Envelope.idOf(limit.name()), limit.encode());
        refreshDefinitions();
    }

    /** Removes an operator's limit; false if none of the name was set. Configured limits stay in force. */
    public boolean removeLimit(long now, String name) {
        advance(now);
        boolean known = store.read(nowUs, Table.LIMITS, Envelope.idOf(name), 0) != null;
        store.remove(nowUs, Table.LIMITS, Envelope.idOf(name));
        refreshDefinitions();
        return known;
    }

    private void refreshDefinitions() {
        Map<Long, Limit> definitions = new LinkedHashMap<>();
        configuredLimits.forEach(limit -> definitions.put(Envelope.idOf(limit.name()), limit));
        for (StoredEntry entry : store.readAll(nowUs, Table.LIMITS)) {
            Limit limit = Limit.decode(entry.value());
            if (limit != null) {
                definitions.put(entry.key(), limit);
            }
        }
        limits.keySet().retainAll(definitions.keySet());
        definitions.forEach((key, limit) -> {
            LimitState state = limits.get(key);
            if (state == null || state.limit.inFlight() != limit.inFlight()) {
                state = new LimitState();
                limits.put(key, state);
            }
            if (state.limit == null || !state.limit.equals(limit)) {
                if (state.limit != null) {
                    // Leases are shares of the old limit and don't count for the new one, here or at other members.
                    state.borrowed.clear();
                    state.pendingRequests.clear();
                }
                environment.logEvent("limit " + limit.name() + ": " + limit.max()
                        + (limit.inFlight() ? " in flight" : " a second") + " for "
                        + limit.scope().name().toLowerCase(java.util.Locale.ROOT) + " " + limit.subject());
            }
            state.limit = limit;
        });
    }

    private void advance(long now) {
        nowUs = Math.max(nowUs, now);
    }

    /** Records the local demand on a limit, in requests per second or in flight, including rejected ones. */
    public void recordDemand(long now, String name, double demand) {
        advance(now);
        LimitState state = limits.get(Envelope.idOf(name));
        if (state != null) {
            state.demand += DEMAND_SMOOTHING * (demand - state.demand);
        }
    }

    /** Drops expired leases, and renews or requests leases as the demand requires. */
    public void onTick(long now, long incarnation) {
        advance(now);
        this.incarnation = incarnation;
        refreshDefinitions();
        int requestsLeft = MAX_REQUESTS_PER_TICK;
        for (Map.Entry<Long, LimitState> e : limits.entrySet()) {
            LimitState state = e.getValue();
            state.lent.values().forEach(leases -> leases.removeIf(lease -> lease.expiresUs <= nowUs));
            state.lent.values().removeIf(List::isEmpty);
            state.borrowed.values().removeIf(leases -> leases.expiresUs <= nowUs);
            state.pendingRequests.values().removeIf(a -> a.sentUs + LEASE_US <= nowUs);
            state.refusedUntilUs.values().removeIf(until -> until <= nowUs);
            requestsLeft = requestLeases(e.getKey(), state, requestsLeft);
        }
    }

    private double equalShare(LimitState state) {
        return state.limit.max() / sidecarCount;
    }

    /** The own share; after a start only its reserved part, as leases granted by an earlier process may still be in use. */
    private double baseShare(LimitState state) {
        return nowUs - startUs < LEASE_US ? RESERVED_SHARE * equalShare(state) : equalShare(state);
    }

    private double effectiveShare(LimitState state) {
        return Math.max(0, baseShare(state) - state.totalLent(nowUs, 0)) + state.totalBorrowed(nowUs);
    }

    private int requestLeases(long key, LimitState state, int maxRequests) {
        double target = DEMAND_HEADROOM * state.demand;
        double need = target - Math.max(0, baseShare(state) - state.totalLent(nowUs, 0));
        int requestsLeft = maxRequests;
        // Renewals first, for the part that is still needed.
        for (Map.Entry<Integer, Lease> e : List.copyOf(state.borrowed.entrySet())) {
            Lease lease = e.getValue();
            if (need <= 0 || requestsLeft == 0) {
                break;
            }
            if (lease.expiresUs - nowUs < RENEW_BEFORE_US && !hasRecentRequest(state, e.getKey())) {
                requestLease(key, state, e.getKey(), Math.min(need, equalShare(state)));
                requestsLeft--;
            }
            need -= lease.amount;
        }
        for (Map.Entry<Integer, LeaseRequest> request : state.pendingRequests.entrySet()) {
            need -= state.borrowed.containsKey(request.getKey()) || nowUs - request.getValue().sentUs > TICK_INTERVAL_US
                    ? 0
                    : request.getValue().amount;
        }
        for (int tries = 4 * requestsLeft;
                tries > 0 && requestsLeft > 0 && need > 1e-3 * state.limit.max() / sidecarCount;
                tries--) {
            int peerIndex = peers.randomPeer(feature, random);
            if (peerIndex < 0
                    || state.borrowed.containsKey(peerIndex)
                    || hasRecentRequest(state, peerIndex)
                    || state.refusedUntilUs.containsKey(peerIndex)) {
                continue;
            }
            double amount = Math.min(need, equalShare(state));
            requestLease(key, state, peerIndex, amount);
            need -= amount;
            requestsLeft--;
        }
        return requestsLeft;
    }

    private boolean hasRecentRequest(LimitState state, int peerIndex) {
        LeaseRequest request = state.pendingRequests.get(peerIndex);
        return request != null && nowUs - request.sentUs < TICK_INTERVAL_US;
    }

    private void requestLease(long key, LimitState state, int peerIndex, double amount) {
        sequence = sequence + 1 & 0xFFFF;
        state.pendingRequests.put(peerIndex, new LeaseRequest(sequence, amount, nowUs));
        send(peerIndex, LEASE_REQUEST, key, state, sequence, amount);
    }

    private void send(int peerIndex, int type, long key, LimitState state, int sequence, double amount) {
        ByteBuffer b = ByteBuffer.allocate(SECTION_BYTES);
        Envelope.put48(b, key);
        b.putShort((short) sequence).putFloat((float) amount).putFloat((float) state.limit.max());
        environment.send(
                peerIndex,
                Envelope.from(selfId, incarnation).addSection(type, b).toBytes(reservedLength));
    }

    /** Handles a message of the member at this peer index. */
    public void onMessage(long now, int peerIndex, Envelope.Message message) {
        advance(now);
        for (Envelope.Section section : message.sections()) {
            ByteBuffer b = ByteBuffer.wrap(section.bytes());
            if (section.type() != LEASE_REQUEST && section.type() != LEASE_GRANT || b.remaining() < SECTION_BYTES) {
                continue;
            }
            long key = Envelope.get48(b);
            int sequence = b.getShort() & 0xFFFF;
            double amount = b.getFloat();
            LimitState state = limits.get(key);
            // A different maximum is an earlier or later definition of the limit, whose shares don't add up with these.
            if (state == null || !(amount >= 0) || b.getFloat() != (float) state.limit.max()) {
                continue;
            }
            if (section.type() == LEASE_REQUEST) {
                onLeaseRequest(peerIndex, key, state, message.sender(), sequence, amount);
            } else {
                onLeaseGrant(peerIndex, state, sequence, amount);
            }
        }
    }

    private void onLeaseRequest(int peerIndex, long key, LimitState state, long borrower, int sequence, double amount) {
        List<Lease> leases = state.lent.getOrDefault(borrower, List.of());
        for (Lease lease : leases) {
            if (lease.sequence == sequence && lease.expiresUs > nowUs) {
                // A duplicated datagram; the request has been answered.
                return;
            }
        }
        double localNeed = Math.min(
                equalShare(state), Math.max(RESERVED_SHARE * equalShare(state), DEMAND_HEADROOM * state.demand));
        double free = baseShare(state) - localNeed - state.totalLent(nowUs, borrower);
        boolean full = leases.isEmpty() && state.lent.size() >= MAX_BORROWERS;
        // Rounded down to a float, as the borrower receives it: rounding up would exceed the limit.
        double lent = full ? 0 : Math.nextDown((float) Math.max(0, Math.min(amount, free)));
        if (lent > 0) {
            state.lent
                    .computeIfAbsent(borrower, b -> new ArrayList<>())
                    .add(new Lease(sequence, lent, nowUs + LEASE_US));
        }
        send(peerIndex, LEASE_GRANT, key, state, sequence, Math.max(0, lent));
    }

    private void onLeaseGrant(int peerIndex, LimitState state, int sequence, double amount) {
        LeaseRequest request = state.pendingRequests.get(peerIndex);
        if (request == null || request.sequence != sequence || nowUs - request.sentUs >= LEASE_US) {
            return;
        }
        state.pendingRequests.remove(peerIndex);
        if (amount > request.amount * (1 + 1e-6)) {
            return;
        }
        if (amount <= 0) {
            state.refusedUntilUs.put(peerIndex, nowUs + REFUSAL_BACKOFF_US);
            // An earlier lease from this lender remains valid until it expires.
            return;
        }
        state.borrowed.put(peerIndex, new Lease(sequence, amount, request.sentUs + LEASE_US));
    }

    // ---- queries --------------------------------------------------------------------------------------

    /** The share of each limit that this sidecar may use. The caller refreshes it within half of {@code validUs}. */
    public List<LimitShare> shares(long now, long validUs) {
        advance(now);
        List<LimitShare> shares = new ArrayList<>();
        for (LimitState state : limits.values()) {
            double ownShare = Math.max(0, baseShare(state) - state.totalLent(nowUs, 0));
            double share = ownShare;
            long validUntilUs = nowUs + validUs;
            for (Lease lease : state.borrowed.values()) {
                // A lease that expires before the next refresh would end the validity of all others.
                if (lease.expiresUs > nowUs + TICK_INTERVAL_US) {
                    share += lease.amount;
                    validUntilUs = Math.min(validUntilUs, lease.expiresUs);
                }
            }
            shares.add(new LimitShare(
                    state.limit.name(),
                    state.limit.scope(),
                    state.limit.subject(),
                    state.limit.inFlight(),
                    share,
                    ownShare,
                    validUntilUs));
        }
        return shares;
    }

    public Collection<LimitStatus> status(long now) {
        advance(now);
        return limits.values().stream()
                .map(state -> new LimitStatus(
                        state.limit,
                        equalShare(state),
                        effectiveShare(state),
                        state.totalLent(nowUs, 0),
                        state.totalBorrowed(nowUs),
                        state.demand))
                .toList();
    }
}

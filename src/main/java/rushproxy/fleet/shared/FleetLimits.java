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
    private static final double SPARE = 1.05;

    private static final double DEMAND_GAIN = 0.35;
    /** Asks at a tick, of all limits together. */
    private static final int ASKS = 6;
    /** Renewed with this much left: two asks may be lost. */
    private static final long RENEW_US = 1_300_000;
    /** Who had nothing to lend is not asked for so long. */
    private static final long NOTHING_US = 1_000_000;
    /** Borrowers of one lender, more than a fleet has processes: a bound on what liars can fill. */
    private static final int MOST_LEASES = 4_096;

    private static final int ASK = 30;
    private static final int LEND = 31;
    private static final int BYTES = 16;

    /** {@code max} a second, or in flight. */
    public record Limit(String name, Scope scope, String subject, boolean inFlight, double max) {
        private static final int HEAD = 7;

        /** As the store has it; throws where the names are too long. */
        byte[] encode() {
            byte[] o = subject.getBytes(StandardCharsets.UTF_8);
            byte[] n = name.getBytes(StandardCharsets.UTF_8);
            if (HEAD + o.length + n.length > Table.LIMITS.maxValueBytes()) {
                throw new IllegalArgumentException("'" + name + "' and '" + subject + "' are " + (o.length + n.length)
                        + " bytes, " + (Table.LIMITS.maxValueBytes() - HEAD) + " at most");
            }
            return ByteBuffer.allocate(HEAD + o.length + n.length)
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
            if (bytes.length <= HEAD || bytes[0] < 0 || bytes[0] >= Scope.values().length) {
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
    private record Lease(int sequence, double amount, long untilUs) {}

    private static final class State {
        private Limit limit;
        private double demand;
        private long freshUs;
        /** By borrower's id. */
        private final Map<Long, List<Lease>> lent = new LinkedHashMap<>();
        /** By lender's place, the latest answer of each. */
        private final Map<Integer, Lease> borrowed = new LinkedHashMap<>();
        /** Asked and not answered yet, by place. */
        private final Map<Integer, Asked> asked = new HashMap<>();

        private final Map<Integer, Long> nothingUntilUs = new HashMap<>();

        double lent(long nowUs, long but) {
            double sum = 0;
            for (Map.Entry<Long, List<Lease>> e : lent.entrySet()) {
                sum += e.getKey() == but ? 0 : most(e.getValue(), nowUs);
            }
            return sum;
        }

        private static double most(List<Lease> leases, long nowUs) {
            return leases.stream()
                    .filter(l -> l.untilUs > nowUs)
                    .mapToDouble(Lease::amount)
                    .max()
                    .orElse(0);
        }

        double borrowed(long nowUs) {
            return borrowed.values().stream()
                    .filter(l -> l.untilUs > nowUs)
                    .mapToDouble(Lease::amount)
                    .sum();
        }
    }

    private record Asked(int sequence, double amount, long atUs) {}

    private final long me;
    private final int configured;
    private final int part;
    private final int taken;
    private final ReplicatedStore store;
    private final PeerDirectory group;
    private final Environment host;
    private final SplittableRandom random;
    private final List<Limit> own;
    private final Map<Long, State> limits = new LinkedHashMap<>();
    private final long startUs;
    private long incarnation;
    private long nowUs;
    private int sequence;

    /**
     * @param configured number of sidecars in the configuration: the part of each without a word
     * @param own        the configuration's limits; one of the same name that operators set later goes before
     */
    public FleetLimits(
            long me,
            int configured,
            int part,
            int taken,
            ReplicatedStore store,
            List<Limit> own,
            long nowUs,
            long seed,
            PeerDirectory group,
            Environment host) {
        this.me = me;
        this.configured = Math.max(1, configured);
        this.part = part;
        this.taken = taken;
        this.store = store;
        this.own = List.copyOf(own);
        this.group = group;
        this.host = host;
        this.nowUs = startUs = nowUs;
        random = new SplittableRandom(seed);
        define();
    }

    /** Operators set a limit for the fleet, from here. Throws where its names are too long. */
    public void setLimit(long now, Limit limit) {
        advance(now);
        store.put(nowUs, Table.LIMITS, Envelope.idOf(limit.name()), limit.encode());
        define();
    }

    /** False where no limit of the name was set by a call; the configuration's own hold on. */
    public boolean removeLimit(long now, String name) {
        advance(now);
        boolean known = store.read(nowUs, Table.LIMITS, Envelope.idOf(name), 0) != null;
        store.remove(nowUs, Table.LIMITS, Envelope.idOf(name));
        define();
        return known;
    }

    private void define() {
        Map<Long, Limit> now = new LinkedHashMap<>();
        own.forEach(l -> now.put(Envelope.idOf(l.name()), l));
        for (StoredEntry r : store.readAll(nowUs, Table.LIMITS)) {
            Limit l = Limit.decode(r.value());
            if (l != null) {
                now.put(r.key(), l);
            }
        }
        limits.keySet().retainAll(now.keySet());
        now.forEach((key, limit) -> {
            State s = limits.get(key);
            if (s == null || s.limit.inFlight() != limit.inFlight()) {
                s = new State();
                limits.put(key, s);
            }
            if (s.limit == null || !s.limit.equals(limit)) {
                if (s.limit != null) {
                    // Leases are parts of the old limit: none counts for the new one, here or at others.
                    s.borrowed.clear();
                    s.asked.clear();
                }
                host.logEvent("limit " + limit.name() + ": " + limit.max()
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
        State s = limits.get(Envelope.idOf(name));
        if (s != null) {
            s.demand += DEMAND_GAIN * (demand - s.demand);
        }
    }

    /** Renews and asks for more, where the demand wants it. */
    public void onTick(long now, long incarnation) {
        advance(now);
        this.incarnation = incarnation;
        define();
        int asks = ASKS;
        for (Map.Entry<Long, State> e : limits.entrySet()) {
            State s = e.getValue();
            s.lent.values().forEach(l -> l.removeIf(lease -> lease.untilUs <= nowUs));
            s.lent.values().removeIf(List::isEmpty);
            s.borrowed.values().removeIf(l -> l.untilUs <= nowUs);
            s.asked.values().removeIf(a -> a.atUs + LEASE_US <= nowUs);
            s.nothingUntilUs.values().removeIf(until -> until <= nowUs);
            asks = borrow(e.getKey(), s, asks);
        }
    }

    private double alone(State s) {
        return s.limit.max() / configured;
    }

    /** What the own part is at least while those whom a process before lent to may use it still. */
    private double byRight(State s) {
        return nowUs - startUs < LEASE_US ? RESERVED_SHARE * alone(s) : alone(s);
    }

    private double share(State s) {
        return Math.max(0, byRight(s) - s.lent(nowUs, 0)) + s.borrowed(nowUs);
    }

    private int borrow(long key, State s, int asks) {
        double wanted = SPARE * s.demand;
        double need = wanted - Math.max(0, byRight(s) - s.lent(nowUs, 0));
        int left = asks;
        // First those who have lent: the part that is wanted still.
        for (Map.Entry<Integer, Lease> e : List.copyOf(s.borrowed.entrySet())) {
            Lease l = e.getValue();
            if (need <= 0 || left == 0) {
                break;
            }
            if (l.untilUs - nowUs < RENEW_US && !justAsked(s, e.getKey())) {
                ask(key, s, e.getKey(), Math.min(need, alone(s)));
                left--;
            }
            need -= l.amount;
        }
        for (Map.Entry<Integer, Asked> a : s.asked.entrySet()) {
            need -= s.borrowed.containsKey(a.getKey()) || nowUs - a.getValue().atUs > TICK_INTERVAL_US
                    ? 0
                    : a.getValue().amount;
        }
        for (int tries = 4 * left; tries > 0 && left > 0 && need > 1e-3 * s.limit.max() / configured; tries--) {
            int place = group.randomPeer(part, random);
            if (place < 0
                    || s.borrowed.containsKey(place)
                    || justAsked(s, place)
                    || s.nothingUntilUs.containsKey(place)) {
                continue;
            }
            double amount = Math.min(need, alone(s));
            ask(key, s, place, amount);
            need -= amount;
            left--;
        }
        return left;
    }

    private boolean justAsked(State s, int place) {
        Asked a = s.asked.get(place);
        return a != null && nowUs - a.atUs < TICK_INTERVAL_US;
    }

    private void ask(long key, State s, int place, double amount) {
        sequence = sequence + 1 & 0xFFFF;
        s.asked.put(place, new Asked(sequence, amount, nowUs));
        send(place, ASK, key, s, sequence, amount);
    }

    private void send(int place, int type, long key, State s, int number, double amount) {
        ByteBuffer b = ByteBuffer.allocate(BYTES);
        Envelope.put48(b, key);
        b.putShort((short) number).putFloat((float) amount).putFloat((float) s.limit.max());
        host.send(place, Envelope.from(me, incarnation).addSection(type, b).toBytes(taken));
    }

    /** From the member at this place of the list. */
    public void onMessage(long now, int from, Envelope.Message letter) {
        advance(now);
        for (Envelope.Section section : letter.sections()) {
            ByteBuffer b = ByteBuffer.wrap(section.bytes());
            if (section.type() != ASK && section.type() != LEND || b.remaining() < BYTES) {
                continue;
            }
            long key = Envelope.get48(b);
            int number = b.getShort() & 0xFFFF;
            double amount = b.getFloat();
            State s = limits.get(key);
            // Another size is another limit, of before or to come: their parts don't add up.
            if (s == null || !(amount >= 0) || b.getFloat() != (float) s.limit.max()) {
                continue;
            }
            if (section.type() == ASK) {
                asked(from, key, s, letter.sender(), number, amount);
            } else {
                lent(from, s, number, amount);
            }
        }
    }

    private void asked(int from, long key, State s, long borrower, int number, double amount) {
        List<Lease> leases = s.lent.getOrDefault(borrower, List.of());
        for (Lease l : leases) {
            if (l.sequence == number && l.untilUs > nowUs) {
                // The network has doubled it: it has its answer.
                return;
            }
        }
        double ownNeed = Math.min(alone(s), Math.max(RESERVED_SHARE * alone(s), SPARE * s.demand));
        double free = byRight(s) - ownNeed - s.lent(nowUs, borrower);
        boolean full = leases.isEmpty() && s.lent.size() >= MOST_LEASES;
        // As the borrower reads it: a rounding up would be lent twice.
        double lent = full ? 0 : Math.nextDown((float) Math.max(0, Math.min(amount, free)));
        if (lent > 0) {
            s.lent.computeIfAbsent(borrower, b -> new ArrayList<>()).add(new Lease(number, lent, nowUs + LEASE_US));
        }
        send(from, LEND, key, s, number, Math.max(0, lent));
    }

    private void lent(int from, State s, int number, double amount) {
        Asked a = s.asked.get(from);
        if (a == null || a.sequence != number || nowUs - a.atUs >= LEASE_US) {
            return;
        }
        s.asked.remove(from);
        if (amount > a.amount * (1 + 1e-6)) {
            return;
        }
        if (amount <= 0) {
            s.nothingUntilUs.put(from, nowUs + NOTHING_US);
            // An earlier lease of theirs runs on to its own end.
            return;
        }
        s.borrowed.put(from, new Lease(number, amount, a.atUs + LEASE_US));
    }

    // ---- users ----------------------------------------------------------------------------------------

    /** What the module may use of each limit; told again within half of {@code validUs}. */
    public List<Share> shares(long now, long validUs) {
        advance(now);
        List<Share> shares = new ArrayList<>();
        for (State s : limits.values()) {
            double alone = Math.max(0, byRight(s) - s.lent(nowUs, 0));
            double share = alone;
            long until = nowUs + validUs;
            for (Lease l : s.borrowed.values()) {
                // One that ends before the next telling would take all the others with it.
                if (l.untilUs > nowUs + TICK_INTERVAL_US) {
                    share += l.amount;
                    until = Math.min(until, l.untilUs);
                }
            }
            shares.add(new Share(
                    s.limit.name(), s.limit.scope(), s.limit.subject(), s.limit.inFlight(), share, alone, until));
        }
        return shares;
    }

    public Collection<LimitStatus> status(long now) {
        advance(now);
        return limits.values().stream()
                .map(s -> new LimitStatus(s.limit, alone(s), share(s), s.lent(nowUs, 0), s.borrowed(nowUs), s.demand))
                .toList();
    }
}

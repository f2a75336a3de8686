package rushproxy.lab.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Environment;
import rushproxy.fleet.PeerDirectory;
import rushproxy.fleet.shared.FleetLimits;
import rushproxy.fleet.shared.ReplicatedStore;
import rushproxy.fleet.shared.Table;
import rushproxy.fleet.shared.Verdicts;

/**
 * What a fleet shares on a simulated network, all draws from one seed: the very classes that the sidecar hosts, with virtual time.
 * Who is here is known as a membership knows it, {@link #SEEN_US} late: the membership itself is simulated apart ({@link
 * MemberSim}), so that ten thousand fit. One thread.
 */
public final class SharedSim {
    /** Deaths and cuts are noticed after this. */
    public static final long SEEN_US = 3_000_000;

    private static final int PART = 2;

    /** One process of a host. */
    public final class Node implements Environment, PeerDirectory {
        public final int number;
        public final long id;
        private boolean up;
        private long changedUs = Long.MIN_VALUE / 2;
        private long incarnation;
        private int process;
        private long skewUs;
        private ReplicatedStore store;
        private Verdicts verdicts;
        private FleetLimits limits;
        private List<Verdicts.Assessment> cases = List.of();
        /** Bytes that it has sent, headers with them. */
        public long bytes;

        public final List<String> notes = new ArrayList<>();

        private Node(int number) {
            this.number = number;
            id = Envelope.idOf("n" + number);
        }

        public ReplicatedStore store() {
            return store;
        }

        public Verdicts verdicts() {
            return verdicts;
        }

        public FleetLimits limits() {
            return limits;
        }

        /** What it said of servers at its last look. */
        public List<Verdicts.Assessment> cases() {
            return cases;
        }

        public boolean up() {
            return up;
        }

        /** Its own clock. */
        public long clock() {
            return time.now() + skewUs;
        }

        @Override
        public void send(int peer, byte[] datagram) {
            bytes += datagram.length + MemberSim.HEADERS;
            pass(this, nodes.get(peer), datagram);
        }

        @Override
        public void logEvent(String event) {
            notes.add(time.us() / 1_000 + " ms " + event);
        }

        @Override
        public int size() {
            return Math.max(1, upCount);
        }

        @Override
        public int randomPeer(int part, SplittableRandom by) {
            for (int tries = 0; tries < 16; tries++) {
                int place = by.nextInt(nodes.size());
                if (place != number && sees(nodes.get(place))) {
                    return place;
                }
            }
            return -1;
        }

        private boolean sees(Node other) {
            boolean gone = !other.up && time.now() - other.changedUs > SEEN_US;
            boolean away = time.now() - cutUs > SEEN_US
                    && (cut.between(number, other.number) || cut.between(other.number, number));
            return !gone && !away;
        }

        @Override
        public boolean isLive(long member) {
            Node other = byId.get(member);
            return other != null && sees(other);
        }

        @Override
        public String nameOf(long member) {
            Node other = byId.get(member);
            return other == null ? Long.toHexString(member) : "n" + other.number;
        }

        private void tick(int of, long n) {
            if (!up || of != process) {
                return;
            }
            store.onTick(clock(), incarnation);
            if (n % (FleetLimits.TICK_INTERVAL_US / ReplicatedStore.TICK_INTERVAL_US) == 0) {
                limits.onTick(clock(), incarnation);
            }
            if (n % 10 == 0) {
                cases = verdicts.evaluate(clock());
            }
            time.later(ReplicatedStore.TICK_INTERVAL_US, () -> tick(of, n + 1));
        }
    }

    /** Whether a datagram from the one to the other is lost for sure; by their numbers. */
    public interface Cut {
        boolean between(int from, int to);
    }

    private final UniformRandomProvider random;
    private final VirtualTime time = new VirtualTime();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Long, Node> byId = new HashMap<>();
    private final double loss;
    private final double twice;
    private final long mostDelayUs;
    private final int zones;
    private Map<String, Integer> servers = Map.of();
    private List<FleetLimits.Limit> limits = List.of();
    private List<Table> tables = List.of(Table.VERDICTS, Table.LIMITS, Table.COUNTS);
    private Cut cut = (from, to) -> false;
    private long cutUs;
    private int upCount;

    /** {@code n} hosts in {@code zones} zones in turn; none runs yet. Datagrams take 0.3 ms to {@code mostDelayUs}. */
    public SharedSim(long seed, int n, int zones, double loss, double twice, long mostDelayUs) {
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.loss = loss;
        this.twice = twice;
        this.mostDelayUs = mostDelayUs;
        this.zones = zones;
        for (int i = 0; i < n; i++) {
            Node node = new Node(i);
            nodes.add(node);
            byId.put(node.id, node);
        }
    }

    /** Of processes that start from now on; servers by their zones. */
    public SharedSim servers(Map<String, Integer> zoneOf) {
        servers = Map.copyOf(zoneOf);
        return this;
    }

    public SharedSim limits(FleetLimits.Limit... limits) {
        this.limits = Arrays.asList(limits);
        return this;
    }

    public SharedSim tables(Table... tables) {
        this.tables = Arrays.asList(tables);
        return this;
    }

    public void cut(Cut now) {
        cut = now;
        cutUs = time.now();
    }

    public List<Node> nodes() {
        return nodes;
    }

    public Node node(int i) {
        return nodes.get(i);
    }

    public long us() {
        return time.us();
    }

    public void later(long us, Runnable run) {
        time.later(us, run);
    }

    public void each(LongConsumer each) {
        time.each(each);
    }

    public void until(long us) {
        time.until(us);
    }

    /** A process of the host begins, with nothing from the one before. */
    public void start(Node n) {
        upCount += n.up ? 0 : 1;
        n.up = true;
        n.changedUs = time.now();
        n.incarnation = n.clock() / 1_000;
        int of = ++n.process;
        n.store = new ReplicatedStore(n.id, PART, -1, tables, n.clock(), random.nextLong(), n, n);
        n.verdicts = new Verdicts(n.store, n.id, n.number % zones, n, n);
        n.verdicts.setServers(servers);
        n.limits = new FleetLimits(n.id, nodes.size(), PART, -1, n.store, limits, n.clock(), random.nextLong(), n, n);
        time.later(random.nextLong(ReplicatedStore.TICK_INTERVAL_US), () -> n.tick(of, 0));
    }

    public void startAll() {
        nodes.forEach(this::start);
    }

    public void kill(Node n) {
        upCount -= n.up ? 1 : 0;
        n.up = false;
        n.changedUs = time.now();
    }

    /** Its clock jumps. */
    public void jump(Node n, long us) {
        n.skewUs += us;
    }

    private void pass(Node from, Node to, byte[] datagram) {
        int copies = random.nextDouble() < loss || cut.between(from.number, to.number)
                ? 0
                : random.nextDouble() < twice ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            time.later(300 + random.nextLong(Math.max(1, mostDelayUs - 300)), () -> deliver(from, to, datagram));
        }
    }

    /** A datagram as from another host, for what nobody would send. */
    public void deliver(Node from, Node to, byte[] datagram) {
        Envelope.Message letter = to.up ? Envelope.parse(datagram) : null;
        if (letter != null && letter.sender() == from.id) {
            to.store.onMessage(to.clock(), from.number, letter);
            to.limits.onMessage(to.clock(), from.number, letter);
        }
    }

    /** Whether all who run hold the same, without what processes that are gone have written. */
    public boolean agree() {
        return nodes.stream()
                        .filter(n -> n.up)
                        .mapToLong(this::fingerprint)
                        .distinct()
                        .count()
                <= 1;
    }

    public long fingerprint(Node of) {
        return of.store.fingerprint(
                of.clock(), id -> byId.containsKey(id) && byId.get(id).up ? byId.get(id).incarnation : Long.MAX_VALUE);
    }
}

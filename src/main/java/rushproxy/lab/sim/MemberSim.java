package rushproxy.lab.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.LongConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import rushproxy.fleet.Environment;
import rushproxy.fleet.member.Member;
import rushproxy.fleet.member.Membership;

/**
 * Members of a fleet on a simulated network, all draws from one seed: the very class that the sidecar hosts, with virtual
 * time. Delays, loss, duplicates, cuts one way or both, stalls (a host that neither reads nor ticks, and then reads all that
 * lay there), crashes and restarts. One thread.
 */
public final class MemberSim {
    /** A socket's buffer: what comes to a stalled host beyond it is lost. */
    private static final int LYING = 2_000;
    /** A datagram's way through the kernel and the network in bytes: IP's and UDP's headers. */
    public static final int HEADERS = 28;

    /** One process of a host. */
    public final class Node implements Environment {
        public final int number;
        public final String name;
        private final int[] peers;
        private Membership membership;
        private int process;
        private boolean up;
        private long stalledUntilUs;
        private long skewUs;
        private long startedUs;
        private final List<Runnable> lying = new ArrayList<>();
        /** Bytes that it has sent, headers with them, and the datagrams. */
        public long bytes;

        public long datagrams;
        public final List<String> notes = new ArrayList<>();

        private Node(int number, String name, int[] peers) {
            this.number = number;
            this.name = name;
            this.peers = peers;
        }

        public Membership membership() {
            return membership;
        }

        public boolean up() {
            return up;
        }

        @Override
        public void send(int peer, byte[] datagram) {
            bytes += datagram.length + HEADERS;
            datagrams++;
            if (peer >= 0 && peer < peers.length) {
                pass(this, nodes.get(peers[peer]), datagram);
            }
        }

        @Override
        public void logEvent(String event) {
            notes.add(us() / 1_000 + " ms " + event);
        }

        private void tick(int of) {
            if (!up || process != of) {
                return;
            }
            run(() -> meter.tick(() -> membership.onTick(clock())));
            at(time.now() + Membership.TICK_INTERVAL_US, () -> tick(of));
        }

        private long clock() {
            return time.now() + skewUs;
        }

        private void run(Runnable work) {
            if (time.now() >= stalledUntilUs) {
                work.run();
            } else if (lying.size() < LYING) {
                lying.add(work);
            }
        }

        /** The place at which this node knows the other, -1 where it does not. */
        private int placeOf(Node other) {
            if (other.number < peers.length && peers[other.number] == other.number) {
                return other.number;
            }
            for (int i = 0; i < peers.length; i++) {
                if (peers[i] == other.number) {
                    return i;
                }
            }
            return -1;
        }
    }

    /** Runs each member's work, and may measure it. */
    public interface Meter {
        void tick(Runnable work);

        void datagram(Runnable work);
    }

    /** Whether a datagram from the one to the other is lost for sure. */
    public interface Cut {
        boolean between(Node from, Node to);
    }

    private final UniformRandomProvider random;
    private final VirtualTime time = new VirtualTime();
    private final List<Node> nodes = new ArrayList<>();
    private double loss;
    private double twice;
    private long leastDelayUs = 300;
    private long mostDelayUs = 30_000;
    private Cut cut = (from, to) -> false;
    private int zones = 3;
    private Meter meter = new Meter() {
        @Override
        public void tick(Runnable work) {
            work.run();
        }

        @Override
        public void datagram(Runnable work) {
            work.run();
        }
    };

    public MemberSim(long seed) {
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    }

    /** {@code n} hosts with the same list, named n0, n1 and so on, in zones in turn; none runs yet. */
    public MemberSim hosts(int n) {
        int[] peers = new int[n];
        Arrays.setAll(peers, i -> i);
        for (int i = 0; i < n; i++) {
            nodes.add(new Node(i, "n" + i, peers));
        }
        return this;
    }

    /** One more host, with a list of its own: the hosts' numbers in the order in which it has them. */
    public Node host(String name, int... peers) {
        Node node = new Node(nodes.size(), name, peers);
        nodes.add(node);
        return node;
    }

    public MemberSim network(double loss, double twice, long leastDelayUs, long mostDelayUs) {
        this.loss = loss;
        this.twice = twice;
        this.leastDelayUs = leastDelayUs;
        this.mostDelayUs = mostDelayUs;
        return this;
    }

    /** Hosts are in so many zones in turn; to be said before any starts. */
    public MemberSim zones(int count) {
        zones = count;
        return this;
    }

    public MemberSim meter(Meter measures) {
        meter = measures;
        return this;
    }

    public void cut(Cut now) {
        cut = now;
    }

    /** Called after each event with the time since the start, in microseconds. */
    public void each(LongConsumer each) {
        time.each(each);
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

    /** Unix time, as hosts without a skew have it. */
    public long unixUs() {
        return time.now();
    }

    /** For how long its process has been up. */
    public long upForUs(Node n) {
        return time.now() - n.startedUs;
    }

    public void at(long us, Runnable run) {
        time.at(us, run);
    }

    public void later(long us, Runnable run) {
        at(time.now() + us, run);
    }

    /** Starts a process of the host, with nothing from the one before but the time. */
    public void start(Node n) {
        n.up = true;
        n.startedUs = time.now();
        n.lying.clear();
        int of = ++n.process;
        int place = n.placeOf(n);
        n.membership = new Membership(
                new Membership.Self(
                        n.name, place, n.peers.length, n.number % zones, zones, 1, 0, n.clock() / 1_000, -1),
                n.clock(),
                random.nextLong(),
                n);
        at(time.now() + random.nextLong(Membership.TICK_INTERVAL_US), () -> n.tick(of));
    }

    public void startAll() {
        nodes.forEach(this::start);
    }

    public void kill(Node n) {
        n.up = false;
    }

    /** The host neither reads nor ticks for so long. */
    public void stall(Node n, long us) {
        long until = time.now() + us;
        if (until > n.stalledUntilUs) {
            n.stalledUntilUs = until;
            at(until, () -> {
                if (time.now() >= n.stalledUntilUs) {
                    List<Runnable> all = List.copyOf(n.lying);
                    n.lying.clear();
                    if (n.up) {
                        all.forEach(Runnable::run);
                    }
                }
            });
        }
    }

    /** Its clock jumps. */
    public void jump(Node n, long us) {
        n.skewUs += us;
    }

    private void pass(Node from, Node to, byte[] datagram) {
        int copies = random.nextDouble() < loss || cut.between(from, to) ? 0 : random.nextDouble() < twice ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            at(
                    time.now() + leastDelayUs + random.nextLong(Math.max(1, mostDelayUs - leastDelayUs)),
                    () -> deliver(from, to, datagram));
        }
    }

    /** A datagram as from another host, for what nobody would send. */
    public void deliver(Node from, Node to, byte[] datagram) {
        if (to.up) {
            Membership at = to.membership;
            int place = to.placeOf(from);
            to.run(() -> meter.datagram(() -> at.onDatagram(to.clock(), place, datagram)));
        }
    }

    /** Plays until the time since the start. */
    public void until(long us) {
        time.until(us);
    }

    /** How {@code at} sees {@code whom}; null where it knows nothing of it. */
    public static Member.State state(Node at, Node whom) {
        Member m = at.membership.member(whom.membership.self().id());
        return m == null ? null : m.state();
    }

    /** Of those who run, how many see {@code whom} so. */
    public int seenAs(Node whom, Member.State state) {
        int n = 0;
        for (Node at : nodes) {
            n += at.up && at != whom && state(at, whom) == state ? 1 : 0;
        }
        return n;
    }

    /** Whether all who run see all who run alive, and nobody else. */
    public boolean agree() {
        long up = nodes.stream().filter(n -> n.up).count();
        for (Node at : nodes) {
            if (at.up && at.membership.view().liveCount() != up) {
                return false;
            }
        }
        return true;
    }
}

package rushproxy.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Environment;
import rushproxy.fleet.member.Member;
import rushproxy.fleet.member.Membership;
import rushproxy.lab.sim.MemberSim;

/**
 * Members in real time, each with a socket of its own on loopback, all on the calling thread. Members from
 * {@link ScalePlan#hollow} on are sidecars' processes, which it only knows by their addresses.
 */
final class LoopbackFleet implements ScaleFleet {
    /** Ticks may come this late for one in a hundred, and still nobody takes another for silent because of it. */
    private static final long MOST_LATE_US = 50_000;

    private static final int RECEIVED_AT_ONCE = 64;
    private static final int SOCKET_BUFFER = 256 * 1024;

    /** One member: its socket, and its process if it is up. */
    private final class Hollow implements Environment {
        private final int number;
        private final DatagramChannel channel;
        private Membership membership;
        private boolean up;
        private int process;
        private long startedUs;
        private long bytes;
        private long datagrams;

        Hollow(int number, DatagramChannel channel) {
            this.number = number;
            this.channel = channel;
        }

        @Override
        public void send(int peer, byte[] datagram) {
            bytes += datagram.length + MemberSim.HEADERS;
            datagrams++;
            if (peer >= 0 && peer < addresses.size() && loss.nextDouble() >= plan.loss()) {
                try {
                    channel.send(ByteBuffer.wrap(datagram), addresses.get(peer));
                } catch (IOException e) {
                    // Lost, as any datagram may be.
                }
            }
        }

        @Override
        public void logEvent(String event) {}
    }

    private record Tick(long atUs, Hollow of, int process) implements Comparable<Tick> {
        @Override
        public int compareTo(Tick other) {
            return Long.compare(atUs, other.atUs);
        }
    }

    private final ScalePlan plan;
    private final MemberSim.Meter meter;
    private final List<InetSocketAddress> addresses;
    private final Map<SocketAddress, Integer> numbers = new HashMap<>();
    private final Selector selector;
    private final List<Hollow> members = new ArrayList<>();
    private final PriorityQueue<Tick> ticks = new PriorityQueue<>();
    private final ByteBuffer buffer = ByteBuffer.allocate(2 * Envelope.MAX_BYTES);
    private final SplittableRandom random;
    private final SplittableRandom loss;
    private final Histogram lateUs = Spread.histogram();
    private final long madeNs = System.nanoTime();
    private final long madeUnixUs = System.currentTimeMillis() * 1_000;
    private boolean cut;

    /** {@code addresses}: of all members in the order of their numbers, the real ones' last. */
    LoopbackFleet(ScalePlan plan, List<InetSocketAddress> addresses, MemberSim.Meter meter) throws IOException {
        this.plan = plan;
        this.addresses = addresses;
        this.meter = meter;
        random = new SplittableRandom(plan.seed());
        loss = random.split();
        selector = Selector.open();
        for (int i = 0; i < addresses.size(); i++) {
            numbers.put(addresses.get(i), i);
        }
        try {
            for (int i = 0; i < plan.hollow(); i++) {
                open(i);
            }
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private void open(int number) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        Hollow member = new Hollow(number, channel);
        members.add(member);
        channel.setOption(StandardSocketOptions.SO_RCVBUF, SOCKET_BUFFER);
        channel.bind(addresses.get(number));
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ, member);
    }

    @Override
    public int size() {
        return members.size();
    }

    @Override
    public long us() {
        return (System.nanoTime() - madeNs) / 1_000;
    }

    private long unixUs() {
        return madeUnixUs + us();
    }

    @Override
    public void runUntil(long us) {
        try {
            while (us() < us) {
                tickAll();
                Tick next = ticks.peek();
                long waitUs = Math.min(us, next == null ? us : next.atUs) - us();
                if (waitUs >= 1_000) {
                    selector.select(key -> receive((Hollow) key.attachment()), waitUs / 1_000);
                } else {
                    selector.selectNow(key -> receive((Hollow) key.attachment()));
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("the members' sockets failed", e);
        }
    }

    private void tickAll() {
        for (Tick t; (t = ticks.peek()) != null && t.atUs <= us(); ) {
            ticks.poll();
            if (t.of.up && t.process == t.of.process) {
                lateUs.recordValue(us() - t.atUs);
                Membership membership = t.of.membership;
                meter.tick(() -> membership.onTick(unixUs()));
                ticks.add(new Tick(Math.max(us(), t.atUs + Membership.TICK_INTERVAL_US), t.of, t.process));
            }
        }
    }

    private void receive(Hollow to) {
        try {
            for (int i = 0; i < RECEIVED_AT_ONCE; i++) {
                buffer.clear();
                SocketAddress from = to.channel.receive(buffer);
                if (from == null) {
                    return;
                }
                Integer number = numbers.get(from);
                if (number != null
                        && to.up
                        && !(cut && plan.regionOf(number) == 0 != (plan.regionOf(to.number) == 0))) {
                    byte[] datagram = new byte[buffer.flip().remaining()];
                    buffer.get(datagram);
                    Membership membership = to.membership;
                    meter.datagram(() -> membership.onDatagram(unixUs(), number, datagram));
                }
            }
        } catch (IOException e) {
            // The network says of an earlier datagram that nobody was there.
        }
    }

    @Override
    public void start(int member) {
        Hollow m = members.get(member);
        m.up = true;
        m.startedUs = us();
        int process = ++m.process;
        m.membership = new Membership(
                new Membership.Self(
                        name(member),
                        member,
                        addresses.size(),
                        plan.zoneOf(member),
                        plan.zones(),
                        1,
                        0,
                        unixUs() / 1_000,
                        -1),
                unixUs(),
                random.nextLong(),
                m);
        ticks.add(new Tick(us() + random.nextLong(Membership.TICK_INTERVAL_US), m, process));
    }

    /** As the processes are named too. */
    static String name(int member) {
        return "n" + member;
    }

    @Override
    public void kill(int member) {
        members.get(member).up = false;
    }

    @Override
    public void leave(int member) {
        members.get(member).membership.leave(unixUs());
    }

    @Override
    public boolean up(int member) {
        return members.get(member).up;
    }

    @Override
    public long upForUs(int member) {
        return us() - members.get(member).startedUs;
    }

    @Override
    public Member.State state(int at, int of) {
        Member m = members.get(at)
                .membership
                .member(members.get(of).membership.self().id());
        return m == null ? null : m.state();
    }

    @Override
    public void cutFirstRegion(boolean on) {
        cut = on;
    }

    @Override
    public long bytes(int member) {
        return members.get(member).bytes;
    }

    @Override
    public long datagrams(int member) {
        return members.get(member).datagrams;
    }

    @Override
    public String lateness() {
        long late = lateUs.getValueAtPercentile(99);
        return late <= MOST_LATE_US
                ? null
                : String.format(
                        Locale.ROOT,
                        "this host could not keep real time: one tick in a hundred came %d ms late and more",
                        late / 1_000);
    }

    @Override
    public void close() {
        try {
            selector.close();
            for (Hollow m : members) {
                m.channel.close();
            }
        } catch (IOException e) {
            // The end of this process closes what is left.
        }
    }
}

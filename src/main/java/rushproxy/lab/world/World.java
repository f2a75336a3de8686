package rushproxy.lab.world;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioReader;
import rushproxy.lab.world.Observation.EventType;

/**
 * All that the sidecars meet: clients, upstreams, discovery and the network, on one event loop of their own. Built from a
 * scenario, opened on a block of addresses, and closed with everything that it opened. Its own lateness is measured: what
 * the loop was late by is not the sidecars'.
 */
public final class World implements AutoCloseable {
    private static final int MOST_ARRIVALS = 1_000_000;
    private static final long BEAT_MS = 5;
    private static final long REHEARSAL_US = 2_000_000;
    private static final double REHEARSAL_PER_S = 1_500;
    private static final long REHEARSAL_MOST_S = 10;

    private final Scenario scenario;
    private final ObservationLog seen;
    private final Addresses addresses;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<UpstreamServer> servers = new ArrayList<>();
    private final List<Network.Endpoint> nodes = new ArrayList<>();
    private final int[] moves;
    private final Network network;
    private final Registry registry;
    private final PeerRelay relay;
    private final Clients clients;
    private final Map<String, Long> effects = new HashMap<>();
    /** Lateness of the loop's beats, in microseconds. Read after {@link #close}. */
    private final Histogram lateness = new Histogram(3);

    private long beatAtNanos;
    private Path processorFigures;
    private long worstUs;
    private int beats;

    public World(Scenario scenario, ObservationLog seen, Addresses addresses) {
        this(scenario, seen, addresses, false);
    }

    /** {@code direct}: there are no sidecars, and clients call the upstreams themselves. */
    private World(Scenario scenario, ObservationLog seen, Addresses addresses, boolean direct) {
        this.scenario = scenario;
        this.seen = seen;
        this.addresses = addresses;
        int n = scenario.fleet().nodes();
        moves = new int[n];
        for (int i = 0; i < n; i++) {
            nodes.add(new Network.Endpoint("n" + i, "nodes", scenario.zoneOfNode(i)));
        }
        network = new Network(scenario.network(), random(1));
        UniformRandomProvider chance = random(2);
        registry = new Registry(loop, seen, scenario.discovery(), random(3)::nextDouble);
        relay = new PeerRelay(loop, network, nodes, addresses);
        List<InetSocketAddress> sidecars = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            sidecars.add(
                    direct
                            ? addresses.upstream(
                                    i, i % ScenarioReader.serverNames(scenario).size())
                            : addresses.listen(i));
        }
        clients = new Clients(
                loop,
                seen,
                scenario,
                random(4)::nextDouble,
                Traffic.draw(scenario, random(5), MOST_ARRIVALS),
                sidecars);
        makeServers(chance);
    }

    /**
     * Plays a world without sidecars for a moment: the runtime compiles what a run needs, which would make its first
     * second late. Takes a block of addresses of its own.
     */
    public static void warmUp(Scenario scenario) throws IOException, InterruptedException {
        Scenario.Traffic t = scenario.traffic();
        Scenario brief = new Scenario(
                scenario.name(),
                "",
                scenario.seed(),
                REHEARSAL_US,
                scenario.fleet(),
                scenario.servers(),
                scenario.classes(),
                new Scenario.Traffic(
                        REHEARSAL_PER_S, 0, t.skew(), t.keys(), t.zipf(), 0, t.tryShare(), 0, 0, List.of()),
                scenario.network(),
                scenario.discovery(),
                scenario.rules(),
                scenario.lateness(),
                List.of(),
                List.of());
        try (Addresses addresses = Addresses.claim();
                World world = new World(brief, new ObservationLog(o -> {}), addresses, true)) {
            world.open();
            world.startTraffic().get(REHEARSAL_MOST_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            // It was only to warm up.
        }
    }

    private UniformRandomProvider random(int stream) {
        return RandomSource.XO_SHI_RO_256_PP.create(scenario.seed() * 0x9e3779b97f4a7c15L + stream);
    }

    private void makeServers(UniformRandomProvider chance) {
        List<String> zones = ScenarioReader.serverZones(scenario);
        int number = 0;
        int cells = 0;
        for (Scenario.Servers spec : scenario.servers()) {
            for (int i = 0; i < spec.count(); i++) {
                int server = number++;
                List<InetSocketAddress> at = new ArrayList<>();
                for (int node = 0; node < nodes.size(); node++) {
                    at.add(addresses.upstream(node, server));
                }
                UpstreamServer[] self = new UpstreamServer[1];
                self[0] = new UpstreamServer(
                        server,
                        zones.get(server),
                        cells + i % spec.pods(),
                        spec,
                        scenario.rules(),
                        loop,
                        seen,
                        network,
                        nodes,
                        at,
                        new WorldState(),
                        chance::nextDouble,
                        () -> registry.changed(self[0], "Gone"));
                servers.add(self[0]);
            }
            cells += spec.pods();
        }
    }

    private final class WorldState implements UpstreamServer.SharedState {
        @Override
        public UpstreamServer.RequestProfile needs(String id) {
            return clients.needs(id);
        }

        @Override
        public boolean repeated(UpstreamServer at, UpstreamServer.RequestProfile needs) {
            String where = switch (needs.group()) {
                case "zone" -> "zone " + at.zone;
                case "cell" -> "cell " + at.cell;
                default -> "all";
            };
            long now = seen.nowUs();
            Long had = effects.putIfAbsent(where + " " + needs.idempotencyKey(), now);
            if (had == null || now - had > needs.windowUs()) {
                effects.put(where + " " + needs.idempotencyKey(), now);
                return false;
            }
            return true;
        }
    }

    /** Opens everything but the clients. Throws, with what is in the way, where an address is taken. */
    public void open() throws IOException, InterruptedException {
        List<ChannelFuture> binds = new ArrayList<>();
        on(() -> {
            for (UpstreamServer s : servers) {
                binds.addAll(s.start(true));
            }
            List<InetSocketAddress> agents = new ArrayList<>();
            for (int i = 0; i < nodes.size(); i++) {
                agents.add(addresses.discovery(i, 0));
            }
            binds.addAll(registry.start(scenario.nodeNames(), agents, addresses::upstream, servers));
            binds.addAll(relay.start());
            processorFigures = figuresOfThisThread();
            beatAtNanos = System.nanoTime();
            loop.scheduleAtFixedRate(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
        });
        for (ChannelFuture bind : binds) {
            bind.await();
            if (!bind.isSuccess()) {
                throw new IOException(
                        "an address of the laboratory is taken: " + bind.cause().getMessage(), bind.cause());
            }
        }
    }

    private void beat() {
        long now = System.nanoTime();
        long lateUs = Math.max(0, (now - beatAtNanos) / 1_000 - BEAT_MS * 1_000);
        beatAtNanos = now;
        lateness.recordValue(lateUs);
        worstUs = Math.max(worstUs, lateUs);
        if (++beats % (1_000 / BEAT_MS) == 0) {
            seen.add(EventType.LATE, null, null, null, null, null, worstUs / 1e3, 0);
            worstUs = 0;
            seeHeld();
        }
    }

    /** How much processor the calling thread has had and waited for, as the kernel tells; null where it does not. */
    private static Path figuresOfThisThread() {
        try {
            return Path.of("/proc")
                    .resolve(Files.readSymbolicLink(Path.of("/proc/thread-self")))
                    .resolve("schedstat");
        } catch (IOException e) {
            return null;
        }
    }

    /** The kernel's figures for the event loop on which all of this runs, once it is open; null where there are none. */
    public Path schedstatPath() {
        return processorFigures;
    }

    /** Time has begun and the first tries begin; the result is done when all are settled. */
    public CompletableFuture<Void> startTraffic() throws InterruptedException {
        CompletableFuture<Void> settled = new CompletableFuture<>();
        on(() -> {
            seen.startClock(System.nanoTime());
            clients.start(() -> settled.complete(null));
        });
        return settled;
    }

    /** The node's platform has asked it to leave, or has it back: whether its clients connect anew follows. */
    public void setNodeLeaving(int node, boolean leaves) {
        loop.execute(() -> {
            if (leaves) {
                clients.leaving(node);
            } else {
                clients.back(node);
            }
        });
    }

    public void stopTraffic() {
        loop.execute(clients::stop);
    }

    /** Runs on the event loop and waits for it. */
    private void on(Runnable work) throws InterruptedException {
        loop.submit(work).sync();
    }

    /** What the agent of this node holds now, for a configuration's {@code known}. */
    public ObjectNode known(int node) throws InterruptedException {
        ObjectNode[] list = new ObjectNode[1];
        on(() -> list[0] = registry.known(node));
        return list[0];
    }

    /** Where discovery is for this node now. */
    public InetSocketAddress discovery(int node) {
        return addresses.discovery(node, moves[node]);
    }

    /** Discovery opens its next address for the node; the old one goes. */
    public InetSocketAddress moveDiscovery(int node) throws InterruptedException {
        moves[node]++;
        ChannelFuture[] bind = new ChannelFuture[1];
        on(() -> bind[0] = registry.move(node, discovery(node)));
        bind[0].sync();
        return discovery(node);
    }

    /** Begins a fault of servers, network or discovery; what lasts ends by itself. */
    public void startFault(Scenario.Fault fault) {
        loop.execute(() -> {
            switch (fault.what()) {
                case "cut", "delay", "peer-loss" ->
                    lasts(
                            fault,
                            () -> {
                                network.begin(fault);
                                servers.forEach(UpstreamServer::linksChanged);
                            },
                            () -> {
                                network.end(fault);
                                servers.forEach(UpstreamServer::linksChanged);
                            });
                case "reset" -> servers.forEach(s -> s.reset(fault));
                case "clients" ->
                    lasts(
                            fault,
                            () -> clients.misbehave(fault.call(), fault.factor()),
                            () -> clients.misbehave(null, 0));
                case "list-silent" ->
                    lasts(
                            fault,
                            () -> agents(fault, n -> registry.silent(n, true)),
                            () -> agents(fault, n -> registry.silent(n, false)));
                case "list-late" ->
                    lasts(
                            fault,
                            () -> agents(fault, n -> registry.late(n, fault.factor())),
                            () -> agents(fault, n -> registry.late(n, 0)));
                case "list-splits" ->
                    lasts(
                            fault,
                            () -> agents(fault, n -> registry.splits(n, fault.factor())),
                            () -> agents(fault, n -> registry.splits(n, 0)));
                default -> ofServers(fault);
            }
        });
    }

    private void ofServers(Scenario.Fault fault) {
        int i = 0;
        for (UpstreamServer s : servers) {
            if (fault.servers().contains(s.id)) {
                loop.schedule(() -> ofServer(fault, s), Math.round(i++ * fault.stagger() * 1e6), TimeUnit.MICROSECONDS);
            }
        }
    }

    private void ofServer(Scenario.Fault fault, UpstreamServer s) {
        switch (fault.what()) {
            case "crash" -> {
                s.crash("crashes");
                registry.changed(s, "Gone");
                if (fault.forUs() > 0) {
                    later(fault, () -> add(s));
                }
            }
            case "drain" -> {
                registry.changed(s, "Terminating");
                later(fault, () -> {
                    s.crash("drained");
                    registry.changed(s, "Gone");
                });
            }
            case "add" -> add(s);
            case "hang" -> lasts(fault, () -> s.hang(true), () -> s.hang(false));
            case "slow" -> lasts(fault, () -> s.slow(fault.factor()), () -> s.slow(1));
            case "errors" -> lasts(fault, () -> s.errors(fault.factor()), () -> s.errors(0));
            case "spoil" -> lasts(fault, () -> s.spoil(fault.call(), fault.factor()), () -> s.spoil(null, 0));
            case "refuse" -> lasts(fault, () -> s.refuse(true), () -> s.refuse(false));
            default -> throw new IllegalStateException(fault.what());
        }
    }

    private void add(UpstreamServer s) {
        if (!s.running()) {
            s.start(false);
            registry.changed(s, "Ready");
        }
    }

    private void agents(Scenario.Fault fault, Consumer<Integer> to) {
        fault.nodes().forEach(n -> to.accept(Integer.parseInt(n.substring(1))));
    }

    private void lasts(Scenario.Fault fault, Runnable begin, Runnable end) {
        begin.run();
        later(fault, end);
    }

    private void later(Scenario.Fault fault, Runnable then) {
        loop.schedule(then, fault.forUs(), TimeUnit.MICROSECONDS);
    }

    /** Writes down how many requests are in flight at the upstreams, by zone and kind. */
    private void seeHeld() {
        Map<String, Integer> by = new TreeMap<>();
        servers.forEach(s -> by.merge(s.zone + " " + s.spec().kind(), s.inFlight(), Integer::sum));
        by.forEach((where, n) -> seen.add(EventType.HELD, null, null, null, null, where, n, 0));
    }

    /** Datagrams that a node has sent, and their bytes. */
    public long[] peerTraffic(int node) throws InterruptedException {
        long[] cost = new long[2];
        on(() -> {
            cost[0] = relay.sent(node);
            cost[1] = relay.bytes(node);
        });
        return cost;
    }

    /** How late the loop's beats were, in microseconds. To be read after {@link #close}. */
    public Histogram loopLateness() {
        return lateness;
    }

    /** By how much first tries left later than drawn, in microseconds. To be read after {@link #close}. */
    public Histogram sendLateness() {
        return clients.lateness;
    }

    @Override
    public void close() throws InterruptedException {
        try {
            on(() -> {
                servers.forEach(UpstreamServer::end);
                registry.end();
                relay.end();
            });
        } finally {
            // Closes what is open still: the next laboratory may be given the same addresses.
            group.shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
        }
    }
}

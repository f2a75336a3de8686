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
 * The simulated environment of the sidecars: clients, upstreams, discovery and the network, on one event loop. It is built from a
 * scenario and bound to a block of loopback addresses; {@link #close} releases everything that it opened. It measures the lateness of
 * its own event loop, so that delays of the laboratory are not attributed to the sidecars.
 */
public final class World implements AutoCloseable {
    private static final int MAX_ARRIVALS = 1_000_000;
    private static final long BEAT_INTERVAL_MS = 5;
    private static final long WARM_UP_US = 2_000_000;
    private static final double WARM_UP_REQUESTS_PER_S = 1_500;
    private static final long MAX_WARM_UP_S = 10;

    private final Scenario scenario;
    private final ObservationLog observations;
    private final Addresses addresses;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<UpstreamServer> servers = new ArrayList<>();
    private final List<Network.Endpoint> nodes = new ArrayList<>();
    private final int[] discoveryMoves;
    private final Network network;
    private final Registry registry;
    private final PeerRelay relay;
    private final Clients clients;
    private final ReadinessMonitor readiness;
    private final Map<String, Long> effectTimesUs = new HashMap<>();
    /** How late the periodic task of the event loop ran, in microseconds. To be read after {@link #close}. */
    private final Histogram loopLateness = new Histogram(3);

    private long lastBeatNanos;
    private Path schedstatPath;
    private long maxLateUs;
    private int beats;

    public World(Scenario scenario, ObservationLog observations, Addresses addresses) {
        this(scenario, observations, addresses, false);
    }

    /** With {@code direct} there are no sidecars and the clients connect to the upstreams. */
    private World(Scenario scenario, ObservationLog observations, Addresses addresses, boolean direct) {
        this.scenario = scenario;
        this.observations = observations;
        this.addresses = addresses;
        int n = scenario.fleet().nodes();
        discoveryMoves = new int[n];
        for (int i = 0; i < n; i++) {
            nodes.add(new Network.Endpoint("n" + i, "nodes", scenario.zoneOfNode(i)));
        }
        network = new Network(scenario.network(), random(1));
        UniformRandomProvider random = random(2);
        registry = new Registry(loop, observations, scenario.discovery(), random(3)::nextDouble);
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
                observations,
                scenario,
                random(4)::nextDouble,
                Traffic.generate(scenario, random(5), MAX_ARRIVALS),
                sidecars);
        readiness = new ReadinessMonitor(loop, observations, sidecars, clients::isNodeRunning);
        createServers(random);
    }

    /**
     * Warms up the JIT compiler with a short run without sidecars; otherwise the first second of the real run is late. Uses a
     * block of addresses of its own.
     */
    public static void warmUp(Scenario scenario) throws IOException, InterruptedException {
        Scenario.Traffic t = scenario.traffic();
        Scenario warmUpScenario = new Scenario(
                scenario.name(),
                "",
                scenario.seed(),
                WARM_UP_US,
                scenario.fleet(),
                scenario.servers(),
                scenario.classes(),
                new Scenario.Traffic(
                        WARM_UP_REQUESTS_PER_S, 0, t.skew(), t.keys(), t.zipf(), 0, t.tryShare(), 0, 0, List.of()),
                scenario.network(),
                scenario.discovery(),
                scenario.rules(),
                scenario.lateness(),
                List.of(),
                List.of());
        try (Addresses addresses = Addresses.claim();
                World world = new World(warmUpScenario, new ObservationLog(o -> {}), addresses, true)) {
            world.open();
            world.startTraffic().get(MAX_WARM_UP_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            // The warm-up is best effort: the real run reports any fault.
        }
    }

    private UniformRandomProvider random(int stream) {
        return RandomSource.XO_SHI_RO_256_PP.create(scenario.seed() * 0x9e3779b97f4a7c15L + stream);
    }

    private void createServers(UniformRandomProvider random) {
        List<String> zones = ScenarioReader.serverZones(scenario);
        int number = 0;
        int cells = 0;
        for (Scenario.ServerGroup spec : scenario.servers()) {
            for (int i = 0; i < spec.count(); i++) {
                int server = number++;
                List<InetSocketAddress> addressesByNode = new ArrayList<>();
                for (int node = 0; node < nodes.size(); node++) {
                    addressesByNode.add(addresses.upstream(node, server));
                }
                UpstreamServer[] self = new UpstreamServer[1];
                self[0] = new UpstreamServer(
                        server,
                        zones.get(server),
                        cells + i % spec.pods(),
                        spec,
                        scenario.rules(),
                        loop,
                        observations,
                        network,
                        nodes,
                        addressesByNode,
                        new WorldState(),
                        random::nextDouble,
                        () -> registry.publishChange(self[0], "Gone"));
                servers.add(self[0]);
            }
            cells += spec.pods();
        }
    }

    private final class WorldState implements UpstreamServer.SharedState {
        @Override
        public UpstreamServer.RequestProfile requestProfile(String id) {
            return clients.requestProfile(id);
        }

        @Override
        public boolean checkAndRecordRepeat(UpstreamServer server, UpstreamServer.RequestProfile profile) {
            String scope = switch (profile.group()) {
                case "zone" -> "zone " + server.zone;
                case "cell" -> "cell " + server.cell;
                default -> "all";
            };
            long now = observations.nowUs();
            Long previousUs = effectTimesUs.putIfAbsent(scope + " " + profile.idempotencyKey(), now);
            if (previousUs == null || now - previousUs > profile.windowUs()) {
                effectTimesUs.put(scope + " " + profile.idempotencyKey(), now);
                return false;
            }
            return true;
        }
    }

    /** Opens everything except the clients. Throws if an address is already in use. */
    public void open() throws IOException, InterruptedException {
        List<ChannelFuture> binds = new ArrayList<>();
        runOnLoop(() -> {
            for (UpstreamServer s : servers) {
                binds.addAll(s.start(true));
            }
            List<InetSocketAddress> agents = new ArrayList<>();
            for (int i = 0; i < nodes.size(); i++) {
                agents.add(addresses.discovery(i, 0));
            }
            binds.addAll(registry.start(scenario.nodeNames(), agents, addresses::upstream, servers));
            binds.addAll(relay.start());
            schedstatPath = schedstatOfCurrentThread();
            lastBeatNanos = System.nanoTime();
            loop.scheduleAtFixedRate(this::beat, BEAT_INTERVAL_MS, BEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
        });
        for (ChannelFuture bind : binds) {
            bind.await();
            if (!bind.isSuccess()) {
                throw new IOException(
                        "cannot bind an address of the laboratory: "
                                + bind.cause().getMessage(),
                        bind.cause());
            }
        }
    }

    private void beat() {
        long now = System.nanoTime();
        long lateUs = Math.max(0, (now - lastBeatNanos) / 1_000 - BEAT_INTERVAL_MS * 1_000);
        lastBeatNanos = now;
        loopLateness.recordValue(lateUs);
        maxLateUs = Math.max(maxLateUs, lateUs);
        if (++beats % (1_000 / BEAT_INTERVAL_MS) == 0) {
            observations.add(EventType.LATE, null, null, null, null, null, maxLateUs / 1e3, 0);
            maxLateUs = 0;
            recordInFlight();
        }
    }

    /** Returns the file with the calling thread's CPU time and run-queue wait, or null if the kernel has none. */
    private static Path schedstatOfCurrentThread() {
        try {
            return Path.of("/proc")
                    .resolve(Files.readSymbolicLink(Path.of("/proc/thread-self")))
                    .resolve("schedstat");
        } catch (IOException e) {
            return null;
        }
    }

    /** The schedstat file of the event loop's thread after {@link #open}, or null if the kernel has none. */
    public Path schedstatPath() {
        return schedstatPath;
    }

    /** Starts the run's clock and the clients; the future completes when every request is settled. */
    public CompletableFuture<Void> startTraffic() throws InterruptedException {
        CompletableFuture<Void> settled = new CompletableFuture<>();
        runOnLoop(() -> {
            observations.startClock(System.nanoTime());
            if (scenario.drainsSidecars()) {
                clients.setReadiness(readiness::mayConnect);
                readiness.start();
            }
            clients.start(() -> settled.complete(null));
        });
        return settled;
    }

    /** Announces that the platform stops the sidecar or that it is ready again, which decides whether its clients open connections. */
    public void setNodeLeaving(int node, boolean leaving) {
        loop.execute(() -> {
            if (leaving) {
                clients.onNodeLeaving(node);
            } else {
                clients.onNodeReady(node);
            }
        });
    }

    /** Ends the load; requests already started run to their end. */
    public void stopTraffic() {
        loop.execute(() -> {
            clients.stop();
            readiness.stop();
        });
    }

    /** Runs the task on the event loop and waits until it is done. */
    private void runOnLoop(Runnable task) throws InterruptedException {
        loop.submit(task).sync();
    }

    /** The instances that this node's discovery agent lists now, in the format of the configuration's {@code known}. */
    public ObjectNode known(int node) throws InterruptedException {
        ObjectNode[] list = new ObjectNode[1];
        runOnLoop(() -> list[0] = registry.knownInstances(node));
        return list[0];
    }

    /** The current address of this node's discovery agent. */
    public InetSocketAddress discovery(int node) {
        return addresses.discovery(node, discoveryMoves[node]);
    }

    /** Moves the node's discovery agent to its next address and returns that. */
    public InetSocketAddress moveDiscovery(int node) throws InterruptedException {
        discoveryMoves[node]++;
        ChannelFuture[] bind = new ChannelFuture[1];
        runOnLoop(() -> bind[0] = registry.move(node, discovery(node)));
        bind[0].sync();
        return discovery(node);
    }

    /** Starts a fault of the clients, servers, network or discovery; a fault with a duration is ended automatically. */
    public void startFault(Scenario.Fault fault) {
        loop.execute(() -> {
            switch (fault.what()) {
                case "cut", "delay", "peer-loss" ->
                    startTimed(
                            fault,
                            () -> {
                                network.startFault(fault);
                                servers.forEach(UpstreamServer::onLinksChanged);
                            },
                            () -> {
                                network.endFault(fault);
                                servers.forEach(UpstreamServer::onLinksChanged);
                            });
                case "reset" -> servers.forEach(s -> s.reset(fault));
                case "clients" ->
                    startTimed(
                            fault,
                            () -> clients.setMisbehavior(fault.call(), fault.factor()),
                            () -> clients.setMisbehavior(null, 0));
                case "list-silent" ->
                    startTimed(
                            fault,
                            () -> forEachNode(fault, n -> registry.setSilent(n, true)),
                            () -> forEachNode(fault, n -> registry.setSilent(n, false)));
                case "list-late" ->
                    startTimed(
                            fault,
                            () -> forEachNode(fault, n -> registry.setDelay(n, fault.factor())),
                            () -> forEachNode(fault, n -> registry.setDelay(n, 0)));
                case "list-splits" ->
                    startTimed(
                            fault,
                            () -> forEachNode(fault, n -> registry.setMissedShare(n, fault.factor())),
                            () -> forEachNode(fault, n -> registry.setMissedShare(n, 0)));
                default -> startServerFaults(fault);
            }
        });
    }

    private void startServerFaults(Scenario.Fault fault) {
        int i = 0;
        for (UpstreamServer s : servers) {
            if (fault.servers().contains(s.id)) {
                loop.schedule(
                        () -> startServerFault(fault, s),
                        Math.round(i++ * fault.stagger() * 1e6),
                        TimeUnit.MICROSECONDS);
            }
        }
    }

    private void startServerFault(Scenario.Fault fault, UpstreamServer s) {
        switch (fault.what()) {
            case "crash" -> {
                s.crash("crashes");
                registry.publishChange(s, "Gone");
                if (fault.forUs() > 0) {
                    scheduleEnd(fault, () -> startServer(s));
                }
            }
            case "drain" -> {
                registry.publishChange(s, "Terminating");
                scheduleEnd(fault, () -> {
                    s.crash("drained");
                    registry.publishChange(s, "Gone");
                });
            }
            case "add" -> startServer(s);
            case "hang" -> startTimed(fault, () -> s.setHung(true), () -> s.setHung(false));
            case "slow" -> startTimed(fault, () -> s.setSlowdownFactor(fault.factor()), () -> s.setSlowdownFactor(1));
            case "errors" -> startTimed(fault, () -> s.setErrorShare(fault.factor()), () -> s.setErrorShare(0));
            case "spoil" ->
                startTimed(fault, () -> s.setCorruption(fault.call(), fault.factor()), () -> s.setCorruption(null, 0));
            case "refuse" -> startTimed(fault, () -> s.setRefusing(true), () -> s.setRefusing(false));
            default -> throw new IllegalStateException(fault.what());
        }
    }

    private void startServer(UpstreamServer s) {
        if (!s.isRunning()) {
            s.start(false);
            registry.publishChange(s, "Ready");
        }
    }

    private void forEachNode(Scenario.Fault fault, Consumer<Integer> action) {
        fault.nodes().forEach(n -> action.accept(Integer.parseInt(n.substring(1))));
    }

    private void startTimed(Scenario.Fault fault, Runnable begin, Runnable end) {
        begin.run();
        scheduleEnd(fault, end);
    }

    private void scheduleEnd(Scenario.Fault fault, Runnable end) {
        loop.schedule(end, fault.forUs(), TimeUnit.MICROSECONDS);
    }

    /** Records the requests in flight at the upstreams, by zone and server kind. */
    private void recordInFlight() {
        Map<String, Integer> inFlight = new TreeMap<>();
        servers.forEach(s -> inFlight.merge(s.zone + " " + s.spec().kind(), s.inFlight(), Integer::sum));
        inFlight.forEach(
                (zoneAndKind, n) -> observations.add(EventType.HELD, null, null, null, null, zoneAndKind, n, 0));
    }

    /** The number of peer datagrams that a node has sent, and their total bytes. */
    public long[] peerTraffic(int node) throws InterruptedException {
        long[] traffic = new long[2];
        runOnLoop(() -> {
            traffic[0] = relay.datagramsSent(node);
            traffic[1] = relay.bytesSent(node);
        });
        return traffic;
    }

    /** How late the periodic task of the event loop ran, in microseconds. To be read after {@link #close}. */
    public Histogram loopLateness() {
        return loopLateness;
    }

    /** How late first attempts were sent, in microseconds. To be read after {@link #close}. */
    public Histogram sendLateness() {
        return clients.sendLateness;
    }

    @Override
    public void close() throws InterruptedException {
        try {
            runOnLoop(() -> {
                servers.forEach(UpstreamServer::close);
                registry.close();
                relay.close();
            });
        } finally {
            // Closes the remaining connections: the next run may use the same addresses.
            group.shutdownGracefully(0, 5, TimeUnit.SECONDS).sync();
        }
    }
}

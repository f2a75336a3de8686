package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import rushproxy.Balancer;
import rushproxy.Balancer.ListKind;
import rushproxy.Policy;

/** One sidecar: starts its parts on one event loop, which owns them all, and ends them in good order. */
public final class Sidecar {
    /** Descriptors for the program itself: some 15 files, listeners and selectors, and all that operators may hold. */
    private static final int RESERVED_DESCRIPTORS = 32 + AdminServer.MOST_CALLERS;

    private static final int MIN_SOCKETS_PER_SIDE = 16;
    /** A sixteenth of the memory may hold bodies and answers: the runtime's own parts take a third and more. */
    private static final int BUFFER_BUDGET_SHIFT = 4;
    /** An answer to a probe that takes longer tells nothing of now. */
    private static final long PROBE_TIMEOUT_US = 50_000;

    private static final long HEARTBEAT_INTERVAL_MS = EventLoopDelay.HEARTBEAT_INTERVAL_US / 1000;
    private static final int HEARTBEATS_PER_REPORT = 100;
    /** A lag worth a line in the log: more than the margin by which answers precede their deadlines. */
    private static final long REPORTED_LAG_US = 15_000;

    private final Config config;
    private final ServerSocketChannel inherited;
    private final BalancerFactory balancerFactory;
    private final Clock clock;
    private final EventLoopDelay loopDelay = new EventLoopDelay();
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Decisions decisions = new Decisions();
    private final Upstreams upstreams;
    private final Invariants invariants = new Invariants();
    private final RequestGuard guard;
    private final Requests requests;
    private final StartTimes startTimes;
    /** The list that the process was started with. */
    private final UpstreamList knownUpstreams;

    private final Discovery discovery;
    private final ConfigReloader configReloader;
    private final Peers peers;
    /** Null where no part of it is on. */
    private final FleetPlane fleetPlane;

    private final ClientServer clients;
    /** Null where no second address is named: nobody could call anything out, or back. */
    private final CordonStore cordonStore;

    private Map<String, CordonStore.Mark> cordonMarks = Map.of();
    private InetSocketAddress listenAddress;
    /** Null where no second address is named. */
    private InetSocketAddress adminAddress;

    private final AnswerDeadlines deadlines;
    private long maxLagUs;
    /** At the last line of the log; null where the kernel does not tell. */
    private ThreadSchedStats lastSchedStats;

    private long heartbeats;
    private boolean stopping;

    /** Makes the module that decides; its actions may be used from then on. */
    interface BalancerFactory {
        Balancer create(Config config, long now, Balancer.Actions actions);
    }

    /** {@code inherited} listens for clients already; null where the sidecar is to listen itself. */
    Sidecar(Config config, ServerSocketChannel inherited, BalancerFactory module) {
        this(config, inherited, module, new Clock(), handlers -> new MultiThreadIoEventLoopGroup(1, handlers));
    }

    /** {@code loops} makes a group of one loop, whose timers go by {@code clock}. */
    Sidecar(
            Config config,
            ServerSocketChannel inherited,
            BalancerFactory module,
            Clock clock,
            Function<IoHandlerFactory, EventLoopGroup> loops) {
        this.clock = clock;
        group = loops.apply(TimedIoHandler.wrap(SocketPolling.ioHandlerFactory(), clock, loopDelay));
        loop = group.next();
        this.config = config;
        this.inherited = inherited;
        this.balancerFactory = module;
        Balancer.Settings settings = config.settings();
        Budget budget = new Budget((long) config.memoryMb() << 20 >> BUFFER_BUDGET_SHIFT);
        // Those who only come to stay are on the clients' side. What that does not use upstreams may have.
        int free = Math.max(2 * MIN_SOCKETS_PER_SIDE, config.maxSockets() - RESERVED_DESCRIPTORS);
        int ofClients = free - Math.max(MIN_SOCKETS_PER_SIDE, free / 4);
        StallAwareClock time = new StallAwareClock(clock, loopDelay);
        upstreams = new Upstreams(
                loop,
                time,
                settings.limits().connIdleUs(),
                Upstreams.REST_US,
                config.dialTimeoutUs(),
                // A place for the next client is none of those that clients do not use.
                () -> free - Math.min(ofClients, clients().open() + 1),
                budget);
        guard = new RequestGuard(clock, settings.classes(), invariants);
        requests = new Requests(
                loop, time, decisions, upstreams, guard, settings.limits().maxAttempts());
        startTimes = new StartTimes(clock, System::currentTimeMillis);
        knownUpstreams = startTimes.known(config.knownUpstreams());
        discovery = new Discovery(
                loop,
                clock,
                decisions,
                upstreams,
                startTimes,
                config.discovery(),
                config.knownUpstreams().generation(),
                settings.rules().askEveryUs(),
                !settings.discoveryOnRequest());
        configReloader = new ConfigReloader(address -> loop.execute(() -> discovery.moveTo(address)));
        peers = new Peers(clock, decisions, config.peers(), config.allPeersAddress());
        fleetPlane = config.fleet().members()
                ? new FleetPlane(loop, clock, peers, decisions, config, upstreams::ready)
                : null;
        if (fleetPlane != null) {
            requests.watch(fleetPlane::ended);
        }
        cordonStore = config.adminAddress() == null
                ? null
                : new CordonStore(
                        config.stateDirectory(),
                        settings.rules().rampUs() / 1000,
                        now -> loop.execute(() -> applyCordonMarks(now)));
        deadlines = new AnswerDeadlines(settings.classes(), loopDelay);
        clients = new ClientServer(
                loop,
                clock,
                requests,
                settings.classes(),
                upstreams::anyReady,
                new ClientPlaces(
                        loop,
                        () -> Math.min(ofClients, free - upstreams.open()),
                        () -> clients().open() < ofClients && upstreams.closeOldestIdle()),
                budget,
                loopDelay,
                deadlines,
                guard);
    }

    /** Runs one sidecar until it is asked to end; only a start that fails returns. */
    public static int serve(Map<String, String> environment) throws InterruptedException {
        // Before all else: without handlers of its own the Java runtime ends on these, and a reload that comes now is
        // meant.
        ProcessSignals signals = new ProcessSignals(environment);
        boolean reloads = signals.installHandlers();
        Config config;
        try {
            config = Config.read(environment);
        } catch (Config.InvalidConfigException e) {
            Log.event(Log.Level.ERROR, e.getMessage());
            Log.flush();
            return 2;
        }
        Log.configure(config.logOptions());
        TcpInfo.loadEagerly();
        Sidecar sidecar;
        try {
            ServerSocketChannel inherited = config.inheritsListener() ? InheritedListener.open() : null;
            sidecar = new Sidecar(
                    config, inherited, (c, now, actions) -> new Policy(c.settings(), c.seed(), now, actions));
            // Before anybody can ask.
            sidecar.clients.notReady();
            EventLoopWatchdog.start(sidecar.loop, Sidecar::haltAfterLoopExit);
            sidecar.start();
        } catch (Exception e) {
            Log.event(Log.Level.ERROR, "can't start: " + e);
            Log.flush();
            return 1;
        }
        if (!reloads) {
            Log.warn("was started with SIGHUP ignored: it will not reload");
        }
        signals.sidecarStarted(sidecar);
        sidecar.warmUp();
        Log.info(config.name() + " serves on " + sidecar.listenAddress());
        new CountDownLatch(1).await();
        return 0;
    }

    /** Whoever supervises the process starts another. */
    private static void haltAfterLoopExit() {
        try {
            Log.event(Log.Level.ERROR, "the event loop has ended, and the process with it");
            Log.flush();
        } finally {
            Runtime.getRuntime().halt(1);
        }
    }

    /** The configuration file was replaced. */
    void reload(Map<String, String> environment) {
        configReloader.reloadAsync(environment);
    }

    void start() throws InterruptedException {
        // Where the selector's own wake-up could not be registered, a loop without timers would never see what is
        // handed to it.
        Future<?> wakes = PeriodicTask.scheduleEvery(loop, HEARTBEAT_INTERVAL_MS, () -> {});
        upstreams.update(knownUpstreams);
        loop.submit(() -> decisions.start(
                        actions -> {
                            Balancer made = balancerFactory.create(config, clock.nowUs(), actions);
                            made.onList(
                                    clock.nowUs(),
                                    ListKind.CACHED,
                                    knownUpstreams.entries().stream()
                                            .map(UpstreamList.Entry::upstream)
                                            .toList());
                            return made;
                        },
                        new ModuleActions()))
                .sync();
        if (cordonStore != null) {
            cordonStore.start();
        }
        loop.execute(discovery::start);
        if (config.peerListenAddress() != null) {
            peers.listen(loop, config.peerListenAddress());
        }
        if (fleetPlane != null) {
            loop.execute(fleetPlane::start);
        }
        if (inherited == null) {
            listenAddress = clients.listen(config.listen());
        } else {
            // Until it has warmed up: a call to the shared address could land in the other process.
            listenAddress = clients.listen(new InetSocketAddress(config.listen().getAddress(), 0));
        }
        clients.start();
        if (config.adminAddress() != null) {
            OperatorCalls calls = new OperatorCalls(
                    loop, clients, upstreams, fleetPlane, cordonStore, id -> cordonMarks.containsKey(id));
            adminAddress = new AdminServer(loop, calls).listen(config.adminAddress());
        }
        PeriodicTask.scheduleEvery(loop, HEARTBEAT_INTERVAL_MS, this::onHeartbeat);
        wakes.cancel(false);
    }

    /** What makes the event loop late makes every answer late: too little of the core, a pause, or a fault here. */
    private void onHeartbeat() {
        long now = clock.nowUs();
        long behindUs = loopDelay.heartbeatLagUs(now);
        maxLagUs = Math.max(maxLagUs, behindUs);
        // The turn that this beat is part of is told only when it is over.
        loopDelay.recordDelay(now, behindUs);
        if (loopDelay.recentDelayUs() >= Requests.LEAST_GAIN_US) {
            requests.tighten(deadlines);
        }
        if (behindUs < EventLoopDelay.STALL_THRESHOLD_US) {
            loopDelay.recordHeartbeat(now);
        } else {
            // What lay in the sockets meanwhile is read only now, and is as old as the hold-up.
            loop.schedule(
                    () -> loopDelay.recordHeartbeat(clock.nowUs()),
                    EventLoopDelay.EXTRA_POLL_DELAY_MS,
                    TimeUnit.MILLISECONDS);
        }
        if (++heartbeats % HEARTBEATS_PER_REPORT == 0) {
            reportUnansweredConnections();
            requests.tally((words, fields) -> Log.event(
                    Log.Level.INFO,
                    "in " + HEARTBEATS_PER_REPORT * HEARTBEAT_INTERVAL_MS / 1000 + " s " + words + "; "
                            + describeConnections() + describeInvariantViolations(),
                    fields));
            reportLag();
        }
    }

    /** Whether it worked then or waited for a processor says whose the delay was. */
    private void reportLag() {
        ThreadSchedStats before = lastSchedStats;
        lastSchedStats = ThreadSchedStats.ofCurrentThread().orElse(null);
        if (maxLagUs >= REPORTED_LAG_US) {
            String words = "the event loop was late by up to " + maxLagUs / 1000 + " ms in "
                    + HEARTBEATS_PER_REPORT * HEARTBEAT_INTERVAL_MS / 1000 + " s";
            if (before == null || lastSchedStats == null) {
                Log.event(Log.Level.WARN, words, "late_ms", maxLagUs / 1000);
            } else {
                ThreadSchedStats since = lastSchedStats.since(before);
                Log.event(
                        Log.Level.WARN,
                        words + ", in which it ran for " + since.cpuMs() + " ms and waited for a processor for "
                                + since.runQueueWaitMs() + " ms",
                        "late_ms",
                        maxLagUs / 1000,
                        "ran_ms",
                        since.cpuMs(),
                        "waited_ms",
                        since.runQueueWaitMs());
            }
        }
        maxLagUs = 0;
    }

    private void reportUnansweredConnections() {
        Map<String, Integer> ends = clients.unansweredSinceLast();
        if (!ends.isEmpty()) {
            Log.event(
                    Log.Level.WARN,
                    "in " + HEARTBEATS_PER_REPORT * HEARTBEAT_INTERVAL_MS / 1000
                            + " s clients' connections ended with no answer: " + ends,
                    "unanswered",
                    ends);
        }
    }

    /** Readies the program's own code before {@link ClientServer} tells the application that it may come. */
    void warmUp() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        long sinceUs = clock.nowUs();
        loop.execute(() -> {
            WarmUp warmUp = new WarmUp(loop, clock, config.settings());
            clients.warmsUp(warmUp);
            warmUp.start(listenAddress, () -> {
                Log.info("warmed up with " + warmUp.successCount() + " requests in " + (clock.nowUs() - sinceUs) / 1_000
                        + " ms");
                done.countDown();
            });
        });
        done.await();
        if (inherited != null) {
            clients.closeListener();
            clients.take(inherited);
            listenAddress = config.listen();
        }
        // What discovery has counts as told from the first moment: its first answer goes before the first client.
        loop.execute(() -> discovery.whenHeard(() -> {
            if (fleetPlane == null) {
                clients.warm();
            } else {
                fleetPlane.whenWarm(clients::warm);
            }
        }));
    }

    EventLoop loop() {
        return loop;
    }

    InetSocketAddress listenAddress() {
        return listenAddress;
    }

    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    /** {@code stopped} runs when all that was taken has been answered and all connections are closed. */
    void stop(Runnable stopped) {
        // The kill is counted from the signal, however late the loop comes to it.
        long sinceUs = clock.nowUs();
        loop.execute(() -> {
            // Told again it changes nothing: the time runs from the first call.
            if (stopping) {
                return;
            }
            stopping = true;
            Log.info("is to leave; " + describeConnections());
            if (fleetPlane != null) {
                fleetPlane.leave();
            }
            clients.stop(sinceUs, () -> {
                long afterMs = (clock.nowUs() - sinceUs) / 1000;
                Log.event(Log.Level.INFO, "leaves after " + afterMs + " ms", "after_ms", afterMs);
                stopped.run();
            });
        });
    }

    ClientServer clients() {
        return clients;
    }

    Requests requests() {
        return requests;
    }

    Invariants invariants() {
        return invariants;
    }

    private String describeInvariantViolations() {
        return invariants.total() == 0 ? "" : "; broken invariants " + invariants.counts();
    }

    private String describeConnections() {
        return clients.open() + " of " + clients.limit() + " connections of clients, " + upstreams.open()
                + " to upstreams";
    }

    /** The operators have called upstreams out or back, here or at the other process of an upgrade. */
    private void applyCordonMarks(Map<String, CordonStore.Mark> now) {
        Map<String, CordonStore.Mark> before = cordonMarks;
        cordonMarks = now;
        for (Map.Entry<String, CordonStore.Mark> e : now.entrySet()) {
            CordonStore.Mark mark = e.getValue();
            if (!mark.equals(before.get(e.getKey()))) {
                Log.event(
                        Log.Level.INFO,
                        (mark.out() ? "leaves out " : "has back ") + e.getKey() + ", as the operators ask",
                        "upstream",
                        e.getKey(),
                        "out",
                        mark.out());
                upstreams.cordon(e.getKey(), mark.out());
                // Told here, it is news of now: the wall clock by which the mark was written may have been stepped
                // since.
                decisions.call(m -> m.onCordon(clock.nowUs(), e.getKey(), mark.out(), clock.nowUs()), () -> {});
            }
        }
    }

    /** Ends at once, whatever is held. */
    void shutdownNow() {
        if (cordonStore != null) {
            cordonStore.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Carries out what the module decides. */
    private final class ModuleActions implements Balancer.Actions {
        @Override
        public void send(String request, String upstream, long untilUs) {
            requests.send(request, upstream, untilUs);
        }

        @Override
        public void refuse(String request, long retryAfterUs) {
            requests.refuse(request, retryAfterUs);
        }

        @Override
        public void fail(String request) {
            requests.fail(request);
        }

        @Override
        public void cancel(String request, int attempt) {
            requests.cancel(request, attempt);
        }

        @Override
        public void probe(String upstream) {
            upstreams.start(new UpstreamCall(
                    upstream,
                    clock.nowUs() + PROBE_TIMEOUT_US,
                    true,
                    left -> probe(),
                    null,
                    (call, outcome, report, body) -> decisions.call(
                            m -> m.onProbe(clock.nowUs(), upstream, outcome, upstreams.tookUs(call), report),
                            () -> {})));
        }

        private static HttpRequest probe() {
            return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/stats");
        }

        @Override
        public void subscribe() {
            discovery.subscribe();
        }

        @Override
        public void tell(int peer, byte[] message) {
            peers.tell(peer, message);
        }

        @Override
        public void close(String upstream) {
            upstreams.close(upstream);
        }

        @Override
        public void timer(String mark, long delayUs) {
            loop.schedule(
                    () -> decisions.call(m -> m.onTimer(clock.nowUs(), mark), requests::failHeld),
                    delayUs,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void log(String text) {
            Log.info(text);
        }

        @Override
        public void evidence(String upstream, Balancer.Evidence kind, double factor) {
            if (fleetPlane != null) {
                fleetPlane.evidence(upstream, kind, factor);
            }
        }
    }
}

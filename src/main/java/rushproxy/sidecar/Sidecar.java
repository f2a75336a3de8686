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
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import rushproxy.Balancer;
import rushproxy.Balancer.ListKind;
import rushproxy.Policy;
import rushproxy.sidecar.operator.AdminCommandHandler;
import rushproxy.sidecar.operator.AdminServer;
import rushproxy.sidecar.operator.DrainState;
import rushproxy.sidecar.operator.MachineTime;
import rushproxy.sidecar.operator.OperatorState;
import rushproxy.sidecar.operator.OperatorStateStore;
import rushproxy.sidecar.operator.ProcessSignals;

/** A sidecar process: wires up the components, which all run on one event loop, and starts and stops them in order. */
public final class Sidecar implements ProcessSignals.Program {
    /** File descriptors not available to connections: about 15 files, listeners and selectors, and the admin connections. */
    private static final int RESERVED_DESCRIPTORS = 32 + AdminServer.MAX_CONNECTIONS;

    private static final int MIN_SOCKETS_PER_SIDE = 16;
    /** A probe response that takes longer no longer reflects the current state of the server. */
    private static final long PROBE_TIMEOUT_US = 50_000;

    private static final long HEARTBEAT_INTERVAL_MS = EventLoopDelay.HEARTBEAT_INTERVAL_US / 1000;
    private static final int HEARTBEATS_PER_REPORT = 100;
    /** Lag from which a warning is logged: the smallest margin kept between a response and its deadline. */
    private static final long MIN_REPORTED_LAG_US = 15_000;

    private static final long MIN_REPORTED_ACCEPT_PAUSE_MS = 20;

    private final Config config;
    private final ServerSocketChannel inheritedListener;
    private final BalancerFactory balancerFactory;
    private final Clock clock;
    private final EventLoopDelay loopDelay = new EventLoopDelay();
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final BalancerDispatcher decisions = new BalancerDispatcher();
    private final ConnectionMemory memory;
    private final UpstreamPool upstreams;
    private final Invariants invariants = new Invariants();
    private final RequestGuard guard;
    private final RequestCoordinator requests;
    private final StartTimes startTimes;
    /** The upstream list from the configuration, used until discovery delivers one. */
    private final UpstreamList knownUpstreams;

    private final Discovery discovery;
    private final ConfigReloader configReloader;
    private final Peers peers;
    /** Null if the fleet plane is disabled. */
    private final FleetPlane fleetPlane;

    private final ClientServer clients;
    /** Null if there is no admin address, without which there are no operators. */
    private final OperatorStateStore operatorStore;
    /** What is in force in this process. */
    private OperatorState operatorState = OperatorState.NONE;

    private InetSocketAddress listenAddress;
    /** Null if there is no admin address. */
    private InetSocketAddress adminAddress;

    private final ResponseDeadlines deadlines;
    private long maxLagUs;
    /** As of the last periodic report; null if the kernel does not provide them. */
    private ThreadSchedStats lastSchedStats;

    private long heartbeats;
    private boolean stopping;

    /** Creates the load balancer. It may use {@code actions} as soon as it exists. */
    interface BalancerFactory {
        Balancer create(Config config, long nowUs, Balancer.Actions actions);
    }

    /** {@code inheritedListener}: a listening socket passed in by the parent process; null if the sidecar opens its own. */
    Sidecar(
            Config config,
            Map<String, String> environment,
            ServerSocketChannel inheritedListener,
            BalancerFactory balancerFactory) {
        this(
                config,
                environment,
                inheritedListener,
                balancerFactory,
                new Clock(),
                handlers -> new MultiThreadIoEventLoopGroup(1, handlers));
    }

    /** {@code environment} is read again at a reload. {@code groupFactory} creates a group of one event loop, whose timers must use {@code clock}. */
    Sidecar(
            Config config,
            Map<String, String> environment,
            ServerSocketChannel inheritedListener,
            BalancerFactory balancerFactory,
            Clock clock,
            Function<IoHandlerFactory, EventLoopGroup> groupFactory) {
        this.clock = clock;
        group = groupFactory.apply(TimedIoHandler.wrap(SocketPolling.ioHandlerFactory(), clock, loopDelay));
        loop = group.next();
        this.config = config;
        this.inheritedListener = inheritedListener;
        this.balancerFactory = balancerFactory;
        Balancer.Settings settings = config.settings();
        memory = ConnectionMemory.of(planMemory(config), loop);
        // Idle connections come from clients, so their share is capped; upstreams may borrow what clients don't use.
        int availableSockets = Math.max(2 * MIN_SOCKETS_PER_SIDE, config.maxSockets() - RESERVED_DESCRIPTORS);
        int maxClientSockets = availableSockets - Math.max(MIN_SOCKETS_PER_SIDE, availableSockets / 4);
        StallAwareClock time = new StallAwareClock(clock, loopDelay);
        TaskGuard tasks = new TaskGuard(invariants);
        upstreams = new UpstreamPool(
                loop,
                time,
                settings.limits().connectionIdleUs(),
                UpstreamPool.REUSE_DELAY_US,
                config.dialTimeoutUs(),
                // One socket is always kept for the next client.
                () -> availableSockets - Math.min(maxClientSockets, clients().openCount() + 1),
                memory,
                tasks);
        guard = new RequestGuard(clock, settings.classes(), invariants);
        requests = new RequestCoordinator(
                loop, time, decisions, upstreams, guard, settings.limits().maxAttempts(), sharedTable(config), tasks);
        startTimes = new StartTimes(clock, System::currentTimeMillis);
        knownUpstreams = startTimes.fromInitialList(config.knownUpstreams());
        discovery = new Discovery(
                loop,
                clock,
                decisions,
                upstreams,
                startTimes,
                config.discovery(),
                config.knownUpstreams().generation(),
                settings.rules().discoveryRetryUs(),
                !settings.discoveryOnRequest());
        configReloader =
                new ConfigReloader(environment, address -> loop.execute(() -> discovery.changeAddress(address)));
        peers = new Peers(clock, decisions, config.peers(), config.allPeersAddress());
        fleetPlane = config.fleet().members()
                ? new FleetPlane(loop, clock, peers, decisions, config, upstreams::available)
                : null;
        if (fleetPlane != null) {
            requests.setAttemptListener(fleetPlane::attemptEnded);
        }
        operatorStore = config.adminAddress() == null
                ? null
                : new OperatorStateStore(
                        config.stateDirectory(),
                        settings.rules().rampTimeUs() / 1000,
                        state -> loop.execute(() -> applyOperatorState(state)));
        deadlines = new ResponseDeadlines(settings.classes(), loopDelay);
        clients = new ClientServer(
                loop,
                requests,
                settings.classes(),
                upstreams::hasAvailable,
                new ClientConnectionLimiter(
                        loop,
                        clock,
                        () -> Math.min(maxClientSockets, availableSockets - upstreams.openConnections()),
                        () -> clients().openCount() < maxClientSockets && upstreams.closeOldestIdle()),
                new ConnectionServices(clock, memory, loopDelay, deadlines, guard, tasks));
    }

    /** Runs a sidecar until a signal stops the process. Returns an exit code only if startup fails. */
    public static int serve(Map<String, String> environment) throws InterruptedException {
        // Installed first: without handlers the JVM exits on these signals, and a reload signal during startup must
        // not be lost.
        ProcessSignals signals = new ProcessSignals();
        boolean canReload = signals.installHandlers();
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
        MemoryPlan plan = planMemory(config);
        if (!plan.fitsLimit()) {
            Log.warn("memory_mb allows this process " + (plan.limitBytes() >> 20) + " MB, but it may take "
                    + plan.leastLimitMb() + " MB");
        }
        Sidecar sidecar;
        try {
            ServerSocketChannel inheritedListener = config.inheritsListener() ? InheritedListener.open() : null;
            sidecar = new Sidecar(
                    config,
                    environment,
                    inheritedListener,
                    (c, nowUs, actions) -> new Policy(c.settings(), c.seed(), nowUs, actions));
            // Before the listeners open, so that no health check succeeds early.
            sidecar.clients.markNotReady();
            EventLoopWatchdog.start(sidecar.loop, Sidecar::haltAfterLoopExit);
            sidecar.start();
        } catch (Exception e) {
            Log.event(Log.Level.ERROR, "failed to start: " + e);
            Log.flush();
            return 1;
        }
        if (!canReload) {
            Log.warn("was started with SIGHUP ignored: configuration reload is disabled");
        }
        signals.programStarted(sidecar);
        sidecar.warmUp();
        Log.info(config.name() + " serves on " + sidecar.listenAddress());
        new CountDownLatch(1).await();
        return 0;
    }

    /** A process that inherits its listener may be the second of two, which share the limit. */
    private static MemoryPlan planMemory(Config config) {
        return MemoryPlan.of(
                config.memoryMb(),
                config.inheritsListener() ? 2 : 1,
                Runtime.getRuntime().maxMemory());
    }

    /** Only a process that inherits its listener may serve beside another one of the same sidecar. */
    private static SharedRequestTable sharedTable(Config config) {
        return config.inheritsListener() && config.stateDirectory() != null
                ? SharedRequestTable.openOrNone(config.stateDirectory())
                : SharedRequestTable.none();
    }

    /** Ends a process whose event loop has died, so that its supervisor restarts it. */
    private static void haltAfterLoopExit() {
        try {
            Log.event(Log.Level.ERROR, "the event loop thread has died, halting the process");
            Log.flush();
        } finally {
            Runtime.getRuntime().halt(1);
        }
    }

    /** Reloads the configuration file, also in the other process of an upgrade. */
    @Override
    public void reload() {
        if (operatorStore == null) {
            configReloader.reloadAsync();
            return;
        }
        operatorStore.recordReload(error -> {
            if (error != null) {
                configReloader.reloadAsync();
            }
        });
    }

    void start() throws InterruptedException {
        // If the selector's wake-up descriptor could not be registered, a loop without timers would never run the
        // tasks submitted to it.
        Future<?> wakeUps = PeriodicTask.scheduleEvery(loop, HEARTBEAT_INTERVAL_MS, () -> {});
        upstreams.update(knownUpstreams);
        loop.submit(() -> decisions.start(
                        actions -> {
                            Balancer balancer = balancerFactory.create(config, clock.nowUs(), actions);
                            balancer.onUpstreamList(
                                    clock.nowUs(),
                                    ListKind.CACHED,
                                    knownUpstreams.entries().stream()
                                            .map(UpstreamList.Entry::upstream)
                                            .toList());
                            return balancer;
                        },
                        new ModuleActions()))
                .sync();
        // Before any listener opens, so that a drained sidecar is never reported as ready.
        if (operatorStore != null) {
            operatorStore.start();
        }
        loop.execute(discovery::start);
        if (config.peerListenAddress() != null) {
            peers.listen(loop, config.peerListenAddress());
        }
        if (fleetPlane != null) {
            loop.execute(fleetPlane::start);
        }
        if (inheritedListener == null) {
            listenAddress = clients.listen(config.listen());
        } else {
            // A private port for the warm-up: a connection to the shared address could reach the other process.
            listenAddress = clients.listen(new InetSocketAddress(config.listen().getAddress(), 0));
        }
        clients.start();
        if (config.adminAddress() != null) {
            AdminCommandHandler operatorCalls = new AdminCommandHandler(
                    loop,
                    clients::acceptsClients,
                    upstreams::isListed,
                    fleetPlane,
                    operatorStore,
                    id -> operatorState.cordons().containsKey(id));
            adminAddress = new AdminServer(loop, operatorCalls).listen(config.adminAddress());
        }
        PeriodicTask.scheduleEvery(loop, HEARTBEAT_INTERVAL_MS, this::onHeartbeat);
        wakeUps.cancel(false);
    }

    /** Measures how late the event loop runs (CPU shortage, GC pause, blocking code), since that delays every response. */
    private void onHeartbeat() {
        long nowUs = clock.nowUs();
        long lagUs = loopDelay.heartbeatLagUs(nowUs);
        maxLagUs = Math.max(maxLagUs, lagUs);
        // The loop iteration in progress is recorded only when it ends.
        loopDelay.recordDelay(nowUs, lagUs);
        if (loopDelay.recentDelayUs() >= RequestCoordinator.MIN_DEADLINE_CHANGE_US) {
            requests.tightenDeadlines(deadlines);
        }
        if (lagUs < EventLoopDelay.STALL_THRESHOLD_US) {
            loopDelay.recordHeartbeat(nowUs);
        } else {
            // Data that arrived during the stall is read only now: the stall lasts until the sockets were polled again.
            loop.schedule(
                    () -> loopDelay.recordHeartbeat(clock.nowUs()),
                    EventLoopDelay.EXTRA_POLL_DELAY_MS,
                    TimeUnit.MILLISECONDS);
        }
        if (++heartbeats % HEARTBEATS_PER_REPORT == 0) {
            reportUnansweredConnections();
            reportAcceptPauses();
            requests.reportStats((summary, fields) -> Log.event(
                    Log.Level.INFO,
                    "in " + HEARTBEATS_PER_REPORT * HEARTBEAT_INTERVAL_MS / 1000 + " s " + summary + "; "
                            + describeConnections() + "; " + describeMemory() + describeInvariantViolations(),
                    fields));
            reportLag();
        }
    }

    /** Run time and run queue wait show whether the delay came from this process or from a lack of CPU. */
    private void reportLag() {
        ThreadSchedStats before = lastSchedStats;
        lastSchedStats = ThreadSchedStats.ofCurrentThread().orElse(null);
        if (maxLagUs >= MIN_REPORTED_LAG_US) {
            String text = "the event loop was late by up to " + maxLagUs / 1000 + " ms in "
                    + HEARTBEATS_PER_REPORT * HEARTBEAT_INTERVAL_MS / 1000 + " s";
            if (before == null || lastSchedStats == null) {
                Log.event(Log.Level.WARN, text, "late_ms", maxLagUs / 1000);
            } else {
                ThreadSchedStats since = lastSchedStats.since(before);
                Log.event(
                        Log.Level.WARN,
                        text + "; its thread ran for " + since.cpuMs() + " ms and was runnable without a CPU for "
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
        Map<String, Integer> countsByReason = clients.takeUnansweredCounts();
        if (!countsByReason.isEmpty()) {
            Log.event(
                    Log.Level.WARN,
                    "in " + HEARTBEATS_PER_REPORT * HEARTBEAT_INTERVAL_MS / 1000
                            + " s client connections were closed without a response: " + countsByReason,
                    "unanswered",
                    countsByReason);
        }
    }

    /** Warms up the JVM before the readiness check of {@link ClientServer} succeeds, and takes over an inherited listener. */
    void warmUp() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        long startUs = clock.nowUs();
        loop.execute(() -> {
            WarmUp warmUp = new WarmUp(loop, clock, config.settings());
            clients.beginWarmUp(warmUp);
            warmUp.start(listenAddress, () -> {
                Log.info("warm-up served " + warmUp.successCount() + " requests in " + (clock.nowUs() - startUs) / 1_000
                        + " ms");
                done.countDown();
            });
        });
        done.await();
        if (inheritedListener != null) {
            clients.closeListener();
            clients.acceptFrom(inheritedListener);
            listenAddress = config.listen();
        }
        // Ready only after discovery's first response, so that the first clients are served from a current list.
        loop.execute(() -> discovery.whenFirstPollCompletes(() -> {
            if (fleetPlane == null) {
                clients.finishWarmUp();
            } else {
                fleetPlane.whenWarmStartEnds(clients::finishWarmUp);
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

    /** Stops gracefully. {@code stopped} runs once all accepted requests are answered and all connections are closed. */
    @Override
    public void stop(Runnable stopped) {
        // Taken here and not on the loop: the time until SIGKILL runs from the signal, even if the loop is late.
        long stopRequestedUs = clock.nowUs();
        loop.execute(() -> {
            // A second call must not restart the shutdown deadline.
            if (stopping) {
                return;
            }
            stopping = true;
            Log.info("is to leave; " + describeConnections());
            if (fleetPlane != null) {
                fleetPlane.leave();
            }
            clients.stop(stopRequestedUs, () -> {
                long afterMs = (clock.nowUs() - stopRequestedUs) / 1000;
                Log.event(Log.Level.INFO, "leaves after " + afterMs + " ms", "after_ms", afterMs);
                stopped.run();
            });
        });
    }

    ClientServer clients() {
        return clients;
    }

    RequestCoordinator requests() {
        return requests;
    }

    Invariants invariants() {
        return invariants;
    }

    private String describeInvariantViolations() {
        return invariants.total() == 0 ? "" : "; broken invariants " + invariants.counts();
    }

    private String describeConnections() {
        return clients.openCount() + " of " + clients.limit() + " connections of clients"
                + describe(clients.countByPhase()) + ", " + upstreams.openConnections() + " to upstreams";
    }

    private String describeMemory() {
        return "memory of heads " + memory.heads().describeUse() + ", of bodies "
                + memory.bodies().describeUse() + ", " + memory.streams().count() + " streams; "
                + MemoryUsage.describe();
    }

    private static String describe(Map<ClientPhase, Integer> phases) {
        String text = phases.entrySet().stream()
                .map(entry -> entry.getValue() + " " + entry.getKey().text())
                .collect(Collectors.joining(", "));
        return text.isEmpty() ? "" : " (" + text + ")";
    }

    private void reportAcceptPauses() {
        AcceptPauseStats pauses = clients.acceptPauses();
        long pausedMs = pauses.totalUs() / 1000;
        if (pausedMs >= MIN_REPORTED_ACCEPT_PAUSE_MS) {
            Log.event(
                    Log.Level.WARN,
                    "in " + HEARTBEATS_PER_REPORT * HEARTBEAT_INTERVAL_MS / 1000
                            + " s no client connection was accepted for " + pausedMs + " ms"
                            + describe(pauses.phases()),
                    "accept_pause_ms",
                    pausedMs);
        }
        pauses.reset();
    }

    /** Carries out what operators have requested, here or at the other process during an upgrade. */
    private void applyOperatorState(OperatorState requested) {
        OperatorState previous = operatorState;
        operatorState = requested;
        if (!requested.drain().equals(previous.drain())) {
            applyDrain(requested.drain(), previous.drain().isDrained());
        }
        if (!requested.reloadedAt().equals(previous.reloadedAt())) {
            configReloader.reloadAsync();
        }
        requested.cordons().forEach((upstream, cordon) -> {
            if (!cordon.equals(previous.cordons().get(upstream))) {
                applyCordon(upstream, cordon.isCordoned());
            }
        });
    }

    private void applyDrain(DrainState drain, boolean wasDrained) {
        if (drain.isDrained()) {
            OptionalLong ageNanos = drain.ageNanos(MachineTime.now());
            long ageUs = ageNanos.isPresent() ? ageNanos.getAsLong() / 1_000 : ClientDrain.completeAgeUs();
            Log.info("draining: requested by an operator"
                    + (ageNanos.isPresent() ? " " + ageUs / 1_000 + " ms ago" : " at an unknown time"));
            clients.drain(ageUs);
        } else if (wasDrained) {
            Log.info("accepting clients again: "
                    + (drain.equals(DrainState.NEVER) ? "no drain was requested" : "requested by an operator"));
            clients.resume();
        }
    }

    private void applyCordon(String upstream, boolean isCordoned) {
        Log.event(
                Log.Level.INFO,
                (isCordoned ? "cordoned " : "uncordoned ") + upstream + " by operator request",
                "upstream",
                upstream,
                "out",
                isCordoned);
        upstreams.setCordoned(upstream, isCordoned);
        // Uses the current time, since the wall clock that stamped the command may have been stepped since.
        decisions.call(m -> m.onCordon(clock.nowUs(), upstream, isCordoned, clock.nowUs()), () -> {});
    }

    /** Closes everything at once, including requests in progress. */
    void shutdownNow() {
        if (operatorStore != null) {
            operatorStore.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Carries out the load balancer's decisions. */
    private final class ModuleActions implements Balancer.Actions {
        @Override
        public void send(String request, String upstream, long attemptUntilUs) {
            requests.send(request, upstream, attemptUntilUs);
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
                    left -> probeRequest(),
                    null,
                    (call, outcome, report, body) -> decisions.call(
                            m -> m.onProbeResult(clock.nowUs(), upstream, outcome, upstreams.latencyUs(call), report),
                            () -> {})));
        }

        private static HttpRequest probeRequest() {
            return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/stats");
        }

        @Override
        public void subscribe() {
            discovery.subscribe();
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            peers.send(peer, message);
        }

        @Override
        public void closeIdleConnections(String upstream) {
            upstreams.closeIdle(upstream);
        }

        @Override
        public void startTimer(String mark, long delayUs) {
            loop.schedule(
                    () -> decisions.call(m -> m.onTimer(clock.nowUs(), mark), requests::failPending),
                    delayUs,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void log(String text) {
            Log.info(text);
        }

        @Override
        public void reportEvidence(String upstream, Balancer.Evidence kind, double factor) {
            if (fleetPlane != null) {
                fleetPlane.reportEvidence(upstream, kind, factor);
            }
        }
    }
}

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
    private static final int OWN_DESCRIPTORS = 32 + AdminServer.MAX_CONNECTIONS;

    private static final int LEAST_PER_SIDE = 16;
    /** A sixteenth of the memory may hold bodies and answers: the runtime's own parts take a third and more. */
    private static final int KEPT_SHIFT = 4;
    /** An answer to a probe that takes longer tells nothing of now. */
    private static final long PROBE_US = 50_000;

    private static final long BEAT_MS = LoopDelay.BEAT_US / 1000;
    private static final int BEATS = 100;
    /** A lag worth a line in the log: more than the margin by which answers precede their deadlines. */
    private static final long LAG_US = 15_000;

    private final Config config;
    private final ServerSocketChannel inherited;
    private final Module module;
    private final Clock clock;
    private final LoopDelay loopDelay = new LoopDelay();
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Decisions decisions = new Decisions();
    private final UpstreamPool upstreams;
    private final Invariants invariants = new Invariants();
    private final RequestGuard guard;
    private final Requests requests;
    private final StartTimes starts;
    /** The list that the process was started with. */
    private final UpstreamList known;

    private final Discovery discovery;
    private final Reload reload;
    private final Peers peers;
    /** Null where no part of it is on. */
    private final FleetPlane fleet;

    private final ClientServer clients;
    /** Null where no second address is named: nobody could call anything out, or back. */
    private final CordonStore cordons;

    private Map<String, CordonStore.CordonState> marks = Map.of();
    private InetSocketAddress listening;
    /** Null where no second address is named. */
    private InetSocketAddress administered;

    private final AnswerDeadlines deadlines;
    private long worstLagUs;
    /** At the last line of the log; null where the kernel does not tell. */
    private ThreadFigures figures;

    private long beats;
    private boolean leaving;

    /** Makes the module that decides; its actions may be used from then on. */
    interface Module {
        Balancer create(Config config, long now, Balancer.Actions actions);
    }

    /** {@code inherited} listens for clients already; null where the sidecar is to listen itself. */
    Sidecar(Config config, ServerSocketChannel inherited, Module module) {
        this(config, inherited, module, new Clock(), handlers -> new MultiThreadIoEventLoopGroup(1, handlers));
    }

    /** {@code loops} makes a group of one loop, whose timers go by {@code clock}. */
    Sidecar(
            Config config,
            ServerSocketChannel inherited,
            Module module,
            Clock clock,
            Function<IoHandlerFactory, EventLoopGroup> loops) {
        this.clock = clock;
        group = loops.apply(TimedIoHandler.factory(SocketLook.handlers(), clock, loopDelay));
        loop = group.next();
        this.config = config;
        this.inherited = inherited;
        this.module = module;
        Balancer.Settings settings = config.settings();
        Budget budget = new Budget((long) config.memoryMb() << 20 >> KEPT_SHIFT);
        // Those who only come to stay are on the clients' side. What that does not use upstreams may have.
        int free = Math.max(2 * LEAST_PER_SIDE, config.sockets() - OWN_DESCRIPTORS);
        int ofClients = free - Math.max(LEAST_PER_SIDE, free / 4);
        RunningTime time = new RunningTime(clock, loopDelay);
        upstreams = new UpstreamPool(
                loop,
                time,
                settings.limits().connIdleUs(),
                UpstreamPool.REUSE_DELAY_US,
                config.dialTimeoutUs(),
                // A place for the next client is none of those that clients do not use.
                () -> free - Math.min(ofClients, clients().open() + 1),
                budget);
        guard = new RequestGuard(clock, settings.classes(), invariants);
        requests = new Requests(
                loop, time, decisions, upstreams, guard, settings.limits().maxAttempts());
        starts = new StartTimes(clock, System::currentTimeMillis);
        known = starts.fromInitialList(config.known());
        discovery = new Discovery(
                loop,
                clock,
                decisions,
                upstreams,
                starts,
                config.discovery(),
                config.known().generation(),
                settings.rules().askEveryUs(),
                !settings.discoveryOnRequest());
        reload = new Reload(address -> loop.execute(() -> discovery.changeAddress(address)));
        peers = new Peers(clock, decisions, config.peers(), config.peersAll());
        fleet = config.fleet().members()
                ? new FleetPlane(loop, clock, peers, decisions, config, upstreams::available)
                : null;
        if (fleet != null) {
            requests.watch(fleet::attemptEnded);
        }
        cordons = config.admin() == null
                ? null
                : new CordonStore(
                        config.kept(), settings.rules().rampUs() / 1000, now -> loop.execute(() -> mark(now)));
        deadlines = new AnswerDeadlines(settings.classes(), loopDelay);
        clients = new ClientServer(
                loop,
                clock,
                requests,
                settings.classes(),
                upstreams::hasAvailable,
                new ClientPlaces(
                        loop,
                        () -> Math.min(ofClients, free - upstreams.openConnections()),
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
        boolean reloads = signals.take();
        Config config;
        try {
            config = Config.read(environment);
        } catch (Config.Broken e) {
            Log.event(Log.Level.ERROR, e.getMessage());
            Log.writeLastLines();
            return 2;
        }
        Log.style(config.log());
        TcpInfo.load();
        Sidecar sidecar;
        try {
            ServerSocketChannel inherited = config.inherits() ? InheritedListener.open() : null;
            sidecar = new Sidecar(
                    config, inherited, (c, now, actions) -> new Policy(c.settings(), c.seed(), now, actions));
            // Before anybody can ask.
            sidecar.clients.notReady();
            LoopWatch.begin(sidecar.loop, Sidecar::endWithoutLoop);
            sidecar.start();
        } catch (Exception e) {
            Log.event(Log.Level.ERROR, "can't start: " + e);
            Log.writeLastLines();
            return 1;
        }
        if (!reloads) {
            Log.warn("was started with SIGHUP ignored: it will not reload");
        }
        signals.started(sidecar);
        sidecar.warmUp();
        Log.line(config.name() + " serves on " + sidecar.listening());
        new CountDownLatch(1).await();
        return 0;
    }

    /** Whoever supervises the process starts another. */
    private static void endWithoutLoop() {
        try {
            Log.event(Log.Level.ERROR, "the event loop has ended, and the process with it");
            Log.writeLastLines();
        } finally {
            Runtime.getRuntime().halt(1);
        }
    }

    /** The configuration file was replaced. */
    void reload(Map<String, String> environment) {
        reload.begin(environment);
    }

    void start() throws InterruptedException {
        // Where the selector's own wake-up could not be registered, a loop without timers would never see what is
        // handed to it.
        Future<?> wakes = Recurring.every(loop, BEAT_MS, () -> {});
        upstreams.update(known);
        loop.submit(() -> decisions.start(
                        actions -> {
                            Balancer made = module.create(config, clock.now(), actions);
                            made.onList(
                                    clock.now(),
                                    ListKind.CACHED,
                                    known.entries().stream()
                                            .map(UpstreamList.Entry::upstream)
                                            .toList());
                            return made;
                        },
                        new Hands()))
                .sync();
        if (cordons != null) {
            cordons.start();
        }
        loop.execute(discovery::start);
        if (config.peerListen() != null) {
            peers.listen(loop, config.peerListen());
        }
        if (fleet != null) {
            loop.execute(fleet::start);
        }
        if (inherited == null) {
            listening = clients.listen(config.listen());
        } else {
            // Until it has warmed up: a call to the shared address could land in the other process.
            listening = clients.listen(new InetSocketAddress(config.listen().getAddress(), 0));
        }
        clients.start();
        if (config.admin() != null) {
            AdminCommandHandler calls =
                    new AdminCommandHandler(loop, clients, upstreams, fleet, cordons, id -> marks.containsKey(id));
            administered = new AdminServer(loop, calls).listen(config.admin());
        }
        Recurring.every(loop, BEAT_MS, this::beat);
        wakes.cancel(false);
    }

    /** What makes the event loop late makes every answer late: too little of the core, a pause, or a fault here. */
    private void beat() {
        long now = clock.now();
        long behindUs = loopDelay.behindUs(now);
        worstLagUs = Math.max(worstLagUs, behindUs);
        // The turn that this beat is part of is told only when it is over.
        loopDelay.delayed(now, behindUs);
        if (loopDelay.recentUs() >= Requests.LEAST_GAIN_US) {
            requests.tighten(deadlines);
        }
        if (behindUs < LoopDelay.LATE_US) {
            loopDelay.beat(now);
        } else {
            // What lay in the sockets meanwhile is read only now, and is as old as the hold-up.
            loop.schedule(() -> loopDelay.beat(clock.now()), LoopDelay.LOOK_MS, TimeUnit.MILLISECONDS);
        }
        if (++beats % BEATS == 0) {
            tellUnanswered();
            requests.tally((words, fields) -> Log.event(
                    Log.Level.INFO, "in " + BEATS * BEAT_MS / 1000 + " s " + words + "; " + held() + broken(), fields));
            tellLag();
        }
    }

    /** Whether it worked then or waited for a processor says whose the delay was. */
    private void tellLag() {
        ThreadFigures before = figures;
        figures = ThreadFigures.ofCallingThread().orElse(null);
        if (worstLagUs >= LAG_US) {
            String words =
                    "the event loop was late by up to " + worstLagUs / 1000 + " ms in " + BEATS * BEAT_MS / 1000 + " s";
            if (before == null || figures == null) {
                Log.event(Log.Level.WARN, words, "late_ms", worstLagUs / 1000);
            } else {
                ThreadFigures since = figures.since(before);
                Log.event(
                        Log.Level.WARN,
                        words + ", in which it ran for " + since.ranMs() + " ms and waited for a processor for "
                                + since.waitedMs() + " ms",
                        "late_ms",
                        worstLagUs / 1000,
                        "ran_ms",
                        since.ranMs(),
                        "waited_ms",
                        since.waitedMs());
            }
        }
        worstLagUs = 0;
    }

    private void tellUnanswered() {
        Map<String, Integer> ends = clients.unansweredSinceLast();
        if (!ends.isEmpty()) {
            Log.event(
                    Log.Level.WARN,
                    "in " + BEATS * BEAT_MS / 1000 + " s clients' connections ended with no answer: " + ends,
                    "unanswered",
                    ends);
        }
    }

    /** Readies the program's own code before {@link ClientServer} tells the application that it may come. */
    void warmUp() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        long sinceUs = clock.now();
        loop.execute(() -> {
            WarmUp warmUp = new WarmUp(loop, clock, config.settings());
            clients.warmsUp(warmUp);
            warmUp.begin(listening, () -> {
                Log.line("warmed up with " + warmUp.served() + " requests in " + (clock.now() - sinceUs) / 1_000
                        + " ms");
                done.countDown();
            });
        });
        done.await();
        if (inherited != null) {
            clients.closeListener();
            clients.take(inherited);
            listening = config.listen();
        }
        // What discovery has counts as told from the first moment: its first answer goes before the first client.
        loop.execute(() -> discovery.whenFirstPollCompletes(() -> {
            if (fleet == null) {
                clients.warm();
            } else {
                fleet.whenWarmStartEnds(clients::warm);
            }
        }));
    }

    EventLoop loop() {
        return loop;
    }

    InetSocketAddress listening() {
        return listening;
    }

    InetSocketAddress administered() {
        return administered;
    }

    /** {@code stopped} runs when all that was taken has been answered and all connections are closed. */
    void stop(Runnable stopped) {
        // The kill is counted from the signal, however late the loop comes to it.
        long sinceUs = clock.now();
        loop.execute(() -> {
            // Told again it changes nothing: the time runs from the first call.
            if (leaving) {
                return;
            }
            leaving = true;
            Log.line("is to leave; " + held());
            if (fleet != null) {
                fleet.leave();
            }
            clients.stop(sinceUs, () -> {
                long afterMs = (clock.now() - sinceUs) / 1000;
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

    private String broken() {
        return invariants.total() == 0 ? "" : "; broken invariants " + invariants.counts();
    }

    private String held() {
        return clients.open() + " of " + clients.limit() + " connections of clients, " + upstreams.openConnections()
                + " to upstreams";
    }

    /** The operators have called upstreams out or back, here or at the other process of an upgrade. */
    private void mark(Map<String, CordonStore.CordonState> now) {
        Map<String, CordonStore.CordonState> before = marks;
        marks = now;
        for (Map.Entry<String, CordonStore.CordonState> e : now.entrySet()) {
            CordonStore.CordonState mark = e.getValue();
            if (!mark.equals(before.get(e.getKey()))) {
                Log.event(
                        Log.Level.INFO,
                        (mark.isCordoned() ? "leaves out " : "has back ") + e.getKey() + ", as the operators ask",
                        "upstream",
                        e.getKey(),
                        "out",
                        mark.isCordoned());
                upstreams.setCordoned(e.getKey(), mark.isCordoned());
                // Told here, it is news of now: the wall clock by which the mark was written may have been stepped
                // since.
                decisions.call(m -> m.onCordon(clock.now(), e.getKey(), mark.isCordoned(), clock.now()), () -> {});
            }
        }
    }

    /** Ends at once, whatever is held. */
    void end() {
        if (cordons != null) {
            cordons.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Carries out what the module decides. */
    private final class Hands implements Balancer.Actions {
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
                    clock.now() + PROBE_US,
                    true,
                    left -> probe(),
                    null,
                    (call, outcome, report, body) -> decisions.call(
                            m -> m.onProbe(clock.now(), upstream, outcome, upstreams.latencyUs(call), report),
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
            peers.send(peer, message);
        }

        @Override
        public void close(String upstream) {
            upstreams.closeIdle(upstream);
        }

        @Override
        public void timer(String mark, long delayUs) {
            loop.schedule(
                    () -> decisions.call(m -> m.onTimer(clock.now(), mark), requests::failHeld),
                    delayUs,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void log(String text) {
            Log.line(text);
        }

        @Override
        public void evidence(String upstream, Balancer.Evidence kind, double factor) {
            if (fleet != null) {
                fleet.reportEvidence(upstream, kind, factor);
            }
        }
    }
}

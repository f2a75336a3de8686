package rushproxy.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import rushproxy.Balancer.RequestClass;

/**
 * The application's side: listens, and says goodbye without losing what clients have sent. It goodbyes in two ways: a
 * drain, which can be taken back and leaves the process as it is, and the stop, after which the process ends.
 */
final class ClientServer {
    /** The application opens connections for this long after the stop has been asked for, and a little longer. */
    private static final long MIN_SERVE_AFTER_STOP_US = 600_000;
    /** The end that is not asked for comes this long after the stop, and the longest deadline or this, no earlier. */
    private static final long KILL_MARGIN_US = 700_000;

    private static final long MAX_KILL_DELAY_US = 3_000_000;
    /** Before it: answers end their connections, nothing is left that could bring a request, all is answered, the end. */
    private static final long CLOSE_IDLE_BEFORE_KILL_US = 800_000;

    private static final long CLOSE_ALL_BEFORE_KILL_US = 450_000;
    /** A hold-up of the loop of 0.15 s just then must still leave time for the answers, and for the end. */
    private static final long RESPONSES_DUE_BEFORE_KILL_US = 250_000;

    private static final long INPUT_ENDS_BEFORE_KILL_US = 180_000;
    private static final long EXIT_BEFORE_KILL_US = 100_000;
    /** Where the end that is not asked for does not come, an answer that still flows is waited for so much longer. */
    private static final long MAX_STAY_AFTER_KILL_US = 20_000_000;
    /** A connection this young or this busy may have a request on its way. */
    private static final long STOP_IDLE_US = 150_000;
    /** A request that crosses such a close is sent once more, on a new connection: it is still listened for. */
    private static final long RECONNECT_WAIT_US = 150_000;

    private static final long CHECK_INTERVAL_MS = 20;

    /** After the call to drain the front comes for some tenths of a second; then what has been quiet for long may go. */
    private static final long DRAIN_CLOSE_IDLE_AFTER_US = 600_000;

    private static final long DRAIN_IDLE_US = 500_000;
    /** At 4 s no connection may be idle or hold a request younger than 2 s: from here on none is left to bring one. */
    private static final long DRAIN_CLOSE_ALL_AFTER_US = 1_600_000;

    private static final long DRAIN_RESPONSES_DUE_US = 3_700_000;
    private static final long DRAIN_CLOSED_BY_US = 3_900_000;

    /** A peer that has sent nothing, or not the rest of a request, for this long gets a close: due within 3 s. */
    private static final long REQUEST_TIMEOUT_US = 2_500_000;
    /** A new one's time runs from its connection; the looks come late by up to their interval. */
    private static final long FIRST_REQUEST_TIMEOUT_US = 2_700_000;

    private static final long SWEEP_INTERVAL_MS = 200;
    /** A connection that could not be accepted is tried again after this. */
    private static final long ACCEPT_RETRY_MS = 10;

    private final EventLoop loop;
    private final RequestCoordinator coordinator;
    private final Clock clock;
    private final Set<String> classes;
    private final BooleanSupplier canServe;

    private final MemoryBudget memoryBudget;
    private final LoopDelay loopDelay;
    private final ResponseDeadlines deadlines;
    private final RequestGuard guard;
    /** No client waits longer than this for an answer. */
    private final long longestDeadlineUs;

    private final ClientConnectionLimiter limiter;
    private final UnansweredConnectionStats unansweredStats = new UnansweredConnectionStats();
    private Channel listener;
    /** The listener is another's too: leaving it is not closing it. */
    private boolean sharedListener;
    /** When the stop was asked for; 0 before. */
    private long stopRequestedUs;

    private long killUs;
    private long lastAcceptUs;
    /** When the stop last closed a connection between requests. */
    private long lastIdleCloseUs;
    /** The stop has ended all that could still bring a request. */
    private boolean inputEnded;

    private boolean notReady;
    /** Null where nothing warms up. */
    private WarmUp warmUp;
    /** The last that knocked could not be let in. */
    private boolean acceptFailing;
    /** When the drain was asked for; 0 while there is none. */
    private long drainRequestedUs;

    private boolean drainCheckScheduled;

    ClientServer(
            EventLoop loop,
            Clock clock,
            RequestCoordinator requests,
            List<RequestClass> classes,
            BooleanSupplier canServe,
            ClientConnectionLimiter places,
            MemoryBudget budget,
            LoopDelay loopDelay,
            ResponseDeadlines deadlines,
            RequestGuard guard) {
        this.loop = loop;
        this.clock = clock;
        this.coordinator = requests;
        this.classes = classes.stream().map(RequestClass::name).collect(Collectors.toSet());
        longestDeadlineUs =
                classes.stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
        this.canServe = canServe;
        this.limiter = places;
        this.memoryBudget = budget;
        this.loopDelay = loopDelay;
        this.deadlines = deadlines;
        this.guard = guard;
    }

    InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        listener = ListenerBinder.bind(() -> newBootstrap().channelFactory(TcpListener::new), address);
        return (InetSocketAddress) listener.localAddress();
    }

    /** Takes clients from a socket that listens already, and that others may take them from too. */
    void acceptFrom(ServerSocketChannel socket) throws InterruptedException {
        loop.submit(() -> {
                    // A stop that came during the warm-up has left them to the others.
                    if (stopRequestedUs == 0) {
                        sharedListener = true;
                        listener = newBootstrap()
                                .channelFactory(() -> new TcpListener(socket))
                                .register()
                                .channel();
                    }
                })
                .sync();
    }

    /** No more clients from where they were taken until now. */
    void closeListener() throws InterruptedException {
        listener.close().sync();
    }

    void start() {
        Recurring.every(loop, SWEEP_INTERVAL_MS, this::closeTimedOut);
    }

    private ServerBootstrap newBootstrap() {
        return Window.on(new ServerBootstrap())
                .group(loop)
                .option(ChannelOption.SO_BACKLOG, 256)
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object accepted) {
                        unansweredStats.watch(Window.sized((TcpConnection) accepted));
                        ctx.fireChannelRead(accepted);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        onAcceptFailed(ctx.channel(), cause);
                    }
                })
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        onAccepted((TcpConnection) channel);
                    }
                });
    }

    /** For want of descriptors, or since a client has gone again: the others wait in the backlog for a moment. */
    private void onAcceptFailed(Channel from, Throwable cause) {
        from.config().setAutoRead(false);
        loop.schedule(() -> from.config().setAutoRead(canAccept()), ACCEPT_RETRY_MS, TimeUnit.MILLISECONDS);
        if (!acceptFailing) {
            acceptFailing = true;
            Log.warn("clients can't be let in: " + cause.getMessage());
        }
    }

    private void onAccepted(TcpConnection channel) {
        acceptFailing = false;
        lastAcceptUs = clock.now();
        ClientConnection connection =
                new ClientConnection(channel, clock, classes, this, memoryBudget, loopDelay, deadlines, guard);
        // The listener as the connection knows it: the first one may come before the bind has been told here.
        ChannelConfig accepting = channel.parent().config();
        limiter.add(connection);
        channel.closeFuture().addListener(f -> {
            limiter.remove(connection);
            accepting.setAutoRead(canAccept());
        });
        limiter.evictUntilSlotFree();
        // Beyond the limit they wait in the backlog: descriptors are needed for upstreams too.
        accepting.setAutoRead(canAccept());
        channel.pipeline().addLast(connection.input(), new RequestDecoder(), new HttpResponseEncoder(), connection);
    }

    /** When every connection has to be closed, whatever is still waited for. */
    long closeDeadlineUs() {
        if (stopRequestedUs > 0) {
            return killUs + MAX_STAY_AFTER_KILL_US;
        }
        return drainRequestedUs > 0 ? Math.max(clock.now(), drainRequestedUs + DRAIN_CLOSED_BY_US) : Long.MAX_VALUE;
    }

    private boolean canAccept() {
        return limiter.hasFreeSlot() && !inputEnded;
    }

    private void closeTimedOut() {
        long now = clock.now();
        // The limit follows what upstreams take: by now it may leave no place, or one.
        limiter.evictUntilSlotFree();
        listener.config().setAutoRead(canAccept());
        for (ClientConnection c : limiter.all()) {
            c.closeIfTimedOut(now, REQUEST_TIMEOUT_US, FIRST_REQUEST_TIMEOUT_US);
        }
    }

    /** Not ready until {@link #finishWarmUp}. */
    void markNotReady() {
        notReady = true;
    }

    /** As {@link #markNotReady}; requests of the warm-up are served meanwhile. */
    void beginWarmUp(WarmUp by) {
        notReady = true;
        warmUp = by;
    }

    void finishWarmUp() {
        notReady = false;
        warmUp = null;
    }

    /** Where this request is carried through its attempts. */
    RequestCoordinator coordinatorFor(HttpRequest message) {
        return warmUp != null && warmUp.owns(message) ? warmUp.requests() : coordinator;
    }

    boolean isWarmUpAttempt(HttpRequest message) {
        return warmUp != null && warmUp.isAttempt(message);
    }

    /** Connections that ended with no answer by this program's doing or this machine's, since the last call. */
    Map<String, Integer> takeUnansweredCounts() {
        return unansweredStats.takeCounts();
    }

    /** Those that are open now, in no order. */
    Set<ClientConnection> connections() {
        return limiter.all();
    }

    int openCount() {
        return limiter.openCount();
    }

    /** As many may be open now. */
    int limit() {
        return limiter.limit();
    }

    /** Its output has ended, and its client's end is waited for. */
    void addLingering(ClientConnection connection) {
        limiter.addLingering(connection);
    }

    TcpListener listener() {
        return (TcpListener) listener;
    }

    boolean isReady() {
        return stopRequestedUs == 0 && drainRequestedUs == 0 && !notReady && canServe.getAsBoolean();
    }

    boolean acceptsClients() {
        return stopRequestedUs == 0 && !notReady;
    }

    /** Whether connections outlive their answers. */
    boolean keepsConnectionsOpen() {
        return drainRequestedUs == 0
                && (stopRequestedUs == 0 || !sharedListener && clock.now() < killUs - CLOSE_IDLE_BEFORE_KILL_US);
    }

    /** When a request that is taken now has to be over at the latest, whatever its client allows. */
    long latestDeadlineUs() {
        if (stopRequestedUs > 0) {
            return killUs - RESPONSES_DUE_BEFORE_KILL_US;
        }
        return drainRequestedUs > 0 && clock.now() >= drainRequestedUs + DRAIN_CLOSE_ALL_AFTER_US
                ? drainRequestedUs + DRAIN_RESPONSES_DUE_US
                : Long.MAX_VALUE;
    }

    /** Told again it changes nothing: the time runs from the first call. */
    void drain() {
        if (drainRequestedUs == 0) {
            drainRequestedUs = clock.now();
            // One that was taken back just now may still have its look to come.
            if (!drainCheckScheduled) {
                drainCheckScheduled = true;
                loop.schedule(this::checkDrain, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    void resume() {
        drainRequestedUs = 0;
    }

    private void checkDrain() {
        if (drainRequestedUs == 0 || stopRequestedUs > 0) {
            drainCheckScheduled = false;
            return;
        }
        long now = clock.now();
        long age = now - drainRequestedUs;
        if (age >= DRAIN_CLOSE_IDLE_AFTER_US) {
            long quietUs = age < DRAIN_CLOSE_ALL_AFTER_US ? DRAIN_IDLE_US : 0;
            for (ClientConnection c : limiter.all()) {
                boolean due = age >= DRAIN_RESPONSES_DUE_US;
                c.closeIfIdle(now - quietUs, due ? now : 0, !due, CloseReason.DRAINING);
            }
        }
        loop.schedule(this::checkDrain, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Serves on for as long as it may: clients that have no other sidecar use the connections they hold, and open new ones. Where the
     * socket is another's too, a process that takes over may be ready or not be there yet: whoever comes is taken, and sent to the socket
     * again as soon as it has been answered.
     */
    void stop(long askedUs, Runnable stopped) {
        stopRequestedUs = askedUs;
        killUs = stopRequestedUs + Math.min(longestDeadlineUs, MAX_KILL_DELAY_US) + KILL_MARGIN_US;
        // What was taken before the stop may have been given longer than there is.
        coordinator.capDeadlines(latestDeadlineUs());
        checkStop(stopped);
    }

    /**
     * From now on no request can come: whoever brings one now finds its connection ended or none, and has not been taken. A
     * request that came until the process's end would be lost with it.
     */
    private void endInput() {
        stopAccepting();
        for (ClientConnection c : limiter.all()) {
            c.closeGracefullyUnlessRequestArrived(CloseReason.STOPPING);
        }
    }

    /** What waits in a shared socket is the next process's. Closing an inherited descriptor 0 would end the log with it. */
    private void stopAccepting() {
        if (sharedListener) {
            listener.config().setAutoRead(false);
        } else {
            listener.close();
        }
    }

    /** Since when nobody has come; who comes to a shared socket finds the next process there, and is not waited for. */
    private long lastArrivalUs() {
        return sharedListener ? stopRequestedUs : Math.max(stopRequestedUs, lastAcceptUs);
    }

    /** Clients that have not ended their side yet are waited for up to the last moment: the process's end may reset them. */
    private boolean canExit(long leftUs) {
        return limiter.all().stream().noneMatch(ClientConnection::owesResponse)
                && (!limiter.hasLingering() || leftUs < EXIT_BEFORE_KILL_US);
    }

    private void checkStop(Runnable stopped) {
        long now = clock.now();
        long left = killUs - now;
        if (limiter.openCount() == 0
                && now - lastArrivalUs() >= MIN_SERVE_AFTER_STOP_US
                && now - lastIdleCloseUs >= RECONNECT_WAIT_US) {
            SocketLook.before(loop, () -> exitUnlessClientArrived(stopped));
            return;
        }
        if (sharedListener ? now - stopRequestedUs >= MIN_SERVE_AFTER_STOP_US : left < CLOSE_IDLE_BEFORE_KILL_US) {
            for (ClientConnection c : limiter.all()) {
                boolean lastCall = left < CLOSE_ALL_BEFORE_KILL_US;
                if (c.closeIfIdle(
                        lastCall ? now : now - STOP_IDLE_US,
                        lastCall ? now : now - longestDeadlineUs,
                        true,
                        CloseReason.STOPPING)) {
                    lastIdleCloseUs = now;
                }
            }
        }
        // What ends by itself with an answer owed loses it; what is killed with one does not.
        if (inputEnded && canExit(left) || left < -MAX_STAY_AFTER_KILL_US) {
            exit(stopped);
            return;
        }
        if (left < INPUT_ENDS_BEFORE_KILL_US && !inputEnded) {
            inputEnded = true;
            endInput();
        }
        loop.schedule(() -> checkStop(stopped), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void exitUnlessClientArrived(Runnable stopped) {
        // The look at the sockets passes over a listener whose registration is being made anew.
        listener().acceptNow();
        if (limiter.openCount() == 0) {
            exit(stopped);
        } else {
            checkStop(stopped);
        }
    }

    private void exit(Runnable stopped) {
        inputEnded = true;
        stopAccepting();
        stopped.run();
    }
}

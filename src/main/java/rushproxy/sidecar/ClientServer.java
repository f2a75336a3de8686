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
 * Accepts connections from clients, and closes them without losing requests when the process leaves. There are two ways
 * to leave: a drain, which can be cancelled and keeps the process running, and a stop, after which the process ends.
 */
final class ClientServer {
    /** After a stop clients open new connections for this long, and a little longer. */
    private static final long MIN_SERVE_AFTER_STOP_US = 600_000;
    /**
     * The process is assumed to be killed this long after a stop, plus the longest client deadline but at most {@code
     * MAX_KILL_DELAY_US}.
     */
    private static final long KILL_MARGIN_US = 700_000;

    private static final long MAX_KILL_DELAY_US = 3_000_000;
    /**
     * The steps before the kill: idle connections close and responses close theirs, all connections without a request
     * close, all responses are due, input ends, the process exits.
     */
    private static final long CLOSE_IDLE_BEFORE_KILL_US = 800_000;

    private static final long CLOSE_ALL_BEFORE_KILL_US = 450_000;
    /** Leaves time for the responses and the exit even if the event loop is delayed by 0.15 s at that moment. */
    private static final long RESPONSES_DUE_BEFORE_KILL_US = 250_000;

    private static final long INPUT_ENDS_BEFORE_KILL_US = 180_000;
    private static final long EXIT_BEFORE_KILL_US = 100_000;
    /** If the kill does not come, responses that are still being streamed get this much longer. */
    private static final long MAX_STAY_AFTER_KILL_US = 20_000_000;
    /** A connection that was active this recently may have a request on its way. */
    private static final long STOP_IDLE_US = 150_000;
    /** A client whose request crosses such a close retries on a new connection, which must still be accepted. */
    private static final long RECONNECT_WAIT_US = 150_000;

    private static final long CHECK_INTERVAL_MS = 20;

    /** A client that has not completed a request in this time is closed; it must be closed within 3 s. */
    private static final long REQUEST_TIMEOUT_US = 2_500_000;
    /** Counts from the accept on a new connection; the check itself is late by up to its interval. */
    private static final long FIRST_REQUEST_TIMEOUT_US = 2_700_000;

    private static final long SWEEP_INTERVAL_MS = 100;
    /** Pause after a failed accept. */
    private static final long ACCEPT_RETRY_MS = 10;
    /** Connections that may wait in the kernel to be accepted. */
    private static final int ACCEPT_BACKLOG = 256;

    private final EventLoop loop;
    private final RequestCoordinator coordinator;
    private final Clock clock;
    private final Set<String> classes;
    private final BooleanSupplier canServe;

    private final ConnectionServices services;
    /** The longest deadline of any class. */
    private final long longestDeadlineUs;

    private final ClientConnectionLimiter limiter;
    private final UnansweredConnectionStats unansweredStats = new UnansweredConnectionStats();
    private final AcceptPauseStats acceptPauses;
    private final MemoryReclaimer bodyMemoryReclaimer;
    private final MemoryReclaimer headMemoryReclaimer;
    private Channel listener;
    /** Whether other processes share the listening socket. It is then left open. */
    private boolean sharedListener;
    /** When the stop was requested; 0 before. */
    private long stopRequestedUs;

    private long killUs;
    private long lastAcceptUs;
    /** When the stop last closed an idle connection. */
    private long lastIdleCloseUs;
    /** Whether the stop has closed everything that could bring another request. */
    private boolean inputEnded;

    private boolean notReady;
    /** Null if no warm-up is running. */
    private WarmUp warmUp;
    /** Whether the last accept failed. */
    private boolean acceptFailing;

    private final ClientDrain drain = new ClientDrain();
    private boolean drainCheckScheduled;

    ClientServer(
            EventLoop loop,
            RequestCoordinator coordinator,
            List<RequestClass> classes,
            BooleanSupplier canServe,
            ClientConnectionLimiter limiter,
            ConnectionServices services) {
        this.loop = loop;
        this.services = services;
        clock = services.clock();
        this.coordinator = coordinator;
        this.classes = classes.stream().map(RequestClass::name).collect(Collectors.toSet());
        longestDeadlineUs =
                classes.stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
        this.canServe = canServe;
        this.limiter = limiter;
        acceptPauses = new AcceptPauseStats(clock, limiter::countByPhase);
        // Only bodies that hold as much as is short, so that none is ended in vain.
        bodyMemoryReclaimer = new MemoryReclaimer(
                loop,
                clock,
                services.memory().bodies(),
                limiter,
                (connection, shortBytes) -> connection.reservedBytes() >= shortBytes);
        headMemoryReclaimer = new MemoryReclaimer(
                loop,
                clock,
                services.memory().heads(),
                limiter,
                (connection, shortBytes) -> connection.heldBytes() > 0);
    }

    InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        listener = ListenerBinder.bind(() -> newBootstrap().channelFactory(TcpListener::new), address);
        return (InetSocketAddress) listener.localAddress();
    }

    /** Accepts clients from a listening socket that other processes may share. */
    void acceptFrom(ServerSocketChannel socket) throws InterruptedException {
        loop.submit(() -> {
                    // A stop during the warm-up leaves all clients to the other processes.
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

    /** Closes the current listener. */
    void closeListener() throws InterruptedException {
        listener.close().sync();
    }

    void start() {
        PeriodicTask.scheduleEvery(loop, SWEEP_INTERVAL_MS, this::closeTimedOut);
    }

    private ServerBootstrap newBootstrap() {
        return ConnectionBuffers.configure(
                        new ServerBootstrap(), services.memory().streams())
                .group(loop)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object accepted) {
                        unansweredStats.watch(ConnectionBuffers.withSocketBuffers((TcpConnection) accepted));
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

    /**
     * Pauses accepting after a failure, such as a lack of descriptors or a client that has already left. Other clients
     * wait in the backlog.
     */
    private void onAcceptFailed(Channel from, Throwable cause) {
        setAccepting(from.config(), false);
        loop.schedule(() -> setAccepting(from.config(), canAccept()), ACCEPT_RETRY_MS, TimeUnit.MILLISECONDS);
        if (!acceptFailing) {
            acceptFailing = true;
            Log.warn("accepting a client connection failed: " + cause.getMessage());
        }
    }

    private void onAccepted(TcpConnection channel) {
        acceptFailing = false;
        lastAcceptUs = clock.nowUs();
        ClientConnection connection = new ClientConnection(channel, classes, this, services);
        // The parent channel, since the first connection may be accepted before {@code listener} is set.
        ChannelConfig listenerConfig = channel.parent().config();
        limiter.add(connection);
        channel.closeFuture().addListener(f -> {
            limiter.remove(connection);
            setAccepting(listenerConfig, canAccept());
        });
        if (!limiter.hasFreeSlot()) {
            // Later, since this connection can't be read yet and may have waited long enough to be chosen itself.
            loop.execute(limiter::evictUntilSlotFree);
        }
        // Beyond the limit clients wait in the backlog, since upstream connections need descriptors too.
        setAccepting(listenerConfig, canAccept());
        channel.pipeline().addLast(connection.input(), connection.decoder(), new HttpResponseEncoder(), connection);
    }

    /** When every connection must be closed, even if it is still in use. */
    long closeDeadlineUs() {
        if (stopRequestedUs > 0) {
            return killUs + MAX_STAY_AFTER_KILL_US;
        }
        return drain.closeDeadlineUs(clock.nowUs());
    }

    private void setAccepting(ChannelConfig listenerConfig, boolean accepting) {
        listenerConfig.setAutoRead(accepting);
        acceptPauses.setAccepting(accepting);
    }

    private boolean canAccept() {
        return limiter.hasFreeSlot() && !inputEnded;
    }

    private void closeTimedOut() {
        long now = clock.nowUs();
        // The limit depends on the number of upstream connections and may have changed since the last check.
        limiter.evictUntilSlotFree();
        setAccepting(listener.config(), canAccept());
        for (ClientConnection connection : limiter.all()) {
            connection.closeIfTimedOut(now, REQUEST_TIMEOUT_US, FIRST_REQUEST_TIMEOUT_US);
        }
    }

    /** Reports not ready until {@link #finishWarmUp}. */
    void markNotReady() {
        notReady = true;
    }

    /** Like {@link #markNotReady}, but serves the requests of the warm-up. */
    void beginWarmUp(WarmUp newWarmUp) {
        notReady = true;
        warmUp = newWarmUp;
    }

    void finishWarmUp() {
        notReady = false;
        warmUp = null;
    }

    /** The coordinator that handles this request. */
    RequestCoordinator coordinatorFor(HttpRequest message) {
        return isWarmUpMessage(message) ? warmUp.requests() : coordinator;
    }

    /** Whether this is a request or an attempt of the warm-up. */
    boolean isWarmUpMessage(HttpRequest message) {
        return warmUp != null && warmUp.isOwnMessage(message);
    }

    boolean isWarmUpAttempt(HttpRequest message) {
        return warmUp != null && warmUp.isAttempt(message);
    }

    /** Counts, since the last call, of connections that this program or host ended without a response. */
    Map<String, Integer> takeUnansweredCounts() {
        return unansweredStats.takeCounts();
    }

    /** For how long no connection was accepted, and by what the slots were taken. */
    AcceptPauseStats acceptPauses() {
        return acceptPauses;
    }

    /** How many connections are in each phase; phases of none are left out. */
    Map<ClientPhase, Integer> countByPhase() {
        return limiter.countByPhase();
    }

    /** The open connections, in no particular order. */
    Set<ClientConnection> connections() {
        return limiter.all();
    }

    int openCount() {
        return limiter.openCount();
    }

    /** How many connections may be open now. */
    int limit() {
        return limiter.limit();
    }

    /** Takes memory from clients that have stopped within their bodies as long as a request waits for it. */
    void reclaimBodyMemory() {
        bodyMemoryReclaimer.start();
    }

    /** Whether requests had to wait for memory of bodies in the last {@code periodUs}. */
    boolean wasBodyMemoryShort(long periodUs) {
        return bodyMemoryReclaimer.wasShort(periodUs);
    }

    /** Takes memory from clients that have stopped within their heads as long as others wait for it. */
    void reclaimHeadMemory() {
        headMemoryReclaimer.start();
    }

    /** Registers a connection whose output is shut down and that waits for its client to close. */
    void addLingering(ClientConnection connection) {
        limiter.addLingering(connection);
    }

    TcpListener listener() {
        return (TcpListener) listener;
    }

    boolean isReady() {
        return stopRequestedUs == 0 && !drain.isRequested() && !notReady && canServe.getAsBoolean();
    }

    boolean acceptsClients() {
        return stopRequestedUs == 0 && !notReady;
    }

    /** Whether connections stay open after a response. A drain does not concern those of the warm-up. */
    boolean keepsConnectionsOpen(boolean isWarmUp) {
        return (isWarmUp || !drain.isRequested())
                && (stopRequestedUs == 0 || !sharedListener && clock.nowUs() < killUs - CLOSE_IDLE_BEFORE_KILL_US);
    }

    /**
     * Latest deadline of a request that is accepted now, whatever its client allows. A drain does not concern requests
     * of the warm-up.
     */
    long latestDeadlineUs(boolean isWarmUp) {
        if (stopRequestedUs > 0) {
            return killUs - RESPONSES_DUE_BEFORE_KILL_US;
        }
        return isWarmUp ? Long.MAX_VALUE : drain.latestDeadlineUs(clock.nowUs());
    }

    /** Starts a drain that was requested {@code ageUs} ago. One that is running goes on as if requested then. */
    void drain(long ageUs) {
        drain.request(clock.nowUs(), ageUs);
        // The check of a drain that was just cancelled may still be scheduled.
        if (!drainCheckScheduled) {
            drainCheckScheduled = true;
            loop.schedule(this::checkDrain, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    void resume() {
        drain.cancel();
    }

    private void checkDrain() {
        if (!drain.isRequested() || stopRequestedUs > 0) {
            drainCheckScheduled = false;
            return;
        }
        long now = clock.nowUs();
        if (drain.closesIdle(now)) {
            closeDrained(now);
        }
        loop.schedule(this::checkDrain, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void closeDrained(long now) {
        long idleSinceUs = now - drain.idleUs(now);
        boolean closesIncomplete = drain.closesIncomplete(now);
        for (ClientConnection connection : limiter.all()) {
            if (!connection.servesWarmUp()) {
                connection.closeIfIdle(
                        idleSinceUs, closesIncomplete ? now : 0, !closesIncomplete, CloseReason.DRAINING);
            }
        }
    }

    /**
     * Stops the server. It keeps serving as long as possible, since clients without another sidecar use their open
     * connections and open new ones. On a shared socket the process that takes over may not be ready yet, so new
     * clients are still accepted, and each connection closes after its response so that the client reconnects.
     */
    void stop(long requestedUs, Runnable onStopped) {
        stopRequestedUs = requestedUs;
        killUs = stopRequestedUs + Math.min(longestDeadlineUs, MAX_KILL_DELAY_US) + KILL_MARGIN_US;
        // Requests accepted before the stop may have later deadlines than the time that is left.
        coordinator.capDeadlines(latestDeadlineUs(false));
        checkStop(onStopped);
    }

    /**
     * Closes everything that could bring another request, since a request that arrived now would be lost when the
     * process ends. Clients that send one find the connection closed and know that it was not accepted.
     */
    private void endInput() {
        stopAccepting();
        for (ClientConnection connection : limiter.all()) {
            connection.closeGracefullyUnlessRequestArrived(CloseReason.STOPPING);
        }
    }

    /**
     * Connections in the queue of a shared socket are left to the next process. A listener inherited as descriptor 0
     * stays open because closing it would also end the log.
     */
    private void stopAccepting() {
        if (sharedListener) {
            listener.config().setAutoRead(false);
        } else {
            listener.close();
        }
    }

    /**
     * When the last client arrived after the stop. New clients on a shared socket don't delay the stop, since the next
     * process accepts them.
     */
    private long lastArrivalUs() {
        return sharedListener ? stopRequestedUs : Math.max(stopRequestedUs, lastAcceptUs);
    }

    /**
     * Whether the process can exit now. Lingering connections are kept until the last moment, since the exit may reset
     * them.
     */
    private boolean canExit(long leftUs) {
        return limiter.all().stream().noneMatch(ClientConnection::owesResponse)
                && (!limiter.hasLingering() || leftUs < EXIT_BEFORE_KILL_US);
    }

    private void checkStop(Runnable onStopped) {
        long now = clock.nowUs();
        long leftUs = killUs - now;
        if (limiter.openCount() == 0
                && now - lastArrivalUs() >= MIN_SERVE_AFTER_STOP_US
                && now - lastIdleCloseUs >= RECONNECT_WAIT_US) {
            SocketPolling.runAfterNextPoll(loop, () -> exitUnlessClientArrived(onStopped));
            return;
        }
        if (sharedListener ? now - stopRequestedUs >= MIN_SERVE_AFTER_STOP_US : leftUs < CLOSE_IDLE_BEFORE_KILL_US) {
            for (ClientConnection connection : limiter.all()) {
                boolean closeAll = leftUs < CLOSE_ALL_BEFORE_KILL_US;
                if (connection.closeIfIdle(
                        closeAll ? now : now - STOP_IDLE_US,
                        closeAll ? now : now - longestDeadlineUs,
                        true,
                        CloseReason.STOPPING)) {
                    lastIdleCloseUs = now;
                }
            }
        }
        // An exit with a request open loses its response; waiting to be killed may still deliver it.
        if (inputEnded && canExit(leftUs) || leftUs < -MAX_STAY_AFTER_KILL_US) {
            exit(onStopped);
            return;
        }
        if (leftUs < INPUT_ENDS_BEFORE_KILL_US && !inputEnded) {
            inputEnded = true;
            endInput();
        }
        loop.schedule(() -> checkStop(onStopped), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void exitUnlessClientArrived(Runnable onStopped) {
        // Reading the sockets skips a listener whose registration is being renewed.
        listener().acceptNow();
        if (limiter.openCount() == 0) {
            exit(onStopped);
        } else {
            checkStop(onStopped);
        }
    }

    private void exit(Runnable onStopped) {
        inputEnded = true;
        stopAccepting();
        onStopped.run();
    }
}

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
    private static final long SERVE_ON_US = 600_000;
    /** The end that is not asked for comes this long after the stop, and the longest deadline or this, no earlier. */
    private static final long KILLED_AFTER_US = 700_000;

    private static final long KILLED_MOST_US = 3_000_000;
    /** Before it: answers end their connections, nothing is left that could bring a request, all is answered, the end. */
    private static final long GOODBYE_US = 800_000;

    private static final long LAST_CALL_US = 450_000;
    /** A hold-up of the loop of 0.15 s just then must still leave time for the answers, and for the end. */
    private static final long LEAVE_DUE_US = 250_000;

    private static final long GONE_US = 180_000;
    private static final long LAST_LOOK_US = 100_000;
    /** Where the end that is not asked for does not come, an answer that still flows is waited for so much longer. */
    private static final long STAY_US = 20_000_000;
    /** A connection this young or this busy may have a request on its way. */
    private static final long QUIET_US = 150_000;
    /** A request that crosses such a close is sent once more, on a new connection: it is still listened for. */
    private static final long CROSSED_US = 150_000;

    private static final long LOOK_MS = 20;

    /** After the call to drain the front comes for some tenths of a second; then what has been quiet for long may go. */
    private static final long DRAIN_ON_US = 600_000;

    private static final long DRAIN_QUIET_US = 500_000;
    /** At 4 s no connection may be idle or hold a request younger than 2 s: from here on none is left to bring one. */
    private static final long DRAIN_ALL_US = 1_600_000;

    private static final long DRAIN_DUE_US = 3_700_000;
    private static final long DRAIN_CLOSED_US = 3_900_000;

    /** A peer that has sent nothing, or not the rest of a request, for this long gets a close: due within 3 s. */
    private static final long PATIENCE_US = 2_500_000;
    /** A new one's time runs from its connection; the looks come late by up to their interval. */
    private static final long FIRST_PATIENCE_US = 2_700_000;

    private static final long SWEEP_MS = 200;
    /** A connection that could not be accepted is tried again after this. */
    private static final long ACCEPT_AGAIN_MS = 10;

    private final EventLoop loop;
    private final Requests requests;
    private final Clock clock;
    private final Set<String> classes;
    private final BooleanSupplier canServe;

    private final Budget budget;
    private final EventLoopDelay loopDelay;
    private final AnswerDeadlines deadlines;
    private final RequestGuard guard;
    /** No client waits longer than this for an answer. */
    private final long longestUs;

    private final ClientPlaces places;
    private final UnansweredConnections unanswered = new UnansweredConnections();
    private Channel listener;
    /** The listener is another's too: leaving it is not closing it. */
    private boolean shared;
    /** When the stop was asked for; 0 before. */
    private long stopAtUs;

    private long killedAtUs;
    private long acceptedUs;
    /** When the stop last closed a connection between requests. */
    private long closedUs;
    /** The stop has ended all that could still bring a request. */
    private boolean endedInputs;

    private boolean notReady;
    /** Null where nothing warms up. */
    private WarmUp warmUp;
    /** The last that knocked could not be let in. */
    private boolean stuck;
    /** When the drain was asked for; 0 while there is none. */
    private long drainAtUs;

    private boolean drainLooked;

    ClientServer(
            EventLoop loop,
            Clock clock,
            Requests requests,
            List<RequestClass> classes,
            BooleanSupplier canServe,
            ClientPlaces places,
            Budget budget,
            EventLoopDelay loopDelay,
            AnswerDeadlines deadlines,
            RequestGuard guard) {
        this.loop = loop;
        this.clock = clock;
        this.requests = requests;
        this.classes = classes.stream().map(RequestClass::name).collect(Collectors.toSet());
        longestUs = classes.stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
        this.canServe = canServe;
        this.places = places;
        this.budget = budget;
        this.loopDelay = loopDelay;
        this.deadlines = deadlines;
        this.guard = guard;
    }

    InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        listener = Listening.at(() -> accepting().channelFactory(TcpListener::new), address);
        return (InetSocketAddress) listener.localAddress();
    }

    /** Takes clients from a socket that listens already, and that others may take them from too. */
    void take(ServerSocketChannel socket) throws InterruptedException {
        loop.submit(() -> {
                    // A stop that came during the warm-up has left them to the others.
                    if (stopAtUs == 0) {
                        shared = true;
                        listener = accepting()
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
        PeriodicTask.scheduleEvery(loop, SWEEP_MS, this::closeUnfinished);
    }

    private ServerBootstrap accepting() {
        return ConnectionBuffers.configure(new ServerBootstrap())
                .group(loop)
                .option(ChannelOption.SO_BACKLOG, 256)
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object accepted) {
                        unanswered.watch(ConnectionBuffers.withSocketBuffers((TcpConnection) accepted));
                        ctx.fireChannelRead(accepted);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        notAccepted(ctx.channel(), cause);
                    }
                })
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted((TcpConnection) channel);
                    }
                });
    }

    /** For want of descriptors, or since a client has gone again: the others wait in the backlog for a moment. */
    private void notAccepted(Channel from, Throwable cause) {
        from.config().setAutoRead(false);
        loop.schedule(() -> from.config().setAutoRead(hasRoom()), ACCEPT_AGAIN_MS, TimeUnit.MILLISECONDS);
        if (!stuck) {
            stuck = true;
            Log.warn("clients can't be let in: " + cause.getMessage());
        }
    }

    private void accepted(TcpConnection channel) {
        stuck = false;
        acceptedUs = clock.nowUs();
        ClientConnection connection =
                new ClientConnection(channel, clock, classes, this, budget, loopDelay, deadlines, guard);
        // The listener as the connection knows it: the first one may come before the bind has been told here.
        ChannelConfig accepting = channel.parent().config();
        places.add(connection);
        channel.closeFuture().addListener(f -> {
            places.remove(connection);
            accepting.setAutoRead(hasRoom());
        });
        places.keepOneFree();
        // Beyond the limit they wait in the backlog: descriptors are needed for upstreams too.
        accepting.setAutoRead(hasRoom());
        channel.pipeline().addLast(connection.input(), new RequestDecoder(), new HttpResponseEncoder(), connection);
    }

    /** When every connection has to be closed, whatever is still waited for. */
    long openUntilUs() {
        if (stopAtUs > 0) {
            return killedAtUs + STAY_US;
        }
        return drainAtUs > 0 ? Math.max(clock.nowUs(), drainAtUs + DRAIN_CLOSED_US) : Long.MAX_VALUE;
    }

    private boolean hasRoom() {
        return places.isAnyFree() && !endedInputs;
    }

    private void closeUnfinished() {
        long now = clock.nowUs();
        // The limit follows what upstreams take: by now it may leave no place, or one.
        places.keepOneFree();
        listener.config().setAutoRead(hasRoom());
        for (ClientConnection c : places.all()) {
            c.closeIfUnfinished(now, PATIENCE_US, FIRST_PATIENCE_US);
        }
    }

    /** Not ready until {@link #warm}. */
    void notReady() {
        notReady = true;
    }

    /** As {@link #notReady}; requests of the warm-up are served meanwhile. */
    void warmsUp(WarmUp by) {
        notReady = true;
        warmUp = by;
    }

    void warm() {
        notReady = false;
        warmUp = null;
    }

    /** Where this request is carried through its attempts. */
    Requests requestsFor(HttpRequest message) {
        return warmUp != null && warmUp.isOwnMessage(message) ? warmUp.requests() : requests;
    }

    boolean isAttemptOfWarmUp(HttpRequest message) {
        return warmUp != null && warmUp.isAttempt(message);
    }

    /** Connections that ended with no answer by this program's doing or this machine's, since the last call. */
    Map<String, Integer> unansweredSinceLast() {
        return unanswered.sinceLast();
    }

    /** Those that are open now, in no order. */
    Set<ClientConnection> connections() {
        return places.all();
    }

    int open() {
        return places.open();
    }

    /** As many may be open now. */
    int limit() {
        return places.limit();
    }

    /** Its output has ended, and its client's end is waited for. */
    void lingers(ClientConnection connection) {
        places.lingers(connection);
    }

    TcpListener listener() {
        return (TcpListener) listener;
    }

    boolean ready() {
        return stopAtUs == 0 && drainAtUs == 0 && !notReady && canServe.getAsBoolean();
    }

    boolean takesClients() {
        return stopAtUs == 0 && !notReady;
    }

    /** Whether connections outlive their answers. */
    boolean goesOn() {
        return drainAtUs == 0 && (stopAtUs == 0 || !shared && clock.nowUs() < killedAtUs - GOODBYE_US);
    }

    /** When a request that is taken now has to be over at the latest, whatever its client allows. */
    long dueUs() {
        if (stopAtUs > 0) {
            return killedAtUs - LEAVE_DUE_US;
        }
        return drainAtUs > 0 && clock.nowUs() >= drainAtUs + DRAIN_ALL_US ? drainAtUs + DRAIN_DUE_US : Long.MAX_VALUE;
    }

    /** Told again it changes nothing: the time runs from the first call. */
    void drain() {
        if (drainAtUs == 0) {
            drainAtUs = clock.nowUs();
            // One that was taken back just now may still have its look to come.
            if (!drainLooked) {
                drainLooked = true;
                loop.schedule(this::lookDrained, LOOK_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    void resume() {
        drainAtUs = 0;
    }

    private void lookDrained() {
        if (drainAtUs == 0 || stopAtUs > 0) {
            drainLooked = false;
            return;
        }
        long now = clock.nowUs();
        long age = now - drainAtUs;
        if (age >= DRAIN_ON_US) {
            long quietUs = age < DRAIN_ALL_US ? DRAIN_QUIET_US : 0;
            for (ClientConnection c : places.all()) {
                boolean due = age >= DRAIN_DUE_US;
                c.closeIfQuiet(now - quietUs, due ? now : 0, !due, CloseReason.DRAINING);
            }
        }
        loop.schedule(this::lookDrained, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Serves on for as long as it may: clients that have no other sidecar use the connections they hold, and open new ones. Where the
     * socket is another's too, a process that takes over may be ready or not be there yet: whoever comes is taken, and sent to the socket
     * again as soon as it has been answered.
     */
    void stop(long askedUs, Runnable stopped) {
        stopAtUs = askedUs;
        killedAtUs = stopAtUs + Math.min(longestUs, KILLED_MOST_US) + KILLED_AFTER_US;
        // What was taken before the stop may have been given longer than there is.
        requests.dueBy(dueUs());
        look(stopped);
    }

    /**
     * From now on no request can come: whoever brings one now finds its connection ended or none, and has not been taken. A
     * request that came until the process's end would be lost with it.
     */
    private void endInputs() {
        stopTaking();
        for (ClientConnection c : places.all()) {
            c.endUnlessItBrings(CloseReason.STOPPING);
        }
    }

    /** What waits in a shared socket is the next process's. Closing an inherited descriptor 0 would end the log with it. */
    private void stopTaking() {
        if (shared) {
            listener.config().setAutoRead(false);
        } else {
            listener.close();
        }
    }

    /** Since when nobody has come; who comes to a shared socket finds the next process there, and is not waited for. */
    private long nobodyCameSinceUs() {
        return shared ? stopAtUs : Math.max(stopAtUs, acceptedUs);
    }

    /** Clients that have not ended their side yet are waited for up to the last moment: the process's end may reset them. */
    private boolean mayGo(long leftUs) {
        return places.all().stream().noneMatch(ClientConnection::owes)
                && (!places.isAnyLingering() || leftUs < LAST_LOOK_US);
    }

    private void look(Runnable stopped) {
        long now = clock.nowUs();
        long left = killedAtUs - now;
        if (places.open() == 0 && now - nobodyCameSinceUs() >= SERVE_ON_US && now - closedUs >= CROSSED_US) {
            SocketPolling.runAfterNextPoll(loop, () -> leaveUnlessSomebodyCame(stopped));
            return;
        }
        if (shared ? now - stopAtUs >= SERVE_ON_US : left < GOODBYE_US) {
            for (ClientConnection c : places.all()) {
                boolean lastCall = left < LAST_CALL_US;
                if (c.closeIfQuiet(
                        lastCall ? now : now - QUIET_US,
                        lastCall ? now : now - longestUs,
                        true,
                        CloseReason.STOPPING)) {
                    closedUs = now;
                }
            }
        }
        // What ends by itself with an answer owed loses it; what is killed with one does not.
        if (endedInputs && mayGo(left) || left < -STAY_US) {
            leave(stopped);
            return;
        }
        if (left < GONE_US && !endedInputs) {
            endedInputs = true;
            endInputs();
        }
        loop.schedule(() -> look(stopped), LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void leaveUnlessSomebodyCame(Runnable stopped) {
        // The look at the sockets passes over a listener whose registration is being made anew.
        listener().acceptNow();
        if (places.open() == 0) {
            leave(stopped);
        } else {
            look(stopped);
        }
    }

    private void leave(Runnable stopped) {
        endedInputs = true;
        stopTaking();
        stopped.run();
    }
}

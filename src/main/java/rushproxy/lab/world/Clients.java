package rushproxy.lab.world;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.IntPredicate;
import org.HdrHistogram.Histogram;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.world.Observation.EventType;

/**
 * Simulated client applications: an open-loop load generator with retries and a connection pool for each sidecar. A request that
 * crosses a close of its idle keep-alive connection is sent once more on a new connection, as HTTP/1.1 allows. Confined to the
 * world's event loop, from {@link #start} until every logical request is settled.
 */
final class Clients {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int SLOW_WRITE_CHUNK_BYTES = 16;
    /** A write that completes within this time of its ASKED event gets no WRITTEN event of its own. */
    private static final long IMMEDIATE_WRITE_US = 1_000;

    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final double MAX_POOL_IDLE_US = 4e6;
    /** Clients open new connections for one to two times this long after SIGTERM, as the protocol specifies. */
    private static final long CONNECT_AFTER_SIGTERM_US = 200_000;
    /** How long past its deadline a response is still accepted: the sidecar's slack and the delay of the sockets. */
    private static final long RESPONSE_SLACK_US = 70_000;
    /** The same for the end of a response that has begun, which may be broken off up to half a second after the deadline. */
    private static final long RESPONSE_END_SLACK_US = 500_000 + 50_000;
    /** With less time left no further attempt is made. */
    private static final long MIN_ATTEMPT_US = 5_000;

    private final EventLoop loop;
    private final ObservationLog observations;
    private final Scenario scenario;
    private final DoubleSupplier random;
    private final List<Traffic.Arrival> arrivals;
    private final List<InetSocketAddress> sidecars;
    private final List<ArrayDeque<Connection>> idleConnections;
    private final Map<String, UpstreamServer.RequestProfile> profiles = new HashMap<>();
    /** How late first attempts were sent, compared with their scheduled times, in microseconds. */
    final Histogram sendLateness = new Histogram(3);
    /** By node: the time from which clients open no new connections because the platform is stopping the sidecar. */
    private final long[] connectUntilUs;

    /** Whether the load balancer in front lets clients open new connections to a sidecar. */
    private IntPredicate isReady = node -> true;

    private final AbusiveConnections abusiveConnections;

    private int nextArrival;
    private int unsettledCount;
    /** The active client misbehavior, as named in {@link #setMisbehavior}; null if there is none. */
    private String misbehaviorMode;

    private double misbehaviorShare;
    /** The crowd of the mode "churn"; null if there is none. */
    private ReturningConnections returning;

    private Runnable onAllSettled = () -> {};

    Clients(
            EventLoop loop,
            ObservationLog observations,
            Scenario scenario,
            DoubleSupplier random,
            List<Traffic.Arrival> arrivals,
            List<InetSocketAddress> sidecars) {
        this.loop = loop;
        this.observations = observations;
        this.scenario = scenario;
        this.random = random;
        this.arrivals = arrivals;
        this.sidecars = sidecars;
        abusiveConnections = new AbusiveConnections(loop, observations, sidecars);
        connectUntilUs = new long[sidecars.size()];
        Arrays.fill(connectUntilUs, Long.MAX_VALUE);
        idleConnections =
                sidecars.stream().map(s -> new ArrayDeque<Connection>()).toList();
    }

    /** Starts the load; {@code onAllSettled} runs once when every logical request is settled. */
    void start(Runnable onAllSettled) {
        this.onAllSettled = onAllSettled;
        sendDue();
    }

    /** Returns the profile of the attempt with this id, or null if no client sent it. */
    UpstreamServer.RequestProfile requestProfile(String id) {
        return profiles.get(id);
    }

    /** The sidecar got SIGTERM: clients open new connections for a few tenths of a second more. */
    void onNodeLeaving(int node) {
        connectUntilUs[node] = observations.nowUs() + Math.round(CONNECT_AFTER_SIGTERM_US * (1 + random.getAsDouble()));
    }

    /** The sidecar is ready again: clients may open new connections. */
    void onNodeReady(int node) {
        connectUntilUs[node] = Long.MAX_VALUE;
    }

    /** Lets clients open new connections only to sidecars that are ready. */
    void setReadiness(IntPredicate isReady) {
        this.isReady = isReady;
    }

    /** Whether the platform lets clients open new connections to the sidecar. */
    boolean isNodeRunning(int node) {
        return observations.nowUs() <= connectUntilUs[node];
    }

    private boolean mayConnect(int node) {
        return isNodeRunning(node) && isReady.test(node);
    }

    /** Makes a share of the requests misbehave; {@code mode} is "leave", "stop", "slow", "slow-read", "crowd" or "churn", null ends it. */
    void setMisbehavior(String mode, double share) {
        misbehaviorMode = mode;
        misbehaviorShare = share;
        if (returning != null) {
            returning.end();
            returning = null;
        }
    }

    /** Starts a crowd at one sidecar, unless there is one. */
    private void startReturning(int node) {
        if (returning == null) {
            Scenario.RequestClass patient = scenario.classes().stream()
                    .max(Comparator.comparingLong(Scenario.RequestClass::deadlineUs))
                    .orElseThrow();
            returning = new ReturningConnections(
                    loop, sidecars.get(node), patient.name(), patient.deadlineUs() / 1_000, () -> mayConnect(node));
            returning.start();
        }
    }

    private boolean drawMisbehavior(String mode) {
        return mode.equals(misbehaviorMode) && random.getAsDouble() < misbehaviorShare;
    }

    /** Stops sending first attempts; requests already started run to their end. */
    void stop() {
        setMisbehavior(null, 0);
        nextArrival = arrivals.size();
        sendDue();
    }

    private void sendDue() {
        long now = observations.nowUs();
        while (nextArrival < arrivals.size() && arrivals.get(nextArrival).atUs() <= now) {
            unsettledCount++;
            sendLateness.recordValue(now - arrivals.get(nextArrival).atUs());
            new LogicalRequest(arrivals.get(nextArrival++)).startAttempt(0);
        }
        if (nextArrival < arrivals.size()) {
            loop.schedule(this::sendDue, arrivals.get(nextArrival).atUs() - now, TimeUnit.MICROSECONDS);
        } else if (unsettledCount == 0) {
            Runnable callback = onAllSettled;
            onAllSettled = () -> {};
            callback.run();
        }
    }

    /** One request as the application sees it, including all of its attempts. */
    private final class LogicalRequest {
        private final Traffic.Arrival arrival;
        private final long deadlineUs;
        private final String idempotencyKey;
        private int attempts;
        private String lastOutcome = "failed";

        LogicalRequest(Traffic.Arrival arrival) {
            this.arrival = arrival;
            deadlineUs = arrival.atUs() + arrival.spec().deadlineUs();
            idempotencyKey = arrival.spec().semantics().equals("keyed") ? arrival.id() + "k" : null;
        }

        void startAttempt(long scheduledUs) {
            long now = observations.nowUs();
            long remainingUs = deadlineUs - now;
            long waitUs = Math.min(
                    remainingUs,
                    Math.round(scenario.traffic().tryShare() * arrival.spec().deadlineUs()));
            if (waitUs < MIN_ATTEMPT_US) {
                settle(lastOutcome);
                return;
            }
            String id = arrival.id() + Integer.toHexString(attempts++);
            profiles.put(
                    id,
                    new UpstreamServer.RequestProfile(
                            arrival.workMs(),
                            arrival.key(),
                            idempotencyKey,
                            arrival.spec().group(),
                            arrival.spec().windowUs()));
            new Attempt(this, id, attempts == 1 ? arrival.atUs() : scheduledUs, waitUs).start(true);
        }

        void onAttemptEnded(Attempt attempt, String outcome, double retryAfterMs) {
            lastOutcome = outcome;
            boolean refused = outcome.equals("refused");
            String semantics = arrival.spec().semantics();
            boolean canRetry = semantics.equals("safe")
                    || refused
                    || outcome.equals("unreached")
                    || semantics.equals("keyed")
                            && arrival.spec().group().equals("all")
                            && observations.nowUs() - arrival.atUs()
                                    < arrival.spec().windowUs();
            if (!canRetry || attempts > scenario.traffic().retries()) {
                settle(outcome);
                return;
            }
            double backoffUs = scenario.traffic().backoffUs();
            if (retryAfterMs > 0 && random.getAsDouble() < scenario.traffic().honour()) {
                backoffUs = retryAfterMs * 1_000;
            }
            long retryAtUs = observations.nowUs() + (long) backoffUs;
            loop.schedule(() -> startAttempt(retryAtUs), (long) backoffUs, TimeUnit.MICROSECONDS);
        }

        void settle(String outcome) {
            long latencyUs = observations.nowUs() - arrival.atUs();
            String reported =
                    outcome.equals("served") && latencyUs > arrival.spec().aimUs()
                            ? "late"
                            : outcome.equals("unreached") ? "failed" : outcome;
            observations.add(
                    EventType.SETTLED,
                    "n" + arrival.node(),
                    null,
                    null,
                    arrival.id(),
                    reported + " " + arrival.spec().name(),
                    latencyUs / 1e3,
                    arrival.atUs());
            unsettledCount--;
            if (unsettledCount == 0 && nextArrival >= arrivals.size()) {
                sendDue();
            }
        }
    }

    /** One attempt at a logical request; it ends with a response, a broken connection or a timeout. */
    private final class Attempt {
        private final LogicalRequest request;
        private final String id;
        private final long scheduledUs;
        private final long waitUs;
        private Connection connection;
        private Future<?> giveUpTimer;
        private long waitsUntilUs;

        private long sentUs;
        private boolean resent;
        /** The response has begun in time. */
        private boolean awaitsResponseEnd;

        private boolean ended;

        Attempt(LogicalRequest request, String id, long scheduledUs, long waitUs) {
            this.request = request;
            this.id = id;
            this.scheduledUs = scheduledUs;
            this.waitUs = waitUs;
        }

        private String node() {
            return "n" + request.arrival.node();
        }

        void start(boolean pooled) {
            if (giveUpTimer == null) {
                waitsUntilUs = observations.nowUs() + waitUs;
                giveUpTimer = loop.schedule(this::giveUp, waitUs + RESPONSE_SLACK_US, TimeUnit.MICROSECONDS);
            }
            ArrayDeque<Connection> pool = idleConnections.get(request.arrival.node());
            for (Connection idle; pooled && (idle = pool.pollFirst()) != null; ) {
                if (idle.channel.isActive() && observations.nowUs() - idle.idleSinceUs < MAX_POOL_IDLE_US) {
                    send(idle);
                    return;
                }
                idle.channel.close();
            }
            // A request that crossed a close is sent again whether the sidecar is ready or not.
            if (!(resent ? isNodeRunning(request.arrival.node()) : mayConnect(request.arrival.node()))) {
                onUnreached("the sidecar is leaving or not ready");
                return;
            }
            Connection fresh = new Connection(request.arrival.node());
            ChannelFuture connecting = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            fresh.channel = channel;
                            channel.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            fresh.responseStartRecorder(),
                                            new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                            fresh);
                        }
                    })
                    .connect(sidecars.get(request.arrival.node()));
            connecting.addListener(f -> {
                if (ended) {
                    connecting.channel().close();
                } else if (f.isSuccess()) {
                    send(fresh);
                } else {
                    onUnreached("" + f.cause().getMessage());
                }
            });
        }

        private void onUnreached(String reason) {
            observations.add(EventType.UNREACHED, node(), null, id, request.arrival.id(), reason, 0, scheduledUs);
            end("unreached", 0);
        }

        private void send(Connection to) {
            connection = to;
            to.attempt = this;
            // The time spent connecting counts against the deadline of the attempt.
            long remainingMs = Math.max(1, (waitsUntilUs - observations.nowUs()) / 1_000);
            boolean get = request.arrival.spec().semantics().equals("safe");
            DefaultFullHttpRequest m = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    get ? HttpMethod.GET : HttpMethod.POST,
                    "/api/" + request.arrival.spec().name(),
                    get ? Unpooled.EMPTY_BUFFER : Unpooled.copiedBuffer(id, StandardCharsets.US_ASCII));
            m.headers()
                    .set("Host", "api.internal")
                    .set("X-Txn", id)
                    .set("X-Lane", request.arrival.spec().name())
                    .set("X-Remaining-Ms", remainingMs)
                    .set("Cookie", "k=" + Long.toHexString(request.arrival.key()));
            if (!get) {
                m.headers().set("Content-Length", m.content().readableBytes());
            }
            if (request.idempotencyKey != null) {
                m.headers().set("Idempotency-Key", request.idempotencyKey);
            }
            if (request.attempts > 1) {
                m.headers().set("X-Resent", "1");
            }
            sentUs = observations.nowUs();
            if (!resent) {
                observations.add(
                        EventType.ASKED,
                        node(),
                        null,
                        id,
                        request.arrival.id(),
                        request.arrival.spec().name(),
                        remainingMs,
                        scheduledUs);
            }
            if (drawMisbehavior("leave")) {
                loop.schedule(this::abandon, Math.round(waitUs * random.getAsDouble()), TimeUnit.MICROSECONDS);
            }
            if (drawMisbehavior("crowd") && mayConnect(request.arrival.node())) {
                abusiveConnections.occupyConnections(request.arrival.node());
            }
            if (drawMisbehavior("churn")) {
                startReturning(request.arrival.node());
            }
            if (drawMisbehavior("slow-read")) {
                readSlowly(to);
            }
            if (drawMisbehavior("stop") && isReady.test(request.arrival.node())) {
                abusiveConnections.openStalledRequest(request.arrival.node());
            }
            if (!resent && drawMisbehavior("slow")) {
                writeSlowly(to, m, remainingMs);
            } else {
                to.channel.writeAndFlush(m).addListener(f -> onWritten(remainingMs));
            }
        }

        /** The last byte was written: the client's wait is counted from here on. */
        private void onWritten(long remainingMs) {
            if (resent || observations.nowUs() - sentUs > IMMEDIATE_WRITE_US) {
                observations.add(EventType.WRITTEN, node(), null, id, request.arrival.id(), null, remainingMs, sentUs);
            }
        }

        void onAnswered(int status, String body, double retryAfterMs) {
            observations.add(
                    EventType.ANSWERED,
                    node(),
                    null,
                    id,
                    request.arrival.id(),
                    status + " " + body,
                    retryAfterMs,
                    sentUs);
            end(status == 200 ? "served" : status == 429 || status == 503 ? "refused" : "failed", retryAfterMs);
        }

        /** The connection ended before a complete response. */
        void onBroken(boolean used, boolean responseStarted, String how) {
            if (used && !responseStarted && !resent) {
                // The close of an idle connection crossed the request: send it once more on a new connection.
                resent = true;
                start(false);
                return;
            }
            observations.addBroken(
                    node(),
                    id,
                    request.arrival.id(),
                    responseStarted ? "part" : how,
                    used ? 0 : connection.connectStartUs,
                    sentUs);
            end("failed", 0);
        }

        /** Stops reading the response for a random time of up to half the attempt's timeout. */
        private void readSlowly(Connection to) {
            to.channel.config().setAutoRead(false);
            loop.schedule(
                    () -> to.channel.config().setAutoRead(true),
                    Math.round(waitUs * random.getAsDouble() / 2),
                    TimeUnit.MICROSECONDS);
        }

        /** Writes the request in chunks of a few bytes, one each millisecond; the client's wait is counted from the last one. */
        private void writeSlowly(Connection to, DefaultFullHttpRequest m, long remainingMs) {
            EmbeddedChannel encoder = new EmbeddedChannel(new HttpRequestEncoder());
            encoder.writeOutbound(m);
            ByteBuf all = Unpooled.buffer();
            for (ByteBuf part; (part = encoder.readOutbound()) != null; part.release()) {
                all.writeBytes(part);
            }
            encoder.finishAndReleaseAll();
            int chunks = 0;
            while (all.isReadable()) {
                ByteBuf chunk = all.readRetainedSlice(Math.min(SLOW_WRITE_CHUNK_BYTES, all.readableBytes()));
                boolean last = !all.isReadable();
                loop.schedule(
                        () -> {
                            ChannelHandlerContext codec = to.channel.pipeline().context(HttpClientCodec.class);
                            if (codec == null || ended) {
                                chunk.release();
                            } else {
                                ChannelFuture sent = codec.writeAndFlush(chunk);
                                if (last) {
                                    sent.addListener(f -> onWritten(remainingMs));
                                }
                            }
                        },
                        chunks++,
                        TimeUnit.MILLISECONDS);
            }
            all.release();
        }

        /** Closes the connection before the response has arrived, as clients may. */
        private void abandon() {
            if (ended || connection == null) {
                return;
            }
            ended = true;
            giveUpTimer.cancel(false);
            connection.attempt = null;
            connection.channel.close();
            // Recorded after the close: if this thread stalls here, the client must not count as gone before it was.
            observations.add(EventType.LEFT, node(), null, id, request.arrival.id(), null, 0, sentUs);
            request.settle("failed");
        }

        private void giveUp() {
            if (ended) {
                return;
            }
            if (connection != null && connection.responseStarted && !awaitsResponseEnd) {
                awaitsResponseEnd = true;
                giveUpTimer =
                        loop.schedule(this::giveUp, RESPONSE_END_SLACK_US - RESPONSE_SLACK_US, TimeUnit.MICROSECONDS);
                return;
            }
            if (connection != null) {
                connection.attempt = null;
                connection.channel.close();
            }
            // Recorded after the close, as in abandon().
            observations.add(
                    EventType.GAVE_UP,
                    node(),
                    null,
                    id,
                    request.arrival.id(),
                    connection == null ? "unconnected" : null,
                    waitUs / 1e3,
                    scheduledUs);
            end("failed", 0);
        }

        private void end(String outcome, double retryAfterMs) {
            if (ended) {
                return;
            }
            ended = true;
            giveUpTimer.cancel(false);
            if (connection != null) {
                connection.attempt = null;
            }
            if (outcome.equals("served")) {
                request.settle(outcome);
            } else {
                request.onAttemptEnded(this, outcome, retryAfterMs);
            }
        }
    }

    /** One connection to a sidecar. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int node;
        private final long connectStartUs = observations.nowUs();

        private Channel channel;
        private Attempt attempt;
        private boolean used;
        private boolean reset;
        private boolean responseStarted;
        private long idleSinceUs;

        Connection(int node) {
            this.node = node;
        }

        /** Runs before the aggregator and records that a response has begun, even if it never completes. */
        ChannelInboundHandlerAdapter responseStartRecorder() {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object message) {
                    responseStarted |= message instanceof HttpResponse;
                    ctx.fireChannelRead(message);
                }
            };
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse m) {
            responseStarted = false;
            Attempt current = attempt;
            if (current == null) {
                // A duplicate response, or one that no request is waiting for.
                observations.add(
                        EventType.ANSWERED,
                        "n" + node,
                        null,
                        null,
                        null,
                        m.status().code() + " unasked",
                        0,
                        0);
                ctx.close();
                return;
            }
            if (!m.decoderResult().isSuccess()) {
                ctx.close();
                return;
            }
            boolean keepAlive = HttpUtil.isKeepAlive(m);
            String retryAfter = m.headers().get("Retry-After");
            used = true;
            idleSinceUs = observations.nowUs();
            attempt = null;
            current.onAnswered(
                    m.status().code(),
                    m.content().toString(StandardCharsets.US_ASCII),
                    parseSeconds(retryAfter) * 1_000);
            if (!keepAlive) {
                ctx.close();
            } else if (attempt == null) {
                idleConnections.get(node).addFirst(this);
            }
        }

        private double parseSeconds(String text) {
            try {
                return text == null ? 0 : Double.parseDouble(text);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.get(node).remove(this);
            Attempt current = attempt;
            attempt = null;
            if (current != null && !current.ended) {
                current.onBroken(used, responseStarted, reset ? "reset" : "closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset = true;
            // A truncated response is already reported when its connection becomes inactive.
            if (!(cause instanceof IOException) && !(cause instanceof PrematureChannelClosureException)) {
                observations.add(
                        EventType.TROUBLE,
                        "n" + node,
                        null,
                        null,
                        null,
                        "unexpected exception on a client connection: " + cause,
                        0,
                        0);
            }
            ctx.close();
        }
    }
}

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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.HdrHistogram.Histogram;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.world.Observation.EventType;

/**
 * The applications beside the sidecars: an open loop of first tries, their retries, and a pool of connections for each
 * node. A request that a close between requests has crossed is sent once more on a new connection, as the protocol has
 * it. Lives on the world's event loop from {@link #start} until all first tries are settled.
 */
final class Clients {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int SLOW_WRITE_CHUNK_BYTES = 16;
    /** What was written within this of its note has its time from that. */
    private static final long IMMEDIATE_WRITE_US = 1_000;

    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final double MAX_POOL_IDLE_US = 4e6;
    /** After SIGTERM new connections come for this long to twice as long, as the protocol has it. */
    private static final long CONNECT_AFTER_SIGTERM_US = 200_000;
    /** An answer may come as late as the rules and the sockets allow before its client takes it for lost. */
    private static final long RESPONSE_SLACK_US = 70_000;

    private final EventLoop loop;
    private final ObservationLog observations;
    private final Scenario scenario;
    private final DoubleSupplier chance;
    private final List<Traffic.Arrival> arrivals;
    private final List<InetSocketAddress> sidecars;
    private final List<ArrayDeque<Connection>> idleConnections;
    private final Map<String, UpstreamServer.RequestProfile> profiles = new HashMap<>();
    /** By how much first tries left later than they were meant to, in microseconds. */
    final Histogram sendLateness = new Histogram(3);
    /** By node: from then on nobody connects anew, as its platform has told it to leave. */
    private final long[] connectUntilUs;
    /** Those that send no whole request. */
    private final AbusiveConnections abusiveConnections;

    private int nextArrival;
    private int unsettledCount;
    /** How a part of the clients misbehaves; null where none does. */
    private String misbehaviorMode;

    private double misbehaviorShare;
    private Runnable onAllSettled = () -> {};

    Clients(
            EventLoop loop,
            ObservationLog observations,
            Scenario scenario,
            DoubleSupplier chance,
            List<Traffic.Arrival> arrivals,
            List<InetSocketAddress> sidecars) {
        this.loop = loop;
        this.observations = observations;
        this.scenario = scenario;
        this.chance = chance;
        this.arrivals = arrivals;
        this.sidecars = sidecars;
        abusiveConnections = new AbusiveConnections(loop, observations, sidecars);
        connectUntilUs = new long[sidecars.size()];
        Arrays.fill(connectUntilUs, Long.MAX_VALUE);
        idleConnections =
                sidecars.stream().map(s -> new ArrayDeque<Connection>()).toList();
    }

    /** {@code onAllSettled} runs when all first tries are over. */
    void start(Runnable onAllSettled) {
        this.onAllSettled = onAllSettled;
        sendDue();
    }

    /** What a request that a client has sent needs; null for any other id. */
    UpstreamServer.RequestProfile requestProfile(String id) {
        return profiles.get(id);
    }

    /** The node was told to leave: new connections come for some tenths of a second more. */
    void onNodeLeaving(int node) {
        connectUntilUs[node] = observations.nowUs() + Math.round(CONNECT_AFTER_SIGTERM_US * (1 + chance.getAsDouble()));
    }

    /** The node is ready again. */
    void onNodeReady(int node) {
        connectUntilUs[node] = Long.MAX_VALUE;
    }

    /** This part of the clients misbehaves: {@code how} is "leave", "stop", "slow", "slow-read" or "crowd"; null ends it. */
    void setMisbehavior(String how, double part) {
        misbehaviorMode = how;
        misbehaviorShare = part;
    }

    private boolean drawMisbehavior(String how) {
        return how.equals(misbehaviorMode) && chance.getAsDouble() < misbehaviorShare;
    }

    /** No further first tries. */
    void stop() {
        nextArrival = arrivals.size();
        sendDue();
    }

    private void sendDue() {
        long now = observations.nowUs();
        while (nextArrival < arrivals.size() && arrivals.get(nextArrival).atUs() <= now) {
            unsettledCount++;
            sendLateness.recordValue(now - arrivals.get(nextArrival).atUs());
            new LogicalRequest(arrivals.get(nextArrival++)).attempt(0);
        }
        if (nextArrival < arrivals.size()) {
            loop.schedule(this::sendDue, arrivals.get(nextArrival).atUs() - now, TimeUnit.MICROSECONDS);
        } else if (unsettledCount == 0) {
            Runnable once = onAllSettled;
            onAllSettled = () -> {};
            once.run();
        }
    }

    /** What a client wants, from its first try to the end of the last. */
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

        void attempt(long meantUs) {
            long now = observations.nowUs();
            long left = deadlineUs - now;
            long wait = Math.min(
                    left,
                    Math.round(scenario.traffic().tryShare() * arrival.spec().deadlineUs()));
            if (wait < 5_000) {
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
            new Attempt(this, id, attempts == 1 ? arrival.atUs() : meantUs, wait).begin(true);
        }

        void onAttemptEnded(Attempt t, String how, double retryAfterMs) {
            lastOutcome = how;
            boolean refused = how.equals("refused");
            String semantics = arrival.spec().semantics();
            boolean again = semantics.equals("safe")
                    || refused
                    || how.equals("unreached")
                    || semantics.equals("keyed")
                            && arrival.spec().group().equals("all")
                            && observations.nowUs() - arrival.atUs()
                                    < arrival.spec().windowUs();
            if (!again || attempts > scenario.traffic().retries()) {
                settle(how);
                return;
            }
            double waitUs = scenario.traffic().backoffUs();
            if (retryAfterMs > 0 && chance.getAsDouble() < scenario.traffic().honour()) {
                waitUs = retryAfterMs * 1_000;
            }
            long meant = observations.nowUs() + (long) waitUs;
            loop.schedule(() -> attempt(meant), (long) waitUs, TimeUnit.MICROSECONDS);
        }

        void settle(String how) {
            long us = observations.nowUs() - arrival.atUs();
            String word = how.equals("served") && us > arrival.spec().aimUs()
                    ? "late"
                    : how.equals("unreached") ? "failed" : how;
            observations.add(
                    EventType.SETTLED,
                    "n" + arrival.node(),
                    null,
                    null,
                    arrival.id(),
                    word + " " + arrival.spec().name(),
                    us / 1e3,
                    arrival.atUs());
            unsettledCount--;
            if (unsettledCount == 0 && nextArrival >= arrivals.size()) {
                sendDue();
            }
        }
    }

    /** One try, until its answer or its end without one. */
    private final class Attempt {
        private final LogicalRequest request;
        private final String id;
        private final long scheduledUs;
        private final long waitUs;
        private Connection connection;
        private Future<?> giveUpTimer;
        /** Its client waits until then. */
        private long waitsUntilUs;

        private long sentUs;
        private boolean resent;
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

        void begin(boolean pooled) {
            if (giveUpTimer == null) {
                waitsUntilUs = observations.nowUs() + waitUs;
                giveUpTimer = loop.schedule(this::giveUp, waitUs + RESPONSE_SLACK_US, TimeUnit.MICROSECONDS);
            }
            ArrayDeque<Connection> pool = idleConnections.get(request.arrival.node());
            for (Connection l; pooled && (l = pool.pollFirst()) != null; ) {
                if (l.channel.isActive() && observations.nowUs() - l.idleSinceUs < MAX_POOL_IDLE_US) {
                    send(l);
                    return;
                }
                l.channel.close();
            }
            if (observations.nowUs() > connectUntilUs[request.arrival.node()]) {
                onUnreached("the sidecar is leaving");
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

        private void onUnreached(String why) {
            observations.add(EventType.UNREACHED, node(), null, id, request.arrival.id(), why, 0, scheduledUs);
            end("unreached", 0);
        }

        private void send(Connection to) {
            connection = to;
            to.attempt = this;
            // What it has waited for its connection it does not wait again.
            long left = Math.max(1, (waitsUntilUs - observations.nowUs()) / 1_000);
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
                    .set("X-Remaining-Ms", left)
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
                        left,
                        scheduledUs);
            }
            if (drawMisbehavior("leave")) {
                loop.schedule(this::abandon, Math.round(waitUs * chance.getAsDouble()), TimeUnit.MICROSECONDS);
            }
            if (drawMisbehavior("crowd") && observations.nowUs() < connectUntilUs[request.arrival.node()]) {
                abusiveConnections.occupyConnections(request.arrival.node());
            }
            if (drawMisbehavior("slow-read")) {
                readSlowly(to);
            }
            if (drawMisbehavior("stop")) {
                abusiveConnections.openStalledRequest(request.arrival.node());
            }
            if (!resent && drawMisbehavior("slow")) {
                writeSlowly(to, m, left);
            } else {
                to.channel.writeAndFlush(m).addListener(f -> onWritten(left));
            }
        }

        /** The last byte has left: the client's time begins. */
        private void onWritten(long leftMs) {
            if (resent || observations.nowUs() - sentUs > IMMEDIATE_WRITE_US) {
                observations.add(EventType.WRITTEN, node(), null, id, request.arrival.id(), null, leftMs, sentUs);
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

        /** The connection has ended without an answer. */
        void onBroken(boolean used, boolean part, String how) {
            if (used && !part && !resent) {
                // The close has crossed the request: it goes once more.
                resent = true;
                begin(false);
                return;
            }
            observations.addBroken(
                    node(),
                    id,
                    request.arrival.id(),
                    part ? "part" : how,
                    used ? 0 : connection.connectStartUs,
                    sentUs);
            end("failed", 0);
        }

        /** Takes its answer only a while after it may have come. */
        private void readSlowly(Connection to) {
            to.channel.config().setAutoRead(false);
            loop.schedule(
                    () -> to.channel.config().setAutoRead(true),
                    Math.round(waitUs * chance.getAsDouble() / 2),
                    TimeUnit.MICROSECONDS);
        }

        /** In pieces of a few bytes; its time runs from the last of them. */
        private void writeSlowly(Connection to, DefaultFullHttpRequest m, long leftMs) {
            EmbeddedChannel encoder = new EmbeddedChannel(new HttpRequestEncoder());
            encoder.writeOutbound(m);
            ByteBuf all = Unpooled.buffer();
            for (ByteBuf part; (part = encoder.readOutbound()) != null; part.release()) {
                all.writeBytes(part);
            }
            encoder.finishAndReleaseAll();
            int pieces = 0;
            while (all.isReadable()) {
                ByteBuf piece = all.readRetainedSlice(Math.min(SLOW_WRITE_CHUNK_BYTES, all.readableBytes()));
                boolean last = !all.isReadable();
                loop.schedule(
                        () -> {
                            ChannelHandlerContext codec = to.channel.pipeline().context(HttpClientCodec.class);
                            if (codec == null || ended) {
                                piece.release();
                            } else {
                                ChannelFuture sent = codec.writeAndFlush(piece);
                                if (last) {
                                    sent.addListener(f -> onWritten(leftMs));
                                }
                            }
                        },
                        pieces++,
                        TimeUnit.MILLISECONDS);
            }
            all.release();
        }

        /** As clients may: before its answer has come. */
        private void abandon() {
            if (ended || connection == null) {
                return;
            }
            ended = true;
            giveUpTimer.cancel(false);
            connection.attempt = null;
            connection.channel.close();
            // Noted after it: a laboratory that is held up here must not count its client as gone before it was.
            observations.add(EventType.LEFT, node(), null, id, request.arrival.id(), null, 0, sentUs);
            request.settle("failed");
        }

        private void giveUp() {
            if (ended) {
                return;
            }
            if (connection != null) {
                connection.attempt = null;
                connection.channel.close();
            }
            // Noted after the close, as in leave().
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

        private void end(String how, double retryAfterMs) {
            if (ended) {
                return;
            }
            ended = true;
            giveUpTimer.cancel(false);
            if (connection != null) {
                connection.attempt = null;
            }
            if (how.equals("served")) {
                request.settle(how);
            } else {
                request.onAttemptEnded(this, how, retryAfterMs);
            }
        }
    }

    /** One connection to a sidecar. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int node;
        /** When it was begun. */
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

        /** Stands before what makes answers whole: an answer that has begun is no silence. */
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
            Attempt of = attempt;
            if (of == null) {
                // A second answer, or one to nobody.
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
            boolean keep = HttpUtil.isKeepAlive(m);
            String after = m.headers().get("Retry-After");
            used = true;
            idleSinceUs = observations.nowUs();
            attempt = null;
            of.onAnswered(
                    m.status().code(), m.content().toString(StandardCharsets.US_ASCII), parseSeconds(after) * 1_000);
            if (!keep) {
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
            Attempt of = attempt;
            attempt = null;
            if (of != null && !of.ended) {
                of.onBroken(used, responseStarted, reset ? "reset" : "closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset = true;
            // An answer that was broken off is told by the end of its connection.
            if (!(cause instanceof IOException) && !(cause instanceof PrematureChannelClosureException)) {
                observations.add(EventType.TROUBLE, "n" + node, null, null, null, "a client failed: " + cause, 0, 0);
            }
            ctx.close();
        }
    }
}

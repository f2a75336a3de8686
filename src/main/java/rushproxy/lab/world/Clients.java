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
    private static final int CONNECT_MS = 1_000;
    private static final int SLOW_PIECE = 16;
    /** What was written within this of its note has its time from that. */
    private static final long AT_ONCE_US = 1_000;

    private static final int MAX_ANSWER = 1 << 20;
    private static final double IDLE_US = 4e6;
    /** After SIGTERM new connections come for this long to twice as long, as the protocol has it. */
    private static final long CONNECTS_ON_US = 200_000;
    /** An answer may come as late as the rules and the sockets allow before its client takes it for lost. */
    private static final long SLACK_US = 70_000;

    private final EventLoop loop;
    private final ObservationLog seen;
    private final Scenario scenario;
    private final DoubleSupplier chance;
    private final List<Traffic.Arrival> arrivals;
    private final List<InetSocketAddress> sidecars;
    private final List<ArrayDeque<Connection>> idle;
    private final Map<String, UpstreamServer.RequestProfile> asked = new HashMap<>();
    /** By how much first tries left later than they were meant to, in microseconds. */
    final Histogram lateness = new Histogram(3);
    /** By node: from then on nobody connects anew, as its platform has told it to leave. */
    private final long[] connectsUntilUs;
    /** Those that send no whole request. */
    private final AbusiveConnections strangers;

    private int next;
    private int open;
    /** How a part of the clients misbehaves; null where none does. */
    private String misbehaves;

    private double misbehaving;
    private Runnable settled = () -> {};

    Clients(
            EventLoop loop,
            ObservationLog seen,
            Scenario scenario,
            DoubleSupplier chance,
            List<Traffic.Arrival> arrivals,
            List<InetSocketAddress> sidecars) {
        this.loop = loop;
        this.seen = seen;
        this.scenario = scenario;
        this.chance = chance;
        this.arrivals = arrivals;
        this.sidecars = sidecars;
        strangers = new AbusiveConnections(loop, seen, sidecars);
        connectsUntilUs = new long[sidecars.size()];
        Arrays.fill(connectsUntilUs, Long.MAX_VALUE);
        idle = sidecars.stream().map(s -> new ArrayDeque<Connection>()).toList();
    }

    /** {@code settled} runs when all first tries are over. */
    void start(Runnable settled) {
        this.settled = settled;
        look();
    }

    /** What a request that a client has sent needs; null for any other id. */
    UpstreamServer.RequestProfile needs(String id) {
        return asked.get(id);
    }

    /** The node was told to leave: new connections come for some tenths of a second more. */
    void leaving(int node) {
        connectsUntilUs[node] = seen.nowUs() + Math.round(CONNECTS_ON_US * (1 + chance.getAsDouble()));
    }

    /** The node is ready again. */
    void back(int node) {
        connectsUntilUs[node] = Long.MAX_VALUE;
    }

    /** This part of the clients misbehaves: {@code how} is "leave", "stop", "slow", "slow-read" or "crowd"; null ends it. */
    void misbehave(String how, double part) {
        misbehaves = how;
        misbehaving = part;
    }

    private boolean misbehavesNow(String how) {
        return how.equals(misbehaves) && chance.getAsDouble() < misbehaving;
    }

    /** No further first tries. */
    void stop() {
        next = arrivals.size();
        look();
    }

    private void look() {
        long now = seen.nowUs();
        while (next < arrivals.size() && arrivals.get(next).atUs() <= now) {
            open++;
            lateness.recordValue(now - arrivals.get(next).atUs());
            new LogicalRequest(arrivals.get(next++)).attempt(0);
        }
        if (next < arrivals.size()) {
            loop.schedule(this::look, arrivals.get(next).atUs() - now, TimeUnit.MICROSECONDS);
        } else if (open == 0) {
            Runnable once = settled;
            settled = () -> {};
            once.run();
        }
    }

    /** What a client wants, from its first try to the end of the last. */
    private final class LogicalRequest {
        private final Traffic.Arrival arrival;
        private final long untilUs;
        private final String idempotencyKey;
        private int tries;
        private String worst = "failed";

        LogicalRequest(Traffic.Arrival arrival) {
            this.arrival = arrival;
            untilUs = arrival.atUs() + arrival.spec().deadlineUs();
            idempotencyKey = arrival.spec().semantics().equals("keyed") ? arrival.id() + "k" : null;
        }

        void attempt(long meantUs) {
            long now = seen.nowUs();
            long left = untilUs - now;
            long wait = Math.min(
                    left,
                    Math.round(scenario.traffic().tryShare() * arrival.spec().deadlineUs()));
            if (wait < 5_000) {
                settle(worst);
                return;
            }
            String id = arrival.id() + Integer.toHexString(tries++);
            asked.put(
                    id,
                    new UpstreamServer.RequestProfile(
                            arrival.workMs(),
                            arrival.key(),
                            idempotencyKey,
                            arrival.spec().group(),
                            arrival.spec().windowUs()));
            new Attempt(this, id, tries == 1 ? arrival.atUs() : meantUs, wait).begin(true);
        }

        void ended(Attempt t, String how, double retryAfterMs) {
            worst = how;
            boolean refused = how.equals("refused");
            String semantics = arrival.spec().semantics();
            boolean again = semantics.equals("safe")
                    || refused
                    || how.equals("unreached")
                    || semantics.equals("keyed")
                            && arrival.spec().group().equals("all")
                            && seen.nowUs() - arrival.atUs() < arrival.spec().windowUs();
            if (!again || tries > scenario.traffic().retries()) {
                settle(how);
                return;
            }
            double waitUs = scenario.traffic().backoffUs();
            if (retryAfterMs > 0 && chance.getAsDouble() < scenario.traffic().honour()) {
                waitUs = retryAfterMs * 1_000;
            }
            long meant = seen.nowUs() + (long) waitUs;
            loop.schedule(() -> attempt(meant), (long) waitUs, TimeUnit.MICROSECONDS);
        }

        void settle(String how) {
            long us = seen.nowUs() - arrival.atUs();
            String word = how.equals("served") && us > arrival.spec().aimUs()
                    ? "late"
                    : how.equals("unreached") ? "failed" : how;
            seen.add(
                    EventType.SETTLED,
                    "n" + arrival.node(),
                    null,
                    null,
                    arrival.id(),
                    word + " " + arrival.spec().name(),
                    us / 1e3,
                    arrival.atUs());
            open--;
            if (open == 0 && next >= arrivals.size()) {
                look();
            }
        }
    }

    /** One try, until its answer or its end without one. */
    private final class Attempt {
        private final LogicalRequest of;
        private final String id;
        private final long meantUs;
        private final long waitUs;
        private Connection line;
        private Future<?> patience;
        /** Its client waits until then. */
        private long waitsUntilUs;

        private long sentUs;
        private boolean again;
        private boolean over;

        Attempt(LogicalRequest of, String id, long meantUs, long waitUs) {
            this.of = of;
            this.id = id;
            this.meantUs = meantUs;
            this.waitUs = waitUs;
        }

        private String node() {
            return "n" + of.arrival.node();
        }

        void begin(boolean pooled) {
            if (patience == null) {
                waitsUntilUs = seen.nowUs() + waitUs;
                patience = loop.schedule(this::giveUp, waitUs + SLACK_US, TimeUnit.MICROSECONDS);
            }
            ArrayDeque<Connection> pool = idle.get(of.arrival.node());
            for (Connection l; pooled && (l = pool.pollFirst()) != null; ) {
                if (l.channel.isActive() && seen.nowUs() - l.idleSinceUs < IDLE_US) {
                    send(l);
                    return;
                }
                l.channel.close();
            }
            if (seen.nowUs() > connectsUntilUs[of.arrival.node()]) {
                unreached("the sidecar is leaving");
                return;
            }
            Connection fresh = new Connection(of.arrival.node());
            ChannelFuture connecting = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            fresh.channel = channel;
                            channel.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            fresh.heads(),
                                            new HttpObjectAggregator(MAX_ANSWER),
                                            fresh);
                        }
                    })
                    .connect(sidecars.get(of.arrival.node()));
            connecting.addListener(f -> {
                if (over) {
                    connecting.channel().close();
                } else if (f.isSuccess()) {
                    send(fresh);
                } else {
                    unreached("" + f.cause().getMessage());
                }
            });
        }

        private void unreached(String why) {
            seen.add(EventType.UNREACHED, node(), null, id, of.arrival.id(), why, 0, meantUs);
            end("unreached", 0);
        }

        private void send(Connection to) {
            line = to;
            to.busy = this;
            // What it has waited for its connection it does not wait again.
            long left = Math.max(1, (waitsUntilUs - seen.nowUs()) / 1_000);
            boolean get = of.arrival.spec().semantics().equals("safe");
            DefaultFullHttpRequest m = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    get ? HttpMethod.GET : HttpMethod.POST,
                    "/api/" + of.arrival.spec().name(),
                    get ? Unpooled.EMPTY_BUFFER : Unpooled.copiedBuffer(id, StandardCharsets.US_ASCII));
            m.headers()
                    .set("Host", "api.internal")
                    .set("X-Txn", id)
                    .set("X-Lane", of.arrival.spec().name())
                    .set("X-Remaining-Ms", left)
                    .set("Cookie", "k=" + Long.toHexString(of.arrival.key()));
            if (!get) {
                m.headers().set("Content-Length", m.content().readableBytes());
            }
            if (of.idempotencyKey != null) {
                m.headers().set("Idempotency-Key", of.idempotencyKey);
            }
            if (of.tries > 1) {
                m.headers().set("X-Resent", "1");
            }
            sentUs = seen.nowUs();
            if (!again) {
                seen.add(
                        EventType.ASKED,
                        node(),
                        null,
                        id,
                        of.arrival.id(),
                        of.arrival.spec().name(),
                        left,
                        meantUs);
            }
            if (misbehavesNow("leave")) {
                loop.schedule(this::leave, Math.round(waitUs * chance.getAsDouble()), TimeUnit.MICROSECONDS);
            }
            if (misbehavesNow("crowd") && seen.nowUs() < connectsUntilUs[of.arrival.node()]) {
                strangers.crowd(of.arrival.node());
            }
            if (misbehavesNow("slow-read")) {
                readSlowly(to);
            }
            if (misbehavesNow("stop")) {
                strangers.stopHalfWay(of.arrival.node());
            }
            if (!again && misbehavesNow("slow")) {
                writeSlowly(to, m, left);
            } else {
                to.channel.writeAndFlush(m).addListener(f -> written(left));
            }
        }

        /** The last byte has left: the client's time begins. */
        private void written(long leftMs) {
            if (again || seen.nowUs() - sentUs > AT_ONCE_US) {
                seen.add(EventType.WRITTEN, node(), null, id, of.arrival.id(), null, leftMs, sentUs);
            }
        }

        void answered(int status, String body, double retryAfterMs) {
            seen.add(EventType.ANSWERED, node(), null, id, of.arrival.id(), status + " " + body, retryAfterMs, sentUs);
            end(status == 200 ? "served" : status == 429 || status == 503 ? "refused" : "failed", retryAfterMs);
        }

        /** The connection has ended without an answer. */
        void broke(boolean used, boolean part, String how) {
            if (used && !part && !again) {
                // The close has crossed the request: it goes once more.
                again = true;
                begin(false);
                return;
            }
            seen.addBroken(node(), id, of.arrival.id(), part ? "part" : how, used ? 0 : line.connectsUs, sentUs);
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
                ByteBuf piece = all.readRetainedSlice(Math.min(SLOW_PIECE, all.readableBytes()));
                boolean last = !all.isReadable();
                loop.schedule(
                        () -> {
                            ChannelHandlerContext codec = to.channel.pipeline().context(HttpClientCodec.class);
                            if (codec == null || over) {
                                piece.release();
                            } else {
                                ChannelFuture sent = codec.writeAndFlush(piece);
                                if (last) {
                                    sent.addListener(f -> written(leftMs));
                                }
                            }
                        },
                        pieces++,
                        TimeUnit.MILLISECONDS);
            }
            all.release();
        }

        /** As clients may: before its answer has come. */
        private void leave() {
            if (over || line == null) {
                return;
            }
            over = true;
            patience.cancel(false);
            line.busy = null;
            line.channel.close();
            // Noted after it: a laboratory that is held up here must not count its client as gone before it was.
            seen.add(EventType.LEFT, node(), null, id, of.arrival.id(), null, 0, sentUs);
            of.settle("failed");
        }

        private void giveUp() {
            if (over) {
                return;
            }
            if (line != null) {
                line.busy = null;
                line.channel.close();
            }
            // Noted after the close, as in leave().
            seen.add(
                    EventType.GAVE_UP,
                    node(),
                    null,
                    id,
                    of.arrival.id(),
                    line == null ? "unconnected" : null,
                    waitUs / 1e3,
                    meantUs);
            end("failed", 0);
        }

        private void end(String how, double retryAfterMs) {
            if (over) {
                return;
            }
            over = true;
            patience.cancel(false);
            if (line != null) {
                line.busy = null;
            }
            if (how.equals("served")) {
                of.settle(how);
            } else {
                of.ended(this, how, retryAfterMs);
            }
        }
    }

    /** One connection to a sidecar. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int node;
        /** When it was begun. */
        private final long connectsUs = seen.nowUs();

        private Channel channel;
        private Attempt busy;
        private boolean used;
        private boolean reset;
        private boolean part;
        private long idleSinceUs;

        Connection(int node) {
            this.node = node;
        }

        /** Stands before what makes answers whole: an answer that has begun is no silence. */
        ChannelInboundHandlerAdapter heads() {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object message) {
                    part |= message instanceof HttpResponse;
                    ctx.fireChannelRead(message);
                }
            };
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse m) {
            part = false;
            Attempt of = busy;
            if (of == null) {
                // A second answer, or one to nobody.
                seen.add(
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
            idleSinceUs = seen.nowUs();
            busy = null;
            of.answered(m.status().code(), m.content().toString(StandardCharsets.US_ASCII), seconds(after) * 1_000);
            if (!keep) {
                ctx.close();
            } else if (busy == null) {
                idle.get(node).addFirst(this);
            }
        }

        private double seconds(String text) {
            try {
                return text == null ? 0 : Double.parseDouble(text);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.get(node).remove(this);
            Attempt of = busy;
            busy = null;
            if (of != null && !of.over) {
                of.broke(used, part, reset ? "reset" : "closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset = true;
            // An answer that was broken off is told by the end of its connection.
            if (!(cause instanceof IOException) && !(cause instanceof PrematureChannelClosureException)) {
                seen.add(EventType.TROUBLE, "n" + node, null, null, null, "a client failed: " + cause, 0, 0);
            }
            ctx.close();
        }
    }
}

package rushproxy.lab.world;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import rushproxy.lab.world.Observation.EventType;

/**
 * One upstream on its sockets, an address for each node, in front of an {@link UpstreamModel}. Lives on the world's event
 * loop from {@link #start} to {@link #crash}, as often as the scenario wants; {@link #end} is for good.
 */
final class UpstreamServer {
    /** Small, so that a few connections of the laboratory's own fill it and the kernel drops all further ones. */
    /** So much of a longer answer comes, and then nothing. */
    private static final int LONG_BEGINNING = 20_000;

    private static final int BACKLOG = 8;
    private static final int MAX_BODY = 1 << 20;

    /** What a request that a client has sent needs and what its repeats mean. */
    record RequestProfile(double workMs, long key, String idempotencyKey, String group, long windowUs) {}

    /** What all upstreams share: the requests that clients have made, and the pods' memory of keys. */
    interface SharedState {
        /** Null where no client has made a request of this id. */
        RequestProfile needs(String id);

        /** True where the key's effect was had in this server's group within its window; else remembers it from now on. */
        boolean repeated(UpstreamServer at, RequestProfile needs);
    }

    final int number;
    final String id;
    final String zone;
    final int cell;
    /** A second answer comes this much after its time at most. */
    private static final long SECOND_LATE_US = 1_000;

    private final rushproxy.lab.scenario.Scenario.Servers spec;
    private final rushproxy.lab.scenario.Scenario.Rules rules;
    private final EventLoop loop;
    private final ObservationLog seen;
    private final Network network;
    private final Network.Endpoint end;
    private final List<Network.Endpoint> nodes;
    private final List<InetSocketAddress> addresses;
    private final SharedState shared;
    private final DoubleSupplier chance;
    private final Runnable fell;
    private final List<NodeListener> pairs = new ArrayList<>();
    private final Set<Connection> connections = new HashSet<>();
    private final List<UpstreamModel.Job> unseen = new ArrayList<>();
    private UpstreamModel model;
    private Future<?> timer;
    private long startedAtMs;
    private double errors;
    private boolean refuses;
    /** How a part of the answers is spoilt; null where none is. */
    private String spoils;

    private double spoilt;

    UpstreamServer(
            int number,
            String zone,
            int cell,
            rushproxy.lab.scenario.Scenario.Servers spec,
            rushproxy.lab.scenario.Scenario.Rules rules,
            EventLoop loop,
            ObservationLog seen,
            Network network,
            List<Network.Endpoint> nodes,
            List<InetSocketAddress> addresses,
            SharedState shared,
            DoubleSupplier chance,
            Runnable fell) {
        this.number = number;
        this.id = "s" + number;
        this.zone = zone;
        this.cell = cell;
        this.spec = spec;
        this.rules = rules;
        this.loop = loop;
        this.seen = seen;
        this.network = network;
        this.end = new Network.Endpoint(id, "servers", zone);
        this.nodes = nodes;
        this.addresses = addresses;
        this.shared = shared;
        this.chance = chance;
        this.fell = fell;
    }

    /** {@code warm}: it has run for long already. The listeners are open when the result is done. */
    List<ChannelFuture> start(boolean warm) {
        long now = seen.nowUs();
        startedAtMs = warm ? 0 : System.currentTimeMillis();
        model = new UpstreamModel(spec, rules, warm ? now - rules.rampUs() - 1 : now);
        errors = 0;
        refuses = false;
        spoils = null;
        seen.add(EventType.SERVER_STARTED, null, id, null, null, warm ? "warm" : "cold", startedAtMs, 0);
        List<ChannelFuture> binds = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            NodeListener pair = new NodeListener(nodes.get(i), addresses.get(i));
            pairs.add(pair);
            binds.add(pair.listen());
        }
        return binds;
    }

    /** Its process is gone: connections are reset, new ones refused, what it held is lost. */
    void crash(String why) {
        if (model == null) {
            return;
        }
        seen.add(EventType.SERVER_ENDED, null, id, null, null, why, 0, 0);
        model = null;
        unseen.clear();
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        pairs.forEach(NodeListener::close);
        pairs.clear();
        for (Connection c : Set.copyOf(connections)) {
            c.reset();
        }
    }

    void end() {
        crash("the run ends");
    }

    boolean running() {
        return model != null;
    }

    long startedAtMs() {
        return startedAtMs;
    }

    rushproxy.lab.scenario.Scenario.Servers spec() {
        return spec;
    }

    Network.Endpoint place() {
        return end;
    }

    int inFlight() {
        return model == null ? 0 : model.working() + model.waiting();
    }

    void hang(boolean on) {
        if (model != null) {
            model.hang(seen.nowUs(), on);
            look();
        }
    }

    void slow(double factor) {
        if (model != null) {
            model.slow(seen.nowUs(), factor);
            look();
        }
    }

    /** This part of the requests gets an error at once. */
    void errors(double part) {
        errors = part;
    }

    /** This part of the answers is spoilt: {@code how} is "half", "second", "reset", "bytewise" or "close"; null ends it. */
    void spoil(String how, double part) {
        spoils = how;
        spoilt = part;
    }

    /** Turns everything away, as a full one does. */
    void refuse(boolean on) {
        refuses = on;
    }

    /** A network fault has begun or ended: whether new connections of a node come up may have changed. */
    void linksChanged() {
        pairs.forEach(NodeListener::look);
    }

    /** Connections between this server and the nodes that the fault touches break. */
    void reset(rushproxy.lab.scenario.Scenario.Fault fault) {
        for (Connection c : Set.copyOf(connections)) {
            if (Network.between(fault, c.node, end)) {
                c.reset();
            }
        }
    }

    private static void reset(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The other side was first.
        }
        channel.close();
    }

    private void look() {
        if (model == null) {
            return;
        }
        long now = seen.nowUs();
        for (UpstreamModel.Job job : model.done(now)) {
            started(job);
            ((PendingRequest) job.tag).done();
        }
        for (UpstreamModel.Job job : List.copyOf(unseen)) {
            if (job.startedUs() >= 0) {
                started(job);
            }
        }
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        long next = model.nextUs();
        if (next != Long.MAX_VALUE) {
            timer = loop.schedule(this::look, next - now, TimeUnit.MICROSECONDS);
        }
        if (model.fallen()) {
            crash("pushed over while cold");
            fell.run();
        }
    }

    private void started(UpstreamModel.Job job) {
        if (unseen.remove(job)) {
            PendingRequest work = (PendingRequest) job.tag;
            boolean repeat = work.needs.idempotencyKey() != null && shared.repeated(this, work.needs);
            seen.add(
                    repeat ? EventType.DROPPED : EventType.RAN,
                    work.connection.node.name(),
                    id,
                    work.id,
                    null,
                    null,
                    job.workMs,
                    job.startedUs());
        }
    }

    /** One request from its last byte to its answer. */
    private final class PendingRequest {
        private final Connection connection;
        private final String id;
        private final RequestProfile needs;

        PendingRequest(Connection connection, String id, RequestProfile needs) {
            this.connection = connection;
            this.id = id;
            this.needs = needs;
        }

        void done() {
            String body = UpstreamServer.this.id + ":" + id + ":"
                    + Long.toHexString((long) (chance.getAsDouble() * (1L << 50)));
            seen.add(EventType.REPLIED, connection.node.name(), UpstreamServer.this.id, id, null, "200 " + body, 0, 0);
            connection.served(id, body);
        }
    }

    /** The address at which one node finds this server. */
    private final class NodeListener {
        private final Network.Endpoint node;
        private final InetSocketAddress address;
        private final List<SocketChannel> fillers = new ArrayList<>();
        private final Set<InetSocketAddress> own = new HashSet<>();
        private Channel listener;

        NodeListener(Network.Endpoint node, InetSocketAddress address) {
            this.node = node;
            this.address = address;
        }

        ChannelFuture listen() {
            ChannelFuture bind = new ServerBootstrap()
                    .group(loop)
                    .channelFactory(() -> new TimestampingServerChannel(seen))
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            accepted(channel);
                        }
                    })
                    .bind(address);
            listener = bind.channel();
            bind.addListener(f -> look());
            return bind;
        }

        private void accepted(Channel channel) {
            if (own.remove((InetSocketAddress) channel.remoteAddress())) {
                channel.close();
                return;
            }
            Connection connection = new Connection((TimestampingServerChannel.Connection) channel, node);
            channel.pipeline()
                    .addLast(
                            connection.firstBytes(),
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_BODY),
                            connection);
        }

        /** A cut in either way keeps connections from coming up: the queue is filled, and the kernel drops the rest. */
        void look() {
            boolean cut = network.cut(node, end) || network.cut(end, node);
            if (cut && fillers.isEmpty()) {
                listener.config().setAutoRead(false);
                fill();
            } else if (!cut && !fillers.isEmpty()) {
                release();
                listener.config().setAutoRead(true);
            }
        }

        private void fill() {
            try {
                for (int i = 0; i <= BACKLOG; i++) {
                    SocketChannel filler = SocketChannel.open();
                    filler.configureBlocking(false);
                    fillers.add(filler);
                    filler.connect(address);
                    own.add((InetSocketAddress) filler.getLocalAddress());
                }
            } catch (IOException e) {
                seen.add(EventType.TROUBLE, node.name(), id, null, null, "a cut could not be made whole: " + e, 0, 0);
            }
        }

        private void release() {
            for (SocketChannel filler : fillers) {
                try {
                    filler.close();
                } catch (IOException e) {
                    // It is gone either way.
                }
            }
            fillers.clear();
        }

        void close() {
            release();
            listener.close();
        }
    }

    /** One connection of a node, from the server's side. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final TimestampingServerChannel.Connection channel;
        private final Network.Endpoint node;
        private final Link link;
        private final List<UpstreamModel.Job> jobs = new ArrayList<>(1);
        private boolean fresh = true;
        /** When the request that is coming began to come; null where none is. */
        private ArrivalTime began;

        Connection(TimestampingServerChannel.Connection channel, Network.Endpoint node) {
            this.channel = channel;
            this.node = node;
            link = new Link(loop, network, node, end);
            if (connections.size() >= spec.connections()) {
                UpstreamServer.reset(channel);
            } else {
                connections.add(this);
            }
        }

        /** Sees the bytes before the request is whole: only one at a time comes on a connection. */
        ChannelInboundHandlerAdapter firstBytes() {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                    if (began == null) {
                        began = channel.lastRead();
                    }
                    ctx.fireChannelRead(bytes);
                }
            };
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest m) {
            ArrivalTime first = began == null ? channel.lastRead() : began;
            began = null;
            String path = m.uri();
            String txn = m.headers().get("X-Txn");
            String key = m.headers().get("Idempotency-Key");
            long toldMs = told(m);
            link.inward(() -> arrived(path, txn, key, first, toldMs));
        }

        private static long told(FullHttpRequest m) {
            String text = m.headers().get("X-Remaining-Ms");
            return text != null && text.matches("[0-9]{1,9}") ? Long.parseLong(text) : 0;
        }

        private void arrived(String path, String txn, String key, ArrivalTime first, long toldMs) {
            // A connection that its node has closed meanwhile still brings what was on its way.
            if (model == null) {
                return;
            }
            if (path.equals("/stats") || path.equals("/health/live")) {
                model.burden(seen.nowUs(), 0.1);
                look();
                answer(HttpResponseStatus.OK, path.equals("/stats") ? report() : "", null);
                return;
            }
            RequestProfile needs = txn == null ? null : shared.needs(txn);
            seen.addReceived(node.name(), id, txn, key, needs == null ? 0 : needs.workMs, first, toldMs);
            if (needs == null) {
                answer(HttpResponseStatus.BAD_REQUEST, "", null);
                return;
            }
            if (fresh) {
                fresh = false;
                model.burden(seen.nowUs(), spec.handshakeMs());
            }
            if (refuses) {
                turnAway(txn);
            } else if (errors > 0 && chance.getAsDouble() < errors) {
                seen.add(EventType.REPLIED, node.name(), id, txn, null, "500", 0, 0);
                answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "", null);
            } else {
                begin(txn, needs);
            }
        }

        private void begin(String txn, RequestProfile needs) {
            UpstreamModel.Job job =
                    model.arrive(seen.nowUs(), needs.workMs, needs.key, new PendingRequest(this, txn, needs));
            if (job == null) {
                turnAway(txn);
            } else {
                unseen.add(job);
                jobs.add(job);
            }
            look();
        }

        private void turnAway(String txn) {
            seen.add(EventType.TURNED_AWAY, node.name(), id, txn, null, null, 0, 0);
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "", "1");
        }

        /** A whole answer, or one that is spoilt on its way. */
        /** A laboratory that is late leaves it out: it would answer the request after. */
        private void second(long dueUs) {
            if (seen.nowUs() - dueUs <= SECOND_LATE_US) {
                raw("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
            }
        }

        void served(String txn, String body) {
            if (spoils == null || chance.getAsDouble() >= spoilt) {
                answer(HttpResponseStatus.OK, body, null);
                return;
            }
            seen.add(EventType.SPOILED, node.name(), id, txn, null, spoils, 0, 0);
            jobs.clear();
            String whole = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            switch (spoils) {
                case "half" -> raw(half(body));
                case "second" -> {
                    raw(whole);
                    int afterMs = 1 + (int) (chance.getAsDouble() * 3);
                    long dueUs = seen.nowUs() + TimeUnit.MILLISECONDS.toMicros(afterMs);
                    loop.schedule(() -> second(dueUs), afterMs, TimeUnit.MILLISECONDS);
                }
                case "reset" -> link.outward(this::reset);
                case "bytewise" -> {
                    for (int i = 0; i < whole.length(); i++) {
                        String next = whole.substring(i, i + 1);
                        loop.schedule(() -> raw(next), i, TimeUnit.MILLISECONDS);
                    }
                }
                case "close" -> {
                    raw(whole);
                    link.outward(() -> channel.close());
                }
                default -> throw new IllegalStateException(spoils);
            }
        }

        /** The beginning of an answer, in one of the framings, after which nothing comes. */
        private String half(String body) {
            String begun = body.substring(0, body.length() / 2);
            return switch ((int) (chance.getAsDouble() * 5)) {
                case 0 -> "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + begun;
                case 1 -> "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                case 2 ->
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length())
                            + "\r\n" + begun;
                case 3 -> "HTTP/1.1 200 OK\r\n\r\n" + begun;
                default ->
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1fffff\r\n" + "x".repeat(LONG_BEGINNING);
            };
        }

        /** Past the codec: what no library would write. */
        private void raw(String text) {
            link.outward(() -> {
                if (channel.isActive()) {
                    channel.pipeline()
                            .context(HttpServerCodec.class)
                            .writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
                }
            });
        }

        private String report() {
            return String.format(
                    Locale.ROOT,
                    "TEXT inflight=%d, queue=%d, util=%.2f",
                    inFlight(),
                    model == null ? 0 : model.waiting(),
                    model == null ? 0 : Math.min(1, model.working() / spec.cores()));
        }

        private void answer(HttpResponseStatus status, String body, String turnedAway) {
            jobs.clear();
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
            response.headers().set("Content-Length", response.content().readableBytes());
            if (turnedAway != null) {
                response.headers().set("X-Turned-Away", turnedAway);
            }
            if (spec.reports().equals("inline")) {
                response.headers().set("X-Pressure", report());
            }
            link.outward(() -> channel.writeAndFlush(response));
        }

        void reset() {
            UpstreamServer.reset(channel);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            link.closed();
            // What has not begun to run is dropped when its sender is known to be gone.
            link.inward(() -> {
                if (model != null) {
                    jobs.forEach(model::leave);
                    unseen.removeAll(
                            jobs.stream().filter(j -> j.startedUs() < 0).toList());
                    look();
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                seen.add(EventType.TROUBLE, node.name(), id, null, null, "an upstream failed: " + cause, 0, 0);
            }
            ctx.close();
        }
    }
}

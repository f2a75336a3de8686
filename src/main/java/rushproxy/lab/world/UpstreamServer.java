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
 * The HTTP side of one simulated upstream: it listens on a separate address for each node and passes requests to an
 * {@link UpstreamModel}. Confined to the world's event loop. It can be started and crashed repeatedly; {@link #close} is final.
 */
final class UpstreamServer {
    /** Length of the part that is sent of a large response that never completes. */
    private static final int PARTIAL_BODY_BYTES = 20_000;

    /** Small, so that a few connections of the laboratory itself fill it and the kernel drops all further ones. */
    private static final int ACCEPT_BACKLOG = 8;

    private static final int MAX_BODY_BYTES = 1 << 20;
    /** Processor time that a probe or a request for statistics costs. */
    private static final double PROBE_WORK_MS = 0.1;

    /** The work that a request causes and the scope within which repeats of its idempotency key are recognized. */
    record RequestProfile(double workMs, long key, String idempotencyKey, String group, long windowUs) {}

    /** State shared by all upstreams: the requests that clients sent and the idempotency keys already processed. */
    interface SharedState {
        /** Returns null if no client sent a request with this id. */
        RequestProfile requestProfile(String id);

        /** Returns true if this server's group has processed the key within its window; otherwise records it as processed now. */
        boolean checkAndRecordRepeat(UpstreamServer server, RequestProfile profile);
    }

    final int number;
    final String id;
    final String zone;
    final int cell;
    /** A duplicate response is skipped if it is later than this: it would be taken for the response to the next request. */
    private static final long MAX_SECOND_RESPONSE_DELAY_US = 1_000;

    private final rushproxy.lab.scenario.Scenario.ServerGroup spec;
    private final rushproxy.lab.scenario.Scenario.Rules rules;
    private final EventLoop loop;
    private final ObservationLog observations;
    private final Network network;
    private final Network.Endpoint endpoint;
    private final List<Network.Endpoint> nodes;
    private final List<InetSocketAddress> addresses;
    private final SharedState sharedState;
    private final DoubleSupplier random;
    private final Runnable onCollapse;
    private final List<NodeListener> nodeListeners = new ArrayList<>();
    private final Set<Connection> connections = new HashSet<>();
    private final List<UpstreamModel.Job> startNotRecorded = new ArrayList<>();
    private UpstreamModel model;
    private Future<?> timer;
    private long startedAtMs;
    private double errorShare;
    private boolean refusing;
    /** How a share of the responses is corrupted, as named in {@link #setCorruption}; null if none is. */
    private String corruptionMode;

    private double corruptedShare;

    UpstreamServer(
            int number,
            String zone,
            int cell,
            rushproxy.lab.scenario.Scenario.ServerGroup spec,
            rushproxy.lab.scenario.Scenario.Rules rules,
            EventLoop loop,
            ObservationLog observations,
            Network network,
            List<Network.Endpoint> nodes,
            List<InetSocketAddress> addresses,
            SharedState sharedState,
            DoubleSupplier random,
            Runnable onCollapse) {
        this.number = number;
        this.id = "s" + number;
        this.zone = zone;
        this.cell = cell;
        this.spec = spec;
        this.rules = rules;
        this.loop = loop;
        this.observations = observations;
        this.network = network;
        this.endpoint = new Network.Endpoint(id, "servers", zone);
        this.nodes = nodes;
        this.addresses = addresses;
        this.sharedState = sharedState;
        this.random = random;
        this.onCollapse = onCollapse;
    }

    /** Starts the server, past its warm-up if {@code warm}. The listeners are open when the returned futures are done. */
    List<ChannelFuture> start(boolean warm) {
        long now = observations.nowUs();
        startedAtMs = warm ? 0 : System.currentTimeMillis();
        model = new UpstreamModel(spec, rules, warm ? now - rules.rampUs() - 1 : now);
        errorShare = 0;
        refusing = false;
        corruptionMode = null;
        observations.add(EventType.SERVER_STARTED, null, id, null, null, warm ? "warm" : "cold", startedAtMs, 0);
        List<ChannelFuture> binds = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            NodeListener nodeListener = new NodeListener(nodes.get(i), addresses.get(i));
            nodeListeners.add(nodeListener);
            binds.add(nodeListener.listen());
        }
        return binds;
    }

    /** Simulates the end of the process: resets all connections, refuses new ones and loses all requests in flight. */
    void crash(String reason) {
        if (model == null) {
            return;
        }
        observations.add(EventType.SERVER_ENDED, null, id, null, null, reason, 0, 0);
        model = null;
        startNotRecorded.clear();
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        nodeListeners.forEach(NodeListener::close);
        nodeListeners.clear();
        for (Connection c : Set.copyOf(connections)) {
            c.reset();
        }
    }

    void close() {
        crash("the run ends");
    }

    boolean isRunning() {
        return model != null;
    }

    long startedAtMs() {
        return startedAtMs;
    }

    rushproxy.lab.scenario.Scenario.ServerGroup spec() {
        return spec;
    }

    Network.Endpoint endpoint() {
        return endpoint;
    }

    int inFlight() {
        return model == null ? 0 : model.activeCount() + model.queuedCount();
    }

    void setHung(boolean on) {
        if (model != null) {
            model.setHung(observations.nowUs(), on);
            update();
        }
    }

    void setSlowdownFactor(double factor) {
        if (model != null) {
            model.setSlowdownFactor(observations.nowUs(), factor);
            update();
        }
    }

    /** Makes a share of the requests fail immediately with status 500. */
    void setErrorShare(double share) {
        errorShare = share;
    }

    /** Corrupts a share of the responses; {@code mode} is "half", "second", "reset", "bytewise" or "close", null ends it. */
    void setCorruption(String mode, double share) {
        corruptionMode = mode;
        corruptedShare = share;
    }

    /** Rejects all requests with status 503, as a server with a full queue does. */
    void setRefusing(boolean on) {
        refusing = on;
    }

    /** Called when a network fault begins or ends, which may change which nodes can connect. */
    void onLinksChanged() {
        nodeListeners.forEach(NodeListener::updateCut);
    }

    /** Resets the connections between this server and the nodes that the fault affects. */
    void reset(rushproxy.lab.scenario.Scenario.Fault fault) {
        for (Connection c : Set.copyOf(connections)) {
            if (Network.affectsLinkBetween(fault, c.node, endpoint)) {
                c.reset();
            }
        }
    }

    private static void reset(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The peer has closed the connection already.
        }
        channel.close();
    }

    private void update() {
        if (model == null) {
            return;
        }
        long now = observations.nowUs();
        for (UpstreamModel.Job job : model.takeCompleted(now)) {
            recordStart(job);
            ((PendingRequest) job.tag).complete();
        }
        for (UpstreamModel.Job job : List.copyOf(startNotRecorded)) {
            if (job.startedUs() >= 0) {
                recordStart(job);
            }
        }
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        long next = model.nextEventUs();
        if (next != Long.MAX_VALUE) {
            timer = loop.schedule(this::update, next - now, TimeUnit.MICROSECONDS);
        }
        if (model.hasCollapsed()) {
            crash("pushed over while cold");
            onCollapse.run();
        }
    }

    private void recordStart(UpstreamModel.Job job) {
        if (startNotRecorded.remove(job)) {
            PendingRequest request = (PendingRequest) job.tag;
            boolean isRepeat =
                    request.profile.idempotencyKey() != null && sharedState.checkAndRecordRepeat(this, request.profile);
            observations.add(
                    isRepeat ? EventType.DROPPED : EventType.RAN,
                    request.connection.node.name(),
                    id,
                    request.id,
                    null,
                    null,
                    job.workMs,
                    job.startedUs());
        }
    }

    /** A completely received request that awaits its response. */
    private final class PendingRequest {
        private final Connection connection;
        private final String id;
        private final RequestProfile profile;

        PendingRequest(Connection connection, String id, RequestProfile profile) {
            this.connection = connection;
            this.id = id;
            this.profile = profile;
        }

        void complete() {
            String body = UpstreamServer.this.id + ":" + id + ":"
                    + Long.toHexString((long) (random.getAsDouble() * (1L << 50)));
            observations.add(
                    EventType.REPLIED, connection.node.name(), UpstreamServer.this.id, id, null, "200 " + body, 0, 0);
            connection.sendResult(id, body);
        }
    }

    /** The listener at the address by which one node reaches this server. */
    private final class NodeListener {
        private final Network.Endpoint node;
        private final InetSocketAddress address;
        private final List<SocketChannel> fillers = new ArrayList<>();
        private final Set<InetSocketAddress> fillerAddresses = new HashSet<>();
        private Channel listener;

        NodeListener(Network.Endpoint node, InetSocketAddress address) {
            this.node = node;
            this.address = address;
        }

        ChannelFuture listen() {
            ChannelFuture bind = new ServerBootstrap()
                    .group(loop)
                    .channelFactory(() -> new TimestampingServerChannel(observations))
                    .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            onAccepted(channel);
                        }
                    })
                    .bind(address);
            listener = bind.channel();
            bind.addListener(f -> updateCut());
            return bind;
        }

        private void onAccepted(Channel channel) {
            if (fillerAddresses.remove((InetSocketAddress) channel.remoteAddress())) {
                channel.close();
                return;
            }
            Connection connection = new Connection((TimestampingServerChannel.Connection) channel, node);
            channel.pipeline()
                    .addLast(
                            connection.requestStartRecorder(),
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_BODY_BYTES),
                            connection);
        }

        /** While either direction is cut, blocks new connections by filling the accept queue, so that the kernel drops further SYNs. */
        void updateCut() {
            boolean cut = network.isCut(node, endpoint) || network.isCut(endpoint, node);
            if (cut && fillers.isEmpty()) {
                listener.config().setAutoRead(false);
                fillBacklog();
            } else if (!cut && !fillers.isEmpty()) {
                releaseBacklog();
                listener.config().setAutoRead(true);
            }
        }

        private void fillBacklog() {
            try {
                for (int i = 0; i <= ACCEPT_BACKLOG; i++) {
                    SocketChannel filler = SocketChannel.open();
                    filler.configureBlocking(false);
                    fillers.add(filler);
                    filler.connect(address);
                    fillerAddresses.add((InetSocketAddress) filler.getLocalAddress());
                }
            } catch (IOException e) {
                observations.add(
                        EventType.TROUBLE,
                        node.name(),
                        id,
                        null,
                        null,
                        "cannot fill the accept queue to simulate a network cut: " + e,
                        0,
                        0);
            }
        }

        private void releaseBacklog() {
            for (SocketChannel filler : fillers) {
                try {
                    filler.close();
                } catch (IOException e) {
                    // Nothing else to release.
                }
            }
            fillers.clear();
        }

        void close() {
            releaseBacklog();
            listener.close();
        }
    }

    /** Server side of one connection from a node. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final TimestampingServerChannel.Connection channel;
        private final Network.Endpoint node;
        private final Link link;
        private final List<UpstreamModel.Job> jobs = new ArrayList<>(1);
        private boolean firstRequest = true;
        /** Arrival time of the first byte of the request being received; null between requests. */
        private ArrivalTime requestStart;

        Connection(TimestampingServerChannel.Connection channel, Network.Endpoint node) {
            this.channel = channel;
            this.node = node;
            link = new Link(loop, network, node, endpoint);
            if (connections.size() >= spec.connections()) {
                UpstreamServer.reset(channel);
            } else {
                connections.add(this);
            }
        }

        /** Records when the first byte of each request arrived; requests on a connection are not pipelined. */
        ChannelInboundHandlerAdapter requestStartRecorder() {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                    if (requestStart == null) {
                        requestStart = channel.lastReadArrival();
                    }
                    ctx.fireChannelRead(bytes);
                }
            };
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest m) {
            ArrivalTime first = requestStart == null ? channel.lastReadArrival() : requestStart;
            requestStart = null;
            String path = m.uri();
            String txn = m.headers().get("X-Txn");
            String key = m.headers().get("Idempotency-Key");
            long clientRemainingMs = remainingMs(m);
            link.sendInward(() -> onRequest(path, txn, key, first, clientRemainingMs));
        }

        private static long remainingMs(FullHttpRequest m) {
            String text = m.headers().get("X-Remaining-Ms");
            return text != null && text.matches("[0-9]{1,9}") ? Long.parseLong(text) : 0;
        }

        private void onRequest(String path, String txn, String key, ArrivalTime first, long clientRemainingMs) {
            // Requests in transit when the node closed its connection arrive too; a crashed server drops them.
            if (model == null) {
                return;
            }
            if (path.equals("/stats") || path.equals("/health/live")) {
                model.addOverhead(observations.nowUs(), PROBE_WORK_MS);
                update();
                sendResponse(HttpResponseStatus.OK, path.equals("/stats") ? loadReport() : "", null);
                return;
            }
            RequestProfile profile = txn == null ? null : sharedState.requestProfile(txn);
            observations.addReceived(
                    node.name(), id, txn, key, profile == null ? 0 : profile.workMs, first, clientRemainingMs);
            if (profile == null) {
                sendResponse(HttpResponseStatus.BAD_REQUEST, "", null);
                return;
            }
            if (firstRequest) {
                firstRequest = false;
                model.addOverhead(observations.nowUs(), spec.handshakeMs());
            }
            if (refusing) {
                turnAway(txn);
            } else if (errorShare > 0 && random.getAsDouble() < errorShare) {
                observations.add(EventType.REPLIED, node.name(), id, txn, null, "500", 0, 0);
                sendResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR, "", null);
            } else {
                submit(txn, profile);
            }
        }

        private void submit(String txn, RequestProfile profile) {
            UpstreamModel.Job job = model.submit(
                    observations.nowUs(), profile.workMs, profile.key, new PendingRequest(this, txn, profile));
            if (job == null) {
                turnAway(txn);
            } else {
                startNotRecorded.add(job);
                jobs.add(job);
            }
            update();
        }

        private void turnAway(String txn) {
            observations.add(EventType.TURNED_AWAY, node.name(), id, txn, null, null, 0, 0);
            sendResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "", "1");
        }

        /** Sends the duplicate response, unless the event loop is late: it would then answer the next request. */
        private void sendSecondResponse(long dueUs) {
            if (observations.nowUs() - dueUs <= MAX_SECOND_RESPONSE_DELAY_US) {
                sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
            }
        }

        /** Sends a complete response, or a corrupted one while that fault is active. */
        void sendResult(String txn, String body) {
            if (corruptionMode == null || random.getAsDouble() >= corruptedShare) {
                sendResponse(HttpResponseStatus.OK, body, null);
                return;
            }
            observations.add(EventType.SPOILED, node.name(), id, txn, null, corruptionMode, 0, 0);
            jobs.clear();
            String response = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            switch (corruptionMode) {
                case "half" -> sendRaw(partialResponse(body));
                case "second" -> {
                    sendRaw(response);
                    int afterMs = 1 + (int) (random.getAsDouble() * 3);
                    long dueUs = observations.nowUs() + TimeUnit.MILLISECONDS.toMicros(afterMs);
                    loop.schedule(() -> sendSecondResponse(dueUs), afterMs, TimeUnit.MILLISECONDS);
                }
                case "reset" -> link.sendOutward(this::reset);
                case "bytewise" -> {
                    for (int i = 0; i < response.length(); i++) {
                        String next = response.substring(i, i + 1);
                        loop.schedule(() -> sendRaw(next), i, TimeUnit.MILLISECONDS);
                    }
                }
                case "close" -> {
                    sendRaw(response);
                    link.sendOutward(() -> channel.close());
                }
                default -> throw new IllegalStateException(corruptionMode);
            }
        }

        /** Returns the beginning of a response that never completes, in a randomly chosen message framing. */
        private String partialResponse(String body) {
            String prefix = body.substring(0, body.length() / 2);
            return switch ((int) (random.getAsDouble() * 5)) {
                case 0 -> "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + prefix;
                case 1 -> "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                case 2 ->
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length())
                            + "\r\n" + prefix;
                case 3 -> "HTTP/1.1 200 OK\r\n\r\n" + prefix;
                default ->
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1fffff\r\n" + "x".repeat(PARTIAL_BODY_BYTES);
            };
        }

        /** Writes bytes past the HTTP codec, which would not produce malformed responses. */
        private void sendRaw(String text) {
            link.sendOutward(() -> {
                if (channel.isActive()) {
                    channel.pipeline()
                            .context(HttpServerCodec.class)
                            .writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
                }
            });
        }

        private String loadReport() {
            return String.format(
                    Locale.ROOT,
                    "TEXT inflight=%d, queue=%d, util=%.2f",
                    inFlight(),
                    model == null ? 0 : model.queuedCount(),
                    model == null ? 0 : Math.min(1, model.activeCount() / spec.cores()));
        }

        private void sendResponse(HttpResponseStatus status, String body, String turnedAwayHeader) {
            jobs.clear();
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
            response.headers().set("Content-Length", response.content().readableBytes());
            if (turnedAwayHeader != null) {
                response.headers().set("X-Turned-Away", turnedAwayHeader);
            }
            if (spec.reports().equals("inline")) {
                response.headers().set("X-Pressure", loadReport());
            }
            link.sendOutward(() -> channel.writeAndFlush(response));
        }

        void reset() {
            UpstreamServer.reset(channel);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            link.dropOutward();
            // Requests still queued are dropped once the close of their connection has arrived.
            link.sendInward(() -> {
                if (model != null) {
                    jobs.forEach(model::removeQueued);
                    startNotRecorded.removeAll(
                            jobs.stream().filter(j -> j.startedUs() < 0).toList());
                    update();
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                observations.add(
                        EventType.TROUBLE,
                        node.name(),
                        id,
                        null,
                        null,
                        "unexpected exception on an upstream connection: " + cause,
                        0,
                        0);
            }
            ctx.close();
        }
    }
}

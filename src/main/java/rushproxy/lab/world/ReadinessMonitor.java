package rushproxy.lab.world;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import rushproxy.lab.world.Observation.EventType;

/**
 * The load balancer in front of the sidecars, in a run whose sidecars are drained. It asks each for its readiness, sends no new
 * connections to one that is not ready, and keeps one connection to each that rests.
 */
final class ReadinessMonitor {
    private static final long PROBE_INTERVAL_MS = 100;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long RESPONSE_TIMEOUT_MS = 1_000;
    /** New connections stop this long after a response that the sidecar is not ready. */
    private static final long CONNECT_AFTER_NOT_READY_US = 200_000;

    private static final String REQUEST = "GET /health/ready HTTP/1.1\r\nHost: a\r\n";
    private static final String CLOSING_REQUEST = REQUEST + "Connection: close\r\n\r\n";
    private static final String KEPT_REQUEST = REQUEST + "\r\n";
    /** As far as the three digits of the status. */
    private static final int STATUS_START = "HTTP/1.1 ".length();

    private static final int STATUS_END = STATUS_START + 3;

    private final EventLoop loop;
    private final ObservationLog observations;
    private final List<InetSocketAddress> sidecars;
    /** Whether the platform lets clients connect to the sidecar, ready or not. */
    private final IntPredicate isRunning;
    /** By node: since when it is not ready; {@code Long.MAX_VALUE} while it is. */
    private final long[] notReadySinceUs;

    /** By node. */
    private final Map<Integer, Channel> resting = new HashMap<>();

    private int restingCount;
    /** Null before the start. */
    private Future<?> probes;

    ReadinessMonitor(
            EventLoop loop, ObservationLog observations, List<InetSocketAddress> sidecars, IntPredicate isRunning) {
        this.loop = loop;
        this.observations = observations;
        this.sidecars = sidecars;
        this.isRunning = isRunning;
        notReadySinceUs = new long[sidecars.size()];
        Arrays.fill(notReadySinceUs, Long.MAX_VALUE);
    }

    void start() {
        probes = loop.scheduleAtFixedRate(this::probeAll, 0, PROBE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Asks no more, and closes the connections that still rest. */
    void stop() {
        if (probes != null) {
            probes.cancel(false);
        }
        List.copyOf(resting.values()).forEach(Channel::close);
    }

    /** Whether new connections may go to the sidecar. */
    boolean mayConnect(int node) {
        return notReadySinceUs[node] == Long.MAX_VALUE
                || observations.nowUs() < notReadySinceUs[node] + CONNECT_AFTER_NOT_READY_US;
    }

    private void probeAll() {
        for (int node = 0; node < sidecars.size(); node++) {
            connect(node, new Probe(node), CLOSING_REQUEST);
            if (!resting.containsKey(node) && mayConnect(node) && isRunning.test(node)) {
                // One that rests after its request and one that has never sent anything, in turn.
                String request = restingCount++ % 2 == 0 ? KEPT_REQUEST : "";
                resting.put(node, connect(node, new RestingConnection(node), request));
            }
        }
    }

    private Channel connect(int node, EndListener handler, String request) {
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(handler)
                .connect(sidecars.get(node));
        connecting.addListener(connected -> {
            if (connected.isSuccess()) {
                connecting.channel().writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
            }
            // Also runs at once where the connection never came up.
            connecting.channel().closeFuture().addListener(closed -> handler.onEnd(connected.isSuccess()));
        });
        return connecting.channel();
    }

    private void record(EventType type, int node, String text, long sinceUs) {
        observations.add(type, "n" + node, null, null, null, text, 0, sinceUs);
    }

    private abstract class EndListener extends SimpleChannelInboundHandler<ByteBuf> {
        final int node;
        final long startUs = observations.nowUs();

        EndListener(int node) {
            this.node = node;
        }

        abstract void onEnd(boolean wasConnected);

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf response) {}

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Asks once. */
    private final class Probe extends EndListener {
        private final StringBuilder response = new StringBuilder();
        private boolean isRecorded;

        Probe(int node) {
            super(node);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            loop.schedule(() -> ctx.close(), RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf part) {
            response.append(part.toString(StandardCharsets.US_ASCII));
            if (response.length() >= STATUS_END && !isRecorded) {
                isRecorded = true;
                String status = response.substring(STATUS_START, STATUS_END);
                record(EventType.READINESS, node, status, startUs);
                onStatus(status.equals("200"));
                ctx.close();
            }
        }

        private void onStatus(boolean isReady) {
            if (isReady) {
                notReadySinceUs[node] = Long.MAX_VALUE;
            } else {
                notReadySinceUs[node] = Math.min(notReadySinceUs[node], observations.nowUs());
            }
        }

        @Override
        void onEnd(boolean wasConnected) {
            if (!isRecorded) {
                isRecorded = true;
                record(EventType.READINESS, node, "no answer", startUs);
            }
        }
    }

    /** Rests until the sidecar closes it, or the run ends. */
    private final class RestingConnection extends EndListener {
        RestingConnection(int node) {
            super(node);
        }

        @Override
        void onEnd(boolean wasConnected) {
            resting.remove(node);
            if (wasConnected) {
                record(EventType.RESTED, node, null, startUs);
            }
        }
    }
}

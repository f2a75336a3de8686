package rushproxy.lab.world;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import rushproxy.lab.world.Observation.EventType;

/** Connections to sidecars that carry no application request: some stall within a request, others only occupy connection slots. */
final class AbusiveConnections {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final String PARTIAL_REQUEST = "POST /api HTTP/1.1\r\nHost: a\r\nX-Tx";
    private static final String READINESS_REQUEST = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    /** Connections that one crowd opens, and how long it keeps them open. */
    private static final int CROWD_CONNECTIONS = 16;

    private static final long CROWD_DURATION_US = 3_000_000;

    private final EventLoop loop;
    private final ObservationLog observations;
    private final List<InetSocketAddress> sidecars;

    AbusiveConnections(EventLoop loop, ObservationLog observations, List<InetSocketAddress> sidecars) {
        this.loop = loop;
        this.observations = observations;
        this.sidecars = sidecars;
    }

    /** Sends half a request and then nothing; the sidecar must answer with an error or close the connection. */
    void openStalledRequest(int node) {
        long sinceUs = observations.nowUs();
        connect(node, new AbusiveConnection(PARTIAL_REQUEST) {
            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                observations.add(
                        EventType.DISMISSED,
                        "n" + node,
                        null,
                        null,
                        null,
                        null,
                        (observations.nowUs() - sinceUs) / 1e3,
                        sinceUs);
            }
        });
    }

    /** Opens connections that stay open for a while: half of them send one readiness request, the others nothing. */
    void occupyConnections(int node) {
        for (int i = 0; i < CROWD_CONNECTIONS; i++) {
            connect(node, new AbusiveConnection(i % 2 == 0 ? READINESS_REQUEST : "") {
                @Override
                public void channelActive(ChannelHandlerContext ctx) {
                    super.channelActive(ctx);
                    loop.schedule(() -> ctx.close(), CROWD_DURATION_US, TimeUnit.MICROSECONDS);
                }
            });
        }
    }

    private void connect(int node, AbusiveConnection connection) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(connection)
                .connect(sidecars.get(node));
    }

    /** Sends its payload and discards all that it receives. */
    private abstract static class AbusiveConnection extends ChannelInboundHandlerAdapter {
        private final String payload;

        AbusiveConnection(String payload) {
            this.payload = payload;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (!payload.isEmpty()) {
                ctx.writeAndFlush(Unpooled.copiedBuffer(payload, StandardCharsets.US_ASCII));
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

package rushproxy.lab.world;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A crowd at one sidecar. Each of its connections sends a request without the end of its body, and is opened again whenever it is closed.
 * A third of them stop within the body, a third stop after a request that was answered, and a third leave.
 */
final class ReturningConnections {
    private static final int CONNECTIONS = 220;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long RECONNECT_PAUSE_MS = 5;
    private static final long LEAVE_AFTER_MS = 30;
    private static final int STATED_BYTES = 65_000;
    private static final int SENT_BYTES = 62_000;
    private static final ByteBuf BODY = Unpooled.unreleasableBuffer(
            Unpooled.wrappedBuffer("x".repeat(SENT_BYTES).getBytes(StandardCharsets.US_ASCII))
                    .asReadOnly());
    private static final String READINESS_REQUEST = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";

    private enum Behaviour {
        STOPS,
        STOPS_AFTER_AN_ANSWER,
        LEAVES
    }

    private final EventLoop loop;
    private final InetSocketAddress sidecar;
    private final String requestClass;
    private final long remainingMs;
    private final BooleanSupplier mayConnect;
    private boolean ended;
    private int opened;

    /** {@code mayConnect}: whether clients open new connections to the sidecar at the moment. */
    ReturningConnections(
            EventLoop loop,
            InetSocketAddress sidecar,
            String requestClass,
            long remainingMs,
            BooleanSupplier mayConnect) {
        this.loop = loop;
        this.sidecar = sidecar;
        this.requestClass = requestClass;
        this.remainingMs = remainingMs;
        this.mayConnect = mayConnect;
    }

    void start() {
        for (int i = 0; i < CONNECTIONS; i++) {
            open(Behaviour.values()[i % Behaviour.values().length]);
        }
    }

    /** Opens no more connections; those that are open stay until the sidecar closes them. */
    void end() {
        ended = true;
    }

    private void open(Behaviour behaviour) {
        if (ended) {
            return;
        }
        if (!mayConnect.getAsBoolean()) {
            openLater(behaviour);
            return;
        }
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ReturningConnection(behaviour))
                .connect(sidecar)
                .addListener((ChannelFutureListener) connected -> {
                    if (!connected.isSuccess()) {
                        openLater(behaviour);
                    }
                });
    }

    private void openLater(Behaviour behaviour) {
        loop.schedule(() -> open(behaviour), RECONNECT_PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    private String uploadHead() {
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: crowd-" + opened++ + "\r\nX-Lane: " + requestClass
                + "\r\nX-Remaining-Ms: " + remainingMs + "\r\nContent-Length: " + STATED_BYTES + "\r\n\r\n";
    }

    private final class ReturningConnection extends ChannelInboundHandlerAdapter {
        private final Behaviour behaviour;
        private boolean uploads;

        ReturningConnection(Behaviour behaviour) {
            this.behaviour = behaviour;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (behaviour == Behaviour.STOPS_AFTER_AN_ANSWER) {
                ctx.writeAndFlush(Unpooled.copiedBuffer(READINESS_REQUEST, StandardCharsets.US_ASCII));
            } else {
                upload(ctx.channel());
            }
        }

        private void upload(Channel channel) {
            uploads = true;
            channel.write(Unpooled.copiedBuffer(uploadHead(), StandardCharsets.US_ASCII));
            channel.writeAndFlush(BODY.duplicate());
            if (behaviour == Behaviour.LEAVES) {
                loop.schedule(() -> channel.close(), LEAVE_AFTER_MS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
            if (!uploads) {
                upload(ctx.channel());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            openLater(behaviour);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

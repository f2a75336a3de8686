package rushproxy.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** How this program opens HTTP connections, to upstreams and to discovery alike. */
final class OutboundConnector {
    private static final int NETTY_TIMEOUT_DISABLED = 0;

    private OutboundConnector() {}

    /** Each connection gets a handler of its own, which sees whole answers of at most {@code maxBody} bytes. */
    static Bootstrap aggregatingBootstrap(EventLoop loop, int maxBody, Supplier<ChannelHandler> handler) {
        return bootstrap(
                        loop,
                        channel -> channel.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        new UpstreamResponseDecoder(),
                                        new HttpObjectAggregator(maxBody),
                                        handler.get()))
                .channelFactory(TcpConnection::new);
    }

    /** As {@link #aggregatingBootstrap}, but the handler sees each part of an answer as it comes. */
    static Bootstrap streamingBootstrap(EventLoop loop, Supplier<ChannelHandler> handler) {
        return Window.on(bootstrap(
                        loop,
                        channel -> channel.pipeline()
                                .addLast(new HttpRequestEncoder(), new UpstreamResponseDecoder(), handler.get())))
                .channelFactory(() -> Window.sized(new TcpConnection()));
    }

    /** How a connection came up, or did not: told once, on the loop. */
    interface ConnectListener {
        /** {@code failure} is null where it is up. */
        void connectCompleted(Throwable failure);
    }

    /**
     * Connects, or fails {@code timeoutUs} later. Null where not even a socket could be opened, for want of descriptors: that is told
     * on the loop like any other failure, but there is no connection, not even one to be closed.
     *
     * <p>A loop that was held up runs its timers before it sees which connections have come up meanwhile. So the time-out looks at the
     * sockets first: Netty's own would end a connection that is up.
     */
    static Channel connect(
            Bootstrap by, EventLoop loop, InetSocketAddress to, long timeoutUs, ConnectListener dialled) {
        ChannelFuture connecting = by.connect(to);
        if (connecting.isDone() && !connecting.channel().isRegistered()) {
            // It belongs to no loop, and would be told on a thread of nobody's.
            loop.execute(() -> dialled.connectCompleted(connecting.cause()));
            return null;
        }
        PendingConnect attempt = new PendingConnect(connecting, dialled);
        Future<?> timeout =
                loop.schedule(() -> SocketLook.before(loop, attempt::timeOut), timeoutUs, TimeUnit.MICROSECONDS);
        connecting.addListener(f -> {
            timeout.cancel(false);
            attempt.complete(f.cause());
        });
        return connecting.channel();
    }

    /** One connection that is coming up. */
    private static final class PendingConnect {
        private final ChannelFuture connecting;
        private final ConnectListener dialled;
        private boolean timedOut;

        PendingConnect(ChannelFuture connecting, ConnectListener dialled) {
            this.connecting = connecting;
            this.dialled = dialled;
        }

        /** Its time is over: the close fails what is still connecting. */
        void timeOut() {
            if (!connecting.isDone()) {
                timedOut = true;
                connecting.channel().close();
            }
        }

        void complete(Throwable failure) {
            dialled.connectCompleted(
                    timedOut && failure != null ? new ConnectTimeoutException("no connection in its time") : failure);
        }
    }

    private static Bootstrap bootstrap(EventLoop loop, Consumer<Channel> init) {
        return new Bootstrap()
                .group(loop)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NETTY_TIMEOUT_DISABLED)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        init.accept(channel);
                    }
                });
    }
}

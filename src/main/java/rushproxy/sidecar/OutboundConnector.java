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

/** Opens HTTP connections to upstreams and to discovery. */
final class OutboundConnector {
    /** {@link #connect} has a timeout of its own. */
    private static final int NETTY_TIMEOUT_DISABLED = 0;

    private OutboundConnector() {}

    /** Each connection gets its own handler, which receives complete responses with at most {@code maxBodyBytes} of content. */
    static Bootstrap aggregatingBootstrap(EventLoop loop, int maxBodyBytes, Supplier<ChannelHandler> handler) {
        return bootstrap(
                        loop,
                        channel -> channel.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        new UpstreamResponseDecoder(),
                                        new HttpObjectAggregator(maxBodyBytes),
                                        handler.get()))
                .channelFactory(TcpConnection::new);
    }

    /** As {@link #aggregatingBootstrap}, but the handler receives each part of a response as it arrives. */
    static Bootstrap streamingBootstrap(EventLoop loop, StreamBuffers streams, Supplier<ChannelHandler> handler) {
        return ConnectionBuffers.configure(
                        bootstrap(
                                loop,
                                channel -> channel.pipeline()
                                        .addLast(
                                                new HttpRequestEncoder(),
                                                new UpstreamResponseDecoder(),
                                                handler.get())),
                        streams)
                .channelFactory(() -> ConnectionBuffers.withSocketBuffers(new TcpConnection()));
    }

    /** Receives the result of a connect, once, on the event loop. */
    interface ConnectListener {
        /** {@code failure} is null if the connection is established. */
        void connectCompleted(Throwable failure);
    }

    /**
     * Connects, or fails after {@code timeoutUs}. Returns null if no socket could be opened, for example for lack of descriptors; the
     * listener is then called on the event loop as with any other failure.
     *
     * <p>After a delay the event loop runs its timers before it processes the sockets that have become ready. The timeout therefore waits
     * for the sockets to be processed first; Netty's own timeout would close a connection that is established.
     */
    static Channel connect(
            Bootstrap bootstrap, EventLoop loop, InetSocketAddress address, long timeoutUs, ConnectListener listener) {
        ChannelFuture connect = bootstrap.connect(address);
        if (connect.isDone() && !connect.channel().isRegistered()) {
            // The channel is not registered with a loop, so its future would notify on a foreign thread.
            loop.execute(() -> listener.connectCompleted(connect.cause()));
            return null;
        }
        PendingConnect pending = new PendingConnect(connect, listener);
        Future<?> timeout = loop.schedule(
                () -> SocketPolling.runAfterNextPoll(loop, pending::timeOut), timeoutUs, TimeUnit.MICROSECONDS);
        connect.addListener(f -> {
            timeout.cancel(false);
            pending.complete(f.cause());
        });
        return connect.channel();
    }

    /** A connect in progress. */
    private static final class PendingConnect {
        private final ChannelFuture connect;
        private final ConnectListener listener;
        private boolean isTimedOut;

        PendingConnect(ChannelFuture connect, ConnectListener listener) {
            this.connect = connect;
            this.listener = listener;
        }

        /** Closing the channel fails a connect that is still in progress. */
        void timeOut() {
            if (!connect.isDone()) {
                isTimedOut = true;
                connect.channel().close();
            }
        }

        void complete(Throwable failure) {
            listener.connectCompleted(
                    isTimedOut && failure != null ? new ConnectTimeoutException("connect timed out") : failure);
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

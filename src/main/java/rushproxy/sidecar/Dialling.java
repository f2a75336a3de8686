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
final class Dialling {
    private static final int NO_TIMEOUT_OF_NETTY = 0;

    private Dialling() {}

    /** Each connection gets a handler of its own, which sees whole answers of at most {@code maxBody} bytes. */
    static Bootstrap whole(EventLoop loop, int maxBody, Supplier<ChannelHandler> handler) {
        return dialling(
                        loop,
                        channel -> channel.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        new AnswerDecoder(),
                                        new HttpObjectAggregator(maxBody),
                                        handler.get()))
                .channelFactory(TcpConnection::new);
    }

    /** As {@link #whole}, but the handler sees each part of an answer as it comes. */
    static Bootstrap http(EventLoop loop, Supplier<ChannelHandler> handler) {
        return ConnectionBuffers.configure(dialling(
                        loop,
                        channel -> channel.pipeline()
                                .addLast(new HttpRequestEncoder(), new AnswerDecoder(), handler.get())))
                .channelFactory(() -> ConnectionBuffers.withSocketBuffers(new TcpConnection()));
    }

    /** How a connection came up, or did not: told once, on the loop. */
    interface Dialled {
        /** {@code failure} is null where it is up. */
        void told(Throwable failure);
    }

    /**
     * Connects, or fails {@code timeoutUs} later. Null where not even a socket could be opened, for want of descriptors: that is told
     * on the loop like any other failure, but there is no connection, not even one to be closed.
     *
     * <p>A loop that was held up runs its timers before it sees which connections have come up meanwhile. So the time-out looks at the
     * sockets first: Netty's own would end a connection that is up.
     */
    static Channel connect(Bootstrap by, EventLoop loop, InetSocketAddress to, long timeoutUs, Dialled dialled) {
        ChannelFuture connecting = by.connect(to);
        if (connecting.isDone() && !connecting.channel().isRegistered()) {
            // It belongs to no loop, and would be told on a thread of nobody's.
            loop.execute(() -> dialled.told(connecting.cause()));
            return null;
        }
        Attempt attempt = new Attempt(connecting, dialled);
        Future<?> timeout = loop.schedule(
                () -> SocketPolling.runAfterNextPoll(loop, attempt::giveUp), timeoutUs, TimeUnit.MICROSECONDS);
        connecting.addListener(f -> {
            timeout.cancel(false);
            attempt.tell(f.cause());
        });
        return connecting.channel();
    }

    /** One connection that is coming up. */
    private static final class Attempt {
        private final ChannelFuture connecting;
        private final Dialled dialled;
        private boolean gaveUp;

        Attempt(ChannelFuture connecting, Dialled dialled) {
            this.connecting = connecting;
            this.dialled = dialled;
        }

        /** Its time is over: the close fails what is still connecting. */
        void giveUp() {
            if (!connecting.isDone()) {
                gaveUp = true;
                connecting.channel().close();
            }
        }

        void tell(Throwable failure) {
            dialled.told(
                    gaveUp && failure != null ? new ConnectTimeoutException("no connection in its time") : failure);
        }
    }

    private static Bootstrap dialling(EventLoop loop, Consumer<Channel> init) {
        return new Bootstrap()
                .group(loop)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NO_TIMEOUT_OF_NETTY)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        init.accept(channel);
                    }
                });
    }
}

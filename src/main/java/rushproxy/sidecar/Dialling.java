package rushproxy.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** How this program opens HTTP connections, to upstreams and to discovery alike. */
final class Dialling {
    private Dialling() {}

    /** Each connection gets a handler of its own, which sees whole answers of at most {@code maxBody} bytes. */
    static Bootstrap whole(EventLoop loop, int connectMs, int maxBody, Supplier<ChannelHandler> handler) {
        return dialling(loop, connectMs, channel -> channel.pipeline().addLast(new HttpRequestEncoder(),
                new AnswerDecoder(), new HttpObjectAggregator(maxBody), handler.get())).channelFactory(TcpConnection::new);
    }

    /** As {@link #whole}, but the handler sees each part of an answer as it comes. */
    static Bootstrap http(EventLoop loop, int connectMs, Supplier<ChannelHandler> handler) {
        return Window.on(dialling(loop, connectMs, channel -> channel.pipeline().addLast(new HttpRequestEncoder(),
                new AnswerDecoder(), handler.get()))).channelFactory(() -> Window.sized(new TcpConnection()));
    }

    /** How a connection came up, or did not: told once, on the loop. */
    interface Dialled {
        /** {@code failure} is null where it is up. */
        void told(Throwable failure);
    }

    /**
     * Connects. Null where not even a socket could be opened, for want of descriptors: that is told on the loop like any other
     * failure, but there is no connection, not even one to be closed.
     */
    static Channel connect(Bootstrap by, EventLoop loop, InetSocketAddress to, Dialled dialled) {
        ChannelFuture connecting = by.connect(to);
        if (connecting.isDone() && !connecting.channel().isRegistered()) {
            // It belongs to no loop, and would be told on a thread of nobody's.
            loop.execute(() -> dialled.told(connecting.cause()));
            return null;
        }
        connecting.addListener(f -> dialled.told(f.cause()));
        return connecting.channel();
    }

    private static Bootstrap dialling(EventLoop loop, int connectMs, Consumer<Channel> init) {
        return new Bootstrap().group(loop).disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMs)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        init.accept(channel);
                    }
                });
    }
}

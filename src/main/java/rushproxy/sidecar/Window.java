package rushproxy.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import java.net.StandardSocketOptions;

/** How much of a message lies in this program, and in the kernel for it, at each of its connections. */
final class Window {
    private static final int READ = 16 * 1024;
    private static final WriteBufferWaterMark WAITING = new WriteBufferWaterMark(READ, 2 * READ);
    /** The kernel would let megabytes lie there, and tell of room only once a third of them is gone. */
    private static final int SOCKET = 128 * 1024;

    private Window() {}

    static Bootstrap on(Bootstrap to) {
        return to.option(ChannelOption.RECVBUF_ALLOCATOR, reads())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WAITING);
    }

    static ServerBootstrap on(ServerBootstrap to) {
        return to.childOption(ChannelOption.RECVBUF_ALLOCATOR, reads())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WAITING);
    }

    /** What the kernel holds. Not by the transport's own options: a connection whose option can't be set is closed by it. */
    static TcpConnection sized(TcpConnection connection) {
        connection.options().set(StandardSocketOptions.SO_SNDBUF, SOCKET);
        connection.options().set(StandardSocketOptions.SO_RCVBUF, SOCKET);
        return connection;
    }

    private static AdaptiveRecvByteBufAllocator reads() {
        return new AdaptiveRecvByteBufAllocator(256, 2048, READ);
    }
}

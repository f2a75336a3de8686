package rushproxy.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import java.net.StandardSocketOptions;

/** How much of a message lies in this program, and in the kernel for it, at each of its connections. */
final class ConnectionBuffers {
    private static final int MAX_READ_BYTES = 16 * 1024;
    private static final WriteBufferWaterMark WRITE_WATER_MARK =
            new WriteBufferWaterMark(MAX_READ_BYTES, 2 * MAX_READ_BYTES);
    /** The kernel would let megabytes lie there, and tell of room only once a third of them is gone. */
    private static final int SOCKET_BUFFER_BYTES = 128 * 1024;

    private ConnectionBuffers() {}

    static Bootstrap configure(Bootstrap to) {
        return to.option(ChannelOption.RECVBUF_ALLOCATOR, receiveBufferAllocator())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK);
    }

    static ServerBootstrap configure(ServerBootstrap to) {
        return to.childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveBufferAllocator())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK);
    }

    /** What the kernel holds. Not by the transport's own options: a connection whose option can't be set is closed by it. */
    static TcpConnection withSocketBuffers(TcpConnection connection) {
        connection.options().set(StandardSocketOptions.SO_SNDBUF, SOCKET_BUFFER_BYTES);
        connection.options().set(StandardSocketOptions.SO_RCVBUF, SOCKET_BUFFER_BYTES);
        return connection;
    }

    private static AdaptiveRecvByteBufAllocator receiveBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(256, 2048, MAX_READ_BYTES);
    }
}

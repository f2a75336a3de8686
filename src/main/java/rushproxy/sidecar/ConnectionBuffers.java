package rushproxy.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import java.net.StandardSocketOptions;

/** Limits how much data each connection buffers in this process and in the kernel. */
final class ConnectionBuffers {
    private static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(16 * 1024, 32 * 1024);
    /** By default the kernel would buffer megabytes, and signal writability only once a third of them is free. */
    private static final int SOCKET_BUFFER_BYTES = 128 * 1024;

    private ConnectionBuffers() {}

    static Bootstrap configure(Bootstrap bootstrap, StreamBuffers streams) {
        return bootstrap
                .option(ChannelOption.RECVBUF_ALLOCATOR, streams.readAllocator())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK);
    }

    static ServerBootstrap configure(ServerBootstrap bootstrap, StreamBuffers streams) {
        return bootstrap
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, streams.readAllocator())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK);
    }

    /** Sets the kernel's buffer sizes. Not done by Netty's channel options, since Netty closes a connection if one can't be set. */
    static TcpConnection withSocketBuffers(TcpConnection connection) {
        connection.options().set(StandardSocketOptions.SO_SNDBUF, SOCKET_BUFFER_BYTES);
        connection.options().set(StandardSocketOptions.SO_RCVBUF, SOCKET_BUFFER_BYTES);
        return connection;
    }
}

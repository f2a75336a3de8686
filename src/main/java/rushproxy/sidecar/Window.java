package rushproxy.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;

/** How much of a message lies in this program, and in the kernel for it, at each of its connections. */
final class Window {
    private static final int READ = 16 * 1024;
    private static final WriteBufferWaterMark WAITING = new WriteBufferWaterMark(READ, 2 * READ);
    /** The kernel would let megabytes lie there, and tell of room only once a third of them is gone. */
    private static final int SOCKET = 128 * 1024;

    private Window() {}

    static Bootstrap on(Bootstrap to) {
        return to.option(ChannelOption.RECVBUF_ALLOCATOR, reads())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WAITING)
                .option(ChannelOption.SO_SNDBUF, SOCKET)
                .option(ChannelOption.SO_RCVBUF, SOCKET);
    }

    static ServerBootstrap on(ServerBootstrap to) {
        return to.childOption(ChannelOption.RECVBUF_ALLOCATOR, reads())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WAITING)
                .childOption(ChannelOption.SO_SNDBUF, SOCKET)
                .childOption(ChannelOption.SO_RCVBUF, SOCKET);
    }

    private static AdaptiveRecvByteBufAllocator reads() {
        return new AdaptiveRecvByteBufAllocator(256, 2048, READ);
    }
}

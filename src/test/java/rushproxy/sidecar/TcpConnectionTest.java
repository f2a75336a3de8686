package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.nio.NioIoOps;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SelectionKey;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a connection waits for, over the renewal of its registration. */
@Timeout(60)
class TcpConnectionTest {
    /** Guards against responses that are never read, because a write was blocked while the registration was renewed. */
    @Test
    void aWriteThatBlocksWhileTheRegistrationIsRenewedLeavesReadingOn() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            TcpConnection connection = (TcpConnection) new Bootstrap()
                    .group(group)
                    .channelFactory(TcpConnection::new)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(server.getLocalSocketAddress())
                    .sync()
                    .channel();
            int both = SelectionKey.OP_READ | SelectionKey.OP_WRITE;
            connection
                    .eventLoop()
                    .submit(() -> {
                        connection.withdrawInterest();
                        connection.addAndSubmit(NioIoOps.WRITE);
                        connection.restoreInterest(both);
                        assertEquals(both, connection.interestOps());
                    })
                    .sync();
            connection.close().sync();
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }
}

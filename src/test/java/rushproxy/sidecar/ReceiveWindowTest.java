package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushproxy.sidecar.TcpInfo.ReceiveWindow.OPEN;
import static rushproxy.sidecar.TcpInfo.ReceiveWindow.SHUT;

import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What the kernel tells of the room in a receive buffer. */
@Timeout(60)
class ReceiveWindowTest {
    private static final int BUFFER_BYTES = 128 * 1024;
    private static final int PIECE_BYTES = 20_000;

    /** Guards against a kind of machine or a kernel on which a full receive buffer is not seen. */
    @Test
    void aFullReceiveBufferShutsTheWindow() throws Exception {
        try (ServerSocketChannel listener = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
                SocketChannel client = SocketChannel.open(listener.getLocalAddress());
                SocketChannel accepted = listener.accept()) {
            accepted.setOption(StandardSocketOptions.SO_RCVBUF, BUFFER_BYTES);
            assertEquals(OPEN, TcpInfo.receiveWindow(accepted));
            client.configureBlocking(false);
            client.write(ByteBuffer.allocate(PIECE_BYTES));
            awaitArrival(accepted);
            assertEquals(OPEN, TcpInfo.receiveWindow(accepted));
            fill(client, accepted);
            assertEquals(SHUT, TcpInfo.receiveWindow(accepted));
        }
    }

    private static void awaitArrival(SocketChannel accepted) throws Exception {
        while (accepted.socket().getInputStream().available() < PIECE_BYTES) {
            Thread.sleep(1);
        }
    }

    /** Writes until neither socket takes more. */
    private static void fill(SocketChannel client, SocketChannel accepted) throws Exception {
        int unread = -1;
        ByteBuffer piece = ByteBuffer.allocate(PIECE_BYTES);
        while (client.write(piece) > 0
                || unread != accepted.socket().getInputStream().available()) {
            unread = accepted.socket().getInputStream().available();
            piece.clear();
            Thread.sleep(1);
        }
    }
}

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * Socket channels to which an interrupted call is no end. The JDK returns a negative number other than -1 for a read that a
 * signal interrupted (EINTR); Netty takes every negative number for the peer's end of the connection.
 */
final class Sockets {
    private Sockets() {}

    /** A connection, opened or accepted. */
    static final class Connection extends NioSocketChannel {
        private static final int END = -1;

        private final ConnectionHistory history = new ConnectionHistory();
        private final SocketOptions options = new SocketOptions(javaChannel());

        Connection() {
            options.set(StandardSocketOptions.TCP_NODELAY, true);
        }

        private Connection(Channel parent, SocketChannel socket) {
            super(parent, socket);
            options.set(StandardSocketOptions.TCP_NODELAY, true);
        }

        SocketOptions options() {
            return options;
        }

        @Override
        protected void doBeginRead() throws Exception {
            super.doBeginRead();
            options.tryAgainOn(eventLoop());
        }

        ConnectionHistory history() {
            return history;
        }

        @Override
        protected int doReadBytes(ByteBuf to) throws Exception {
            int n;
            try {
                n = super.doReadBytes(to);
            } catch (IOException e) {
                history.failed(ConnectionHistory.Call.READ, e);
                throw e;
            }
            if (n > 0) {
                history.read(n);
            } else if (n == END) {
                history.peerEnded();
            }
            // The socket stays readable, and the next turn of the loop reads it.
            return n < END ? 0 : n;
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer out) throws Exception {
            try {
                super.doWrite(out);
            } catch (IOException e) {
                history.failed(ConnectionHistory.Call.WRITE, e);
                throw e;
            }
        }
    }

    /** A listener whose connections are {@link Connection}s. */
    static final class Listener extends NioServerSocketChannel {
        Listener() {
        }

        Listener(ServerSocketChannel socket) {
            super(socket);
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            SocketChannel socket = SocketUtils.accept(javaChannel());
            if (socket == null) {
                return 0;
            }
            try {
                accepted.add(new Connection(this, socket));
                return 1;
            } catch (RuntimeException e) {
                Log.trouble("an accepted connection can't be used", e);
                socket.close();
                return 0;
            }
        }
    }
}

package rushproxy.lab.world;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listener whose connections tell when the bytes came that they read. */
final class TimedListener extends NioServerSocketChannel {
    private final Observations clock;
    private final long listensSinceUs;

    TimedListener(Observations clock) {
        this.clock = clock;
        listensSinceUs = clock.us();
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = SocketUtils.accept(javaChannel());
        if (socket == null) {
            return 0;
        }
        accepted.add(new Connection(this, socket, clock, listensSinceUs));
        return 1;
    }

    /** One that was accepted. */
    static final class Connection extends NioSocketChannel {
        private final Observations clock;
        private final ArrivalClock arrivals;
        private ArrivalTime lastRead;

        private Connection(Channel parent, SocketChannel socket, Observations clock, long listensSinceUs) {
            super(parent, socket);
            this.clock = clock;
            arrivals = new ArrivalClock(listensSinceUs);
        }

        /** When the first byte of what was read last had come. */
        ArrivalTime lastRead() {
            return lastRead;
        }

        @Override
        protected int doReadBytes(ByteBuf to) throws Exception {
            long fromUs = clock.us();
            ReceivedData.Received received = ReceivedData.received(javaChannel());
            lastRead = arrivals.beforeRead(received, fromUs, clock.us());
            return super.doReadBytes(to);
        }
    }
}

package rushproxy.lab.world;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A server channel whose connections record when the bytes that they read arrived. */
final class TimestampingServerChannel extends NioServerSocketChannel {
    private final ObservationLog clock;
    private final long listeningSinceUs;

    TimestampingServerChannel(ObservationLog clock) {
        this.clock = clock;
        listeningSinceUs = clock.nowUs();
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = SocketUtils.accept(javaChannel());
        if (socket == null) {
            return 0;
        }
        accepted.add(new Connection(this, socket, clock, listeningSinceUs));
        return 1;
    }

    /** An accepted connection. */
    static final class Connection extends NioSocketChannel {
        private final ObservationLog clock;
        private final ArrivalTimeEstimator arrivalTimes;
        private ArrivalTime lastReadArrival;

        private Connection(Channel parent, SocketChannel socket, ObservationLog clock, long listeningSinceUs) {
            super(parent, socket);
            this.clock = clock;
            arrivalTimes = new ArrivalTimeEstimator(listeningSinceUs);
        }

        /** When the first byte of the last read arrived. */
        ArrivalTime lastReadArrival() {
            return lastReadArrival;
        }

        @Override
        protected int doReadBytes(ByteBuf to) throws Exception {
            long fromUs = clock.nowUs();
            TcpReceiveInfo.Snapshot received = TcpReceiveInfo.query(javaChannel());
            lastReadArrival = arrivalTimes.estimateBeforeRead(received, fromUs, clock.nowUs());
            return super.doReadBytes(to);
        }
    }
}

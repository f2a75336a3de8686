package rushproxy.lab.world;

import io.netty.channel.epoll.Epoll;
import io.netty.channel.unix.Socket;
import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.SocketChannel;

/**
 * What the kernel tells of the data that a connection has received (TCP_INFO), also while nobody has read it. It takes Netty's native
 * library and a part of the runtime that is not public; where either is missing nothing is known.
 */
final class TcpReceiveInfo {
    /** The kernel does not tell. */
    static final long UNKNOWN = -1;

    /**
     * What a connection has received, as of one moment.
     *
     * @param lastAgoUs    how long ago the last data came, or the connection was established, where none has; {@link #UNKNOWN} else
     * @param dataSegments segments with data since the connection began
     */
    record Received(long lastAgoUs, int dataSegments) {}

    private static final Received UNAVAILABLE = new Received(UNKNOWN, 0);
    private static final long US_PER_MS = 1_000;
    /** {@code IPPROTO_TCP} and {@code TCP_INFO} of Linux. */
    private static final int IPPROTO_TCP = 6;

    private static final int TCP_INFO = 11;
    /** Offsets in {@code struct tcp_info} of Linux, and as much of it as is wanted here. */
    private static final int RCV_MSS_OFFSET = 20;

    private static final int LAST_DATA_RECV_OFFSET = 52;
    private static final int DATA_SEGS_IN_OFFSET = 152;
    private static final int TCP_INFO_BYTES = 160;

    private static final TcpReceiveInfo INSTANCE = createOrNull();

    private final Field descriptor;
    private final ByteBuffer info = ByteBuffer.allocateDirect(TCP_INFO_BYTES).order(ByteOrder.nativeOrder());

    private TcpReceiveInfo(Field descriptor) {
        this.descriptor = descriptor;
    }

    /** Null where a part is missing. */
    private static TcpReceiveInfo createOrNull() {
        try {
            if (!Epoll.isAvailable()) {
                return null;
            }
            Field descriptor = Class.forName("sun.nio.ch.SocketChannelImpl").getDeclaredField("fdVal");
            descriptor.setAccessible(true);
            return new TcpReceiveInfo(descriptor);
        } catch (ReflectiveOperationException | RuntimeException | LinkageError e) {
            return null;
        }
    }

    /** What the connection has received until now. */
    static synchronized Received received(SocketChannel connection) {
        if (INSTANCE == null || !connection.isOpen()) {
            return UNAVAILABLE;
        }
        try {
            return INSTANCE.read(connection);
        } catch (IOException | ReflectiveOperationException | RuntimeException e) {
            return UNAVAILABLE;
        }
    }

    private Received read(SocketChannel connection) throws IOException, ReflectiveOperationException {
        info.clear();
        // What an older kernel does not fill in stays 0.
        for (int i = 0; i < TCP_INFO_BYTES; i += Integer.BYTES) {
            info.putInt(i, 0);
        }
        new Socket(descriptor.getInt(connection)).getRawOpt(IPPROTO_TCP, TCP_INFO, info);
        // A kernel has a segment size for each connection; what stands in for one may fill in nothing.
        return info.getInt(RCV_MSS_OFFSET) == 0
                ? UNAVAILABLE
                : new Received(info.getInt(LAST_DATA_RECV_OFFSET) * US_PER_MS, info.getInt(DATA_SEGS_IN_OFFSET));
    }
}

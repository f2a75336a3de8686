package rushproxy.sidecar;

import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollTcpInfo;
import java.lang.reflect.AccessibleObject;
import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.nio.channels.SocketChannel;

/**
 * What the kernel knows of a connection (TCP_INFO): when it last received data, also while nobody had accepted the connection or read
 * from it. It takes a call of Netty's native library and a part of the runtime that are not public; where either is missing nothing is
 * known.
 */
final class TcpInfo {
    /** The kernel does not tell. */
    static final long UNKNOWN = -1;

    private static final TcpInfo KERNEL = find();
    private static final long US_A_MS = 1_000;

    private final Field descriptor;
    private final Constructor<?> socket;
    private final Method read;
    private final EpollTcpInfo info = new EpollTcpInfo();

    private TcpInfo(Field descriptor, Constructor<?> socket, Method read) {
        this.descriptor = descriptor;
        this.socket = socket;
        this.read = read;
    }

    /** Null where a part is missing. */
    private static TcpInfo find() {
        try {
            if (!Epoll.isAvailable()) {
                return null;
            }
            Class<?> linuxSocket = Class.forName("io.netty.channel.epoll.LinuxSocket");
            Field descriptor = Class.forName("sun.nio.ch.SocketChannelImpl").getDeclaredField("fdVal");
            Constructor<?> socket = linuxSocket.getDeclaredConstructor(int.class);
            Method read = linuxSocket.getDeclaredMethod("getTcpInfo", EpollTcpInfo.class);
            for (AccessibleObject part : new AccessibleObject[] {descriptor, socket, read}) {
                part.setAccessible(true);
            }
            return new TcpInfo(descriptor, socket, read);
        } catch (ReflectiveOperationException | RuntimeException | LinkageError e) {
            return null;
        }
    }

    /** How long ago the connection last received data, or was established, where it has received none; {@link #UNKNOWN} else. */
    static synchronized long lastReceivedAgoUs(SocketChannel connection) {
        if (KERNEL == null || !connection.isOpen()) {
            return UNKNOWN;
        }
        try {
            return KERNEL.readLastReceivedAgoUs(connection);
        } catch (ReflectiveOperationException | RuntimeException e) {
            return UNKNOWN;
        }
    }

    private long readLastReceivedAgoUs(SocketChannel connection) throws ReflectiveOperationException {
        read.invoke(socket.newInstance(descriptor.getInt(connection)), info);
        // A kernel has a segment size for each connection; what stands in for one may fill in nothing.
        return info.rcvMss() == 0 ? UNKNOWN : info.lastDataRecv() * US_A_MS;
    }
}

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

    /** Null where a part is missing. */
    private static final TcpInfo INSTANCE;
    /** Why nothing is known; null where it is. */
    private static final String UNAVAILABLE_REASON;

    static {
        TcpInfo found = null;
        String missing = null;
        try {
            found = lookUp();
        } catch (ReflectiveOperationException | RuntimeException | LinkageError e) {
            missing = rootCause(e).toString();
        }
        INSTANCE = found;
        UNAVAILABLE_REASON = missing;
    }

    private static final long US_PER_MS = 1_000;

    private final Field descriptorField;
    private final Constructor<?> socketConstructor;
    private final Method getTcpInfo;
    private final EpollTcpInfo info = new EpollTcpInfo();

    private TcpInfo(Field descriptor, Constructor<?> socket, Method read) {
        this.descriptorField = descriptor;
        this.socketConstructor = socket;
        this.getTcpInfo = read;
    }

    private static TcpInfo lookUp() throws ReflectiveOperationException {
        Epoll.ensureAvailability();
        Class<?> linuxSocket = Class.forName("io.netty.channel.epoll.LinuxSocket");
        Field descriptor = Class.forName("sun.nio.ch.SocketChannelImpl").getDeclaredField("fdVal");
        Constructor<?> socket = linuxSocket.getDeclaredConstructor(int.class);
        Method read = linuxSocket.getDeclaredMethod("getTcpInfo", EpollTcpInfo.class);
        for (AccessibleObject part : new AccessibleObject[] {descriptor, socket, read}) {
            part.setAccessible(true);
        }
        return new TcpInfo(descriptor, socket, read);
    }

    private static Throwable rootCause(Throwable e) {
        Throwable root = e;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root;
    }

    /** Loads all that the call takes, which reads files and may unpack one: not for the event loop. What is missing is told once. */
    static void loadEagerly() {
        if (UNAVAILABLE_REASON != null) {
            Log.warn("the kernel's figures for connections are unknown: " + UNAVAILABLE_REASON);
        }
    }

    /** How long ago the connection last received data, or was established, where it has received none; {@link #UNKNOWN} else. */
    static synchronized long sinceLastReceiveUs(SocketChannel connection) {
        if (INSTANCE == null || !connection.isOpen()) {
            return UNKNOWN;
        }
        try {
            return INSTANCE.readSinceLastReceiveUs(connection);
        } catch (ReflectiveOperationException | RuntimeException e) {
            return UNKNOWN;
        }
    }

    private long readSinceLastReceiveUs(SocketChannel connection) throws ReflectiveOperationException {
        getTcpInfo.invoke(socketConstructor.newInstance(descriptorField.getInt(connection)), info);
        // A kernel has a segment size for each connection; what stands in for one may fill in nothing.
        return info.rcvMss() == 0 ? UNKNOWN : info.lastDataRecv() * US_PER_MS;
    }
}

package rushproxy.sidecar;

import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollTcpInfo;
import java.lang.reflect.AccessibleObject;
import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.SocketChannel;
import java.util.function.ToLongFunction;

/**
 * Reads from the kernel (TCP_INFO) when a connection last received data, even if the data has not been read or the connection not been
 * accepted since. Relies on non-public parts of Netty's native library and of the JDK; if either is missing, the result is unknown.
 */
final class TcpInfo {
    /** The result if the kernel's figures are not available. */
    static final long UNKNOWN = -1;

    /** Null if a required part is missing. */
    private static final TcpInfo INSTANCE;
    /** Null if the figures are available. */
    private static final String UNAVAILABLE_REASON;

    static {
        TcpInfo instance = null;
        String reason = null;
        try {
            instance = lookUp();
        } catch (ReflectiveOperationException | RuntimeException | LinkageError e) {
            reason = rootCause(e).toString();
        }
        INSTANCE = instance;
        UNAVAILABLE_REASON = reason;
    }

    private static final long US_PER_MS = 1_000;
    private static final int SOL_SOCKET = 1;
    private static final int SO_MEMINFO = 55;
    /** Position of the memory that received data takes, in the kernel's list of a socket's memory use. */
    private static final int RECEIVE_MEMORY = 0;
    /** Position of the limit on it. */
    private static final int RECEIVE_LIMIT = 1;

    /** Whether a peer may send more data. */
    enum ReceiveWindow {
        OPEN,
        /** The receive buffer has no room for a segment, so what else the peer has written lies in its own socket. */
        SHUT,
        UNKNOWN
    }

    private final Field descriptorField;
    private final Constructor<?> socketConstructor;
    private final Method getTcpInfo;
    private final Method getSocketOption;
    private final ByteBuffer memoryInfo =
            ByteBuffer.allocate((RECEIVE_LIMIT + 1) * Integer.BYTES).order(ByteOrder.nativeOrder());
    private final EpollTcpInfo info = new EpollTcpInfo();
    /** The values of {@code info}, which the kernel's answer is written to. */
    private final long[] infoValues;

    private TcpInfo(
            Field descriptorField,
            Field infoField,
            Constructor<?> socketConstructor,
            Method getTcpInfo,
            Method getSocketOption)
            throws IllegalAccessException {
        infoValues = (long[]) infoField.get(info);
        this.descriptorField = descriptorField;
        this.socketConstructor = socketConstructor;
        this.getTcpInfo = getTcpInfo;
        this.getSocketOption = getSocketOption;
    }

    private static TcpInfo lookUp() throws ReflectiveOperationException {
        Epoll.ensureAvailability();
        Class<?> linuxSocket = Class.forName("io.netty.channel.epoll.LinuxSocket");
        Field descriptorField = Class.forName("sun.nio.ch.SocketChannelImpl").getDeclaredField("fdVal");
        Constructor<?> socketConstructor = linuxSocket.getDeclaredConstructor(int.class);
        // Called by descriptor, since a socket object asks for its own name first, which may fail for a moment.
        Method getTcpInfo = linuxSocket.getDeclaredMethod("getTcpInfo", int.class, long[].class);
        Field infoField = EpollTcpInfo.class.getDeclaredField("info");
        Method getSocketOption = linuxSocket.getMethod("getRawOpt", int.class, int.class, ByteBuffer.class);
        for (AccessibleObject part :
                new AccessibleObject[] {descriptorField, infoField, socketConstructor, getTcpInfo, getSocketOption}) {
            part.setAccessible(true);
        }
        return new TcpInfo(descriptorField, infoField, socketConstructor, getTcpInfo, getSocketOption);
    }

    private static Throwable rootCause(Throwable e) {
        Throwable root = e;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root;
    }

    /** Loads the native library ahead of use, since that reads files and must not block the event loop. Logs whether it is available. */
    static void loadEagerly() {
        if (UNAVAILABLE_REASON == null) {
            Log.info("TCP_INFO is in use: ages of unread data come from the kernel");
        } else {
            Log.warn("TCP_INFO is unavailable, ages of unread data are estimated: " + UNAVAILABLE_REASON);
        }
    }

    /** The time since the connection last received data, or since it was established if it has received none; or {@link #UNKNOWN}. */
    static long sinceLastReceiveUs(SocketChannel connection) {
        return query(connection, EpollTcpInfo::lastDataRecv);
    }

    /** The time since the connection last sent data, or since it was established if it has sent none; or {@link #UNKNOWN}. */
    static long sinceLastSendUs(SocketChannel connection) {
        return query(connection, EpollTcpInfo::lastDataSent);
    }

    private static synchronized long query(SocketChannel connection, ToLongFunction<EpollTcpInfo> ageMs) {
        if (INSTANCE == null || !connection.isOpen()) {
            return UNKNOWN;
        }
        try {
            EpollTcpInfo info = INSTANCE.read(connection);
            // The kernel always reports a segment size; emulations of Linux may leave the structure empty.
            return info.rcvMss() == 0 ? UNKNOWN : ageMs.applyAsLong(info) * US_PER_MS;
        } catch (ReflectiveOperationException | RuntimeException e) {
            return UNKNOWN;
        }
    }

    /**
     * Whether the connection's peer may send more. Data takes memory by the packets that it came in, and a packet's memory is freed only
     * once all of it has been read, so a receive buffer may be full with few bytes unread.
     */
    static synchronized ReceiveWindow receiveWindow(SocketChannel connection) {
        if (INSTANCE == null || !connection.isOpen()) {
            return ReceiveWindow.UNKNOWN;
        }
        try {
            return INSTANCE.readWindow(connection);
        } catch (ReflectiveOperationException | RuntimeException e) {
            return ReceiveWindow.UNKNOWN;
        }
    }

    private ReceiveWindow readWindow(SocketChannel connection) throws ReflectiveOperationException {
        long segmentBytes = read(connection).rcvMss();
        memoryInfo.clear();
        getSocketOption.invoke(nativeSocket(connection), SOL_SOCKET, SO_MEMINFO, memoryInfo);
        int limit = memoryInfo.getInt(RECEIVE_LIMIT * Integer.BYTES);
        int free = limit - memoryInfo.getInt(RECEIVE_MEMORY * Integer.BYTES);
        if (limit <= 0 || segmentBytes == 0) {
            return ReceiveWindow.UNKNOWN;
        }
        // The kernel's rule, where a byte of data is taken to need up to two of memory.
        boolean isShut = free < limit / 2 && free / 2 < Math.max(segmentBytes, limit / 16);
        return isShut ? ReceiveWindow.SHUT : ReceiveWindow.OPEN;
    }

    private EpollTcpInfo read(SocketChannel connection) throws ReflectiveOperationException {
        getTcpInfo.invoke(null, descriptorField.getInt(connection), infoValues);
        return info;
    }

    private Object nativeSocket(SocketChannel connection) throws ReflectiveOperationException {
        return socketConstructor.newInstance(descriptorField.getInt(connection));
    }
}

package rushproxy.lab.node;

import java.io.FileDescriptor;
import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * A listening socket that processes inherit as descriptor 0, as a platform's supervisor holds it through a replacement.
 * The Java runtime can hand on nothing but its own first three descriptors: so for the moment of a start the socket is
 * put in the place of this process's descriptor 0, one start at a time. Needs {@code java.base/sun.nio.ch} and
 * {@code java.base/java.io} opened, which the jar's manifest does.
 */
public final class SharedSocket implements AutoCloseable {
    private static final Object DESCRIPTOR_LOCK = new Object();
    private static final int BACKLOG = 256;

    /** Starts a process. */
    public interface ProcessStarter<T> {
        T start() throws IOException;
    }

    private final ServerSocketChannel socket;

    /** Listens there. */
    public SharedSocket(InetSocketAddress address) throws IOException {
        socket = ServerSocketChannel.open(StandardProtocolFamily.INET);
        socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        socket.bind(address, BACKLOG);
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) socket.getLocalAddress();
    }

    /** {@code start} starts a process whose standard input is inherited: it gets this socket. */
    public <T> T startInheriting(ProcessStarter<T> start) throws IOException {
        synchronized (DESCRIPTOR_LOCK) {
            try {
                Class<?> channel = Class.forName("sun.nio.ch.InheritedChannel");
                Method dup = makeAccessible(channel.getDeclaredMethod("dup", int.class));
                Method dup2 = makeAccessible(channel.getDeclaredMethod("dup2", int.class, int.class));
                Method close = makeAccessible(channel.getDeclaredMethod("close0", int.class));
                Field of = Class.forName("sun.nio.ch.ServerSocketChannelImpl").getDeclaredField("fd");
                of.setAccessible(true);
                Field number = FileDescriptor.class.getDeclaredField("fd");
                number.setAccessible(true);
                int kept = (int) dup.invoke(null, 0);
                dup2.invoke(null, number.getInt(of.get(socket)), 0);
                try {
                    return start.start();
                } finally {
                    dup2.invoke(null, kept, 0);
                    close.invoke(null, kept);
                }
            } catch (ReflectiveOperationException | RuntimeException e) {
                throw new IOException(
                        "this Java runtime hands on no socket as descriptor 0 (start the laboratory by java -jar,"
                                + " or with --add-opens java.base/sun.nio.ch=ALL-UNNAMED --add-opens java.base/java.io=ALL-UNNAMED): "
                                + e,
                        e);
            }
        }
    }

    private static Method makeAccessible(Method method) {
        method.setAccessible(true);
        return method;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

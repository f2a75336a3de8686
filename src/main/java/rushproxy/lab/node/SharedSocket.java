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
 * A listening socket that child processes inherit as descriptor 0, as under a supervisor that keeps the socket open while a process is
 * replaced. Java passes only descriptors 0 to 2 on to a child, so the socket takes the place of this process's descriptor 0 during a
 * start, one start at a time. Needs the packages {@code sun.nio.ch} and {@code java.io} of {@code java.base} opened, as the jar's
 * manifest does.
 */
public final class SharedSocket implements AutoCloseable {
    private static final Object DESCRIPTOR_LOCK = new Object();
    private static final int BACKLOG = 256;

    /** Starts a process. */
    public interface ProcessStarter<T> {
        T start() throws IOException;
    }

    private final ServerSocketChannel socket;

    /** Listens on the address. */
    public SharedSocket(InetSocketAddress address) throws IOException {
        socket = ServerSocketChannel.open(StandardProtocolFamily.INET);
        socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        socket.bind(address, BACKLOG);
    }

    /** Returns the address it listens on. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) socket.getLocalAddress();
    }

    /** Calls {@code start}, which starts a process with inherited standard input, while descriptor 0 is this socket. */
    public <T> T startInheriting(ProcessStarter<T> start) throws IOException {
        synchronized (DESCRIPTOR_LOCK) {
            try {
                Class<?> channel = Class.forName("sun.nio.ch.InheritedChannel");
                Method dup = makeAccessible(channel.getDeclaredMethod("dup", int.class));
                Method dup2 = makeAccessible(channel.getDeclaredMethod("dup2", int.class, int.class));
                Method close = makeAccessible(channel.getDeclaredMethod("close0", int.class));
                Field channelDescriptor =
                        Class.forName("sun.nio.ch.ServerSocketChannelImpl").getDeclaredField("fd");
                channelDescriptor.setAccessible(true);
                Field descriptorNumber = FileDescriptor.class.getDeclaredField("fd");
                descriptorNumber.setAccessible(true);
                int savedStdin = (int) dup.invoke(null, 0);
                dup2.invoke(null, descriptorNumber.getInt(channelDescriptor.get(socket)), 0);
                try {
                    return start.start();
                } finally {
                    dup2.invoke(null, savedStdin, 0);
                    close.invoke(null, savedStdin);
                }
            } catch (ReflectiveOperationException | RuntimeException e) {
                throw new IOException(
                        "can't pass a socket on as descriptor 0 (start the laboratory with java -jar,"
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

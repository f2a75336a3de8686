package rushproxy.sidecar;

import io.netty.util.internal.SocketUtils;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.IOException;
import java.lang.reflect.AccessibleObject;
import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.net.ProtocolFamily;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;

/**
 * Accepts connections in two steps: the system call accept, then the creation of a channel for the new socket. The
 * runtime does both in one call, in which it queries the socket's own address (getsockname) and closes the socket if
 * that fails; here the second step can be retried. This uses internals of the runtime that the manifest of the archive
 * opens (Add-Opens). Without that manifest they are closed, and the one call of the runtime is used.
 */
final class TwoStepAccept {
    private static final Internals INTERNALS = Internals.find();

    private TwoStepAccept() {}

    /** A socket that was accepted but has no channel yet. */
    record AcceptedSocket(FileDescriptor descriptor, InetSocketAddress peer, ProtocolFamily family) {
        /** Fails while the socket's own address can't be queried; the socket stays open. */
        SocketChannel openChannel() throws IOException {
            return (SocketChannel) INTERNALS.newChannel(this);
        }

        /** Closes the unused descriptor. */
        void close() throws IOException {
            new FileInputStream(descriptor).close();
        }
    }

    /** Whether this runtime allows the two steps to be separated. */
    static boolean isSupported() {
        return INTERNALS != null;
    }

    /** Accepts with the one call of the runtime; null if no connection is waiting. */
    static SocketChannel acceptInOneStep(ServerSocketChannel listener) throws IOException {
        return SocketUtils.accept(listener);
    }

    /** The first step; null if no connection is waiting. */
    static AcceptedSocket acceptSocket(ServerSocketChannel listener) throws IOException {
        FileDescriptor descriptor = new FileDescriptor();
        InetSocketAddress[] peer = new InetSocketAddress[1];
        boolean accepted = INTERNALS.accept(listener, descriptor, peer);
        return accepted ? new AcceptedSocket(descriptor, peer[0], INTERNALS.family(listener)) : null;
    }

    /** The internals of the runtime (Java 17) that both steps use. */
    private record Internals(Method accept, Constructor<?> channel, Field descriptor, Field family) {
        /** Null if this runtime lacks them or does not open them. */
        static Internals find() {
            try {
                Class<?> listener = Class.forName("sun.nio.ch.ServerSocketChannelImpl");
                Method accept = Class.forName("sun.nio.ch.Net")
                        .getDeclaredMethod(
                                "accept", FileDescriptor.class, FileDescriptor.class, InetSocketAddress[].class);
                Constructor<?> channel = Class.forName("sun.nio.ch.SocketChannelImpl")
                        .getDeclaredConstructor(
                                SelectorProvider.class,
                                ProtocolFamily.class,
                                FileDescriptor.class,
                                SocketAddress.class);
                Field descriptor = listener.getDeclaredField("fd");
                Field family = listener.getDeclaredField("family");
                for (AccessibleObject member : new AccessibleObject[] {accept, channel, descriptor, family}) {
                    member.setAccessible(true);
                }
                return new Internals(accept, channel, descriptor, family);
            } catch (ReflectiveOperationException | RuntimeException e) {
                return null;
            }
        }

        boolean accept(ServerSocketChannel listener, FileDescriptor to, InetSocketAddress[] peer) throws IOException {
            try {
                return (int) accept.invoke(null, descriptor.get(listener), to, peer) > 0;
            } catch (ReflectiveOperationException e) {
                throw asIo(e);
            }
        }

        ProtocolFamily family(ServerSocketChannel listener) throws IOException {
            try {
                return (ProtocolFamily) family.get(listener);
            } catch (ReflectiveOperationException e) {
                throw asIo(e);
            }
        }

        Object newChannel(AcceptedSocket accepted) throws IOException {
            try {
                return channel.newInstance(
                        SelectorProvider.provider(), accepted.family, accepted.descriptor, accepted.peer);
            } catch (ReflectiveOperationException e) {
                throw asIo(e);
            }
        }

        private static IOException asIo(ReflectiveOperationException e) {
            return e instanceof InvocationTargetException && e.getCause() instanceof IOException io
                    ? io
                    : new IOException(e);
        }
    }
}

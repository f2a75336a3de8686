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
 * Accepts connections in two steps: the system's accept, and the runtime's channel for what was accepted. The runtime does both in
 * one call, in which it asks for the new socket's own address (getsockname) and closes the socket where that fails; here the second
 * step can be tried again. It takes parts of the runtime that are not public, which the archive's manifest opens (Add-Opens); where
 * they are not open, as without that manifest, the runtime's one call is used.
 */
final class TwoStepAccept {
    private static final Internals INTERNALS = Internals.find();

    private TwoStepAccept() {}

    /** What the system has accepted, and the runtime has no channel for yet. */
    record AcceptedSocket(FileDescriptor descriptor, InetSocketAddress peer, ProtocolFamily family) {
        /** Fails where the socket's own address can't be told for a moment; the socket stays as it is. */
        SocketChannel openChannel() throws IOException {
            return (SocketChannel) INTERNALS.newChannel(this);
        }

        /** Gives the descriptor back, unused. */
        void close() throws IOException {
            new FileInputStream(descriptor).close();
        }
    }

    /** Whether the two steps can be made apart. */
    static boolean isSupported() {
        return INTERNALS != null;
    }

    /** The runtime's one call; null where nobody waits. */
    static SocketChannel acceptInOneStep(ServerSocketChannel listener) throws IOException {
        return SocketUtils.accept(listener);
    }

    /** The first step; null where nobody waits. */
    static AcceptedSocket acceptSocket(ServerSocketChannel listener) throws IOException {
        FileDescriptor descriptor = new FileDescriptor();
        InetSocketAddress[] peer = new InetSocketAddress[1];
        boolean any = INTERNALS.accept(listener, descriptor, peer);
        return any ? new AcceptedSocket(descriptor, peer[0], INTERNALS.family(listener)) : null;
    }

    /** The parts of the runtime (Java 17) that the two steps take. */
    private record Internals(Method accept, Constructor<?> channel, Field descriptor, Field family) {
        /** Null where this runtime has them otherwise, or does not open them. */
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
                for (AccessibleObject part : new AccessibleObject[] {accept, channel, descriptor, family}) {
                    part.setAccessible(true);
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

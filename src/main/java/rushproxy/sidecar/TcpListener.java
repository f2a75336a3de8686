package rushproxy.sidecar;

import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A listener whose connections are {@link TcpConnection}s; one that was accepted is not lost for an error of this machine's. */
final class TcpListener extends NioServerSocketChannel implements RegistrationRetry.Registered {
    /** A second of tries and more. */
    private static final int MOST_TRIES = 300;

    private final RegistrationRetry registration = new RegistrationRetry(this);

    /** One that is to be bound. */
    TcpListener() {}

    /** One that listens already. */
    TcpListener(ServerSocketChannel socket) {
        super(socket);
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        registration.proven();
        if (!AcceptCall.inTwoSteps()) {
            SocketChannel socket = AcceptCall.inOne(javaChannel());
            return socket == null ? 0 : add(accepted, socket);
        }
        AcceptCall.Accepted next = AcceptCall.next(javaChannel());
        if (next == null) {
            return 0;
        }
        try {
            return add(accepted, next.channel());
        } catch (IOException e) {
            eventLoop().schedule(() -> takeUp(next, 1), FailureSpell.AGAIN_MS, TimeUnit.MILLISECONDS);
            return 0;
        }
    }

    /** Takes who waits in the queue by now, without waiting to be told of it; nobody where clients are not taken. */
    void acceptNow() {
        if (isActive() && isRegistered() && config().isAutoRead()) {
            unsafe().read();
        }
    }

    private int add(List<Object> accepted, SocketChannel socket) {
        for (int tries = 1; ; tries++) {
            try {
                // Netty does it too, and closes the socket where that fails; where it is done already it does nothing.
                socket.configureBlocking(false);
                accepted.add(new TcpConnection(this, socket));
                return 1;
            } catch (IOException | RuntimeException e) {
                if (tries == MOST_TRIES || !socket.isOpen()) {
                    Log.error("an accepted connection can't be used", e);
                    close(socket);
                    return 0;
                }
            }
        }
    }

    /** The second step of an accept, which has failed for a moment. */
    private void takeUp(AcceptCall.Accepted next, int tries) {
        if (!isOpen()) {
            close(next::close);
            return;
        }
        List<Object> accepted = new ArrayList<>(1);
        try {
            add(accepted, next.channel());
        } catch (IOException e) {
            if (tries < MOST_TRIES) {
                eventLoop().schedule(() -> takeUp(next, tries + 1), FailureSpell.AGAIN_MS, TimeUnit.MILLISECONDS);
            } else {
                Log.error("an accepted connection has no address", e);
                close(next::close);
            }
            return;
        }
        accepted.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
    }

    private static void close(Closeable accepted) {
        try {
            accepted.close();
        } catch (IOException e) {
            Log.error("an accepted connection can't be closed", e);
        }
    }

    /** Whatever an accept fails by, also want of memory, those who come next are let in. */
    @Override
    protected boolean closeOnReadError(Throwable cause) {
        return !isActive();
    }

    // ---- interest in readiness

    @Override
    protected void addAndSubmit(NioIoOps ops) {
        int before = interestOps();
        super.addAndSubmit(ops);
        registration.changedFrom(before);
    }

    @Override
    public int interestOps() {
        return isRegistered() ? RegistrationRetry.interestOps(selectionKey()) : 0;
    }

    @Override
    public void withdrawInterest() {
        removeAndSubmit(NioIoOps.ACCEPT);
    }

    @Override
    public void restoreInterest(int ops) {
        if (isOpen() && isRegistered() && config().isAutoRead()) {
            addAndSubmit(NioIoOps.ACCEPT);
        }
    }

    @Override
    public boolean isWayIn() {
        return true;
    }
}

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

/**
 * A listener whose connections are {@link TcpConnection}s. A connection that was accepted is not lost to a temporary
 * failure of this host.
 */
public final class TcpListener extends NioServerSocketChannel implements RegistrationRetry.RegisteredChannel {
    /** Retries for more than a second. */
    private static final int MAX_TRIES = 300;

    private final RegistrationRetry registration = new RegistrationRetry(this);

    /** Creates a listener that is still to be bound. */
    public TcpListener() {}

    /** Creates a listener on a socket that listens already. */
    TcpListener(ServerSocketChannel socket) {
        super(socket);
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        registration.readinessObserved();
        if (!TwoStepAccept.isSupported()) {
            SocketChannel socket = TwoStepAccept.acceptInOneStep(javaChannel());
            return socket == null ? 0 : add(accepted, socket);
        }
        TwoStepAccept.AcceptedSocket socket = TwoStepAccept.acceptSocket(javaChannel());
        if (socket == null) {
            return 0;
        }
        try {
            return add(accepted, socket.openChannel());
        } catch (IOException e) {
            eventLoop()
                    .schedule(
                            () -> retryOpenChannel(socket, 1),
                            TransientFailureTracker.RETRY_DELAY_MS,
                            TimeUnit.MILLISECONDS);
            return 0;
        }
    }

    /** Accepts the connections in the queue at once, without waiting for readiness; none while accepting is paused. */
    void acceptNow() {
        if (isActive() && isRegistered() && config().isAutoRead()) {
            unsafe().read();
        }
    }

    private int add(List<Object> accepted, SocketChannel socket) {
        for (int attempt = 1; ; attempt++) {
            try {
                // Netty does this too but closes the socket if it fails. Done here first, its own call has no effect.
                socket.configureBlocking(false);
                accepted.add(new TcpConnection(this, socket));
                return 1;
            } catch (IOException | RuntimeException e) {
                if (attempt == MAX_TRIES || !socket.isOpen()) {
                    Log.error("creating a channel for an accepted connection failed", e);
                    close(socket);
                    return 0;
                }
            }
        }
    }

    /** Retries the second step of an accept. */
    private void retryOpenChannel(TwoStepAccept.AcceptedSocket socket, int attempt) {
        if (!isOpen()) {
            close(socket::close);
            return;
        }
        List<Object> accepted = new ArrayList<>(1);
        try {
            add(accepted, socket.openChannel());
        } catch (IOException e) {
            if (attempt < MAX_TRIES) {
                eventLoop()
                        .schedule(
                                () -> retryOpenChannel(socket, attempt + 1),
                                TransientFailureTracker.RETRY_DELAY_MS,
                                TimeUnit.MILLISECONDS);
            } else {
                Log.error("querying the address of an accepted connection failed", e);
                close(socket::close);
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
            Log.error("closing an accepted connection failed", e);
        }
    }

    /** Keeps the listener open whatever an accept fails with, even a lack of memory. */
    @Override
    protected boolean closeOnReadError(Throwable cause) {
        return !isActive();
    }

    // ---- interest in readiness

    @Override
    protected void addAndSubmit(NioIoOps ops) {
        int before = interestOps();
        super.addAndSubmit(ops);
        registration.interestChanged(before);
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
    public boolean isListener() {
        return true;
    }
}

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A TCP connection, opened or accepted, that survives transient errors of socket calls. Netty closes a connection on every read or
 * write error; here only errors that mean the connection is lost do so ({@link SocketErrors}), and other calls are retried. Retries
 * wait a few milliseconds, so that a call that keeps failing does not make the event loop spin. Interrupted reads (EINTR) need care:
 * the JDK returns a negative number other than -1 for them, and Netty takes every negative number for the end of the stream.
 */
final class TcpConnection extends NioSocketChannel implements RegistrationRetry.RegisteredChannel {
    /** User event, fired when reads have failed for so long that the peer may have closed the connection unnoticed. */
    enum ReadFailure {
        FOR_LONG
    }

    private static final int END_OF_STREAM = -1;

    private final ConnectionHistory history = new ConnectionHistory();
    private final SocketOptions options = new SocketOptions(javaChannel());
    private final RegistrationRetry registration = new RegistrationRetry(this);
    private final TransientFailureTracker readFailures = new TransientFailureTracker(System::nanoTime);
    private BooleanSupplier dataAgeWanted = () -> false;
    private long sinceLastReceiveUs = TcpInfo.UNKNOWN;
    /** Read readiness is not requested until the next retry. */
    private boolean readPaused;

    private boolean readFailureReported;
    private final TransientFailureTracker writeFailures = new TransientFailureTracker(System::nanoTime);
    private boolean writePaused;
    /** Consulted before each attempt until the first byte of a write is sent; null if there is no condition. */
    private BooleanSupplier mayStartWrite;

    /** Creates a connection to be opened. */
    TcpConnection() {
        options.set(StandardSocketOptions.TCP_NODELAY, true);
    }

    /** Wraps an accepted connection. */
    TcpConnection(Channel parent, SocketChannel socket) {
        super(parent, socket);
        options.set(StandardSocketOptions.TCP_NODELAY, true);
    }

    SocketOptions options() {
        return options;
    }

    ConnectionHistory history() {
        return history;
    }

    // ---- reading

    @Override
    protected void doBeginRead() throws Exception {
        options.retryOn(eventLoop());
        if (readPaused) {
            setReadPending(true);
        } else {
            super.doBeginRead();
        }
    }

    /** Measures {@link #sinceLastReceiveUs} before each read for which {@code wanted} is true. */
    void measureDataAgeIf(BooleanSupplier wanted) {
        dataAgeWanted = wanted;
    }

    /** The kernel's time since the last receipt of data, as of the last read; {@link TcpInfo#UNKNOWN} if not measured or not available. */
    long sinceLastReceiveUs() {
        return sinceLastReceiveUs;
    }

    /** The time since the last receipt of data, as of now; {@link TcpInfo#UNKNOWN} if not available. */
    long querySinceReceiveUs() {
        return TcpInfo.sinceLastReceiveUs(javaChannel());
    }

    /** Whether the peer may send more, as of now. */
    TcpInfo.ReceiveWindow queryReceiveWindow() {
        return TcpInfo.receiveWindow(javaChannel());
    }

    /** How long ago a connection that has sent nothing was established; {@link TcpInfo#UNKNOWN} if not available. */
    long queryAgeUs() {
        return TcpInfo.sinceLastSendUs(javaChannel());
    }

    @Override
    protected int doReadBytes(ByteBuf to) throws Exception {
        // Before the read: data that arrives in between may then be taken for older than it is, but never for younger.
        sinceLastReceiveUs = dataAgeWanted.getAsBoolean() ? TcpInfo.sinceLastReceiveUs(javaChannel()) : TcpInfo.UNKNOWN;
        int n;
        try {
            n = readRetryingInterrupt(to);
        } catch (IOException e) {
            history.recordFailure(ConnectionHistory.SocketOperation.READ, e);
            if (!readFailures.shouldRetry(e)) {
                throw e;
            }
            scheduleReadRetry();
            return 0;
        }
        readFailures.succeeded();
        readFailureReported = false;
        if (n == END_OF_STREAM) {
            history.recordPeerClosed();
        } else if (n > 0) {
            history.recordRead(n);
            if (interestOps() == SelectionKey.OP_READ) {
                registration.readinessObserved();
            }
        }
        return n;
    }

    /** Repeats a read interrupted by a signal once; a second interruption counts as a transient failure. */
    private int readRetryingInterrupt(ByteBuf to) throws Exception {
        int n = super.doReadBytes(to);
        if (n < END_OF_STREAM) {
            n = super.doReadBytes(to);
        }
        if (n < END_OF_STREAM) {
            throw new InterruptedIOException("interrupted");
        }
        return n;
    }

    /** Whether incoming data is read as soon as it arrives. */
    boolean isReading() {
        return isActive() && isRegistered() && config().isAutoRead() && !readPaused;
    }

    /** How many bytes lie in the receive buffer; 0 if that can't be told. */
    int unreadBytes() {
        try {
            return isActive() ? javaChannel().socket().getInputStream().available() : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Reads the available data without waiting for a readiness event. Does nothing while reading is paused. */
    void readNow() {
        if (isReading()) {
            unsafe().read();
        }
    }

    /** Drops the read interest until the retry, since the socket may stay readable and would make the loop spin. */
    private void scheduleReadRetry() {
        readPaused = true;
        removeAndSubmit(NioIoOps.READ);
        eventLoop().schedule(this::retryRead, TransientFailureTracker.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        if (readFailures.failingForMs() >= ClientInput.MAX_UNREAD_MS && !readFailureReported) {
            readFailureReported = true;
            pipeline().fireUserEventTriggered(ReadFailure.FOR_LONG);
        }
    }

    private void retryRead() {
        readPaused = false;
        if (isActive() && wantsRead()) {
            read();
        }
    }

    private boolean wantsRead() {
        return !readPaused && (config().isAutoRead() || isReadPending());
    }

    // ---- writing

    /** Attempts the next write only while {@code condition} is true. The condition is dropped once the first byte is sent. */
    void startWriteIf(BooleanSupplier condition) {
        mayStartWrite = condition;
    }

    /** Whether a conditional write has not sent its first byte yet. */
    boolean isWriteNotStarted() {
        return mayStartWrite != null;
    }

    /** Whether the last write failed with a transient error. */
    boolean isWriteFailing() {
        return writeFailures.isFailing();
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        if (mayStartWrite != null && !mayStartWrite.getAsBoolean()) {
            return;
        }
        long pendingBefore = out.totalPendingWriteBytes();
        try {
            super.doWrite(out);
            writeFailures.succeeded();
        } catch (IOException e) {
            history.recordFailure(ConnectionHistory.SocketOperation.WRITE, e);
            if (!writeFailures.shouldRetry(e)) {
                throw e;
            }
            scheduleWriteRetry();
        } finally {
            if (out.isEmpty() || out.currentProgress() > 0 || out.totalPendingWriteBytes() < pendingBefore) {
                mayStartWrite = null;
            }
        }
    }

    /** Drops the write interest until the retry, since the socket may stay writable and would make the loop spin. */
    private void scheduleWriteRetry() {
        clearOpWrite();
        if (!writePaused) {
            writePaused = true;
            eventLoop().schedule(this::retryWrite, TransientFailureTracker.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retryWrite() {
        writePaused = false;
        if (isOpen()) {
            unsafe().forceFlush();
        }
    }

    /** Repeats a shutdown of the output that failed in Netty, which considers it done. No writes may be pending. */
    void shutdownOutputWithRetry() {
        if (!isOpen()) {
            return;
        }
        try {
            javaChannel().shutdownOutput();
        } catch (IOException e) {
            if (!SocketErrors.isConnectionLost(e)) {
                eventLoop()
                        .schedule(
                                this::shutdownOutputWithRetry,
                                TransientFailureTracker.RETRY_DELAY_MS,
                                TimeUnit.MILLISECONDS);
            }
        }
    }

    // ---- interest in readiness

    @Override
    protected void addAndSubmit(NioIoOps ops) {
        int before = interestOps();
        super.addAndSubmit(ops);
        registration.interestChanged(before);
    }

    @Override
    protected void removeAndSubmit(NioIoOps ops) {
        int before = interestOps();
        super.removeAndSubmit(ops);
        registration.interestChanged(before);
    }

    @Override
    public int interestOps() {
        return isRegistered() ? RegistrationRetry.interestOps(selectionKey()) : 0;
    }

    @Override
    public void withdrawInterest() {
        removeAndSubmit(NioIoOps.valueOf(interestOps()));
    }

    @Override
    public void restoreInterest(int ops) {
        if (!isOpen() || !isRegistered()) {
            return;
        }
        // One at a time: Netty takes several for present if one of them has been added meanwhile.
        if ((ops & SelectionKey.OP_READ) != 0 && wantsRead()) {
            addAndSubmit(NioIoOps.READ);
        }
        if ((ops & SelectionKey.OP_WRITE) != 0) {
            addAndSubmit(NioIoOps.WRITE);
        }
        if ((ops & SelectionKey.OP_CONNECT) != 0) {
            addAndSubmit(NioIoOps.CONNECT);
        }
    }
}

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
 * A TCP connection, opened or accepted, to which only the peer's end is an end: any other error of a call is this machine's own, and
 * the call is tried again ({@link SocketErrors}), a few milliseconds later: what keeps failing must not keep the loop from waiting.
 * Netty closes a connection at each error of a read or write. The JDK returns a negative number other than -1 for a read that a
 * signal interrupted (EINTR); Netty takes every negative number for the peer's end.
 */
final class TcpConnection extends NioSocketChannel implements RegistrationRetry.Registered {
    /** Told to the handlers where it could not be read for so long that its peer may have gone unseen. */
    enum ReadFailure {
        FOR_LONG
    }

    private static final int END_OF_STREAM = -1;

    private final ConnectionHistory history = new ConnectionHistory();
    private final SocketOptions options = new SocketOptions(javaChannel());
    private final RegistrationRetry registration = new RegistrationRetry(this);
    private final FailureSpell readFailures = new FailureSpell(System::nanoTime);
    private BooleanSupplier dataAgeWanted = () -> false;
    private long sinceLastReceiveUs = TcpInfo.UNKNOWN;
    /** Not asked for readiness to read until the next try. */
    private boolean readPaused;

    private boolean readFailureReported;
    private final FailureSpell writeFailures = new FailureSpell(System::nanoTime);
    private boolean writePaused;
    /** Asked before each write, as long as no byte of what it writes has left; null where nobody asks. */
    private BooleanSupplier mayStartWrite;

    /** One that is to be opened. */
    TcpConnection() {
        options.set(StandardSocketOptions.TCP_NODELAY, true);
    }

    /** One that was accepted. */
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

    /** From now on {@code wanted} is asked before each read whether {@link #sinceLastReceiveUs} is needed after it. */
    void measureDataAgeIf(BooleanSupplier wanted) {
        dataAgeWanted = wanted;
    }

    /** By the kernel, before the last read: how long ago data came last. {@link TcpInfo#UNKNOWN} where it was not wanted or does not tell. */
    long sinceLastReceiveUs() {
        return sinceLastReceiveUs;
    }

    @Override
    protected int doReadBytes(ByteBuf to) throws Exception {
        // Before it: what comes between the two is taken for older than it is, never for younger.
        sinceLastReceiveUs = dataAgeWanted.getAsBoolean() ? TcpInfo.sinceLastReceiveUs(javaChannel()) : TcpInfo.UNKNOWN;
        int n;
        try {
            n = readRetryingInterrupt(to);
        } catch (IOException e) {
            history.recordFailure(ConnectionHistory.SocketOperation.READ, e);
            if (!readFailures.mayTryAgain(e)) {
                throw e;
            }
            scheduleReadRetry();
            return 0;
        }
        readFailures.over();
        readFailureReported = false;
        if (n == END_OF_STREAM) {
            history.recordPeerClosed();
        } else if (n > 0) {
            history.recordRead(n);
            if (interestOps() == SelectionKey.OP_READ) {
                registration.proven();
            }
        }
        return n;
    }

    /** A read that a signal interrupts is made once more at once; one that is interrupted again has failed for a moment. */
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

    /** Whether what comes is read as soon as it comes. */
    boolean isReading() {
        return isActive() && isRegistered() && config().isAutoRead() && !readPaused;
    }

    /** Reads what lies in the socket by now, without waiting to be told of it; nothing where reading waits. */
    void readNow() {
        if (isReading()) {
            unsafe().read();
        }
    }

    /** The socket may stay readable all the while: until the next try it is not asked for. */
    private void scheduleReadRetry() {
        readPaused = true;
        removeAndSubmit(NioIoOps.READ);
        eventLoop().schedule(this::retryRead, FailureSpell.AGAIN_MS, TimeUnit.MILLISECONDS);
        if (readFailures.lastsMs() >= ClientInput.UNWATCHED_MS && !readFailureReported) {
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

    /**
     * {@code now} is asked right before each try of a write of which no byte has left: false, and it is not tried. It is forgotten with
     * the first byte.
     */
    void startWriteIf(BooleanSupplier now) {
        mayStartWrite = now;
    }

    /** Whether such a write has not begun to leave. */
    boolean isWriteNotStarted() {
        return mayStartWrite != null;
    }

    /** Whether the last write failed for a moment. */
    boolean isWriteFailing() {
        return writeFailures.failing();
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        if (mayStartWrite != null && !mayStartWrite.getAsBoolean()) {
            return;
        }
        long pendingBefore = out.totalPendingWriteBytes();
        try {
            super.doWrite(out);
            writeFailures.over();
        } catch (IOException e) {
            history.recordFailure(ConnectionHistory.SocketOperation.WRITE, e);
            if (!writeFailures.mayTryAgain(e)) {
                throw e;
            }
            scheduleWriteRetry();
        } finally {
            if (out.isEmpty() || out.currentProgress() > 0 || out.totalPendingWriteBytes() < pendingBefore) {
                mayStartWrite = null;
            }
        }
    }

    /** The socket may stay writable all the while: until the next try it is not asked for. */
    private void scheduleWriteRetry() {
        clearOpWrite();
        if (!writePaused) {
            writePaused = true;
            eventLoop().schedule(this::retryWrite, FailureSpell.AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retryWrite() {
        writePaused = false;
        if (isOpen()) {
            unsafe().forceFlush();
        }
    }

    /** Ends the output where the transport could not for a moment; it counts as ended there. Nothing may wait to be written. */
    void shutdownOutputWithRetry() {
        if (!isOpen()) {
            return;
        }
        try {
            javaChannel().shutdownOutput();
        } catch (IOException e) {
            if (!SocketErrors.isConnectionLost(e)) {
                eventLoop().schedule(this::shutdownOutputWithRetry, FailureSpell.AGAIN_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    // ---- interest in readiness

    @Override
    protected void addAndSubmit(NioIoOps ops) {
        int before = interestOps();
        super.addAndSubmit(ops);
        registration.changedFrom(before);
    }

    @Override
    protected void removeAndSubmit(NioIoOps ops) {
        int before = interestOps();
        super.removeAndSubmit(ops);
        registration.changedFrom(before);
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
        int wanted = wantsRead() ? ops : ops & ~SelectionKey.OP_READ;
        if (isOpen() && isRegistered() && wanted != 0) {
            addAndSubmit(NioIoOps.valueOf(wanted));
        }
    }
}

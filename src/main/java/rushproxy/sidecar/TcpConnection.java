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
final class TcpConnection extends NioSocketChannel implements RegistrationRetry.RegisteredChannel {
    /** Told to the handlers where it could not be read for so long that its peer may have gone unseen. */
    enum ReadsFail {
        FOR_LONG
    }

    private static final int END = -1;

    private final ConnectionHistory history = new ConnectionHistory();
    private final SocketOptions options = new SocketOptions(javaChannel());
    private final RegistrationRetry registration = new RegistrationRetry(this);
    private final TransientFailureTracker reads = new TransientFailureTracker(System::nanoTime);
    private BooleanSupplier ageWanted = () -> false;
    private long lastReceivedAgoUs = TcpInfo.UNKNOWN;
    /** Not asked for readiness to read until the next try. */
    private boolean readPaused;

    private boolean toldUnwatched;
    private final TransientFailureTracker writes = new TransientFailureTracker(System::nanoTime);
    private boolean writePaused;
    /** Asked before each write, as long as no byte of what it writes has left; null where nobody asks. */
    private BooleanSupplier mayBegin;

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
        options.tryAgainOn(eventLoop());
        if (readPaused) {
            setReadPending(true);
        } else {
            super.doBeginRead();
        }
    }

    /** From now on {@code wanted} is asked before each read whether {@link #lastReceivedAgoUs} is needed after it. */
    void tellsAgeIf(BooleanSupplier wanted) {
        ageWanted = wanted;
    }

    /** By the kernel, before the last read: how long ago data came last. {@link TcpInfo#UNKNOWN} where it was not wanted or does not tell. */
    long lastReceivedAgoUs() {
        return lastReceivedAgoUs;
    }

    @Override
    protected int doReadBytes(ByteBuf to) throws Exception {
        // Before it: what comes between the two is taken for older than it is, never for younger.
        lastReceivedAgoUs = ageWanted.getAsBoolean() ? TcpInfo.lastReceivedAgoUs(javaChannel()) : TcpInfo.UNKNOWN;
        int n;
        try {
            n = readInterruptible(to);
        } catch (IOException e) {
            history.failed(ConnectionHistory.Call.READ, e);
            if (!reads.shouldRetry(e)) {
                throw e;
            }
            readAgainLater();
            return 0;
        }
        reads.succeeded();
        toldUnwatched = false;
        if (n == END) {
            history.peerEnded();
        } else if (n > 0) {
            history.read(n);
            if (interestOps() == SelectionKey.OP_READ) {
                registration.readinessObserved();
            }
        }
        return n;
    }

    /** A read that a signal interrupts is made once more at once; one that is interrupted again has failed for a moment. */
    private int readInterruptible(ByteBuf to) throws Exception {
        int n = super.doReadBytes(to);
        if (n < END) {
            n = super.doReadBytes(to);
        }
        if (n < END) {
            throw new InterruptedIOException("interrupted");
        }
        return n;
    }

    /** Whether what comes is read as soon as it comes. */
    boolean reads() {
        return isActive() && isRegistered() && config().isAutoRead() && !readPaused;
    }

    /** Reads what lies in the socket by now, without waiting to be told of it; nothing where reading waits. */
    void readNow() {
        if (reads()) {
            unsafe().read();
        }
    }

    /** The socket may stay readable all the while: until the next try it is not asked for. */
    private void readAgainLater() {
        readPaused = true;
        removeAndSubmit(NioIoOps.READ);
        eventLoop().schedule(this::readAgain, TransientFailureTracker.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        if (reads.failingForMs() >= ClientInput.UNWATCHED_MS && !toldUnwatched) {
            toldUnwatched = true;
            pipeline().fireUserEventTriggered(ReadsFail.FOR_LONG);
        }
    }

    private void readAgain() {
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
    void beginsIf(BooleanSupplier now) {
        mayBegin = now;
    }

    /** Whether such a write has not begun to leave. */
    boolean waitsToBegin() {
        return mayBegin != null;
    }

    /** Whether the last write failed for a moment. */
    boolean writesFail() {
        return writes.isFailing();
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        if (mayBegin != null && !mayBegin.getAsBoolean()) {
            return;
        }
        long pendingBefore = out.totalPendingWriteBytes();
        try {
            super.doWrite(out);
            writes.succeeded();
        } catch (IOException e) {
            history.failed(ConnectionHistory.Call.WRITE, e);
            if (!writes.shouldRetry(e)) {
                throw e;
            }
            writeAgainLater();
        } finally {
            if (out.isEmpty() || out.currentProgress() > 0 || out.totalPendingWriteBytes() < pendingBefore) {
                mayBegin = null;
            }
        }
    }

    /** The socket may stay writable all the while: until the next try it is not asked for. */
    private void writeAgainLater() {
        clearOpWrite();
        if (!writePaused) {
            writePaused = true;
            eventLoop().schedule(this::writeAgain, TransientFailureTracker.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void writeAgain() {
        writePaused = false;
        if (isOpen()) {
            unsafe().forceFlush();
        }
    }

    /** Ends the output where the transport could not for a moment; it counts as ended there. Nothing may wait to be written. */
    void endOutput() {
        if (!isOpen()) {
            return;
        }
        try {
            javaChannel().shutdownOutput();
        } catch (IOException e) {
            if (!SocketErrors.endsConnection(e)) {
                eventLoop().schedule(this::endOutput, TransientFailureTracker.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
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
        int wanted = wantsRead() ? ops : ops & ~SelectionKey.OP_READ;
        if (isOpen() && isRegistered() && wanted != 0) {
            addAndSubmit(NioIoOps.valueOf(wanted));
        }
    }
}

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.Closeable;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Socket channels to which only the peer's end is an end: any other error of a call is this machine's own, and the call is tried
 * again ({@link SocketErrors}). Netty closes a connection at each error of a read or write. The JDK returns a negative number other
 * than -1 for a read that a signal interrupted (EINTR); Netty takes every negative number for the peer's end of the connection.
 */
final class Sockets {
    private Sockets() {}

    private static int interestOps(SelectionKey key) {
        return key != null && key.isValid() ? key.interestOps() : 0;
    }

    /** A connection, opened or accepted. */
    static final class Connection extends NioSocketChannel {
        private static final int END = -1;

        private final ConnectionHistory history = new ConnectionHistory();
        private final SocketOptions options = new SocketOptions(javaChannel());
        private final FailureSpell reads = new FailureSpell(System::nanoTime);
        /** Not asked for readiness until the next try. */
        private boolean readPaused;
        private boolean toldUnwatched;
        private final RegistrationRetry registration = new RegistrationRetry(new KeyInterest());
        private final FailureSpell writes = new FailureSpell(System::nanoTime);
        private boolean writePaused;
        /** Asked before a failed write is tried again, as long as no byte of what it writes has left; null where nobody asks. */
        private BooleanSupplier mayBegin;

        Connection() {
            options.set(StandardSocketOptions.TCP_NODELAY, true);
        }

        private Connection(Channel parent, SocketChannel socket) {
            super(parent, socket);
            options.set(StandardSocketOptions.TCP_NODELAY, true);
        }

        SocketOptions options() {
            return options;
        }

        @Override
        protected void doBeginRead() throws Exception {
            options.tryAgainOn(eventLoop());
            if (readPaused) {
                setReadPending(true);
            } else {
                super.doBeginRead();
            }
        }

        ConnectionHistory history() {
            return history;
        }

        @Override
        protected int doReadBytes(ByteBuf to) throws Exception {
            int n;
            try {
                n = super.doReadBytes(to);
            } catch (IOException e) {
                history.failed(ConnectionHistory.Call.READ, e);
                if (!reads.mayTryAgain(e)) {
                    throw e;
                }
                readAgainLater();
                return 0;
            }
            reads.over();
            toldUnwatched = false;
            if (n > 0) {
                history.read(n);
                if (interestOps() == SelectionKey.OP_READ) {
                    registration.proven();
                }
            } else if (n == END) {
                history.peerEnded();
            }
            // The socket stays readable, and the next turn of the loop reads it.
            return n < END ? 0 : n;
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
                    eventLoop().schedule(this::endOutput, FailureSpell.AGAIN_MS, TimeUnit.MILLISECONDS);
                }
            }
        }

        @Override
        protected void addAndSubmit(NioIoOps ops) {
            int before = interestOps();
            super.addAndSubmit(ops);
            tellChange(before);
        }

        @Override
        protected void removeAndSubmit(NioIoOps ops) {
            int before = interestOps();
            super.removeAndSubmit(ops);
            tellChange(before);
        }

        private void tellChange(int before) {
            int now = interestOps();
            if (now != before && now != 0) {
                registration.changed();
            }
        }

        private int interestOps() {
            return Sockets.interestOps(isRegistered() ? selectionKey() : null);
        }

        /** This connection's interest, for the retries of its registration. */
        private final class KeyInterest implements RegistrationRetry.Interest {
            @Override
            public int now() {
                return interestOps();
            }

            @Override
            public void withdraw() {
                removeAndSubmit(NioIoOps.valueOf(interestOps()));
            }

            @Override
            public void restore(int ops) {
                boolean reads = !readPaused && (config().isAutoRead() || isReadPending());
                int wanted = (ops & SelectionKey.OP_READ) != 0 && !reads ? ops & ~SelectionKey.OP_READ : ops;
                if (isOpen() && isRegistered() && wanted != 0) {
                    addAndSubmit(NioIoOps.valueOf(wanted));
                }
            }

            @Override
            public EventLoop loop() {
                return eventLoop();
            }
        }

        /** Reads what lies in the socket by now, without waiting to be told of it; nothing where reading waits. */
        void readNow() {
            if (isActive() && isRegistered() && config().isAutoRead() && !readPaused) {
                unsafe().read();
            }
        }

        /** The socket may stay readable all the while: until the next try it is not asked for. */
        private void readAgainLater() {
            readPaused = true;
            removeAndSubmit(NioIoOps.READ);
            eventLoop().schedule(this::readAgain, FailureSpell.AGAIN_MS, TimeUnit.MILLISECONDS);
            if (reads.lastsMs() >= ClientInput.UNWATCHED_MS && !toldUnwatched) {
                toldUnwatched = true;
                pipeline().fireUserEventTriggered(ReadsFail.FOR_LONG);
            }
        }

        private void readAgain() {
            readPaused = false;
            if (isActive() && (config().isAutoRead() || isReadPending())) {
                read();
            }
        }

        /**
         * {@code now} is asked before each further try of a write of which no byte has left: false, and it is not tried. It is
         * forgotten with the first byte.
         */
        void beginsIf(BooleanSupplier now) {
            mayBegin = now;
        }

        /** Whether such a write has not begun to leave. */
        boolean waitsToBegin() {
            return mayBegin != null;
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer out) throws Exception {
            long pendingBefore = out.totalPendingWriteBytes();
            try {
                super.doWrite(out);
                writes.over();
            } catch (IOException e) {
                history.failed(ConnectionHistory.Call.WRITE, e);
                if (!writes.mayTryAgain(e)) {
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
                eventLoop().schedule(this::writeAgain, FailureSpell.AGAIN_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void writeAgain() {
            writePaused = false;
            if (isOpen() && (mayBegin == null || mayBegin.getAsBoolean())) {
                unsafe().forceFlush();
            }
        }
    }

    /** Told to a connection's handlers where it could not be read for so long that its peer may have gone unseen. */
    enum ReadsFail { FOR_LONG }

    /** A listener whose connections are {@link Connection}s. */
    static final class Listener extends NioServerSocketChannel {
        /** Some second of tries. */
        private static final int MOST_TRIES = 300;

        private final RegistrationRetry registration = new RegistrationRetry(new KeyInterest());

        Listener() {
        }

        Listener(ServerSocketChannel socket) {
            super(socket);
        }

        @Override
        protected void addAndSubmit(NioIoOps ops) {
            int before = interestOps();
            super.addAndSubmit(ops);
            if (interestOps() != before) {
                registration.changed();
            }
        }

        private int interestOps() {
            return Sockets.interestOps(isRegistered() ? selectionKey() : null);
        }

        private final class KeyInterest implements RegistrationRetry.Interest {
            @Override
            public int now() {
                return interestOps();
            }

            @Override
            public void withdraw() {
                removeAndSubmit(NioIoOps.ACCEPT);
            }

            @Override
            public void restore(int ops) {
                if (isOpen() && isRegistered() && config().isAutoRead()) {
                    addAndSubmit(NioIoOps.ACCEPT);
                }
            }

            @Override
            public EventLoop loop() {
                return eventLoop();
            }
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

        private int add(List<Object> accepted, SocketChannel socket) {
            for (int tries = 1; ; tries++) {
                try {
                    socket.configureBlocking(false);
                    accepted.add(new Connection(this, socket));
                    return 1;
                } catch (IOException | RuntimeException e) {
                    if (tries == MOST_TRIES) {
                        Log.trouble("an accepted connection can't be used", e);
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
                    Log.trouble("an accepted connection has no address", e);
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
                Log.trouble("an accepted connection can't be closed", e);
            }
        }
    }
}

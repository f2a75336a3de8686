package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * Puts work off until all that lay in the sockets of the event loop for long has been read: a client's end, or discovery's news. A
 * look may bring a request whose client's end lies unread behind it, as old as the time since the look before. So where the
 * loop has been held up of late, the sockets are looked at once more before the work, which costs two turns of the loop.
 */
final class SocketLook {
    /**
     * An attempt may begin 100 ms after its client's end. What can't lie there for longer than this is left to the next look; a look
     * that waits for its next timer, which comes within 50 ms, may be woken late by as much.
     */
    static final long FRESH_US = 30_000;

    static {
        // Where a change of a registration fails the selector wakes for nothing until it is made anew (RegistrationRetry, 15 ms). Netty
        // would rather register everything with another selector, and where that fails for some nobody would know which.
        System.setProperty("io.netty.selectorAutoRebuildThreshold", "0");
    }

    /** When the last look at the sockets was over. */
    private long lookedNanos = System.nanoTime();
    /** For how long nobody had looked before it. */
    private long unlookedNanos;
    private long activeNanos;

    /** Makes the event loop's I/O handler, whose looks are timed. For one event loop. */
    IoHandlerFactory handlers() {
        IoHandlerFactory nio = NioIoHandler.newFactory();
        return executor -> new Timed(nio.newHandler(executor));
    }

    /** Runs the work in this turn of the loop where the sockets have been looked at just now, else after one more look. */
    void before(EventLoop loop, Runnable work) {
        loop.execute(() -> {
            if (System.nanoTime() - lookedNanos + unlookedNanos <= TimeUnit.MICROSECONDS.toNanos(FRESH_US)) {
                work.run();
            } else {
                afterAnotherLook(loop, work);
            }
        });
    }

    private static void afterAnotherLook(EventLoop loop, Runnable work) {
        // A task runs in the turn that it is put into, if that goes on; the turn after is the next to ask for sockets. Netty
        // tells of a connection's end by a task of that turn, so the work goes behind those.
        ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(() -> loop.execute(work)));
    }

    private final class Timed implements IoHandler {
        private final IoHandler nio;

        Timed(IoHandler nio) {
            this.nio = nio;
        }

        @Override
        public int run(IoHandlerContext context) {
            long beginsNanos = System.nanoTime();
            long sinceLookNanos = beginsNanos - lookedNanos;
            long mayWaitNanos = context.canBlock() ? Math.max(0, context.delayNanos(beginsNanos)) : 0;
            activeNanos = 0;
            int handled = nio.run(new TimedContext(context));
            lookedNanos = System.nanoTime() - activeNanos;
            // A look that took longer than it was to wait was held up itself.
            unlookedNanos = sinceLookNanos + Math.max(0, lookedNanos - beginsNanos - mayWaitNanos);
            return handled;
        }

        @Override
        public void initialize() {
            nio.initialize();
        }

        @Override
        public void prepareToDestroy() {
            nio.prepareToDestroy();
        }

        @Override
        public void destroy() {
            nio.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return nio.register(handle);
        }

        @Override
        public void wakeup() {
            nio.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return nio.isCompatible(type);
        }
    }

    /** Asks the handler to tell how long it read and wrote after its look. */
    private final class TimedContext implements IoHandlerContext {
        private final IoHandlerContext loop;

        TimedContext(IoHandlerContext loop) {
            this.loop = loop;
        }

        @Override
        public boolean canBlock() {
            return loop.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            return loop.delayNanos(now);
        }

        @Override
        public long deadlineNanos() {
            return loop.deadlineNanos();
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return true;
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            activeNanos = nanos;
            if (loop.shouldReportActiveIoTime()) {
                loop.reportActiveIoTime(nanos);
            }
        }
    }
}

package rushproxy.sidecar;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * The time of a clock and of event loop timers. It runs until a test freezes it; then only the test advances it, so that results do
 * not depend on the speed of the machine.
 */
final class FreezableClock extends Clock implements Ticker {
    /** How long a loop waits while frozen before it looks whether the clock was advanced. */
    private static final long FROZEN_POLL_NANOS = 1_000_000;

    private final long startNanos = System.nanoTime();
    private final long startUnixUs = System.currentTimeMillis() * 1_000;
    /** How far it lags behind the system's clock while running. */
    private long lagNanos;
    /** The current time while frozen. */
    private long frozenAtNanos;

    private boolean frozen;

    synchronized void freeze() {
        frozenAtNanos = nanoTime();
        frozen = true;
    }

    private synchronized boolean isFrozen() {
        return frozen;
    }

    /** Advances the frozen clock, which makes timers due by then run. */
    synchronized void advance(long ms) {
        frozenAtNanos += TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Lets the clock run again, from the time at which it is frozen. */
    synchronized void resume() {
        lagNanos = System.nanoTime() - startNanos - frozenAtNanos;
        frozen = false;
    }

    @Override
    long nowUs() {
        return startUnixUs + nanoTime() / 1_000;
    }

    @Override
    public synchronized long nanoTime() {
        return frozen ? frozenAtNanos : System.nanoTime() - startNanos - lagNanos;
    }

    @Override
    public long initialNanoTime() {
        return startNanos;
    }

    @Override
    public void sleep(long delay, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    /** Creates a group of one event loop whose timers use this clock. */
    EventLoopGroup eventLoopGroup(IoHandlerFactory handlers) {
        return new MultiThreadIoEventLoopGroup(1, handlers) {
            @Override
            protected IoEventLoop newChild(Executor executor, IoHandlerFactory factory, Object... args) {
                return new Loop(this, executor, factory);
            }
        };
    }

    private final class Loop extends SingleThreadIoEventLoop {
        Loop(MultiThreadIoEventLoopGroup group, Executor executor, IoHandlerFactory handlers) {
            super(group, executor, handlers);
        }

        @Override
        public Ticker ticker() {
            return FreezableClock.this;
        }

        /** Netty's selector passes the system's time, which is replaced by this clock's. */
        @Override
        protected long delayNanos(long systemNanos) {
            // Qualified, since the executor has a static method of this name, of the system's time.
            long delay = super.delayNanos(startNanos + FreezableClock.this.nanoTime());
            return isFrozen() ? Math.min(delay, FROZEN_POLL_NANOS) : delay;
        }
    }
}

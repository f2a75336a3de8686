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
 * The time of a clock and of the timers of loops. It runs until a test stops it; then it stands, however late the machine runs, and is
 * moved by the test.
 */
final class FreezableClock extends Clock implements Ticker {
    private final long startNanos = System.nanoTime();
    private final long startUnixUs = System.currentTimeMillis() * 1_000;
    /** By which it is behind the system's time while it runs. */
    private long lagNanos;
    /** When it was stopped, or where it was moved to since. */
    private long frozenAtNanos;

    private boolean frozen;

    /** From now on it stands. */
    synchronized void freeze() {
        frozenAtNanos = nanoTime();
        frozen = true;
    }

    /** Timers that are due by then run. */
    synchronized void advance(long ms) {
        frozenAtNanos += TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** It runs again, from where it stands. */
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

    /** One loop whose timers go by this time. */
    EventLoopGroup eventLoopGroup(IoHandlerFactory handlers) {
        return new MultiThreadIoEventLoopGroup(1, handlers) {
            @Override
            protected IoEventLoop newChild(Executor executor, IoHandlerFactory factory, Object... none) {
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

        /** Netty's selector asks by the system's time. */
        @Override
        protected long delayNanos(long systemNanos) {
            return super.delayNanos(startNanos + nanoTime());
        }
    }
}

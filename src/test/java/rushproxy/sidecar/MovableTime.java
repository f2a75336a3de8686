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
final class MovableTime extends Clock implements Ticker {
    private final long beganNanos = System.nanoTime();
    private final long beganUs = System.currentTimeMillis() * 1_000;
    /** By which it is behind the system's time while it runs. */
    private long behindNanos;
    /** When it was stopped, or where it was moved to since. */
    private long standsAtNanos;

    private boolean stands;

    /** From now on it stands. */
    synchronized void stop() {
        standsAtNanos = nanoTime();
        stands = true;
    }

    /** Timers that are due by then run. */
    synchronized void move(long ms) {
        standsAtNanos += TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** It runs again, from where it stands. */
    synchronized void goOn() {
        behindNanos = System.nanoTime() - beganNanos - standsAtNanos;
        stands = false;
    }

    @Override
    long now() {
        return beganUs + nanoTime() / 1_000;
    }

    @Override
    public synchronized long nanoTime() {
        return stands ? standsAtNanos : System.nanoTime() - beganNanos - behindNanos;
    }

    @Override
    public long initialNanoTime() {
        return beganNanos;
    }

    @Override
    public void sleep(long delay, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    /** One loop whose timers go by this time. */
    EventLoopGroup loops(IoHandlerFactory handlers) {
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
            return MovableTime.this;
        }

        /** Netty's selector asks by the system's time. */
        @Override
        protected long delayNanos(long systemNanos) {
            return super.delayNanos(beganNanos + nanoTime());
        }
    }
}

package rushproxy.sidecar;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * An I/O handler that waits at least until the next timer is due. The selector waits for whole milliseconds, and Netty
 * rounds to the nearest: after a wait that was rounded down its loop would spin until the timer is due.
 */
final class RoundingUpIoHandler extends ForwardingIoHandler {
    /** Netty rounds a remainder of up to half a millisecond down. */
    private static final long MAX_ROUNDED_DOWN_NANOS = 500_000;

    private RoundingUpIoHandler(IoHandler handler) {
        super(handler);
    }

    static IoHandlerFactory wrap(IoHandlerFactory handlers) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new RoundingUpIoHandler(handlers.newHandler(executor));
            }

            @Override
            public boolean isChangingThreadSupported() {
                return handlers.isChangingThreadSupported();
            }
        };
    }

    @Override
    public int run(IoHandlerContext context) {
        return super.run(new RoundedUp(context));
    }

    private record RoundedUp(IoHandlerContext context) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        /** Returns {@link Long#MAX_VALUE} if no timer is scheduled. */
        @Override
        public long delayNanos(long nowNanos) {
            long delay = context.delayNanos(nowNanos);
            return delay <= 0 || delay == Long.MAX_VALUE ? delay : delay + MAX_ROUNDED_DOWN_NANOS - 1;
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            context.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return context.shouldReportActiveIoTime();
        }
    }
}

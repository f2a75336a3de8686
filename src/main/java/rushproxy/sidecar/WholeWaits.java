package rushproxy.sidecar;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * An I/O handler that waits until the next timer is due, and no less. The selector waits for whole milliseconds, and Netty rounds to
 * the nearest: for what is left of a wait that was rounded down its loop turns without waiting.
 */
final class WholeWaits implements IoHandler {
    /** The half up to which Netty rounds down. */
    private static final long ROUNDED_DOWN_NANOS = 500_000;

    private final IoHandler handler;

    private WholeWaits(IoHandler handler) {
        this.handler = handler;
    }

    static IoHandlerFactory of(IoHandlerFactory handlers) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new WholeWaits(handlers.newHandler(executor));
            }

            @Override
            public boolean isChangingThreadSupported() {
                return handlers.isChangingThreadSupported();
            }
        };
    }

    @Override
    public int run(IoHandlerContext context) {
        return handler.run(new RoundedUp(context));
    }

    @Override
    public void initialize() {
        handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(handle);
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return handler.isCompatible(type);
    }

    private record RoundedUp(IoHandlerContext context) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        /** {@link Long#MAX_VALUE} where no timer waits. */
        @Override
        public long delayNanos(long nowNanos) {
            long delay = context.delayNanos(nowNanos);
            return delay <= 0 || delay == Long.MAX_VALUE ? delay : delay + ROUNDED_DOWN_NANOS - 1;
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

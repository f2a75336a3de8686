package rushproxy.sidecar;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/** An I/O handler that reports each poll of its event loop to an {@link EventLoopDelay}. */
final class TimedIoHandler implements IoHandler {
    private static final long NANOS_PER_US = 1_000;

    private final IoHandler delegate;
    private final Clock clock;
    private final EventLoopDelay loopDelay;

    private TimedIoHandler(IoHandler delegate, Clock clock, EventLoopDelay loopDelay) {
        this.delegate = delegate;
        this.clock = clock;
        this.loopDelay = loopDelay;
    }

    /** The factory must serve only one event loop, since {@code loopDelay} is not thread-safe. */
    static IoHandlerFactory wrap(IoHandlerFactory factory, Clock clock, EventLoopDelay loopDelay) {
        return executor -> new TimedIoHandler(factory.newHandler(executor), clock, loopDelay);
    }

    @Override
    public int run(IoHandlerContext context) {
        long startUs = clock.nowUs();
        long blockableUs = context.canBlock() ? context.delayNanos(System.nanoTime()) / NANOS_PER_US : 0;
        try {
            return delegate.run(context);
        } finally {
            loopDelay.recordPoll(startUs, startUs + blockableUs, clock.nowUs());
        }
    }

    @Override
    public void initialize() {
        loopDelay.recordLoopStart(clock.nowUs());
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return delegate.isCompatible(type);
    }
}

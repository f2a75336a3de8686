package rushproxy.sidecar;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/** An event loop's I/O handler that measures each turn of the loop: a turn begins as the handler has looked at the sockets. */
final class TimedIoHandler implements IoHandler {
    private static final long NANOS_PER_US = 1_000;

    private final IoHandler delegate;
    private final Clock clock;
    private final EventLoopDelay loopDelay;

    private TimedIoHandler(IoHandler handler, Clock clock, EventLoopDelay loopDelay) {
        this.delegate = handler;
        this.clock = clock;
        this.loopDelay = loopDelay;
    }

    /** For one loop alone: {@code loopDelay} is told of its turns on its thread. */
    static IoHandlerFactory wrap(IoHandlerFactory handlers, Clock clock, EventLoopDelay loopDelay) {
        return executor -> new TimedIoHandler(handlers.newHandler(executor), clock, loopDelay);
    }

    @Override
    public int run(IoHandlerContext context) {
        long beganUs = clock.nowUs();
        long idleUs = context.canBlock() ? context.delayNanos(System.nanoTime()) / NANOS_PER_US : 0;
        try {
            return delegate.run(context);
        } finally {
            loopDelay.recordPoll(beganUs, beganUs + idleUs, clock.nowUs());
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

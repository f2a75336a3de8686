package rushproxy.sidecar;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/** An event loop's I/O handler that measures each turn of the loop: a turn begins as the handler has looked at the sockets. */
final class TimedIoHandler implements IoHandler {
    private static final long NANOS_A_US = 1_000;

    private final IoHandler handler;
    private final Clock clock;
    private final LoopDelay loopDelay;

    private TimedIoHandler(IoHandler handler, Clock clock, LoopDelay loopDelay) {
        this.handler = handler;
        this.clock = clock;
        this.loopDelay = loopDelay;
    }

    /** For one loop alone: {@code loopDelay} is told of its turns on its thread. */
    static IoHandlerFactory factory(IoHandlerFactory handlers, Clock clock, LoopDelay loopDelay) {
        return executor -> new TimedIoHandler(handlers.newHandler(executor), clock, loopDelay);
    }

    @Override
    public int run(IoHandlerContext context) {
        long beganUs = clock.now();
        long idleUs = context.canBlock() ? context.delayNanos(System.nanoTime()) / NANOS_A_US : 0;
        try {
            return handler.run(context);
        } finally {
            loopDelay.looked(beganUs, beganUs + idleUs, clock.now());
        }
    }

    @Override
    public void initialize() {
        loopDelay.begins(clock.now());
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
}

package rushproxy.sidecar;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;

/** An I/O handler that reports each poll of its event loop to an {@link EventLoopDelay}. */
final class TimedIoHandler extends ForwardingIoHandler {
    private static final long NANOS_PER_US = 1_000;

    private final Clock clock;
    private final EventLoopDelay loopDelay;

    private TimedIoHandler(IoHandler delegate, Clock clock, EventLoopDelay loopDelay) {
        super(delegate);
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
            return super.run(context);
        } finally {
            loopDelay.recordPoll(startUs, startUs + blockableUs, clock.nowUs());
        }
    }

    @Override
    public void initialize() {
        loopDelay.recordLoopStart(clock.nowUs());
        super.initialize();
    }
}

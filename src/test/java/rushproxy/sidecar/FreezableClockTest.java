package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The timers of event loops under a test's clock. */
@Timeout(60)
class FreezableClockTest {
    private static final long DELAY_MS = 200;
    private static final int MAX_POLLS = 50;

    private static final class CountingClock extends Clock {
        private final AtomicInteger reads = new AtomicInteger();

        @Override
        long nowUs() {
            return reads.incrementAndGet();
        }
    }

    private final CountingClock polls = new CountingClock();

    private EventLoopGroup loop(FreezableClock clock) {
        IoHandlerFactory handlers = RoundingUpIoHandler.wrap(NioIoHandler.newFactory());
        return clock.eventLoopGroup(TimedIoHandler.wrap(handlers, polls, new EventLoopDelay()));
    }

    /** Guards against a loop that spins until its next timer is due, since it reckons by a clock that started earlier. */
    @Test
    void aLoopSleepsUntilItsNextTimer() throws Exception {
        Ticker.systemTicker().initialNanoTime();
        TimeUnit.MILLISECONDS.sleep(2 * DELAY_MS);
        EventLoopGroup loop = loop(new FreezableClock());
        try {
            assertTrue(loop.next()
                    .schedule(() -> {}, DELAY_MS, TimeUnit.MILLISECONDS)
                    .await(10_000));
            assertTrue(polls.reads.get() < MAX_POLLS, polls.reads + " looks at the clock");
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    /** Guards against a timer of a frozen clock that runs early, or only once its real time has passed. */
    @Test
    void aFrozenClockHoldsItsTimersUntilItIsAdvanced() throws Exception {
        FreezableClock clock = new FreezableClock();
        EventLoopGroup loop = loop(clock);
        try {
            clock.freeze();
            Future<?> timer = loop.next().schedule(() -> {}, 3_600, TimeUnit.SECONDS);
            assertFalse(timer.await(DELAY_MS));
            clock.advance(TimeUnit.HOURS.toMillis(1));
            assertTrue(timer.await(TimeUnit.SECONDS.toMillis(30)));
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}

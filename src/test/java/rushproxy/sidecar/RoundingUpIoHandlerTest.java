package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class RoundingUpIoHandlerTest {
    private static final int TIMERS = 50;
    /** One iteration ends the wait and runs the timer, another finds nothing left to do. */
    private static final int MAX_ITERATIONS_PER_TIMER = 2;

    /** Guards against a loop that spins for up to half a millisecond before each timer. */
    @Test
    void aTimerCostsAtMostTwoLoopIterations() throws Exception {
        AtomicInteger iterations = new AtomicInteger();
        SelectStrategy strategy = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(
                1,
                RoundingUpIoHandler.wrap(
                        NioIoHandler.newFactory(SelectorProvider.provider(), () -> (ready, hasTasks) -> {
                            iterations.incrementAndGet();
                            return strategy.calculateStrategy(ready, hasTasks);
                        })));
        try {
            CountDownLatch fired = new CountDownLatch(TIMERS);
            group.next().scheduleAtFixedRate(fired::countDown, 7_300, 7_300, TimeUnit.MICROSECONDS);
            fired.await();
            assertTrue(
                    iterations.get() <= MAX_ITERATIONS_PER_TIMER * (TIMERS + 1),
                    () -> iterations + " iterations for " + TIMERS + " timers");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }
}

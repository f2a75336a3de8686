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
    private static final int TIMES = 50;
    /** One turn ends the wait and runs what is due, one finds that nothing is left to do. */
    private static final int TURNS_EACH = 2;

    /** Guards against a loop that turns without waiting for up to half a millisecond before each timer. */
    @Test
    void aTimerCostsTwoTurnsAtMost() throws Exception {
        AtomicInteger turns = new AtomicInteger();
        SelectStrategy strategy = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(
                1,
                RoundingUpIoHandler.wrap(
                        NioIoHandler.newFactory(SelectorProvider.provider(), () -> (ready, hasTasks) -> {
                            turns.incrementAndGet();
                            return strategy.calculateStrategy(ready, hasTasks);
                        })));
        try {
            CountDownLatch times = new CountDownLatch(TIMES);
            group.next().scheduleAtFixedRate(times::countDown, 7_300, 7_300, TimeUnit.MICROSECONDS);
            times.await();
            assertTrue(turns.get() <= TURNS_EACH * (TIMES + 1), () -> turns + " turns for " + TIMES + " timers");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class PeriodicTaskTest {
    /** The beat that ends tells of an ever later loop, by which every request is out of time. */
    @Test
    void oneTimeThatFailsIsFollowedByTheNext() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = group.next();
            AtomicInteger times = new AtomicInteger();
            CountDownLatch third = new CountDownLatch(3);
            PeriodicTask.scheduleEvery(loop, 1, () -> {
                third.countDown();
                switch (times.incrementAndGet()) {
                    case 1 -> throw new NoClassDefFoundError("as the test wants");
                    case 2 -> throw new IllegalStateException("as the test wants");
                    default -> {}
                }
            });
            assertTrue(third.await(20, TimeUnit.SECONDS), "it came " + times + " times");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}

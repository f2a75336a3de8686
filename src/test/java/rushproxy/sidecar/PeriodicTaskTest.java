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
    /** Guards against a heartbeat that stops after an error: the loop would seem ever later, and every request out of time. */
    @Test
    void aFailedRunDoesNotCancelTheSchedule() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = group.next();
            AtomicInteger runs = new AtomicInteger();
            CountDownLatch thirdRun = new CountDownLatch(3);
            PeriodicTask.scheduleEvery(loop, 1, () -> {
                thirdRun.countDown();
                switch (runs.incrementAndGet()) {
                    case 1 -> throw new NoClassDefFoundError("injected by the test");
                    case 2 -> throw new IllegalStateException("injected by the test");
                    default -> {}
                }
            });
            assertTrue(thirdRun.await(20, TimeUnit.SECONDS), "ran " + runs + " times");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}

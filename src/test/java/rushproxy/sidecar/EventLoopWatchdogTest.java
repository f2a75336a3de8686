package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.FastThreadLocal;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class EventLoopWatchdogTest {
    /** Guards against a process that hangs after an error has ended its event loop and the loop's cleanup has failed too. */
    @Test
    void reportsThreadDeathWhenLoopNeverTerminates() throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, SocketPolling.ioHandlerFactory()).next();
        CountDownLatch ended = new CountDownLatch(1);
        EventLoopWatchdog.start(loop, ended::countDown);
        FastThreadLocal<Object> failingCleanup = new FastThreadLocal<>() {
            @Override
            protected void onRemoval(Object value) {
                throw new NoClassDefFoundError();
            }
        };
        loop.submit(() -> failingCleanup.set("")).sync();
        assertFalse(ended.await(0, TimeUnit.SECONDS));
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        assertTrue(ended.await(30, TimeUnit.SECONDS));
        assertFalse(loop.isTerminated());
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An interest is registered again until readiness is observed, at most a few times. */
@Timeout(60)
class RegistrationRetryTest {
    private static final int READ = 1;

    private final DefaultEventLoop loop = new DefaultEventLoop();

    @AfterEach
    void end() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** A channel whose interest is set by the test, on its event loop. */
    private final class Channel implements RegistrationRetry.RegisteredChannel {
        private final CountDownLatch restored;
        private final RegistrationRetry retry = new RegistrationRetry(this);
        private boolean listener;
        private int ops;
        private int withdrawn;
        private int restores;

        Channel(int restores) {
            restored = new CountDownLatch(restores);
        }

        void setInterest(int now) {
            int before = ops;
            ops = now;
            retry.interestChanged(before);
        }

        @Override
        public EventLoop eventLoop() {
            return loop;
        }

        @Override
        public int interestOps() {
            return ops;
        }

        @Override
        public void withdrawInterest() {
            withdrawn++;
            setInterest(0);
        }

        @Override
        public void restoreInterest(int now) {
            restores++;
            setInterest(now);
            restored.countDown();
        }

        @Override
        public boolean isListener() {
            return listener;
        }
    }

    @Test
    void anInterestIsRegisteredAgainSeveralTimes() throws Exception {
        Channel channel = new Channel(6);
        loop.execute(() -> channel.setInterest(READ));
        assertTrue(channel.restored.await(30, TimeUnit.SECONDS));
        // If a retry triggered retries of its own, they would come within this time.
        loop.schedule(() -> {}, 60, TimeUnit.MILLISECONDS).sync();
        loop.submit(() -> {
                    assertEquals(6, channel.withdrawn);
                    assertEquals(6, channel.restores);
                    assertEquals(READ, channel.ops);
                })
                .sync();
    }

    @Test
    void observedReadinessEndsTheRetries() throws Exception {
        Channel channel = new Channel(1);
        loop.submit(() -> {
                    channel.setInterest(READ);
                    channel.retry.readinessObserved();
                })
                .sync();
        loop.schedule(() -> {}, 60, TimeUnit.MILLISECONDS).sync();
        loop.submit(() -> assertEquals(0, channel.withdrawn)).sync();
    }

    @Test
    void nothingIsRetriedWithoutAnInterest() throws Exception {
        Channel channel = new Channel(1);
        loop.submit(() -> {
                    channel.setInterest(READ);
                    channel.setInterest(0);
                })
                .sync();
        loop.schedule(() -> {}, 60, TimeUnit.MILLISECONDS).sync();
        loop.submit(() -> assertEquals(0, channel.withdrawn)).sync();
    }

    /** Guards against a listener that receives nothing more because the registration of the last retry failed. */
    @Test
    void aListenerIsRegisteredAgainUntilReadinessIsObserved() throws Exception {
        Channel channel = new Channel(8);
        channel.listener = true;
        loop.execute(() -> channel.setInterest(READ));
        assertTrue(channel.restored.await(30, TimeUnit.SECONDS));
        int restores = loop.submit(() -> {
                    channel.retry.readinessObserved();
                    return channel.restores;
                })
                .sync()
                .getNow();
        loop.schedule(() -> {}, 600, TimeUnit.MILLISECONDS).sync();
        loop.submit(() -> assertEquals(restores, channel.restores)).sync();
    }
}

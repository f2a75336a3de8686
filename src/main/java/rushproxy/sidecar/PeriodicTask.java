package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Work that the loop does again and again. A time that fails is logged and the next one comes all the same; left to itself the
 * loop would let the work end there for good, and unsaid, though want of descriptors or memory passes.
 */
final class PeriodicTask {
    private PeriodicTask() {}

    /** The result ends it. */
    static Future<?> scheduleEvery(EventLoop loop, long ms, Runnable work) {
        return loop.scheduleAtFixedRate(
                () -> {
                    try {
                        work.run();
                    } catch (Throwable e) {
                        logFailure(e);
                    }
                },
                ms,
                ms,
                TimeUnit.MILLISECONDS);
    }

    private static void logFailure(Throwable e) {
        try {
            Log.exception("recurring work failed", e);
        } catch (Throwable again) {
            // What it lacks the log may lack too; it is about the next time that this is.
        }
    }
}

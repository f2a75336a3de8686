package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs a task periodically on an event loop. A failed run is logged and the schedule goes on: by itself the executor would silently
 * cancel a periodic task that throws, though its cause, such as a lack of descriptors or memory, may pass.
 */
final class PeriodicTask {
    private PeriodicTask() {}

    /** Runs {@code task} every {@code periodMs} until the returned future is cancelled. */
    static Future<?> scheduleEvery(EventLoop loop, long periodMs, Runnable task) {
        return loop.scheduleAtFixedRate(
                () -> {
                    try {
                        task.run();
                    } catch (Throwable e) {
                        logFailure(e);
                    }
                },
                periodMs,
                periodMs,
                TimeUnit.MILLISECONDS);
    }

    private static void logFailure(Throwable e) {
        try {
            Log.error("recurring work failed", e);
        } catch (Throwable logFailure) {
            // Logging may fail for the same reason as the task. The next run matters more than the message.
        }
    }
}

package rushproxy.sidecar;

import io.netty.channel.EventLoop;

/**
 * Detects the death of an event loop's thread, which an uncaught error causes, such as a class that can't be loaded or a lack of
 * memory that affects the error handler too. Otherwise the process would live on: the kernel would accept connections that are never
 * served, and the process would not react to signals.
 */
final class EventLoopWatchdog {
    private EventLoopWatchdog() {}

    /** Calls {@code onDeath} once, when the loop's thread has ended. Must not be called on that thread. */
    static void start(EventLoop loop, Runnable onDeath) throws InterruptedException {
        // Joins the thread, since the loop's termination future never completes if the loop's cleanup fails.
        Thread loopThread = loop.submit(Thread::currentThread).sync().getNow();
        Thread watchdog = new Thread(() -> awaitDeath(loopThread, onDeath), "loop-watch");
        watchdog.setDaemon(true);
        watchdog.start();
    }

    private static void awaitDeath(Thread loopThread, Runnable onDeath) {
        try {
            loopThread.join();
            onDeath.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

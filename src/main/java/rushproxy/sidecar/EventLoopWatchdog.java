package rushproxy.sidecar;

import io.netty.channel.EventLoop;

/**
 * Waits for the end of an event loop's thread. It ends where an error meets no handler, as when a class can't be loaded or memory lacks
 * for the log too. The process would live on: the kernel lets clients in, nobody answers them, and no signal ends it.
 */
final class EventLoopWatchdog {
    private EventLoopWatchdog() {}

    /** {@code ended} runs once, when the loop's thread has ended. Not for the loop's own thread. */
    static void start(EventLoop loop, Runnable ended) throws InterruptedException {
        // The thread, not the loop's termination: an error while the loop cleans up leaves that untold.
        Thread watched = loop.submit(Thread::currentThread).sync().getNow();
        Thread watch = new Thread(() -> awaitEnd(watched, ended), "loop-watch");
        watch.setDaemon(true);
        watch.start();
    }

    private static void awaitEnd(Thread watched, Runnable ended) {
        try {
            watched.join();
            ended.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;

/**
 * Defers work until the event loop has polled every socket once more. Whatever clients or discovery have sent by then, above all the
 * end of a connection, is processed before the work runs, whichever socket it came on. This includes connections accepted late: the
 * age of a request waiting on one is unknown, but the request and the end of the connection are both read.
 */
final class SocketPolling {
    static {
        // A failed change of a registration makes the selector wake without events until RegistrationRetry repeats the
        // change (15 ms). By default Netty would then move all channels to a new selector, without reporting which of
        // them could not be moved.
        System.setProperty("io.netty.selectorAutoRebuildThreshold", "0");
    }

    private SocketPolling() {}

    /** Creates the event loop's I/O handler. */
    static IoHandlerFactory ioHandlerFactory() {
        return RoundingUpIoHandler.wrap(NioIoHandler.newFactory());
    }

    /** Runs {@code work} in the next iteration, after the sockets that are ready by then. */
    static void runInNextIteration(EventLoop loop, Runnable work) {
        ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(work));
    }

    /** Runs {@code work} after the next poll. Costs two iterations of the loop, neither of which blocks. */
    static void runAfterNextPoll(EventLoop loop, Runnable work) {
        // A task submitted now may still run in the current iteration; the next iteration polls the sockets. Netty
        // signals the end of a connection by a task of that iteration, so the work is queued behind those tasks.
        ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(() -> loop.execute(work)));
    }
}

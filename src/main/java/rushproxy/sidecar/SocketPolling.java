package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.NioIoHandler;

/**
 * Puts work off until every socket of the event loop has been looked at once more. What a client or discovery has sent by then, its
 * end above all, is read before the work runs, in whichever order the sockets come. It holds for a connection that was accepted late
 * as well: how long its request and its end have lain there nobody can tell, but both are read.
 */
final class SocketPolling {
    static {
        // Where a change of a registration fails the selector wakes for nothing until it is made anew
        // (RegistrationRetry, 15 ms). Netty
        // would rather register everything with another selector, and where that fails for some nobody would know
        // which.
        System.setProperty("io.netty.selectorAutoRebuildThreshold", "0");
    }

    private SocketPolling() {}

    /** Makes the event loop's I/O handler. */
    static IoHandlerFactory ioHandlerFactory() {
        return WholeWaits.of(NioIoHandler.newFactory());
    }

    /** Costs two turns of the loop, without a wait. */
    static void runAfterNextPoll(EventLoop loop, Runnable work) {
        // A task runs in the turn that it is put into, if that goes on; the turn after is the next to ask for sockets.
        // Netty
        // tells of a connection's end by a task of that turn, so the work goes behind those.
        ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(() -> loop.execute(work)));
    }
}

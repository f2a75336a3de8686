package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadEventLoop;

/**
 * Puts work off until every socket of the event loop has been looked at once more. What a client or discovery has sent by
 * then, its end above all, is read before the work runs, in whichever order the sockets come and however long the loop was
 * held up before.
 */
final class SocketLook {
    private SocketLook() {}

    /** Costs one turn of the loop, without a wait. */
    static void before(EventLoop loop, Runnable work) {
        // A task runs in the turn that it is put into, if that goes on; the turn after is the next to ask for sockets. Netty
        // tells of a connection's end by a task of that turn, so the work goes behind those.
        ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(() -> loop.execute(work)));
    }
}

package rushproxy.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** How this program begins to listen: a call that fails for a moment is no reason not to start. */
final class ListenerBinder {
    private static final long RETRY_INTERVAL_MS = 20;
    /** Five seconds of tries: who may take a while to give an address back is the process before. */
    private static final int MAX_TRIES = 250;

    private ListenerBinder() {}

    /**
     * Waits until it listens; not for the event loop's thread. Throws what the last try failed by. {@code bootstrap} makes one for each
     * try, since a listener's handler belongs to one.
     */
    static Channel bind(Supplier<ServerBootstrap> bootstrap, InetSocketAddress address) throws InterruptedException {
        for (int tries = 1; ; tries++) {
            ChannelFuture bound = bootstrap.get().bind(address).await();
            if (bound.isSuccess() || tries == MAX_TRIES) {
                return bound.sync().channel();
            }
            Thread.sleep(RETRY_INTERVAL_MS);
        }
    }
}

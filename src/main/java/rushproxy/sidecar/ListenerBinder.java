package rushproxy.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Binds listening sockets, with retries so that a passing failure does not prevent the start. */
public final class ListenerBinder {
    private static final long RETRY_INTERVAL_MS = 20;
    /** Retries for five seconds, since the previous process may take a while to release the address. */
    private static final int MAX_TRIES = 250;

    private ListenerBinder() {}

    /**
     * Waits until the socket listens, so it must not run on the event loop's thread. Throws the failure of the last
     * try. {@code bootstrap} creates a bootstrap for each try, since each has its own handler.
     */
    public static Channel bind(Supplier<ServerBootstrap> bootstrap, InetSocketAddress address)
            throws InterruptedException {
        for (int attempt = 1; ; attempt++) {
            ChannelFuture bound = bootstrap.get().bind(address).await();
            if (bound.isSuccess() || attempt == MAX_TRIES) {
                return bound.sync().channel();
            }
            Thread.sleep(RETRY_INTERVAL_MS);
        }
    }
}

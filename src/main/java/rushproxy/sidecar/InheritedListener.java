package rushproxy.sidecar;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * Opens the listening socket that the process inherits as descriptor 0. The runtime queries the socket's address; if
 * that call fails once the runtime may report from then on that there is no such socket. Here the call is retried, for
 * which the cached result of the runtime must be cleared: an internal of the runtime that the manifest of the archive
 * opens (Add-Opens). If it is not open there is only one try.
 */
final class InheritedListener {
    private static final long RETRY_INTERVAL_MS = 20;
    /** Retries for one second. */
    private static final int MAX_TRIES = 50;

    private InheritedListener() {}

    /** Throws if descriptor 0 is not a listening socket or if the last try failed. */
    static ServerSocketChannel open() throws IOException, InterruptedException {
        for (int attempt = 1; ; attempt++) {
            IOException failure;
            try {
                Channel inherited = System.inheritedChannel();
                if (inherited instanceof ServerSocketChannel listener) {
                    return listener;
                }
                failure = new IOException("descriptor 0 is not a listening socket");
            } catch (IOException e) {
                failure = e;
            }
            if (attempt == MAX_TRIES || !clearCachedResult()) {
                throw failure;
            }
            Thread.sleep(RETRY_INTERVAL_MS);
        }
    }

    /** Returns whether the next call queries the system again. */
    private static boolean clearCachedResult() {
        try {
            Field cached = Class.forName("sun.nio.ch.InheritedChannel").getDeclaredField("haveChannel");
            cached.setAccessible(true);
            cached.setBoolean(null, false);
            return true;
        } catch (ReflectiveOperationException | RuntimeException e) {
            return false;
        }
    }
}

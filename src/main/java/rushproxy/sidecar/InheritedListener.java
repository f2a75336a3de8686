package rushproxy.sidecar;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The listening socket that a process is started with as descriptor 0. The runtime asks the system for the socket's address; where that
 * call fails for a moment it may answer, from then on, that there is none. Here it is asked again, for which it has to forget its answer:
 * a part of the runtime that is not public, which the archive's manifest opens (Add-Opens). Where it is not open one answer counts.
 */
final class InheritedListener {
    private static final long RETRY_INTERVAL_MS = 20;
    /** One second of tries. */
    private static final int MAX_TRIES = 50;

    private InheritedListener() {}

    /** Throws where descriptor 0 is no listening socket, or the last try failed. */
    static ServerSocketChannel open() throws IOException, InterruptedException {
        for (int tries = 1; ; tries++) {
            IOException failure;
            try {
                Channel inherited = System.inheritedChannel();
                if (inherited instanceof ServerSocketChannel listener) {
                    return listener;
                }
                failure = new IOException("descriptor 0 is no listening socket");
            } catch (IOException e) {
                failure = e;
            }
            if (tries == MAX_TRIES || !clearCachedResult()) {
                throw failure;
            }
            Thread.sleep(RETRY_INTERVAL_MS);
        }
    }

    /** Whether the next call asks the system. */
    private static boolean clearCachedResult() {
        try {
            Field known = Class.forName("sun.nio.ch.InheritedChannel").getDeclaredField("haveChannel");
            known.setAccessible(true);
            known.setBoolean(null, false);
            return true;
        } catch (ReflectiveOperationException | RuntimeException e) {
            return false;
        }
    }
}

package rushproxy.sidecar;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The configuration was replaced: of all that it says only where discovery is may change while running. Read on a thread of its own,
 * since one that can't be read yet, as while it is being written, is read again.
 */
final class Reload {
    /** A configuration counts 4 s after the signal: by then it was read if it could be. */
    private static final int MOST_TRIES = 30;

    private static final long AGAIN_MS = 100;

    /** Told where discovery is now, on the reader's thread. */
    private final Consumer<InetSocketAddress> move;

    Reload(Consumer<InetSocketAddress> move) {
        this.move = move;
    }

    void begin(Map<String, String> environment) {
        // The file tells of the change; what the environment said at the start is old.
        Map<String, String> now = new HashMap<>(environment);
        now.remove("BALANCER_DISCOVERY");
        Thread reader = new Thread(() -> reloadFrom(now), "reload");
        reader.setDaemon(true);
        reader.start();
    }

    private void reloadFrom(Map<String, String> environment) {
        for (int tries = 1; tries <= MOST_TRIES; tries++) {
            try {
                moveDiscovery(environment);
                return;
            } catch (Config.Broken e) {
                if (tries == 1 || tries == MOST_TRIES) {
                    Log.warn("nothing reloaded" + (tries == 1 ? " yet: " : ": ") + e.getMessage());
                }
            }
            try {
                Thread.sleep(AGAIN_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** One at a time, so that what was read last is what is done last. */
    private synchronized void moveDiscovery(Map<String, String> environment) throws Config.Broken {
        InetSocketAddress address = Config.read(environment).discovery();
        move.accept(address);
        Log.line("discovery is at " + address);
    }
}

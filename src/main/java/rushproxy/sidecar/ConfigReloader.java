package rushproxy.sidecar;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The configuration was replaced: of all that it says only where discovery is may change while running. Read on a thread of its own,
 * since one that can't be read yet, as while it is being written, is read again.
 */
final class ConfigReloader {
    /** A configuration counts 4 s after the signal: by then it was read if it could be. */
    private static final int MAX_ATTEMPTS = 30;

    private static final long RETRY_DELAY_MS = 100;

    /** Told where discovery is now, on the reader's thread. */
    private final Consumer<InetSocketAddress> onDiscoveryAddress;

    ConfigReloader(Consumer<InetSocketAddress> move) {
        this.onDiscoveryAddress = move;
    }

    void reloadAsync(Map<String, String> environment) {
        // The file tells of the change; what the environment said at the start is old.
        Map<String, String> now = new HashMap<>(environment);
        now.remove("BALANCER_DISCOVERY");
        Thread reader = new Thread(() -> reloadWithRetries(now), "reload");
        reader.setDaemon(true);
        reader.start();
    }

    private void reloadWithRetries(Map<String, String> environment) {
        for (int tries = 1; tries <= MAX_ATTEMPTS; tries++) {
            try {
                applyDiscoveryAddress(environment);
                return;
            } catch (Config.InvalidConfigException e) {
                if (tries == 1 || tries == MAX_ATTEMPTS) {
                    Log.warn("nothing reloaded" + (tries == 1 ? " yet: " : ": ") + e.getMessage());
                }
            }
            try {
                Thread.sleep(RETRY_DELAY_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** One at a time, so that what was read last is what is done last. */
    private synchronized void applyDiscoveryAddress(Map<String, String> environment)
            throws Config.InvalidConfigException {
        InetSocketAddress address = Config.read(environment).discovery();
        onDiscoveryAddress.accept(address);
        Log.info("discovery is at " + address);
    }
}

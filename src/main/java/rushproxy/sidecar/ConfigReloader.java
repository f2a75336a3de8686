package rushproxy.sidecar;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reloads the configuration at run time, of which only the address of discovery may change. Runs on a separate thread, since a file
 * that can't be read, as while it is being written, is read again after a delay.
 */
final class ConfigReloader {
    /** Limits the attempts to 3 s, since a new configuration has to be in force 4 s after the signal. */
    private static final int MAX_ATTEMPTS = 30;

    private static final long RETRY_DELAY_MS = 100;

    private final Map<String, String> environment;
    /** Receives the address of discovery, on the reader thread. */
    private final Consumer<InetSocketAddress> onDiscoveryAddress;

    ConfigReloader(Map<String, String> environment, Consumer<InetSocketAddress> onDiscoveryAddress) {
        // The file has the new address; the variable would override it with that of startup.
        this.environment = new HashMap<>(environment);
        this.environment.remove(Config.DISCOVERY_VARIABLE);
        this.onDiscoveryAddress = onDiscoveryAddress;
    }

    void reloadAsync() {
        Thread reader = new Thread(this::reloadWithRetries, "reload");
        reader.setDaemon(true);
        reader.start();
    }

    private void reloadWithRetries() {
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            try {
                applyDiscoveryAddress();
                return;
            } catch (Config.InvalidConfigException e) {
                if (attempt == 1 || attempt == MAX_ATTEMPTS) {
                    Log.warn("nothing reloaded" + (attempt == 1 ? " yet: " : ": ") + e.getMessage());
                }
            }
            try {
                Thread.sleep(RETRY_DELAY_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Synchronized, so that of concurrent reloads the last one to read the file is the last one applied. */
    private synchronized void applyDiscoveryAddress() throws Config.InvalidConfigException {
        InetSocketAddress address = Config.read(environment).discovery();
        onDiscoveryAddress.accept(address);
        Log.info("discovery is at " + address);
    }
}

package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.SocketOption;
import java.nio.channels.NetworkChannel;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The options that one socket is to have. One that can't be set for a moment is tried again, so it costs the option for as long and
 * never the connection.
 */
final class SocketOptions {
    private static final long AGAIN_MS = 3;
    /** A second of tries. */
    private static final int MOST_TRIES = 330;

    private final NetworkChannel socket;
    /** Those that are not set yet. */
    private final Map<SocketOption<?>, Object> pending = new LinkedHashMap<>();
    /** Null until the socket belongs to one. */
    private EventLoop loop;

    private int tries;
    private boolean scheduled;
    /** Runs once nothing is pending, or no more is tried; null where nobody waits. */
    private Runnable whenSet;

    SocketOptions(NetworkChannel socket) {
        this.socket = socket;
    }

    /** A value that is still pending for this option is forgotten. */
    <T> void set(SocketOption<T> option, T value) {
        pending.put(option, value);
        tries = 0;
        apply();
    }

    /** What could not be set yet is tried again on this loop. */
    void tryAgainOn(EventLoop of) {
        loop = of;
        scheduleIfPending();
    }

    /** {@code then} runs at once where nothing is pending, and no later than a second from now. */
    void whenSet(Runnable then) {
        whenSet = then;
        tellIfSet();
    }

    private void apply() {
        pending.entrySet().removeIf(e -> isSet(e.getKey(), e.getValue()));
        tellIfSet();
        scheduleIfPending();
    }

    private void scheduleIfPending() {
        if (!pending.isEmpty() && loop != null && !scheduled && tries < MOST_TRIES) {
            scheduled = true;
            loop.schedule(this::again, AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void again() {
        scheduled = false;
        tries++;
        if (socket.isOpen()) {
            apply();
        } else {
            pending.clear();
            tellIfSet();
        }
    }

    private void tellIfSet() {
        if (whenSet != null && (pending.isEmpty() || tries >= MOST_TRIES)) {
            Runnable then = whenSet;
            whenSet = null;
            then.run();
        }
    }

    @SuppressWarnings("unchecked")
    private <T> boolean isSet(SocketOption<T> option, Object value) {
        try {
            socket.setOption(option, (T) value);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}

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
    private static final long RETRY_DELAY_MS = 3;
    /** A second of tries. */
    private static final int MAX_ATTEMPTS = 330;

    private final NetworkChannel socket;
    /** Those that are not set yet. */
    private final Map<SocketOption<?>, Object> pending = new LinkedHashMap<>();
    /** Null until the socket belongs to one. */
    private EventLoop loop;

    private int attempts;
    private boolean retryScheduled;
    /** Runs once nothing is pending, or no more is tried; null where nobody waits. */
    private Runnable whenApplied;

    SocketOptions(NetworkChannel socket) {
        this.socket = socket;
    }

    /** A value that is still pending for this option is forgotten. */
    <T> void set(SocketOption<T> option, T value) {
        pending.put(option, value);
        attempts = 0;
        applyPending();
    }

    /** What could not be set yet is tried again on this loop. */
    void retryOn(EventLoop of) {
        loop = of;
        scheduleRetryIfPending();
    }

    /** {@code then} runs at once where nothing is pending, and no later than a second from now. */
    void whenApplied(Runnable then) {
        whenApplied = then;
        notifyIfDone();
    }

    private void applyPending() {
        pending.entrySet().removeIf(e -> trySet(e.getKey(), e.getValue()));
        notifyIfDone();
        scheduleRetryIfPending();
    }

    private void scheduleRetryIfPending() {
        if (!pending.isEmpty() && loop != null && !retryScheduled && attempts < MAX_ATTEMPTS) {
            retryScheduled = true;
            loop.schedule(this::retry, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retry() {
        retryScheduled = false;
        attempts++;
        if (socket.isOpen()) {
            applyPending();
        } else {
            pending.clear();
            notifyIfDone();
        }
    }

    private void notifyIfDone() {
        if (whenApplied != null && (pending.isEmpty() || attempts >= MAX_ATTEMPTS)) {
            Runnable then = whenApplied;
            whenApplied = null;
            then.run();
        }
    }

    @SuppressWarnings("unchecked")
    private <T> boolean trySet(SocketOption<T> option, Object value) {
        try {
            socket.setOption(option, (T) value);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}

package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.SocketOption;
import java.nio.channels.NetworkChannel;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Sets options on a socket, with retries. A transient failure to set an option delays that option and never costs the connection.
 */
final class SocketOptions {
    private static final long RETRY_DELAY_MS = 3;
    /** About a second of retries. */
    private static final int MAX_ATTEMPTS = 330;

    private final NetworkChannel socket;
    private final Map<SocketOption<?>, Object> pending = new LinkedHashMap<>();
    /** Null until the socket is registered with an event loop. */
    private EventLoop loop;

    private int attempts;
    private boolean retryScheduled;
    /** Null if there is no callback. */
    private Runnable whenApplied;

    SocketOptions(NetworkChannel socket) {
        this.socket = socket;
    }

    /** Sets an option. Replaces a value still pending for it. */
    <T> void set(SocketOption<T> option, T value) {
        pending.put(option, value);
        attempts = 0;
        applyPending();
    }

    /** Sets the event loop on which failed options are retried. */
    void retryOn(EventLoop eventLoop) {
        loop = eventLoop;
        scheduleRetryIfPending();
    }

    /** Runs {@code callback} once no option is pending, at the latest after the last retry about a second from now. */
    void whenApplied(Runnable callback) {
        whenApplied = callback;
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
            Runnable callback = whenApplied;
            whenApplied = null;
            callback.run();
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

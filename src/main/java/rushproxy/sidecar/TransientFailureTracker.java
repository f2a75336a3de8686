package rushproxy.sidecar;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Tracks how long a system call on one socket has been failing, and decides whether it is retried. */
final class TransientFailureTracker {
    /** Delay before a failed call is retried. */
    static final long RETRY_DELAY_MS = 3;
    /** A call that has failed without interruption for this long is not retried; no client waits longer. */
    private static final long MAX_FAILING_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final LongSupplier nanoTime;
    private boolean isFailing;
    private long failingSinceNanos;

    /** {@code nanoTime} is a monotonic clock. */
    TransientFailureTracker(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** Records a failure; false if the call must not be retried, as the connection has ended or the failures have lasted too long. */
    boolean shouldRetry(IOException error) {
        if (SocketErrors.isConnectionLost(error)) {
            return false;
        }
        if (!isFailing) {
            isFailing = true;
            failingSinceNanos = nanoTime.getAsLong();
        }
        return nanoTime.getAsLong() - failingSinceNanos < MAX_FAILING_NANOS;
    }

    /** Records a success. */
    void succeeded() {
        isFailing = false;
    }

    /** Whether the last call failed. */
    boolean isFailing() {
        return isFailing;
    }

    /** Duration of the current series of failures; 0 if the last call succeeded. */
    long failingForMs() {
        return isFailing ? TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - failingSinceNanos) : 0;
    }
}

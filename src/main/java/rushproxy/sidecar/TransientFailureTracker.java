package rushproxy.sidecar;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** How long a call on one socket has been failing for a moment, and whether it is to be tried again. */
final class TransientFailureTracker {
    /** A failed call is tried again after this. */
    static final long RETRY_DELAY_MS = 3;
    /** What fails for so long without a break is not for a moment: longer than any client waits. */
    private static final long MAX_FAILING_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final LongSupplier nanoTime;
    private boolean failing;
    private long sinceNanos;

    /** {@code nanoTime}: a monotonic clock. */
    TransientFailureTracker(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** The call has failed; false where it is not to be tried again, its connection having ended. */
    boolean shouldRetry(IOException error) {
        if (SocketErrors.endsConnection(error)) {
            return false;
        }
        if (!failing) {
            failing = true;
            sinceNanos = nanoTime.getAsLong();
        }
        return nanoTime.getAsLong() - sinceNanos < MAX_FAILING_NANOS;
    }

    /** The call has succeeded. */
    void succeeded() {
        failing = false;
    }

    /** Whether the last call failed. */
    boolean isFailing() {
        return failing;
    }

    /** For how long it has been failing; 0 where it is not. */
    long failingForMs() {
        return failing ? TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - sinceNanos) : 0;
    }
}

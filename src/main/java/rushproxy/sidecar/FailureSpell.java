package rushproxy.sidecar;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** How long a call on one socket has been failing for a moment, and whether it is to be tried again. */
final class FailureSpell {
    /** A failed call is tried again after this. */
    static final long AGAIN_MS = 3;
    /** What fails for so long without a break is not for a moment: longer than any client waits. */
    private static final long MOST_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final LongSupplier nanoTime;
    private boolean failing;
    private long sinceNanos;

    /** {@code nanoTime}: a monotonic clock. */
    FailureSpell(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** The call has failed; false where it is not to be tried again, its connection having ended. */
    boolean mayTryAgain(IOException error) {
        if (SocketErrors.isConnectionLost(error)) {
            return false;
        }
        if (!failing) {
            failing = true;
            sinceNanos = nanoTime.getAsLong();
        }
        return nanoTime.getAsLong() - sinceNanos < MOST_NANOS;
    }

    /** The call has succeeded. */
    void over() {
        failing = false;
    }

    /** Whether the last call failed. */
    boolean failing() {
        return failing;
    }

    /** For how long it has been failing; 0 where it is not. */
    long lastsMs() {
        return failing ? TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - sinceNanos) : 0;
    }
}

package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.nio.channels.SelectionKey;
import java.util.concurrent.TimeUnit;

/**
 * Repeats the registration of a channel's interest with the selector several times after each change. The runtime discards the error if
 * the kernel temporarily can't register a descriptor ({@code epoll_ctl}: ENOMEM, ENOSPC); the channel then stays open without ever
 * becoming ready. Observed readiness confirms the registration and ends the retries. Otherwise they end after a fixed number, except for
 * listeners, as the last retry may be the one that fails.
 */
final class RegistrationRetry {
    /** Delay before the first retry; doubles with each further one. */
    private static final long FIRST_DELAY_MS = 15;
    /** Covers about a second. A listener is retried further at the last interval. */
    private static final int MAX_RETRIES = 6;
    /** The selector must process the withdrawal before the interest is restored. */
    private static final long WITHDRAWAL_MS = 1;

    /** A channel and its interest, as the bits of a selection key. */
    interface RegisteredChannel {
        EventLoop eventLoop();

        /** 0 if the channel has no interest or is closed. */
        int interestOps();

        void withdrawInterest();

        /** Restores those of the operations that are still wanted. */
        void restoreInterest(int ops);

        /** Whether the channel accepts unsolicited traffic. No timeout would reveal that it has stopped receiving. */
        default boolean isListener() {
            return false;
        }
    }

    private final RegisteredChannel channel;
    private Future<?> nextRetry;
    private int retries;
    private boolean isRetrying;

    RegistrationRetry(RegisteredChannel channel) {
        this.channel = channel;
    }

    /** The interest of a key; 0 if it is no longer valid. */
    static int interestOps(SelectionKey key) {
        return key != null && key.isValid() ? key.interestOps() : 0;
    }

    /** The interest may have changed from {@code before}. Changes made by this class itself are ignored. */
    void interestChanged(int before) {
        int now = channel.interestOps();
        if (!isRetrying && now != before && now != 0) {
            retries = 0;
            schedule();
        }
    }

    /** Readiness was observed that only a registration of the full interest can cause. */
    void readinessObserved() {
        if (nextRetry != null) {
            nextRetry.cancel(false);
            nextRetry = null;
        }
    }

    private void schedule() {
        readinessObserved();
        nextRetry = channel.eventLoop()
                .schedule(this::retry, FIRST_DELAY_MS << Math.min(retries, MAX_RETRIES - 1), TimeUnit.MILLISECONDS);
    }

    private void retry() {
        nextRetry = null;
        int ops = channel.interestOps();
        if (ops == 0) {
            return;
        }
        withoutTrigger(channel::withdrawInterest);
        channel.eventLoop()
                .schedule(
                        () -> withoutTrigger(() -> channel.restoreInterest(ops)), WITHDRAWAL_MS, TimeUnit.MILLISECONDS);
        if (++retries < MAX_RETRIES || channel.isListener()) {
            schedule();
        }
    }

    private void withoutTrigger(Runnable change) {
        isRetrying = true;
        try {
            change.run();
        } finally {
            isRetrying = false;
        }
    }
}

package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.nio.channels.SelectionKey;
import java.util.concurrent.TimeUnit;

/**
 * Registers a channel's interest with the selector anew some times after each change of it. The runtime drops the error where the
 * system can't register a descriptor for a moment ({@code epoll_ctl}: ENOMEM, ENOSPC): the channel then stays open, and nobody is told
 * what comes on it. Readiness that is told proves the registration, and ends this; so does the number of retries, but for a way in: the
 * last retry may be the one that fails.
 */
final class RegistrationRetry {
    /** The first retry comes after this, each further one after twice the time before. */
    private static final long FIRST_MS = 15;
    /** Half a second and more of retries; then a way in is retried at the last one's distance. */
    private static final int MOST_RETRIES = 6;
    /** The selector has to see the interest gone before it comes back. */
    private static final long GONE_MS = 1;

    /** A channel and its interest, as the bits of a selection key. */
    interface RegisteredChannel {
        EventLoop eventLoop();

        /** 0 where it is interested in nothing, or closed. */
        int interestOps();

        void withdrawInterest();

        /** What is still wanted of this interest. */
        void restoreInterest(int ops);

        /** Whether others come by it, whom nobody would miss: no time-out of theirs ends it where it hears nothing. */
        default boolean isListener() {
            return false;
        }
    }

    private final RegisteredChannel channel;
    private Future<?> next;
    private int retries;
    private boolean retrying;

    RegistrationRetry(RegisteredChannel channel) {
        this.channel = channel;
    }

    /** The interest of a key; 0 where there is none any more. */
    static int interestOps(SelectionKey key) {
        return key != null && key.isValid() ? key.interestOps() : 0;
    }

    /** The channel's interest may have changed; {@code before} is what it was. Changes made here count for nothing. */
    void interestChanged(int before) {
        int now = channel.interestOps();
        if (!retrying && now != before && now != 0) {
            retries = 0;
            schedule();
        }
    }

    /** Readiness was told that only a registration of the whole interest brings. */
    void readinessObserved() {
        if (next != null) {
            next.cancel(false);
            next = null;
        }
    }

    private void schedule() {
        readinessObserved();
        next = channel.eventLoop()
                .schedule(this::retry, FIRST_MS << Math.min(retries, MOST_RETRIES - 1), TimeUnit.MILLISECONDS);
    }

    private void retry() {
        next = null;
        int ops = channel.interestOps();
        if (ops == 0) {
            return;
        }
        quietly(channel::withdrawInterest);
        channel.eventLoop().schedule(() -> quietly(() -> channel.restoreInterest(ops)), GONE_MS, TimeUnit.MILLISECONDS);
        if (++retries < MOST_RETRIES || channel.isListener()) {
            schedule();
        }
    }

    private void quietly(Runnable change) {
        retrying = true;
        try {
            change.run();
        } finally {
            retrying = false;
        }
    }
}

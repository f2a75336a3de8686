package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Registers a channel's interest with the selector anew some times after each change of it. The runtime drops the error where the
 * system can't register a descriptor for a moment ({@code epoll_ctl}: ENOMEM, ENOSPC): the channel then stays open, and nobody is told
 * what comes on it. Readiness that is told proves the registration, and ends this.
 */
final class RegistrationRetry {
    /** The first retry comes after this, each further one after twice the time before. */
    private static final long FIRST_MS = 15;
    /** Half a second and more of retries. */
    private static final int MOST_RETRIES = 6;
    /** The selector has to see the interest gone before it comes back. */
    private static final long GONE_MS = 1;

    /** A channel's interest, as the bits of its selection key. */
    interface Interest {
        /** 0 where it is interested in nothing or closed. */
        int now();

        void withdraw();

        /** What is still wanted of this interest. */
        void restore(int ops);

        EventLoop loop();
    }

    private final Interest interest;
    private Future<?> next;
    private int retries;
    private boolean retrying;

    RegistrationRetry(Interest interest) {
        this.interest = interest;
    }

    /** The channel's interest has changed; told also of changes made here, which count for nothing. */
    void changed() {
        if (!retrying) {
            retries = 0;
            schedule();
        }
    }

    /** Readiness was told that only a registration of the whole interest brings. */
    void proven() {
        if (next != null) {
            next.cancel(false);
            next = null;
        }
    }

    private void schedule() {
        proven();
        next = interest.loop().schedule(this::retry, FIRST_MS << retries, TimeUnit.MILLISECONDS);
    }

    private void retry() {
        next = null;
        int ops = interest.now();
        if (ops == 0) {
            return;
        }
        quietly(interest::withdraw);
        interest.loop().schedule(() -> quietly(() -> interest.restore(ops)), GONE_MS, TimeUnit.MILLISECONDS);
        if (++retries < MOST_RETRIES) {
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

package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Takes back the memory of requests whose clients have stopped sending, while other requests wait for memory: what their
 * clients have sent lies unread in the kernel and loses its time. Looks again until nobody waits.
 */
final class MemoryReclaimer {
    /** Tells which clients hold memory that is worth taking back. */
    interface Holder {
        boolean holds(ClientConnection connection, long shortBytes);
    }

    private static final long RETRY_INTERVAL_MS = 20;

    private final EventLoop loop;
    private final Clock clock;
    private final MemoryBudget budget;
    private final ClientConnectionLimiter connections;
    private final Holder holder;
    private boolean scheduled;
    /** When a request last waited for memory. */
    private long shortUs;

    MemoryReclaimer(
            EventLoop loop, Clock clock, MemoryBudget budget, ClientConnectionLimiter connections, Holder holder) {
        this.loop = loop;
        this.clock = clock;
        this.budget = budget;
        this.connections = connections;
        this.holder = holder;
    }

    /** To be called when a request starts to wait for memory. */
    void start() {
        schedule(0);
    }

    /** Whether a request waited for memory in the last {@code periodUs}. */
    boolean wasShort(long periodUs) {
        return shortUs > 0 && clock.nowUs() - shortUs < periodUs;
    }

    private void schedule(long delayMs) {
        if (!scheduled) {
            scheduled = true;
            loop.schedule(this::reclaim, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends one request at a time, since its memory is released, and granted to the next, only after this task. */
    private void reclaim() {
        scheduled = false;
        if (!budget.hasWaiting()) {
            return;
        }
        shortUs = clock.nowUs();
        if (budget.shortBytes() == 0) {
            schedule(0);
            return;
        }
        Optional<ClientConnection> stalled = longestStalled(budget.shortBytesOfFirst());
        stalled.ifPresent(connection -> connection.closeUnlessRequestArrived(CloseReason.MEMORY_NEEDED));
        schedule(stalled.isPresent() ? 0 : RETRY_INTERVAL_MS);
    }

    private Optional<ClientConnection> longestStalled(long shortBytes) {
        long now = clock.nowUs();
        return connections.all().stream()
                .filter(connection -> holder.holds(connection, shortBytes) && connection.isStalled(now))
                .min(Comparator.comparingLong(
                        connection -> connection.activity().lastReceivedUs()));
    }
}

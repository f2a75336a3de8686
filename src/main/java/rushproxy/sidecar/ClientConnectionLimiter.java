package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Holds the open client connections and limits their number. When all slots are taken it frees one: by taking back a
 * slot that upstream connections borrowed, else by closing a connection whose client owes the next step. It does not
 * wait for another client to ask, since the listener may have stopped accepting, and requests that wait in the kernel
 * to be accepted lose their time unread.
 */
final class ClientConnectionLimiter {
    /** How many connections are checked for unread input in search of one to close. */
    private static final int MAX_CHECKS = 3;
    /** At most 1/8 of the connections may be lingering. */
    private static final int LINGERING_DIVISOR = 8;

    private static final long RETRY_INTERVAL_MS = 20;
    /** Slots that have been short for this long, without a longer relief, are freed of clients that are merely slow. */
    private static final long SHORTAGE_US = 200_000;

    private final EventLoop loop;
    private final Clock clock;
    /** The current limit, which depends on the number of upstream connections. */
    private final IntSupplier limit;
    /** Raises the limit by one slot that upstreams have borrowed but do not use; false if there is none. */
    private final BooleanSupplier reclaimUpstreamSlot;

    private final Set<ClientConnection> connections = new HashSet<>();
    /** The lingering connections, oldest first. */
    private final ArrayDeque<ClientConnection> lingering = new ArrayDeque<>();
    /** Whether another attempt to free a slot is scheduled. */
    private boolean retryScheduled;
    /** When the current or last shortage of slots began, and when it was last seen; 0 before the first. */
    private long shortageStartUs;

    private long shortageSeenUs;

    ClientConnectionLimiter(EventLoop loop, Clock clock, IntSupplier limit, BooleanSupplier reclaimUpstreamSlot) {
        this.loop = loop;
        this.clock = clock;
        this.limit = limit;
        this.reclaimUpstreamSlot = reclaimUpstreamSlot;
    }

    void add(ClientConnection connection) {
        connections.add(connection);
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
        lingering.remove(connection);
    }

    /** The open connections, in no particular order. */
    Set<ClientConnection> all() {
        return Set.copyOf(connections);
    }

    int openCount() {
        return connections.size();
    }

    int limit() {
        return limit.getAsInt();
    }

    /** How many connections are in each phase; phases of none are left out. */
    Map<ClientPhase, Integer> countByPhase() {
        Map<ClientPhase, Integer> counts = new EnumMap<>(ClientPhase.class);
        connections.forEach(connection -> counts.merge(connection.phase(), 1, Integer::sum));
        return counts;
    }

    boolean hasFreeSlot() {
        return openCount() < limit();
    }

    boolean hasLingering() {
        return !lingering.isEmpty();
    }

    /**
     * Registers a connection that lingers: its output is shut down. Only some may linger at once, and none if all slots
     * are taken.
     */
    void addLingering(ClientConnection connection) {
        lingering.add(connection);
        int maxLingering = hasFreeSlot() ? Math.max(1, limit() / LINGERING_DIVISOR) : 0;
        while (lingering.size() > maxLingering) {
            lingering.poll().close(CloseReason.ROOM_NEEDED);
        }
    }

    /** Takes back or closes connections until a slot is free. If too few can be freed now it retries until one is. */
    void evictUntilSlotFree() {
        while (!hasFreeSlot()) {
            recordShortage();
            if (!reclaimUpstreamSlot.getAsBoolean() && !evictOne()) {
                scheduleRetry();
                return;
            }
        }
    }

    private void recordShortage() {
        long now = clock.nowUs();
        if (now - shortageSeenUs > SHORTAGE_US) {
            shortageStartUs = now;
        }
        shortageSeenUs = now;
    }

    private void scheduleRetry() {
        if (!retryScheduled) {
            retryScheduled = true;
            loop.schedule(
                    () -> {
                        retryScheduled = false;
                        evictUntilSlotFree();
                    },
                    RETRY_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Closes a lingering connection, else the one that {@link #nextToClose} chooses. */
    private boolean evictOne() {
        int before = openCount();
        ClientConnection oldestLingering = lingering.poll();
        if (oldestLingering != null) {
            oldestLingering.close(CloseReason.ROOM_NEEDED);
        }
        for (int checks = 0; openCount() >= before && checks < MAX_CHECKS; checks++) {
            Optional<ClientConnection> candidate = nextToClose();
            if (candidate.isEmpty()) {
                break;
            }
            candidate.get().closeUnlessRequestArrived(CloseReason.ROOM_NEEDED);
        }
        return openCount() < before;
    }

    /**
     * The client that has been idle for longest, which can open another connection when needed; else the one that has
     * sent nothing for longest within a request; else, in a lasting shortage, the one whose request has been incomplete
     * for longest. A new connection is spared, since its first request may be on its way, and so is a request that has
     * arrived.
     */
    private Optional<ClientConnection> nextToClose() {
        long now = clock.nowUs();
        return longest(ClientConnection::isIdle, ClientActivity::lastActiveUs)
                .or(() -> longest(connection -> connection.isStalled(now), ClientActivity::lastReceivedUs))
                .or(() -> now - shortageStartUs < SHORTAGE_US
                        ? Optional.empty()
                        : longest(connection -> connection.isSlow(now), ClientActivity::awaitedSinceUs));
    }

    private Optional<ClientConnection> longest(
            Predicate<ClientConnection> filter, ToLongFunction<ClientActivity> sinceUs) {
        return connections.stream()
                .filter(filter)
                .filter(connection -> !connection.isNew())
                .min(Comparator.comparingLong(connection -> sinceUs.applyAsLong(connection.activity())));
    }
}

package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * The connections of clients that are open, and the limit on how many may be. Where all places are taken, connections that nobody
 * waits on give way until one is free, those to upstreams first, which only borrow what clients do not use: what listens may stand
 * still until then, so that no further client would ask for it.
 */
final class ClientConnectionLimiter {
    /** So many quiet connections are read once more, in search of one that brings nothing. */
    private static final int MAX_IDLE_CHECKS = 3;
    /** At most this part of the connections may be waiting for their clients' end. */
    private static final int LINGERING_DIVISOR = 8;

    private static final long RETRY_INTERVAL_MS = 20;

    private final EventLoop loop;
    /** As many may be open now: it follows what upstreams take. */
    private final IntSupplier limit;
    /** Raises the limit by a place that upstreams have borrowed and do not use now; false where there is none. */
    private final BooleanSupplier reclaimUpstreamSlot;

    private final Set<ClientConnection> connections = new HashSet<>();
    /** Those of them whose output has ended, the oldest first. */
    private final ArrayDeque<ClientConnection> lingering = new ArrayDeque<>();
    /** A further look for a place is due. */
    private boolean retryScheduled;

    ClientConnectionLimiter(EventLoop loop, IntSupplier limit, BooleanSupplier takeBack) {
        this.loop = loop;
        this.limit = limit;
        this.reclaimUpstreamSlot = takeBack;
    }

    void add(ClientConnection connection) {
        connections.add(connection);
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
        lingering.remove(connection);
    }

    /** Those that are open now, in no order. */
    Set<ClientConnection> all() {
        return Set.copyOf(connections);
    }

    int openCount() {
        return connections.size();
    }

    int limit() {
        return limit.getAsInt();
    }

    boolean hasFreeSlot() {
        return openCount() < limit();
    }

    boolean hasLingering() {
        return !lingering.isEmpty();
    }

    /** Its output has ended. No more than a few wait so at once, and none where its descriptor is wanted. */
    void addLingering(ClientConnection connection) {
        lingering.add(connection);
        int most = hasFreeSlot() ? Math.max(1, limit() / LINGERING_DIVISOR) : 0;
        while (lingering.size() > most) {
            lingering.poll().close(CloseReason.ROOM_NEEDED);
        }
    }

    /** Ends connections until a place is free. Where too few can end now they are looked at again soon, for as long as none is. */
    void evictUntilSlotFree() {
        while (!hasFreeSlot()) {
            if (!reclaimUpstreamSlot.getAsBoolean() && !evictOne()) {
                scheduleRetry();
                return;
            }
        }
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

    /**
     * One that only waits for its client's end goes, else one between requests: its client opens another where it needs one. One that
     * has just come may be about to bring its first request.
     */
    private boolean evictOne() {
        int before = openCount();
        ClientConnection lingers = lingering.poll();
        if (lingers != null) {
            lingers.close(CloseReason.ROOM_NEEDED);
        }
        for (int looks = 0; openCount() >= before && looks < MAX_IDLE_CHECKS; looks++) {
            Optional<ClientConnection> quietest = longestIdle();
            if (quietest.isEmpty()) {
                break;
            }
            quietest.get().closeUnlessRequestArrived(CloseReason.ROOM_NEEDED);
        }
        return openCount() < before;
    }

    private Optional<ClientConnection> longestIdle() {
        return connections.stream()
                .filter(connection -> connection.isIdle() && !connection.isNew())
                .min(Comparator.comparingLong(ClientConnection::lastActiveUs));
    }
}

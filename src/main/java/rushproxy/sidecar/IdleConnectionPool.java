package rushproxy.sidecar;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Iterator;

/** The connections to one upstream that no call is on, the most recently used first. */
final class IdleConnectionPool {
    private final long idleUs;
    private final long restUs;
    private final ArrayDeque<Channel> connections = new ArrayDeque<>();

    /** {@code idleUs}: one that was idle for so long is closed; {@code restUs}: one is used no earlier than this after an answer. */
    IdleConnectionPool(long idleUs, long restUs) {
        this.idleUs = idleUs;
        this.restUs = restUs;
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    void add(Channel connection, long now) {
        of(connection).idleSinceUs = now;
        connections.addFirst(connection);
    }

    /**
     * The most recently used of those that have rested, so that the others grow old enough to be dropped; else the one whose
     * rest ends first, which is sooner there than a new one. Null where there is none.
     */
    Channel take(long now) {
        Channel rests = null;
        for (Iterator<Channel> i = connections.iterator(); i.hasNext(); ) {
            Channel c = i.next();
            if (!usable(c, now)) {
                i.remove();
                UpstreamPool.close(c, CloseReason.IDLE_TOO_LONG);
            } else if (reuseDelayLeftUs(c, now) <= 0) {
                i.remove();
                return c;
            } else {
                rests = c;
            }
        }
        connections.remove(rests);
        return rests;
    }

    /** For how long this one, which was taken, has still to rest; 0 or less where it has rested. */
    long reuseDelayLeftUs(Channel connection, long now) {
        return of(connection).idleSinceUs + restUs - now;
    }

    /** Since when the one has been idle that has been so for longest; there must be one. */
    long oldestIdleSinceUs() {
        return of(connections.peekLast()).idleSinceUs;
    }

    void closeOldest(CloseReason reason) {
        UpstreamPool.close(connections.pollLast(), reason);
    }

    void closeAll(CloseReason reason) {
        for (Channel c; (c = connections.poll()) != null; ) {
            UpstreamPool.close(c, reason);
        }
    }

    void closeExpired(long now) {
        connections.removeIf(c -> {
            boolean drop = !usable(c, now);
            if (drop) {
                UpstreamPool.close(c, CloseReason.IDLE_TOO_LONG);
            }
            return drop;
        });
    }

    private boolean usable(Channel c, long now) {
        return c.isActive() && now - of(c).idleSinceUs < idleUs;
    }

    private static UpstreamConnection of(Channel c) {
        return c.pipeline().get(UpstreamConnection.class);
    }
}

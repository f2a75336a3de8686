package rushproxy.sidecar;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Iterator;

/** The idle connections to one upstream, most recently used first. */
final class IdleConnectionPool {
    private final long idleTimeoutUs;
    private final long reuseDelayUs;
    private final ArrayDeque<Channel> connections = new ArrayDeque<>();

    /**
     * @param idleTimeoutUs idle time after which a connection is closed
     * @param reuseDelayUs minimum time between a response and the next call on its connection
     */
    IdleConnectionPool(long idleTimeoutUs, long reuseDelayUs) {
        this.idleTimeoutUs = idleTimeoutUs;
        this.reuseDelayUs = reuseDelayUs;
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    void add(Channel connection, long now) {
        handlerOf(connection).idleSinceUs = now;
        connections.addFirst(connection);
    }

    /**
     * Removes and returns the most recently used connection whose reuse delay is over, so that surplus connections reach the idle
     * timeout. If there is none, the one whose delay ends first, which takes less time than a new connection. Null if the pool is empty.
     */
    Channel take(long now) {
        Channel delayed = null;
        for (Iterator<Channel> i = connections.iterator(); i.hasNext(); ) {
            Channel c = i.next();
            if (!isUsable(c, now)) {
                i.remove();
                UpstreamPool.close(c, CloseReason.IDLE_TOO_LONG);
            } else if (reuseDelayLeftUs(c, now) <= 0) {
                i.remove();
                return c;
            } else {
                delayed = c;
            }
        }
        connections.remove(delayed);
        return delayed;
    }

    /** Remaining reuse delay of a connection that was taken; 0 or less if it is over. */
    long reuseDelayLeftUs(Channel connection, long now) {
        return handlerOf(connection).idleSinceUs + reuseDelayUs - now;
    }

    /** Start of the longest idle period; the pool must not be empty. */
    long oldestIdleSinceUs() {
        return handlerOf(connections.peekLast()).idleSinceUs;
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
            boolean drop = !isUsable(c, now);
            if (drop) {
                UpstreamPool.close(c, CloseReason.IDLE_TOO_LONG);
            }
            return drop;
        });
    }

    private boolean isUsable(Channel c, long now) {
        return c.isActive() && now - handlerOf(c).idleSinceUs < idleTimeoutUs;
    }

    private static UpstreamConnection handlerOf(Channel c) {
        return c.pipeline().get(UpstreamConnection.class);
    }
}

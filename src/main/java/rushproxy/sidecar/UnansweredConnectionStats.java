package rushproxy.sidecar;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts client connections that this program or host ended before any part of a response was written. Whatever such a
 * connection carried is lost. Each is also logged at the debug level.
 */
final class UnansweredConnectionStats {
    /** Kinds of ends that are counted separately; any others are counted together. */
    private static final int MAX_KINDS = 32;

    private static final String OTHERS = "others";

    private final Map<String, Integer> counts = new TreeMap<>();

    /** Watches a connection from its accept on, even if it is never registered with the event loop. */
    void watch(TcpConnection connection) {
        connection.closeFuture().addListener(closed -> ended(connection));
    }

    private void ended(TcpConnection connection) {
        ConnectionHistory history = connection.history();
        if (!history.isClosedLocallyUnanswered()) {
            return;
        }
        String end = history.describeEnd();
        counts.merge(counts.size() < MAX_KINDS || counts.containsKey(end) ? end : OTHERS, 1, Integer::sum);
        RequestLog.logUnansweredEnd(connection.remoteAddress(), history);
    }

    /** Returns the counts by kind since the last call; empty if there are none. */
    Map<String, Integer> takeCounts() {
        Map<String, Integer> taken = Map.copyOf(counts);
        counts.clear();
        return taken;
    }
}

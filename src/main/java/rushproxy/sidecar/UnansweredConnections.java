package rushproxy.sidecar;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the clients' connections that ended by this program's doing, or this machine's, before any part of an answer was written to
 * them: what such a connection carried is lost. Each is a line at the debug level.
 */
final class UnansweredConnections {
    /** Kinds of ends that are counted apart; what is beyond is counted as one kind. */
    private static final int MOST_KINDS = 32;

    private static final String OTHERS = "others";

    private final Map<String, Integer> counts = new TreeMap<>();

    /** From its acceptance on, whether or not it is ever registered with the event loop. */
    void watch(TcpConnection connection) {
        connection.closeFuture().addListener(closed -> ended(connection));
    }

    private void ended(TcpConnection connection) {
        ConnectionHistory history = connection.history();
        if (!history.isClosedLocallyUnanswered()) {
            return;
        }
        String end = history.describeEnd();
        counts.merge(counts.size() < MOST_KINDS || counts.containsKey(end) ? end : OTHERS, 1, Integer::sum);
        RequestLog.endsUnanswered(connection.remoteAddress(), history);
    }

    /** Since the last call, by kind; empty where there was none. */
    Map<String, Integer> sinceLast() {
        Map<String, Integer> now = Map.copyOf(counts);
        counts.clear();
        return now;
    }
}

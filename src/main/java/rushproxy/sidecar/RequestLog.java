package rushproxy.sidecar;

import io.netty.channel.Channel;
import java.net.SocketAddress;
import rushproxy.Balancer.Outcome;

/**
 * Logs the events of single requests and connections at the debug level: each attempt, outcome, refusal and response
 * with the request's id, and the reason of each close. If that level is off each call costs one comparison.
 */
final class RequestLog {
    private RequestLog() {}

    static void logTaken(String id, String requestClass, long leftUs) {
        if (Log.isDebugEnabled()) {
            Log.event(
                    Log.Level.DEBUG,
                    "request " + id + " taken, class " + requestClass + ", " + leftUs / 1000 + " ms left",
                    "request",
                    id,
                    "class",
                    requestClass,
                    "left_ms",
                    leftUs / 1000);
        }
    }

    static void logAttempt(String id, int number, String upstream, long leftUs) {
        if (Log.isDebugEnabled()) {
            Log.event(
                    Log.Level.DEBUG,
                    "request " + id + " attempt " + number + " to " + upstream + ", " + leftUs / 1000 + " ms left",
                    "request",
                    id,
                    "attempt",
                    number,
                    "upstream",
                    upstream,
                    "left_ms",
                    leftUs / 1000);
        }
    }

    /** {@code reason}: why an attempt that the balancer asked for was not made. */
    static void logNotAttempted(String id, int number, String upstream, String reason) {
        if (Log.isDebugEnabled()) {
            Log.event(
                    Log.Level.DEBUG,
                    "request " + id + " attempt " + number + " to " + upstream + " not started: " + reason,
                    "request",
                    id,
                    "attempt",
                    number,
                    "upstream",
                    upstream,
                    "why",
                    reason);
        }
    }

    static void logOutcome(String id, int number, String upstream, Outcome outcome, long tookUs) {
        if (Log.isDebugEnabled()) {
            Log.event(
                    Log.Level.DEBUG,
                    "request " + id + " attempt " + number + " to " + upstream + " ended " + outcome + " after "
                            + tookUs / 1000 + " ms",
                    "request",
                    id,
                    "attempt",
                    number,
                    "upstream",
                    upstream,
                    "outcome",
                    outcome,
                    "took_ms",
                    tookUs / 1000);
        }
    }

    /** {@code logState}: what the request has become, such as refused, failed, passing on, overdue or left by its client. */
    static void logState(String id, String state) {
        if (Log.isDebugEnabled()) {
            Log.event(Log.Level.DEBUG, "request " + id + " " + state, "request", id, "state", state);
        }
    }

    /** Logs a message that is answered without becoming a request. */
    static void logRejected(Channel client, int status) {
        if (Log.isDebugEnabled()) {
            Log.event(
                    Log.Level.DEBUG,
                    "connection " + client.remoteAddress() + " rejected with status " + status,
                    "peer",
                    client.remoteAddress(),
                    "status",
                    status);
        }
    }

    /** Logs a connection that ends without a response and was not ended by its client. */
    static void logUnansweredEnd(SocketAddress client, ConnectionHistory history) {
        if (Log.isDebugEnabled()) {
            Log.event(
                    Log.Level.DEBUG,
                    "connection " + client + " ends without a response after " + history.ageUs() / 1000 + " ms, "
                            + history.readBytes() + " bytes read: " + history.describeEnd(),
                    "peer",
                    client,
                    "age_ms",
                    history.ageUs() / 1000,
                    "read_bytes",
                    history.readBytes(),
                    "reason",
                    history.describeEnd());
        }
    }

    /** Records the reason in the connection's history and logs it. */
    static void recordClose(Channel channel, CloseReason reason) {
        if (channel instanceof TcpConnection connection) {
            connection.history().recordCloseReason(reason);
        }
        if (Log.isDebugEnabled()) {
            Log.event(
                    Log.Level.DEBUG,
                    "connection " + channel.remoteAddress() + " closed: " + reason.text(),
                    "peer",
                    channel.remoteAddress(),
                    "reason",
                    reason.text());
        }
    }
}

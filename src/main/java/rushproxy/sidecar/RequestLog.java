package rushproxy.sidecar;

import io.netty.channel.Channel;
import java.net.SocketAddress;
import rushproxy.Balancer.Outcome;

/**
 * What happens to single requests and connections, at the debug level: each attempt, outcome, refusal and answer by the
 * request's id, and the reason of each close. Costs one comparison a line where that level is off.
 */
final class RequestLog {
    private RequestLog() {}

    static void taken(String id, String requestClass, long leftUs) {
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

    static void attempt(String id, int number, String upstream, long leftUs) {
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

    /** {@code why}: what forbids an attempt that was asked for. */
    static void notAttempted(String id, int number, String upstream, String why) {
        if (Log.isDebugEnabled()) {
            Log.event(
                    Log.Level.DEBUG,
                    "request " + id + " attempt " + number + " to " + upstream + " not begun: " + why,
                    "request",
                    id,
                    "attempt",
                    number,
                    "upstream",
                    upstream,
                    "why",
                    why);
        }
    }

    static void outcome(String id, int number, String upstream, Outcome outcome, long tookUs) {
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

    /** {@code state}: what the request has become, such as refused, failed, passing on, overdue or left by its client. */
    static void state(String id, String state) {
        if (Log.isDebugEnabled()) {
            Log.event(Log.Level.DEBUG, "request " + id + " " + state, "request", id, "state", state);
        }
    }

    /** A message of a client that is answered here, before it became a request. */
    static void rejected(Channel client, int status) {
        if (Log.isDebugEnabled()) {
            Log.event(
                    Log.Level.DEBUG,
                    "connection " + client.remoteAddress() + " is answered " + status,
                    "peer",
                    client.remoteAddress(),
                    "status",
                    status);
        }
    }

    /** The client had no part of an answer, and did not end the connection itself. */
    static void endsUnanswered(SocketAddress client, ConnectionHistory history) {
        if (Log.isDebugEnabled()) {
            Log.event(
                    Log.Level.DEBUG,
                    "connection " + client + " ends with no answer after " + history.ageUs() / 1000 + " ms, "
                            + history.readBytes() + " bytes read of it: " + history.describeEnd(),
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

    static void closes(Channel channel, CloseReason reason) {
        if (channel instanceof TcpConnection connection) {
            connection.history().recordCloseReason(reason);
        }
        if (Log.isDebugEnabled()) {
            Log.event(
                    Log.Level.DEBUG,
                    "connection " + channel.remoteAddress() + " closed: " + reason.words(),
                    "peer",
                    channel.remoteAddress(),
                    "reason",
                    reason.words());
        }
    }
}

package rushproxy.lab.world;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One event observed on either side of the sidecars, a line of a run's {@code events.jsonl}. Times are microseconds since the start of
 * the traffic. Fields that do not apply are null, or 0 for numbers.
 *
 * @param what    the type of the event
 * @param node    the sidecar, {@code n3}
 * @param server  the upstream, {@code s5}
 * @param id      the request's {@code X-Txn}, unique for each attempt
 * @param first   the id of the logical request that the attempt belongs to
 * @param text    class, status, body or a description, depending on the type of event
 * @param number  milliseconds of work, remaining milliseconds or another number, depending on the type of event
 * @param sinceUs when the operation that ended now began, or when the event was scheduled
 * @param sinceEarliestUs earliest possible start if {@code sinceUs} is only the latest possible one; 0 if the start is known exactly
 * @param toldMs for a request that an upstream received, the remaining time that its header states, in milliseconds; 0 if there is none
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record Observation(
        @JsonProperty("us") @JsonInclude(JsonInclude.Include.ALWAYS)
        long us,

        @JsonProperty("what") EventType what,
        @JsonProperty("node") String node,
        @JsonProperty("server") String server,
        @JsonProperty("id") String id,
        @JsonProperty("first") String first,
        @JsonProperty("text") String text,
        @JsonProperty("number") double number,
        @JsonProperty("sinceUs") long sinceUs,
        @JsonProperty("sinceEarliestUs") long sinceEarliestUs,
        @JsonProperty("toldMs") long toldMs) {

    /** An event whose start is known exactly or does not apply. */
    public Observation(
            long us,
            EventType what,
            String node,
            String server,
            String id,
            String first,
            String text,
            double number,
            long sinceUs) {
        this(us, what, node, server, id, first, text, number, sinceUs, 0, 0);
    }

    /** The earliest time at which the operation that ended now can have begun. */
    public long earliestStartUs() {
        return sinceEarliestUs == 0 ? sinceUs : sinceEarliestUs;
    }

    /** Types of events, each with the contents of {@code text}, {@code number} and {@code sinceUs}. */
    public enum EventType {
        /** A client sends a request: its class, the time it waits in ms, when it was scheduled. */
        ASKED,
        /** The last byte of a request was written, if that took long or the request was resent: the time it waits from then on in ms. */
        WRITTEN,
        /** A complete response has arrived: its status and body, its Retry-After in ms; sinceUs the send. */
        ANSWERED,
        /**
         * The connection ended before a complete response: "reset", "closed" or "part"; number 1 for a reused connection; sinceUs the
         * send, sinceEarliestUs when a new connection was begun for the request.
         */
        BROKE,
        /** No connection could be opened: the reason. */
        UNREACHED,
        /** A client has closed its connection before its deadline, as clients may. */
        LEFT,
        /** The sidecar has ended the connection of a client that stalled within a request: ms since it connected. */
        DISMISSED,
        /** An upstream has corrupted its response: how. */
        SPOILED,
        /** The client has timed out and closed its connection. */
        GAVE_UP,
        /** A logical request has its final outcome: "served", "late", "refused" or "failed"; ms since it was scheduled. */
        SETTLED,
        /** An upstream has received a complete request: its idempotency key, its work in ms; sinceUs its first byte, by the kernel. */
        GOT,
        /** The upstream has rejected the request without processing it. */
        TURNED_AWAY,
        /** The upstream starts to process the request, which takes effect. */
        RAN,
        /** The upstream recognized the request as a repeat, which has no effect of its own. */
        DROPPED,
        /** The upstream has responded: status and body. */
        REPLIED,
        /** A server's process has started: "warm" or "cold", the start in Unix ms. */
        SERVER_STARTED,
        /** A server's process has ended: the reason. */
        SERVER_ENDED,
        /** Discovery has sent a server's state to a node: the state, the server's start in Unix ms; sinceUs the start of the write. */
        TOLD,
        /**
         * A node's process: "started", "serving" once it accepts clients from a socket that the laboratory holds, "ready", "exit CODE" with
         * the time at which its log says that it left; or a signal to it, "term", "kill", "stop", "cont" or "hup" before it is sent and
         * "term sent" and so on after.
         */
        NODE,
        /** An admin command and its reply, recorded when the reply arrived; sinceUs when the command was sent. */
        CALLED,
        /** The response to a readiness check: its status, or "no answer"; sinceUs when it was begun. */
        READINESS,
        /** A connection whose client rested has ended: sinceUs when it was begun. */
        RESTED,
        /** A fault begins: its description, its duration in s. */
        FAULT,
        /** The number of requests in flight at the upstreams of a zone and server kind, such as "a big". */
        HELD,
        /** The laboratory itself has failed. */
        TROUBLE,
        /** The event loop of a node, or of the laboratory if there is none, waited for a processor: ms of the time since sinceUs. */
        WAITED,
        /** The maximum lateness of the laboratory's event loop in the last second, in ms. */
        LATE
    }
}

package rushproxy.lab.world;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One thing that was seen on either side of the sidecars, a line of a run's {@code events.jsonl}. Times are microseconds
 * since the first possible request. What does not apply is absent: null, or 0 for numbers.
 *
 * @param what    what happened
 * @param node    the sidecar, {@code n3}
 * @param server  the upstream, {@code s5}
 * @param id      the request's {@code X-Txn}, fresh for each try
 * @param first   the try with which its client began
 * @param text    class, status, body or words, by the kind of event
 * @param number  milliseconds of work, remaining milliseconds or the like, by the kind of event
 * @param sinceUs when what ended now began, or when it was meant to happen
 * @param sinceEarliestUs where {@code sinceUs} is only the latest time at which it can have begun, the earliest; 0 where they are one
 * @param toldMs with a request that an upstream got, the time that it was told, in milliseconds; 0 with others, and where none was told
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

    /** What began at one moment that is known, or with none. */
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

    /** What ended now surely did not begin before. */
    public long earliestStartUs() {
        return sinceEarliestUs == 0 ? sinceUs : sinceEarliestUs;
    }

    /** Kinds of events; after each what {@code text}, {@code number} and {@code sinceUs} say. */
    public enum EventType {
        /** A client has written a whole request: its class, the time it waits in ms, when it was meant to leave. */
        ASKED,
        /** That took more than a moment, or it was sent once more: the last byte left by now; the time it waits since then in ms. */
        WRITTEN,
        /** A whole answer has come: its status and body, the wait that it asks for in ms; sinceUs the send. */
        ANSWERED,
        /**
         * The connection ended before a whole answer: "reset", "closed" or "part"; number 1 on a connection used before; sinceUs the send,
         * sinceEarliestUs when the connection was begun for it.
         */
        BROKE,
        /** No connection was to be had: why. */
        UNREACHED,
        /** A client has closed its connection before its time was over, as clients may. */
        LEFT,
        /** A client that had stopped within a request was shown the end of its connection: ms since it connected. */
        DISMISSED,
        /** An upstream has spoilt its answer: how. */
        SPOILED,
        /** The client has stopped waiting and closed its connection. */
        GAVE_UP,
        /** A client's first try is over for good: "served", "late", "refused", "failed"; ms since it was meant to leave. */
        SETTLED,
        /** The last byte of a request has come to an upstream: its idempotency key, its work in ms; sinceUs its first byte, by the kernel. */
        GOT,
        /** The upstream has turned it away unseen. */
        TURNED_AWAY,
        /** The upstream works on it from now on: it has its effect. */
        RAN,
        /** A repeat that the pod has dropped: it had no effect of its own. */
        DROPPED,
        /** The upstream has answered: status and body. */
        REPLIED,
        /** A server's process has started: its start. */
        SERVER_STARTED,
        /** A server's process is gone: why. */
        SERVER_ENDED,
        /** Discovery has written to a node's agent that a server is now in this state: the state, the start in Unix ms; sinceUs before it wrote. */
        TOLD,
        /**
         * A node's process: "started", "serving" once it takes clients from a socket that the laboratory holds, "ready", "exit CODE" with the
         * time since which it had left by its own words; or a signal to it, "term", "kill", "stop", "cont" or "hup" before it is sent
         * and "term sent" and so on after.
         */
        NODE,
        /** An operators' call and its answer, seen when that has come; sinceUs when the call was sent. */
        CALLED,
        /** A fault begins: its words, its length in s. */
        FAULT,
        /** Requests at the upstreams of a zone and kind, "a big", now. */
        HELD,
        /** The laboratory itself has a fault. */
        TROUBLE,
        /** A node's event loop, or the laboratory's where no node is named, waited for a processor: ms of the time since sinceUs. */
        WAITED,
        /** The laboratory was late: by how many ms at most in the last second. */
        LATE
    }
}

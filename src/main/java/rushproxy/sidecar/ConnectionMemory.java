package rushproxy.sidecar;

import java.util.concurrent.Executor;

/**
 * The memory that peers may take.
 *
 * @param heads     for heads of clients, incomplete or of requests that are served, and for bytes behind them
 * @param bodies    for bodies of requests and responses that are buffered whole
 * @param readAhead the part of it for bodies that are read before their upstreams take them
 * @param streams   for messages that pass through in parts
 */
record ConnectionMemory(MemoryBudget heads, MemoryBudget bodies, ReadAheadBudget readAhead, StreamBuffers streams) {
    /** {@code executor} runs grants of memory on the event loop. */
    static ConnectionMemory of(MemoryPlan plan, Executor executor) {
        return of(plan.headBytes(), plan.bodyBytes(), plan.streamBytes(), executor);
    }

    static ConnectionMemory of(long headBytes, long bodyBytes, long streamBytes, Executor executor) {
        MemoryBudget bodies = new MemoryBudget(bodyBytes, executor);
        return new ConnectionMemory(
                new MemoryBudget(headBytes, executor),
                bodies,
                new ReadAheadBudget(bodies, bodyBytes),
                new StreamBuffers(streamBytes, bodies::isOverdrawn));
    }
}

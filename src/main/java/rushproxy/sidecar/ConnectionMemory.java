package rushproxy.sidecar;

/**
 * The memory that peers may take.
 *
 * @param heads     for heads of clients, incomplete or of requests that are served, and for bytes behind them
 * @param bodies    for bodies of requests and responses that are buffered whole
 * @param readAhead the part of it for bodies that are read before their upstreams take them
 * @param streams   for messages that pass through in parts
 */
record ConnectionMemory(MemoryBudget heads, MemoryBudget bodies, ReadAheadBudget readAhead, StreamBuffers streams) {
    static ConnectionMemory of(MemoryPlan plan) {
        MemoryBudget bodies = new MemoryBudget(plan.bodyBytes());
        return new ConnectionMemory(
                new MemoryBudget(plan.headBytes()),
                bodies,
                new ReadAheadBudget(bodies, plan.bodyBytes()),
                new StreamBuffers(plan.streamBytes()));
    }
}

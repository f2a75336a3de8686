package rushproxy.sidecar;

/**
 * The memory that peers may take.
 *
 * @param heads   for heads of clients, incomplete or of requests that are served, and for bytes behind them
 * @param bodies  for bodies of requests and responses that are buffered whole
 * @param streams for messages that pass through in parts
 */
record ConnectionMemory(MemoryBudget heads, MemoryBudget bodies, StreamBuffers streams) {
    static ConnectionMemory of(MemoryPlan plan) {
        return new ConnectionMemory(
                new MemoryBudget(plan.headBytes()),
                new MemoryBudget(plan.bodyBytes()),
                new StreamBuffers(plan.streamBytes()));
    }
}

package rushproxy.sidecar;

/**
 * The memory that clients may take.
 *
 * @param heads  for heads, incomplete or of requests that are served, and for bytes behind them
 * @param bodies for bodies of requests, and for responses that are buffered
 */
record ClientMemory(MemoryBudget heads, MemoryBudget bodies) {}

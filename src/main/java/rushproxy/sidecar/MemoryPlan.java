package rushproxy.sidecar;

/**
 * Divides the memory limit of the process. The ceilings of the JVM are fixed by its command line and fit into the least limit; what
 * peers may take within them follows the limit.
 *
 * @param limitBytes  the limit of this process
 * @param heapBytes   the ceiling of the heap
 * @param headBytes   for heads of requests, on the heap
 * @param bodyBytes   for bodies and responses that are buffered whole, on the heap
 * @param streamBytes for messages that pass through in parts, outside the heap
 */
record MemoryPlan(long limitBytes, long heapBytes, long headBytes, long bodyBytes, long streamBytes) {
    private static final long MB = 1L << 20;
    /** What the JVM takes beside heap and network buffers: its libraries, the class archive, compiled code, threads. */
    private static final long RUNTIME_BYTES = 54 * MB;
    /** Half-used chunks of the allocator, and messages that are written whole. */
    private static final long OTHER_BUFFER_BYTES = 2 * MB;

    private static final long MIN_STREAM_BYTES = 4 * MB;
    private static final long MAX_STREAM_BYTES = 32 * MB;
    /** Fractions of the heap, of which half is left to connections, lists of upstreams and garbage. */
    private static final int HEADS_DIVISOR = 11;

    private static final int BODIES_DIVISOR = 6;
    /** Fraction of the limit that bodies may take, where the heap is large. */
    private static final int BODIES_LIMIT_DIVISOR = 16;

    /** {@code processes}: how many processes share the limit, as during a replacement of one by another. */
    static MemoryPlan of(int memoryMb, int processes, long heapBytes) {
        long limitBytes = memoryMb * MB / processes;
        return new MemoryPlan(
                limitBytes,
                heapBytes,
                Math.min(3 * MB, heapBytes / HEADS_DIVISOR),
                Math.min(limitBytes / BODIES_LIMIT_DIVISOR, heapBytes / BODIES_DIVISOR),
                Math.max(
                        MIN_STREAM_BYTES,
                        Math.min(MAX_STREAM_BYTES, limitBytes - RUNTIME_BYTES - heapBytes - OTHER_BUFFER_BYTES)));
    }

    /** The least limit that this process keeps, whatever peers do. */
    long leastLimitMb() {
        return (RUNTIME_BYTES + heapBytes + OTHER_BUFFER_BYTES + MIN_STREAM_BYTES) / MB;
    }

    boolean fitsLimit() {
        return limitBytes >= leastLimitMb() * MB;
    }
}

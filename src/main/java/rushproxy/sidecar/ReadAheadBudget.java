package rushproxy.sidecar;

/** Memory for bodies that are read before their upstreams take them. It is a part of the memory for all bodies and never waited for. */
final class ReadAheadBudget implements MemoryAccount {
    /** The rest is left to bodies and responses that are kept whole. */
    private static final int BODIES_DIVISOR = 2;

    private final MemoryBudget bodies;
    private long freeBytes;

    /** {@code bodyBytes}: the limit of {@code bodies}. */
    ReadAheadBudget(MemoryBudget bodies, long bodyBytes) {
        this.bodies = bodies;
        freeBytes = bodyBytes / BODIES_DIVISOR;
    }

    /** Reserves the bytes at once, or returns false and reserves nothing. */
    boolean tryReserve(int bytes) {
        if (bytes > freeBytes || !bodies.tryReserve(bytes)) {
            return false;
        }
        freeBytes -= bytes;
        return true;
    }

    /** Counts bytes that have been read already, even beyond the limit. */
    @Override
    public void take(int bytes) {
        bodies.take(bytes);
        freeBytes -= bytes;
    }

    @Override
    public void release(int bytes) {
        freeBytes += bytes;
        bodies.release(bytes);
    }
}

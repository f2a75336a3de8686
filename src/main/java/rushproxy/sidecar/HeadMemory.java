package rushproxy.sidecar;

/** The memory that one client's heads take: of the request that is served, and of bytes that are not decoded yet. */
final class HeadMemory {
    private final MemoryBudget budget;
    private int heldBytes;
    private int requestBytes;

    HeadMemory(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Sets how many bytes are held that are not decoded. They are counted even if there is no memory for them. */
    void setHeldBytes(int bytes) {
        change(bytes - heldBytes);
        heldBytes = bytes;
    }

    /** Sets how many bytes of the request that is served are kept. */
    void setRequestBytes(int bytes) {
        change(bytes - requestBytes);
        requestBytes = bytes;
    }

    /** Hands the memory of the request that is served over to whoever keeps the request from now on. The result gives it back. */
    Runnable handOverRequest() {
        int bytes = requestBytes;
        requestBytes = 0;
        return () -> budget.release(bytes);
    }

    private void change(int bytes) {
        if (bytes > 0) {
            budget.take(bytes);
        } else if (bytes < 0) {
            budget.release(-bytes);
        }
    }

    /** Whether all clients together hold more than there is memory for. */
    boolean isShort() {
        return budget.isOverdrawn();
    }

    /** Runs {@code onFree} once no more is held than there is memory for. The result withdraws that. */
    Runnable whenFree(Runnable onFree) {
        return budget.reserve(0, onFree);
    }

    void release() {
        setHeldBytes(0);
        setRequestBytes(0);
    }
}

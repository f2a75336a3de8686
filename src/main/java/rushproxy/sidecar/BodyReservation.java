package rushproxy.sidecar;

/** The memory that a connection has reserved for the body of its current request, or waits for. */
final class BodyReservation {
    private final MemoryBudget budget;
    private int bytes;
    /** Withdraws the wait; null if there is none. */
    private Runnable withdraw;

    BodyReservation(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Reserves the bytes now or later; {@code onGranted} runs once they are reserved. */
    void request(int wanted, Runnable onGranted) {
        withdraw = budget.reserve(wanted, () -> {
            withdraw = null;
            bytes = wanted;
            onGranted.run();
        });
        if (bytes > 0) {
            withdraw = null;
        }
    }

    boolean isWaiting() {
        return withdraw != null;
    }

    /** Reserves at once, even beyond the limit, what is held already, and waits no longer. */
    void take(int held) {
        endWait();
        budget.take(held);
        bytes = held;
    }

    int bytes() {
        return bytes;
    }

    /** Gives back what is reserved, and waits no longer. */
    void release() {
        endWait();
        int reserved = bytes;
        bytes = 0;
        if (reserved > 0) {
            budget.release(reserved);
        }
    }

    private void endWait() {
        if (withdraw != null) {
            withdraw.run();
            withdraw = null;
        }
    }
}

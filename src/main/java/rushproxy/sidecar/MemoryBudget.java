package rushproxy.sidecar;

import java.util.ArrayDeque;
import java.util.concurrent.Executor;
import java.util.function.IntSupplier;

/**
 * Limits the bytes that are buffered at once over all requests and responses. Waiting reservations are granted in the
 * order of their arrival, each in a task of its own: whoever releases memory runs nothing of those who wait for it.
 */
final class MemoryBudget implements MemoryAccount {
    private record Waiter(IntSupplier bytes, Runnable onGranted) {}

    private final ArrayDeque<Waiter> waiting = new ArrayDeque<>();
    private final long limitBytes;
    private final Executor executor;
    private long freeBytes;
    private boolean grantScheduled;
    /** Reservations that had to wait since the last {@link #describeUse}. */
    private int waited;

    /** {@code executor} runs the grants, on the thread that uses the budget. */
    MemoryBudget(long bytes, Executor executor) {
        limitBytes = bytes;
        freeBytes = bytes;
        this.executor = executor;
    }

    /** Reserves the bytes at once, or returns false and reserves nothing. */
    boolean tryReserve(int bytes) {
        if (!waiting.isEmpty() || bytes > freeBytes) {
            return false;
        }
        freeBytes -= bytes;
        return true;
    }

    /** Reserves bytes that are held already, even beyond the limit; nothing else is granted until as much is released. */
    @Override
    public void take(int bytes) {
        freeBytes -= bytes;
    }

    /** Whether more is reserved than the limit. */
    boolean isOverdrawn() {
        return freeBytes < 0;
    }

    long reservedBytes() {
        return limitBytes - freeBytes;
    }

    /** How much is reserved, and how many reservations had to wait since the last call. */
    String describeUse() {
        String text = reservedBytes() / 1024 + " of " + limitBytes / 1024 + " KB"
                + (waited == 0 ? "" : " (" + waited + " waited)");
        waited = 0;
        return text;
    }

    /** As {@link #reserve(IntSupplier, Runnable)} with a fixed number of bytes. */
    Runnable reserve(int bytes, Runnable onGranted) {
        return reserve(() -> bytes, onGranted);
    }

    /**
     * Reserves bytes now or later; {@code onGranted} runs once they are reserved. {@code bytes} may become fewer while
     * the reservation waits. The result withdraws a waiting reservation.
     */
    Runnable reserve(IntSupplier bytes, Runnable onGranted) {
        if (tryReserve(bytes.getAsInt())) {
            onGranted.run();
            return () -> {};
        }
        Waiter waiter = new Waiter(bytes, onGranted);
        waiting.add(waiter);
        waited++;
        return () -> {
            // If it was the first, those behind it may fit now.
            if (waiting.remove(waiter)) {
                scheduleGrant();
            }
        };
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** How much has to be released for the first waiting reservation; 0 if none waits or the first fits. */
    long shortBytes() {
        return hasWaiting() ? Math.max(0, waiting.peek().bytes.getAsInt() - freeBytes) : 0;
    }

    /** How much of what is short the first waiting reservation itself needs; the rest has been taken beyond the limit. */
    long shortBytesOfFirst() {
        return hasWaiting() ? Math.min(shortBytes(), waiting.peek().bytes.getAsInt()) : 0;
    }

    @Override
    public void release(int bytes) {
        freeBytes += bytes;
        scheduleGrant();
    }

    private void scheduleGrant() {
        if (!grantScheduled && hasWaiting() && shortBytes() == 0) {
            grantScheduled = true;
            executor.execute(this::grantFirst);
        }
    }

    private void grantFirst() {
        grantScheduled = false;
        if (!hasWaiting() || shortBytes() > 0) {
            return;
        }
        Waiter first = waiting.poll();
        freeBytes -= first.bytes.getAsInt();
        try {
            first.onGranted.run();
        } finally {
            scheduleGrant();
        }
    }
}

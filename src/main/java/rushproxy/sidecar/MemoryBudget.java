package rushproxy.sidecar;

import java.util.ArrayDeque;

/**
 * Limits the bytes that are buffered at once over all requests and responses. Waiting reservations are granted in the
 * order of their arrival.
 */
final class MemoryBudget {
    private record Waiter(int bytes, Runnable onGranted) {}

    private final ArrayDeque<Waiter> waiting = new ArrayDeque<>();
    private final long limitBytes;
    private long freeBytes;
    /** Reservations that had to wait since the last {@link #describeUse}. */
    private int waited;

    MemoryBudget(long bytes) {
        limitBytes = bytes;
        freeBytes = bytes;
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
    void take(int bytes) {
        freeBytes -= bytes;
    }

    /** Whether more is reserved than the limit. */
    boolean isOverdrawn() {
        return freeBytes < 0;
    }

    /** How much is reserved, and how many reservations had to wait since the last call. */
    String describeUse() {
        String text = (limitBytes - freeBytes) / 1024 + " of " + limitBytes / 1024 + " KB"
                + (waited == 0 ? "" : " (" + waited + " waited)");
        waited = 0;
        return text;
    }

    /**
     * Reserves the bytes now or later; {@code onGranted} runs once they are reserved. The result withdraws a waiting
     * reservation.
     */
    Runnable reserve(int bytes, Runnable onGranted) {
        if (tryReserve(bytes)) {
            onGranted.run();
            return () -> {};
        }
        Waiter waiter = new Waiter(bytes, onGranted);
        waiting.add(waiter);
        waited++;
        return () -> {
            // If it was the first, those behind it may fit now.
            if (waiting.remove(waiter)) {
                grantWaiting();
            }
        };
    }

    /** How much has to be released for the first waiting reservation; 0 if none waits. */
    long shortBytes() {
        return waiting.isEmpty() ? 0 : waiting.peek().bytes - freeBytes;
    }

    void release(int bytes) {
        freeBytes += bytes;
        grantWaiting();
    }

    private void grantWaiting() {
        while (!waiting.isEmpty() && waiting.peek().bytes <= freeBytes) {
            Waiter next = waiting.poll();
            freeBytes -= next.bytes;
            next.onGranted.run();
        }
    }
}

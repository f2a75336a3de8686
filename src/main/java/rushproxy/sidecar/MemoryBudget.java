package rushproxy.sidecar;

import java.util.ArrayDeque;

/** The bytes that may be kept at once, over all requests and answers. Who asks in vain is told in turn. */
final class MemoryBudget {
    private record Waiter(int bytes, Runnable onGranted) {}

    private final ArrayDeque<Waiter> waiting = new ArrayDeque<>();
    private long freeBytes;

    MemoryBudget(long bytes) {
        freeBytes = bytes;
    }

    /** True where the bytes are taken at once; else nothing is taken, and nobody will be told. */
    boolean tryReserve(int bytes) {
        if (!waiting.isEmpty() || bytes > freeBytes) {
            return false;
        }
        freeBytes -= bytes;
        return true;
    }

    /** As {@link #tryReserve}, but {@code onGranted} runs once they are taken later on; the result takes the wish back. */
    Runnable reserve(int bytes, Runnable granted) {
        if (tryReserve(bytes)) {
            granted.run();
            return () -> {};
        }
        Waiter asker = new Waiter(bytes, granted);
        waiting.add(asker);
        return () -> {
            // It may have been the first, and there may be room for those behind it.
            if (waiting.remove(asker)) {
                grantWaiting();
            }
        };
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

package rushproxy.sidecar;

import java.util.ArrayDeque;

/** The bytes that may be kept at once, over all requests and answers. Who asks in vain is told in turn. */
final class Budget {
    private record Asker(int bytes, Runnable granted) {}

    private final ArrayDeque<Asker> asking = new ArrayDeque<>();
    private long free;

    Budget(long bytes) {
        free = bytes;
    }

    /** True where the bytes are taken at once; else nothing is taken, and nobody will be told. */
    boolean take(int bytes) {
        if (!asking.isEmpty() || bytes > free) {
            return false;
        }
        free -= bytes;
        return true;
    }

    /** As {@link #take}, but {@code granted} runs once they are taken later on; the result takes the wish back. */
    Runnable ask(int bytes, Runnable granted) {
        if (take(bytes)) {
            granted.run();
            return () -> {};
        }
        Asker asker = new Asker(bytes, granted);
        asking.add(asker);
        return () -> {
            // It may have been the first, and there may be room for those behind it.
            if (asking.remove(asker)) {
                grant();
            }
        };
    }

    void give(int bytes) {
        free += bytes;
        grant();
    }

    private void grant() {
        while (!asking.isEmpty() && asking.peek().bytes <= free) {
            Asker next = asking.poll();
            free -= next.bytes;
            next.granted.run();
        }
    }
}

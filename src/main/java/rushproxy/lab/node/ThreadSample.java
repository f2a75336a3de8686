package rushproxy.lab.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What the kernel tells of a thread at one moment.
 *
 * @param ranNanos    for how long it has run
 * @param waitedNanos for how long it has been ready and waited for a processor; the kernel adds a wait when it ends
 * @param ready       whether it is ready or runs now
 */
record ThreadSample(long ranNanos, long waitedNanos, boolean ready) {
    private static final String READY = "R";

    /** {@code thread}: the thread's folder below {@code /proc}. */
    static ThreadSample of(Path thread) throws IOException {
        String[] figures = Files.readString(thread.resolve("schedstat")).trim().split(" ");
        String status = Files.readString(thread.resolve("stat"));
        // The name before the state may hold anything.
        String state = status.substring(status.lastIndexOf(')') + 2);
        return new ThreadSample(Long.parseLong(figures[0]), Long.parseLong(figures[1]), state.startsWith(READY));
    }

    /** Whether it was ready at both moments and never ran between them: it waited for a processor all the while. */
    boolean hasWaitedSince(ThreadSample before) {
        return ready && before.ready && ranNanos == before.ranNanos;
    }
}

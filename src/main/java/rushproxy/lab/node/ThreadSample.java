package rushproxy.lab.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The scheduler statistics and state of a thread at one moment.
 *
 * @param ranNanos    time it has run
 * @param waitedNanos time it was runnable but waited for a processor; the kernel adds a wait when it ends
 * @param ready       whether it is runnable or running
 */
record ThreadSample(long ranNanos, long waitedNanos, boolean ready) {
    private static final String READY = "R";

    /** Reads the statistics from the thread's folder below {@code /proc}. */
    static ThreadSample of(Path thread) throws IOException {
        String[] figures = Files.readString(thread.resolve("schedstat")).trim().split(" ");
        String status = Files.readString(thread.resolve("stat"));
        // The thread name before the state may hold any character.
        String state = status.substring(status.lastIndexOf(')') + 2);
        return new ThreadSample(Long.parseLong(figures[0]), Long.parseLong(figures[1]), state.startsWith(READY));
    }

    /** Whether it waited for a processor the whole time since {@code before}: runnable in both samples, and never ran between them. */
    boolean hasWaitedSince(ThreadSample before) {
        return ready && before.ready && ranNanos == before.ranNanos;
    }
}

package rushproxy.sidecar;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * A thread's scheduling statistics (schedstat of Linux).
 *
 * @param cpuMs          time spent running
 * @param runQueueWaitMs time spent runnable, waiting for a CPU
 */
record ThreadSchedStats(long cpuMs, long runQueueWaitMs) {
    private static final Path CURRENT_THREAD_SCHEDSTAT = Path.of("/proc/thread-self/schedstat");
    private static final long NANOS_PER_MS = 1_000_000;

    /** Empty if the kernel does not provide the statistics. */
    static Optional<ThreadSchedStats> ofCurrentThread() {
        try {
            return Optional.of(parse(Files.readString(CURRENT_THREAD_SCHEDSTAT)));
        } catch (IOException | RuntimeException e) {
            return Optional.empty();
        }
    }

    static ThreadSchedStats parse(String line) {
        String[] fields = line.trim().split(" ");
        return new ThreadSchedStats(Long.parseLong(fields[0]) / NANOS_PER_MS, Long.parseLong(fields[1]) / NANOS_PER_MS);
    }

    ThreadSchedStats since(ThreadSchedStats before) {
        return new ThreadSchedStats(cpuMs - before.cpuMs, runQueueWaitMs - before.runQueueWaitMs);
    }
}

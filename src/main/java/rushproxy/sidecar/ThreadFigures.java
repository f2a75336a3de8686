package rushproxy.sidecar;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * What the kernel says of a thread.
 *
 * @param ranMs    processor time that it has had
 * @param waitedMs for how long it was ready to run and had none
 */
record ThreadFigures(long ranMs, long waitedMs) {
    private static final Path CALLING_THREAD = Path.of("/proc/thread-self/schedstat");
    private static final long NANOS_A_MS = 1_000_000;

    /** Empty where the kernel does not tell. */
    static Optional<ThreadFigures> ofCallingThread() {
        try {
            return Optional.of(parse(Files.readString(CALLING_THREAD)));
        } catch (IOException | RuntimeException e) {
            return Optional.empty();
        }
    }

    static ThreadFigures parse(String line) {
        String[] fields = line.trim().split(" ");
        return new ThreadFigures(Long.parseLong(fields[0]) / NANOS_A_MS, Long.parseLong(fields[1]) / NANOS_A_MS);
    }

    ThreadFigures since(ThreadFigures before) {
        return new ThreadFigures(ranMs - before.ranMs, waitedMs - before.waitedMs);
    }
}

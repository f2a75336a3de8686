package rushproxy.sidecar;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The processor time of each thread of this process, as Linux counts it: shows, at the debug level, which thread ran while the
 * event loop did not.
 */
final class ThreadTimes {
    private static final Path TASKS = Path.of("/proc/self/task");
    private static final double NS_PER_MS = 1e6;
    /** What a thread that is told of must have used. */
    private static final double LEAST_MS = 1;

    private record Thread(String name, double ranMs, double waitedMs) {}

    private Map<String, Thread> before = new HashMap<>();

    /** What each thread has used since the last call, as words; nothing of threads that have used next to none. */
    String sinceLast() {
        Map<String, Thread> now = read();
        StringBuilder words = new StringBuilder();
        now.forEach((id, thread) -> {
            Thread old = before.getOrDefault(id, new Thread(thread.name, 0, 0));
            double ran = thread.ranMs - old.ranMs;
            double waited = thread.waitedMs - old.waitedMs;
            if (ran >= LEAST_MS || waited >= LEAST_MS) {
                words.append(String.format(Locale.ROOT, " %s %.0f ms (waited %.0f)", thread.name, ran, waited));
            }
        });
        before = now;
        return words.toString();
    }

    private static Map<String, Thread> read() {
        Map<String, Thread> threads = new HashMap<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(TASKS)) {
            for (Path task : tasks) {
                String name = Files.readString(task.resolve("comm")).strip().replace(' ', '-');
                String[] times = Files.readString(task.resolve("schedstat")).strip().split(" ");
                threads.put(task.getFileName().toString(),
                        new Thread(name, Long.parseLong(times[0]) / NS_PER_MS, Long.parseLong(times[1]) / NS_PER_MS));
            }
        } catch (IOException | RuntimeException e) {
            // A thread that has ended meanwhile, or a system that does not tell.
            return threads;
        }
        return threads;
    }
}

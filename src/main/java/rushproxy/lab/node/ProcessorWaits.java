package rushproxy.lab.node;

import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation.What;
import rushproxy.lab.world.Observations;

/**
 * Sees by the kernel's figures for how long event loops were ready to run and had to wait for a processor: the laboratory's own, and that
 * of each sidecar. What callers miss meanwhile is the machine's. Belongs to one thread; sees nothing on a kernel that has no such figures.
 */
public final class ProcessorWaits {
    /** How often to look. */
    public static final long EVERY_MS = 100;
    /** The kernel's name of a sidecar's event loop. */
    private static final String LOOP = "multiThreadIoEv";
    /** Shorter waits are not worth an observation. */
    private static final double LEAST_MS = 5;

    private static final int WAIT_FIELD = 1;

    private final Observations seen;
    private final Path laboratory;
    private final Map<String, Watched> watched = new HashMap<>();

    /** A thread of which is known how long it has waited in all. */
    private static final class Watched {
        private final long pid;
        private final Path figures;
        private double waitedMs;
        private long sinceUs;

        Watched(long pid, Path figures, double waitedMs, long sinceUs) {
            this.pid = pid;
            this.figures = figures;
            this.waitedMs = waitedMs;
            this.sinceUs = sinceUs;
        }
    }

    /** {@code laboratory}: the kernel's figures for the laboratory's loop; null where it has none. */
    public ProcessorWaits(Observations seen, Path laboratory) {
        this.seen = seen;
        this.laboratory = laboratory;
    }

    /** Notes what was waited since the last look. */
    public void look(List<Node> nodes) {
        look(null, 0, laboratory);
        for (Node node : nodes) {
            node.pid().ifPresent(pid -> {
                Watched known = watched.get(node.name);
                look(node.name, pid, known != null && known.pid == pid ? known.figures : loopOf(pid));
            });
        }
    }

    /** Null where it has none yet. */
    private static Path loopOf(long pid) {
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path thread : threads) {
                if (Files.readString(thread.resolve("comm")).startsWith(LOOP)) {
                    return thread.resolve("schedstat");
                }
            }
        } catch (IOException | DirectoryIteratorException e) {
            // It has ended.
        }
        return null;
    }

    private void look(String node, long pid, Path figures) {
        if (figures == null) {
            return;
        }
        long now = seen.us();
        double waitedMs;
        try {
            waitedMs = Long.parseLong(Files.readString(figures).trim().split(" ")[WAIT_FIELD]) / 1e6;
        } catch (IOException | RuntimeException e) {
            watched.remove(node);
            return;
        }
        Watched before = watched.get(node);
        if (before == null || before.pid != pid) {
            watched.put(node, new Watched(pid, figures, waitedMs, now));
            return;
        }
        if (waitedMs - before.waitedMs >= LEAST_MS) {
            seen.see(What.WAITED, node, null, null, null, null, waitedMs - before.waitedMs, before.sinceUs);
        }
        before.waitedMs = waitedMs;
        before.sinceUs = now;
    }
}

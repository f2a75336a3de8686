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
public final class ProcessorWaitMonitor {
    /** How often to look. */
    public static final long EVERY_MS = 100;
    /** The kernel's names of a sidecar's event loop and of its virtual machine's own thread. */
    private static final String LOOP = "multiThreadIoEv";

    private static final String MACHINE = "VM Thread";
    /** Shorter waits are not worth an observation. */
    private static final double LEAST_MS = 5;

    private static final double US_A_MS = 1e3;

    private final Observations seen;
    private final Path laboratory;
    private final Map<String, Watched> watched = new HashMap<>();

    /** An event loop that is looked at again and again. */
    private static final class Watched {
        private final long pid;
        private final Path loop;
        /** Null where it is not known. */
        private final Path machine;

        private LoopWaitTracker wait;
        private long sinceUs;

        Watched(long pid, Path loop, Path machine) {
            this.pid = pid;
            this.loop = loop;
            this.machine = machine;
        }
    }

    /** {@code laboratory}: the kernel's figures for the laboratory's loop; null where it has none. */
    public ProcessorWaitMonitor(Observations seen, Path laboratory) {
        this.seen = seen;
        this.laboratory = laboratory == null ? null : laboratory.getParent();
    }

    /** Notes what was waited since the last look. */
    public void look(List<Node> nodes) {
        if (laboratory != null) {
            look(null, watched.computeIfAbsent(null, n -> new Watched(0, laboratory, null)));
        }
        for (Node node : nodes) {
            node.pid().ifPresent(pid -> {
                Watched known = watched.get(node.name);
                if (known == null || known.pid != pid) {
                    known = new Watched(pid, threadOf(pid, LOOP), threadOf(pid, MACHINE));
                }
                if (known.loop != null) {
                    watched.put(node.name, known);
                    look(node.name, known);
                }
            });
        }
    }

    /** The folder of the process's thread of this name; null where it has none yet. */
    private static Path threadOf(long pid, String name) {
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path thread : threads) {
                if (Files.readString(thread.resolve("comm")).startsWith(name)) {
                    return thread;
                }
            }
        } catch (IOException | DirectoryIteratorException e) {
            // It has ended.
        }
        return null;
    }

    private void look(String node, Watched of) {
        long now = seen.us();
        ThreadSample loop;
        ThreadSample machine;
        try {
            loop = ThreadSample.of(of.loop);
            machine = of.machine == null ? null : ThreadSample.of(of.machine);
        } catch (IOException | RuntimeException e) {
            watched.remove(node);
            return;
        }
        if (of.wait == null) {
            of.wait = new LoopWaitTracker(loop, machine);
        } else {
            double waitedMs = of.wait.since(loop, machine, (now - of.sinceUs) / US_A_MS);
            if (waitedMs >= LEAST_MS) {
                seen.see(What.WAITED, node, null, null, null, null, waitedMs, of.sinceUs);
            }
        }
        of.sinceUs = now;
    }
}

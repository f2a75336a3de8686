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
    public static final long SAMPLE_PERIOD_MS = 100;
    /** The kernel's names of a sidecar's event loop and of its virtual machine's own thread. */
    private static final String LOOP_THREAD = "multiThreadIoEv";

    private static final String VM_THREAD = "VM Thread";
    /** Shorter waits are not worth an observation. */
    private static final double MIN_REPORTED_MS = 5;

    private static final double US_PER_MS = 1e3;

    private final Observations observations;
    private final Path laboratory;
    private final Map<String, WatchedLoop> watchedLoops = new HashMap<>();

    /** An event loop that is looked at again and again. */
    private static final class WatchedLoop {
        private final long pid;
        private final Path loop;
        /** Null where it is not known. */
        private final Path machine;

        private LoopWaitTracker wait;
        private long sinceUs;

        WatchedLoop(long pid, Path loop, Path machine) {
            this.pid = pid;
            this.loop = loop;
            this.machine = machine;
        }
    }

    /** {@code laboratory}: the kernel's figures for the laboratory's loop; null where it has none. */
    public ProcessorWaitMonitor(Observations observations, Path laboratory) {
        this.observations = observations;
        this.laboratory = laboratory == null ? null : laboratory.getParent();
    }

    /** Notes what was waited since the last look. */
    public void sample(List<Node> nodes) {
        if (laboratory != null) {
            sample(null, watchedLoops.computeIfAbsent(null, n -> new WatchedLoop(0, laboratory, null)));
        }
        for (Node node : nodes) {
            node.pid().ifPresent(pid -> {
                WatchedLoop known = watchedLoops.get(node.name);
                if (known == null || known.pid != pid) {
                    known = new WatchedLoop(pid, findThread(pid, LOOP_THREAD), findThread(pid, VM_THREAD));
                }
                if (known.loop != null) {
                    watchedLoops.put(node.name, known);
                    sample(node.name, known);
                }
            });
        }
    }

    /** The folder of the process's thread of this name; null where it has none yet. */
    private static Path findThread(long pid, String name) {
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

    private void sample(String node, WatchedLoop of) {
        long now = observations.us();
        ThreadSample loop;
        ThreadSample machine;
        try {
            loop = ThreadSample.of(of.loop);
            machine = of.machine == null ? null : ThreadSample.of(of.machine);
        } catch (IOException | RuntimeException e) {
            watchedLoops.remove(node);
            return;
        }
        if (of.wait == null) {
            of.wait = new LoopWaitTracker(loop, machine);
        } else {
            double waitedMs = of.wait.update(loop, machine, (now - of.sinceUs) / US_PER_MS);
            if (waitedMs >= MIN_REPORTED_MS) {
                observations.see(What.WAITED, node, null, null, null, null, waitedMs, of.sinceUs);
            }
        }
        of.sinceUs = now;
    }
}

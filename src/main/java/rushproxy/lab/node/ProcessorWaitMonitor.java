package rushproxy.lab.node;

import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.lab.world.Observation.EventType;
import rushproxy.lab.world.ObservationLog;

/**
 * Records, from the kernel's scheduler statistics, how long event loops were runnable but waited for a processor: the laboratory's own
 * loop and that of each sidecar. Requests that fail during such a wait are the machine's fault, not the sidecar's. Confined to one
 * thread; records nothing on a kernel without these statistics.
 */
public final class ProcessorWaitMonitor {
    /** Time between two samples. */
    public static final long SAMPLE_PERIOD_MS = 100;
    /** Name of a sidecar's event loop thread, as truncated by the kernel. */
    private static final String LOOP_THREAD = "multiThreadIoEv";

    /** Name of the JVM thread that runs safepoint operations. */
    private static final String VM_THREAD = "VM Thread";
    /** Shorter waits are not recorded. */
    private static final double MIN_REPORTED_MS = 5;

    private static final double US_PER_MS = 1e3;

    private final ObservationLog observations;
    private final Path laboratory;
    private final Map<String, WatchedLoop> watchedLoops = new HashMap<>();

    /** An event loop that is sampled periodically. */
    private static final class WatchedLoop {
        private final long pid;
        private final Path loop;
        /** The folder of the VM thread below {@code /proc}; null if it is unknown. */
        private final Path vmThread;

        private LoopWaitTracker wait;
        private long sinceUs;

        WatchedLoop(long pid, Path loop, Path vmThread) {
            this.pid = pid;
            this.loop = loop;
            this.vmThread = vmThread;
        }
    }

    /** {@code laboratory}: a file below {@code /proc} with statistics of the laboratory's event loop; null if there is none. */
    public ProcessorWaitMonitor(ObservationLog observations, Path laboratory) {
        this.observations = observations;
        this.laboratory = laboratory == null ? null : laboratory.getParent();
    }

    /** Records the waits since the last sample. */
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

    /** Returns the {@code /proc} folder of the first thread with this name prefix, or null if the process has none yet. */
    private static Path findThread(long pid, String name) {
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path thread : threads) {
                if (Files.readString(thread.resolve("comm")).startsWith(name)) {
                    return thread;
                }
            }
        } catch (IOException | DirectoryIteratorException e) {
            // The process has ended.
        }
        return null;
    }

    private void sample(String node, WatchedLoop watched) {
        long nowUs = observations.nowUs();
        ThreadSample loop;
        ThreadSample vmThread;
        try {
            loop = ThreadSample.of(watched.loop);
            vmThread = watched.vmThread == null ? null : ThreadSample.of(watched.vmThread);
        } catch (IOException | RuntimeException e) {
            watchedLoops.remove(node);
            return;
        }
        if (watched.wait == null) {
            watched.wait = new LoopWaitTracker(loop, vmThread);
        } else {
            double waitedMs = watched.wait.update(loop, vmThread, (nowUs - watched.sinceUs) / US_PER_MS);
            if (waitedMs >= MIN_REPORTED_MS) {
                observations.add(EventType.WAITED, node, null, null, null, null, waitedMs, watched.sinceUs);
            }
        }
        watched.sinceUs = nowUs;
    }
}

package rushproxy.lab.node;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.commons.rng.UniformRandomProvider;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.world.Addresses;
import rushproxy.lab.world.Observation.EventType;
import rushproxy.lab.world.ObservationLog;
import rushproxy.lab.world.World;

/**
 * One sidecar of a run: its folder (configuration, log, state that outlives its process) and its processes, of which there
 * are two while one replaces the other. Methods block and are confined to one thread, except {@link #destroy}, which may be
 * called from any thread and leaves no process behind.
 */
public final class Node {
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long POLL_PERIOD_MS = 20;
    private static final int CALL_TIMEOUT_MS = 3_000;
    private static final int NOT_SERVING_CALL_TIMEOUT_MS = 200;
    /** A process is not asked to reload in its first second. */
    private static final long MIN_RELOAD_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Thrown when a node can't be started or replaced; the message is shown to the user. */
    public static final class NodeException extends Exception {
        private static final long serialVersionUID = 1L;

        NodeException(String message) {
            super(message);
        }
    }

    public final int number;
    public final String name;
    private final Scenario scenario;
    private final World world;
    private final Addresses addresses;
    private final ObservationLog observations;
    private final Path folder;
    private final NodeLog log;
    private final UniformRandomProvider random;
    private final ProcessReaper reaper;
    private final List<Process> processes = new ArrayList<>();
    private Build build;
    private SharedSocket sharedSocket;
    /** Which of the two admin addresses the latest process uses, 0 or 1. */
    private volatile int adminSlot;

    private long launchedNanos;
    /** Length of the log in bytes when the latest process was started. */
    private long logLengthAtLaunch;
    /** Time of the first SIGTERM to each process, by process id. */
    private final Map<Long, Long> termSentAtUs = new ConcurrentHashMap<>();

    private boolean destroyed;
    /** Null unless fault injection is enabled. */
    private SystemFaults systemFaults;

    private final Lock lifecycleLock = new ReentrantLock();

    public Node(
            int number,
            Scenario scenario,
            World world,
            Addresses addresses,
            ObservationLog observations,
            Path folder,
            Build build,
            UniformRandomProvider random,
            ProcessReaper reaper) {
        this.reaper = reaper;
        this.number = number;
        this.name = "n" + number;
        this.scenario = scenario;
        this.world = world;
        this.addresses = addresses;
        this.observations = observations;
        this.folder = folder;
        log = new NodeLog(folder.resolve("log"));
        this.build = build;
        this.random = random;
    }

    /** Sets the build to run from the next start on. */
    public void useBuild(Build next) {
        build = next;
    }

    /** Starts processes with this fault injection library from now on; all faults are off at first. */
    public void enableSystemFaults(Path library, long seed) throws IOException {
        Files.createDirectories(folder);
        systemFaults = SystemFaults.create(library, folder.resolve("faults"), seed);
    }

    /** Held while this node's process is stopped and the next one started. */
    public Lock lifecycleLock() {
        return lifecycleLock;
    }

    /** Returns the fault injection controls, or null unless they are enabled. */
    public SystemFaults systemFaults() {
        return systemFaults;
    }

    /** Returns the log lines of all its processes. */
    public List<String> log() throws IOException {
        return log.lines();
    }

    /** Lets the laboratory own the listening socket for clients; each process inherits it as descriptor 0. */
    public void useSharedSocket() throws IOException {
        sharedSocket = new SharedSocket(addresses.listen(number));
    }

    /** Time between the first SIGTERM and the repeated one. */
    private static final long REPEATED_SIGNAL_DELAY_MS = 100;

    /** Starts a process with an empty {@code $TMPDIR}; {@link #awaitReady} waits until it serves. */
    public void start() throws IOException, InterruptedException, NodeException {
        if (sharedSocket == null) {
            requireFree(addresses.listen(number), "clients");
        }
        requireFree(addresses.admin(number, 0), "operators");
        Path tempFolder = folder.resolve("tmp");
        deleteRecursively(tempFolder);
        Files.createDirectories(tempFolder);
        launch(0);
    }

    private void requireFree(InetSocketAddress address, String users) throws NodeException {
        try {
            new AddressProbe(address).close();
        } catch (IOException e) {
            throw new NodeException(name + ": the address for its " + users + ", " + Addresses.format(address)
                    + ", is taken by somebody else");
        }
    }

    private void launch(int slot) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Path config = folder.resolve("config.json");
        ObjectNode known = world.known(number);
        Files.write(
                config,
                NodeConfig.write(scenario, addresses, number, world.discovery(number), known, random.nextLong()));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", build.command());
        builder.directory(build.root().toFile());
        builder.environment().keySet().removeIf(k -> k.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", config.toAbsolutePath().toString());
        builder.environment().put("BALANCER_NAME", name);
        builder.environment().put("BALANCER_LISTEN", Addresses.format(addresses.listen(number)));
        builder.environment().put("BALANCER_ADMIN_ADDR", Addresses.format(addresses.admin(number, slot)));
        // Read by commands that act on a running scenario.
        Files.writeString(folder.resolve("admin"), Addresses.format(addresses.admin(number, slot)) + "\n");
        builder.environment()
                .put("TMPDIR", folder.resolve("tmp").toAbsolutePath().toString());
        if (systemFaults != null) {
            builder.environment().putAll(systemFaults.environment());
        }
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.file().toFile()));
        logLengthAtLaunch = log.length();
        launchedNanos = System.nanoTime();
        synchronized (this) {
            if (destroyed) {
                throw new InterruptedException("the run is over");
            }
            Process p;
            if (sharedSocket == null) {
                p = builder.redirectInput(ProcessBuilder.Redirect.from(new java.io.File("/dev/null")))
                        .start();
            } else {
                builder.environment().put("BALANCER_ACCEPT_FD", "0");
                p = sharedSocket.startInheriting(() ->
                        builder.redirectInput(ProcessBuilder.Redirect.INHERIT).start());
            }
            processes.add(p);
            reaper.register(p);
            adminSlot = slot;
            observations.add(EventType.NODE, name, null, null, null, "started", p.pid(), 0);
            p.onExit().thenAccept(this::recordExit);
        }
    }

    /**
     * Records the end of a process. For a clean exit after SIGTERM the shutdown time is the one the process logged: it stops accepting
     * clients some time before its exit is noticed.
     */
    private void recordExit(Process process) {
        Long termUs = termSentAtUs.remove(process.pid());
        boolean exitedCleanly = termUs != null && process.exitValue() == 0;
        OptionalLong shutdownUs = exitedCleanly ? log.lastShutdownDurationUs() : OptionalLong.empty();
        long leftUs = shutdownUs.isPresent() ? termUs + shutdownUs.getAsLong() : 0;
        observations.add(EventType.NODE, name, null, null, null, "exit " + process.exitValue(), process.pid(), leftUs);
    }

    private Process latestProcess() {
        return processes.get(processes.size() - 1);
    }

    public synchronized boolean isRunning() {
        return !processes.isEmpty() && latestProcess().isAlive();
    }

    /** Returns the id of the latest process, or empty if it has ended. */
    synchronized OptionalLong pid() {
        return isRunning() ? OptionalLong.of(latestProcess().pid()) : OptionalLong.empty();
    }

    /** Waits until the latest process serves; throws, with the last lines of its log, if it ends first or takes longer than 30 s. */
    public void awaitReady() throws InterruptedException, NodeException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        boolean serving = false;
        while (true) {
            if (sharedSocket != null && !serving && log.reportsServing(logLengthAtLaunch)) {
                serving = true;
                observations.add(
                        EventType.NODE,
                        name,
                        null,
                        null,
                        null,
                        "serving",
                        latestProcess().pid(),
                        0);
            }
            // The shared socket completes connections before a process accepts them, so a call until then only times
            // out.
            if (isReady(sharedSocket == null || serving ? CALL_TIMEOUT_MS : NOT_SERVING_CALL_TIMEOUT_MS)) {
                break;
            }
            if (!isRunning()) {
                if (isDestroyed()) {
                    throw new InterruptedException("the run is over");
                }
                throw new NodeException(name + " ended before it was ready, with "
                        + latestProcess().exitValue() + ": " + log.lastLines());
            }
            if (System.nanoTime() > deadline) {
                throw new NodeException(
                        name + " was not ready after " + READY_TIMEOUT_MS / 1_000 + " s: " + log.lastLines());
            }
            Thread.sleep(POLL_PERIOD_MS);
        }
        observations.add(
                EventType.NODE, name, null, null, null, "ready", latestProcess().pid(), 0);
    }

    private synchronized boolean isDestroyed() {
        return destroyed;
    }

    private boolean isReady(int timeoutMs) {
        try (Socket s = new Socket()) {
            s.connect(addresses.listen(number), timeoutMs);
            s.setSoTimeout(timeoutMs);
            s.getOutputStream()
                    .write("GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            byte[] head = s.getInputStream().readNBytes(12);
            return new String(head, StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends an admin command to the latest process; returns its reply, or "no answer: " and the reason. */
    public String call(String line) {
        return call(line, adminSlot);
    }

    /** Like {@link #call}, but calls the process that the latest one has replaced or replaces; without one nobody answers. */
    public String callPrevious(String line) {
        return call(line, 1 - adminSlot);
    }

    private String call(String line, int slot) {
        String answer;
        long sentUs = observations.nowUs();
        try (Socket s = new Socket()) {
            s.connect(addresses.admin(number, slot), CALL_TIMEOUT_MS);
            s.setSoTimeout(CALL_TIMEOUT_MS);
            s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            answer = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        } catch (IOException e) {
            answer = "no answer: " + e.getMessage();
        }
        observations.add(EventType.CALLED, name, null, null, null, line + " -> " + answer, 0, sentUs);
        return answer;
    }

    /** Sends a signal, by its name without SIG, to the latest process. */
    public void signal(String signal) throws IOException, InterruptedException {
        signal(signal, latestProcess());
    }

    private void signal(String signal, Process to) throws IOException, InterruptedException {
        if (to.isAlive()) {
            if (signal.equals("TERM")) {
                termSentAtUs.putIfAbsent(to.pid(), observations.nowUs());
            }
            observations.add(
                    EventType.NODE, name, null, null, null, signal.toLowerCase(java.util.Locale.ROOT), to.pid(), 0);
            new ProcessBuilder("kill", "-" + signal, Long.toString(to.pid()))
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
            observations.add(
                    EventType.NODE,
                    name,
                    null,
                    null,
                    null,
                    signal.toLowerCase(java.util.Locale.ROOT) + " sent",
                    to.pid(),
                    0);
        }
    }

    /** Rewrites the configuration with the current discovery address and sends SIGHUP. */
    public void reload() throws IOException, InterruptedException {
        TimeUnit.NANOSECONDS.sleep(launchedNanos + MIN_RELOAD_DELAY_NANOS - System.nanoTime());
        Files.write(
                folder.resolve("config.json"),
                NodeConfig.write(
                        scenario, addresses, number, world.discovery(number), world.known(number), random.nextLong()));
        signal("HUP");
    }

    /** Sends SIGTERM, and SIGKILL after {@code timeoutMs}; returns whether the process exited by itself. */
    public boolean stop(long timeoutMs) throws IOException, InterruptedException {
        return stop(latestProcess(), timeoutMs);
    }

    /** Like {@link #stop(long)}, but follows the first SIGTERM with SIGHUP and a second SIGTERM. */
    public void stopWithRepeatedSignals(long timeoutMs) throws IOException, InterruptedException {
        Process p = latestProcess();
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        signal("TERM", p);
        signal("HUP", p);
        p.waitFor(REPEATED_SIGNAL_DELAY_MS, TimeUnit.MILLISECONDS);
        signal("TERM", p);
        if (!p.waitFor(Math.max(0, deadline - System.nanoTime()), TimeUnit.NANOSECONDS)) {
            signal("KILL", p);
            p.waitFor();
        }
    }

    private boolean stop(Process p, long timeoutMs) throws IOException, InterruptedException {
        signal("TERM", p);
        boolean exited = p.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
        if (!exited) {
            signal("KILL", p);
            p.waitFor();
        }
        return exited;
    }

    /** Starts a second process on the shared socket, waits until its health check passes, then stops the old one. */
    public void replace(long timeoutMs) throws IOException, InterruptedException, NodeException {
        if (sharedSocket == null) {
            throw new NodeException(name + ": can't be replaced: the laboratory does not hold its listening socket");
        }
        Process old = latestProcess();
        int slot = 1 - adminSlot;
        launch(slot);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (!call("health", slot).startsWith("ACK")) {
            if (isDestroyed()) {
                throw new InterruptedException("the run is over");
            }
            if (!latestProcess().isAlive() || System.nanoTime() > deadline) {
                throw new NodeException(name + ": the replacement process did not become healthy: " + log.lastLines());
            }
            Thread.sleep(POLL_PERIOD_MS);
        }
        observations.add(
                EventType.NODE,
                name,
                null,
                null,
                null,
                "serving",
                latestProcess().pid(),
                0);
        stop(old, timeoutMs);
    }

    /** Returns the CPU time ("cpu_s") and memory ("rss_mb") of the latest process, and the number of process starts ("starts"). */
    public synchronized Map<String, Double> resourceUsage() {
        Map<String, Double> usage = new TreeMap<>();
        usage.put("starts", (double) processes.size());
        if (isRunning()) {
            latestProcess().info().totalCpuDuration().ifPresent(d -> usage.put("cpu_s", d.toMillis() / 1e3));
            try {
                for (String line :
                        Files.readAllLines(Path.of("/proc/" + latestProcess().pid() + "/status"))) {
                    if (line.startsWith("VmRSS:")) {
                        usage.put("rss_mb", Double.parseDouble(line.replaceAll("\\D", "")) / 1024);
                    }
                }
            } catch (IOException e) {
                // The process has ended, or the system has no /proc.
            }
        }
        return usage;
    }

    /** Kills all of its processes and their descendants, and prevents further starts. */
    public void destroy() {
        synchronized (this) {
            destroyed = true;
            for (Process p : processes) {
                p.descendants().forEach(ProcessHandle::destroyForcibly);
                p.destroyForcibly();
            }
        }
        for (Process p : processes) {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try {
            if (sharedSocket != null) {
                sharedSocket.close();
            }
        } catch (IOException e) {
            // Closed when the laboratory exits.
        }
    }

    private static void deleteRecursively(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (java.util.stream.Stream<Path> all = Files.walk(folder)) {
                for (Path p : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
    }
}

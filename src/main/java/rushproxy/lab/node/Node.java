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
import rushproxy.lab.world.Observation.What;
import rushproxy.lab.world.Observations;
import rushproxy.lab.world.World;

/**
 * One sidecar of a run: its folder (configuration, log, what outlives its process) and its processes, of which there are
 * two while one replaces the other. Its calls block and belong to one thread; {@link #destroy} may come from any, and leaves
 * no process of it.
 */
public final class Node {
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long POLL_PERIOD_MS = 20;
    private static final int CALL_TIMEOUT_MS = 3_000;
    private static final int NOT_SERVING_CALL_TIMEOUT_MS = 200;
    /** No reload comes in a program's first second. */
    private static final long MIN_RELOAD_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A node that can't be had; the message is for the one who reads the terminal. */
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
    private final Observations observations;
    private final Path folder;
    private final NodeLog log;
    private final UniformRandomProvider random;
    private final ProcessReaper keeper;
    private final List<Process> processes = new ArrayList<>();
    private Build build;
    private SharedSocket sharedSocket;
    /** Which of the two addresses for operators the process that was started last has. */
    private int adminSlot;

    /** When the process that was started last was. */
    private long launchedNanos;
    /** How much its processes had written when the last one was started. */
    private long logLengthAtLaunch;
    /** When processes were first asked to leave, by their ids. */
    private final Map<Long, Long> termSentAtUs = new ConcurrentHashMap<>();

    private boolean destroyed;
    /** Null where its processes meet the machine as it is. */
    private SystemFaults systemFaults;

    private final Lock lifecycleLock = new ReentrantLock();

    public Node(
            int number,
            Scenario scenario,
            World world,
            Addresses addresses,
            Observations observations,
            Path folder,
            Build build,
            UniformRandomProvider random,
            ProcessReaper keeper) {
        this.keeper = keeper;
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

    /** From the next start on it runs this program. */
    public void useBuild(Build next) {
        build = next;
    }

    /** Its processes are started with this library of faults, none of which is on yet. */
    public void enableSystemFaults(Path library, long seed) throws IOException {
        Files.createDirectories(folder);
        systemFaults = SystemFaults.create(library, folder.resolve("faults"), seed);
    }

    /** Held by whoever ends this node's process and starts the next. */
    public Lock lifecycleLock() {
        return lifecycleLock;
    }

    /** Null where it has none. */
    public SystemFaults systemFaults() {
        return systemFaults;
    }

    /** What its processes have written. */
    public List<String> log() throws IOException {
        return log.lines();
    }

    /** Its clients' socket is the laboratory's from now on, inherited by each process as descriptor 0. */
    public void useSharedSocket() throws IOException {
        sharedSocket = new SharedSocket(addresses.listen(number));
    }

    /** Between two signals of a series. */
    private static final long REPEATED_SIGNAL_DELAY_MS = 100;

    /** Starts its process; {@link #awaitReady} tells when it serves. A {@code $TMPDIR} of before is emptied. */
    public void start() throws IOException, InterruptedException, NodeException {
        if (sharedSocket == null) {
            requireFree(addresses.listen(number), "clients");
        }
        requireFree(addresses.admin(number, 0), "operators");
        Path kept = folder.resolve("tmp");
        deleteRecursively(kept);
        Files.createDirectories(kept);
        launch(0);
    }

    private void requireFree(InetSocketAddress address, String whose) throws NodeException {
        try {
            new AddressProbe(address).close();
        } catch (IOException e) {
            throw new NodeException(name + ": the address for its " + whose + ", " + Addresses.text(address)
                    + ", is taken by somebody else");
        }
    }

    private void launch(int process) throws IOException, InterruptedException {
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
        builder.environment().put("BALANCER_LISTEN", Addresses.text(addresses.listen(number)));
        builder.environment().put("BALANCER_ADMIN_ADDR", Addresses.text(addresses.admin(number, process)));
        // For commands to a run that is on its way.
        Files.writeString(folder.resolve("admin"), Addresses.text(addresses.admin(number, process)) + "\n");
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
            keeper.register(p);
            adminSlot = process;
            observations.see(What.NODE, name, null, null, null, "started", p.pid(), 0);
            p.onExit().thenAccept(this::recordExit);
        }
    }

    /** By its own words a process that left took nobody any more a while before its end was heard of. */
    private void recordExit(Process gone) {
        Long termUs = termSentAtUs.remove(gone.pid());
        boolean left = termUs != null && gone.exitValue() == 0;
        OptionalLong leftAfterUs = left ? log.lastShutdownDurationUs() : OptionalLong.empty();
        long leftUs = leftAfterUs.isPresent() ? termUs + leftAfterUs.getAsLong() : 0;
        observations.see(What.NODE, name, null, null, null, "exit " + gone.exitValue(), gone.pid(), leftUs);
    }

    private Process latestProcess() {
        return processes.get(processes.size() - 1);
    }

    public synchronized boolean isRunning() {
        return !processes.isEmpty() && latestProcess().isAlive();
    }

    /** Of the process that was started last, while it runs. */
    synchronized OptionalLong pid() {
        return isRunning() ? OptionalLong.of(latestProcess().pid()) : OptionalLong.empty();
    }

    /** Throws, with the end of its log, where it ends before it is ready, or is not within 30 s. */
    public void awaitReady() throws InterruptedException, NodeException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        boolean serving = false;
        while (true) {
            if (sharedSocket != null && !serving && log.reportsServing(logLengthAtLaunch)) {
                serving = true;
                observations.see(What.NODE, name, null, null, null, "serving", latestProcess().pid(), 0);
            }
            // Before somebody takes from a socket that is held nobody answers.
            if (isReady(sharedSocket == null || serving ? CALL_TIMEOUT_MS : NOT_SERVING_CALL_TIMEOUT_MS)) {
                break;
            }
            if (!isRunning()) {
                if (isDestroyed()) {
                    throw new InterruptedException("the run is over");
                }
                throw new NodeException(
                        name + " ended before it was ready, with " + latestProcess().exitValue() + ": " + log.lastLines());
            }
            if (System.nanoTime() > until) {
                throw new NodeException(name + " was not ready after " + READY_TIMEOUT_MS / 1_000 + " s: " + log.lastLines());
            }
            Thread.sleep(POLL_PERIOD_MS);
        }
        observations.see(What.NODE, name, null, null, null, "ready", latestProcess().pid(), 0);
    }

    private synchronized boolean isDestroyed() {
        return destroyed;
    }

    private boolean isReady(int patienceMs) {
        try (Socket s = new Socket()) {
            s.connect(addresses.listen(number), patienceMs);
            s.setSoTimeout(patienceMs);
            s.getOutputStream()
                    .write("GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            byte[] head = s.getInputStream().readNBytes(12);
            return new String(head, StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** An operators' call to the process that was started last; the answer, or why there is none. */
    public String call(String line) {
        return call(line, adminSlot);
    }

    private String call(String line, int process) {
        String answer;
        long sentUs = observations.us();
        try (Socket s = new Socket()) {
            s.connect(addresses.admin(number, process), CALL_TIMEOUT_MS);
            s.setSoTimeout(CALL_TIMEOUT_MS);
            s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            answer = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        } catch (IOException e) {
            answer = "no answer: " + e.getMessage();
        }
        observations.see(What.CALLED, name, null, null, null, line + " -> " + answer, 0, sentUs);
        return answer;
    }

    /** Sends a signal to the process that was started last. */
    public void signal(String signal) throws IOException, InterruptedException {
        signal(signal, latestProcess());
    }

    private void signal(String signal, Process to) throws IOException, InterruptedException {
        if (to.isAlive()) {
            if (signal.equals("TERM")) {
                termSentAtUs.putIfAbsent(to.pid(), observations.us());
            }
            observations.see(What.NODE, name, null, null, null, signal.toLowerCase(java.util.Locale.ROOT), to.pid(), 0);
            new ProcessBuilder("kill", "-" + signal, Long.toString(to.pid()))
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
            observations.see(
                    What.NODE,
                    name,
                    null,
                    null,
                    null,
                    signal.toLowerCase(java.util.Locale.ROOT) + " sent",
                    to.pid(),
                    0);
        }
    }

    /** Writes the configuration anew, with discovery where it is now, and asks for a reload. */
    public void reload() throws IOException, InterruptedException {
        TimeUnit.NANOSECONDS.sleep(launchedNanos + MIN_RELOAD_DELAY_NANOS - System.nanoTime());
        Files.write(
                folder.resolve("config.json"),
                NodeConfig.write(
                        scenario, addresses, number, world.discovery(number), world.known(number), random.nextLong()));
        signal("HUP");
    }

    /** Asks the process to leave and sends SIGKILL {@code patienceMs} later; true where it left by itself. */
    public boolean stop(long patienceMs) throws IOException, InterruptedException {
        return stop(latestProcess(), patienceMs);
    }

    /** As {@link #stop(long)}, and asks for a reload and once more for the end soon after the first time. */
    public void stopWithRepeatedSignals(long patienceMs) throws IOException, InterruptedException {
        Process p = latestProcess();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        signal("TERM", p);
        signal("HUP", p);
        p.waitFor(REPEATED_SIGNAL_DELAY_MS, TimeUnit.MILLISECONDS);
        signal("TERM", p);
        if (!p.waitFor(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS)) {
            signal("KILL", p);
            p.waitFor();
        }
    }

    private boolean stop(Process p, long patienceMs) throws IOException, InterruptedException {
        signal("TERM", p);
        boolean left = p.waitFor(patienceMs, TimeUnit.MILLISECONDS);
        if (!left) {
            signal("KILL", p);
            p.waitFor();
        }
        return left;
    }

    /** A second process beside the running one takes over: its health says yes, then the old one is asked to leave. */
    public void replace(long patienceMs) throws IOException, InterruptedException, NodeException {
        if (sharedSocket == null) {
            throw new NodeException(name + ": can't be replaced: its clients' socket is not the laboratory's");
        }
        Process old = latestProcess();
        int process = 1 - adminSlot;
        launch(process);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (!call("health", process).startsWith("ACK")) {
            if (isDestroyed()) {
                throw new InterruptedException("the run is over");
            }
            if (!latestProcess().isAlive() || System.nanoTime() > until) {
                throw new NodeException(name + ": the process that was to take over did not: " + log.lastLines());
            }
            Thread.sleep(POLL_PERIOD_MS);
        }
        observations.see(What.NODE, name, null, null, null, "serving", latestProcess().pid(), 0);
        stop(old, patienceMs);
    }

    /** What the process that was started last has cost so far, "cpu_s" and "rss_mb", and how many "starts" there were. */
    public synchronized Map<String, Double> resourceUsage() {
        Map<String, Double> cost = new TreeMap<>();
        cost.put("starts", (double) processes.size());
        if (isRunning()) {
            latestProcess().info().totalCpuDuration().ifPresent(d -> cost.put("cpu_s", d.toMillis() / 1e3));
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + latestProcess().pid() + "/status"))) {
                    if (line.startsWith("VmRSS:")) {
                        cost.put("rss_mb", Double.parseDouble(line.replaceAll("\\D", "")) / 1024);
                    }
                }
            } catch (IOException e) {
                // Not a machine that tells.
            }
        }
        return cost;
    }

    /** Ends all of its processes at once, by id, whatever state they are in. */
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
            // The laboratory's end closes it.
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

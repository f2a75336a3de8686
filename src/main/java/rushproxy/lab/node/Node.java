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
 * One sidecar of a run: its folder (configuration, log, what outlives its process) and its processes, of which there are
 * two while one replaces the other. Its calls block and belong to one thread; {@link #end} may come from any, and leaves
 * no process of it.
 */
public final class Node {
    private static final long READY_MS = 30_000;
    private static final long POLL_MS = 20;
    private static final int CALL_MS = 3_000;
    private static final int FIRST_CALL_MS = 200;
    /** No reload comes in a program's first second. */
    private static final long FIRST_RELOAD_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A node that can't be had; the message is for the one who reads the terminal. */
    public static final class Trouble extends Exception {
        private static final long serialVersionUID = 1L;

        Trouble(String message) {
            super(message);
        }
    }

    public final int number;
    public final String name;
    private final Scenario scenario;
    private final World world;
    private final Addresses addresses;
    private final ObservationLog seen;
    private final Path folder;
    private final NodeLog log;
    private final UniformRandomProvider random;
    private final Keeper keeper;
    private final List<Process> processes = new ArrayList<>();
    private Build build;
    private SharedSocket shared;
    /** Which of the two addresses for operators the process that was started last has. */
    private int current;

    /** When the process that was started last was. */
    private long launchedNanos;
    /** How much its processes had written when the last one was started. */
    private long logBefore;
    /** When processes were first asked to leave, by their ids. */
    private final Map<Long, Long> termsUs = new ConcurrentHashMap<>();

    private boolean ended;
    /** Null where its processes meet the machine as it is. */
    private SystemFaults systemFaults;

    private final Lock lifecycle = new ReentrantLock();

    public Node(
            int number,
            Scenario scenario,
            World world,
            Addresses addresses,
            ObservationLog seen,
            Path folder,
            Build build,
            UniformRandomProvider random,
            Keeper keeper) {
        this.keeper = keeper;
        this.number = number;
        this.name = "n" + number;
        this.scenario = scenario;
        this.world = world;
        this.addresses = addresses;
        this.seen = seen;
        this.folder = folder;
        log = new NodeLog(folder.resolve("log"));
        this.build = build;
        this.random = random;
    }

    /** From the next start on it runs this program. */
    public void build(Build next) {
        build = next;
    }

    /** Its processes are started with this library of faults, none of which is on yet. */
    public void withSystemFaults(Path library, long seed) throws IOException {
        Files.createDirectories(folder);
        systemFaults = SystemFaults.with(library, folder.resolve("faults"), seed);
    }

    /** Held by whoever ends this node's process and starts the next. */
    public Lock lifecycle() {
        return lifecycle;
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
    public void share() throws IOException {
        shared = new SharedSocket(addresses.listen(number));
    }

    /** Between two signals of a series. */
    private static final long SERIES_MS = 100;

    /** Starts its process; {@link #awaitReady} tells when it serves. A {@code $TMPDIR} of before is emptied. */
    public void start() throws IOException, InterruptedException, Trouble {
        if (shared == null) {
            free(addresses.listen(number), "clients");
        }
        free(addresses.admin(number, 0), "operators");
        Path kept = folder.resolve("tmp");
        empty(kept);
        Files.createDirectories(kept);
        launch(0);
    }

    private void free(InetSocketAddress address, String whose) throws Trouble {
        try {
            new AddressProbe(address).close();
        } catch (IOException e) {
            throw new Trouble(name + ": the address for its " + whose + ", " + Addresses.format(address)
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
        builder.environment().put("BALANCER_LISTEN", Addresses.format(addresses.listen(number)));
        builder.environment().put("BALANCER_ADMIN_ADDR", Addresses.format(addresses.admin(number, process)));
        // For commands to a run that is on its way.
        Files.writeString(folder.resolve("admin"), Addresses.format(addresses.admin(number, process)) + "\n");
        builder.environment()
                .put("TMPDIR", folder.resolve("tmp").toAbsolutePath().toString());
        if (systemFaults != null) {
            builder.environment().putAll(systemFaults.environment());
        }
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.file().toFile()));
        logBefore = log.length();
        launchedNanos = System.nanoTime();
        synchronized (this) {
            if (ended) {
                throw new InterruptedException("the run is over");
            }
            Process p;
            if (shared == null) {
                p = builder.redirectInput(ProcessBuilder.Redirect.from(new java.io.File("/dev/null")))
                        .start();
            } else {
                builder.environment().put("BALANCER_ACCEPT_FD", "0");
                p = shared.inherited(() ->
                        builder.redirectInput(ProcessBuilder.Redirect.INHERIT).start());
            }
            processes.add(p);
            keeper.keep(p);
            current = process;
            seen.add(EventType.NODE, name, null, null, null, "started", p.pid(), 0);
            p.onExit().thenAccept(this::ended);
        }
    }

    /** By its own words a process that left took nobody any more a while before its end was heard of. */
    private void ended(Process gone) {
        Long termUs = termsUs.remove(gone.pid());
        boolean left = termUs != null && gone.exitValue() == 0;
        OptionalLong leftAfterUs = left ? log.lastLeftAfterUs() : OptionalLong.empty();
        long leftUs = leftAfterUs.isPresent() ? termUs + leftAfterUs.getAsLong() : 0;
        seen.add(EventType.NODE, name, null, null, null, "exit " + gone.exitValue(), gone.pid(), leftUs);
    }

    private Process last() {
        return processes.get(processes.size() - 1);
    }

    public synchronized boolean running() {
        return !processes.isEmpty() && last().isAlive();
    }

    /** Of the process that was started last, while it runs. */
    synchronized OptionalLong pid() {
        return running() ? OptionalLong.of(last().pid()) : OptionalLong.empty();
    }

    /** Throws, with the end of its log, where it ends before it is ready, or is not within 30 s. */
    public void awaitReady() throws InterruptedException, Trouble {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        boolean serving = false;
        while (true) {
            if (shared != null && !serving && log.saysItServes(logBefore)) {
                serving = true;
                seen.add(EventType.NODE, name, null, null, null, "serving", last().pid(), 0);
            }
            // Before somebody takes from a socket that is held nobody answers.
            if (ready(shared == null || serving ? CALL_MS : FIRST_CALL_MS)) {
                break;
            }
            if (!running()) {
                if (isEnded()) {
                    throw new InterruptedException("the run is over");
                }
                throw new Trouble(
                        name + " ended before it was ready, with " + last().exitValue() + ": " + log.lastWords());
            }
            if (System.nanoTime() > until) {
                throw new Trouble(name + " was not ready after " + READY_MS / 1_000 + " s: " + log.lastWords());
            }
            Thread.sleep(POLL_MS);
        }
        seen.add(EventType.NODE, name, null, null, null, "ready", last().pid(), 0);
    }

    private synchronized boolean isEnded() {
        return ended;
    }

    private boolean ready(int patienceMs) {
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
        return call(line, current);
    }

    private String call(String line, int process) {
        String answer;
        long sentUs = seen.nowUs();
        try (Socket s = new Socket()) {
            s.connect(addresses.admin(number, process), CALL_MS);
            s.setSoTimeout(CALL_MS);
            s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            answer = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        } catch (IOException e) {
            answer = "no answer: " + e.getMessage();
        }
        seen.add(EventType.CALLED, name, null, null, null, line + " -> " + answer, 0, sentUs);
        return answer;
    }

    /** Sends a signal to the process that was started last. */
    public void signal(String signal) throws IOException, InterruptedException {
        signal(signal, last());
    }

    private void signal(String signal, Process to) throws IOException, InterruptedException {
        if (to.isAlive()) {
            if (signal.equals("TERM")) {
                termsUs.putIfAbsent(to.pid(), seen.nowUs());
            }
            seen.add(EventType.NODE, name, null, null, null, signal.toLowerCase(java.util.Locale.ROOT), to.pid(), 0);
            new ProcessBuilder("kill", "-" + signal, Long.toString(to.pid()))
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
            seen.add(
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

    /** Writes the configuration anew, with discovery where it is now, and asks for a reload. */
    public void reload() throws IOException, InterruptedException {
        TimeUnit.NANOSECONDS.sleep(launchedNanos + FIRST_RELOAD_NANOS - System.nanoTime());
        Files.write(
                folder.resolve("config.json"),
                NodeConfig.write(
                        scenario, addresses, number, world.discovery(number), world.known(number), random.nextLong()));
        signal("HUP");
    }

    /** Asks the process to leave and sends SIGKILL {@code patienceMs} later; true where it left by itself. */
    public boolean stop(long patienceMs) throws IOException, InterruptedException {
        return stop(last(), patienceMs);
    }

    /** As {@link #stop(long)}, and asks for a reload and once more for the end soon after the first time. */
    public void stopBySeries(long patienceMs) throws IOException, InterruptedException {
        Process p = last();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        signal("TERM", p);
        signal("HUP", p);
        p.waitFor(SERIES_MS, TimeUnit.MILLISECONDS);
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
    public void replace(long patienceMs) throws IOException, InterruptedException, Trouble {
        if (shared == null) {
            throw new Trouble(name + ": can't be replaced: its clients' socket is not the laboratory's");
        }
        Process old = last();
        int process = 1 - current;
        launch(process);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (!call("health", process).startsWith("ACK")) {
            if (isEnded()) {
                throw new InterruptedException("the run is over");
            }
            if (!last().isAlive() || System.nanoTime() > until) {
                throw new Trouble(name + ": the process that was to take over did not: " + log.lastWords());
            }
            Thread.sleep(POLL_MS);
        }
        seen.add(EventType.NODE, name, null, null, null, "serving", last().pid(), 0);
        stop(old, patienceMs);
    }

    /** What the process that was started last has cost so far, "cpu_s" and "rss_mb", and how many "starts" there were. */
    public synchronized Map<String, Double> cost() {
        Map<String, Double> cost = new TreeMap<>();
        cost.put("starts", (double) processes.size());
        if (running()) {
            last().info().totalCpuDuration().ifPresent(d -> cost.put("cpu_s", d.toMillis() / 1e3));
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + last().pid() + "/status"))) {
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
    public void end() {
        synchronized (this) {
            ended = true;
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
            if (shared != null) {
                shared.close();
            }
        } catch (IOException e) {
            // The laboratory's end closes it.
        }
    }

    private static void empty(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (java.util.stream.Stream<Path> all = Files.walk(folder)) {
                for (Path p : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
    }
}

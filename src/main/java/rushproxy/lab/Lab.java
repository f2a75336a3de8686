package rushproxy.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import rushproxy.lab.check.Checker;
import rushproxy.lab.check.CpuStarvation;
import rushproxy.lab.check.RecordedRun;
import rushproxy.lab.check.Violation;
import rushproxy.lab.node.Build;
import rushproxy.lab.node.Node;
import rushproxy.lab.node.ProcessReaper;
import rushproxy.lab.node.ProcessorWaitMonitor;
import rushproxy.lab.node.SystemFaults;
import rushproxy.lab.report.Figures;
import rushproxy.lab.report.Report;
import rushproxy.lab.report.Summary;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioReader;
import rushproxy.lab.world.Addresses;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.ObservationLog;
import rushproxy.lab.world.World;

/**
 * One run of a scenario: real sidecar processes in a world that this process plays. Whatever happens, also when this
 * process is asked to end, each sidecar that it started is ended by its id and what was seen until then is reported.
 */
public final class Lab {
    /** After the last first try: retries, late answers and what faults have still to end. */
    private static final long TAIL_MS = 10_000;
    /** SIGKILL comes the longest deadline, or this, and 0.7 s after SIGTERM, as the protocol has it. */
    private static final long LONGEST_MS = 3_000;

    private static final long THEN_KILL_MS = 700;
    private static final int RELOADS_IN_A_ROW = 3;
    private static final Set<String> REPLACES_PROCESS =
            Set.of("kill", "start", "restart", "restart-series", "jar", "replace");
    /** Calls on sockets that fail for a moment and end no connection. */
    private static final List<SystemFaults.Call> SOCKET_CALLS = List.of(
            SystemFaults.Call.OPTION_FAILS,
            SystemFaults.Call.NAME_FAILS,
            SystemFaults.Call.REGISTER_FAILS,
            SystemFaults.Call.READ_FAILS,
            SystemFaults.Call.SEND_FAILS,
            SystemFaults.Call.SHUTDOWN_FAILS);

    /** Words in a sidecar's log that tell of a fault of its own. */
    private static final List<String> CONFESSIONS = List.of(
            "invariant_violations=",
            "the module failed",
            "an action failed",
            "a handler failed",
            "recurring work failed",
            "a client's connection failed");

    /** Hears how a run goes on, once a second. */
    public interface Progress {
        void says(String line);
    }

    private final Scenario scenario;
    private final Build build;
    private final Path folder;
    private final Progress progress;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Map<String, Double>> costs = new TreeMap<>();
    /** What went wrong with the nodes themselves: a run with any of it is no run of the scenario. */
    private final ConcurrentLinkedQueue<String> troubles = new ConcurrentLinkedQueue<>();

    private final Counts counts = new Counts();
    private final ObservationLog seen = new ObservationLog(counts::add);
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final CompletableFuture<Void> reported = new CompletableFuture<>();
    private long endedUs = Long.MAX_VALUE;

    /** {@code folder} is made, and gets the report and a folder for each sidecar. */
    public Lab(Scenario scenario, Build build, Path folder, Progress progress) {
        this.scenario = scenario;
        this.build = build;
        this.folder = folder;
        this.progress = progress;
    }

    /** Plays the scenario to its end; returns what {@code summary.json} says too. */
    public Summary run() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Thread hook = new Thread(this::stopAndWait, "lab-stop");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            return play();
        } finally {
            reported.complete(null);
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                // The process is on its way out already: the hook waits for this.
            }
        }
    }

    /** Ends the run where it is: no process is left, and the report says that it was stopped. */
    public void stop() {
        stopped.complete(null);
    }

    private void stopAndWait() {
        stop();
        nodes.forEach(Node::destroy);
        try {
            reported.get(20, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            // The runtime ends all the same.
        }
    }

    /** Each pair of sidecar and server, and of sidecars, has a listening socket here, so that each can be cut by itself. */
    static void room(int sidecars, int servers, long descriptors) throws IOException {
        long needed = (long) sidecars * servers + (long) sidecars * sidecars + 4L * sidecars + 512;
        if (needed > descriptors) {
            throw new IOException("fleet.nodes, servers: " + sidecars + " sidecars and " + servers + " servers need "
                    + needed + " descriptors here, and " + descriptors + " may be open");
        }
    }

    private static long descriptors() {
        return java.lang.management.ManagementFactory.getOperatingSystemMXBean()
                        instanceof com.sun.management.UnixOperatingSystemMXBean unix
                ? unix.getMaxFileDescriptorCount()
                : Long.MAX_VALUE;
    }

    private Summary play() throws IOException, InterruptedException {
        room(scenario.fleet().nodes(), ScenarioReader.serverNames(scenario).size(), descriptors());
        String failure = null;
        Histogram sends = new Histogram(3);
        Histogram beats = new Histogram(3);
        ExecutorService hands = Executors.newCachedThreadPool();
        ScheduledExecutorService times = Executors.newSingleThreadScheduledExecutor();
        try (Addresses addresses = Addresses.claim();
                ProcessReaper keeper = new ProcessReaper()) {
            World world = new World(scenario, seen, addresses);
            try {
                world.open();
                World.warmUp(scenario);
                startAll(world, addresses, hands, keeper);
                progress.says(scenario.name() + ": " + nodes.size() + " sidecars are ready; seed " + scenario.seed());
                CompletableFuture<Void> settled = world.startTraffic();
                long zero = System.nanoTime();
                for (Scenario.Fault f : scenario.faults()) {
                    // By the clock of what is seen: a fault that is noted before its time is judged as one of another
                    // moment.
                    long inUs = Math.max(0, f.atUs() - seen.nowUs());
                    times.schedule(() -> begin(f, world, times, hands), inUs, TimeUnit.MICROSECONDS);
                }
                ProcessorWaitMonitor waits = new ProcessorWaitMonitor(seen, world.schedstatPath());
                times.scheduleWithFixedDelay(
                        () -> waits.sample(nodes), 0, ProcessorWaitMonitor.SAMPLE_PERIOD_MS, TimeUnit.MILLISECONDS);
                times.scheduleAtFixedRate(
                        () -> progress.says(counts.line((System.nanoTime() - zero) / 1_000_000_000)),
                        1,
                        1,
                        TimeUnit.SECONDS);
                await(settled, world);
            } catch (Node.NodeException e) {
                failure = e.getMessage();
            } catch (IOException e) {
                failure = "" + e.getMessage();
            } finally {
                times.shutdownNow();
                measure(world);
                endedUs = seen.nowUs();
                nodes.forEach(Node::destroy);
                hands.shutdownNow();
                hands.awaitTermination(10, TimeUnit.SECONDS);
                world.close();
                sends = world.sendLateness();
                beats = world.loopLateness();
            }
        }
        seen.all().stream()
                .filter(o -> o.what() == Observation.EventType.TROUBLE)
                .limit(5)
                .forEach(o -> troubles.add(o.text()));
        if (failure == null && !troubles.isEmpty()) {
            failure = String.join("; ", troubles);
        }
        RecordedRun run = new RecordedRun(scenario, seen.all());
        Summary summary = summary(run, failure, sends, beats);
        Report.write(folder, run, summary);
        return summary;
    }

    /** Empty where the scenario asks for no faults of the system, or the machine has no C compiler. */
    private Optional<Path> library() throws IOException, InterruptedException {
        if (scenario.faults().stream().noneMatch(f -> f.what().equals("system"))) {
            return Optional.empty();
        }
        Optional<Path> library = SystemFaults.compile(folder.resolve("library"));
        if (library.isEmpty()) {
            progress.says("no C compiler here: the faults of the system are left out");
        }
        return library;
    }

    private void startAll(World world, Addresses addresses, ExecutorService hands, ProcessReaper keeper)
            throws IOException, InterruptedException, Node.NodeException {
        Build first = scenario.fleet().jar() == null
                ? build
                : build.withJar(scenario.fleet().jar());
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(scenario.seed());
        Optional<Path> library = library();
        boolean replaced = scenario.faults().stream().anyMatch(f -> f.what().equals("replace"));
        List<CompletableFuture<Void>> ready = new ArrayList<>();
        for (int i = 0; i < scenario.fleet().nodes(); i++) {
            Node node = new Node(
                    i,
                    scenario,
                    world,
                    addresses,
                    seen,
                    folder.resolve("n" + i),
                    first,
                    RandomSource.XO_SHI_RO_256_PP.create(random.nextLong()),
                    keeper);
            nodes.add(node);
            if (library.isPresent()) {
                node.enableSystemFaults(library.get(), scenario.seed() * 1_000 + i);
            }
            if (stopped.isDone()) {
                return;
            }
            if (replaced) {
                node.useSharedSocket();
            }
            node.start();
            ready.add(CompletableFuture.runAsync(
                    () -> {
                        try {
                            node.awaitReady();
                        } catch (Exception e) {
                            throw new CompletionException(e);
                        }
                    },
                    hands));
        }
        for (CompletableFuture<Void> r : ready) {
            try {
                CompletableFuture.anyOf(r, stopped).get();
            } catch (ExecutionException e) {
                if (e.getCause() instanceof Node.NodeException trouble) {
                    throw trouble;
                }
                throw new IOException(e.getCause());
            }
        }
    }

    private void await(CompletableFuture<Void> settled, World world) throws InterruptedException {
        long longest = scenario.classes().stream()
                .mapToLong(Scenario.RequestClass::deadlineUs)
                .max()
                .orElse(0);
        long lastFault = scenario.faults().stream()
                .mapToLong(f -> f.atUs() + f.forUs())
                .max()
                .orElse(0);
        long mostUs =
                Math.max(scenario.lengthUs() + longest, Math.min(lastFault, scenario.lengthUs())) + TAIL_MS * 1_000;
        try {
            CompletableFuture.anyOf(settled, stopped).get(mostUs, TimeUnit.MICROSECONDS);
        } catch (ExecutionException e) {
            troubles.add("the clients failed: " + e.getCause());
        } catch (TimeoutException e) {
            troubles.add("the clients had not settled " + TAIL_MS / 1_000 + " s after the end");
        }
        world.stopTraffic();
    }

    private void begin(Scenario.Fault f, World world, ScheduledExecutorService times, ExecutorService hands) {
        progress.says(String.format(Locale.ROOT, "%8.1f s  %s", f.atUs() / 1e6, f.describe()));
        seen.add(Observation.EventType.FAULT, null, null, null, null, f.describe(), f.forUs() / 1e6, 0);
        if (f.nodes().isEmpty() || f.what().startsWith("list-")) {
            world.startFault(f);
            return;
        }
        int i = 0;
        for (String name : f.nodes()) {
            Node node = nodes.get(Integer.parseInt(name.substring(1)));
            times.schedule(
                    () -> hands.execute(() -> act(f, node, world)),
                    Math.round(i++ * f.stagger() * 1e6),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** One node's part in a fault. What it throws is the run's trouble, not only this thread's. */
    private void act(Scenario.Fault f, Node node, World world) {
        try {
            if (REPLACES_PROCESS.contains(f.what())) {
                replaceProcess(f, node, world);
            } else {
                actOnProcess(f, node, world);
            }
        } catch (InterruptedException e) {
            // The run is over.
        } catch (IOException | Node.NodeException | RuntimeException e) {
            if (!stopped.isDone()) {
                troubles.add(e.getMessage() == null ? e.toString() : e.getMessage());
            }
        }
    }

    /** One after the other for each node: a platform does not start two processes in one's place. */
    private void replaceProcess(Scenario.Fault f, Node node, World world)
            throws IOException, InterruptedException, Node.NodeException {
        node.lifecycleLock().lockInterruptibly();
        try {
            switch (f.what()) {
                case "kill" -> {
                    node.signal("KILL");
                    if (f.forUs() > 0) {
                        TimeUnit.MICROSECONDS.sleep(f.forUs());
                        again(node);
                    }
                }
                case "start" -> {
                    if (!node.isRunning()) {
                        again(node);
                    }
                }
                case "restart" -> restart(node, world);
                case "restart-series" -> restartBySeries(node, world);
                case "jar" -> {
                    node.useBuild(build.withJar(f.jar()));
                    restart(node, world);
                }
                case "replace" -> node.replace(patienceMs());
                default -> throw new IllegalStateException(f.what());
            }
        } finally {
            node.lifecycleLock().unlock();
        }
    }

    private void actOnProcess(Scenario.Fault f, Node node, World world) throws IOException, InterruptedException {
        switch (f.what()) {
            case "reload-series" -> reload(node, world, RELOADS_IN_A_ROW);
            case "stall" -> {
                node.signal("STOP");
                TimeUnit.MICROSECONDS.sleep(f.forUs());
                node.signal("CONT");
            }
            case "system" -> system(f, node);
            case "call" -> node.call(f.call());
            case "call-previous" -> node.callPrevious(f.call());
            case "discovery-moves" -> reload(node, world, 1);
            default -> throw new IllegalStateException(f.what());
        }
    }

    private void system(Scenario.Fault f, Node node) throws InterruptedException {
        SystemFaults faults = node.systemFaults();
        if (faults == null) {
            // Said once, at the start.
            return;
        }
        switch (f.call()) {
            case "wall-clock" -> faults.stepWallClock(Math.round(f.factor()));
            case "calls" -> {
                faults.setProbability(SystemFaults.Call.ACCEPT_FAILS, f.factor());
                faults.setProbability(SystemFaults.Call.SOCKET_FAILS, f.factor() / 2);
                faults.setProbability(SystemFaults.Call.CONNECT_FAILS, f.factor() / 2);
                faults.setProbability(SystemFaults.Call.WAIT_INTERRUPTED, f.factor() / 4);
                faults.setProbability(SystemFaults.Call.READ_INTERRUPTED, f.factor() / 4);
                faults.setProbability(SystemFaults.Call.READ_SHORT, 2 * f.factor());
                faults.setProbability(SystemFaults.Call.WRITE_SHORT, 2 * f.factor());
            }
            case "sockets" -> SOCKET_CALLS.forEach(call -> faults.setProbability(call, f.factor()));
            case "established" -> faults.setProbability(SystemFaults.Call.ESTABLISHED_FAILS, f.factor());
            case "files" -> {
                faults.setProbability(SystemFaults.Call.FILE_WRITE_FAILS, f.factor());
                faults.setProbability(SystemFaults.Call.FILE_SYNC_FAILS, f.factor());
                faults.setProbability(SystemFaults.Call.FILE_RENAME_FAILS, f.factor());
            }
            default -> throw new IllegalStateException(f.call());
        }
        TimeUnit.MICROSECONDS.sleep(f.forUs());
        faults.clear();
    }

    /** What the sidecars say of themselves that no run may have, and ends of processes that nobody asked for. */
    private List<Violation> confessions() throws IOException {
        List<Violation> found = new ArrayList<>();
        for (Node node : nodes) {
            for (String line : node.log()) {
                if (CONFESSIONS.stream().anyMatch(line::contains)) {
                    found.add(new Violation("invariant", 0, null, node.name + ": " + line));
                }
            }
        }
        Set<String> asked = new HashSet<>();
        for (Observation o : seen.all()) {
            if (o.what() != Observation.EventType.NODE) {
                continue;
            }
            String process = o.node() + " " + Math.round(o.number());
            if (o.text().equals("term") || o.text().equals("kill")) {
                asked.add(process);
            } else if (o.text().startsWith("exit") && !asked.contains(process) && !ending(o.us())) {
                found.add(new Violation("crash", o.us(), null, process + " ended by itself: " + o.text()));
            }
        }
        return found;
    }

    /** The laboratory itself ends all processes in the end. */
    private boolean ending(long us) {
        return us >= endedUs;
    }

    private long patienceMs() {
        long longest = scenario.classes().stream()
                        .mapToLong(Scenario.RequestClass::deadlineUs)
                        .max()
                        .orElse(0)
                / 1_000;
        return Math.min(longest, LONGEST_MS) + THEN_KILL_MS;
    }

    private void restart(Node node, World world) throws IOException, InterruptedException, Node.NodeException {
        world.setNodeLeaving(node.number, true);
        node.stop(patienceMs());
        again(node);
        world.setNodeLeaving(node.number, false);
    }

    /** As {@link #restart}, the signals in a series: a reload just before the end is asked for, another in it, and the end asked for twice. */
    private void restartBySeries(Node node, World world) throws IOException, InterruptedException, Node.NodeException {
        world.moveDiscovery(node.number);
        node.reload();
        world.setNodeLeaving(node.number, true);
        node.stopWithRepeatedSignals(patienceMs());
        again(node);
        world.setNodeLeaving(node.number, false);
    }

    /** Discovery moves some times in a row, each told by SIGHUP, with no pause between them. A platform tells no process that starts or ends. */
    private static void reload(Node node, World world, int times) throws IOException, InterruptedException {
        node.lifecycleLock().lockInterruptibly();
        try {
            for (int i = 0; i < times; i++) {
                world.moveDiscovery(node.number);
                node.reload();
            }
        } finally {
            node.lifecycleLock().unlock();
        }
    }

    private void again(Node node) throws IOException, InterruptedException, Node.NodeException {
        node.start();
        node.awaitReady();
    }

    private void measure(World world) throws InterruptedException {
        for (int i = 0; i < nodes.size(); i++) {
            Map<String, Double> cost = nodes.get(i).resourceUsage();
            long[] peers = world.peerTraffic(i);
            cost.put("datagrams", (double) peers[0]);
            cost.put("datagram_bytes", (double) peers[1]);
            costs.put(nodes.get(i).name, cost);
        }
    }

    private Summary summary(RecordedRun run, String failure, Histogram sends, Histogram beats) throws IOException {
        List<Violation> violations = new ArrayList<>(confessions());
        Checker.all().forEach(c -> violations.addAll(c.check(run)));
        violations.sort(Comparator.comparingLong(Violation::us));
        Figures figures = Figures.of(run, 0, Long.MAX_VALUE);
        Map<String, Double> late = lateness(sends, beats);
        List<String> why = new ArrayList<>();
        String verdict;
        if (failure != null) {
            verdict = "failed";
            why.add(failure);
        } else if (stopped.isDone()) {
            verdict = "stopped";
        } else if (late.get("late_sends") > scenario.lateness().most()) {
            verdict = "void";
            why.add(String.format(
                    Locale.ROOT,
                    "%.1f%% of the first tries left over %d ms late, %.1f%% are allowed: the machine was"
                            + " too slow or too busy",
                    100 * late.get("late_sends"),
                    scenario.lateness().lateUs() / 1_000,
                    100 * scenario.lateness().most()));
        } else {
            why.addAll(Expectations.missed(run, violations));
            CpuStarvation starvation = new CpuStarvation(run);
            Map<String, Integer> rules = new LinkedHashMap<>();
            violations.stream()
                    .filter(v -> !starvation.explains(v))
                    .forEach(v -> rules.merge(v.rule(), 1, Integer::sum));
            rules.forEach((rule, times) -> why.add("rule broken: " + rule + ", " + times + " times"));
            long starved = violations.stream().filter(starvation::explains).count();
            verdict = !why.isEmpty() ? "broken" : starved > 0 ? "void" : "held";
            if (starved > 0) {
                why.add(starved
                        + " requests were lost while the laboratory's loop or their sidecar's waited for a processor for most of"
                        + " their time: the machine had no room");
            }
        }
        return new Summary(scenario.name(), scenario.seed(), verdict, why, figures, violations, late, costs);
    }

    private Map<String, Double> lateness(Histogram sends, Histogram beats) {
        Map<String, Double> late = new TreeMap<>();
        long n = Math.max(1, sends.getTotalCount());
        late.put("send_p99", sends.getValueAtPercentile(99) / 1e3);
        late.put("send_max", sends.getMaxValue() / 1e3);
        late.put("beat_p99", beats.getValueAtPercentile(99) / 1e3);
        late.put("beat_max", beats.getMaxValue() / 1e3);
        long late20 = sends.getTotalCount() == 0
                ? 0
                : sends.getCountBetweenValues(scenario.lateness().lateUs() + 1, Long.MAX_VALUE / 4);
        late.put("late_sends", late20 / (double) n);
        return late;
    }

    /** What the terminal is told once a second. */
    private static final class Counts {
        private int asked;
        private int served;
        private int other;

        synchronized void add(Observation o) {
            if (o.what() == Observation.EventType.SETTLED) {
                if (o.text().startsWith("served")) {
                    served++;
                } else {
                    other++;
                }
            } else if (o.what() == Observation.EventType.ASKED) {
                asked++;
            }
        }

        synchronized String line(long s) {
            String line = String.format(Locale.ROOT, "%8d s  %5d tries, %5d served, %4d not", s, asked, served, other);
            asked = served = other = 0;
            return line;
        }
    }
}

package rushproxy.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rushproxy.fleet.release.Conductor;
import rushproxy.fleet.release.Gate;
import rushproxy.fleet.release.Order;
import rushproxy.fleet.release.Plan;
import rushproxy.fleet.release.Watch;
import rushproxy.lab.scenario.ScenarioException;

/**
 * {@code release}: the controller of a staged release of servers. {@code start} runs until the release is over; any other
 * command is a controller of a later epoch, which the running one hears of and ends.
 */
@Command(
        name = "release",
        mixinStandardHelpOptions = true,
        description = "Brings new servers in by stages, halts, and takes them back.",
        subcommands = {
            ReleaseCommand.PrintPlan.class,
            ReleaseCommand.Start.class,
            ReleaseCommand.Resume.class,
            ReleaseCommand.Status.class,
            ReleaseCommand.Halt.class,
            ReleaseCommand.RollBack.class,
            ReleaseCommand.Abort.class
        })
final class ReleaseCommand implements Runnable {
    static final int EXIT_SUPERSEDED = 3;
    private static final int EXIT_UNREACHED = 1;
    private static final long POLL_INTERVAL_MS = 1_000;
    /** Nobody is waited for longer: neither the last to hear of the end, nor the first to answer at all. */
    private static final long UNREACHED_TIMEOUT_S = 60;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "what is to be done with which release?");
    }

    /** The sidecars of a fleet, by their second addresses. Belongs to one command; {@link #close} ends its threads. */
    static final class SidecarClients implements AutoCloseable {
        private final List<String> addresses;
        private final ExecutorService executor = Executors.newCachedThreadPool(work -> {
            Thread t = new Thread(work, "caller");
            t.setDaemon(true);
            return t;
        });

        SidecarClients(List<String> addresses) {
            this.addresses = addresses;
        }

        int count() {
            return addresses.size();
        }

        /** The answers by address, of those that gave one; all are asked at once. */
        Map<String, String> callAll(String line) throws InterruptedException {
            Map<String, String> answers = new ConcurrentHashMap<>();
            executor.invokeAll(addresses.stream()
                    .map(a -> (Callable<Void>) () -> {
                        try {
                            String answer = FleetCommand.sendAdminCall(a, line);
                            if (!answer.isEmpty()) {
                                answers.put(a, answer);
                            }
                        } catch (IOException e) {
                            // It is not reached: the next look may find it.
                        }
                        return null;
                    })
                    .toList());
            return new TreeMap<>(answers);
        }

        private Map<String, JsonNode> queryJson(String line) throws InterruptedException {
            Map<String, JsonNode> views = new TreeMap<>();
            callAll(line).forEach((a, answer) -> {
                try {
                    if (answer.startsWith("ACK {")) {
                        views.put(a, new ObjectMapper().readTree(answer.substring(4)));
                    }
                } catch (IOException e) {
                    // A line that was cut off tells nothing.
                }
            });
            return views;
        }

        /** The order of the latest epoch and step that any of them knows, null for none. */
        Order latestOrder(String release) throws InterruptedException {
            Order latest = null;
            for (JsonNode view : queryJson("orders").values()) {
                for (JsonNode o : view.path("orders")) {
                    if (!o.path("release").asText().equals(release)) {
                        continue;
                    }
                    Order one = new Order(
                            release,
                            o.path("epoch").asInt(),
                            o.path("step").asInt(),
                            Order.State.valueOf(o.path("state").asText().toUpperCase(Locale.ROOT)),
                            o.path("weight").asDouble(),
                            o.path("safe").asDouble(),
                            Order.Selector.of(o.path("whom").asText()));
                    boolean later = latest == null
                            || one.epoch() > latest.epoch()
                            || one.epoch() == latest.epoch() && one.step() > latest.step();
                    latest = later ? one : latest;
                }
            }
            return latest;
        }

        /** Tells the order; how many have taken it, -1 where one knows a later controller's. */
        int sendOrder(Order o) throws InterruptedException {
            Map<String, String> answers = callAll(String.format(
                    Locale.ROOT,
                    "order %s %d %d %s %s %s %s",
                    o.release(),
                    o.epoch(),
                    o.step(),
                    o.state().name().toLowerCase(Locale.ROOT),
                    o.weight(),
                    o.safe(),
                    o.whom().words()));
            return answers.values().stream().anyMatch(a -> a.startsWith("NAK epoch"))
                    ? -1
                    : (int) answers.values().stream()
                            .filter(a -> a.equals("ACK"))
                            .count();
        }

        Map<String, Map<String, Watch.Pair>> queryTallies(String release) throws InterruptedException {
            Map<String, Map<String, Watch.Pair>> reports = new HashMap<>();
            queryJson("tallies " + release).forEach((a, view) -> {
                try {
                    Map<String, Watch.Pair> strata = new TreeMap<>();
                    for (JsonNode t : view.path("tallies")) {
                        strata.put(
                                t.path("stratum").asText(),
                                new Watch.Pair(parseTally(t.path("new")), parseTally(t.path("control"))));
                    }
                    reports.put(a, strata);
                } catch (IllegalArgumentException e) {
                    // What can't be read is as if it had not answered.
                }
            });
            return reports;
        }

        private static rushproxy.fleet.release.Tally parseTally(JsonNode t) {
            return Watch.read(
                    t.path(0).asLong(),
                    t.path(1).asLong(),
                    t.path(2).asLong(),
                    t.path(3).asText());
        }

        @Override
        public void close() {
            executor.shutdownNow();
        }
    }

    /** Runs a controller until its release is over, or another has come: the exit code. */
    static int runController(Conductor c, SidecarClients sidecars, PrintWriter out, boolean untilHalt)
            throws InterruptedException {
        Conductor.Step said = null;
        String waited = "";
        long reachedNs = System.nanoTime();
        while (true) {
            int took = sidecars.sendOrder(c.last().order());
            boolean enough = c.over() ? took == sidecars.count() : took > 0;
            reachedNs = enough || c.last() != said ? System.nanoTime() : reachedNs;
            if (System.nanoTime() - reachedNs > TimeUnit.SECONDS.toNanos(UNREACHED_TIMEOUT_S)) {
                out.println("ends after " + UNREACHED_TIMEOUT_S + " s in which " + took + " of " + sidecars.count()
                        + " were reached; the others hear of it by these");
                out.flush();
                return EXIT_UNREACHED;
            }
            if (took < 0) {
                out.println("a later controller has taken over: this one ends");
                out.flush();
                return EXIT_SUPERSEDED;
            }
            if (c.last() != said) {
                said = c.last();
                Order o = said.order();
                out.printf(
                        Locale.ROOT,
                        "step %d, %s: weight %.3f, taken by %d of %d: %s%n",
                        o.step(),
                        o.state().name().toLowerCase(Locale.ROOT),
                        o.weight(),
                        took,
                        sidecars.count(),
                        said.why());
            }
            if (!c.waitsFor().equals(waited) && !c.waitsFor().isEmpty()) {
                waited = c.waitsFor();
                out.println("  waits: " + waited);
            }
            out.flush();
            if (c.over() && took == sidecars.count()) {
                return 0;
            }
            if (untilHalt && c.last().order().state() == Order.State.HALTED) {
                return 4;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            c.reports(
                    System.currentTimeMillis() * 1_000,
                    sidecars.queryTallies(c.last().order().release()),
                    sidecars.count());
        }
    }

    @Command(
            name = "plan",
            mixinStandardHelpOptions = true,
            description = "Reads a plan and prints what it says; starts nothing.")
    static final class PrintPlan implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "PLAN", description = "A plan, TOML.")
        private Path file;

        @Override
        public Integer call() {
            try {
                Plan p = ReleasePlan.read(file);
                PrintWriter out = spec.commandLine().getOut();
                out.println(p.name() + ": " + p.whom().words());
                for (Plan.Stage s : p.stages()) {
                    Gate.Rule r = s.rule();
                    out.printf(
                            Locale.ROOT,
                            "  weight %.3f for %.0f to %.0f s and %d answers of each; halted falsely in at most %.4f of cases%n",
                            s.weight(),
                            r.leastUs() / 1e6,
                            r.mostUs() / 1e6,
                            r.answers(),
                            r.falseHalts());
                }
                out.printf(
                        Locale.ROOT,
                        "  back by halves every %.0f s; %.3f at a sidecar that is cut off%n",
                        p.backUs() / 1e6,
                        p.safe());
                out.flush();
                return 0;
            } catch (ScenarioException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return 2;
            }
        }
    }

    /** What {@code start} and {@code resume} share. */
    abstract static class ControllerCommand implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "PLAN", description = "A plan, TOML.")
        private Path file;

        @Parameters(
                index = "1..*",
                arity = "1..*",
                paramLabel = "ADDR",
                description = "Second addresses of all sidecars, HOST:PORT.")
        private List<String> addresses;

        @Option(
                names = "--journal",
                paramLabel = "FILE",
                required = true,
                description = "Keeps each step, on disk before it is taken.")
        private Path journal;

        abstract boolean staysHalted();

        @Override
        public Integer call() throws InterruptedException {
            PrintWriter err = spec.commandLine().getErr();
            PrintWriter out = spec.commandLine().getOut();
            Plan plan;
            try {
                plan = ReleasePlan.read(file);
            } catch (ScenarioException e) {
                err.println(e.getMessage());
                return 2;
            }
            try (ReleaseJournal kept = new ReleaseJournal(journal);
                    SidecarClients sidecars = new SidecarClients(addresses)) {
                if (kept.truncation() != null) {
                    out.println(journal + ": " + kept.truncation());
                }
                Order known = sidecars.latestOrder(plan.name());
                Conductor.Step last = kept.steps().isEmpty()
                        ? null
                        : kept.steps().get(kept.steps().size() - 1);
                if (last != null && !last.order().release().equals(plan.name())) {
                    err.println(journal + ": is of release " + last.order().release());
                    return 2;
                }
                int epoch = 1
                        + Math.max(
                                known == null ? 0 : known.epoch(),
                                last == null ? 0 : last.order().epoch());
                boolean gone = last != null && known == null
                        || known != null
                                && last != null
                                && known.epoch() > last.order().epoch();
                Conductor.Step after = last != null && !gone
                        ? last
                        : known == null ? last : new Conductor.Step(known, findStage(plan, known), "");
                if (after != null && !staysHalted() && after.order().state() == Order.State.HALTED) {
                    after = new Conductor.Step(
                            new Order(
                                    plan.name(),
                                    after.order().epoch(),
                                    after.order().step(),
                                    Order.State.ON,
                                    after.order().weight(),
                                    plan.safe(),
                                    plan.whom()),
                            after.stage(),
                            "");
                }
                Conductor c = new Conductor(plan, epoch, after, System.currentTimeMillis() * 1_000, s -> {
                    try {
                        kept.append(s);
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
                return runController(c, sidecars, out, true);
            } catch (IOException | UncheckedIOException e) {
                err.println(e.getMessage());
                return EXIT_UNREACHED;
            }
        }

        /** The first stage that gives as much as is ordered. */
        private static int findStage(Plan plan, Order known) {
            for (int i = 0; i < plan.stages().size(); i++) {
                if (plan.stages().get(i).weight() >= known.weight() - 1e-9) {
                    return i;
                }
            }
            return plan.stages().size() - 1;
        }
    }

    @Command(
            name = "start",
            mixinStandardHelpOptions = true,
            description = "Begins a release, or goes on where its journal stands.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:done, or all taken back",
                "1:the journal can't be kept",
                "2:bad words or a bad plan",
                "3:a later controller has taken over",
                "4:halted"
            })
    static final class Start extends ControllerCommand {
        @Override
        boolean staysHalted() {
            return true;
        }
    }

    @Command(
            name = "resume",
            mixinStandardHelpOptions = true,
            description = "Goes on with a release that was halted; its stage begins anew.")
    static final class Resume extends ControllerCommand {
        @Override
        boolean staysHalted() {
            return false;
        }
    }

    /** What needs no plan: the order that the sidecars know says it all. */
    abstract static class KnownReleaseCommand implements Callable<Integer> {
        @CommandLine.Spec
        protected CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "RELEASE", description = "The release's name.")
        private String name;

        @Parameters(
                index = "1..*",
                arity = "1..*",
                paramLabel = "ADDR",
                description = "Second addresses of all sidecars, HOST:PORT.")
        private List<String> addresses;

        abstract int apply(Order known, SidecarClients sidecars, PrintWriter out) throws InterruptedException;

        @Override
        public Integer call() throws InterruptedException {
            try (SidecarClients sidecars = new SidecarClients(addresses)) {
                Order known = sidecars.latestOrder(name);
                if (known == null) {
                    spec.commandLine().getErr().println("none of them knows a release " + name);
                    return EXIT_UNREACHED;
                }
                return apply(known, sidecars, spec.commandLine().getOut());
            }
        }

        /** A controller of a later epoch that takes the release from where it stands. */
        static Conductor takeOver(Order known) {
            Plan plan = new Plan(
                    known.release(),
                    known.whom(),
                    List.of(new Plan.Stage(Math.max(1e-3, known.weight()), Gate.Rule.USUAL)),
                    known.safe(),
                    5_000_000);
            return new Conductor(
                    plan,
                    known.epoch() + 1,
                    new Conductor.Step(known, 0, ""),
                    System.currentTimeMillis() * 1_000,
                    s -> {});
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Prints the release as each sidecar follows it.")
    static final class Status implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "RELEASE", description = "The release's name.")
        private String name;

        @Parameters(index = "1..*", arity = "1..*", paramLabel = "ADDR", description = "Second addresses, HOST:PORT.")
        private List<String> addresses;

        @Override
        public Integer call() throws InterruptedException {
            try (SidecarClients sidecars = new SidecarClients(addresses)) {
                PrintWriter out = spec.commandLine().getOut();
                Map<String, JsonNode> views = sidecars.queryJson("orders");
                java.util.Set<String> said = new java.util.HashSet<>();
                for (String a : addresses) {
                    String line = views.containsKey(a) ? "knows nothing of it" : "no answer";
                    for (JsonNode o : views.containsKey(a) ? views.get(a).path("orders") : List.<JsonNode>of()) {
                        if (o.path("release").asText().equals(name)) {
                            line = String.format(
                                    Locale.ROOT,
                                    "epoch %d, step %d, %s: weight %.3f for %s",
                                    o.path("epoch").asInt(),
                                    o.path("step").asInt(),
                                    o.path("state").asText(),
                                    o.path("weight").asDouble(),
                                    o.path("whom").asText());
                        }
                    }
                    said.add(line);
                    out.println(a + ": " + line);
                }
                out.flush();
                return said.size() == 1 && views.size() == addresses.size() ? 0 : EXIT_UNREACHED;
            }
        }
    }

    @Command(name = "halt", mixinStandardHelpOptions = true, description = "Freezes the weights where they are.")
    static final class Halt extends KnownReleaseCommand {
        @Override
        int apply(Order known, SidecarClients sidecars, PrintWriter out) throws InterruptedException {
            Conductor c = takeOver(known);
            c.halt(System.currentTimeMillis() * 1_000, "by an operator");
            int took = sidecars.sendOrder(c.last().order());
            out.println(
                    "halted at weight " + c.last().order().weight() + ", taken by " + took + " of " + sidecars.count());
            out.flush();
            return took == sidecars.count() ? 0 : EXIT_UNREACHED;
        }
    }

    @Command(name = "back", mixinStandardHelpOptions = true, description = "Takes the new servers out, by halves.")
    static final class RollBack extends KnownReleaseCommand {
        @Override
        int apply(Order known, SidecarClients sidecars, PrintWriter out) throws InterruptedException {
            Conductor c = takeOver(known);
            c.back(System.currentTimeMillis() * 1_000, "by an operator");
            return runController(c, sidecars, out, false);
        }
    }

    @Command(name = "abort", mixinStandardHelpOptions = true, description = "Takes the new servers out at once.")
    static final class Abort extends KnownReleaseCommand {
        @Override
        int apply(Order known, SidecarClients sidecars, PrintWriter out) throws InterruptedException {
            Conductor c = takeOver(known);
            c.abort(System.currentTimeMillis() * 1_000, "by an operator");
            return runController(c, sidecars, out, false);
        }
    }
}

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
import rushproxy.fleet.release.Gate;
import rushproxy.fleet.release.Plan;
import rushproxy.fleet.release.ReleaseController;
import rushproxy.fleet.release.ReleaseMonitor;
import rushproxy.fleet.release.ReleaseOrder;
import rushproxy.lab.scenario.ScenarioException;

/**
 * {@code release}: controllers of a staged release of servers. {@code start} and {@code resume} run until the release ends or halts.
 * {@code halt}, {@code back} and {@code abort} take the release over with a later epoch, on which the running controller ends.
 */
@Command(
        name = "release",
        mixinStandardHelpOptions = true,
        description = "Brings new servers into use in stages; halts a release or rolls it back.",
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
    private static final int EXIT_BAD_INPUT = 2;
    private static final int EXIT_HALTED = 4;
    private static final int EXIT_UNREACHED = 1;
    private static final long POLL_INTERVAL_MS = 1_000;
    /** Limit on the time without any sidecar accepting an order, and on the time until all have accepted the last one. */
    private static final long UNREACHED_TIMEOUT_S = 60;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "a subcommand is required: plan, start, resume, status, halt, back or abort");
    }

    /** Calls all sidecars of a fleet at their admin addresses in parallel. Used by one command; {@link #close} ends its threads. */
    static final class SidecarClients implements AutoCloseable {
        private final List<String> addresses;
        private final ExecutorService executor = Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work, "caller");
            thread.setDaemon(true);
            return thread;
        });

        SidecarClients(List<String> addresses) {
            this.addresses = addresses;
        }

        int count() {
            return addresses.size();
        }

        /** Sends a line to all sidecars in parallel and returns the answers by address; sidecars that do not answer are left out. */
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
                            // Unreachable now; the next poll tries again.
                        }
                        return null;
                    })
                    .toList());
            return new TreeMap<>(answers);
        }

        /** As {@link #callAll}, for answers in JSON; other answers are left out. */
        private Map<String, JsonNode> queryJson(String line) throws InterruptedException {
            Map<String, JsonNode> views = new TreeMap<>();
            callAll(line).forEach((a, answer) -> {
                try {
                    if (answer.startsWith("ACK {")) {
                        views.put(a, new ObjectMapper().readTree(answer.substring(4)));
                    }
                } catch (IOException e) {
                    // A truncated answer counts as none.
                }
            });
            return views;
        }

        /** Returns the release's order with the highest epoch, then step, that any sidecar knows; null if none knows the release. */
        ReleaseOrder latestOrder(String release) throws InterruptedException {
            ReleaseOrder latest = null;
            for (JsonNode view : queryJson("orders").values()) {
                for (JsonNode o : view.path("orders")) {
                    if (!o.path("release").asText().equals(release)) {
                        continue;
                    }
                    ReleaseOrder order = new ReleaseOrder(
                            release,
                            o.path("epoch").asInt(),
                            o.path("step").asInt(),
                            ReleaseOrder.State.valueOf(o.path("state").asText().toUpperCase(Locale.ROOT)),
                            o.path("weight").asDouble(),
                            o.path("safe").asDouble(),
                            ReleaseOrder.Selector.parse(o.path("whom").asText()));
                    boolean later = latest == null
                            || order.epoch() > latest.epoch()
                            || order.epoch() == latest.epoch() && order.step() > latest.step();
                    latest = later ? order : latest;
                }
            }
            return latest;
        }

        /** Sends an order to all sidecars; returns how many accepted it, or -1 if any rejected its epoch for a later controller's. */
        int sendOrder(ReleaseOrder o) throws InterruptedException {
            Map<String, String> answers = callAll(String.format(
                    Locale.ROOT,
                    "order %s %d %d %s %s %s %s",
                    o.release(),
                    o.epoch(),
                    o.step(),
                    o.state().name().toLowerCase(Locale.ROOT),
                    o.weight(),
                    o.safeWeight(),
                    o.selector().expression()));
            return answers.values().stream().anyMatch(a -> a.startsWith("NAK epoch"))
                    ? -1
                    : (int) answers.values().stream()
                            .filter(a -> a.equals("ACK"))
                            .count();
        }

        /** Returns each sidecar's tallies of the release by stratum. */
        Map<String, Map<String, ReleaseMonitor.TallyPair>> queryTallies(String release) throws InterruptedException {
            Map<String, Map<String, ReleaseMonitor.TallyPair>> reports = new HashMap<>();
            queryJson("tallies " + release).forEach((a, view) -> {
                try {
                    Map<String, ReleaseMonitor.TallyPair> strata = new TreeMap<>();
                    for (JsonNode t : view.path("tallies")) {
                        strata.put(
                                t.path("stratum").asText(),
                                new ReleaseMonitor.TallyPair(parseTally(t.path("new")), parseTally(t.path("control"))));
                    }
                    reports.put(a, strata);
                } catch (IllegalArgumentException e) {
                    // Unreadable tallies count as no answer.
                }
            });
            return reports;
        }

        private static rushproxy.fleet.release.Tally parseTally(JsonNode t) {
            return ReleaseMonitor.parseTally(
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

    /** Runs a controller until its release ends, halts (with {@code untilHalt}) or is taken over, and returns the exit code. */
    static int runController(ReleaseController conductor, SidecarClients sidecars, PrintWriter out, boolean untilHalt)
            throws InterruptedException {
        ReleaseController.Step printedStep = null;
        String printedWait = "";
        long lastProgressNanos = System.nanoTime();
        while (true) {
            int accepted = sidecars.sendOrder(conductor.lastStep().order());
            boolean progressed = conductor.isFinished() ? accepted == sidecars.count() : accepted > 0;
            lastProgressNanos =
                    progressed || conductor.lastStep() != printedStep ? System.nanoTime() : lastProgressNanos;
            if (System.nanoTime() - lastProgressNanos > TimeUnit.SECONDS.toNanos(UNREACHED_TIMEOUT_S)) {
                out.println("gives up after " + UNREACHED_TIMEOUT_S + " s in which " + accepted + " of "
                        + sidecars.count() + " accepted the order; they pass it on to the others");
                out.flush();
                return EXIT_UNREACHED;
            }
            if (accepted < 0) {
                out.println("a later controller has taken over; this one ends");
                out.flush();
                return EXIT_SUPERSEDED;
            }
            if (conductor.lastStep() != printedStep) {
                printedStep = conductor.lastStep();
                ReleaseOrder o = printedStep.order();
                out.printf(
                        Locale.ROOT,
                        "step %d, %s: weight %.3f, accepted by %d of %d: %s%n",
                        o.step(),
                        o.state().name().toLowerCase(Locale.ROOT),
                        o.weight(),
                        accepted,
                        sidecars.count(),
                        printedStep.reason());
            }
            if (!conductor.waitReason().equals(printedWait)
                    && !conductor.waitReason().isEmpty()) {
                printedWait = conductor.waitReason();
                out.println("  waits: " + printedWait);
            }
            out.flush();
            if (conductor.isFinished() && accepted == sidecars.count()) {
                return 0;
            }
            if (untilHalt && conductor.lastStep().order().state() == ReleaseOrder.State.HALTED) {
                return EXIT_HALTED;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            conductor.onReports(
                    System.currentTimeMillis() * 1_000,
                    sidecars.queryTallies(conductor.lastStep().order().release()),
                    sidecars.count());
        }
    }

    @Command(
            name = "plan",
            mixinStandardHelpOptions = true,
            description = "Reads a plan and prints it; starts nothing.")
    static final class PrintPlan implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "PLAN", description = "A release plan, TOML.")
        private Path file;

        @Override
        public Integer call() {
            try {
                Plan plan = ReleasePlan.read(file);
                PrintWriter out = spec.commandLine().getOut();
                out.println(plan.name() + ": " + plan.selector().expression());
                for (Plan.Stage stage : plan.stages()) {
                    Gate.Criteria rule = stage.criteria();
                    out.printf(
                            Locale.ROOT,
                            "  weight %.3f for %.0f to %.0f s and at least %d answers per group; false halts in at most %.4f of cases%n",
                            stage.weight(),
                            rule.minDurationUs() / 1e6,
                            rule.maxDurationUs() / 1e6,
                            rule.minAnswers(),
                            rule.falseHaltProbability());
                }
                out.printf(
                        Locale.ROOT,
                        "  rollback halves the weight every %.0f s; weight %.3f at an isolated sidecar%n",
                        plan.rollbackIntervalUs() / 1e6,
                        plan.safeWeight());
                out.flush();
                return 0;
            } catch (ScenarioException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return EXIT_BAD_INPUT;
            }
        }
    }

    /** A command that runs a controller with a plan and a journal. */
    abstract static class ControllerCommand implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "PLAN", description = "A release plan, TOML.")
        private Path file;

        @Parameters(
                index = "1..*",
                arity = "1..*",
                paramLabel = "ADDR",
                description = "Admin addresses of all sidecars, HOST:PORT.")
        private List<String> addresses;

        @Option(
                names = "--journal",
                paramLabel = "FILE",
                required = true,
                description = "Journal of the steps, each forced to disk before it is taken.")
        private Path journalFile;

        /** Whether a release that was halted stays so. */
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
                return EXIT_BAD_INPUT;
            }
            try (ReleaseJournal journal = new ReleaseJournal(journalFile);
                    SidecarClients sidecars = new SidecarClients(addresses)) {
                if (journal.truncation() != null) {
                    out.println(journalFile + ": " + journal.truncation());
                }
                ReleaseOrder known = sidecars.latestOrder(plan.name());
                ReleaseController.Step last = journal.steps().isEmpty()
                        ? null
                        : journal.steps().get(journal.steps().size() - 1);
                if (last != null && !last.order().release().equals(plan.name())) {
                    err.println(
                            journalFile + ": belongs to release " + last.order().release());
                    return EXIT_BAD_INPUT;
                }
                int epoch = 1
                        + Math.max(
                                known == null ? 0 : known.epoch(),
                                last == null ? 0 : last.order().epoch());
                // A later epoch known to the sidecars supersedes the journal; if they know no order, the journal's last
                // step
                // is used all the same.
                boolean outdated = last != null && known == null
                        || known != null
                                && last != null
                                && known.epoch() > last.order().epoch();
                ReleaseController.Step resumeFrom = last != null && !outdated
                        ? last
                        : known == null ? last : new ReleaseController.Step(known, findStage(plan, known), "");
                if (resumeFrom != null && !staysHalted() && resumeFrom.order().state() == ReleaseOrder.State.HALTED) {
                    resumeFrom = new ReleaseController.Step(
                            new ReleaseOrder(
                                    plan.name(),
                                    resumeFrom.order().epoch(),
                                    resumeFrom.order().step(),
                                    ReleaseOrder.State.ON,
                                    resumeFrom.order().weight(),
                                    plan.safeWeight(),
                                    plan.selector()),
                            resumeFrom.stage(),
                            "");
                }
                ReleaseController c =
                        new ReleaseController(plan, epoch, resumeFrom, System.currentTimeMillis() * 1_000, s -> {
                            try {
                                journal.append(s);
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

        /** Returns the first stage whose weight is at least the order's, or the last stage. */
        private static int findStage(Plan plan, ReleaseOrder known) {
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
            description = "Starts a release, or continues it from the last step in its journal.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:done, or rolled back",
                "1:the journal cannot be written, or sidecars were not reached",
                "2:invalid arguments or plan, or the journal of another release",
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
            description = "Resumes a halted release; its stage starts again.")
    static final class Resume extends ControllerCommand {
        @Override
        boolean staysHalted() {
            return false;
        }
    }

    /** A command that needs no plan, only the latest order that the sidecars know. */
    abstract static class KnownReleaseCommand implements Callable<Integer> {
        @CommandLine.Spec
        protected CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "RELEASE", description = "The release's name.")
        private String name;

        @Parameters(
                index = "1..*",
                arity = "1..*",
                paramLabel = "ADDR",
                description = "Admin addresses of all sidecars, HOST:PORT.")
        private List<String> addresses;

        abstract int apply(ReleaseOrder known, SidecarClients sidecars, PrintWriter out) throws InterruptedException;

        @Override
        public Integer call() throws InterruptedException {
            try (SidecarClients sidecars = new SidecarClients(addresses)) {
                ReleaseOrder known = sidecars.latestOrder(name);
                if (known == null) {
                    spec.commandLine().getErr().println("no sidecar knows the release " + name);
                    return EXIT_UNREACHED;
                }
                return apply(known, sidecars, spec.commandLine().getOut());
            }
        }

        private static final long ROLLBACK_STEP_US = 5_000_000;

        /** Returns a controller of the next epoch that continues from the order. Its plan is used for halting and rolling back only. */
        static ReleaseController takeOver(ReleaseOrder known) {
            Plan plan = new Plan(
                    known.release(),
                    known.selector(),
                    List.of(new Plan.Stage(Math.max(1e-3, known.weight()), Gate.Criteria.DEFAULT)),
                    known.safeWeight(),
                    ROLLBACK_STEP_US);
            return new ReleaseController(
                    plan,
                    known.epoch() + 1,
                    new ReleaseController.Step(known, 0, ""),
                    System.currentTimeMillis() * 1_000,
                    s -> {});
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Prints the order that each sidecar follows.")
    static final class Status implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "RELEASE", description = "The release's name.")
        private String name;

        @Parameters(index = "1..*", arity = "1..*", paramLabel = "ADDR", description = "Admin addresses, HOST:PORT.")
        private List<String> addresses;

        @Override
        public Integer call() throws InterruptedException {
            try (SidecarClients sidecars = new SidecarClients(addresses)) {
                PrintWriter out = spec.commandLine().getOut();
                Map<String, JsonNode> views = sidecars.queryJson("orders");
                java.util.Set<String> distinctLines = new java.util.HashSet<>();
                for (String a : addresses) {
                    String line = views.containsKey(a) ? "does not know the release" : "no answer";
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
                    distinctLines.add(line);
                    out.println(a + ": " + line);
                }
                out.flush();
                return distinctLines.size() == 1 && views.size() == addresses.size() ? 0 : EXIT_UNREACHED;
            }
        }
    }

    @Command(name = "halt", mixinStandardHelpOptions = true, description = "Halts a release at its present weight.")
    static final class Halt extends KnownReleaseCommand {
        @Override
        int apply(ReleaseOrder known, SidecarClients sidecars, PrintWriter out) throws InterruptedException {
            ReleaseController c = takeOver(known);
            c.halt(System.currentTimeMillis() * 1_000, "by an operator");
            int accepted = sidecars.sendOrder(c.lastStep().order());
            out.println("halted at weight " + c.lastStep().order().weight() + ", accepted by " + accepted + " of "
                    + sidecars.count());
            out.flush();
            return accepted == sidecars.count() ? 0 : EXIT_UNREACHED;
        }
    }

    @Command(
            name = "back",
            mixinStandardHelpOptions = true,
            description = "Rolls a release back by halving the new servers' weight repeatedly.")
    static final class RollBack extends KnownReleaseCommand {
        @Override
        int apply(ReleaseOrder known, SidecarClients sidecars, PrintWriter out) throws InterruptedException {
            ReleaseController c = takeOver(known);
            c.rollBack(System.currentTimeMillis() * 1_000, "by an operator");
            return runController(c, sidecars, out, false);
        }
    }

    @Command(name = "abort", mixinStandardHelpOptions = true, description = "Rolls a release back at once.")
    static final class Abort extends KnownReleaseCommand {
        @Override
        int apply(ReleaseOrder known, SidecarClients sidecars, PrintWriter out) throws InterruptedException {
            ReleaseController c = takeOver(known);
            c.abort(System.currentTimeMillis() * 1_000, "by an operator");
            return runController(c, sidecars, out, false);
        }
    }
}

package rushproxy.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rushproxy.lab.Lab;
import rushproxy.lab.check.Checker;
import rushproxy.lab.check.RecordedRun;
import rushproxy.lab.check.Violation;
import rushproxy.lab.node.Build;
import rushproxy.lab.report.Figures;
import rushproxy.lab.report.Report;
import rushproxy.lab.report.Summary;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioException;
import rushproxy.lab.scenario.ScenarioReader;

/** {@code lab}: runs fleets of real sidecar processes under injected faults, and checks their behavior. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Runs fleets of real sidecars under injected faults and checks their behavior.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all rules and expectations held",
            "1:a rule was broken, or an expectation was not met",
            "2:invalid arguments, or a scenario that cannot be run; nothing was started",
            "3:void: the laboratory itself exceeded its lateness limits",
            "4:a sidecar could not be started, or an address was not available",
            "5:stopped before the end"
        },
        subcommands = {
            LabCommand.RunScenario.class,
            LabCommand.ListScenarios.class,
            LabCommand.Check.class,
            LabCommand.RewriteReport.class,
            LabSweep.class,
            LabSoak.class,
            LabScale.class,
            LabCapacity.class
        })
final class LabCommand implements Runnable {
    static final int EXIT_RULE_BROKEN = 1;
    static final int EXIT_BAD_INPUT = 2;
    private static final int EXIT_VOID = 3;
    static final int EXIT_FAILED = 4;
    private static final int EXIT_STOPPED = 5;
    private static final int MAX_VIOLATIONS_SHOWN = 10;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "a subcommand is required: run, list, check, report, sweep, soak, scale or capacity");
    }

    /** Returns the exit code for the verdict of a run. */
    static int exitCode(String verdict) {
        return switch (verdict) {
            case "held" -> 0;
            case "broken" -> EXIT_RULE_BROKEN;
            case "void" -> EXIT_VOID;
            case "stopped" -> EXIT_STOPPED;
            default -> EXIT_FAILED;
        };
    }

    /** Options that override values of a scenario before it is run. */
    static final class ScenarioOverrides {
        @Option(names = "--seed", description = "Seed of all random draws, in place of the scenario's.")
        Long seed;

        @Option(
                names = "--set",
                paramLabel = "PATH=VALUE",
                description = "Overrides a value, as TOML: --set traffic.rate_per_s=200")
        List<String> set = new ArrayList<>();

        Map<String, String> toOverrides() throws ScenarioException {
            Map<String, String> overrides = parseOverrides(set);
            if (seed != null) {
                overrides.put("seed", Long.toString(seed));
            }
            return overrides;
        }

        static Map<String, String> parseOverrides(List<String> set) throws ScenarioException {
            Map<String, String> overrides = new LinkedHashMap<>();
            for (String pair : set) {
                int equals = pair.indexOf('=');
                if (equals <= 0) {
                    throw new ScenarioException("'" + pair + "' is not of the form path=value");
                }
                overrides.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
            return overrides;
        }
    }

    static Path newReportFolder(String name) {
        String timestamp = LocalDateTime.now().format(DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss", Locale.ROOT));
        return Path.of(
                "target",
                "lab",
                timestamp + "-" + name + "-" + ProcessHandle.current().pid());
    }

    static void printSummary(PrintWriter out, Summary s) {
        Figures f = s.figures();
        out.printf(
                Locale.ROOT,
                "%s, seed %d: %s%n",
                s.scenario(),
                s.seed(),
                s.verdict().toUpperCase(Locale.ROOT));
        s.why().forEach(reason -> out.println("  " + reason));
        out.printf(
                Locale.ROOT,
                "  %d requests: served %.4f, late %.4f, refused %.4f, failed %.4f; worth %.4f; %.2f runs a request%n",
                f.requests(),
                f.served(),
                f.late(),
                f.refused(),
                f.failed(),
                f.worth(),
                f.runsPerRequest());
        out.printf(
                Locale.ROOT,
                "  latency from the intended send, ms: p50 %.1f, p90 %.1f, p99 %.1f, max %.1f%n",
                f.p50Ms(),
                f.p90Ms(),
                f.p99Ms(),
                f.maxMs());
        out.printf(
                Locale.ROOT,
                "  the laboratory's own lateness, ms: sends p99 %.1f, max %.1f; beats p99 %.1f, max %.1f%n",
                s.lateness().get("send_p99"),
                s.lateness().get("send_max"),
                s.lateness().get("beat_p99"),
                s.lateness().get("beat_max"));
    }

    static void printViolations(PrintWriter out, RecordedRun run, List<Violation> violations) {
        for (Violation v : violations.subList(0, Math.min(MAX_VIOLATIONS_SHOWN, violations.size()))) {
            out.printf(
                    Locale.ROOT,
                    "  %s at %.3f s%s: %s%n",
                    v.rule(),
                    v.us() / 1e6,
                    v.id() == null ? "" : ", request " + v.id(),
                    v.words());
            if (v.id() != null) {
                out.print(run.history(v.id()));
            }
        }
        if (violations.size() > MAX_VIOLATIONS_SHOWN) {
            out.println("  and " + (violations.size() - MAX_VIOLATIONS_SHOWN) + " more");
        }
    }

    /** Prints the exception's message and returns {@link #EXIT_BAD_INPUT}. */
    static int printError(CommandLine.Model.CommandSpec spec, Exception e) {
        spec.commandLine().getErr().println(e.getMessage());
        spec.commandLine().getErr().flush();
        return EXIT_BAD_INPUT;
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs one scenario.")
    static final class RunScenario implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "SCENARIO", description = "A TOML file, or a name shown by 'lab list'.")
        private String scenario;

        @Mixin
        private ScenarioOverrides overrides;

        @Option(names = "--out", description = "Folder for the report; by default a new one in target/lab.")
        private Path out;

        @Option(names = "--jar", description = "JAR of another build, used for all sidecars.")
        private String jar;

        @Option(
                names = {"-q", "--quiet"},
                description = "Prints only the summary.")
        private boolean quiet;

        @Override
        public Integer call() throws InterruptedException {
            PrintWriter console = spec.commandLine().getOut();
            Scenario s;
            Build build;
            try {
                s = ScenarioReader.read(scenario, overrides.toOverrides());
                build = Build.of(Build.findRoot());
                build = jar == null ? build : build.withJar(jar);
                check(build, s);
            } catch (ScenarioException | IOException e) {
                return printError(spec, e);
            }
            Path folder = out == null ? newReportFolder(s.name()) : out;
            try {
                Summary summary = new Lab(s, build, folder, line -> {
                            if (!quiet) {
                                console.println(line);
                                console.flush();
                            }
                        })
                        .run();
                printSummary(console, summary);
                if (!summary.violations().isEmpty()) {
                    printViolations(console, Report.readRun(folder), summary.violations());
                }
                console.println("  report: " + folder.resolve("report.html"));
                console.flush();
                return exitCode(summary.verdict());
            } catch (IOException e) {
                spec.commandLine().getErr().println("the run failed, or its report could not be written: " + e);
                return EXIT_FAILED;
            }
        }

        private static void check(Build build, Scenario s) throws IOException {
            if (s.fleet().jar() != null) {
                build.withJar(s.fleet().jar());
            }
            for (Scenario.Fault f : s.faults()) {
                if (f.jar() != null) {
                    build.withJar(f.jar());
                }
            }
        }
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the built-in scenarios.")
    static final class ListScenarios implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws ScenarioException {
            for (String name : ScenarioReader.BUNDLED_NAMES) {
                Scenario s = ScenarioReader.read(name, Map.of());
                spec.commandLine()
                        .getOut()
                        .printf(
                                Locale.ROOT,
                                "%-18s %3d sidecars %3d upstreams %4.0f s  %s%n",
                                name,
                                s.fleet().nodes(),
                                ScenarioReader.serverNames(s).size(),
                                s.lengthUs() / 1e6,
                                s.about());
            }
            spec.commandLine().getOut().flush();
            return 0;
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Reads a scenario and prints its plan, or checks the records in a run's folder against all rules again.")
    static final class Check implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "SCENARIO|FOLDER")
        private String scenarioOrFolder;

        @Mixin
        private ScenarioOverrides overrides;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            try {
                if (Files.isDirectory(Path.of(scenarioOrFolder))) {
                    RecordedRun run = Report.readRun(Path.of(scenarioOrFolder));
                    List<Violation> violations = new ArrayList<>();
                    Checker.all().forEach(c -> violations.addAll(c.check(run)));
                    out.println(violations.isEmpty() ? "all rules kept" : violations.size() + " violations");
                    printViolations(out, run, violations);
                    out.flush();
                    return violations.isEmpty() ? 0 : EXIT_RULE_BROKEN;
                }
                Scenario s = ScenarioReader.read(scenarioOrFolder, overrides.toOverrides());
                out.printf(
                        Locale.ROOT,
                        "%s: %d sidecars, %d upstreams, %.0f requests a second for %.0f s%n",
                        s.name(),
                        s.fleet().nodes(),
                        ScenarioReader.serverNames(s).size(),
                        s.traffic().ratePerS(),
                        s.lengthUs() / 1e6);
                s.faults()
                        .forEach(f -> out.printf(
                                Locale.ROOT,
                                "  %8.1f s  %s%s%n",
                                f.atUs() / 1e6,
                                f.describe(),
                                f.forUs() > 0 ? String.format(Locale.ROOT, ", for %.1f s", f.forUs() / 1e6) : ""));
                out.flush();
                return 0;
            } catch (ScenarioException | IOException e) {
                return printError(spec, e);
            }
        }
    }

    @Command(
            name = "report",
            mixinStandardHelpOptions = true,
            description = "Prints a run's summary and writes its report page again.")
    static final class RewriteReport implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FOLDER")
        private Path folder;

        @Override
        public Integer call() {
            try {
                RecordedRun run = Report.readRun(folder);
                Summary summary = Report.readSummary(folder);
                Report.write(folder, run, summary);
                printSummary(spec.commandLine().getOut(), summary);
                printViolations(spec.commandLine().getOut(), run, summary.violations());
                spec.commandLine().getOut().println("  report: " + folder.resolve("report.html"));
                spec.commandLine().getOut().flush();
                return 0;
            } catch (IOException e) {
                return printError(spec, new IOException(folder + ": is not the folder of a run: " + e.getMessage()));
            }
        }
    }
}

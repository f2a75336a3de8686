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
import rushproxy.lab.check.Run;
import rushproxy.lab.check.Violation;
import rushproxy.lab.node.Build;
import rushproxy.lab.report.Figures;
import rushproxy.lab.report.Report;
import rushproxy.lab.report.Summary;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioException;
import rushproxy.lab.scenario.ScenarioReader;

/** {@code lab}: fleets of real sidecar processes with faults between them. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Plays fleets of real sidecars in a world with faults, and checks what they do.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all held",
            "1:a rule was broken, or something expected was missed",
            "2:bad words, or a scenario that can't be played; nothing was started",
            "3:void: the laboratory itself was too late",
            "4:a sidecar or an address could not be had",
            "5:stopped half way"
        },
        subcommands = {
            LabCommand.RunOne.class,
            LabCommand.ListAll.class,
            LabCommand.Check.class,
            LabCommand.ReportAgain.class,
            LabSweep.class,
            LabSoak.class,
            LabScale.class,
            LabCapacity.class
        })
final class LabCommand implements Runnable {
    static final int BROKEN = 1;
    static final int BAD = 2;
    private static final int MOST_SHOWN = 10;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "what is to be done in the laboratory?");
    }

    static int code(String verdict) {
        return switch (verdict) {
            case "held" -> 0;
            case "broken" -> BROKEN;
            case "void" -> 3;
            case "stopped" -> 5;
            default -> 4;
        };
    }

    /** What a scenario is changed by before it is played. */
    static final class Changes {
        @Option(names = "--seed", description = "Another seed for all draws.")
        Long seed;

        @Option(
                names = "--set",
                paramLabel = "PATH=VALUE",
                description = "Another value, as TOML: --set traffic.rate_per_s=200")
        List<String> set = new ArrayList<>();

        Map<String, String> all() throws ScenarioException {
            Map<String, String> changes = pairs(set);
            if (seed != null) {
                changes.put("seed", Long.toString(seed));
            }
            return changes;
        }

        static Map<String, String> pairs(List<String> set) throws ScenarioException {
            Map<String, String> changes = new LinkedHashMap<>();
            for (String pair : set) {
                int equals = pair.indexOf('=');
                if (equals <= 0) {
                    throw new ScenarioException("'" + pair + "' is not of the form path=value");
                }
                changes.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
            return changes;
        }
    }

    static Path newFolder(String name) {
        String at = LocalDateTime.now().format(DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss", Locale.ROOT));
        return Path.of(
                "target", "lab", at + "-" + name + "-" + ProcessHandle.current().pid());
    }

    static void print(PrintWriter out, Summary s) {
        Figures f = s.figures();
        out.printf(
                Locale.ROOT,
                "%s, seed %d: %s%n",
                s.scenario(),
                s.seed(),
                s.verdict().toUpperCase(Locale.ROOT));
        s.why().forEach(w -> out.println("  " + w));
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

    static void print(PrintWriter out, Run run, List<Violation> violations) {
        for (Violation v : violations.subList(0, Math.min(MOST_SHOWN, violations.size()))) {
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
        if (violations.size() > MOST_SHOWN) {
            out.println("  and " + (violations.size() - MOST_SHOWN) + " more");
        }
    }

    /** Says what is wrong in one line. */
    static int bad(CommandLine.Model.CommandSpec spec, Exception e) {
        spec.commandLine().getErr().println(e.getMessage());
        spec.commandLine().getErr().flush();
        return BAD;
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays one scenario.")
    static final class RunOne implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "SCENARIO", description = "A TOML file, or a name that 'lab list' shows.")
        private String scenario;

        @Mixin
        private Changes changes;

        @Option(names = "--out", description = "The folder for the report; by default a new one in target/lab.")
        private Path out;

        @Option(names = "--jar", description = "Another build of the program for all sidecars.")
        private String jar;

        @Option(
                names = {"-q", "--quiet"},
                description = "Only the summary.")
        private boolean quiet;

        @Override
        public Integer call() throws InterruptedException {
            PrintWriter print = spec.commandLine().getOut();
            Scenario s;
            Build build;
            try {
                s = ScenarioReader.read(scenario, changes.all());
                build = Build.of(Build.findRoot());
                build = jar == null ? build : build.withJar(jar);
                check(build, s);
            } catch (ScenarioException | IOException e) {
                return bad(spec, e);
            }
            Path folder = out == null ? newFolder(s.name()) : out;
            try {
                Summary summary = new Lab(s, build, folder, line -> {
                            if (!quiet) {
                                print.println(line);
                                print.flush();
                            }
                        })
                        .run();
                print(print, summary);
                if (!summary.violations().isEmpty()) {
                    print(print, Report.readRun(folder), summary.violations());
                }
                print.println("  report: " + folder.resolve("report.html"));
                print.flush();
                return code(summary.verdict());
            } catch (IOException e) {
                spec.commandLine().getErr().println("the run could not be reported: " + e);
                return 4;
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

    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "Lists the scenarios that come with the program.")
    static final class ListAll implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws ScenarioException {
            for (String name : ScenarioReader.NAMES) {
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
                    "Reads a scenario and says what it would play, or looks through a run's folder again for broken rules.")
    static final class Check implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "SCENARIO|FOLDER")
        private String what;

        @Mixin
        private Changes changes;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            try {
                if (Files.isDirectory(Path.of(what))) {
                    Run run = Report.readRun(Path.of(what));
                    List<Violation> violations = new ArrayList<>();
                    Checker.all().forEach(c -> violations.addAll(c.check(run)));
                    out.println(violations.isEmpty() ? "all rules kept" : violations.size() + " violations");
                    print(out, run, violations);
                    out.flush();
                    return violations.isEmpty() ? 0 : BROKEN;
                }
                Scenario s = ScenarioReader.read(what, changes.all());
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
                                f.words(),
                                f.forUs() > 0 ? String.format(Locale.ROOT, ", for %.1f s", f.forUs() / 1e6) : ""));
                out.flush();
                return 0;
            } catch (ScenarioException | IOException e) {
                return bad(spec, e);
            }
        }
    }

    @Command(
            name = "report",
            mixinStandardHelpOptions = true,
            description = "Prints a run's summary, and writes its page anew.")
    static final class ReportAgain implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FOLDER")
        private Path folder;

        @Override
        public Integer call() {
            try {
                Run run = Report.readRun(folder);
                Summary summary = Report.readSummary(folder);
                Report.write(folder, run, summary);
                print(spec.commandLine().getOut(), summary);
                print(spec.commandLine().getOut(), run, summary.violations());
                spec.commandLine().getOut().println("  report: " + folder.resolve("report.html"));
                spec.commandLine().getOut().flush();
                return 0;
            } catch (IOException e) {
                return bad(spec, new IOException(folder + ": no run's folder: " + e.getMessage()));
            }
        }
    }
}

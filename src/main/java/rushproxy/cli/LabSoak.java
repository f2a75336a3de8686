package rushproxy.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rushproxy.lab.Sweep;
import rushproxy.lab.node.Build;
import rushproxy.lab.report.Summary;
import rushproxy.lab.scenario.ScenarioException;
import rushproxy.lab.soak.Soak;
import rushproxy.lab.soak.SoakPlan;

/** {@code lab soak}: runs random deployments with overlapping faults, one drawn from each seed, on real sidecars. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Draws a deployment and overlapping faults from each seed and runs them on real sidecars, which must keep the rules and"
                        + " their own invariants.")
final class LabSoak implements Callable<Integer> {
    /** A prime, so that consecutive seeds spread over the range of node counts. */
    private static final long SEED_MULTIPLIER = 7_919;

    private static final Pattern NODE_RANGE = Pattern.compile("([0-9]{1,3})(?:\\.\\.([0-9]{1,3}))?");

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--seeds",
            defaultValue = "1-20",
            description = "For example 1-20 or 3,8; default ${DEFAULT-VALUE}.")
    private String seeds;

    @Option(
            names = "--nodes",
            defaultValue = "10..40",
            description = "Number of sidecars, or a range to draw it from; default ${DEFAULT-VALUE}.")
    private String nodes;

    @Option(names = "--length", defaultValue = "30s", description = "Length of each run; default ${DEFAULT-VALUE}.")
    private String length;

    @Option(
            names = "--shrink",
            defaultValue = "0",
            description = "Maximum number of runs that reduce a failing plan by leaving out faults.")
    private int shrink;

    @Option(names = "--out", description = "Folder for plans and reports.")
    private Path out;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter console = spec.commandLine().getOut();
        int maxExitCode = 0;
        try {
            Path folder = out == null ? LabCommand.newReportFolder("soak") : out;
            Soak soak = new Soak(Build.of(Build.findRoot()), folder, console::println);
            for (long seed : Sweep.seeds(seeds)) {
                SoakPlan plan = SoakPlan.generate(seed, drawNodeCount(seed), parseLengthSeconds());
                Summary summary = soak.run(plan, "seed-" + seed);
                printResult(console, plan, summary);
                maxExitCode = Math.max(maxExitCode, LabCommand.exitCode(summary.verdict()));
                if (shrink > 0 && summary.verdict().equals("broken")) {
                    soak.shrink(plan, shrink);
                }
            }
            console.println("plans and reports: " + folder);
            console.flush();
        } catch (ScenarioException | IOException | IllegalArgumentException e) {
            return LabCommand.printError(spec, e);
        }
        return maxExitCode;
    }

    private int drawNodeCount(long seed) {
        Matcher m = NODE_RANGE.matcher(nodes);
        if (!m.matches()) {
            throw new IllegalArgumentException("--nodes: '" + nodes + "' is neither a number nor a range like 10..40");
        }
        int min = Integer.parseInt(m.group(1));
        int max = m.group(2) == null ? min : Integer.parseInt(m.group(2));
        if (min < 1 || max < min) {
            throw new IllegalArgumentException(
                    "--nodes: '" + nodes + "' must start at 1 or more and must not be descending");
        }
        return min + (int) (seed * SEED_MULTIPLIER % (max - min + 1));
    }

    private double parseLengthSeconds() {
        if (!length.matches("[0-9]{1,4}s")) {
            throw new IllegalArgumentException("--length: '" + length + "' is not of the form 30s");
        }
        return Double.parseDouble(length.substring(0, length.length() - 1));
    }

    private static void printResult(PrintWriter console, SoakPlan plan, Summary s) {
        console.printf(
                Locale.ROOT,
                "seed %d: %s, %d requests, served %.3f, %d faults, late sends %.3f%n",
                plan.seed(),
                s.verdict(),
                s.figures().requests(),
                s.figures().served(),
                plan.faults().size(),
                s.lateness().getOrDefault("late_sends", 0.0));
        s.why().forEach(reason -> console.println("  " + reason));
        s.violations().stream()
                .limit(5)
                .forEach(v ->
                        console.printf(Locale.ROOT, "  %.3f s %s %s %s%n", v.us() / 1e6, v.rule(), v.id(), v.words()));
        console.flush();
    }
}

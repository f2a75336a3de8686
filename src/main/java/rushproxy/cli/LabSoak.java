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

/** {@code lab soak}: deployments and overlapping faults drawn from seeds, played with real sidecars. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Draws a deployment and overlapping faults from each seed and plays them with real sidecars; the rules and the sidecars'"
                        + " own invariants must hold.")
final class LabSoak implements Callable<Integer> {
    private static final Pattern RANGE = Pattern.compile("([0-9]{1,3})(?:\\.\\.([0-9]{1,3}))?");

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
            description = "Sidecars, a number or a range to draw from; default ${DEFAULT-VALUE}.")
    private String nodes;

    @Option(names = "--length", defaultValue = "30s", description = "Of each play; default ${DEFAULT-VALUE}.")
    private String length;

    @Option(
            names = "--shrink",
            defaultValue = "0",
            description = "Plays to spend on leaving out faults of a plan that fails.")
    private int shrink;

    @Option(names = "--out", description = "The folder for plans and reports.")
    private Path out;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter print = spec.commandLine().getOut();
        int worst = 0;
        try {
            Path folder = out == null ? LabCommand.newFolder("soak") : out;
            Soak soak = new Soak(Build.of(Build.findRoot()), folder, print::println);
            for (long seed : Sweep.seeds(seeds)) {
                SoakPlan plan = SoakPlan.generate(seed, count(seed), seconds());
                Summary s = soak.run(plan, "seed-" + seed);
                tell(print, plan, s);
                worst = Math.max(worst, LabCommand.code(s.verdict()));
                if (shrink > 0 && s.verdict().equals("broken")) {
                    soak.shrink(plan, shrink);
                }
            }
            print.println("plans and reports: " + folder);
            print.flush();
        } catch (ScenarioException | IOException | IllegalArgumentException e) {
            return LabCommand.bad(spec, e);
        }
        return worst;
    }

    private int count(long seed) {
        Matcher m = RANGE.matcher(nodes);
        if (!m.matches()) {
            throw new IllegalArgumentException("--nodes: '" + nodes + "' is neither a number nor a range like 10..40");
        }
        int least = Integer.parseInt(m.group(1));
        int most = m.group(2) == null ? least : Integer.parseInt(m.group(2));
        if (least < 1 || most < least) {
            throw new IllegalArgumentException("--nodes: '" + nodes + "' holds no number of sidecars");
        }
        return least + (int) (seed * 7919 % (most - least + 1));
    }

    private double seconds() {
        if (!length.matches("[0-9]{1,4}s")) {
            throw new IllegalArgumentException("--length: '" + length + "' is not of the form 30s");
        }
        return Double.parseDouble(length.substring(0, length.length() - 1));
    }

    private static void tell(PrintWriter print, SoakPlan plan, Summary s) {
        print.printf(
                Locale.ROOT,
                "seed %d: %s, %d requests, served %.3f, %d faults, late sends %.3f%n",
                plan.seed(),
                s.verdict(),
                s.figures().requests(),
                s.figures().served(),
                plan.faults().size(),
                s.lateness().getOrDefault("late_sends", 0.0));
        s.why().forEach(w -> print.println("  " + w));
        s.violations().stream()
                .limit(5)
                .forEach(v ->
                        print.printf(Locale.ROOT, "  %.3f s %s %s %s%n", v.us() / 1e6, v.rule(), v.id(), v.words()));
        print.flush();
    }
}

package rushproxy.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import rushproxy.lab.Lab;
import rushproxy.lab.node.Build;
import rushproxy.lab.report.Summary;
import rushproxy.lab.scenario.ScenarioException;

/** Runs soak plans with real sidecars, and shrinks a failing plan to fewer faults that still make it fail. */
public final class Soak {
    private static final String BROKEN = "broken";

    private final Build build;
    private final Path folder;
    private final Lab.Progress progress;

    /** Each run gets its own folder below {@code folder}, which also holds its plan. */
    public Soak(Build build, Path folder, Lab.Progress progress) {
        this.build = build;
        this.folder = folder;
        this.progress = progress;
    }

    /** Runs the plan once. */
    public Summary run(SoakPlan plan, String name) throws IOException, InterruptedException, ScenarioException {
        Path runFolder = folder.resolve(name);
        Files.createDirectories(runFolder);
        Files.writeString(runFolder.resolve("plan.toml"), plan.toml());
        return new Lab(plan.scenario(), build, runFolder, line -> {}).run();
    }

    /**
     * Removes one fault after the other as long as the remaining ones still break a rule or expectation, in at most {@code maxRuns}
     * runs.
     */
    public SoakPlan shrink(SoakPlan failing, int maxRuns) throws IOException, InterruptedException, ScenarioException {
        SoakPlan smallest = failing;
        int runs = 0;
        for (int i = smallest.faults().size() - 1; i >= 0 && runs < maxRuns; i--) {
            SoakPlan without = smallest.without(i);
            String name = "shrink-" + failing.seed() + "-" + ++runs;
            boolean fails = run(without, name).verdict().equals(BROKEN);
            progress.says(name + ": " + without.faults().size() + " faults, " + (fails ? "still fails" : "holds"));
            if (fails) {
                smallest = without;
            }
        }
        Files.writeString(folder.resolve("shrunk-" + failing.seed() + ".toml"), smallest.toml());
        return smallest;
    }
}

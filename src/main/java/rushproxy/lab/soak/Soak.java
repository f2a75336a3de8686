package rushproxy.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import rushproxy.lab.Lab;
import rushproxy.lab.node.Build;
import rushproxy.lab.report.Summary;
import rushproxy.lab.scenario.ScenarioException;

/** Plays plans with real sidecars, and looks for the fewest faults with which a plan that fails still fails. */
public final class Soak {
    private static final String BROKEN = "broken";

    private final Build build;
    private final Path folder;
    private final Lab.Progress progress;

    /** Each play gets a folder of its own in {@code folder}, with its plan. */
    public Soak(Build build, Path folder, Lab.Progress progress) {
        this.build = build;
        this.folder = folder;
        this.progress = progress;
    }

    /** One play of the plan. */
    public Summary run(SoakPlan plan, String name) throws IOException, InterruptedException, ScenarioException {
        Path at = folder.resolve(name);
        Files.createDirectories(at);
        Files.writeString(at.resolve("plan.toml"), plan.toml());
        return new Lab(plan.scenario(), build, at, line -> {}).run();
    }

    /** Leaves out one fault after the other for as long as the rest still breaks a rule; at most so many plays. */
    public SoakPlan shrink(SoakPlan failing, int maxRuns) throws IOException, InterruptedException, ScenarioException {
        SoakPlan least = failing;
        int plays = 0;
        for (int i = least.faults().size() - 1; i >= 0 && plays < maxRuns; i--) {
            SoakPlan without = least.without(i);
            String name = "shrink-" + failing.seed() + "-" + ++plays;
            boolean fails = run(without, name).verdict().equals(BROKEN);
            progress.says(name + ": " + without.faults().size() + " faults, " + (fails ? "still fails" : "holds"));
            if (fails) {
                least = without;
            }
        }
        Files.writeString(folder.resolve("shrunk-" + failing.seed() + ".toml"), least.toml());
        return least;
    }
}

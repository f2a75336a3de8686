package rushproxy.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import rushproxy.fleet.release.Gate;
import rushproxy.fleet.release.Plan;
import rushproxy.fleet.release.ReleaseOrder;
import rushproxy.lab.scenario.ScenarioException;
import rushproxy.lab.scenario.TomlTable;

/** Reads a release plan from TOML. Unknown keys are errors; an error is one line that names the file and the key. */
final class ReleasePlan {
    private static final double MICROS_PER_S = 1e6;

    private ReleasePlan() {}

    static Plan read(Path file) throws ScenarioException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new ScenarioException(file + ": cannot be read: " + e);
        }
        return parse(file.toString(), text);
    }

    static Plan parse(String file, String text) throws ScenarioException {
        TomlTable plan = TomlTable.parse(file, text);
        String name = plan.string("name");
        ReleaseOrder.Selector servers;
        try {
            servers = ReleaseOrder.Selector.parse(plan.string("servers"));
        } catch (IllegalArgumentException e) {
            throw new ScenarioException(file + ": servers: " + e.getMessage());
        }
        Gate.Criteria defaults = Gate.Criteria.DEFAULT;
        double falseHalts = plan.number("false_halts", 1e-6, 0.5, defaults.falseHaltProbability());
        double maxExcessFailures = plan.number("worse", 0, 1, defaults.maxBadFractionExcess());
        double maxSlowdown = plan.number("slower", 1, 100, defaults.maxMedianRatio());
        double sickAt = plan.number("sick_at", 0.01, 1, defaults.sickControlFraction());
        List<Plan.Stage> stages = new ArrayList<>();
        for (TomlTable stage : plan.tables("stages")) {
            double minSeconds = stage.number("least_s", 1, 86_400, defaults.minDurationUs() / MICROS_PER_S);
            double maxSeconds = stage.number(
                    "most_s", minSeconds, 7 * 86_400, Math.max(minSeconds, defaults.maxDurationUs() / MICROS_PER_S));
            stages.add(new Plan.Stage(
                    stage.number("weight", 0.001, 1),
                    new Gate.Criteria(
                            (long) (minSeconds * MICROS_PER_S),
                            (long) (maxSeconds * MICROS_PER_S),
                            stage.integer("answers", 1, 1_000_000, (int) defaults.minAnswers()),
                            falseHalts,
                            maxExcessFailures,
                            maxSlowdown,
                            sickAt)));
            stage.rejectUnknownKeys();
        }
        double firstWeight = stages.isEmpty() ? 0 : stages.get(0).weight();
        double safeWeight = plan.number("safe_weight", 0, 1, firstWeight);
        long backUs = (long) (plan.number("back_s", 1, 3_600, 5) * MICROS_PER_S);
        plan.rejectUnknownKeys();
        try {
            Plan result = new Plan(name, servers, stages, safeWeight, backUs);
            // The order's constructor rejects names and selectors that do not fit into an order.
            new ReleaseOrder(name, 1, 0, ReleaseOrder.State.ON, firstWeight, safeWeight, servers);
            return result;
        } catch (IllegalArgumentException e) {
            throw new ScenarioException(file + ": " + e.getMessage());
        }
    }
}

package rushproxy.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import rushproxy.fleet.release.Gate;
import rushproxy.fleet.release.Order;
import rushproxy.fleet.release.Plan;
import rushproxy.lab.scenario.ScenarioException;
import rushproxy.lab.scenario.Section;

/** Reads a release's plan from TOML, strictly: a mistake is one line that names the place. */
final class ReleasePlan {
    private static final double MICROS_PER_S = 1e6;

    private ReleasePlan() {}

    static Plan read(Path file) throws ScenarioException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new ScenarioException(file + ": can't be read: " + e);
        }
        return parse(file.toString(), text);
    }

    static Plan parse(String file, String text) throws ScenarioException {
        Section s = Section.toml(file, text);
        String name = s.text("name");
        Order.Selector whom;
        try {
            whom = Order.Selector.of(s.text("servers"));
        } catch (IllegalArgumentException e) {
            throw new ScenarioException(file + ": servers: " + e.getMessage());
        }
        Gate.Rule usual = Gate.Rule.USUAL;
        double falseHalts = s.number("false_halts", 1e-6, 0.5, usual.falseHalts());
        double worse = s.number("worse", 0, 1, usual.worse());
        double slower = s.number("slower", 1, 100, usual.slower());
        double sick = s.number("sick_at", 0.01, 1, usual.sickAt());
        List<Plan.Stage> stages = new ArrayList<>();
        for (Section one : s.tables("stages")) {
            double least = one.number("least_s", 1, 86_400, usual.leastUs() / MICROS_PER_S);
            double most = one.number("most_s", least, 7 * 86_400, Math.max(least, usual.mostUs() / MICROS_PER_S));
            stages.add(new Plan.Stage(
                    one.number("weight", 0.001, 1),
                    new Gate.Rule(
                            (long) (least * MICROS_PER_S),
                            (long) (most * MICROS_PER_S),
                            one.count("answers", 1, 1_000_000, (int) usual.answers()),
                            falseHalts,
                            worse,
                            slower,
                            sick)));
            one.end();
        }
        double first = stages.isEmpty() ? 0 : stages.get(0).weight();
        double safe = s.number("safe_weight", 0, 1, first);
        long back = (long) (s.number("back_s", 1, 3_600, 5) * MICROS_PER_S);
        s.end();
        try {
            Plan plan = new Plan(name, whom, stages, safe, back);
            // Its names have to fit into an order.
            new Order(name, 1, 0, Order.State.ON, first, safe, whom);
            return plan;
        } catch (IllegalArgumentException e) {
            throw new ScenarioException(file + ": " + e.getMessage());
        }
    }
}

package rushproxy.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rushproxy.lab.check.RecordedRun;
import rushproxy.lab.check.Violation;
import rushproxy.lab.report.Figures;
import rushproxy.lab.scenario.Scenario;

/** What a scenario says must hold. */
final class Expectations {
    private Expectations() {}

    /** A line for each that was missed. */
    static List<String> missed(RecordedRun run, List<Violation> violations) {
        List<String> missed = new ArrayList<>();
        for (Scenario.Expectation e : run.scenario().expectations()) {
            double is = switch (e.figure()) {
                case "rules_broken" -> violations.size();
                case "lost" ->
                    violations.stream().filter(v -> v.rule().equals("lost")).count();
                default -> Figures.of(run, e.fromUs(), e.toUs()).valueOf(e.figure());
            };
            if (is < e.least() || is > e.most()) {
                missed.add(String.format(
                        Locale.ROOT,
                        "%s is %.4f from %.1f to %.1f s; expected %s",
                        e.figure(),
                        is,
                        e.fromUs() / 1e6,
                        e.toUs() / 1e6,
                        is < e.least() ? "at least " + e.least() : "at most " + e.most()));
            }
        }
        return missed;
    }
}

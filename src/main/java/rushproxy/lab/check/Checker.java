package rushproxy.lab.check;

import java.util.List;

/** Finds the violations of one rule in a recorded run. It uses the observations alone and no state of the program under test. */
public interface Checker {
    /** The one-word name of the rule, as it appears in reports. */
    String rule();

    List<Violation> check(RecordedRun run);

    /** Returns a new instance of every checker. */
    static List<Checker> all() {
        return List.of(
                new SingleResponseChecker(),
                new DuplicateExecutionChecker(),
                new DeadlineChecker(),
                new DrainChecker(),
                new CordonChecker(),
                new ColdStartChecker(),
                new ResponseOriginChecker(),
                new DepartedClientChecker(),
                new ReadinessChecker());
    }
}

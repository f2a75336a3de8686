package rushproxy.lab.check;

import java.util.List;

/** Looks for one rule's violations in what was seen of a run, knowing nothing of the program that was run. */
public interface Checker {
    /** One word, as reports have it. */
    String rule();

    List<Violation> check(RecordedRun run);

    /** All of them. */
    static List<Checker> all() {
        return List.of(
                new SingleResponseChecker(),
                new DuplicateExecutionChecker(),
                new DeadlineChecker(),
                new DrainChecker(),
                new CordonChecker(),
                new ColdStartChecker(),
                new ResponseOriginChecker(),
                new DepartedClientChecker());
    }
}

package rushproxy.lab.check;

import java.util.List;

/** Looks for one rule's violations in what was seen of a run, knowing nothing of the program that was run. */
public interface Checker {
    /** One word, as reports have it. */
    String rule();

    List<Violation> check(Run run);

    /** All of them. */
    static List<Checker> all() {
        return List.of(
                new OneAnswer(),
                new RunsOnce(),
                new Deadlines(),
                new Drains(),
                new Cordons(),
                new ColdBudget(),
                new Made(),
                new Departures());
    }
}

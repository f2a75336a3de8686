package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioReader;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** What was seen of a run that a test makes up: node {@code n0}, server {@code s0}, times in milliseconds. */
final class Seen {
    private final List<Observation> all = new ArrayList<>();

    static Scenario scenario() {
        try {
            return ScenarioReader.read("demo", Map.of());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** How long after a server was called out, or told to leave, it may be sent something new. */
    static long graceMs() {
        Scenario.Rules rules = scenario().rules();
        return (rules.drainGraceUs() + rules.slackUs()) / 1_000;
    }

    private Seen add(long ms, EventType what, String server, String id, String text, double number, long sinceMs) {
        all.add(new Observation(ms * 1_000, what, "n0", server, id, null, text, number, sinceMs * 1_000));
        return this;
    }

    Seen called(long sentMs, long answeredMs, String words) {
        return add(answeredMs, EventType.CALLED, null, null, words, 0, sentMs);
    }

    Seen told(long ms, String state) {
        return add(ms, EventType.TOLD, "s0", null, state, 0, 0);
    }

    Seen node(long ms, String text) {
        return add(ms, EventType.NODE, null, null, text, 1, 0);
    }

    Seen late(long ms, double byMs) {
        return add(ms, EventType.LATE, null, null, null, byMs, 0);
    }

    Seen asked(long ms, String id) {
        return add(ms, EventType.ASKED, null, id, "read", 800, ms);
    }

    /** A server has got the request, its first byte at {@code firstMs}. */
    Seen got(long firstMs, long lastMs, String id) {
        return got(firstMs, firstMs, lastMs, id);
    }

    /** Its first byte came between the two. */
    Seen got(long earliestMs, long latestMs, long lastMs, String id) {
        all.add(new Observation(
                lastMs * 1_000, EventType.GOT, "n0", "s0", id, null, null, 4, latestMs * 1_000, earliestMs * 1_000, 0));
        return this;
    }

    Seen gaveUp(long ms, String id) {
        return add(ms, EventType.GAVE_UP, null, id, null, 800, ms);
    }

    Seen broke(long ms, String id) {
        return add(ms, EventType.BROKE, null, id, "closed", 0, ms);
    }

    /** The end of a process that had left before it was heard of. */
    Seen left(long ms, long leftMs) {
        return add(ms, EventType.NODE, null, null, "exit 0", 1, leftMs);
    }

    Seen left(long ms, String id) {
        return add(ms, EventType.LEFT, null, id, null, 0, ms);
    }

    Run run() {
        return new Run(
                scenario(),
                all.stream().sorted(Comparator.comparingLong(Observation::us)).toList());
    }

    int violations(Checker checker) {
        return checker.check(run()).size();
    }
}

package rushproxy.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushproxy.lab.scenario.ScenarioReader;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.What;

/** What a killed process held is excused, from the order to its end, and nothing before or after. */
class OneAnswerTest {
    private static Observation node(long us, String text) {
        return new Observation(us, What.NODE, "n0", null, null, null, text, 0, 0);
    }

    private static List<Observation> request(long askedUs, long brokeUs) {
        return List.of(new Observation(askedUs, What.ASKED, "n0", null, "a", "a", "read", 800, askedUs),
                new Observation(brokeUs, What.BROKE, "n0", null, "a", null, "reset", 1, askedUs));
    }

    private static int lost(long askedUs, long brokeUs) throws Exception {
        List<Observation> all = new java.util.ArrayList<>(request(askedUs, brokeUs));
        all.add(node(3_000_000, "kill"));
        all.add(node(3_060_000, "exit 137"));
        all.add(node(9_000_000, "exit 0"));
        return new OneAnswer().check(new Run(ScenarioReader.read("demo", java.util.Map.of()), all)).size();
    }

    /** The signal is sent by a program of its own: on a busy machine it came 59 ms after the order. */
    @Test
    void whatWasAskedBetweenTheOrderAndTheKillIsExcused() throws Exception {
        assertEquals(0, lost(3_014_000, 3_059_000));
        assertEquals(0, lost(2_900_000, 3_020_000));
    }

    @Test
    void whatBrokeBeforeOrWasAskedAfterIsLost() throws Exception {
        assertEquals(1, lost(2_900_000, 2_990_000));
        assertEquals(1, lost(3_100_000, 3_200_000));
        assertEquals(1, lost(8_000_000, 8_100_000));
    }
}

package rushproxy.lab.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A scenario is understood whole, or not played: each mistake is one line that names the place. */
class ScenarioReaderTest {
    private static final String GOOD = """
            name = "t"
            length_s = 5
            [fleet]
            nodes = 4
            zones = ["a", "b"]
            [[servers]]
            count = 3
            [[classes]]
            name = "c"
            work_ms = 5
            deadline_ms = 500
            [traffic]
            rate_per_s = 10
            [[faults]]
            at_s = 1
            do = "kill"
            nodes = ["zone:b", "n0"]
            """;

    private static Scenario read(String toml) throws ScenarioException {
        return ScenarioReader.parse("t.toml", toml, Map.of());
    }

    private static String complaint(String toml) {
        String line = assertThrows(ScenarioException.class, () -> read(toml)).getMessage();
        assertEquals(1, line.lines().count());
        return line;
    }

    @Test
    void aScenarioIsReadWithItsDefaults() throws Exception {
        Scenario s = read(GOOD);
        assertEquals(5_000_000, s.lengthUs());
        assertEquals("b", s.zoneOfNode(3));
        assertEquals(3, s.servers().get(0).count());
        assertEquals(500_000, s.rules().drainGraceUs());
        assertEquals(java.util.List.of("n1", "n3", "n0"), s.faults().get(0).nodes());
    }

    @Test
    void allThatComeWithTheProgramAreGood() throws Exception {
        for (String name : ScenarioReader.BUNDLED_NAMES) {
            assertEquals(name, ScenarioReader.read(name, Map.of()).name());
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "length_s = 5                | length_ms = 5000        | t.toml: length_s: is missing",
                "rate_per_s = 10             | rate_per_s = 10\\nrate_per_ms = 1 | t.toml: traffic.rate_per_ms: is unknown; is 'rate_per_s' meant?",
                "nodes = 4                   | nodes = 4.5             | t.toml: fleet.nodes: is no whole number but 4.5",
                "nodes = 4                   | nodes = 4000            | t.toml: fleet.nodes: 4000.0 is not between 1.0 and 2000.0",
                "count = 3                   | count = '3'             | t.toml: servers[0].count: is no whole number but \"3\"",
                "work_ms = 5                 | work = 5                | t.toml: classes[0].work_ms: is missing",
                "do = \"kill\"               | do = \"kil\"            | t.toml: faults[0].do: 'kil' is none of",
                "\"n0\"]                     | \"n7\"]                 | t.toml: faults[0].nodes: there is no 'n7'; there are n0 to n3",
                "zone:b                      | zone:c                  | t.toml: faults[0].nodes: there is nobody in a zone 'c'",
                "at_s = 1                    | at_s = 6                | t.toml: faults[0].at_s: 6.0 is not between 0.0 and 5.0",
                "do = \"kill\"               | do = \"stall\"          | t.toml: faults[0].for_s: is missing: 'stall' lasts",
                "[traffic]                   | [traffic                | t.toml, line",
                "[[servers]]                 | [server]                | t.toml: servers: is missing"
            })
    void aMistakeIsOneLineThatNamesThePlace(String good, String bad, String line) {
        String toml = GOOD.replace(good, bad.replace("\\n", "\n"));
        assertTrue(!toml.equals(GOOD), "the good text has no '" + good + "'");
        String complaint = complaint(toml);
        assertTrue(complaint.startsWith(line), complaint);
    }

    @Test
    void aValueIsReplacedByItsPath() throws Exception {
        Scenario s = ScenarioReader.parse(
                "t.toml", GOOD, Map.of("traffic.rate_per_s", "20", "servers.0.speed", "2.5", "rules.fall_s", "1"));
        assertEquals(20, s.traffic().ratePerS());
        assertEquals(2.5, s.servers().get(0).speed());
        assertEquals(1_000_000, s.rules().fallUs());
        String line = assertThrows(
                        ScenarioException.class,
                        () -> ScenarioReader.parse("t.toml", GOOD, Map.of("servers.7.speed", "2")))
                .getMessage();
        assertEquals("t.toml: servers.7.speed: there is no '7' to change", line);
    }
}

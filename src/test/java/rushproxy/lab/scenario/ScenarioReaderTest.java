package rushproxy.lab.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Scenarios are read strictly: any mistake is rejected with a one-line message that names its position. */
class ScenarioReaderTest {
    private static final String VALID = """
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

    private static String errorMessage(String toml) {
        String line = assertThrows(ScenarioException.class, () -> read(toml)).getMessage();
        assertEquals(1, line.lines().count());
        return line;
    }

    @Test
    void scenarioIsReadWithDefaults() throws Exception {
        Scenario s = read(VALID);
        assertEquals(5_000_000, s.lengthUs());
        assertEquals("b", s.zoneOfNode(3));
        assertEquals(3, s.servers().get(0).count());
        assertEquals(500_000, s.rules().drainGraceUs());
        assertEquals(java.util.List.of("n1", "n3", "n0"), s.faults().get(0).nodes());
    }

    @Test
    void bundledScenariosAreValid() throws Exception {
        for (String name : ScenarioReader.BUNDLED_NAMES) {
            assertEquals(name, ScenarioReader.read(name, Map.of()).name());
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "length_s = 5                | length_ms = 5000        | t.toml: length_s: is missing",
                "rate_per_s = 10             | rate_per_s = 10\\nrate_per_ms = 1 | t.toml: traffic.rate_per_ms: is unknown; did you mean 'rate_per_s'?",
                "nodes = 4                   | nodes = 4.5             | t.toml: fleet.nodes: must be an integer, but is 4.5",
                "nodes = 4                   | nodes = 4000            | t.toml: fleet.nodes: 4000.0 is not between 1.0 and 2000.0",
                "count = 3                   | count = '3'             | t.toml: servers[0].count: must be an integer, but is \"3\"",
                "work_ms = 5                 | work = 5                | t.toml: classes[0].work_ms: is missing",
                "do = \"kill\"               | do = \"kil\"            | t.toml: faults[0].do: 'kil' is not one of",
                "\"n0\"]                     | \"n7\"]                 | t.toml: faults[0].nodes: unknown name 'n7'; valid names are n0 to n3",
                "zone:b                      | zone:c                  | t.toml: faults[0].nodes: nothing to select in zone 'c'",
                "at_s = 1                    | at_s = 6                | t.toml: faults[0].at_s: 6.0 is not between 0.0 and 5.0",
                "do = \"kill\"               | do = \"stall\"          | t.toml: faults[0].for_s: is missing: 'stall' needs a duration",
                "[traffic]                   | [traffic                | t.toml, line",
                "[[servers]]                 | [server]                | t.toml: servers: is missing"
            })
    void errorMessageIsOneLineThatNamesPosition(String valid, String invalid, String expected) {
        String toml = VALID.replace(valid, invalid.replace("\\n", "\n"));
        assertTrue(!toml.equals(VALID), "the valid scenario does not contain '" + valid + "'");
        String errorMessage = errorMessage(toml);
        assertTrue(errorMessage.startsWith(expected), errorMessage);
    }

    @Test
    void overrideReplacesValueAtPath() throws Exception {
        Scenario s = ScenarioReader.parse(
                "t.toml", VALID, Map.of("traffic.rate_per_s", "20", "servers.0.speed", "2.5", "rules.fall_s", "1"));
        assertEquals(20, s.traffic().ratePerS());
        assertEquals(2.5, s.servers().get(0).speed());
        assertEquals(1_000_000, s.rules().fallUs());
        String line = assertThrows(
                        ScenarioException.class,
                        () -> ScenarioReader.parse("t.toml", VALID, Map.of("servers.7.speed", "2")))
                .getMessage();
        assertEquals("t.toml: servers.7.speed: '7' does not exist", line);
    }
}

package rushproxy.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rushproxy.fleet.release.Plan;
import rushproxy.lab.scenario.ScenarioException;

/** Plans of releases, and what is said of those that can't be. */
class ReleasePlanTest {
    private static final String STAGES =
            "[[stages]]\nweight = 0.1\nleast_s = 60\n[[stages]]\nweight = 1.0\nanswers = 500\n";

    @Test
    void planWithoutOptionalKeysGetsDefaults() throws Exception {
        Plan p = ReleasePlan.parse("p", "name = \"r1\"\nservers = \"kind=new,zone=a\"\nfalse_halts = 0.001\n" + STAGES);
        assertEquals(
                "r1 kind=new,zone=a 0.1 5000000",
                p.name() + " " + p.whom().words() + " " + p.safe() + " " + p.backUs());
        assertEquals(60_000_000, p.stages().get(0).rule().leastUs());
        assertEquals(200, p.stages().get(0).rule().answers());
        assertEquals(500, p.stages().get(1).rule().answers());
        assertEquals(0.001, p.stages().get(1).rule().falseHalts());
    }

    @Test
    void errorIsOneLineThatNamesFileAndKey() {
        String head = "name = \"r1\"\nservers = \"kind=new\"\n";
        for (String[] bad : new String[][] {
            {"servers = \"kind=k\"\n" + STAGES, "p: name: is missing"},
            {"name = \"a b\"\nservers = \"kind=k\"\n" + STAGES, "p: 'a b' is no name"},
            {"name = \"r\"\nservers = \"color=red\"\n" + STAGES, "p: servers: 'color' is not ids"},
            {head, "p: a plan without stages"},
            {head + "wieght = 1\n" + STAGES, "p: wieght: is unknown"},
            {head + "[[stages]]\nweight = 2\n", "p: stages[0].weight: 2.0 is not between"},
            {head + "[[stages]]\nweight = 0.5\n[[stages]]\nweight = 0.2\n", "p: stages: a weight of 0.2 after 0.5"},
            {head + "[[stages]]\nweight = 0.5\nleast_s = 9\nmost_s = 3\n", "p: stages[0].most_s: 3.0 is not between"},
            {head + "[[stages]]\nweight = 0.5\nleast = 9\n", "p: stages[0].least: is unknown"},
            {"name = ", "p: line 1"}
        }) {
            String said = assertThrows(ScenarioException.class, () -> ReleasePlan.parse("p", bad[0]))
                    .getMessage();
            assertTrue(said.startsWith(bad[1]) && !said.contains("\n"), said);
        }
    }
}

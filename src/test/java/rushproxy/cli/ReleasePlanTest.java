package rushproxy.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import rushproxy.fleet.release.Plan;
import rushproxy.lab.scenario.ScenarioException;

/** Parsing of release plans and its error messages. */
class ReleasePlanTest {
    private static final String STAGES =
            "[[stages]]\nweight = 0.1\nleast_s = 60\n[[stages]]\nweight = 1.0\nanswers = 500\n";

    @Test
    void planWithoutOptionalKeysGetsDefaults() throws Exception {
        Plan plan =
                ReleasePlan.parse("p", "name = \"r1\"\nservers = \"kind=new,zone=a\"\nfalse_halts = 0.001\n" + STAGES);
        assertEquals(
                "r1 kind=new,zone=a 0.1 5000000",
                plan.name() + " " + plan.selector().expression() + " " + plan.safeWeight() + " "
                        + plan.rollbackIntervalUs());
        assertEquals(60_000_000, plan.stages().get(0).criteria().minDurationUs());
        assertEquals(200, plan.stages().get(0).criteria().minAnswers());
        assertEquals(500, plan.stages().get(1).criteria().minAnswers());
        assertEquals(0.001, plan.stages().get(1).criteria().falseHaltProbability());
    }

    @Test
    void errorIsOneLineThatNamesFileAndKey() {
        String header = "name = \"r1\"\nservers = \"kind=new\"\n";
        for (String[] planAndError : new String[][] {
            {"servers = \"kind=k\"\n" + STAGES, "p: name: is missing"},
            {"name = \"a b\"\nservers = \"kind=k\"\n" + STAGES, "p: 'a b' is no name"},
            {"name = \"r\"\nservers = \"color=red\"\n" + STAGES, "p: servers: 'color' is not ids"},
            {header, "p: a plan without stages"},
            {header + "wieght = 1\n" + STAGES, "p: wieght: is unknown"},
            {header + "[[stages]]\nweight = 2\n", "p: stages[0].weight: 2.0 is not between"},
            {header + "[[stages]]\nweight = 0.5\n[[stages]]\nweight = 0.2\n", "p: stages: a weight of 0.2 after 0.5"},
            {header + "[[stages]]\nweight = 0.5\nleast_s = 9\nmost_s = 3\n", "p: stages[0].most_s: 3.0 is not between"},
            {header + "[[stages]]\nweight = 0.5\nleast = 9\n", "p: stages[0].least: is unknown"},
            {"name = ", "p: line 1"}
        }) {
            String message = assertThrows(ScenarioException.class, () -> ReleasePlan.parse("p", planAndError[0]))
                    .getMessage();
            assertTrue(message.startsWith(planAndError[1]) && !message.contains("\n"), message);
        }
    }
}

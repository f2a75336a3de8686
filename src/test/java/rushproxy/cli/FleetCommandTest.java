package rushproxy.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tables that compare the views of several sidecars. */
class FleetCommandTest {
    private static JsonNode view(String self, String otherMembers) throws Exception {
        return new ObjectMapper()
                .readTree("{\"self\":\"" + self + "\",\"here\":2,\"expected\":3,\"standing\":\"majority\",\"members\":["
                        + "{\"name\":\"n0\",\"state\":\"alive\",\"incarnation\":5}" + otherMembers + "]}");
    }

    @Test
    void rowsThatDifferAreMarkedAndSidecarsWithoutAnswerAreNamed() throws Exception {
        Map<String, JsonNode> views = new LinkedHashMap<>();
        views.put("a:1", view("n0", ",{\"name\":\"n1\",\"state\":\"alive\",\"incarnation\":7}"));
        views.put(
                "b:1",
                view(
                        "n1",
                        ",{\"name\":\"n1\",\"state\":\"dead\",\"incarnation\":7},{\"name\":\"n2\",\"state\":\"alive\",\"incarnation\":1}"));
        views.put("c:1", null);
        List<String> lines = FleetCommand.formatMembers(views).lines().toList();
        assertTrue(
                lines.get(0).matches("  member +n0: majority 2/3 +n1: majority 2/3 +c:1 \\(none\\) *"), lines.get(0));
        assertTrue(lines.get(1).startsWith("  n0"), lines.get(1));
        assertTrue(lines.get(2).matches("! n1 +alive 7 +dead 7 *"), lines.get(2));
        assertTrue(lines.get(3).matches("! n2 +- +alive 1 *"), lines.get(3));
        assertEquals(4, lines.size());
    }
}

package rushproxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Bounds the length and width of the decision module, which on-call engineers have to read in full during incidents. */
class ModuleSizeTest {
    private static final int MAX_LINE_CHARS = 110;
    private static final int MAX_LINES = 1200;

    private static final List<String> MODULE = List.of(
            "src/main/java/rushproxy/Policy.java",
            "src/main/java/rushproxy/PolicyState.java",
            "src/main/java/rushproxy/SlowStart.java");

    @Test
    void lineCountAndWidthAreBounded() throws Exception {
        for (String file : MODULE) {
            long count = 0;
            for (String line : Files.readAllLines(Path.of(file))) {
                count += line.isBlank() ? 0 : 1;
                assertTrue(line.length() <= MAX_LINE_CHARS, line);
            }
            assertTrue(count > 10 && count <= MAX_LINES, file + " has " + count + " lines");
        }
    }

    @Test
    void deployFileListsAllModuleFiles() throws Exception {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        String policy =
                deploy.lines().filter(l -> l.startsWith("policy")).findFirst().orElse("");
        for (String file : MODULE) {
            assertTrue(policy.contains(file), file);
        }
    }
}

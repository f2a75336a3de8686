package rushproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A serving sidecar loads no classes that only the interactive tools need. */
@Timeout(120)
class ServeClassLoadingTest {
    private static final String FORBIDDEN_CLASSES =
            "rushproxy\\.(lab|cli)|picocli|com\\.fasterxml\\.jackson\\.(databind|dataformat)"
                    + "|org\\.HdrHistogram|org\\.apache\\.commons";

    private static final String CONFIG = """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","known":{"generation":1,"reset":true,"instances":[]},
             "settings":{"me":0,"balancers":1,"zone":"z","discovery":"on_request",
              "profiles":[{"name":"c","semantics":"safe","objective_us":1,"give_up_us":1}],
              "rules":{"drain_grace_us":1,"cold_share":0.2,"ramp_time_us":1,"fall_multiple":3,"fall_us":1}}}""";

    @TempDir
    Path folder;

    @Test
    void servingLoadsNoLabOrCliClasses() throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), CONFIG);
        Path loaded = folder.resolve("loaded");
        Path log = folder.resolve("log");
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:file=" + loaded,
                "-cp",
                System.getProperty("java.class.path"),
                "rushproxy.Main",
                "serve");
        builder.environment().keySet().removeIf(k -> k.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", config.toString());
        Process process = builder.redirectError(log.toFile()).start();
        try {
            while (!Files.readString(log).contains(" serves on ")) {
                assertTrue(process.isAlive(), () -> "the process ended instead of serving");
                Thread.sleep(20);
            }
        } finally {
            process.destroy();
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        }
        List<String> classes = Files.readAllLines(loaded);
        assertTrue(
                classes.stream().anyMatch(l -> l.contains(" rushproxy.sidecar.Sidecar ")), "no classes were recorded");
        assertEquals(
                List.of(),
                classes.stream()
                        .filter(l -> l.matches(".* (" + FORBIDDEN_CLASSES + ")\\..*"))
                        .toList());
    }
}

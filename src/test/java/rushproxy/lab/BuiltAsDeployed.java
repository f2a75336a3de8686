package rushproxy.lab;

import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Makes the class archive before the first test of a build that starts real sidecars. The archive fits only the jar that it was made
 * from, and Maven has just made another one: without it each sidecar would load every class anew, as none that is deployed does.
 */
public final class BuiltAsDeployed implements BeforeAllCallback {
    private static final String WITH_PROCESSES = "IT";
    private static final Path TARGET = Path.of("target").toAbsolutePath();

    @Override
    public void beforeAll(ExtensionContext context) throws Exception {
        if (!context.getRequiredTestClass().getSimpleName().endsWith(WITH_PROCESSES)) {
            return;
        }
        // Test classes run in several processes at a time.
        try (FileChannel lock = FileChannel.open(
                        TARGET.resolve("archive.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock held = lock.lock()) {
            if (held.isValid() && !fits()) {
                int code = new ProcessBuilder("bash", "deploy/archive.sh")
                        .redirectErrorStream(true)
                        .redirectOutput(TARGET.resolve("archive-for-tests.log").toFile())
                        .start()
                        .waitFor();
                if (code != 0 || !fits()) {
                    throw new IllegalStateException("deploy/archive.sh made no archive, code " + code);
                }
            }
        }
    }

    private static boolean fits() throws Exception {
        Path archive = TARGET.resolve("sidecar.jsa");
        Path jar = TARGET.resolve("rushproxy.jar");
        return Files.exists(archive)
                && Files.getLastModifiedTime(archive).compareTo(Files.getLastModifiedTime(jar)) > 0;
    }
}

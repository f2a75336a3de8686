package rushproxy.known;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.extension.AnnotatedElementContext;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.io.TempDirFactory;

/**
 * Creates temporary folders below {@code target/tests}, named after the test. {@code junit-platform.properties} keeps the folder of a
 * failed test: its logs and observations are the only evidence of what happened in a run with several processes.
 */
public final class KeptFolders implements TempDirFactory {
    private static final Path ROOT = Path.of("target", "tests").toAbsolutePath();

    @Override
    public Path createTempDirectory(AnnotatedElementContext element, ExtensionContext context) throws IOException {
        Files.createDirectories(ROOT);
        String method = context.getTestMethod().map(m -> "." + m.getName()).orElse("");
        return Files.createTempDirectory(ROOT, context.getRequiredTestClass().getSimpleName() + method + "-");
    }
}

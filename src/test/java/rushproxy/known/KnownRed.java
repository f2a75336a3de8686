package rushproxy.known;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Leaves out exactly the tests that the file named by the environment variable {@code KNOWN_RED} lists, a
 * {@link KnownRedEntry} a line. Without the variable, as in a run by hand, every test runs.
 */
public final class KnownRed implements ExecutionCondition {
    private static final String FILE = System.getenv("KNOWN_RED");

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        if (FILE == null) {
            return ConditionEvaluationResult.enabled("no list of known failures");
        }
        Optional<Method> method = context.getTestMethod();
        if (method.isEmpty()) {
            return ConditionEvaluationResult.enabled("a class");
        }
        String test = context.getRequiredTestClass().getSimpleName() + "#"
                + method.get().getName();
        return read(Path.of(FILE)).stream()
                .filter(entry -> entry.test().equals(test))
                .findFirst()
                .map(entry -> ConditionEvaluationResult.disabled("known red: " + entry))
                .orElse(ConditionEvaluationResult.enabled("not listed"));
    }

    /** All entries of a list; throws for a line that lacks a part. */
    static List<KnownRedEntry> read(Path list) {
        try {
            return Files.readAllLines(list).stream().map(KnownRedEntry::parse).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

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
 * Disables exactly the tests listed in the file that the environment variable {@code KNOWN_RED} names, one {@link KnownRedEntry} per
 * line. All tests run if the variable is not set.
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
            return ConditionEvaluationResult.enabled("applies to test methods only");
        }
        String test = context.getRequiredTestClass().getSimpleName() + "#"
                + method.get().getName();
        return read(Path.of(FILE)).stream()
                .filter(entry -> entry.test().equals(test))
                .findFirst()
                .map(entry -> ConditionEvaluationResult.disabled("known red: " + entry))
                .orElse(ConditionEvaluationResult.enabled("not listed"));
    }

    /** Reads the entries of a list; throws for a malformed line. */
    static List<KnownRedEntry> read(Path list) {
        try {
            return Files.readAllLines(list).stream().map(KnownRedEntry::parse).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

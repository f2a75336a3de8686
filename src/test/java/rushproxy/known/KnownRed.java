package rushproxy.known;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Leaves out exactly the tests that the file named by the environment variable {@code KNOWN_RED} lists, as
 * {@code Class#method: cause, issue}. Without the variable, as in a run by hand, every test runs.
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
        String name = context.getRequiredTestClass().getSimpleName() + "#" + method.get().getName();
        return line(name).map(line -> ConditionEvaluationResult.disabled("known red: " + line))
                .orElse(ConditionEvaluationResult.enabled("not listed"));
    }

    private static Optional<String> line(String name) {
        try {
            return Files.readAllLines(Path.of(FILE)).stream().filter(l -> l.startsWith(name + ":")).findFirst();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

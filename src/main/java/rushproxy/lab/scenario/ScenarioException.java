package rushproxy.lab.scenario;

/** Thrown for an invalid scenario. The message is one line that names the file and the position of the error. */
public final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    public ScenarioException(String message) {
        super(message.replaceAll("\\s+", " ").trim());
    }
}

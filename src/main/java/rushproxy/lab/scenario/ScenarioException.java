package rushproxy.lab.scenario;

/** A scenario that can't be played; the message is one line that names the file and the place in it. */
public final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    public ScenarioException(String message) {
        super(message.replaceAll("\\s+", " ").trim());
    }
}

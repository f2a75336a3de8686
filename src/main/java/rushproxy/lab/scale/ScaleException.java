package rushproxy.lab.scale;

/** A scale run that can't be made; the message is one line that names the option at fault. */
public final class ScaleException extends Exception {
    private static final long serialVersionUID = 1L;

    public ScaleException(String message) {
        super(message);
    }
}

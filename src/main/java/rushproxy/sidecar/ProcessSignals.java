package rushproxy.sidecar;

import java.util.List;
import java.util.Map;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** What the platform asks of the process, from its first moment on. */
final class ProcessSignals {
    private final Map<String, String> environment;
    /** Null while there is none yet. */
    private Sidecar sidecar;

    private boolean reloadPending;

    ProcessSignals(Map<String, String> environment) {
        this.environment = environment;
    }

    /** False where a reload can't be asked for: the runtime leaves a signal ignored that was so at its start. */
    boolean installHandlers() {
        // Not a hook of the runtime's end: by then its logging has been taken down, and the last lines with it.
        for (String end : List.of("TERM", "INT")) {
            Signal.handle(new Signal(end), s -> onStopSignal());
        }
        return Signal.handle(new Signal("HUP"), s -> onReloadSignal()) != SignalHandler.SIG_IGN;
    }

    synchronized void sidecarStarted(Sidecar now) {
        sidecar = now;
        if (reloadPending) {
            now.reload(environment);
        }
    }

    private synchronized void onStopSignal() {
        // A stop that was asked for and went well is no failure, whatever signal asked; before the start nothing is
        // held.
        if (sidecar == null) {
            exit();
        }
        sidecar.stop(ProcessSignals::exit);
    }

    private static void exit() {
        Log.flush();
        Runtime.getRuntime().halt(0);
    }

    private synchronized void onReloadSignal() {
        reloadPending = true;
        if (sidecar != null) {
            sidecar.reload(environment);
        }
    }
}

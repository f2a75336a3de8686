package rushproxy.sidecar.operator;

import java.util.List;
import rushproxy.sidecar.Log;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Handles the signals sent to the process: SIGTERM and SIGINT stop it, SIGHUP reloads its configuration. */
public final class ProcessSignals {
    /** The program that the signals concern. */
    public interface Program {
        /** Stops gracefully; {@code stopped} runs when the process may end. */
        void stop(Runnable stopped);

        /** Reloads the configuration file. */
        void reload();
    }

    /** Null until startup is complete. */
    private Program program;

    private boolean reloadPending;

    /** Returns false if reloads are impossible, since the JVM keeps ignoring a SIGHUP that was ignored when it started. */
    public boolean installHandlers() {
        // Not a shutdown hook: java.util.logging may already be reset when hooks run, which would lose the last lines.
        for (String name : List.of("TERM", "INT")) {
            Signal.handle(new Signal(name), s -> onStopSignal());
        }
        return Signal.handle(new Signal("HUP"), s -> onReloadSignal()) != SignalHandler.SIG_IGN;
    }

    /** Passes on signals from now on, and a reload that was requested before. */
    public synchronized void programStarted(Program started) {
        program = started;
        if (reloadPending) {
            started.reload();
        }
    }

    private synchronized void onStopSignal() {
        // A requested stop exits with status 0 for either signal, and at once if startup is not complete.
        if (program == null) {
            exit();
        }
        program.stop(ProcessSignals::exit);
    }

    private static void exit() {
        Log.flush();
        Runtime.getRuntime().halt(0);
    }

    private synchronized void onReloadSignal() {
        reloadPending = true;
        if (program != null) {
            program.reload();
        }
    }
}

package rushproxy.lab.node;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Ends a laboratory's processes, by id, where the laboratory itself was ended by SIGKILL and can't: a shell that is told each
 * of them, and acts when its input ends. Belongs to one run, whose end closes it.
 */
public final class ProcessReaper implements AutoCloseable {
    /** An id is told with its process's start: the kernel may have given the id to somebody else. Ctrl-C reaches the shell too. */
    private static final String SCRIPT = """
            trap '' INT TERM HUP
            while read -r pid start; do all="$all $pid:$start"; done
            for one in $all; do
              [ "$(cut -d' ' -f22 "/proc/${one%%:*}/stat")" = "${one##*:}" ] && kill -9 "${one%%:*}"
            done
            exit 0
            """;

    private final Process shell;
    private final OutputStream shellInput;

    public ProcessReaper() throws IOException {
        shell = new ProcessBuilder("/bin/sh", "-c", SCRIPT)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        shellInput = shell.getOutputStream();
    }

    /** From now on it is ended with the laboratory. One that has ended already is nobody's. */
    public synchronized void register(Process p) throws IOException {
        String stat;
        try {
            stat = Files.readString(Path.of("/proc/" + p.pid() + "/stat"));
        } catch (IOException e) {
            return;
        }
        // The second field is the program's name in brackets, and may have any character.
        String start = stat.substring(stat.lastIndexOf(')') + 2).split(" ")[19];
        shellInput.write((p.pid() + " " + start + "\n").getBytes(StandardCharsets.US_ASCII));
        shellInput.flush();
    }

    /** Whoever is left of those it was told of ends now. */
    @Override
    public void close() throws IOException {
        shellInput.close();
        try {
            if (!shell.waitFor(5, TimeUnit.SECONDS)) {
                shell.destroyForcibly();
            }
        } catch (InterruptedException e) {
            shell.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}

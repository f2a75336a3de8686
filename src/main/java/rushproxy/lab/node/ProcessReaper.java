package rushproxy.lab.node;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Kills the laboratory's processes when the laboratory itself is killed by SIGKILL and can't: a shell reads their ids from its
 * standard input and kills them at end of file. One instance per run, closed at its end.
 */
public final class ProcessReaper implements AutoCloseable {
    /**
     * Compares the start time of each process, since the kernel may have reused its id. Ignores SIGINT, which Ctrl-C sends to the shell
     * too.
     */
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

    /** Has the process killed when the laboratory ends; does nothing if it has ended already. */
    public synchronized void register(Process p) throws IOException {
        String stat;
        try {
            stat = Files.readString(Path.of("/proc/" + p.pid() + "/stat"));
        } catch (IOException e) {
            return;
        }
        // The second field is the program's name in parentheses, and may hold any character.
        String start = stat.substring(stat.lastIndexOf(')') + 2).split(" ")[19];
        shellInput.write((p.pid() + " " + start + "\n").getBytes(StandardCharsets.US_ASCII));
        shellInput.flush();
    }

    /** Kills all registered processes that still run. */
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

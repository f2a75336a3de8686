package rushproxy.lab.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The log file of a node, appended to by all of its processes; two of them write at once while one replaces the other. */
final class NodeLog {
    private static final String SERVES = " serves on ";
    private static final Pattern LEAVES = Pattern.compile("leaves after (\\d+) ms");
    private static final int LAST_LINES = 3;

    private final Path file;

    NodeLog(Path file) {
        this.file = file;
    }

    Path file() {
        return file;
    }

    List<String> lines() throws IOException {
        return Files.exists(file) ? Files.readAllLines(file) : List.of();
    }

    long length() throws IOException {
        return Files.exists(file) ? Files.size(file) : 0;
    }

    /** Whether the log reports, from this byte offset on, that a process accepts clients. */
    boolean reportsServing(long fromByte) {
        try {
            byte[] all = Files.readAllBytes(file);
            int from = (int) Math.min(fromByte, all.length);
            return new String(all, from, all.length - from, StandardCharsets.UTF_8).contains(SERVES);
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns how long the last logged shutdown took after SIGTERM, in microseconds; empty if none is logged. */
    OptionalLong lastShutdownDurationUs() {
        OptionalLong durationUs = OptionalLong.empty();
        try {
            for (String line : lines()) {
                Matcher leaves = LEAVES.matcher(line);
                if (leaves.find()) {
                    durationUs = OptionalLong.of(1_000 * Long.parseLong(leaves.group(1)));
                }
            }
        } catch (IOException e) {
            // The caller then uses the time at which the exit was noticed.
        }
        return durationUs;
    }

    /** Returns the end of the log for an error message. */
    String lastLines() {
        try {
            List<String> lines = lines();
            return lines.isEmpty()
                    ? "its log is empty"
                    : String.join(" | ", lines.subList(Math.max(0, lines.size() - LAST_LINES), lines.size()));
        } catch (IOException e) {
            return "its log can't be read: " + e.getMessage();
        }
    }
}

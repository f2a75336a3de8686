package rushproxy.sidecar.operator;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.OptionalLong;
import rushproxy.sidecar.Json;

/**
 * A time by the machine's monotonic clock, which all processes share and which steps of the wall clock do not move. The clock begins
 * again when the machine is restarted, so a time is comparable only with others of the same boot.
 *
 * @param bootId identifies the boot of the machine; empty if unknown
 */
public record MachineTime(long nanos, String bootId) {
    /** Not comparable with any time. */
    static final MachineTime UNKNOWN = new MachineTime(0, "");

    private static final int VERSION = 1;
    private static final Path KERNEL_BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

    /** The time elapsed since {@code earlier}; empty if the two can't be compared. */
    OptionalLong nanosSince(MachineTime earlier) {
        long elapsed = nanos - earlier.nanos;
        return bootId.isEmpty() || !bootId.equals(earlier.bootId) || elapsed < 0
                ? OptionalLong.empty()
                : OptionalLong.of(elapsed);
    }

    /** Throws IllegalArgumentException if the text is no such time. */
    static MachineTime decode(byte[] text) {
        Json json = Json.parse(text);
        if (json.number("version") != VERSION) {
            throw new IllegalArgumentException("unsupported version " + json.number("version"));
        }
        return new MachineTime(json.number("atNanos"), json.text("boot"));
    }

    String encode() throws IOException {
        return JSON.std.asString(Map.of("version", VERSION, "atNanos", nanos, "boot", bootId));
    }

    /** The current time. */
    public static MachineTime now() {
        return new MachineTime(System.nanoTime(), readBootId());
    }

    private static String readBootId() {
        try {
            return Files.readString(KERNEL_BOOT_ID).trim();
        } catch (IOException e) {
            return "";
        }
    }
}

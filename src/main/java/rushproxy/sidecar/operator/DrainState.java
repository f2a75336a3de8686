package rushproxy.sidecar.operator;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.Map;
import java.util.OptionalLong;
import rushproxy.sidecar.Json;

/**
 * Whether the sidecar is drained, and since which command.
 *
 * @param changedAt when that was last changed, by the machine's monotonic clock; tells one command from the next
 */
public record DrainState(boolean isDrained, MachineTime changedAt) {
    /** No drain was ever requested. */
    public static final DrainState NEVER = new DrainState(false, MachineTime.UNKNOWN);
    /** Drained since an unknown time. */
    public static final DrainState SINCE_UNKNOWN_TIME = new DrainState(true, MachineTime.UNKNOWN);

    private static final int VERSION = 1;

    /** How long ago the state was changed; empty if that can't be known. */
    public OptionalLong ageNanos(MachineTime now) {
        return now.nanosSince(changedAt);
    }

    /** Throws IllegalArgumentException if the text is no such state. */
    static DrainState decode(byte[] text) {
        Json json = Json.parse(text);
        if (json.number("version") != VERSION) {
            throw new IllegalArgumentException("unsupported version " + json.number("version"));
        }
        return new DrainState(json.flag("drained"), new MachineTime(json.number("atNanos"), json.text("boot")));
    }

    String encode() throws IOException {
        return JSON.std.asString(Map.of(
                "version", VERSION, "drained", isDrained, "atNanos", changedAt.nanos(), "boot", changedAt.bootId()));
    }
}

package rushproxy.sidecar.operator;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.Map;
import rushproxy.sidecar.Json;

/**
 * Whether an upstream is cordoned.
 *
 * @param changedAtMs when that was last changed, by the wall clock; tells one command from the next
 */
public record CordonState(boolean isCordoned, long changedAtMs) {
    private static final int VERSION = 1;

    /** The state of one upstream, as its file has it. */
    record Entry(String upstream, CordonState state) {}

    /** Throws IllegalArgumentException if the text is no such state. */
    static Entry decode(byte[] text) {
        Json json = Json.parse(text);
        if (json.number("version") != VERSION) {
            throw new IllegalArgumentException("unsupported version " + json.number("version"));
        }
        return new Entry(json.text("id"), new CordonState(json.flag("out"), json.number("atMs")));
    }

    String encode(String upstream) throws IOException {
        return JSON.std.asString(Map.of("version", VERSION, "id", upstream, "out", isCordoned, "atMs", changedAtMs));
    }
}

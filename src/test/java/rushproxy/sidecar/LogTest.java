package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import rushproxy.sidecar.Log.Format;
import rushproxy.sidecar.Log.Level;

class LogTest {
    private static String format(Format form, String text, Object... fields) {
        return Log.format(new Log.Options(form, Level.INFO, "n\"3"), 1_700_000_000_123L, Level.WARN, text, fields);
    }

    @Test
    void plainFormatIsTheTextAlone() throws Exception {
        assertEquals("rushproxy: it is late\n", format(Format.PLAIN, "it is late", "late_ms", 5));
    }

    @Test
    void textFormatHasTimeLevelNodeAndFields() throws Exception {
        assertEquals(
                "2023-11-14T22:13:20.123Z WARN n\"3 it is late late_ms=5 why=\"a \\\"pause\\\"\"\n",
                format(Format.TEXT, "it is\nlate", "late_ms", 5, "why", "a \"pause\""));
    }

    @Test
    void jsonFormatIsOneObjectPerLine() throws Exception {
        String line = format(Format.JSON, "a \\ and\n\u0001 \"b\"", "n", 5, "x", 0.5, "nan", Double.NaN, "s", "t\tu");
        assertEquals(1, line.lines().count());
        Map<String, Object> parsed = JSON.std.mapFrom(line);
        assertEquals("n\"3", parsed.get("node"));
        assertEquals("warn", parsed.get("level"));
        assertEquals("a \\ and\n\u0001 \"b\"", parsed.get("text"));
        assertEquals(5, parsed.get("n"));
        assertEquals(0.5, parsed.get("x"));
        assertEquals("NaN", parsed.get("nan"));
        assertEquals("t\tu", parsed.get("s"));
    }

    @Test
    void levelFromEnvironmentTakesPrecedence() throws Exception {
        String json =
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\",\"known\":{\"generation\":1,"
                        + "\"reset\":true,\"instances\":[]},\"log\":{\"level\":\"warn\"},\"settings\":"
                        + SidecarRig.SETTINGS
                        + "}";
        assertEquals(
                Level.DEBUG,
                SidecarRig.parseConfig(json, Map.of("BALANCER_LOG_LEVEL", "debug"))
                        .logOptions()
                        .minLevel());
        assertEquals(
                Level.WARN,
                SidecarRig.parseConfig(json, Map.of("BALANCER_LOG_LEVEL", ""))
                        .logOptions()
                        .minLevel());
        assertTrue(assertThrows(
                        Config.InvalidConfigException.class,
                        () -> SidecarRig.parseConfig(json, Map.of("BALANCER_LOG_LEVEL", "loud")))
                .getMessage()
                .contains("BALANCER_LOG_LEVEL"));
    }

    @Test
    void logTableIsValidated() throws Exception {
        String rest =
                "\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\",\"known\":{\"generation\":1,\"reset\":true,"
                        + "\"instances\":[]},\"settings\":" + SidecarRig.SETTINGS + "}";
        assertEquals(
                new Log.Options(Format.JSON, Level.WARN, "n7"),
                SidecarRig.parseConfig("{\"name\":\"n7\",\"log\":{\"form\":\"json\",\"level\":\"warn\"}," + rest)
                        .logOptions());
        assertEquals(
                Format.PLAIN, SidecarRig.parseConfig("{" + rest).logOptions().format());
        for (String bad : new String[] {"{\"form\":\"xml\"}", "{\"level\":\"loud\"}", "{\"file\":\"x\"}"}) {
            assertTrue(
                    assertThrows(
                                    Config.InvalidConfigException.class,
                                    () -> SidecarRig.parseConfig("{\"log\":" + bad + "," + rest))
                            .getMessage()
                            .contains("'log."),
                    bad);
        }
    }

    /** Guards against a log that stays silent because the report of dropped lines fails too, as when memory is short. */
    @Test
    void loggingContinuesAfterADroppedLine() throws Exception {
        AtomicInteger remainingFailures = new AtomicInteger(2);
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        AsyncLogWriter writer = new AsyncLogWriter(new PrintStream(OutputStream.nullOutputStream()) {
            @Override
            public void write(byte[] bytes, int from, int length) {
                if (remainingFailures.getAndDecrement() > 0) {
                    throw new OutOfMemoryError("injected by the test");
                }
                lines.add(new String(bytes, from, length, StandardCharsets.UTF_8));
            }
        });
        writer.write("lost\n");
        String report = lines.poll(20, TimeUnit.SECONDS);
        assertTrue(report != null && report.contains("1 log lines were dropped"), report);
        writer.write("next\n");
        assertEquals("next\n", lines.poll(20, TimeUnit.SECONDS));
    }
}

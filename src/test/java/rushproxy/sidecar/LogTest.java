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
    private static String written(Format form, String text, Object... fields) {
        return Log.format(new Log.Options(form, Level.INFO, "n\"3"), 1_700_000_000_123L, Level.WARN, text, fields);
    }

    @Test
    void thePlainFormIsTheWords() throws Exception {
        assertEquals("rushproxy: it is late\n", written(Format.PLAIN, "it is late", "late_ms", 5));
    }

    @Test
    void theTextFormHasTimeLevelNodeAndFields() throws Exception {
        assertEquals(
                "2023-11-14T22:13:20.123Z WARN n\"3 it is late late_ms=5 why=\"a \\\"pause\\\"\"\n",
                written(Format.TEXT, "it is\nlate", "late_ms", 5, "why", "a \"pause\""));
    }

    @Test
    void theJsonFormIsOneObjectALine() throws Exception {
        String line = written(Format.JSON, "a \\ and\n\u0001 \"b\"", "n", 5, "x", 0.5, "nan", Double.NaN, "s", "t\tu");
        assertEquals(1, line.lines().count());
        Map<String, Object> read = JSON.std.mapFrom(line);
        assertEquals("n\"3", read.get("node"));
        assertEquals("warn", read.get("level"));
        assertEquals("a \\ and\n\u0001 \"b\"", read.get("text"));
        assertEquals(5, read.get("n"));
        assertEquals(0.5, read.get("x"));
        assertEquals("NaN", read.get("nan"));
        assertEquals("t\tu", read.get("s"));
    }

    /** An operator looks at one process's requests without another configuration. */
    @Test
    void theEnvironmentsLevelGoesFirst() throws Exception {
        String json =
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\",\"known\":{\"generation\":1,"
                        + "\"reset\":true,\"instances\":[]},\"log\":{\"level\":\"warn\"},\"settings\":"
                        + SidecarRig.SETTINGS
                        + "}";
        assertEquals(
                Level.DEBUG,
                SidecarRig.config(json, Map.of("BALANCER_LOG_LEVEL", "debug"))
                        .logOptions()
                        .minLevel());
        assertEquals(
                Level.WARN,
                SidecarRig.config(json, Map.of("BALANCER_LOG_LEVEL", ""))
                        .logOptions()
                        .minLevel());
        assertTrue(assertThrows(
                        Config.InvalidConfigException.class,
                        () -> SidecarRig.config(json, Map.of("BALANCER_LOG_LEVEL", "loud")))
                .getMessage()
                .contains("BALANCER_LOG_LEVEL"));
    }

    @Test
    void itsTableIsReadStrictly() throws Exception {
        String rest =
                "\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\",\"known\":{\"generation\":1,\"reset\":true,"
                        + "\"instances\":[]},\"settings\":" + SidecarRig.SETTINGS + "}";
        assertEquals(
                new Log.Options(Format.JSON, Level.WARN, "n7"),
                SidecarRig.config("{\"name\":\"n7\",\"log\":{\"form\":\"json\",\"level\":\"warn\"}," + rest)
                        .logOptions());
        assertEquals(Format.PLAIN, SidecarRig.config("{" + rest).logOptions().format());
        for (String bad : new String[] {"{\"form\":\"xml\"}", "{\"level\":\"loud\"}", "{\"file\":\"x\"}"}) {
            assertTrue(
                    assertThrows(
                                    Config.InvalidConfigException.class,
                                    () -> SidecarRig.config("{\"log\":" + bad + "," + rest))
                            .getMessage()
                            .contains("'log."),
                    bad);
        }
    }

    /** Guards against a log that is silent for good where memory lacks for the line that tells of a lost one. */
    @Test
    void aLogThatLostALineGoesOn() throws Exception {
        AtomicInteger fails = new AtomicInteger(2);
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        AsyncLogWriter writer = new AsyncLogWriter(new PrintStream(OutputStream.nullOutputStream()) {
            @Override
            public void write(byte[] bytes, int from, int length) {
                if (fails.getAndDecrement() > 0) {
                    throw new OutOfMemoryError("as the test wants");
                }
                lines.add(new String(bytes, from, length, StandardCharsets.UTF_8));
            }
        });
        writer.write("lost\n");
        String told = lines.poll(20, TimeUnit.SECONDS);
        assertTrue(told != null && told.contains("1 log lines were dropped"), told);
        writer.write("next\n");
        assertEquals("next\n", lines.poll(20, TimeUnit.SECONDS));
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushproxy.Balancer.Outcome;

/**
 * The steps of a request, its retries, its refusal and the reasons of closes can be followed by id at the debug level
 * only.
 */
@Timeout(60)
class RequestLogTest {
    private final List<String> lines = new CopyOnWriteArrayList<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord line) {
            lines.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void captureLog() {
        Logger.getLogger("rushproxy").addHandler(handler);
    }

    @AfterEach
    void restoreLog() {
        Log.configure(Log.Options.DEFAULT);
        Logger.getLogger("rushproxy").removeHandler(handler);
    }

    private void runRequests() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.reset());
            rig.addUpstream((m, line) -> line.answer("200 OK", "", ""));
            rig.onOutcome = (id, outcome, done, out) -> {
                if (outcome == Outcome.RESET) {
                    out.send(id, "u1", 0);
                }
            };
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("followed", 20_000));
                assertEquals(200, client.status());
                rig.awaitEvent("outcome followed 1 OK");
                rig.onRequest = (now, r, out) -> out.refuse(r.id(), 1_000);
                client.send(SidecarRig.getRequest("refused", 20_000));
                assertEquals(503, client.status());
                client.send("no HTTP\r\n\r\n");
                assertEquals(400, client.status());
                assertEquals(null, client.answer());
            }
        }
    }

    private boolean anyLine(String regex) {
        return lines.stream().anyMatch(line -> line.matches(regex));
    }

    @Test
    void debugLevelLogsEachStepOfARequestAndTheReasonOfEachClose() throws Exception {
        Log.configure(new Log.Options(Log.Format.PLAIN, Log.Level.DEBUG, "n0"));
        runRequests();
        for (String step : List.of(
                "request followed taken, class c, .*",
                "request followed attempt 0 to u0, .*",
                "request followed attempt 0 to u0 ended RESET after .*",
                "request followed attempt 1 to u1, .*",
                "request followed attempt 1 to u1 ended OK after .*",
                "request followed answered 200 .*",
                "request refused refused",
                "connection .* rejected with status 400",
                "connection .* closed: last answer")) {
            assertTrue(anyLine(step), step + " is not among " + lines);
        }
    }

    /** Guards against counts from which the reason for an unserved request can't be told without debug lines. */
    @Test
    void countsReportReasonAndAgeOfUnservedRequests() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.reset());
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("failed", 20_000));
                assertEquals(502, client.status());
                rig.onRequest = (now, r, out) -> out.refuse(r.id(), 1_000);
                client.send(SidecarRig.getRequest("refused", 20_000));
                assertEquals(503, client.status());
            }
            TestServer.awaitUntil(() -> anyLine(".*not served.*"));
            assertTrue(
                    anyLine(
                            ".*not served \\{failed, attempts \\[RESET\\], under \\d+ ms=1, refused, attempts \\[\\], under \\d+ ms=1\\}.*"),
                    lines.toString());
        }
    }

    @Test
    void otherLevelsLogNothingAboutSingleRequests() throws Exception {
        Log.configure(Log.Options.DEFAULT);
        runRequests();
        assertTrue(
                lines.stream().noneMatch(line -> line.contains("request followed") || line.startsWith("connection ")),
                lines.toString());
    }
}

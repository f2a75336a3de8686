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

/** One request's way, its retries, its refusal and the reasons of closes can be followed by id at the debug level, and at no other. */
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
    void listen() {
        Logger.getLogger("rushproxy").addHandler(handler);
    }

    @AfterEach
    void quiet() {
        Log.configure(Log.Options.DEFAULT);
        Logger.getLogger("rushproxy").removeHandler(handler);
    }

    private void play() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.reset());
            rig.addUpstream((m, line) -> line.answer("200 OK", "", ""));
            rig.onOutcome = (id, outcome, done, out) -> {
                if (outcome == Outcome.RESET) {
                    out.send(id, "u1", 0);
                }
            };
            rig.start();
            try (Peer.Client c = rig.client()) {
                c.send(SidecarRig.getRequest("followed", 20_000));
                assertEquals(200, c.status());
                rig.awaitEvent("outcome followed 1 OK");
                rig.onRequest = (now, r, out) -> out.refuse(r.id(), 1_000);
                c.send(SidecarRig.getRequest("refused", 20_000));
                assertEquals(503, c.status());
                c.send("no HTTP\r\n\r\n");
                assertEquals(400, c.status());
                assertEquals(null, c.answer());
            }
        }
    }

    private boolean any(String regex) {
        return lines.stream().anyMatch(l -> l.matches(regex));
    }

    @Test
    void theDebugLevelTellsEachStepOfARequestAndTheReasonOfEachClose() throws Exception {
        Log.configure(new Log.Options(Log.Format.PLAIN, Log.Level.DEBUG, "n0"));
        play();
        for (String step : List.of(
                "request followed taken, class c, .*",
                "request followed attempt 0 to u0, .*",
                "request followed attempt 0 to u0 ended RESET after .*",
                "request followed attempt 1 to u1, .*",
                "request followed attempt 1 to u1 ended OK after .*",
                "request followed answered 200 .*",
                "request refused refused",
                "connection .* is answered 400",
                "connection .* closed: last answer")) {
            assertTrue(any(step), step + " is not among " + lines);
        }
    }

    /** What became of those that were not served can be told from the counts alone, without a line for each. */
    @Test
    void theCountsTellReasonAndAgeOfEachThatWasNotServed() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.reset());
            rig.start();
            try (Peer.Client c = rig.client()) {
                c.send(SidecarRig.getRequest("failed", 20_000));
                assertEquals(502, c.status());
                rig.onRequest = (now, r, out) -> out.refuse(r.id(), 1_000);
                c.send(SidecarRig.getRequest("refused", 20_000));
                assertEquals(503, c.status());
            }
            Peer.await(() -> any(".*not served.*"));
            assertTrue(
                    any(
                            ".*not served \\{failed, attempts \\[RESET\\], under \\d+ ms=1, refused, attempts \\[\\], under \\d+ ms=1\\}.*"),
                    lines.toString());
        }
    }

    @Test
    void otherLevelsTellNothingOfSingleRequests() throws Exception {
        Log.configure(Log.Options.DEFAULT);
        play();
        assertTrue(
                lines.stream().noneMatch(l -> l.contains("request followed") || l.contains("connection ")),
                lines.toString());
    }
}

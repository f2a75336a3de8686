package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a reader of the log that stops reading: its full pipe held up the event loop, and with it every request. */
@Timeout(60)
class BlockedLogReaderIT {
    /** Each writes several lines at the debug level: together more than a pipe holds. */
    private static final int REQUESTS = 600;

    private static final long REMAINING_MS = 800;

    @TempDir
    Path folder;

    @Test
    void requestsAreAnsweredWhileNobodyReadsTheLog() throws Exception {
        try (FakeServices standIns = new FakeServices()) {
            standIns.addServers(1, (m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
            SidecarProcess sidecar = standIns.start(folder, Map.of("BALANCER_LOG_LEVEL", "debug"));
            sidecar.stopReadingLog();
            try (Peer.Client client = sidecar.client()) {
                for (int i = 0; i < REQUESTS; i++) {
                    client.send(SidecarProcess.get("unread-" + i, "safe", REMAINING_MS));
                    assertEquals(200, client.status(), "request " + i);
                }
            }
        }
    }
}

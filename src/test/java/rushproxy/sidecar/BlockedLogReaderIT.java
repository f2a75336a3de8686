package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a log reader that stops reading: a full pipe must not block the event loop. */
@Timeout(60)
class BlockedLogReaderIT {
    /** Each request logs several lines at the debug level, together more than a pipe holds. */
    private static final int REQUEST_COUNT = 600;

    private static final long REMAINING_MS = 800;

    @TempDir
    Path folder;

    @Test
    void requestsAreAnsweredWhileTheLogIsNotRead() throws Exception {
        try (FakeServices services = new FakeServices()) {
            services.addServers(1, (m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
            SidecarProcess sidecar = services.start(folder, Map.of("BALANCER_LOG_LEVEL", "debug"));
            sidecar.stopReadingLog();
            try (TestServer.Client client = sidecar.client()) {
                for (int i = 0; i < REQUEST_COUNT; i++) {
                    client.send(SidecarProcess.getRequest("unread-" + i, "safe", REMAINING_MS));
                    assertEquals(200, client.status(), "request " + i);
                }
            }
        }
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rushproxy.lab.node.SharedSocket;

/** Requests whose id comes again at the second process of an upgrade. */
@Timeout(120)
class UpgradeRepeatIT {
    private static final long REMAINING_MS = 1_200;

    @TempDir
    Path folder;

    /** Guards against an id that runs at both processes of an upgrade, since its client left the first and came again. */
    @ParameterizedTest
    @CsvSource({"unsafe, 400, 1", "safe, 200, 2"})
    void anIdOfTheOldProcessDoesNotRunAtTheNewOne(String requestClass, int status, int runs) throws Exception {
        Semaphore mayAnswer = new Semaphore(0);
        try (SharedSocket socket = new SharedSocket(new InetSocketAddress("127.0.0.1", 0));
                FakeServices services = new FakeServices()) {
            services.addServers(1, (request, line) -> {
                mayAnswer.acquireUninterruptibly();
                line.answer("200 OK", "", "served");
            });
            TestServer server = services.servers.get(0);
            SidecarProcess first = services.startInheriting(socket, folder, Map.of());
            try (TestServer.Client leaves = new TestServer.Client(socket.address())) {
                leaves.send(SidecarProcess.getRequest("a1", requestClass, REMAINING_MS));
                server.next();
            }
            services.startInheriting(socket, folder, Map.of());
            try {
                first.process.destroy();
                mayAnswer.release(2);
                first.process.waitFor();
                try (TestServer.Client again = new TestServer.Client(socket.address())) {
                    again.send(SidecarProcess.getRequest("a1", requestClass, REMAINING_MS));
                    assertEquals(status, again.status());
                }
                assertEquals(runs, 1 + server.messages.size());
            } finally {
                first.close();
            }
        }
    }
}

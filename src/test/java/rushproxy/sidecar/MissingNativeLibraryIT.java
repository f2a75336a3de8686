package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs a sidecar process that can't load Netty's native library. */
@Timeout(60)
class MissingNativeLibraryIT {
    @TempDir
    Path folder;

    /** Options that override those of the command line. The work directory can't be created, since its parent is a file. */
    static Map<String, String> withoutLibrary(Path folder) {
        return Map.of(
                "_JAVA_OPTIONS",
                "-Djava.library.path=" + folder + " -Dio.netty.native.workdir=" + folder.resolve("config.json/none"));
    }

    /** Guards against a startup that fails, or silently does without TCP_INFO, if the library is missing. */
    @Test
    void servesAndLogsTheMissingLibraryOnce() throws Exception {
        try (FakeServices services = new FakeServices()) {
            services.addServers(1, (message, line) -> line.answer("200 OK", "", "served"));
            SidecarProcess sidecar = services.start(folder, withoutLibrary(folder));
            try (TestServer.Client client = sidecar.client()) {
                client.send(SidecarProcess.getRequest("a", "safe", 800));
                assertEquals(200, client.status());
            }
            long logged = sidecar.log.stream()
                    .filter(line -> line.contains("TCP_INFO is unavailable"))
                    .count();
            assertEquals(1, logged, sidecar.log::toString);
        }
    }
}

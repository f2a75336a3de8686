package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A real sidecar whose native library can't be had. */
@Timeout(60)
class MissingNativeLibraryIT {
    @TempDir
    Path folder;

    /** Guards against a start that is silently without the kernel's figures, or fails, where the library is missing. */
    @Test
    void itServesAndTellsOnceWhatIsMissing() throws Exception {
        // These come after those of the command line. Below a file no folder can be made to unpack the library to.
        String options =
                "-Djava.library.path=" + folder + " -Dio.netty.native.workdir=" + folder.resolve("config.json/none");
        try (FakeServices standIns = new FakeServices()) {
            standIns.addServers(1, (message, line) -> line.answer("200 OK", "", "served"));
            SidecarProcess sidecar = standIns.start(folder, Map.of("_JAVA_OPTIONS", options));
            try (Peer.Client client = sidecar.client()) {
                client.send(SidecarProcess.get("a", "safe", 800));
                assertEquals(200, client.status());
            }
            long told = sidecar.log.stream()
                    .filter(line -> line.contains("TCP_INFO is unavailable"))
                    .count();
            assertEquals(1, told, sidecar.log::toString);
        }
    }
}

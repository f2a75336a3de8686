package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A real sidecar whose native library can't be used. */
@Timeout(60)
class NativePartIT {
    private static final String LIBRARY = "libnetty_transport_native_epoll_x86_64.so";

    /** Guards against a start that ends by SIGBUS, or silently without the kernel's figures, for a library cut off or missing. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void itServesAndTellsOnceWhatIsMissing(boolean cut, @TempDir Path folder) throws Exception {
        if (cut) {
            try (InputStream whole = NativePartIT.class.getResourceAsStream("/META-INF/native/" + LIBRARY)) {
                byte[] bytes = whole.readAllBytes();
                Files.write(folder.resolve(LIBRARY), Arrays.copyOf(bytes, bytes.length / 2));
            }
        }
        // These come after those of the command line. Below a file no folder can be made to unpack the library to.
        String options = "-Djava.library.path=" + folder;
        if (!cut) {
            options += " -Dio.netty.native.workdir=" + folder.resolve("config.json/none");
        }
        try (StandIns standIns = new StandIns()) {
            standIns.servers(1, (message, line) -> line.answer("200 OK", "", "served"));
            SidecarProcess sidecar = standIns.start(folder, Map.of("_JAVA_OPTIONS", options));
            try (Peer.Client client = sidecar.client()) {
                client.send(SidecarProcess.get("a", "safe", 800));
                assertEquals(200, client.status());
            }
            assertEquals(
                    1,
                    sidecar.log.stream()
                            .filter(line -> line.contains("kernel's figures for connections are unknown"))
                            .count(),
                    sidecar.log::toString);
        }
    }
}

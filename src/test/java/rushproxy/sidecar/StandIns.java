package rushproxy.sidecar;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rushproxy.lab.node.SharedSocket;

/** What a real sidecar meets in a test: discovery that says nothing, and servers; closed together with the sidecar. */
final class StandIns implements AutoCloseable {
    final List<TestServer> servers = new ArrayList<>();
    final TestServer discovery = new TestServer((message, line) -> {});
    private SidecarProcess sidecar;

    StandIns() throws IOException {}

    /** So many more servers that answer so. */
    void servers(int count, TestServer.Handler script) throws IOException {
        for (int i = 0; i < count; i++) {
            servers.add(new TestServer(script));
        }
    }

    /** The sidecar that is closed with these; one that was started before is the caller's to close. */
    SidecarProcess start(Path folder, Map<String, String> environment) throws Exception {
        sidecar = SidecarProcess.start(folder, discovery, servers, environment);
        return sidecar;
    }

    /** As {@link #start}, on a socket that is held. */
    SidecarProcess startOn(SharedSocket socket, Path folder, Map<String, String> environment) throws Exception {
        sidecar = SidecarProcess.startOn(socket, folder, discovery, servers, environment);
        return sidecar;
    }

    @Override
    public void close() throws Exception {
        if (sidecar != null) {
            sidecar.close();
        }
        for (TestServer server : servers) {
            server.close();
        }
        discovery.close();
    }
}

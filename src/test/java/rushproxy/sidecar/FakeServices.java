package rushproxy.sidecar;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rushproxy.lab.node.SharedSocket;

/** What a real sidecar meets in a test: discovery that says nothing, and servers; closed together with the sidecar. */
final class FakeServices implements AutoCloseable {
    final List<Peer> servers = new ArrayList<>();
    final Peer discovery = new Peer((message, line) -> {});
    private SidecarProcess sidecar;

    FakeServices() throws IOException {}

    /** So many more servers that answer so. */
    void addServers(int count, Peer.Script script) throws IOException {
        for (int i = 0; i < count; i++) {
            servers.add(new Peer(script));
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
        for (Peer server : servers) {
            server.close();
        }
        discovery.close();
    }
}

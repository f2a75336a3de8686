package rushproxy.lab.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * Checks that an address is free by binding it until closed. It does not listen, so connections made meanwhile are refused: closing
 * a listener would reset the connections accepted into its backlog.
 */
final class AddressProbe implements AutoCloseable {
    private final Socket socket = new Socket();

    /** Binds the address; throws if it is in use or not an address of this machine. */
    AddressProbe(InetSocketAddress address) throws IOException {
        try {
            socket.setReuseAddress(true);
            socket.bind(address);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

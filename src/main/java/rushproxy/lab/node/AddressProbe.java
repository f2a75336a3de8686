package rushproxy.lab.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A look at whether somebody listens on an address; lasts until it is closed. It has the address without listening, so that whoever
 * connects meanwhile is refused: a listener's end would reset the connections that its queue had let up.
 */
final class AddressProbe implements AutoCloseable {
    private final Socket socket = new Socket();

    /** Fails where somebody listens there, or where this machine does not have the address. */
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

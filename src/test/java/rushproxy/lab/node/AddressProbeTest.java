package rushproxy.lab.node;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import rushproxy.lab.world.Addresses;

class AddressProbeTest {
    /** Guards against a probe that accepts a client's connection and resets it when closed, which would count as a loss by the sidecar. */
    @Test
    void connectionsAreRefusedWhileAddressIsProbed() throws Exception {
        try (Addresses own = Addresses.claim()) {
            InetSocketAddress address = own.listen(0);
            try (AddressProbe probe = new AddressProbe(address);
                    Socket client = new Socket()) {
                assertThrows(ConnectException.class, () -> client.connect(address));
            }
            try (ServerSocket other = new ServerSocket(address.getPort(), 1, address.getAddress())) {
                assertThrows(IOException.class, () -> new AddressProbe(address), other + " listens on the address");
            }
        }
    }
}

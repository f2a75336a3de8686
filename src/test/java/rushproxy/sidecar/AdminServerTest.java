package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The administrative port replies to every line, and no connection can block another. */
@Timeout(60)
class AdminServerTest {
    @Test
    void healthIsAcknowledgedOnceClientsAreAccepted() throws Exception {
        try (Rig rig = new Rig().withAdmin().start()) {
            assertEquals("ACK\n", rig.call("health"));
            assertEquals("ACK\n", rig.call("health\r"));
        }
    }

    @Test
    void invalidCommandsAreRefused() throws Exception {
        try (Rig rig = new Rig().withAdmin().start()) {
            for (String line : List.of(
                    "", "reboot", "HEALTH", "health now", "cordon", "cordon ", "cordon a b", "x".repeat(9_000))) {
                String answer = rig.call(line);
                assertTrue(answer.startsWith("NAK"), line + ": " + answer);
            }
        }
    }

    @Test
    void onlyTheFirstLineOfAConnectionIsExecuted() throws Exception {
        try (Rig rig = new Rig().withAdmin().start();
                Peer.Client c = rig.operator()) {
            assertEquals("ACK\n", c.send("health\nquiesce\n").rest());
            try (Peer.Client client = rig.client()) {
                client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(null, client.answer().header("Connection"), "the second command was executed");
            }
        }
    }

    @Test
    void incompleteAndMissingCommandsAreRefused() throws Exception {
        try (Rig rig = new Rig().withAdmin().start()) {
            try (Peer.Client ended = rig.operator();
                    Peer.Client half = rig.operator();
                    Peer.Client silent = rig.operator()) {
                ended.send("quies");
                ended.socket.shutdownOutput();
                assertTrue(ended.rest().startsWith("NAK"));
                half.send("heal");
                assertTrue(half.rest().startsWith("NAK"));
                assertTrue(silent.rest().startsWith("NAK"));
            }
            try (Peer.Client ended = rig.operator()) {
                ended.send("health\n");
                ended.socket.shutdownOutput();
                assertEquals("ACK\n", ended.rest());
            }
        }
    }

    @Test
    void idleConnectionsDoNotBlockOthers() throws Exception {
        try (Rig rig = new Rig().withAdmin().start()) {
            List<Peer.Client> silent = new ArrayList<>();
            for (int i = 0; i < 3 * AdminServer.MAX_CONNECTIONS; i++) {
                silent.add(rig.operator());
                assertEquals("ACK\n", rig.call("health"));
            }
            for (Peer.Client c : silent) {
                c.close();
            }
        }
    }

    @Test
    void nothingListensWithoutAnAddress() throws Exception {
        try (Rig rig = new Rig().start()) {
            assertEquals(null, rig.sidecar.administered());
        }
    }
}

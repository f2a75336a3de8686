package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The operators' address answers every line, and nobody there holds up another. */
@Timeout(60)
class AdminServerTest {
    @Test
    void healthIsYesOnceClientsAreTaken() throws Exception {
        try (SidecarRig rig = new SidecarRig().withAdmin().start()) {
            assertEquals("ACK\n", rig.callAdmin("health"));
            assertEquals("ACK\n", rig.callAdmin("health\r"));
        }
    }

    @Test
    void whatIsNoCallIsRefused() throws Exception {
        try (SidecarRig rig = new SidecarRig().withAdmin().start()) {
            for (String line : List.of(
                    "", "reboot", "HEALTH", "health now", "cordon", "cordon ", "cordon a b", "x".repeat(9_000))) {
                String answer = rig.callAdmin(line);
                assertTrue(answer.startsWith("NAK"), line + ": " + answer);
            }
        }
    }

    @Test
    void oneLineToAConnection() throws Exception {
        try (SidecarRig rig = new SidecarRig().withAdmin().start();
                Peer.Client c = rig.adminClient()) {
            assertEquals("ACK\n", c.send("health\nquiesce\n").rest());
            try (Peer.Client client = rig.client()) {
                client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(null, client.answer().header("Connection"), "a second call was carried out");
            }
        }
    }

    @Test
    void halfACallGetsItsNoAndSoDoesSilence() throws Exception {
        try (SidecarRig rig = new SidecarRig().withAdmin().start()) {
            try (Peer.Client ended = rig.adminClient();
                    Peer.Client half = rig.adminClient();
                    Peer.Client silent = rig.adminClient()) {
                ended.send("quies");
                ended.socket.shutdownOutput();
                assertTrue(ended.rest().startsWith("NAK"));
                half.send("heal");
                assertTrue(half.rest().startsWith("NAK"));
                assertTrue(silent.rest().startsWith("NAK"));
            }
            try (Peer.Client ended = rig.adminClient()) {
                ended.send("health\n");
                ended.socket.shutdownOutput();
                assertEquals("ACK\n", ended.rest());
            }
        }
    }

    @Test
    void callersThatStayKeepNobodyOut() throws Exception {
        try (SidecarRig rig = new SidecarRig().withAdmin().start()) {
            List<Peer.Client> silent = new ArrayList<>();
            for (int i = 0; i < 3 * AdminServer.MOST_CALLERS; i++) {
                silent.add(rig.adminClient());
                assertEquals("ACK\n", rig.callAdmin("health"));
            }
            for (Peer.Client c : silent) {
                c.close();
            }
        }
    }

    @Test
    void withoutAnAddressNothingListens() throws Exception {
        try (SidecarRig rig = new SidecarRig().start()) {
            assertEquals(null, rig.sidecar.adminAddress());
        }
    }
}

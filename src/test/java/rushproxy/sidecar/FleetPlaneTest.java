package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushproxy.PeerWord;
import rushproxy.fleet.Envelope;

/** The fleet plane on the sidecar's sockets: what is whose, and what is said at the end. */
@Timeout(60)
class FleetPlaneTest {
    private static final int WORD = PeerWord.length(1, 1);

    private static DatagramSocket socket() throws Exception {
        DatagramSocket s = new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        s.setSoTimeout(20_000);
        return s;
    }

    private static Rig rig(DatagramSocket peer) throws Exception {
        Rig rig = new Rig().withAdmin();
        rig.peerFields = "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:9\",\"127.0.0.1:" + peer.getLocalPort()
                + "\"],\"fleet\":{\"members\":true},";
        return rig;
    }

    private static Envelope.Letter next(DatagramSocket peer, DatagramPacket into) throws Exception {
        into.setLength(1_000);
        peer.receive(into);
        assertTrue(into.getLength() <= Envelope.MOST && into.getLength() != WORD, "" + into.getLength());
        return Envelope.read(java.util.Arrays.copyOf(into.getData(), into.getLength()));
    }

    @Test
    void lettersAreItsOwnAndWordsTheModules() throws Exception {
        try (DatagramSocket peer = socket(); Rig rig = rig(peer).start()) {
            DatagramPacket got = new DatagramPacket(new byte[1_000], 1_000);
            Envelope.Letter first = next(peer, got);
            assertEquals(Envelope.id("n0"), first.sender());
            InetSocketAddress sidecar = (InetSocketAddress) got.getSocketAddress();
            byte[] ping = Envelope.from(Envelope.id("n1"), System.currentTimeMillis()).add(1, ByteBuffer.allocate(2)
                    .putShort((short) 77)).bytes(WORD);
            peer.send(new DatagramPacket(ping, ping.length, sidecar));
            Envelope.Letter answer;
            do {
                answer = next(peer, got);
            } while (answer.sections().get(0).type() != 2);
            assertEquals(77, ByteBuffer.wrap(answer.sections().get(0).bytes()).getShort());
            peer.send(new DatagramPacket(new byte[WORD], WORD, sidecar));
            assertEquals("peer 1 " + WORD, rig.await("peer"), "the letter came to the module");
            assertEquals("fleet 2 MAJORITY", rig.await("fleet 2"));
            String members = rig.call("members");
            assertTrue(members.startsWith("ACK {\"self\":\"n0\",\"here\":2,\"expected\":2,\"standing\":\"majority\""), members);
            CountDownLatch stopped = new CountDownLatch(1);
            rig.sidecar.stop(stopped::countDown);
            Envelope.Letter last;
            do {
                last = next(peer, got);
            } while (last.sections().get(0).type() != 6 || last.sections().get(0).bytes()[12] != 3);
            assertEquals(Envelope.id("n0"), last.sender());
            stopped.await();
        }
    }

    @Test
    void withoutItNothingIsSentAndNoViewIsKept() throws Exception {
        try (Rig rig = new Rig().withAdmin().start()) {
            assertEquals("NAK keeps no view of members\n", rig.call("members"));
        }
    }

    @Test
    void aMistakeInItsTableNamesThePlace() {
        String rest = "\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\",\"known\":{\"generation\":1,\"reset\":true,"
                + "\"instances\":[]},\"settings\":" + Rig.SETTINGS + "}";
        assertTrue(assertThrows(Config.Broken.class, () -> Rig.config("{\"fleet\":{\"memberz\":true}," + rest)).getMessage()
                .contains("'fleet.memberz' is unknown"));
        assertTrue(assertThrows(Config.Broken.class, () -> Rig.config("{\"fleet\":{\"members\":true}," + rest)).getMessage()
                .contains("'fleet.members' needs 'peer_listen'"));
    }
}

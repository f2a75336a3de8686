package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.Channel;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Datagrams between sidecars. */
@Timeout(60)
class PeersTest {
    private static DatagramSocket socket() throws Exception {
        DatagramSocket s = new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        s.setSoTimeout(20_000);
        return s;
    }

    @Test
    void onlyDatagramsOfPeersWithinTheSizeLimitArePassedOn() throws Exception {
        try (DatagramSocket peer = socket();
                DatagramSocket stranger = socket();
                DatagramSocket everyone = socket();
                SidecarRig rig = new SidecarRig()) {
            rig.peerFields = "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:9\",\"127.0.0.1:"
                    + peer.getLocalPort() + "\"],\"peers_all\":\"127.0.0.1:" + everyone.getLocalPort() + "\",";
            rig.onRequest = (now, r, out) -> {
                out.sendToPeer(1, new byte[5]);
                out.sendToPeer(7, new byte[5]);
                out.sendToPeer(1, new byte[257]);
                out.sendToPeer(1, new byte[256]);
                out.sendToPeer(-1, new byte[7]);
                out.fail(r.id());
            };
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals(502, client.status());
            }
            DatagramPacket got = new DatagramPacket(new byte[1000], 1000);
            peer.receive(got);
            assertEquals(5, got.getLength());
            InetSocketAddress sidecar = (InetSocketAddress) got.getSocketAddress();
            got.setLength(1000);
            peer.receive(got);
            assertEquals(256, got.getLength());
            got.setLength(1000);
            everyone.receive(got);
            assertEquals(7, got.getLength());

            stranger.send(new DatagramPacket(new byte[3], 3, sidecar));
            peer.send(new DatagramPacket(new byte[257], 257, sidecar));
            peer.send(new DatagramPacket(new byte[0], 0, sidecar));
            peer.send(new DatagramPacket(new byte[256], 256, sidecar));
            assertEquals("peer 1 0", rig.awaitEvent("peer"));
            assertEquals("peer 1 256", rig.awaitEvent("peer"));
        }
    }

    /** Guards against a sidecar that stops receiving after the transport has closed its socket, as on a read error such as ENOMEM. */
    @Test
    void aClosedSocketIsReplaced() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (DatagramSocket peer = socket();
                DatagramSocket free = socket()) {
            InetSocketAddress address = (InetSocketAddress) free.getLocalSocketAddress();
            free.close();
            Peers peers = new Peers(
                    new Clock(),
                    new BalancerDispatcher(),
                    List.of((InetSocketAddress) peer.getLocalSocketAddress()),
                    null);
            peers.listen(group.next(), address);
            Channel first = awaitBound(peers, null);
            first.close().sync();
            awaitBound(peers, first);
            peers.send(0, new byte[3]);
            DatagramPacket got = new DatagramPacket(new byte[10], 10);
            peer.receive(got);
            assertEquals(3, got.getLength());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }

    private static Channel awaitBound(Peers peers, Channel previous) throws InterruptedException {
        Channel now;
        while ((now = peers.channel()) == null || now == previous) {
            Thread.sleep(5);
        }
        return now;
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A second process takes clients from the socket that both have, and the first leaves without losing one. */
@Timeout(60)
class HandOverTest {
    private static ServerSocketChannel socket() throws Exception {
        return ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
    }

    private static Rig rig(ServerSocketChannel socket) throws Exception {
        Rig rig = new Rig().withAdmin();
        rig.inherited = socket;
        rig.upstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
        return rig;
    }

    @Test
    void theOldLeavesTheListenerOpenAndClosesWhatIsQuiet() throws Exception {
        try (ServerSocketChannel socket = socket();
                Rig old = rig(socket);
                Rig fresh = rig(socket)) {
            InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
            old.start();
            old.sidecar.warmUp();
            Peer.Client idle = new Peer.Client(address);
            idle.send(Rig.get("a1", 20_000));
            assertEquals("a1", idle.answer().body());
            fresh.start();
            fresh.sidecar.warmUp();
            CountDownLatch stopped = new CountDownLatch(1);
            old.sidecar.stop(stopped::countDown);
            assertEquals(null, idle.answer());
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            assertTrue(socket.isOpen());
            for (int i = 0; i < 20; i++) {
                try (Peer.Client c = new Peer.Client(address)) {
                    c.send(Rig.get("n" + i, 20_000));
                    assertEquals("n" + i, c.answer().body());
                }
            }
            assertTrue(old.told.stream().noneMatch(t -> t.startsWith("request n")), "the old one still took clients");
        }
    }

    /** The other process would answer them, or its clients would find them in their way. */
    @Test
    void aWarmUpKeepsOffTheSharedSocket() throws Exception {
        try (ServerSocketChannel socket = socket();
                Rig rig = rig(socket)) {
            socket.configureBlocking(false);
            AtomicInteger came = new AtomicInteger();
            AtomicBoolean over = new AtomicBoolean();
            Thread other = new Thread(() -> {
                try {
                    while (!over.get()) {
                        SocketChannel c = socket.accept();
                        if (c != null) {
                            came.incrementAndGet();
                            c.close();
                        }
                    }
                } catch (java.io.IOException e) {
                    came.addAndGet(1_000);
                }
            });
            other.start();
            rig.start();
            rig.sidecar.warmUp();
            over.set(true);
            other.join();
            assertEquals(0, came.get());
        }
    }

    @Test
    void healthSaysNoUntilTheSharedSocketIsTaken() throws Exception {
        try (ServerSocketChannel socket = socket();
                Rig rig = rig(socket)) {
            rig.start();
            Thread warmUp = new Thread(() -> {
                try {
                    rig.sidecar.warmUp();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            warmUp.start();
            while (rig.call("health").startsWith("NAK")) {
                Thread.sleep(1);
            }
            try (Peer.Client c = new Peer.Client((InetSocketAddress) socket.getLocalAddress())) {
                c.send(Rig.get("a1", 20_000));
                assertEquals("a1", c.answer().body());
            }
            warmUp.join();
        }
    }

    @Test
    void theAddressOfThePeersIsNoObstacle() throws Exception {
        try (DatagramSocket probe = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + probe.getLocalPort();
            try (Rig held = rig(null)) {
                // Held by one that does not share: the start does not wait for it.
                held.peerFields = "\"peer_listen\":\"" + address + "\",\"peers\":[\"" + address + "\"],";
                held.start();
                try (Peer.Client c = held.client()) {
                    c.send(Rig.get("a1", 20_000));
                    assertEquals("a1", c.answer().body());
                }
            }
        }
    }

    @Test
    void anotherDescriptorIsABrokenConfiguration() {
        assertThrows(
                Config.Broken.class,
                () -> Config.read(
                        java.util.Map.of("BALANCER_CONFIG", "deploy/rehearsal.json", "BALANCER_ACCEPT_FD", "7")));
    }
}

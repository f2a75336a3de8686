package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A second process takes clients from the socket that both have, and the first leaves without losing one. */
@Timeout(60)
class ListenerHandoverTest {
    private static ServerSocketChannel socket() throws Exception {
        return ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
    }

    private static SidecarRig rig(ServerSocketChannel socket) throws Exception {
        SidecarRig rig = new SidecarRig().withAdmin();
        rig.inheritedListener = socket;
        rig.upstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
        return rig;
    }

    @Test
    void theOldLeavesTheListenerOpenAndClosesWhatIsQuiet() throws Exception {
        try (ServerSocketChannel socket = socket();
                SidecarRig old = rig(socket);
                SidecarRig fresh = rig(socket)) {
            InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
            old.start();
            old.sidecar.warmUp();
            Peer.Client idle = new Peer.Client(address);
            idle.send(SidecarRig.get("a1", 20_000));
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
                    c.send(SidecarRig.get("n" + i, 20_000));
                    assertEquals("n" + i, c.answer().body());
                }
            }
            assertTrue(old.events.stream().noneMatch(t -> t.startsWith("request n")), "the old one still took clients");
        }
    }

    private static String served(InetSocketAddress address, String id) throws Exception {
        try (Peer.Client c = new Peer.Client(address)) {
            Peer.Message answer = c.send(SidecarRig.get(id, 20_000)).answer();
            return answer == null ? "no answer" : answer.body();
        }
    }

    /** Plays a stop of the old process, which is ready and alone unless {@code meanwhile} starts another, under clients that come for 0.4 s. */
    private static void everybodyIsServedWhoComes(
            SidecarRig old, ServerSocketChannel socket, SidecarRig.Action meanwhile) throws Exception {
        InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
        old.start();
        old.sidecar.warmUp();
        meanwhile.run();
        CountDownLatch stopped = new CountDownLatch(1);
        old.sidecar.stop(stopped::countDown);
        for (int i = 0; i < 8; i++) {
            assertEquals("after" + i, served(address, "after" + i));
            Thread.sleep(50);
        }
        assertTrue(stopped.await(20, TimeUnit.SECONDS));
        assertTrue(socket.isOpen());
    }

    /** Guards against a process that leaves and takes nobody although no other is there: its clients waited for the next one's start. */
    @Test
    void whoComesAfterTheStopIsServedWhereThereIsNoSuccessor() throws Exception {
        try (ServerSocketChannel socket = socket();
                SidecarRig old = rig(socket)) {
            everybodyIsServedWhoComes(old, socket, () -> {});
        }
    }

    /** Guards against leaving clients to a successor that has not taken the socket yet. */
    @Test
    void whoComesAfterTheStopIsServedWhileTheSuccessorStarts() throws Exception {
        try (ServerSocketChannel socket = socket();
                SidecarRig old = rig(socket);
                SidecarRig fresh = rig(socket)) {
            everybodyIsServedWhoComes(old, socket, fresh::start);
        }
    }

    /** Guards against counting on a successor that is killed before it is ready. */
    @Test
    void whoComesAfterTheStopIsServedWhereTheSuccessorWasKilledWhileItStarted() throws Exception {
        try (ServerSocketChannel socket = socket();
                SidecarRig old = rig(socket);
                SidecarRig fresh = rig(socket)) {
            everybodyIsServedWhoComes(old, socket, () -> {
                fresh.start();
                fresh.sidecar.shutdownNow();
            });
        }
    }

    /** Guards against losing a client that the leaving process takes beside its successor. */
    @Test
    void whoComesAfterTheStopIsServedByOneOfTheTwo() throws Exception {
        try (ServerSocketChannel socket = socket();
                SidecarRig old = rig(socket);
                SidecarRig fresh = rig(socket)) {
            everybodyIsServedWhoComes(old, socket, () -> {
                fresh.start();
                fresh.sidecar.warmUp();
            });
        }
    }

    /** Guards against a second signal that shortens the time in which clients are taken. */
    @Test
    void askedTwiceToLeaveItTakesClientsAllTheSame() throws Exception {
        try (ServerSocketChannel socket = socket();
                SidecarRig old = rig(socket)) {
            InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
            old.start();
            old.sidecar.warmUp();
            CountDownLatch stopped = new CountDownLatch(1);
            old.sidecar.stop(stopped::countDown);
            assertEquals("a1", served(address, "a1"));
            old.sidecar.stop(() -> {
                throw new IllegalStateException("it ended twice");
            });
            assertEquals("a2", served(address, "a2"));
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against a stop that keeps clients waiting in the queue although places become free. */
    @Test
    void whoFoundNoPlaceIsTakenAfterTheStopOnceThereIsOne() throws Exception {
        try (ServerSocketChannel socket = socket();
                SidecarRig old = new SidecarRig().withAdmin()) {
            CountDownLatch answer = new CountDownLatch(1);
            old.inheritedListener = socket;
            old.maxSockets = 48 + 2 * 16;
            old.settings = SidecarRig.SETTINGS.replace("\"give_up_us\":800000", "\"give_up_us\":3000000");
            old.upstream((m, line) -> {
                try {
                    answer.await();
                } catch (InterruptedException e) {
                    throw new java.io.InterruptedIOException();
                }
                line.answer("200 OK", "", m.header("X-Txn"));
            });
            InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
            old.start();
            old.sidecar.warmUp();
            List<Peer.Client> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                clients.add(new Peer.Client(address).send(SidecarRig.get("c" + i, 20_000)));
            }
            old.awaitEvent("request c0");
            CountDownLatch stopped = new CountDownLatch(1);
            old.sidecar.stop(stopped::countDown);
            answer.countDown();
            for (int i = 0; i < clients.size(); i++) {
                assertNotNull(clients.get(i).answer(), "c" + i);
                clients.get(i).close();
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against a crowd of idle connections that keeps a leaving process from taking requests, or from its end. */
    @Test
    void aCrowdKeepsNobodyFromBeingServedAfterTheStop() throws Exception {
        try (ServerSocketChannel socket = socket();
                SidecarRig old = rig(socket)) {
            InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
            old.start();
            old.sidecar.warmUp();
            CountDownLatch stopped = new CountDownLatch(1);
            List<Peer.Client> crowd = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                crowd.add(new Peer.Client(address));
            }
            old.sidecar.stop(stopped::countDown);
            for (int i = 0; i < 100; i++) {
                crowd.add(new Peer.Client(address));
                if (i % 20 == 0) {
                    assertEquals("a" + i, served(address, "a" + i));
                }
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            for (Peer.Client c : crowd) {
                c.close();
            }
        }
    }

    /** Stops the old process and lets a client come, behind whose back the time passes at which the process would leave. */
    private static void theLastIsServed(SidecarRig old, ServerSocketChannel socket, SidecarRig.Action before)
            throws Exception {
        InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
        old.start();
        old.sidecar.warmUp();
        // Those of the warm-up go one by one.
        while (old.sidecar.loop().submit(old.sidecar.clients()::open).get() > 0) {
            Thread.sleep(1);
        }
        old.clock.freeze();
        before.run();
        CountDownLatch stopped = new CountDownLatch(1);
        List<Peer.Client> last = new ArrayList<>();
        old.stallLoop(() -> {
            // Behind the hold-up, and so before the next look at the sockets.
            old.sidecar.stop(stopped::countDown);
            last.add(new Peer.Client(address).send(SidecarRig.get("last", 20_000)));
            old.clock.advance(700);
        });
        assertEquals("last", last.get(0).answer().body());
        old.clock.resume();
        assertTrue(stopped.await(20, TimeUnit.SECONDS));
        last.get(0).close();
    }

    /** Guards against an end that is decided by a timer while a client lies in the queue. */
    @Test
    void whoComesInTheLastMomentBeforeTheEndIsServed() throws Exception {
        try (ServerSocketChannel socket = socket();
                SidecarRig old = rig(socket)) {
            theLastIsServed(old, socket, () -> {});
        }
    }

    /** Guards against an end whose last look passed over the listener, whose registration was being made anew. */
    @Test
    void whoLiesBehindAWithdrawnRegistrationAtTheEndIsServed() throws Exception {
        try (ServerSocketChannel socket = socket();
                SidecarRig old = rig(socket)) {
            theLastIsServed(
                    old,
                    socket,
                    () -> old.sidecar
                            .loop()
                            .submit(old.sidecar.clients().listener()::withdrawInterest)
                            .sync());
        }
    }

    /** Guards against a process that closes, or drops, what it finds in the queue at its start. */
    @Test
    void whoComesAfterTheEndIsServedByTheNextProcess() throws Exception {
        try (ServerSocketChannel socket = socket();
                SidecarRig old = rig(socket);
                SidecarRig next = rig(socket)) {
            InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
            old.start();
            old.sidecar.warmUp();
            CountDownLatch stopped = new CountDownLatch(1);
            old.sidecar.stop(stopped::countDown);
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            try (Peer.Client waits = new Peer.Client(address)) {
                waits.send(SidecarRig.get("waits", 20_000));
                next.start();
                next.sidecar.warmUp();
                assertEquals("waits", waits.answer().body());
            }
        }
    }

    /** The other process would answer them, or its clients would find them in their way. */
    @Test
    void aWarmUpKeepsOffTheSharedSocket() throws Exception {
        try (ServerSocketChannel socket = socket();
                SidecarRig rig = rig(socket)) {
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
                SidecarRig rig = rig(socket)) {
            rig.start();
            Thread warmUp = new Thread(() -> {
                try {
                    rig.sidecar.warmUp();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            warmUp.start();
            while (rig.callAdmin("health").startsWith("NAK")) {
                Thread.sleep(1);
            }
            try (Peer.Client c = new Peer.Client((InetSocketAddress) socket.getLocalAddress())) {
                c.send(SidecarRig.get("a1", 20_000));
                assertEquals("a1", c.answer().body());
            }
            warmUp.join();
        }
    }

    @Test
    void theAddressOfThePeersIsNoObstacle() throws Exception {
        try (DatagramSocket probe = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + probe.getLocalPort();
            try (SidecarRig held = rig(null)) {
                // Held by one that does not share: the start does not wait for it.
                held.peerFields = "\"peer_listen\":\"" + address + "\",\"peers\":[\"" + address + "\"],";
                held.start();
                try (Peer.Client c = held.client()) {
                    c.send(SidecarRig.get("a1", 20_000));
                    assertEquals("a1", c.answer().body());
                }
            }
        }
    }

    @Test
    void anotherDescriptorIsABrokenConfiguration() {
        assertThrows(
                Config.InvalidConfigException.class,
                () -> Config.read(
                        java.util.Map.of("BALANCER_CONFIG", "deploy/rehearsal.json", "BALANCER_ACCEPT_FD", "7")));
    }
}

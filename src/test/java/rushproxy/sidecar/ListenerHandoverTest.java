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

/** Two processes share the listening socket during an upgrade: the new one takes over and the old one stops without losing a client. */
@Timeout(60)
class ListenerHandoverTest {
    private static ServerSocketChannel openListener() throws Exception {
        return ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
    }

    private static SidecarRig rig(ServerSocketChannel socket) throws Exception {
        SidecarRig rig = new SidecarRig().withAdmin();
        rig.inheritedListener = socket;
        rig.addUpstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
        return rig;
    }

    @Test
    void stoppingClosesIdleConnectionsButNotTheListener() throws Exception {
        try (ServerSocketChannel socket = openListener();
                SidecarRig oldProcess = rig(socket);
                SidecarRig newProcess = rig(socket)) {
            InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
            oldProcess.start();
            oldProcess.sidecar.warmUp();
            TestServer.Client idle = new TestServer.Client(address);
            idle.send(SidecarRig.getRequest("a1", 20_000));
            assertEquals("a1", idle.answer().body());
            newProcess.start();
            newProcess.sidecar.warmUp();
            CountDownLatch stopped = new CountDownLatch(1);
            oldProcess.sidecar.stop(stopped::countDown);
            assertEquals(null, idle.answer());
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            assertTrue(socket.isOpen());
            for (int i = 0; i < 20; i++) {
                try (TestServer.Client c = new TestServer.Client(address)) {
                    c.send(SidecarRig.getRequest("n" + i, 20_000));
                    assertEquals("n" + i, c.answer().body());
                }
            }
            assertTrue(
                    oldProcess.events.stream().noneMatch(t -> t.startsWith("request n")),
                    "the old process still accepted clients");
        }
    }

    private static String get(InetSocketAddress address, String id) throws Exception {
        try (TestServer.Client c = new TestServer.Client(address)) {
            TestServer.Message answer =
                    c.send(SidecarRig.getRequest(id, 20_000)).answer();
            return answer == null ? "no response" : answer.body();
        }
    }

    /** Starts the old process, runs {@code beforeStop}, stops the process and checks that clients are served for the next 0.4 s. */
    private static void assertClientsServedDuringStop(
            SidecarRig oldProcess, ServerSocketChannel socket, SidecarRig.Action beforeStop) throws Exception {
        InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
        oldProcess.start();
        oldProcess.sidecar.warmUp();
        beforeStop.run();
        CountDownLatch stopped = new CountDownLatch(1);
        oldProcess.sidecar.stop(stopped::countDown);
        for (int i = 0; i < 8; i++) {
            assertEquals("after" + i, get(address, "after" + i));
            Thread.sleep(50);
        }
        assertTrue(stopped.await(20, TimeUnit.SECONDS));
        assertTrue(socket.isOpen());
    }

    /** Guards against a stopping process that no longer accepts although it has no successor, so that clients wait for the next start. */
    @Test
    void newClientsAreServedDuringStopWithoutSuccessor() throws Exception {
        try (ServerSocketChannel socket = openListener();
                SidecarRig oldProcess = rig(socket)) {
            assertClientsServedDuringStop(oldProcess, socket, () -> {});
        }
    }

    /** Guards against leaving clients to a successor that does not accept from the socket yet. */
    @Test
    void newClientsAreServedDuringStopWhileSuccessorStarts() throws Exception {
        try (ServerSocketChannel socket = openListener();
                SidecarRig oldProcess = rig(socket);
                SidecarRig newProcess = rig(socket)) {
            assertClientsServedDuringStop(oldProcess, socket, newProcess::start);
        }
    }

    /** Guards against relying on a successor that is killed before it is ready. */
    @Test
    void newClientsAreServedDuringStopIfSuccessorDiesWhileStarting() throws Exception {
        try (ServerSocketChannel socket = openListener();
                SidecarRig oldProcess = rig(socket);
                SidecarRig newProcess = rig(socket)) {
            assertClientsServedDuringStop(oldProcess, socket, () -> {
                newProcess.start();
                newProcess.sidecar.shutdownNow();
            });
        }
    }

    /** Guards against losing a client that the stopping process accepts while its successor accepts too. */
    @Test
    void newClientsAreServedDuringStopByEitherProcess() throws Exception {
        try (ServerSocketChannel socket = openListener();
                SidecarRig oldProcess = rig(socket);
                SidecarRig newProcess = rig(socket)) {
            assertClientsServedDuringStop(oldProcess, socket, () -> {
                newProcess.start();
                newProcess.sidecar.warmUp();
            });
        }
    }

    /** Guards against a second signal that shortens the time during which clients are accepted. */
    @Test
    void aSecondStopKeepsAcceptingClients() throws Exception {
        try (ServerSocketChannel socket = openListener();
                SidecarRig oldProcess = rig(socket)) {
            InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
            oldProcess.start();
            oldProcess.sidecar.warmUp();
            CountDownLatch stopped = new CountDownLatch(1);
            oldProcess.sidecar.stop(stopped::countDown);
            assertEquals("a1", get(address, "a1"));
            oldProcess.sidecar.stop(() -> {
                throw new IllegalStateException("stopped twice");
            });
            assertEquals("a2", get(address, "a2"));
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against a stop that leaves clients in the accept queue although connections become available. */
    @Test
    void clientsBeyondTheLimitAreAcceptedDuringStop() throws Exception {
        try (ServerSocketChannel socket = openListener();
                SidecarRig oldProcess = new SidecarRig().withAdmin()) {
            CountDownLatch answer = new CountDownLatch(1);
            oldProcess.inheritedListener = socket;
            oldProcess.maxSockets = 48 + 2 * 16;
            oldProcess.settings = SidecarRig.SETTINGS.replace("\"give_up_us\":800000", "\"give_up_us\":3000000");
            oldProcess.addUpstream((m, line) -> {
                try {
                    answer.await();
                } catch (InterruptedException e) {
                    throw new java.io.InterruptedIOException();
                }
                line.answer("200 OK", "", m.header("X-Txn"));
            });
            InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
            oldProcess.start();
            oldProcess.sidecar.warmUp();
            List<TestServer.Client> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                clients.add(new TestServer.Client(address).send(SidecarRig.getRequest("c" + i, 20_000)));
            }
            oldProcess.awaitEvent("request c0");
            CountDownLatch stopped = new CountDownLatch(1);
            oldProcess.sidecar.stop(stopped::countDown);
            answer.countDown();
            for (int i = 0; i < clients.size(); i++) {
                assertNotNull(clients.get(i).answer(), "c" + i);
                clients.get(i).close();
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against a crowd of idle connections that keeps a stopping process from serving requests or from exiting. */
    @Test
    void idleConnectionsDoNotBlockRequestsDuringStop() throws Exception {
        try (ServerSocketChannel socket = openListener();
                SidecarRig oldProcess = rig(socket)) {
            InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
            oldProcess.start();
            oldProcess.sidecar.warmUp();
            CountDownLatch stopped = new CountDownLatch(1);
            List<TestServer.Client> crowd = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                crowd.add(new TestServer.Client(address));
            }
            oldProcess.sidecar.stop(stopped::countDown);
            for (int i = 0; i < 100; i++) {
                crowd.add(new TestServer.Client(address));
                if (i % 20 == 0) {
                    assertEquals("a" + i, get(address, "a" + i));
                }
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            for (TestServer.Client c : crowd) {
                c.close();
            }
        }
    }

    /** Stops the old process while its loop is stalled, and connects a client just before the time at which the process would exit. */
    private static void assertLastClientServed(
            SidecarRig oldProcess, ServerSocketChannel socket, SidecarRig.Action beforeStop) throws Exception {
        InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
        oldProcess.start();
        oldProcess.sidecar.warmUp();
        // The connections of the warm-up close one by one.
        while (oldProcess
                        .sidecar
                        .loop()
                        .submit(oldProcess.sidecar.clients()::openCount)
                        .get()
                > 0) {
            Thread.sleep(1);
        }
        oldProcess.clock.freeze();
        beforeStop.run();
        CountDownLatch stopped = new CountDownLatch(1);
        List<TestServer.Client> last = new ArrayList<>();
        oldProcess.stallLoop(() -> {
            // Queued behind the stalling task, and so run before the next poll of the sockets.
            oldProcess.sidecar.stop(stopped::countDown);
            last.add(new TestServer.Client(address).send(SidecarRig.getRequest("last", 20_000)));
            oldProcess.clock.advance(700);
        });
        assertEquals("last", last.get(0).answer().body());
        oldProcess.clock.resume();
        assertTrue(stopped.await(20, TimeUnit.SECONDS));
        last.get(0).close();
    }

    /** Guards against a timer that ends the process while a client waits in the accept queue. */
    @Test
    void aClientInTheAcceptQueueAtTheEndIsServed() throws Exception {
        try (ServerSocketChannel socket = openListener();
                SidecarRig oldProcess = rig(socket)) {
            assertLastClientServed(oldProcess, socket, () -> {});
        }
    }

    /** Guards against a last poll that misses the listener because its registration is being renewed. */
    @Test
    void aClientIsServedAtTheEndWhileTheListenerIsNotRegistered() throws Exception {
        try (ServerSocketChannel socket = openListener();
                SidecarRig oldProcess = rig(socket)) {
            assertLastClientServed(
                    oldProcess,
                    socket,
                    () -> oldProcess
                            .sidecar
                            .loop()
                            .submit(oldProcess.sidecar.clients().listener()::withdrawInterest)
                            .sync());
        }
    }

    /** Guards against a process that closes or drops the connections it finds in the accept queue at startup. */
    @Test
    void clientsQueuedWhileNoProcessRunsAreServedByTheNext() throws Exception {
        try (ServerSocketChannel socket = openListener();
                SidecarRig oldProcess = rig(socket);
                SidecarRig next = rig(socket)) {
            InetSocketAddress address = (InetSocketAddress) socket.getLocalAddress();
            oldProcess.start();
            oldProcess.sidecar.warmUp();
            CountDownLatch stopped = new CountDownLatch(1);
            oldProcess.sidecar.stop(stopped::countDown);
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            try (TestServer.Client queued = new TestServer.Client(address)) {
                queued.send(SidecarRig.getRequest("queued", 20_000));
                next.start();
                next.sidecar.warmUp();
                assertEquals("queued", queued.answer().body());
            }
        }
    }

    /** Guards against warm-up requests that reach the other process by way of the shared socket. */
    @Test
    void warmUpDoesNotUseTheSharedSocket() throws Exception {
        try (ServerSocketChannel socket = openListener();
                SidecarRig rig = rig(socket)) {
            socket.configureBlocking(false);
            AtomicInteger connections = new AtomicInteger();
            AtomicBoolean warmedUp = new AtomicBoolean();
            Thread other = new Thread(() -> {
                try {
                    while (!warmedUp.get()) {
                        SocketChannel c = socket.accept();
                        if (c != null) {
                            connections.incrementAndGet();
                            c.close();
                        }
                    }
                } catch (java.io.IOException e) {
                    connections.addAndGet(1_000);
                }
            });
            other.start();
            rig.start();
            rig.sidecar.warmUp();
            warmedUp.set(true);
            other.join();
            assertEquals(0, connections.get());
        }
    }

    @Test
    void healthFailsUntilTheSharedSocketIsAccepting() throws Exception {
        try (ServerSocketChannel socket = openListener();
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
            try (TestServer.Client c = new TestServer.Client((InetSocketAddress) socket.getLocalAddress())) {
                c.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals("a1", c.answer().body());
            }
            warmUp.join();
        }
    }

    @Test
    void startSucceedsWhileThePeerAddressIsInUse() throws Exception {
        try (DatagramSocket probe = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + probe.getLocalPort();
            try (SidecarRig rig = rig(null)) {
                // The other socket does not allow sharing. Startup must not wait for it.
                rig.peerFields = "\"peer_listen\":\"" + address + "\",\"peers\":[\"" + address + "\"],";
                rig.start();
                try (TestServer.Client c = rig.client()) {
                    c.send(SidecarRig.getRequest("a1", 20_000));
                    assertEquals("a1", c.answer().body());
                }
            }
        }
    }

    @Test
    void descriptorsOtherThanZeroAreRejected() {
        assertThrows(
                Config.InvalidConfigException.class,
                () -> Config.read(
                        java.util.Map.of("BALANCER_CONFIG", "deploy/rehearsal.json", "BALANCER_ACCEPT_FD", "7")));
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A request's time runs while it lies unread in the kernel, and no longer than it lay there. */
@Timeout(60)
class UnreadAgeTest {
    private static final long WAIT_MS = 400;
    private static final long HOLD_UP_MS = 900;
    private static final long REMAINING_MS = 2_000;
    /** The kernel counts in steps of up to 10 ms. */
    private static final long STEP_US = 10_000;

    private static long toldUs(SidecarRig rig, String id) throws Exception {
        return Long.parseLong(rig.awaitEvent("request " + id + " ").split(" ")[2]);
    }

    /** Guards against a kernel's figure that does not count while a connection waits to be accepted. */
    @Test
    void theKernelCountsInTheAcceptQueueToo() throws Exception {
        try (ServerSocketChannel listener = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0))) {
            for (long waitMs : new long[] {0, 50, 300}) {
                try (SocketChannel client = SocketChannel.open(listener.getLocalAddress())) {
                    long beforeNanos = System.nanoTime();
                    client.write(ByteBuffer.wrap("GET".getBytes(StandardCharsets.US_ASCII)));
                    long sentNanos = System.nanoTime();
                    Thread.sleep(waitMs);
                    try (SocketChannel accepted = listener.accept()) {
                        long leastUs = (System.nanoTime() - sentNanos) / 1_000;
                        long agoUs = TcpInfo.sinceLastReceiveUs(accepted);
                        long mostUs = (System.nanoTime() - beforeNanos) / 1_000;
                        assertTrue(
                                agoUs >= leastUs - STEP_US && agoUs <= mostUs + STEP_US,
                                agoUs + " not in " + leastUs + " to " + mostUs);
                    }
                }
            }
        }
    }

    /** Guards against a server that is told more time than its client has, by what it waited for a place. */
    @Test
    void whatWaitedToBeLetInHasLessTimeLeft() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.onRequest = (now, r, out) -> {};
            rig.maxSockets = 48 + 2 * 16;
            rig.start();
            List<Peer.Client> clients = new ArrayList<>();
            try {
                // As many as are let in, and some more.
                for (int i = 0; i < 48; i++) {
                    clients.add(rig.client().send(SidecarRig.getRequest("busy" + i, 20_000)));
                }
                rig.awaitEvent("request busy0");
                try (Peer.Client waits = rig.client()) {
                    waits.send(SidecarRig.getRequest("waits", REMAINING_MS));
                    long sentNanos = System.nanoTime();
                    Thread.sleep(WAIT_MS);
                    for (Peer.Client c : clients) {
                        c.close();
                    }
                    long leastWaitUs = (System.nanoTime() - sentNanos) / 1_000;
                    long toldUs = toldUs(rig, "waits");
                    assertTrue(toldUs <= REMAINING_MS * 1_000 - WAIT_MS * 1_000 + STEP_US, toldUs + " " + leastWaitUs);
                }
            } finally {
                for (Peer.Client c : clients) {
                    c.close();
                }
            }
        }
    }

    /** Guards against refusing, after a hold-up, who has just asked and has all of its time. */
    @Test
    void whatCameAtTheEndOfAHoldUpHasItsTime() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.start();
            try (Peer.Client known = rig.client()) {
                known.send(SidecarRig.getRequest("a0", REMAINING_MS));
                assertEquals(200, known.status());
                List<Peer.Client> fresh = new ArrayList<>();
                rig.stallLoop(0, () -> {
                    Thread.sleep(HOLD_UP_MS);
                    known.send(SidecarRig.getRequest("a1", REMAINING_MS));
                    fresh.add(rig.client().send(SidecarRig.getRequest("a2", REMAINING_MS)));
                });
                for (String id : List.of("a1", "a2")) {
                    long toldUs = toldUs(rig, id);
                    // A quarter of its time may be kept for the way back.
                    assertTrue(toldUs > REMAINING_MS * 1_000 * 2 / 3, id + " " + toldUs);
                }
                assertEquals(200, known.status());
                assertEquals(200, fresh.get(0).status());
                fresh.get(0).close();
            }
        }
    }

    /** Guards against taking the first of two requests for as young as the second, which the kernel received last. */
    @Test
    void theFirstOfTwoThatLayThereIsAsOldAsItMayBe() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a0", REMAINING_MS));
                assertEquals(200, client.status());
                rig.stallLoop(0, () -> {
                    client.send(SidecarRig.getRequest("first", REMAINING_MS));
                    Thread.sleep(WAIT_MS);
                    client.send(SidecarRig.getRequest("second", REMAINING_MS));
                });
                long toldUs = toldUs(rig, "first");
                assertTrue(
                        toldUs
                                <= REMAINING_MS * 1_000
                                        - WAIT_MS * 1_000
                                        + EventLoopDelay.HEARTBEAT_INTERVAL_US
                                        + STEP_US,
                        "" + toldUs);
            }
        }
    }

    /** Guards against taking what was read last of a hold-up for new, since the loop counted as in time again by then. */
    @Test
    void whatIsReadLaterOfAHoldUpIsAsOld() throws Exception {
        Clock clock = new Clock();
        EventLoopDelay loopDelay = new EventLoopDelay();
        BlockingQueue<Long> agesUs = new LinkedBlockingQueue<>();
        ClientInput input = new ClientInput(clock, loopDelay, new Budget(1 << 20), new ClientInput.Listener() {
            @Override
            public void arrived(long sentUs) {
                agesUs.add(clock.nowUs() - sentUs);
                loopDelay.recordHeartbeat(clock.nowUs());
            }

            @Override
            public void unwatched() {}
        });
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, SocketPolling.ioHandlerFactory());
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            new Bootstrap()
                    .group(group)
                    .channelFactory(TcpConnection::new)
                    .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(1))
                    .handler(input)
                    .connect(listener.getLocalSocketAddress())
                    .sync();
            try (Socket client = listener.accept()) {
                client.getOutputStream().write('a');
                agesUs.take();
                group.next()
                        .submit(() -> {
                            client.getOutputStream().write(new byte[] {'b', 'c'});
                            Thread.sleep(WAIT_MS);
                            return null;
                        })
                        .sync();
                assertTrue(agesUs.take() >= WAIT_MS * 1_000 - STEP_US);
                assertTrue(agesUs.take() >= WAIT_MS * 1_000 - STEP_US, "the second read");
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    /** Guards against an attempt for a client that can't be watched, since that was told only while the request before it flowed. */
    @Test
    void whatCanNotBeReadIsToldUntilItCan() {
        AtomicInteger told = new AtomicInteger();
        // What is written counts as new, however late this machine is: an embedded loop has no sockets to look at.
        FreezableClock clock = new FreezableClock();
        clock.freeze();
        ClientInput input =
                new ClientInput(clock, new EventLoopDelay(), new Budget(1 << 20), new ClientInput.Listener() {
                    @Override
                    public void arrived(long sentUs) {}

                    @Override
                    public void unwatched() {
                        told.incrementAndGet();
                    }
                });
        EmbeddedChannel channel = new EmbeddedChannel(input);
        channel.freezeTime();
        input.regulate(true, false);
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[ClientInput.MOST_KEPT]));
        for (int times = 1; times <= 3; times++) {
            channel.advanceTimeBy(ClientInput.UNWATCHED_MS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            assertEquals(times, told.get());
        }
        input.regulate(false, false);
        channel.advanceTimeBy(ClientInput.UNWATCHED_MS, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(3, told.get());
        channel.finishAndReleaseAll();
    }
}

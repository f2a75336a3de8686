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
class UnreadRequestAgeTest {
    private static final long WAIT_MS = 400;
    private static final long HOLD_UP_MS = 900;
    private static final long REMAINING_MS = 2_000;
    /** The kernel counts in steps of up to 10 ms. */
    private static final long STEP_US = 10_000;

    private static long toldUs(Rig rig, String id) throws Exception {
        return Long.parseLong(rig.await("request " + id + " ").split(" ")[2]);
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
                        long agoUs = TcpInfo.lastReceivedAgoUs(accepted);
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
        try (Rig rig = new Rig()) {
            rig.onRequest = (now, r, out) -> {};
            rig.sockets = 48 + 2 * 16;
            rig.start();
            List<TestServer.Client> clients = new ArrayList<>();
            try {
                // As many as are let in, and some more.
                for (int i = 0; i < 48; i++) {
                    clients.add(rig.client().send(Rig.get("busy" + i, 20_000)));
                }
                rig.await("request busy0");
                try (TestServer.Client waits = rig.client()) {
                    waits.send(Rig.get("waits", REMAINING_MS));
                    long sentNanos = System.nanoTime();
                    Thread.sleep(WAIT_MS);
                    for (TestServer.Client c : clients) {
                        c.close();
                    }
                    long leastWaitUs = (System.nanoTime() - sentNanos) / 1_000;
                    long toldUs = toldUs(rig, "waits");
                    assertTrue(toldUs <= REMAINING_MS * 1_000 - WAIT_MS * 1_000 + STEP_US, toldUs + " " + leastWaitUs);
                }
            } finally {
                for (TestServer.Client c : clients) {
                    c.close();
                }
            }
        }
    }

    /** Guards against refusing, after a hold-up, who has just asked and has all of its time. */
    @Test
    void whatCameAtTheEndOfAHoldUpHasItsTime() throws Exception {
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.start();
            try (TestServer.Client known = rig.client()) {
                known.send(Rig.get("a0", REMAINING_MS));
                assertEquals(200, known.status());
                List<TestServer.Client> fresh = new ArrayList<>();
                rig.holdUp(0, () -> {
                    Thread.sleep(HOLD_UP_MS);
                    known.send(Rig.get("a1", REMAINING_MS));
                    fresh.add(rig.client().send(Rig.get("a2", REMAINING_MS)));
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
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", "served"));
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(Rig.get("a0", REMAINING_MS));
                assertEquals(200, client.status());
                rig.holdUp(0, () -> {
                    client.send(Rig.get("first", REMAINING_MS));
                    Thread.sleep(WAIT_MS);
                    client.send(Rig.get("second", REMAINING_MS));
                });
                long toldUs = toldUs(rig, "first");
                assertTrue(toldUs <= REMAINING_MS * 1_000 - WAIT_MS * 1_000 + LoopDelay.BEAT_US + STEP_US, "" + toldUs);
            }
        }
    }

    /** Guards against taking what was read last of a hold-up for new, since the loop counted as in time again by then. */
    @Test
    void whatIsReadLaterOfAHoldUpIsAsOld() throws Exception {
        Clock clock = new Clock();
        LoopDelay loopDelay = new LoopDelay();
        BlockingQueue<Long> agesUs = new LinkedBlockingQueue<>();
        ClientInput input = new ClientInput(clock, loopDelay, new MemoryBudget(1 << 20), new ClientInput.Listener() {
            @Override
            public void onBytes(long sentUs) {
                agesUs.add(clock.now() - sentUs);
                loopDelay.beat(clock.now());
            }

            @Override
            public void onDisconnectUndetectable() {}
        });
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, SocketLook.handlers());
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
        MovableTime clock = new MovableTime();
        clock.stop();
        ClientInput input =
                new ClientInput(clock, new LoopDelay(), new MemoryBudget(1 << 20), new ClientInput.Listener() {
                    @Override
                    public void onBytes(long sentUs) {}

                    @Override
                    public void onDisconnectUndetectable() {
                        told.incrementAndGet();
                    }
                });
        EmbeddedChannel channel = new EmbeddedChannel(input);
        channel.freezeTime();
        input.setFlow(true, false);
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[ClientInput.MAX_BUFFERED_BYTES]));
        for (int times = 1; times <= 3; times++) {
            channel.advanceTimeBy(ClientInput.MAX_UNREAD_MS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            assertEquals(times, told.get());
        }
        input.setFlow(false, false);
        channel.advanceTimeBy(ClientInput.MAX_UNREAD_MS, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(3, told.get());
        channel.finishAndReleaseAll();
    }
}

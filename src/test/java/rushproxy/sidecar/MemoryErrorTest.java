package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An error of memory at one allocation ends the connection at hand, so that its client can tell, and nothing else. */
@Timeout(60)
class MemoryErrorTest {
    private static final int PART_BYTES = 70_000;

    /** Fails every allocation outside the heap while {@code failing} is set. */
    private static final class FailingAllocator extends PooledByteBufAllocator {
        volatile boolean failing;

        FailingAllocator() {
            super(true);
        }

        @Override
        protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
            if (failing) {
                throw new OutOfMemoryError("injected by the test");
            }
            return super.newDirectBuffer(initialCapacity, maxCapacity);
        }
    }

    /** Gives the only client's connection an allocator that fails. */
    private static FailingAllocator failAllocationsOfClient(SidecarRig rig) throws Exception {
        FailingAllocator allocator = new FailingAllocator();
        rig.sidecar
                .loop()
                .submit(() -> {
                    for (ClientConnection connection : rig.sidecar.clients().connections()) {
                        Channel channel = connection.channel();
                        channel.config().setAllocator(allocator);
                    }
                })
                .sync();
        return allocator;
    }

    private static void assertServesNextClient(SidecarRig rig) throws Exception {
        try (TestServer.Client next = rig.client()) {
            next.send(SidecarRig.getRequest("next", 20_000));
            assertEquals(200, next.status());
        }
    }

    /** Guards against a client that waits for a response that could not be written. */
    @Test
    void aResponseThatCanNotBeWrittenEndsItsConnection() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            CountDownLatch isFailing = new CountDownLatch(1);
            rig.addUpstream((message, connection) -> {
                awaitQuietly(isFailing);
                connection.answer("200 OK", "", "served");
            });
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("request a1");
                failAllocationsOfClient(rig).failing = true;
                isFailing.countDown();
                assertEquals(-1, client.status());
            }
            assertServesNextClient(rig);
        }
    }

    /** Guards against a response that lacks a part in its middle and looks whole. */
    @Test
    void aPartThatCanNotBeWrittenEndsItsResponse() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            CountDownLatch isFailing = new CountDownLatch(1);
            CountDownLatch hasFailed = new CountDownLatch(1);
            String part = Integer.toHexString(PART_BYTES) + "\r\n" + "x".repeat(PART_BYTES) + "\r\n";
            rig.addUpstream((message, connection) -> {
                if (message.header("X-Txn").equals("next")) {
                    connection.answer("200 OK", "", "served");
                    return;
                }
                connection.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + part);
                awaitQuietly(isFailing);
                connection.raw(part);
                awaitQuietly(hasFailed);
                connection.raw(part + "0\r\n\r\n");
            });
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                rig.awaitEvent("begins a1");
                FailingAllocator allocator = failAllocationsOfClient(rig);
                allocator.failing = true;
                isFailing.countDown();
                Thread.sleep(200);
                allocator.failing = false;
                hasFailed.countDown();
                assertFalse(client.rest().endsWith("0\r\n\r\n"), "the response looks whole");
            } catch (java.net.SocketException e) {
                // A reset tells as much.
            }
            assertServesNextClient(rig);
        }
    }

    /** Guards against a listener or another client that suffers from a read that found no memory. */
    @Test
    void aReadThatFindsNoMemoryEndsItsConnectionOnly() throws Exception {
        try (SidecarRig rig = new SidecarRig()) {
            rig.addUpstream((message, connection) -> connection.answer("200 OK", "", "served"));
            rig.start();
            try (TestServer.Client client = rig.client()) {
                client.send(SidecarRig.getRequest("a1", 20_000));
                assertEquals(200, client.status());
                failAllocationsOfClient(rig).failing = true;
                client.send(SidecarRig.getRequest("a2", 20_000));
                assertEquals(-1, client.status());
            } catch (java.net.SocketException e) {
                // Closed over unread bytes.
            }
            assertServesNextClient(rig);
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

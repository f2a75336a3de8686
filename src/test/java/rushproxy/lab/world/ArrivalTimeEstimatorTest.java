package rushproxy.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.junit.jupiter.api.Test;

/** The estimated arrival time of a byte must not depend on how late the event loop reads it. */
class ArrivalTimeEstimatorTest {
    private static final long STEP_US = ArrivalTimeEstimator.KERNEL_CLOCK_STEP_US;
    private final ArrivalTimeEstimator estimator = new ArrivalTimeEstimator(1_000);

    private ArrivalTime at(long readUs, long agoUs, int segments) {
        return estimator.estimateBeforeRead(new TcpReceiveInfo.Snapshot(agoUs, segments), readUs, readUs);
    }

    /** Guards against blaming the sender for the lateness of the laboratory's event loop. */
    @Test
    void usesKernelAgeForSingleSegment() {
        assertEquals(new ArrivalTime(600_000 - STEP_US, 600_000 + STEP_US), at(700_000, 100_000, 1));
        assertEquals(new ArrivalTime(800_000 - STEP_US, 800_000 + STEP_US), at(950_000, 150_000, 2));
    }

    /** Guards against using the age of the last of several segments for the first one. */
    @Test
    void boundsFirstOfSeveralSegmentsByPreviousRead() {
        assertEquals(new ArrivalTime(1_000, 700_000), at(700_000, 0, 2));
        assertEquals(new ArrivalTime(700_000, 800_000 + STEP_US), at(950_000, 150_000, 4));
    }

    /** Guards against using the age of older data, or a missing age, for bytes that arrive during the read. */
    @Test
    void usesReadTimeWithoutNewSegmentOrKnownAge() {
        at(700_000, 0, 1);
        assertEquals(ArrivalTime.exactly(800_000), at(800_000, 100_000, 1));
        assertEquals(ArrivalTime.exactly(900_000), at(900_000, TcpReceiveInfo.UNKNOWN, 0));
    }

    /** Guards against a kernel whose counter includes segments without data or stays at zero. */
    @Test
    void kernelCountsSegmentsWithData() throws Exception {
        try (ServerSocketChannel listener = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
                SocketChannel sender = SocketChannel.open(listener.getLocalAddress());
                SocketChannel accepted = listener.accept()) {
            assertEquals(0, TcpReceiveInfo.query(accepted).dataSegments());
            for (int sent = 1; sent <= 3; sent++) {
                sender.write(ByteBuffer.allocate(1));
                assertTrue(accepted.read(ByteBuffer.allocate(1)) == 1);
                assertEquals(sent, TcpReceiveInfo.query(accepted).dataSegments());
            }
        }
    }
}

package rushproxy.lab.world;

/**
 * When the first byte of what a read takes from a connection had come, by what the kernel tells just before: however late the reader is,
 * the sender is judged by when it sent. The kernel knows the age of the last data alone, so that is the first byte's own age where one
 * segment has come since the read before; of several the first came by then, and not before that read.
 */
final class ArrivalTimeEstimator {
    /** The kernel counts in steps of up to 10 ms. */
    static final long KERNEL_CLOCK_STEP_US = 10_000;

    private int segmentsSeen;
    /** All that came before was read; of a new connection nothing is known but that somebody listened. */
    private long drainedSinceUs;

    ArrivalTimeEstimator(long listeningSinceUs) {
        drainedSinceUs = listeningSinceUs;
    }

    /** The kernel was asked at {@code fromUs} at the earliest and {@code untilUs} at the latest; the read follows. */
    ArrivalTime estimateBeforeRead(TcpReceiveInfo.Received received, long fromUs, long untilUs) {
        int fresh = received.dataSegments() - segmentsSeen;
        boolean knows = received.lastAgoUs() != TcpReceiveInfo.UNKNOWN && received.dataSegments() > 0;
        ArrivalTime first = !knows || fresh == 0
                ? ArrivalTime.exactly(untilUs)
                : clampToRead(
                        fresh == 1 ? fromUs - received.lastAgoUs() - KERNEL_CLOCK_STEP_US : drainedSinceUs,
                        untilUs - received.lastAgoUs() + KERNEL_CLOCK_STEP_US,
                        untilUs);
        segmentsSeen = received.dataSegments();
        drainedSinceUs = fromUs;
        return first;
    }

    private ArrivalTime clampToRead(long earliestUs, long latestUs, long readUs) {
        long latest = Math.min(readUs, latestUs);
        return new ArrivalTime(Math.min(latest, Math.max(drainedSinceUs, earliestUs)), latest);
    }
}

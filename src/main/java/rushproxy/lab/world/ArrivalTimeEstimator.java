package rushproxy.lab.world;

/**
 * When the first byte of what a read takes from a connection had come, by what the kernel tells just before: however late the reader is,
 * the sender is judged by when it sent. The kernel knows the age of the last data alone, so that is the first byte's own age where one
 * segment has come since the read before; of several the first came by then, and not before that read.
 */
final class ArrivalTimeEstimator {
    /** The kernel counts in steps of up to 10 ms. */
    static final long STEP_US = 10_000;

    private int segments;
    /** All that came before was read; of a new connection nothing is known but that somebody listened. */
    private long emptyUs;

    ArrivalTimeEstimator(long listensSinceUs) {
        emptyUs = listensSinceUs;
    }

    /** The kernel was asked at {@code fromUs} at the earliest and {@code untilUs} at the latest; the read follows. */
    ArrivalTime beforeRead(TcpReceiveInfo.Received received, long fromUs, long untilUs) {
        int fresh = received.dataSegments() - segments;
        boolean knows = received.lastAgoUs() != TcpReceiveInfo.UNKNOWN && received.dataSegments() > 0;
        ArrivalTime first = !knows || fresh == 0
                ? ArrivalTime.readAt(untilUs)
                : between(
                        fresh == 1 ? fromUs - received.lastAgoUs() - STEP_US : emptyUs,
                        untilUs - received.lastAgoUs() + STEP_US,
                        untilUs);
        segments = received.dataSegments();
        emptyUs = fromUs;
        return first;
    }

    private ArrivalTime between(long earliestUs, long latestUs, long readUs) {
        long latest = Math.min(readUs, latestUs);
        return new ArrivalTime(Math.min(latest, Math.max(emptyUs, earliestUs)), latest);
    }
}

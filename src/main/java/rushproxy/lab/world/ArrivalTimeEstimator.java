package rushproxy.lab.world;

/**
 * Estimates when the first byte of a socket read arrived, from the kernel's statistics taken just before the read, so that a sender is
 * judged by its own timing even when the reader runs late. The kernel reports only the age of the last data. If one segment has arrived
 * since the previous read, that is the age of the first byte; of several segments, the first arrived after the previous read and no later
 * than the last.
 */
final class ArrivalTimeEstimator {
    /** The kernel's clock advances in steps of up to 10 ms. */
    static final long KERNEL_CLOCK_STEP_US = 10_000;

    private int segmentsSeen;
    /** All data that arrived before this time was read; for a new connection, when the listener was opened. */
    private long drainedUntilUs;

    ArrivalTimeEstimator(long listeningSinceUs) {
        drainedUntilUs = listeningSinceUs;
    }

    /** Called just before a read, with kernel statistics that were taken between {@code fromUs} and {@code untilUs}. */
    ArrivalTime estimateBeforeRead(TcpReceiveInfo.Snapshot snapshot, long fromUs, long untilUs) {
        int newSegments = snapshot.dataSegments() - segmentsSeen;
        boolean isKnown = snapshot.lastAgoUs() != TcpReceiveInfo.UNKNOWN && snapshot.dataSegments() > 0;
        ArrivalTime first = !isKnown || newSegments == 0
                ? ArrivalTime.exactly(untilUs)
                : clampToRead(
                        newSegments == 1 ? fromUs - snapshot.lastAgoUs() - KERNEL_CLOCK_STEP_US : drainedUntilUs,
                        untilUs - snapshot.lastAgoUs() + KERNEL_CLOCK_STEP_US,
                        untilUs);
        segmentsSeen = snapshot.dataSegments();
        drainedUntilUs = fromUs;
        return first;
    }

    private ArrivalTime clampToRead(long earliestUs, long latestUs, long readUs) {
        long latest = Math.min(readUs, latestUs);
        return new ArrivalTime(Math.min(latest, Math.max(drainedUntilUs, earliestUs)), latest);
    }
}

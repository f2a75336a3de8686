package rushproxy.lab.node;

/**
 * Computes how long an event loop waited for a processor between two samples. The kernel accounts for a wait when it ends; an ongoing
 * wait is detected by the thread's state. A loop stopped at a safepoint waits for the VM thread, so a wait of that thread for a
 * processor counts as the loop's.
 */
final class LoopWaitTracker {
    private static final double NANOS_PER_MS = 1e6;

    private ThreadSample loop;
    /** The last sample of the VM thread; null if it is unknown. */
    private ThreadSample vmThread;
    /** The part of an ongoing wait that was reported already. */
    private double reportedMs;

    LoopWaitTracker(ThreadSample loop, ThreadSample vmThread) {
        this.loop = loop;
        this.vmThread = vmThread;
    }

    /**
     * Takes the next samples and returns the wait since the last ones, in milliseconds.
     *
     * @param periodMs the time since the last samples
     */
    double update(ThreadSample loopNow, ThreadSample vmThreadNow, double periodMs) {
        double endedWaitMs = (loopNow.waitedNanos() - loop.waitedNanos()) / NANOS_PER_MS;
        boolean loopWaits = loopNow.hasWaitedSince(loop);
        boolean loopIdle = loopNow.ranNanos() == loop.ranNanos();
        boolean vmThreadWaits =
                loopIdle && vmThreadNow != null && vmThread != null && vmThreadNow.hasWaitedSince(vmThread);
        loop = loopNow;
        vmThread = vmThreadNow;
        if (endedWaitMs > 0) {
            double unreportedMs = Math.max(0, endedWaitMs - reportedMs);
            reportedMs = 0;
            return unreportedMs;
        }
        if (loopWaits) {
            reportedMs += periodMs;
        }
        return loopWaits || vmThreadWaits ? periodMs : 0;
    }
}

package rushproxy.lab.node;

/**
 * For how long an event loop waited for a processor between one look and the next. The kernel tells of a wait when it is over; one that goes
 * on is seen by the thread's state. A loop that stands at a safepoint waits for the virtual machine's own thread: while that one waits
 * for a processor, the loop does too.
 */
final class LoopWaitTracker {
    private static final double NANOS_PER_MS = 1e6;

    private ThreadSample loop;
    /** Null where it is not known. */
    private ThreadSample vmThread;
    /** Of the wait that goes on, what has been told. */
    private double reportedMs;

    LoopWaitTracker(ThreadSample loop, ThreadSample machine) {
        this.loop = loop;
        this.vmThread = machine;
    }

    /** {@code periodMs}: the time since the last look. */
    double update(ThreadSample loopNow, ThreadSample machineNow, double periodMs) {
        double overMs = (loopNow.waitedNanos() - loop.waitedNanos()) / NANOS_PER_MS;
        boolean waits = loopNow.hasWaitedSince(loop);
        boolean stands = loopNow.ranNanos() == loop.ranNanos();
        boolean machineWaits = stands && machineNow != null && vmThread != null && machineNow.hasWaitedSince(vmThread);
        loop = loopNow;
        vmThread = machineNow;
        if (overMs > 0) {
            double untoldMs = Math.max(0, overMs - reportedMs);
            reportedMs = 0;
            return untoldMs;
        }
        if (waits) {
            reportedMs += periodMs;
        }
        return waits || machineWaits ? periodMs : 0;
    }
}

package rushproxy.lab.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Samples are 100 ms apart. */
class LoopWaitTrackerTest {
    private static final long MS = 1_000_000;
    private static final ThreadSample SLEEPS = new ThreadSample(5 * MS, 0, false);
    private static final ThreadSample READY = new ThreadSample(5 * MS, 0, true);

    private static double update(LoopWaitTracker wait, ThreadSample loop, ThreadSample vmThread) {
        return wait.update(loop, vmThread, 100);
    }

    /**
     * Guards against missing a wait that is still going on when the run ends, which the kernel never accounts for: ten seconds of such a wait
     * were blamed on the sidecar.
     */
    @Test
    void ongoingWaitIsReportedOnce() {
        LoopWaitTracker wait = new LoopWaitTracker(SLEEPS, null);
        assertEquals(0, update(wait, READY, null));
        assertEquals(100, update(wait, READY, null));
        assertEquals(100, update(wait, READY, null));
        assertEquals(50, update(wait, new ThreadSample(6 * MS, 250 * MS, false), null));
    }

    /** Guards against blaming a sidecar whose loop is stopped at a safepoint while the VM thread waits for a processor. */
    @Test
    void loopWaitsWhileVmThreadWaits() {
        LoopWaitTracker wait = new LoopWaitTracker(SLEEPS, READY);
        assertEquals(100, update(wait, SLEEPS, READY));
        assertEquals(0, update(wait, new ThreadSample(6 * MS, 0, false), READY), "the loop ran");
        assertEquals(0, update(wait, new ThreadSample(6 * MS, 0, false), SLEEPS), "neither thread waits");
    }
}

package rushproxy.lab.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Looks are 100 ms apart. */
class LoopWaitTrackerTest {
    private static final long MS = 1_000_000;
    private static final ThreadSample SLEEPS = new ThreadSample(5 * MS, 0, false);
    private static final ThreadSample READY = new ThreadSample(5 * MS, 0, true);

    private static double since(LoopWaitTracker wait, ThreadSample loop, ThreadSample machine) {
        return wait.update(loop, machine, 100);
    }

    /** Guards against a wait that the run's end cuts off, which the kernel never tells: ten seconds of it were held against the sidecar. */
    @Test
    void ongoingWaitIsReportedOnce() {
        LoopWaitTracker wait = new LoopWaitTracker(SLEEPS, null);
        assertEquals(0, since(wait, READY, null));
        assertEquals(100, since(wait, READY, null));
        assertEquals(100, since(wait, READY, null));
        assertEquals(50, since(wait, new ThreadSample(6 * MS, 250 * MS, false), null));
    }

    /** Guards against blaming a sidecar whose loop stands at a safepoint while the virtual machine's thread has no processor. */
    @Test
    void loopWaitsWhileVmThreadWaits() {
        LoopWaitTracker wait = new LoopWaitTracker(SLEEPS, READY);
        assertEquals(100, since(wait, SLEEPS, READY));
        assertEquals(0, since(wait, new ThreadSample(6 * MS, 0, false), READY), "the loop ran");
        assertEquals(0, since(wait, new ThreadSample(6 * MS, 0, false), SLEEPS), "nobody waits");
    }
}

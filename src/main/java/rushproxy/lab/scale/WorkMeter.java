package rushproxy.lab.scale;

import org.HdrHistogram.Histogram;
import rushproxy.lab.sim.MemberSim;

/** Takes the time of each member's work. One thread, which does nothing else meanwhile, so that its time is the processor's. */
final class WorkMeter implements MemberSim.Meter {
    private final Histogram ticks = Spread.histogram();
    private final Histogram datagrams = Spread.histogram();
    private long totalNs;

    @Override
    public void tick(Runnable work) {
        measure(work, ticks);
    }

    @Override
    public void datagram(Runnable work) {
        measure(work, datagrams);
    }

    private void measure(Runnable work, Histogram to) {
        long from = System.nanoTime();
        work.run();
        long ns = System.nanoTime() - from;
        totalNs += ns;
        to.recordValue(ns);
    }

    Spread ticks() {
        return Spread.of(ticks);
    }

    Spread datagrams() {
        return Spread.of(datagrams);
    }

    long totalNs() {
        return totalNs;
    }

    void reset() {
        ticks.reset();
        datagrams.reset();
        totalNs = 0;
    }
}

package rushproxy.sidecar;

/** Module time: microseconds that only move forward, whatever becomes of the wall clock. They begin near Unix time, for people. */
class Clock {
    private final long unixUs = System.currentTimeMillis() * 1000;
    private final long nanos = System.nanoTime();

    long nowUs() {
        return unixUs + (System.nanoTime() - nanos) / 1000;
    }
}

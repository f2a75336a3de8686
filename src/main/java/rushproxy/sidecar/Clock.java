package rushproxy.sidecar;

/** A monotonic clock in microseconds. It starts at Unix time, for readability, and ignores later steps of the wall clock. */
class Clock {
    private final long startUnixUs = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    long nowUs() {
        return startUnixUs + (System.nanoTime() - startNanos) / 1000;
    }
}

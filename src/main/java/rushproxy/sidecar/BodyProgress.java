package rushproxy.sidecar;

/** How fast a client sends the body of a request. Time in which this sidecar does not read it does not count. */
final class BodyProgress {
    /** Time before the minimum rate applies. The rate is half that of a client on a poor link. */
    private static final long START_GRACE_US = 2_200_000;

    private static final long MIN_BYTES_PER_S = 32_000;
    /** Longest pause within a body; a client may take up to 2 s to write a request. */
    private static final long MAX_PAUSE_US = 2_200_000;

    private long startUs;
    private long lastPartUs;
    private long bytes;

    /** Starts anew, since nothing could be read before {@code nowUs}. */
    void restart(long nowUs) {
        startUs = lastPartUs = nowUs;
        bytes = 0;
    }

    void recordPart(long nowUs, int partBytes) {
        lastPartUs = nowUs;
        bytes += partBytes;
    }

    /** Whether its client has to be given up. */
    boolean isTooSlow(long nowUs) {
        return isBelowMinimumRate(nowUs, START_GRACE_US) || nowUs - lastPartUs >= MAX_PAUSE_US;
    }

    /** Whether fewer bytes have arrived than the minimum rate asks for from {@code graceUs} after the start on. */
    boolean isBelowMinimumRate(long nowUs, long graceUs) {
        long elapsedUs = nowUs - startUs;
        return elapsedUs >= graceUs && bytes < MIN_BYTES_PER_S * (elapsedUs - graceUs) / 1_000_000 + 1;
    }
}

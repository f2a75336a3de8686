package rushproxy.sidecar;

/**
 * Tracks how far an upstream's response has arrived and whether it still makes progress. Decides when a response of
 * unknown length is streamed before it is complete, and when a streamed response has stalled, so that its client must
 * be shown that it is broken off. A short response must be complete by the deadline of its request. Of a long one only
 * the first bytes must arrive by then; it may continue as long as it makes progress.
 */
final class ResponseProgress {
    /** Maximum size of a short response. */
    static final int MAX_SHORT_BYTES = RequestBody.MAX_KEPT_BYTES;
    /** A response of unknown length that has brought this much and still makes progress is likely to be long. */
    static final int MIN_STREAMING_BYTES = 4 * 1024;

    static final long MAX_STREAMING_GAP_US = 50_000;
    /**
     * Silence after which a short response has stalled once its deadline has passed, and any response once the process
     * is to end.
     */
    static final long SHORT_STALL_US = 100_000;
    /**
     * The same of a response of unknown length that is likely to be long. Its client is shown the end by half a second after the
     * deadline.
     */
    static final long UNKNOWN_LENGTH_STALL_US = 400_000;
    /** Silence after which a long response has stalled; up to 2 s are allowed. */
    static final long LONG_STALL_US = 5_000_000;
    /** After this time without reading a client counts as gone. */
    static final long CLIENT_STALL_US = 20_000_000;

    private final long length;
    private long bytes;
    private long lastProgressUs;
    private boolean heldBack;

    /** {@code length} is -1 if unknown. */
    ResponseProgress(long length, long now) {
        this.length = length;
        lastProgressUs = now;
    }

    void recordBytes(int count, long now) {
        bytes += count;
        lastProgressUs = now;
    }

    /**
     * Sets whether reading is suspended because the client does not read; that time does not count as silence of the
     * upstream.
     */
    void setHeldBack(boolean value, long now) {
        if (heldBack != value) {
            heldBack = value;
            lastProgressUs = now;
        }
    }

    boolean isLong() {
        return Math.max(bytes, length) > MAX_SHORT_BYTES;
    }

    /** Whether a response of unknown length should be streamed before it is complete. */
    boolean shouldStream(long now) {
        return bytes >= MIN_STREAMING_BYTES && now - lastProgressUs < MAX_STREAMING_GAP_US;
    }

    /** Whether a response of unknown length may be passed on at its deadline, since more of it is likely to come. */
    boolean mayContinue(long now) {
        return isLikelyLong() && now - lastProgressUs < UNKNOWN_LENGTH_STALL_US;
    }

    private boolean isLikelyLong() {
        return length < 0 && bytes >= MIN_STREAMING_BYTES;
    }

    /**
     * Whether the response has stalled. {@code deadlineUs}: the deadline of the request; {@code processEndUs}: when the
     * process may be killed.
     */
    boolean isStalled(long now, long deadlineUs, long processEndUs) {
        long silentUs = now - lastProgressUs;
        if (now >= processEndUs) {
            return silentUs >= SHORT_STALL_US;
        }
        if (heldBack) {
            return silentUs >= CLIENT_STALL_US;
        }
        if (isLong()) {
            return silentUs >= LONG_STALL_US;
        }
        return now >= deadlineUs && silentUs >= (isLikelyLong() ? UNKNOWN_LENGTH_STALL_US : SHORT_STALL_US);
    }
}

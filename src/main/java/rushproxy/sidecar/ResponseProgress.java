package rushproxy.sidecar;

/**
 * Tracks how far an upstream's response has arrived and whether it still makes progress. Decides when its first bytes may be passed on,
 * which promises the rest, and when a response that is passed on has stalled, so that its client must be shown that it is broken off. A
 * short response must be complete by its late limit. Of a long one only the first bytes must arrive by the deadline of the request; it
 * may continue as long as it makes progress. One of unknown length is taken for long if much of it will have come by the late limit,
 * and while it still comes at its pace then.
 */
final class ResponseProgress {
    /** Maximum size of a short response. */
    static final int MAX_SHORT_BYTES = RequestBody.MAX_KEPT_BYTES;
    /** A response of unknown length that has brought this much and still makes progress is likely to be long. */
    static final int MIN_STREAMING_BYTES = 4 * 1024;

    static final long MAX_STREAMING_GAP_US = 50_000;
    /**
     * It is taken for long if at its pace this much will have come by its late limit. One that ends in between is late; one that is not
     * begun at a pace at which long ones come fails although its first bytes came in time.
     */
    private static final int LIKELY_LONG_BYTES = MAX_SHORT_BYTES / 2;
    /** The slowest pace at which the next piece is waited for, where only one has come. */
    private static final int SLOWEST_BYTES_PER_S = 64_000;
    /** Parts with less time between them are one piece. */
    private static final long PIECE_GAP_US = 20_000;
    /** Least time for which a pace is measured. */
    private static final long MIN_PACE_SPAN_US = 50_000;
    /**
     * Silence after which a response without an own pace has stalled at its late limit or at the end of the process, and one of a short
     * stated length once its deadline has passed.
     */
    static final long SHORT_STALL_US = 100_000;
    /** How long after its late limit a response of unknown length may come at its pace without turning out to be long. */
    static final long MAX_UNDECIDED_US = 2_000_000;
    /** Silence after which a long response has stalled; up to 2 s are allowed. */
    static final long LONG_STALL_US = 5_000_000;
    /** After this time without reading a client counts as gone. */
    static final long CLIENT_STALL_US = 20_000_000;
    /** What is taken to be missing of a response of unknown length. */
    static final int UNKNOWN_REST_BYTES = 1024 * 1024;
    /** An upstream that keeps this much waiting gives its response faster than it is taken. */
    static final int FULL_SOCKET_BYTES = UnreadBodyEnd.FULL_SOCKET_BYTES;

    /**
     * By when a response is due.
     *
     * @param deadlineUs   when the first bytes must have been passed on
     * @param lateLimitUs  when a short response must have ended, complete or broken off
     * @param processEndUs when the process may be killed
     */
    record Limits(long deadlineUs, long lateLimitUs, long processEndUs) {}

    private final long length;
    private final long startUs;
    private long bytes;
    private long lastProgressUs;
    /** The longest time between two parts. */
    private long longestGapUs;

    /** The size of the last piece, and when it began. */
    private long pieceBytes;

    private long pieceSinceUs;

    private boolean heldBack;
    /** What had arrived when {@link #canEndBy} was first asked, and when that was; 0 before. */
    private long paceBytes;

    private long paceSinceUs;

    /** {@code length} is -1 if unknown. */
    ResponseProgress(long length, long now) {
        this.length = length;
        startUs = now;
        lastProgressUs = now;
    }

    void recordBytes(int count, long now) {
        long gapUs = now - lastProgressUs;
        if (bytes > 0 && !heldBack) {
            longestGapUs = Math.max(longestGapUs, gapUs);
        }
        if (pieceBytes == 0 || gapUs >= PIECE_GAP_US) {
            pieceBytes = 0;
            pieceSinceUs = now;
        }
        pieceBytes += count;
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
    boolean shouldStream(long now, Limits limits) {
        return isLikelyLong(now, limits) && now - lastProgressUs < MAX_STREAMING_GAP_US;
    }

    /** Whether a response of unknown length may be passed on at its deadline, since more of it is likely to come. */
    boolean mayContinue(long now, Limits limits) {
        return isLikelyLong(now, limits) && isWithin(expectedGapUs(), now - lastProgressUs);
    }

    /** Whether much of it will have come by its late limit, at its pace so far. If it ends before, it is complete in time. */
    private boolean isLikelyLong(long now, Limits limits) {
        if (length >= 0 || bytes < MIN_STREAMING_BYTES) {
            return false;
        }
        if (lastProgressUs + expectedGapUs() > limits.lateLimitUs) {
            // By then it could not be told from one that has stopped.
            return false;
        }
        double bytesPerUs = bytes / (double) Math.max(MIN_PACE_SPAN_US, now - startUs);
        return bytes + bytesPerUs * (limits.lateLimitUs - now) > LIKELY_LONG_BYTES;
    }

    /** How long the next piece is waited for: as long as the ones before, or as its size lets expect if it is the only one. */
    private long expectedGapUs() {
        boolean hasPace = longestGapUs >= PIECE_GAP_US || lastProgressUs - pieceSinceUs >= MIN_PACE_SPAN_US;
        return hasPace ? longestGapUs : pieceBytes * 1_000_000 / SLOWEST_BYTES_PER_S;
    }

    /**
     * Whether the rest can be expected by {@code endUs}, at the pace since this was first asked: what came until then may have been
     * there all at once. {@code unread}: bytes that have arrived and were not read.
     */
    boolean canEndBy(long endUs, long now, int unread) {
        long arrived = bytes + unread;
        long left = length < 0 ? UNKNOWN_REST_BYTES : length - arrived;
        if (left <= 0 || unread >= FULL_SOCKET_BYTES) {
            return true;
        }
        if (paceSinceUs == 0) {
            paceSinceUs = now;
            paceBytes = arrived;
        }
        return left * (double) (now - paceSinceUs) < (arrived - paceBytes) * (double) (endUs - now);
    }

    /** Whether the response that is passed on has stalled. */
    boolean isStalled(long now, Limits limits) {
        long silentUs = now - lastProgressUs;
        boolean isProcessEnd = now >= limits.processEndUs;
        if (heldBack) {
            return silentUs >= (isProcessEnd ? LONG_STALL_US : CLIENT_STALL_US);
        }
        if (isProcessEnd) {
            // What still comes may end before the kill, which may be late.
            return !isAtPace(silentUs);
        }
        if (isLong()) {
            return silentUs >= LONG_STALL_US;
        }
        if (length >= 0) {
            return now >= limits.deadlineUs && silentUs >= SHORT_STALL_US || now >= limits.lateLimitUs;
        }
        // Below the size of a long one nothing tells which it is. Cutting off one that still comes is the graver error.
        return now >= limits.lateLimitUs && (!isAtPace(silentUs) || now >= limits.lateLimitUs + MAX_UNDECIDED_US);
    }

    /** Whether it is silent for no longer than between its parts, and half as long again. */
    private boolean isAtPace(long silentUs) {
        return isWithin(longestGapUs, silentUs);
    }

    private static boolean isWithin(long gapUs, long silentUs) {
        return silentUs < Math.min(LONG_STALL_US, Math.max(SHORT_STALL_US, gapUs + gapUs / 2));
    }
}

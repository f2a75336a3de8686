package rushproxy.sidecar;

/**
 * How far an upstream's answer has come and whether it still moves. Decides when an answer of unknown length may be passed on
 * before it is whole, and when one that is being passed on has stopped for good: its client must then be shown its end. A short
 * answer is due as a whole by the request's deadline; of a long one only the first bytes are, and it goes on for as long as it
 * moves.
 */
final class ResponseProgress {
    /** Up to so many bytes an answer is short. */
    static final int MAX_SHORT_BYTES = RequestBody.MAX_KEPT_BYTES;
    /** An answer of unknown length that has brought so much and still moves is likely to be long. */
    static final int MIN_STREAMING_BYTES = 4 * 1024;

    static final long MAX_STREAMING_GAP_US = 50_000;
    /** After its deadline a short answer that is silent for so long has stopped; so has any when the process ends. */
    static final long SHORT_STALL_US = 100_000;
    /** A long answer may rest for 2 s; after this long it has stopped. */
    static final long LONG_STALL_US = 5_000_000;
    /** A client that takes nothing for so long is no longer there to read. */
    static final long CLIENT_STALL_US = 20_000_000;

    private final long length;
    private long bytes;
    private long lastProgressUs;
    private boolean heldBack;

    /** {@code length} is -1 where it is not known. */
    ResponseProgress(long length, long now) {
        this.length = length;
        lastProgressUs = now;
    }

    void recordBytes(int byBytes, long now) {
        bytes += byBytes;
        lastProgressUs = now;
    }

    /** Whether nothing is read of it because its client takes nothing: that is no silence of the upstream's. */
    void setHeldBack(boolean now, long us) {
        if (heldBack != now) {
            heldBack = now;
            lastProgressUs = us;
        }
    }

    boolean isLong() {
        return Math.max(bytes, length) > MAX_SHORT_BYTES;
    }

    /** Whether it is to be passed on as it comes, though nobody knows how long it is. */
    boolean shouldStream(long now) {
        return bytes >= MIN_STREAMING_BYTES && now - lastProgressUs < MAX_STREAMING_GAP_US;
    }

    /** Whether it has stopped for good. {@code dueUs}: the request's deadline; {@code endUs}: when the process may be killed. */
    boolean isStalled(long now, long dueUs, long endUs) {
        long silentUs = now - lastProgressUs;
        if (now >= endUs) {
            return silentUs >= SHORT_STALL_US;
        }
        if (heldBack) {
            return silentUs >= CLIENT_STALL_US;
        }
        if (isLong()) {
            return silentUs >= LONG_STALL_US;
        }
        return now >= dueUs && silentUs >= SHORT_STALL_US;
    }
}

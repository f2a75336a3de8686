package rushproxy.sidecar;

/**
 * How far an upstream's answer has come and whether it still moves. Decides when an answer of unknown length may be passed on
 * before it is whole, and when one that is being passed on has stopped for good: its client must then be shown its end. A short
 * answer is due as a whole by the request's deadline; of a long one only the first bytes are, and it goes on for as long as it
 * moves.
 */
final class AnswerProgress {
    /** Up to so many bytes an answer is short. */
    static final int SHORT_BYTES = Body.KEPT;
    /** An answer of unknown length that has brought so much and still moves is likely to be long. */
    static final int FLOWING_BYTES = 4 * 1024;

    static final long FLOWING_US = 50_000;
    /** After its deadline a short answer that is silent for so long has stopped; so has any when the process ends. */
    static final long SHORT_SILENCE_US = 100_000;
    /** A long answer may rest for 2 s; after this long it has stopped. */
    static final long LONG_SILENCE_US = 5_000_000;
    /** A client that takes nothing for so long is no longer there to read. */
    static final long UNREAD_US = 20_000_000;

    private final long length;
    private long bytes;
    private long movedUs;
    private boolean heldBack;

    /** {@code length} is -1 where it is not known. */
    AnswerProgress(long length, long now) {
        this.length = length;
        movedUs = now;
    }

    void moved(int byBytes, long now) {
        bytes += byBytes;
        movedUs = now;
    }

    /** Whether nothing is read of it because its client takes nothing: that is no silence of the upstream's. */
    void heldBack(boolean now, long us) {
        if (heldBack != now) {
            heldBack = now;
            movedUs = us;
        }
    }

    boolean isLong() {
        return Math.max(bytes, length) > SHORT_BYTES;
    }

    /** Whether it is to be passed on as it comes, though nobody knows how long it is. */
    boolean flows(long now) {
        return bytes >= FLOWING_BYTES && now - movedUs < FLOWING_US;
    }

    /** Whether it has stopped for good. {@code dueUs}: the request's deadline; {@code endUs}: when the process may be killed. */
    boolean hasStopped(long now, long dueUs, long endUs) {
        long silentUs = now - movedUs;
        if (now >= endUs) {
            return silentUs >= SHORT_SILENCE_US;
        }
        if (heldBack) {
            return silentUs >= UNREAD_US;
        }
        if (isLong()) {
            return silentUs >= LONG_SILENCE_US;
        }
        return now >= dueUs && silentUs >= SHORT_SILENCE_US;
    }
}

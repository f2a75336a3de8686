package rushproxy.sidecar;

import java.util.Locale;

/**
 * The times at which a request reached its stages, for the debug log: microseconds of {@link Clock}, 0 for a stage that
 * was not reached. They are kept for every request, which costs less than checking the log level.
 */
final class RequestTimestamps {
    private final long openedUs;
    private final long firstByteUs;
    /** When its last byte was read; 0 if it has not arrived. */
    private final long completeUs;

    /** Earliest time at which the client may have sent the last byte. */
    private final long sentUs;

    private final long clientDeadlineUs;
    private long firstAttemptUs;
    private long responseUs;

    RequestTimestamps(long openedUs, long firstByteUs, long completeUs, long sentUs, long clientDeadlineUs) {
        this.openedUs = openedUs;
        this.firstByteUs = firstByteUs;
        this.completeUs = completeUs;
        this.sentUs = sentUs;
        this.clientDeadlineUs = clientDeadlineUs;
    }

    /** Records the start of an attempt; only the first one counts. */
    void recordAttempt(long now) {
        if (firstAttemptUs == 0) {
            firstAttemptUs = now;
        }
    }

    /** Records that the final response, or its head, was written to the connection. */
    void recordResponse(long now) {
        responseUs = now;
    }

    /**
     * Logs the times. {@code end}: how the request ended; {@code now}: when the kernel had the last byte of the
     * response.
     */
    void log(String id, String end, int attempts, long now) {
        if (!Log.isDebugEnabled()) {
            return;
        }
        String text = String.format(
                Locale.ROOT,
                "request %s %s after %.1f ms of %.1f; opened %.1f, first byte %.1f, complete %.1f,"
                        + " attempt %.1f (%d), response %.1f",
                id,
                end,
                sinceSentMs(now),
                sinceSentMs(clientDeadlineUs),
                sinceSentMs(openedUs),
                sinceSentMs(firstByteUs),
                sinceSentMs(completeUs),
                sinceSentMs(firstAttemptUs),
                attempts,
                sinceSentMs(responseUs));
        Log.event(Log.Level.DEBUG, text);
    }

    /** Milliseconds since the client may have sent the request; NaN for a stage that was not reached. */
    private double sinceSentMs(long timeUs) {
        return timeUs == 0 ? Double.NaN : (timeUs - sentUs) / 1e3;
    }
}

package rushproxy.sidecar;

import java.util.Locale;

/**
 * When one request reached each of its stages, for the debug log: microseconds of {@link Clock}, 0 for a stage that was
 * never reached. Kept for every request, since a number costs less than the question whether it is wanted.
 */
final class RequestTimes {
    private final long openedUs;
    private final long firstByteUs;
    /** When its last byte was read, and when its client may have sent that at the earliest. */
    private final long wholeUs;

    private final long sentUs;
    private final long clientDeadlineUs;
    private long firstAttemptUs;
    private long answeredUs;

    RequestTimes(long openedUs, long firstByteUs, long wholeUs, long sentUs, long clientDeadlineUs) {
        this.openedUs = openedUs;
        this.firstByteUs = firstByteUs;
        this.wholeUs = wholeUs;
        this.sentUs = sentUs;
        this.clientDeadlineUs = clientDeadlineUs;
    }

    /** An attempt begins; only the first one counts. */
    void attempted(long now) {
        if (firstAttemptUs == 0) {
            firstAttemptUs = now;
        }
    }

    /** The final answer, or its head, is handed to the connection. */
    void answered(long now) {
        answeredUs = now;
    }

    /** {@code end}: what became of it; {@code now}: when that was so, the kernel having the answer's last byte. */
    void log(String id, String end, int attempts, long now) {
        if (!Log.isDebugEnabled()) {
            return;
        }
        String text = String.format(
                Locale.ROOT,
                "request %s %s after %.1f ms of %.1f; opened %.1f, first byte %.1f, whole %.1f,"
                        + " attempt %.1f (%d), answer %.1f",
                id,
                end,
                ms(now),
                ms(clientDeadlineUs),
                ms(openedUs),
                ms(firstByteUs),
                ms(wholeUs),
                ms(firstAttemptUs),
                attempts,
                ms(answeredUs));
        Log.event(Log.Level.DEBUG, text);
    }

    /** Relative to the earliest moment at which its client may have sent it; NaN where it never was. */
    private double ms(long atUs) {
        return atUs == 0 ? Double.NaN : (atUs - sentUs) / 1e3;
    }
}

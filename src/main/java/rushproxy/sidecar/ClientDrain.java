package rushproxy.sidecar;

/**
 * The steps of a drain, by the time since it was requested: idle connections close first, then all responses are due, and in the end no
 * connection is left. A drain can be cancelled at any time.
 */
final class ClientDrain {
    /**
     * Clients keep sending for some tenths of a second after the call to drain; then connections that have been idle
     * for long close.
     */
    private static final long CLOSE_IDLE_AFTER_US = 600_000;

    private static final long IDLE_US = 500_000;
    /**
     * 4 s after the call no connection may be idle or hold a request younger than 2 s, so all idle ones are closed from
     * here on.
     */
    private static final long CLOSE_ALL_AFTER_US = 1_600_000;

    private static final long RESPONSES_DUE_US = 3_700_000;
    private static final long CLOSED_BY_US = 3_900_000;

    private boolean isRequested;
    /** By the clock of the process; may lie before its start. */
    private long requestedUs;

    /** Starts a drain that was requested {@code ageUs} ago; the age of a complete one does not matter any more. */
    void request(long nowUs, long ageUs) {
        isRequested = true;
        requestedUs = nowUs - Math.min(ageUs, CLOSED_BY_US);
    }

    /** The age of a drain that has run to its end. */
    static long completeAgeUs() {
        return CLOSED_BY_US;
    }

    void cancel() {
        isRequested = false;
    }

    boolean isRequested() {
        return isRequested;
    }

    /** When every connection must be closed, even if it is still in use. */
    long closeDeadlineUs(long nowUs) {
        return isRequested ? Math.max(nowUs, requestedUs + CLOSED_BY_US) : Long.MAX_VALUE;
    }

    /** Latest deadline of a request that is accepted now, whatever its client allows. */
    long latestDeadlineUs(long nowUs) {
        return isRequested && ageUs(nowUs) >= CLOSE_ALL_AFTER_US ? requestedUs + RESPONSES_DUE_US : Long.MAX_VALUE;
    }

    /** Whether connections that are idle close now. */
    boolean closesIdle(long nowUs) {
        return isRequested && ageUs(nowUs) >= CLOSE_IDLE_AFTER_US;
    }

    /** How long a connection has been idle when it closes. */
    long idleUs(long nowUs) {
        return ageUs(nowUs) < CLOSE_ALL_AFTER_US ? IDLE_US : 0;
    }

    /** Whether new connections and those with an incomplete request close now as well. */
    boolean closesIncomplete(long nowUs) {
        return ageUs(nowUs) >= RESPONSES_DUE_US;
    }

    private long ageUs(long nowUs) {
        return nowUs - requestedUs;
    }
}

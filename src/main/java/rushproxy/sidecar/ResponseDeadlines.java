package rushproxy.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.Balancer.RequestClass;

/**
 * Computes when the final response to a request must be written: before its client gives up, less a margin for the way
 * to the client and for delays of the event loop. A response after the aim of its class is worth little, so part of the
 * time between aim and deadline is reserved for unexpected delays. Recently observed delays are added to it.
 */
final class ResponseDeadlines {
    /** Minimum margin, for the way to the client, which runs through the same busy core. */
    static final long MIN_MARGIN_US = 15_000;
    /** Maximum reserve for an unexpected delay; it is also limited to a part of the time between aim and deadline. */
    static final long MAX_RESERVE_US = 100_000;

    /** At most 1/4 of the time between aim and deadline is reserved. */
    private static final int RESERVE_DIVISOR = 4;
    /** The margin takes at most 1/4 of a request's time. */
    private static final int MARGIN_DIVISOR = 4;

    /** Up to half a second after its time a response only earns nothing; the rest is for the way to the client. */
    private static final long LATE_US = 470_000;

    private final EventLoopDelay loopDelay;
    private final Map<String, Long> reserves = new HashMap<>();

    ResponseDeadlines(List<RequestClass> classes, EventLoopDelay loopDelay) {
        this.loopDelay = loopDelay;
        for (RequestClass requestClass : classes) {
            long afterAimUs = Math.max(0, requestClass.deadlineUs() - requestClass.aimUs());
            reserves.put(requestClass.name(), Math.min(MAX_RESERVE_US, afterAimUs / RESERVE_DIVISOR));
        }
    }

    /**
     * {@code sentUs}: earliest time at which the client may have sent the last byte; {@code remainingUs}: how long it
     * waits from then on.
     */
    long deadlineUs(String requestClass, long sentUs, long remainingUs) {
        return sentUs + remainingUs - marginUs(requestClass, remainingUs);
    }

    private long marginUs(String requestClass, long remainingUs) {
        long reserveUs = Math.max(MIN_MARGIN_US, reserves.getOrDefault(requestClass, 0L));
        return Math.min(reserveUs + loopDelay.recentDelayUs(), remainingUs / MARGIN_DIVISOR);
    }

    /** When a short response must have ended, complete or broken off, whatever its client allows. */
    static long lateLimitUs(long sentUs, long remainingUs) {
        return sentUs + remainingUs + LATE_US;
    }
}

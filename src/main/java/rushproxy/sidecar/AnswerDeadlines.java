package rushproxy.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.Balancer.RequestClass;

/**
 * By when a request's final answer leaves: before its client gives up, by a margin for the way to the client and for hold-ups of
 * the event loop. An answer that comes after its class's aim earns next to nothing, so a part of the time between the aim and
 * the deadline is kept for hold-ups nobody has seen yet; those of late are added to it.
 */
final class AnswerDeadlines {
    /** The least margin, for the way to the client, which runs through the same busy core. */
    static final long LEAST_MARGIN_US = 15_000;
    /** At most this, and at most a part of the time between aim and deadline, is kept for a hold-up out of the blue. */
    static final long MOST_RESERVE_US = 100_000;

    private static final int RESERVE_PART = 4;
    /** A margin takes no more than this part of a request's time. */
    private static final int MARGIN_PART = 4;

    private final EventLoopDelay loopDelay;
    private final Map<String, Long> reserves = new HashMap<>();

    AnswerDeadlines(List<RequestClass> classes, EventLoopDelay loopDelay) {
        this.loopDelay = loopDelay;
        for (RequestClass c : classes) {
            long afterAimUs = Math.max(0, c.deadlineUs() - c.aimUs());
            reserves.put(c.name(), Math.min(MOST_RESERVE_US, afterAimUs / RESERVE_PART));
        }
    }

    /** {@code sentUs}: when the client may have sent the last byte; {@code remainingUs}: how long it waits from then on. */
    long dueUs(String requestClass, long sentUs, long remainingUs) {
        return sentUs + remainingUs - marginUs(requestClass, remainingUs);
    }

    private long marginUs(String requestClass, long remainingUs) {
        long reserveUs = Math.max(LEAST_MARGIN_US, reserves.getOrDefault(requestClass, 0L));
        return Math.min(reserveUs + loopDelay.recentDelayUs(), remainingUs / MARGIN_PART);
    }
}

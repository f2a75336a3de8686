package rushproxy.fleet.member;

/**
 * Token bucket over the bytes that a member sends, including IP and UDP headers. The failure detector's datagrams (probes,
 * answers, suspicions) are always sent and only counted; dissemination and anti-entropy use what is left. At most
 * {@link #MAX_BYTES_PER_SECOND} are sent in any second, unless the failure detector alone exceeds them.
 */
final class SendBudget {
    /** Control traffic allowed per sidecar (docs/CAPACITY.md). */
    static final int MAX_BYTES_PER_SECOND = 3_000;
    /** IP header of 20 bytes and UDP header of 8. */
    static final int IP_UDP_HEADER_BYTES = 28;
    /** Bytes that may be sent at once after a pause; the rest of the rate is refilled evenly. */
    private static final int BURST_BYTES = 600;

    private static final int REFILL_BYTES_PER_SECOND = MAX_BYTES_PER_SECOND - BURST_BYTES;
    private static final long SECOND_US = 1_000_000;
    private static final long MAX_REFILL_US = 60 * SECOND_US;

    /** Millionths of a byte. */
    private long microTokens = BURST_BYTES * SECOND_US;

    private long refilledUs;

    SendBudget(long nowUs) {
        refilledUs = nowUs;
    }

    void refill(long nowUs) {
        if (nowUs > refilledUs) {
            // A longer pause fills the bucket in any case; the cap keeps the product from overflowing.
            long passed = Math.min(nowUs - refilledUs, MAX_REFILL_US);
            microTokens = Math.min(BURST_BYTES * SECOND_US, microTokens + passed * REFILL_BYTES_PER_SECOND);
            refilledUs = nowUs;
        }
    }

    /** Counts a datagram as sent, even beyond the budget. */
    void spend(int datagramBytes) {
        microTokens -= (datagramBytes + IP_UDP_HEADER_BYTES) * SECOND_US;
    }

    /** Bytes that may be sent now; negative if the budget is overdrawn. */
    int availableBytes() {
        return (int) Math.floorDiv(microTokens, SECOND_US);
    }

    /** Whether a datagram of this length fits into the budget. */
    boolean canSend(int datagramBytes) {
        return availableBytes() >= datagramBytes + IP_UDP_HEADER_BYTES;
    }
}

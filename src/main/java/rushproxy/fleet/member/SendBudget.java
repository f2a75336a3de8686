package rushproxy.fleet.member;

/**
 * A token bucket over the bytes that a member sends, IP's and UDP's headers with them. What keeps the failure detector going
 * (probes, answers, suspicions) is always sent, and only counted; dissemination and anti-entropy wait for what is left. In any
 * second no more than {@link #MAX_BYTES_PER_SECOND} is sent, unless the former alone pass it.
 */
final class SendBudget {
    /** What a sidecar may spend for control (docs/CAPACITY.md). */
    static final int MAX_BYTES_PER_SECOND = 3_000;
    /** A datagram's way: IP's header of 20 bytes and UDP's of 8. */
    static final int IP_UDP_HEADER_BYTES = 28;
    /** May be sent at once after a pause; the rest of the second's bytes come back evenly. */
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
            // A longer pause fills it in any case, and must not overflow the product.
            long passed = Math.min(nowUs - refilledUs, MAX_REFILL_US);
            microTokens = Math.min(BURST_BYTES * SECOND_US, microTokens + passed * REFILL_BYTES_PER_SECOND);
            refilledUs = nowUs;
        }
    }

    /** Sent, whether or not there was room for it. */
    void spend(int datagramBytes) {
        microTokens -= (datagramBytes + IP_UDP_HEADER_BYTES) * SECOND_US;
    }

    /** Bytes of datagrams that may be sent now; negative where more was sent than there was room for. */
    int availableBytes() {
        return (int) Math.floorDiv(microTokens, SECOND_US);
    }

    /** Whether a datagram of this length may be sent now. */
    boolean canSend(int datagramBytes) {
        return availableBytes() >= datagramBytes + IP_UDP_HEADER_BYTES;
    }
}

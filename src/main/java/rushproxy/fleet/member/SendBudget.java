package rushproxy.fleet.member;

/**
 * A token bucket over the bytes that a member sends, IP's and UDP's headers with them. What keeps the failure detector going
 * (probes, answers, suspicions) is always sent, and only counted; dissemination and anti-entropy wait for what is left. In any
 * second no more than {@link #BYTES_A_SECOND} is sent, unless the former alone pass it.
 */
final class SendBudget {
    /** What a sidecar may spend for control (docs/CAPACITY.md). */
    static final int BYTES_A_SECOND = 3_000;
    /** A datagram's way: IP's header of 20 bytes and UDP's of 8. */
    static final int HEADERS = 28;
    /** May be sent at once after a pause; the rest of the second's bytes come back evenly. */
    private static final int BURST = 600;

    private static final int RATE = BYTES_A_SECOND - BURST;
    private static final long SECOND_US = 1_000_000;
    private static final long LONGEST_US = 60 * SECOND_US;

    /** Millionths of a byte. */
    private long tokens = BURST * SECOND_US;

    private long filledUs;

    SendBudget(long nowUs) {
        filledUs = nowUs;
    }

    void advance(long nowUs) {
        if (nowUs > filledUs) {
            // A longer pause fills it in any case, and must not overflow the product.
            long passed = Math.min(nowUs - filledUs, LONGEST_US);
            tokens = Math.min(BURST * SECOND_US, tokens + passed * RATE);
            filledUs = nowUs;
        }
    }

    /** Sent, whether or not there was room for it. */
    void spend(int datagramBytes) {
        tokens -= (datagramBytes + HEADERS) * SECOND_US;
    }

    /** Bytes of datagrams that may be sent now; negative where more was sent than there was room for. */
    int left() {
        return (int) Math.floorDiv(tokens, SECOND_US);
    }

    /** Whether a datagram of this length may be sent now. */
    boolean admits(int datagramBytes) {
        return left() >= datagramBytes + HEADERS;
    }
}

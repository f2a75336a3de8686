package rushproxy;

import java.nio.ByteBuffer;

/** The estimates that sidecars exchange periodically, and their encoding; sent and received by {@link Policy}. */
public final class PeerMessage {
    private static final int MAX_UNSIGNED_SHORT = 65_535;
    /** Fixed-point units per request per second, and per unit of a ratio. */
    private static final double RATE_UNITS = 100, RATIO_UNITS = 256;

    private static final long US_PER_MS = 1000;

    /** Average requests per second of a sidecar, split by the sidecar's zone. */
    final double[] zoneRates;
    /** By server kind, the slowness and the number of answers it is based on. */
    final double[] slowness;

    final int[] answers;
    /** Ratio of latencies to those of uncongested servers. */
    double congestion;
    /** Idle time after which connections are dropped; 0 if the sender has seen no drop. */
    long idleLimitUs;

    PeerMessage(int zones, int kinds) {
        zoneRates = new double[zones];
        slowness = new double[kinds];
        answers = new int[kinds];
    }

    private int encodedLength() {
        return encodedLength(zoneRates.length, slowness.length);
    }

    /** The message has no type or version and is recognised by its length alone: no other peer message may have it. */
    public static int encodedLength(int zones, int kinds) {
        return 2 * zones + 3 * kinds + 4;
    }

    byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(encodedLength());
        for (double rate : zoneRates) {
            buffer.putShort(toUnsignedShort(rate * RATE_UNITS));
        }
        for (int i = 0; i < slowness.length; i++) {
            buffer.putShort(toUnsignedShort(slowness[i] * RATIO_UNITS)).put((byte) Math.min(255, answers[i]));
        }
        return buffer.putShort(toUnsignedShort(congestion * RATIO_UNITS))
                .putShort(toUnsignedShort(idleLimitUs / (double) US_PER_MS))
                .array();
    }

    private static short toUnsignedShort(double value) {
        return (short) Math.min(MAX_UNSIGNED_SHORT, Math.round(value));
    }

    /** Returns false, leaving the fields undefined, if the bytes are no such message. */
    boolean decode(byte[] message) {
        if (message.length != encodedLength()) {
            return false;
        }
        ByteBuffer buffer = ByteBuffer.wrap(message);
        for (int i = 0; i < zoneRates.length; i++) {
            zoneRates[i] = (buffer.getShort() & MAX_UNSIGNED_SHORT) / RATE_UNITS;
        }
        for (int i = 0; i < slowness.length; i++) {
            slowness[i] = (buffer.getShort() & MAX_UNSIGNED_SHORT) / RATIO_UNITS;
            answers[i] = buffer.get() & 255;
        }
        congestion = (buffer.getShort() & MAX_UNSIGNED_SHORT) / RATIO_UNITS;
        idleLimitUs = (buffer.getShort() & MAX_UNSIGNED_SHORT) * US_PER_MS;
        return true;
    }
}

package rushproxy;

import java.nio.ByteBuffer;

/** What one sidecar tells another, and its bytes: plain data, used by {@link Policy}. */
public final class PeerMessage {
    /** Mean rate a second of the fleet's sidecars, apart by zone. */
    final double[] zoneRates;
    /** Of each kind the slowness and the number of answers behind it. */
    final double[] slowness;

    final int[] answers;
    /** How many times longer than at their best the answers take. */
    double congestion;
    /** Idle connections are dropped after about this long; 0 where nothing was seen of it. */
    long idleLimitUs;

    PeerMessage(int zones, int kinds) {
        zoneRates = new double[zones];
        slowness = new double[kinds];
        answers = new int[kinds];
    }

    private int encodedLength() {
        return encodedLength(zoneRates.length, slowness.length);
    }

    /** It has no version and is known by its length alone: nothing else that peers send may be as long. */
    public static int encodedLength(int zones, int kinds) {
        return 2 * zones + 3 * kinds + 4;
    }

    byte[] encode() {
        ByteBuffer b = ByteBuffer.allocate(encodedLength());
        for (double r : zoneRates) {
            b.putShort(unsigned(r * 100));
        }
        for (int i = 0; i < slowness.length; i++) {
            b.putShort(unsigned(slowness[i] * 256)).put((byte) Math.min(255, answers[i]));
        }
        return b.putShort(unsigned(congestion * 256))
                .putShort(unsigned(idleLimitUs / 1000.0))
                .array();
    }

    private static short unsigned(double value) {
        return (short) Math.min(65_535, Math.round(value));
    }

    /** False where the bytes are no such message; nothing is to be taken from it then. */
    boolean decode(byte[] message) {
        if (message.length != encodedLength()) {
            return false;
        }
        ByteBuffer b = ByteBuffer.wrap(message);
        for (int i = 0; i < zoneRates.length; i++) {
            zoneRates[i] = (b.getShort() & 65_535) / 100.0;
        }
        for (int i = 0; i < slowness.length; i++) {
            slowness[i] = (b.getShort() & 65_535) / 256.0;
            answers[i] = b.get() & 255;
        }
        congestion = (b.getShort() & 65_535) / 256.0;
        idleLimitUs = (b.getShort() & 65_535) * 1000L;
        return true;
    }
}

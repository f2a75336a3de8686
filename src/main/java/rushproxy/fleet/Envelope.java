package rushproxy.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The one form of all datagrams of the fleet plane, {@link #MAX_BYTES} bytes at most:
 *
 * <pre>
 * 0  magic         1 byte, 0xF1
 * 1  version       1 byte, 1: readers of another version skip the datagram
 * 2  check         4 bytes, the CRC-32 of all that follows
 * 6  sender        6 bytes, the sender's id: {@link #idOf} of its name
 * 12 incarnation   6 bytes, the sender's
 * 18 sections      type 1 byte, length 1 byte, bytes; unknown types are skipped
 * </pre>
 *
 * <p>The program before knows peers' words by their length alone. An envelope never has that length: it is one byte longer
 * where it would, by an empty section's half; and a word is never taken for an envelope, since its length says what it is.
 */
public final class Envelope {
    public static final int MAX_BYTES = 256;
    private static final byte MAGIC = (byte) 0xF1;
    private static final byte VERSION = 1;
    private static final int CHECKSUM_START = 6;
    private static final int HEADER_BYTES = 18;
    private static final long MASK48 = (1L << 48) - 1;
    /** Fills up; a reader skips it like any type that it does not know. */
    private static final int PADDING = 0;

    /** One section. {@code toBytes} is its own copy. */
    public record Section(int type, byte[] bytes) {}

    /** A datagram that was understood. */
    public record Message(long sender, long incarnation, List<Section> sections) {}

    private final ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);

    private Envelope(long sender, long incarnation) {
        buffer.put(MAGIC).put(VERSION).putInt(0);
        put48(buffer, sender);
        put48(buffer, incarnation);
    }

    public static Envelope from(long sender, long incarnation) {
        return new Envelope(sender, incarnation);
    }

    /** Bytes that a further section may have at most; negative where none fits. */
    public int remainingBytes() {
        // One byte is kept for the end's length.
        return buffer.remaining() - 3;
    }

    /** Throws where there is no {@link #remainingBytes}: whoever writes asks first. */
    public Envelope addSection(int type, ByteBuffer bytes) {
        bytes.flip();
        buffer.put((byte) type).put((byte) bytes.remaining()).put(bytes);
        return this;
    }

    /** {@code taken} is the length that the program before would take for its own; -1 where there is none. */
    public byte[] toBytes(int reservedLength) {
        if (buffer.position() == reservedLength) {
            // A section of no length would take two: the type alone is skipped too.
            buffer.put((byte) PADDING);
        }
        byte[] datagram = new byte[buffer.position()];
        buffer.flip().get(datagram);
        ByteBuffer.wrap(datagram).putInt(2, checksum(datagram));
        return datagram;
    }

    private static int checksum(byte[] datagram) {
        CRC32 crc = new CRC32();
        crc.update(datagram, CHECKSUM_START, datagram.length - CHECKSUM_START);
        return (int) crc.getValue();
    }

    /** Null where the bytes are no whole envelope of this version: nothing is to be taken from them. */
    public static Message parse(byte[] datagram) {
        if (datagram.length < HEADER_BYTES
                || datagram.length > MAX_BYTES
                || datagram[0] != MAGIC
                || datagram[1] != VERSION) {
            return null;
        }
        if (checksum(datagram) != ByteBuffer.wrap(datagram).getInt(2)) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(datagram, CHECKSUM_START, datagram.length - CHECKSUM_START);
        long sender = get48(b);
        long incarnation = get48(b);
        List<Section> sections = new ArrayList<>(3);
        while (b.remaining() >= 2) {
            int type = b.get() & 255;
            int length = b.get() & 255;
            if (length > b.remaining()) {
                return null;
            }
            byte[] bytes = new byte[length];
            b.get(bytes);
            sections.add(new Section(type, bytes));
        }
        // A single byte left is the pad's.
        return b.hasRemaining() && b.get() != PADDING ? null : new Message(sender, incarnation, sections);
    }

    public static void put48(ByteBuffer b, long value) {
        b.putShort((short) (value >> 32)).putInt((int) value);
    }

    public static long get48(ByteBuffer b) {
        return (b.getShort() & 0xFFFFL) << 32 | b.getInt() & 0xFFFFFFFFL;
    }

    /**
     * The 48 bits that stand for a name. Among 10,000 names two share theirs with a chance of 2 in 10 million; both would
     * be taken for one, as two processes of one name are.
     */
    public static long idOf(String name) {
        // FNV-1a, 64 bits, folded, as its authors advise for lengths between (Fowler, Noll, Vo).
        long hash = 0xcbf29ce484222325L;
        for (byte b : name.getBytes(java.nio.charset.StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 255) * 0x100000001b3L;
        }
        return (hash >>> 48 ^ hash) & MASK48;
    }
}

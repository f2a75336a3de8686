package rushproxy.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Common format of all datagrams of the fleet plane, at most {@link #MAX_BYTES} bytes:
 *
 * <pre>
 * 0  magic         1 byte, 0xF1
 * 1  version       1 byte, 1: readers of other versions skip the datagram
 * 2  checksum      4 bytes, CRC-32 of the following bytes
 * 6  sender        6 bytes, the sender's id: {@link #idOf} of its name
 * 12 incarnation   6 bytes, of the sender
 * 18 sections      type 1 byte, length 1 byte, content; unknown types are skipped
 * </pre>
 *
 * <p>The previous program version recognises its own datagrams by their length alone. An envelope never has that length: if
 * necessary it is padded by one byte, the type of a section without its length. Nor is a datagram of that version taken for an
 * envelope, as its length identifies it.
 */
public final class Envelope {
    public static final int MAX_BYTES = 256;
    private static final byte MAGIC = (byte) 0xF1;
    private static final byte VERSION = 1;
    private static final int CHECKSUM_START = 6;
    private static final int HEADER_BYTES = 18;
    private static final long MASK48 = (1L << 48) - 1;
    /** Section type that readers skip as unknown. */
    private static final int PADDING = 0;

    /** One section; it owns its {@code bytes}. */
    public record Section(int type, byte[] bytes) {}

    /** A parsed datagram. */
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

    /** Maximum content of a further section; negative if none fits. */
    public int remainingBytes() {
        // Two bytes of section header, and one for the padding.
        return buffer.remaining() - 3;
    }

    /** Throws if the content exceeds {@link #remainingBytes}. */
    public Envelope addSection(int type, ByteBuffer bytes) {
        bytes.flip();
        buffer.put((byte) type).put((byte) bytes.remaining()).put(bytes);
        return this;
    }

    /** {@code reservedLength}: datagram length of the previous program version, to be avoided; -1 for none. */
    public byte[] toBytes(int reservedLength) {
        if (buffer.position() == reservedLength) {
            // A type without a length: a whole empty section would take two bytes.
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

    /** Null if the bytes are not a complete envelope of this version. */
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
        // A single remaining byte is padding.
        return b.hasRemaining() && b.get() != PADDING ? null : new Message(sender, incarnation, sections);
    }

    public static void put48(ByteBuffer b, long value) {
        b.putShort((short) (value >> 32)).putInt((int) value);
    }

    public static long get48(ByteBuffer b) {
        return (b.getShort() & 0xFFFFL) << 32 | b.getInt() & 0xFFFFFFFFL;
    }

    /**
     * Hashes a name to 48 bits. Among 10,000 names the probability of a collision is 2 in 10 million; colliding names are
     * treated like two processes of the same name.
     */
    public static long idOf(String name) {
        // 64-bit FNV-1a, xor-folded to 48 bits as its authors recommend (Fowler, Noll, Vo).
        long hash = 0xcbf29ce484222325L;
        for (byte b : name.getBytes(java.nio.charset.StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 255) * 0x100000001b3L;
        }
        return (hash >>> 48 ^ hash) & MASK48;
    }
}

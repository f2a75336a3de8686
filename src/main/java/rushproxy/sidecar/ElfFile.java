package rushproxy.sidecar;

import java.io.EOFException;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Path;

/** A native library in the Executable and Linkable Format, 64 bits, little-endian. */
final class ElfFile {
    private static final int HEADER_BYTES = 64;
    private static final int MAGIC = 0x464C457F;
    private static final int SECTION_TABLE_AT = 40;
    private static final int SECTION_BYTES_AT = 58;
    private static final int SECTIONS_AT = 60;

    private ElfFile() {}

    /**
     * Whether the file ends before its section table does, which is its last part. The dynamic linker does not look: it maps the file
     * as its header says, and the first use of what is missing ends the process (SIGBUS). What is no such
     * file, or shorter than a header, it refuses by itself.
     */
    static boolean isCut(Path path) throws IOException {
        try (RandomAccessFile file = new RandomAccessFile(path.toFile(), "r")) {
            byte[] header = new byte[HEADER_BYTES];
            file.readFully(header);
            ByteBuffer fields = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            if (fields.getInt(0) != MAGIC) {
                return false;
            }
            long tableBytes = (long) Short.toUnsignedInt(fields.getShort(SECTION_BYTES_AT))
                    * Short.toUnsignedInt(fields.getShort(SECTIONS_AT));
            return fields.getLong(SECTION_TABLE_AT) + tableBytes > file.length();
        } catch (EOFException e) {
            return false;
        }
    }
}

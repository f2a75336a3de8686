package rushproxy.cli;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import rushproxy.fleet.release.ReleaseController;
import rushproxy.fleet.release.ReleaseOrder;

/**
 * Write-ahead journal of a release controller's steps. A record is its length, the CRC-32 of its text and the text, tab-separated; it is
 * forced to disk before the step is acted on. On opening, an incomplete or corrupt record and all that follows it are truncated and
 * reported by {@link #truncation}. A file lock, which {@link #close} releases, admits one process at a time.
 */
final class ReleaseJournal implements AutoCloseable {
    private static final int HEADER_BYTES = 8;
    private static final int MAX_RECORD_BYTES = 4_096;

    private final RecordWriter writer;
    private final FileChannel file;
    private final FileLock lock;
    private final List<ReleaseController.Step> steps = new ArrayList<>();
    private String truncation;
    /** File position after the last complete record on disk. */
    private long endOfRecords;

    /**
     * Opens or creates the journal and reads its records. Throws where another process holds the lock, and where a record with a valid
     * checksum is not a step: such a file may belong to another program and is left unchanged.
     */
    ReleaseJournal(Path path) throws IOException {
        this(path, RecordWriter.WRITE_AND_FORCE);
    }

    ReleaseJournal(Path path, RecordWriter disk) throws IOException {
        this.writer = disk;
        file = FileChannel.open(path, StandardOpenOption.READ, StandardOpenOption.WRITE, StandardOpenOption.CREATE);
        try {
            lock = acquireLock(path);
            readRecords(path);
        } catch (IOException | RuntimeException e) {
            file.close();
            throw e;
        }
    }

    private FileLock acquireLock(Path path) throws IOException {
        try {
            FileLock l = file.tryLock();
            if (l != null) {
                return l;
            }
        } catch (OverlappingFileLockException e) {
            // Another journal in this process holds the lock.
        }
        throw new IOException(path + ": is locked by another controller");
    }

    private void readRecords(Path path) throws IOException {
        ByteBuffer all = ByteBuffer.allocate((int) Math.min(Integer.MAX_VALUE - 8, file.size()));
        while (all.hasRemaining() && file.read(all) >= 0) {
            // A single read may return less than the file holds.
        }
        all.flip();
        int validEnd = 0;
        while (all.remaining() >= HEADER_BYTES) {
            int length = all.getInt();
            int checksum = all.getInt();
            if (length <= 0 || length > MAX_RECORD_BYTES || length > all.remaining()) {
                break;
            }
            byte[] text = new byte[length];
            all.get(text);
            if (crc32(text) != checksum) {
                break;
            }
            steps.add(parseStep(path, new String(text, StandardCharsets.UTF_8)));
            validEnd = all.position();
        }
        if (validEnd < all.limit()) {
            truncation = (all.limit() - validEnd) + " bytes after record " + steps.size()
                    + " are incomplete or corrupt, and were truncated";
            file.truncate(validEnd);
            file.force(true);
        }
        endOfRecords = validEnd;
    }

    /** Returns a message on what was truncated on opening; null if nothing was. */
    String truncation() {
        return truncation;
    }

    List<ReleaseController.Step> steps() {
        return List.copyOf(steps);
    }

    /** Appends a step; it is on disk when this method returns. */
    void append(ReleaseController.Step step) throws IOException {
        ReleaseOrder o = step.order();
        String why = step.reason().replaceAll("[\\t\\n]", " ");
        byte[] text = String.join(
                        "\t",
                        o.release(),
                        "" + o.epoch(),
                        "" + o.step(),
                        o.state().name(),
                        "" + o.weight(),
                        "" + o.safeWeight(),
                        o.selector().expression(),
                        "" + step.stage(),
                        why.substring(0, Math.min(1_000, why.length())))
                .getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + text.length)
                .putInt(text.length)
                .putInt(crc32(text))
                .put(text);
        record.flip();
        // A failed append may have left part of a record, or a whole one whose step was never taken: overwrite it.
        file.truncate(endOfRecords);
        file.position(endOfRecords);
        writer.write(file, record);
        endOfRecords = file.position();
        steps.add(step);
    }

    /** Writes a record at the channel's position and forces it to disk; tests replace it to inject failures. */
    interface RecordWriter {
        RecordWriter WRITE_AND_FORCE = (file, record) -> {
            while (record.hasRemaining()) {
                file.write(record);
            }
            file.force(true);
        };

        void write(FileChannel file, ByteBuffer record) throws IOException;
    }

    private ReleaseController.Step parseStep(Path path, String text) throws IOException {
        String[] fields = text.split("\t", -1);
        try {
            return new ReleaseController.Step(
                    new ReleaseOrder(
                            fields[0],
                            Integer.parseInt(fields[1]),
                            Integer.parseInt(fields[2]),
                            ReleaseOrder.State.valueOf(fields[3]),
                            Double.parseDouble(fields[4]),
                            Double.parseDouble(fields[5]),
                            ReleaseOrder.Selector.parse(fields[6])),
                    Integer.parseInt(fields[7]),
                    fields[8]);
        } catch (RuntimeException e) {
            throw new IOException(path + ": record " + (steps.size() + 1) + " is not a valid step: " + e.getMessage());
        }
    }

    private static int crc32(byte[] text) {
        CRC32 crc = new CRC32();
        crc.update(text);
        return (int) crc.getValue();
    }

    @Override
    public void close() throws IOException {
        lock.release();
        file.close();
    }
}

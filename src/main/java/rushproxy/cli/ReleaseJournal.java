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
import rushproxy.fleet.release.Conductor;
import rushproxy.fleet.release.Order;

/**
 * A controller's steps on disk: records of a length, a check and a text, each forced out before it is acted on. What a crash has left
 * half written is cut off, and said. One process has it at a time; {@link #close} gives it back.
 */
final class ReleaseJournal implements AutoCloseable {
    private static final int HEADER_BYTES = 8;
    private static final int MAX_RECORD_BYTES = 4_096;

    private final RecordWriter writer;
    private final FileChannel file;
    private final FileLock lock;
    private final List<Conductor.Step> steps = new ArrayList<>();
    private String truncation;
    /** The end of the last record that is whole and on disk. */
    private long endOfRecords;

    /** Throws where another process has it, or where it holds records that are whole but no steps: it is not ours to change then. */
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
            // Held in this very process.
        }
        throw new IOException(path + ": another controller has it");
    }

    private void readRecords(Path path) throws IOException {
        ByteBuffer all = ByteBuffer.allocate((int) Math.min(Integer.MAX_VALUE - 8, file.size()));
        while (all.hasRemaining() && file.read(all) >= 0) {
            // Until all of it is here.
        }
        all.flip();
        int good = 0;
        while (all.remaining() >= HEADER_BYTES) {
            int length = all.getInt();
            int check = all.getInt();
            if (length <= 0 || length > MAX_RECORD_BYTES || length > all.remaining()) {
                break;
            }
            byte[] text = new byte[length];
            all.get(text);
            if (crc32(text) != check) {
                break;
            }
            steps.add(parseStep(path, new String(text, StandardCharsets.UTF_8)));
            good = all.position();
        }
        if (good < all.limit()) {
            truncation = (all.limit() - good) + " bytes after record " + steps.size()
                    + " were half written, and are cut off";
            file.truncate(good);
            file.force(true);
        }
        endOfRecords = good;
    }

    /** Null, or what was cut off at the opening. */
    String truncation() {
        return truncation;
    }

    List<Conductor.Step> steps() {
        return List.copyOf(steps);
    }

    /** On disk when it returns. */
    void append(Conductor.Step step) throws IOException {
        Order o = step.order();
        String why = step.why().replaceAll("[\\t\\n]", " ");
        byte[] text = String.join(
                        "\t",
                        o.release(),
                        "" + o.epoch(),
                        "" + o.step(),
                        o.state().name(),
                        "" + o.weight(),
                        "" + o.safe(),
                        o.whom().words(),
                        "" + step.stage(),
                        why.substring(0, Math.min(1_000, why.length())))
                .getBytes(StandardCharsets.UTF_8);
        ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES + text.length)
                .putInt(text.length)
                .putInt(crc32(text))
                .put(text);
        b.flip();
        // A try that failed may have left a part, or a whole record that was never taken on: the next one begins before
        // it.
        file.truncate(endOfRecords);
        file.position(endOfRecords);
        writer.write(file, b);
        endOfRecords = file.position();
        steps.add(step);
    }

    /** How a record is written so that it is on disk afterwards; either part may fail. */
    interface RecordWriter {
        RecordWriter WRITE_AND_FORCE = (file, record) -> {
            while (record.hasRemaining()) {
                file.write(record);
            }
            file.force(true);
        };

        void write(FileChannel file, ByteBuffer record) throws IOException;
    }

    private Conductor.Step parseStep(Path path, String text) throws IOException {
        String[] w = text.split("\t", -1);
        try {
            return new Conductor.Step(
                    new Order(
                            w[0],
                            Integer.parseInt(w[1]),
                            Integer.parseInt(w[2]),
                            Order.State.valueOf(w[3]),
                            Double.parseDouble(w[4]),
                            Double.parseDouble(w[5]),
                            Order.Selector.of(w[6])),
                    Integer.parseInt(w[7]),
                    w[8]);
        } catch (RuntimeException e) {
            throw new IOException(path + ": record " + (steps.size() + 1) + " is no step: " + e.getMessage());
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

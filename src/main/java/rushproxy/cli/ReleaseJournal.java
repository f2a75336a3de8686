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
 * A controller's steps on disk: records of a length, a check and a text, each forced out before it is acted on. What a crash has left
 * half written is cut off, and said. One process has it at a time; {@link #close} gives it back.
 */
final class ReleaseJournal implements AutoCloseable {
    private static final int HEAD = 8;
    private static final int MOST = 4_096;

    private final Disk disk;
    private final FileChannel file;
    private final FileLock lock;
    private final List<ReleaseController.Step> steps = new ArrayList<>();
    private String cut;
    /** The end of the last record that is whole and on disk. */
    private long end;

    /** Throws where another process has it, or where it holds records that are whole but no steps: it is not ours to change then. */
    ReleaseJournal(Path path) throws IOException {
        this(path, Disk.REAL);
    }

    ReleaseJournal(Path path, Disk disk) throws IOException {
        this.disk = disk;
        file = FileChannel.open(path, StandardOpenOption.READ, StandardOpenOption.WRITE, StandardOpenOption.CREATE);
        try {
            lock = lock(path);
            read(path);
        } catch (IOException | RuntimeException e) {
            file.close();
            throw e;
        }
    }

    private FileLock lock(Path path) throws IOException {
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

    private void read(Path path) throws IOException {
        ByteBuffer all = ByteBuffer.allocate((int) Math.min(Integer.MAX_VALUE - 8, file.size()));
        while (all.hasRemaining() && file.read(all) >= 0) {
            // Until all of it is here.
        }
        all.flip();
        int good = 0;
        while (all.remaining() >= HEAD) {
            int length = all.getInt();
            int check = all.getInt();
            if (length <= 0 || length > MOST || length > all.remaining()) {
                break;
            }
            byte[] text = new byte[length];
            all.get(text);
            if (check(text) != check) {
                break;
            }
            steps.add(step(path, new String(text, StandardCharsets.UTF_8)));
            good = all.position();
        }
        if (good < all.limit()) {
            cut = (all.limit() - good) + " bytes after record " + steps.size() + " were half written, and are cut off";
            file.truncate(good);
            file.force(true);
        }
        end = good;
    }

    /** Null, or what was cut off at the opening. */
    String cut() {
        return cut;
    }

    List<ReleaseController.Step> steps() {
        return List.copyOf(steps);
    }

    /** On disk when it returns. */
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
        ByteBuffer b = ByteBuffer.allocate(HEAD + text.length)
                .putInt(text.length)
                .putInt(check(text))
                .put(text);
        b.flip();
        // A try that failed may have left a part, or a whole record that was never taken on: the next one begins before
        // it.
        file.truncate(end);
        file.position(end);
        disk.write(file, b);
        end = file.position();
        steps.add(step);
    }

    /** How a record is written so that it is on disk afterwards; either part may fail. */
    interface Disk {
        Disk REAL = (file, record) -> {
            while (record.hasRemaining()) {
                file.write(record);
            }
            file.force(true);
        };

        void write(FileChannel file, ByteBuffer record) throws IOException;
    }

    private ReleaseController.Step step(Path path, String text) throws IOException {
        String[] w = text.split("\t", -1);
        try {
            return new ReleaseController.Step(
                    new ReleaseOrder(
                            w[0],
                            Integer.parseInt(w[1]),
                            Integer.parseInt(w[2]),
                            ReleaseOrder.State.valueOf(w[3]),
                            Double.parseDouble(w[4]),
                            Double.parseDouble(w[5]),
                            ReleaseOrder.Selector.parse(w[6])),
                    Integer.parseInt(w[7]),
                    w[8]);
        } catch (RuntimeException e) {
            throw new IOException(path + ": record " + (steps.size() + 1) + " is no step: " + e.getMessage());
        }
    }

    private static int check(byte[] text) {
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

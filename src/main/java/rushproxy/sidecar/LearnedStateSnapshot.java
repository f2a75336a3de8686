package rushproxy.sidecar;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.zip.CRC32;

/**
 * What the module has learned, for the process that takes this one's place: one small file, replaced as a whole. Written on
 * a thread of this class alone; the process ends it.
 */
final class LearnedStateSnapshot implements AutoCloseable {
    private static final int MAGIC = 0x70754b31;
    private static final byte VERSION = 1;
    /** Magic, version, check of all that follows, time. */
    private static final int HEADER_BYTES = 17;

    private static final int MAX_FILE_BYTES = 4_096;
    /** Speeds and rates change within some tens of seconds. */
    static final long MAX_AGE_MS = 60_000;

    private final Path folder;
    private final Path file;
    private final ExecutorService worker = Executors.newSingleThreadExecutor(work -> {
        Thread thread = new Thread(work, "snapshot");
        thread.setDaemon(true);
        return thread;
    });
    private boolean failed;

    LearnedStateSnapshot(Path folder) {
        this.folder = folder;
        file = folder.resolve("known.bin");
    }

    /** Null where there is none, or none of use: spoilt, of another version, too old or from the future; that is logged. */
    byte[] read(long nowMs) {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new IOException("it is too long");
            }
            byte[] all = Files.readAllBytes(file);
            ByteBuffer b = ByteBuffer.wrap(all);
            if (all.length < HEADER_BYTES || b.getInt() != MAGIC) {
                throw new IOException("it is no snapshot");
            }
            if (b.get() != VERSION) {
                throw new IOException("it is of version " + all[4]);
            }
            if (b.getInt() != checksum(all)) {
                throw new IOException("it is spoilt");
            }
            long ageMs = nowMs - b.getLong();
            if (ageMs < 0 || ageMs > MAX_AGE_MS) {
                throw new IOException("it is " + ageMs / 1_000 + " s old");
            }
            byte[] known = new byte[b.remaining()];
            b.get(known);
            return known;
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException e) {
            Log.warn("what the process before knew is left aside: " + file.getFileName() + ": " + e.getMessage());
            return null;
        }
    }

    /** Soon, on its own thread; what can't be written is said once. */
    void write(byte[] known, long nowMs) {
        worker.execute(() -> {
            try {
                Files.createDirectories(folder);
                Path fresh = Files.createTempFile(folder, "new-", ".bin");
                try {
                    Files.write(fresh, encode(known, nowMs));
                    Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
                } catch (IOException e) {
                    Files.deleteIfExists(fresh);
                    throw e;
                }
            } catch (IOException e) {
                if (!failed) {
                    failed = true;
                    Log.warn("can't keep what is known for the next process: " + e);
                }
            }
        });
    }

    static byte[] encode(byte[] known, long nowMs) {
        ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES + known.length)
                .putInt(MAGIC)
                .put(VERSION)
                .putInt(0)
                .putLong(nowMs)
                .put(known);
        return b.putInt(5, checksum(b.array())).array();
    }

    private static int checksum(byte[] all) {
        CRC32 crc = new CRC32();
        crc.update(all, 9, all.length - 9);
        return (int) crc.getValue();
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}

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
 * File with what the module has learned, for the next process. Replaced atomically. Written on a daemon thread of this class, which ends
 * with the process.
 */
final class LearnedStateSnapshot implements AutoCloseable {
    private static final int MAGIC = 0x70754b31;
    private static final byte VERSION = 1;
    /** Magic, version, checksum of all that follows, time. */
    private static final int HEADER_BYTES = 17;

    private static final int CHECKSUM_OFFSET = 5;
    private static final int CHECKED_OFFSET = 9;
    private static final int MAX_FILE_BYTES = 4_096;
    /** The learned speeds and rates change within tens of seconds. */
    static final long MAX_AGE_MS = 60_000;

    private final Path directory;
    private final Path file;
    private final ExecutorService worker = Executors.newSingleThreadExecutor(work -> {
        Thread thread = new Thread(work, "snapshot");
        thread.setDaemon(true);
        return thread;
    });
    private boolean isWriteFailureLogged;

    LearnedStateSnapshot(Path directory) {
        this.directory = directory;
        file = directory.resolve("known.bin");
    }

    /** Null if there is no file, or if it is corrupt, of another version, too old or from the future, which is logged. */
    byte[] read(long nowMs) {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new IOException("file too long");
            }
            byte[] all = Files.readAllBytes(file);
            ByteBuffer b = ByteBuffer.wrap(all);
            if (all.length < HEADER_BYTES || b.getInt() != MAGIC) {
                throw new IOException("not a snapshot");
            }
            if (b.get() != VERSION) {
                throw new IOException("unsupported version " + all[4]);
            }
            if (b.getInt() != checksum(all)) {
                throw new IOException("checksum mismatch");
            }
            long ageMs = nowMs - b.getLong();
            if (ageMs < 0 || ageMs > MAX_AGE_MS) {
                throw new IOException("it is " + ageMs / 1_000 + " s old");
            }
            byte[] state = new byte[b.remaining()];
            b.get(state);
            return state;
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException e) {
            Log.warn("ignoring the previous process's snapshot: " + file.getFileName() + ": " + e.getMessage());
            return null;
        }
    }

    /** Writes asynchronously; a failure is logged once. */
    void write(byte[] state, long nowMs) {
        worker.execute(() -> {
            try {
                Files.createDirectories(directory);
                Path temporary = Files.createTempFile(directory, "new-", ".bin");
                try {
                    Files.write(temporary, encode(state, nowMs));
                    Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
                } catch (IOException e) {
                    Files.deleteIfExists(temporary);
                    throw e;
                }
            } catch (IOException e) {
                if (!isWriteFailureLogged) {
                    isWriteFailureLogged = true;
                    Log.warn("can't write the snapshot for the next process: " + e);
                }
            }
        });
    }

    static byte[] encode(byte[] state, long nowMs) {
        ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES + state.length)
                .putInt(MAGIC)
                .put(VERSION)
                .putInt(0)
                .putLong(nowMs)
                .put(state);
        return b.putInt(CHECKSUM_OFFSET, checksum(b.array())).array();
    }

    private static int checksum(byte[] all) {
        CRC32 crc = new CRC32();
        crc.update(all, CHECKED_OFFSET, all.length - CHECKED_OFFSET);
        return (int) crc.getValue();
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}

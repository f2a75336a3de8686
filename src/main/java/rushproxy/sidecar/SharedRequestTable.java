package rushproxy.sidecar;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.function.LongSupplier;

/**
 * The ids of requests that may have run and have not been answered, in memory that the two processes of an upgrade share through a file,
 * so that neither runs again what the other has sent. An entry whose process has ended stays until it expires. Where the table is full
 * the entry that expires first makes room. Not thread-safe within a process.
 */
final class SharedRequestTable {
    static final long RETENTION_NANOS = AbandonedRequests.RETENTION_US * 1_000;

    private static final String FILE_NAME = "unanswered-1.bin";
    private static final int ENTRIES = 8 * 1024;
    /** Entries that an id may be in. */
    private static final int BUCKET_ENTRIES = 8;
    /** The id's hash and when the entry expires, by the system's monotonic clock. */
    private static final int ENTRY_BYTES = 2 * Long.BYTES;

    private static final long FREE = 0;

    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer table;
    private final LongSupplier nanoTime;
    private final MessageDigest digest;

    /** @param table null for none */
    private SharedRequestTable(ByteBuffer table, LongSupplier nanoTime) {
        this.table = table;
        this.nanoTime = nanoTime;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A table that holds nothing. */
    static SharedRequestTable none() {
        return new SharedRequestTable(null, System::nanoTime);
    }

    /** The table of this sidecar's processes; none if it can't be shared, which is logged. */
    static SharedRequestTable openOrNone(Path directory) {
        try {
            return open(directory, System::nanoTime);
        } catch (IOException e) {
            Log.warn("can't share the ids of open requests with the other process of an upgrade: " + e);
            return none();
        }
    }

    /** @param nanoTime a clock that the processes have in common */
    static SharedRequestTable open(Path directory, LongSupplier nanoTime) throws IOException {
        Files.createDirectories(directory);
        try (FileChannel file = FileChannel.open(
                directory.resolve(FILE_NAME),
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            allocate(file);
            return new SharedRequestTable(
                    file.map(FileChannel.MapMode.READ_WRITE, 0, ENTRIES * ENTRY_BYTES)
                            .order(ByteOrder.nativeOrder()),
                    nanoTime);
        }
    }

    /** Writes the whole file, since a page for which there is no room can't be reported once it is mapped. */
    private static void allocate(FileChannel file) throws IOException {
        ByteBuffer zeros = ByteBuffer.allocate((int) Math.max(0, ENTRIES * ENTRY_BYTES - file.size()));
        while (zeros.hasRemaining()) {
            file.write(zeros, file.size());
        }
    }

    void add(String id) {
        if (table == null) {
            return;
        }
        long hash = hash(id);
        int entry = find(hash);
        if (entry < 0) {
            entry = replaceable(hash);
            LONGS.setVolatile(table, entry, hash);
        }
        LONGS.setVolatile(table, entry + Long.BYTES, nanoTime.getAsLong() + RETENTION_NANOS);
    }

    void remove(String id) {
        int entry = table == null ? -1 : find(hash(id));
        if (entry >= 0) {
            LONGS.setVolatile(table, entry, FREE);
        }
    }

    boolean contains(String id) {
        int entry = table == null ? -1 : find(hash(id));
        return entry >= 0 && remainingNanos(entry) > 0;
    }

    /** Not positive for entries that are free or have expired, or are of an earlier start of the machine. */
    private long remainingNanos(int entry) {
        if ((long) LONGS.getVolatile(table, entry) == FREE) {
            return 0;
        }
        long remaining = (long) LONGS.getVolatile(table, entry + Long.BYTES) - nanoTime.getAsLong();
        return remaining > RETENTION_NANOS ? 0 : remaining;
    }

    /** The position of the entry with this hash; negative if there is none. */
    private int find(long hash) {
        int first = bucket(hash);
        for (int entry = first; entry < first + BUCKET_ENTRIES * ENTRY_BYTES; entry += ENTRY_BYTES) {
            if ((long) LONGS.getVolatile(table, entry) == hash) {
                return entry;
            }
        }
        return -1;
    }

    private int replaceable(long hash) {
        int first = bucket(hash);
        int best = first;
        for (int entry = first; entry < first + BUCKET_ENTRIES * ENTRY_BYTES; entry += ENTRY_BYTES) {
            if (Math.max(0, remainingNanos(entry)) < Math.max(0, remainingNanos(best))) {
                best = entry;
            }
        }
        return best;
    }

    private static int bucket(long hash) {
        int buckets = ENTRIES / BUCKET_ENTRIES;
        return (int) Long.remainderUnsigned(hash, buckets) * BUCKET_ENTRIES * ENTRY_BYTES;
    }

    /** Clients choose their ids, so they must not be able to choose the hash. */
    private long hash(String id) {
        long hash = ByteBuffer.wrap(digest.digest(id.getBytes(StandardCharsets.UTF_8)))
                .getLong();
        return hash == FREE ? 1 : hash;
    }
}

package rushproxy.sidecar;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Persists which upstreams operators have cordoned, for the next process and for the other process during an upgrade. There is one file
 * per upstream, replaced atomically, so that neither a crash nor a concurrent writer can damage the state of another upstream. All file
 * access happens on a thread of this class.
 */
final class CordonStore implements AutoCloseable {
    private static final int VERSION = 1;
    private static final String PREFIX = "cordon-";
    private static final String SUFFIX = ".json";
    /** A command to the other process must take effect here within half a second, also if a poll is late. */
    private static final long POLL_MS = 100;
    /** Far more than are cordoned at once; protects against a directory of another program. */
    private static final int MAX_FILES = 4_096;

    private static final int MAX_FILE_BYTES = 2_000;

    /** Whether an upstream is cordoned, and since when by the wall clock. */
    record CordonState(boolean isCordoned, long changedAtMs) {}

    /** An uncordon and the time at which this process first saw it, by the monotonic clock. */
    private record SeenUncordon(CordonState state, long seenNanos) {}

    /** Null if state is not kept beyond the process. */
    private final Path directory;
    /** An uncordon is deleted after this time, when the upstream's slow start is over in any case. */
    private final long uncordonRetentionMs;

    private final Consumer<Map<String, CordonState>> listener;
    private final LongSupplier nanoTime;
    private final ScheduledExecutorService worker = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "cordons");
        thread.setDaemon(true);
        return thread;
    });
    private Map<String, CordonState> states = new HashMap<>();
    /** Uncordons by upstream id; each is deleted some time after it was first seen here. */
    private final Map<String, SeenUncordon> uncordons = new HashMap<>();
    /** Paths that a warning has been logged for; each is reported once. */
    private final Set<Path> reported = new HashSet<>();

    /** {@code listener} receives all states whenever one has changed, on the store's thread. */
    CordonStore(Path directory, long uncordonRetentionMs, Consumer<Map<String, CordonState>> listener) {
        this(directory, uncordonRetentionMs, listener, System::nanoTime);
    }

    /** {@code nanoTime} is a monotonic clock. */
    CordonStore(
            Path directory,
            long uncordonRetentionMs,
            Consumer<Map<String, CordonState>> listener,
            LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        this.directory = directory;
        this.uncordonRetentionMs = uncordonRetentionMs;
        this.listener = listener;
    }

    /** Loads the states left by the previous process and starts polling for changes by another one. */
    void start() throws InterruptedException {
        try {
            worker.submit(this::poll).get();
        } catch (java.util.concurrent.ExecutionException e) {
            Log.error("can't read the stored cordons", e.getCause());
        }
        if (directory != null) {
            worker.scheduleWithFixedDelay(this::poll, POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Stores a state. {@code done} is called on the store's thread after the listener, with null on success, otherwise the reason. */
    void set(String id, boolean isCordoned, Consumer<String> done) {
        worker.execute(() -> {
            // The other process may have received a command since the last poll.
            poll();
            CordonState old = states.get(id);
            if (old == null ? !isCordoned : old.isCordoned == isCordoned) {
                done.accept(null);
                return;
            }
            CordonState state = new CordonState(isCordoned, System.currentTimeMillis());
            try {
                if (directory != null) {
                    write(id, state);
                }
            } catch (IOException e) {
                Log.warn("can't store a cordon command: " + e);
                done.accept("the command can't be stored");
                return;
            }
            Map<String, CordonState> updated = new HashMap<>(states);
            updated.put(id, state);
            replaceStates(updated);
            done.accept(null);
        });
    }

    private void replaceStates(Map<String, CordonState> updated) {
        if (!updated.equals(states)) {
            states = updated;
            listener.accept(Map.copyOf(updated));
        }
    }

    private void write(String id, CordonState state) throws IOException {
        Files.createDirectories(directory);
        String text = JSON.std.asString(
                Map.of("version", VERSION, "id", id, "out", state.isCordoned, "atMs", state.changedAtMs));
        String name =
                UUID.nameUUIDFromBytes(id.getBytes(StandardCharsets.UTF_8)).toString();
        // Both processes may write at once: each writes its own temporary file and renames it.
        Path temporary = Files.createTempFile(directory, "new-", SUFFIX);
        try {
            Files.writeString(temporary, text);
            Files.move(temporary, directory.resolve(PREFIX + name + SUFFIX), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            Files.deleteIfExists(temporary);
            throw e;
        }
    }

    /** Writes a missing state file. A failure is logged once and does not interrupt polling; the next poll tries again. */
    private void rewrite(String id, CordonState state) {
        try {
            write(id, state);
        } catch (IOException e) {
            if (reported.add(directory.resolve(id))) {
                Log.warn("can't restore a cordon file, will retry: " + e);
            }
        }
    }

    private void poll() {
        if (directory == null) {
            return;
        }
        try {
            Map<String, CordonState> found = readFiles();
            // An uncordon leaves a file as well, so an upstream whose file is missing or corrupt is still cordoned.
            for (Map.Entry<String, CordonState> e : states.entrySet()) {
                if (e.getValue().isCordoned && !found.containsKey(e.getKey())) {
                    found.put(e.getKey(), e.getValue());
                    rewrite(e.getKey(), e.getValue());
                }
            }
            replaceStates(found);
        } catch (IOException | DirectoryIteratorException e) {
            if (reported.add(directory)) {
                Log.warn("can't read the cordon directory: " + e);
            }
        } catch (RuntimeException e) {
            // An exception would cancel all further polls.
            Log.error("polling the cordon directory failed", e);
        }
    }

    /** Whether an uncordon is still within its retention time. Uses the monotonic clock, as the wall clock may be stepped. */
    private boolean isRetained(String id, CordonState state) {
        SeenUncordon seen = uncordons.get(id);
        if (seen == null || !seen.state.equals(state)) {
            seen = new SeenUncordon(state, nanoTime.getAsLong());
            uncordons.put(id, seen);
        }
        boolean isRetained = nanoTime.getAsLong() - seen.seenNanos < TimeUnit.MILLISECONDS.toNanos(uncordonRetentionMs);
        if (!isRetained) {
            uncordons.remove(id);
        }
        return isRetained;
    }

    private Map<String, CordonState> readFiles() throws IOException {
        Map<String, CordonState> found = new HashMap<>();
        int files = 0;
        try (DirectoryStream<Path> all = Files.newDirectoryStream(directory, PREFIX + "*" + SUFFIX)) {
            for (Path file : all) {
                if (++files > MAX_FILES) {
                    break;
                }
                try {
                    if (Files.size(file) > MAX_FILE_BYTES) {
                        throw new IllegalArgumentException("file too long");
                    }
                    Json json = Json.parse(Files.readAllBytes(file));
                    if (json.number("version") != VERSION) {
                        throw new IllegalArgumentException("unsupported version " + json.number("version"));
                    }
                    CordonState state = new CordonState(json.flag("out"), json.number("atMs"));
                    String id = json.text("id");
                    if (state.isCordoned || isRetained(id, state)) {
                        found.put(id, state);
                    } else {
                        Files.deleteIfExists(file);
                    }
                } catch (NoSuchFileException e) {
                    // The other process has just deleted the expired file.
                } catch (IOException | IllegalArgumentException e) {
                    if (reported.add(file)) {
                        Log.warn("ignoring an invalid cordon file: " + file.getFileName() + ": " + e.getMessage());
                    }
                }
            }
        } catch (NoSuchFileException e) {
            // No command was ever stored.
        }
        return found;
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}

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
 * What the operators have called out and back, where the next process finds it: one file for an id, replaced as a
 * whole, so that neither a stop half way nor the other process of an upgrade can spoil more than it writes. Files are
 * touched on a thread of this class alone.
 */
final class CordonStore implements AutoCloseable {
    private static final int VERSION = 1;
    private static final String PREFIX = "cordon-";
    private static final String SUFFIX = ".json";
    /** A call at the other process counts here within the grace of half a second, also after a late look. */
    private static final long LOOK_MS = 100;
    /** Far more than are called out at once; a folder that holds more is not this program's. */
    private static final int MOST_FILES = 4_096;

    private static final int MOST_BYTES = 2_000;

    /** Whether the upstream is left out, and since when it is so. */
    record Mark(boolean out, long atMs) {}

    /** A call back, and when this process saw it first, by its monotonic clock. */
    private record Back(Mark mark, long seenNanos) {}

    /** Null where nothing outlives the process. */
    private final Path folder;
    /** A call back is forgotten after this long: the server is warm by then, whenever it started. */
    private final long backMs;

    private final Consumer<Map<String, Mark>> changed;
    private final LongSupplier nanos;
    private final ScheduledExecutorService worker = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "cordons");
        thread.setDaemon(true);
        return thread;
    });
    private Map<String, Mark> marks = new HashMap<>();
    /** Calls back by their ids: each is forgotten some time after it was first seen here. */
    private final Map<String, Back> backs = new HashMap<>();
    /** Files that were said to be of no use, each once. */
    private final Set<Path> useless = new HashSet<>();

    /** {@code changed} is given all marks whenever one is another, on the store's thread. */
    CordonStore(Path folder, long backMs, Consumer<Map<String, Mark>> changed) {
        this(folder, backMs, changed, System::nanoTime);
    }

    /** {@code nanos}: a monotonic clock. */
    CordonStore(Path folder, long backMs, Consumer<Map<String, Mark>> changed, LongSupplier nanos) {
        this.nanos = nanos;
        this.folder = folder;
        this.backMs = backMs;
        this.changed = changed;
    }

    /** What the process before left; from then on calls are taken and the other process's are noticed. */
    void start() throws InterruptedException {
        try {
            worker.submit(this::look).get();
        } catch (java.util.concurrent.ExecutionException e) {
            Log.error("what was called out can't be read", e.getCause());
        }
        if (folder != null) {
            worker.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** {@code done} is told on the store's thread, after {@code changed}: null when it is kept, else why not. */
    void put(String id, boolean out, Consumer<String> done) {
        worker.execute(() -> {
            // The other process may have been called since the last look.
            look();
            Mark old = marks.get(id);
            if (old == null ? !out : old.out == out) {
                done.accept(null);
                return;
            }
            Mark mark = new Mark(out, System.currentTimeMillis());
            try {
                if (folder != null) {
                    write(id, mark);
                }
            } catch (IOException e) {
                Log.warn("can't keep a call of the operators: " + e);
                done.accept("it can't be kept");
                return;
            }
            Map<String, Mark> now = new HashMap<>(marks);
            now.put(id, mark);
            change(now);
            done.accept(null);
        });
    }

    private void change(Map<String, Mark> now) {
        if (!now.equals(marks)) {
            marks = now;
            changed.accept(Map.copyOf(now));
        }
    }

    private void write(String id, Mark mark) throws IOException {
        Files.createDirectories(folder);
        String text = JSON.std.asString(Map.of("version", VERSION, "id", id, "out", mark.out, "atMs", mark.atMs));
        String name =
                UUID.nameUUIDFromBytes(id.getBytes(StandardCharsets.UTF_8)).toString();
        // Both processes may write at once: each has a file of its own until it takes the place of the old one.
        Path fresh = Files.createTempFile(folder, "new-", SUFFIX);
        try {
            Files.writeString(fresh, text);
            Files.move(fresh, folder.resolve(PREFIX + name + SUFFIX), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            Files.deleteIfExists(fresh);
            throw e;
        }
    }

    /** A folder that can't be written for a while keeps nothing from being noticed; the next look tries again. */
    private void writeAgain(String id, Mark mark) {
        try {
            write(id, mark);
        } catch (IOException e) {
            if (useless.add(folder.resolve(id))) {
                Log.warn("can't keep a call of the operators for now: " + e);
            }
        }
    }

    private void look() {
        if (folder == null) {
            return;
        }
        try {
            Map<String, Mark> found = read();
            // A call back leaves a file too: where there is none any more, or a spoilt one, the call out still holds.
            for (Map.Entry<String, Mark> e : marks.entrySet()) {
                if (e.getValue().out && !found.containsKey(e.getKey())) {
                    found.put(e.getKey(), e.getValue());
                    writeAgain(e.getKey(), e.getValue());
                }
            }
            change(found);
        } catch (IOException | DirectoryIteratorException e) {
            if (useless.add(folder)) {
                Log.warn("can't read what was called out: " + e);
            }
        } catch (RuntimeException e) {
            // The look that fails must not be the last one.
            Log.error("a look at what was called out failed", e);
        }
    }

    /** By the monotonic clock: a step of the wall clock must not make a call back old, nor keep it for ever. */
    private boolean fresh(String id, Mark mark) {
        Back back = backs.get(id);
        if (back == null || !back.mark.equals(mark)) {
            back = new Back(mark, nanos.getAsLong());
            backs.put(id, back);
        }
        boolean fresh = nanos.getAsLong() - back.seenNanos < TimeUnit.MILLISECONDS.toNanos(backMs);
        if (!fresh) {
            backs.remove(id);
        }
        return fresh;
    }

    private Map<String, Mark> read() throws IOException {
        Map<String, Mark> found = new HashMap<>();
        int files = 0;
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, PREFIX + "*" + SUFFIX)) {
            for (Path file : all) {
                if (++files > MOST_FILES) {
                    break;
                }
                try {
                    if (Files.size(file) > MOST_BYTES) {
                        throw new IllegalArgumentException("it is too long");
                    }
                    Json json = Json.parse(Files.readAllBytes(file));
                    if (json.number("version") != VERSION) {
                        throw new IllegalArgumentException("version " + json.number("version"));
                    }
                    Mark mark = new Mark(json.flag("out"), json.number("atMs"));
                    String id = json.text("id");
                    if (mark.out || fresh(id, mark)) {
                        found.put(id, mark);
                    } else {
                        Files.deleteIfExists(file);
                    }
                } catch (NoSuchFileException e) {
                    // The other process has just deleted what is forgotten.
                } catch (IOException | IllegalArgumentException e) {
                    if (useless.add(file)) {
                        Log.warn("a kept file is of no use, and is left aside: " + file.getFileName() + ": "
                                + e.getMessage());
                    }
                }
            }
        } catch (NoSuchFileException e) {
            // Nothing was ever called out here.
        }
        return found;
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}

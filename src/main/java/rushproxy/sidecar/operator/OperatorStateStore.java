package rushproxy.sidecar.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import rushproxy.sidecar.Log;

/**
 * Owns what operators have told a sidecar: its drain, its cordons and that its configuration file has changed. Kept in files, for the
 * next process and for the other process during an upgrade, whose commands are found by polling. The last command to be stored counts
 * for both. All file access happens on a thread of this class.
 */
public final class OperatorStateStore implements AutoCloseable {
    private static final String DRAIN_FILE = "drain";
    private static final String RELOAD_FILE = "reload";
    private static final String CORDON_PREFIX = "cordon-";
    /** A command to the other process must take effect here within half a second, also if a poll is late. */
    private static final long POLL_MS = 100;

    private static final String NOT_STORED = "the command can't be stored";

    /** An uncordon and the time at which this process first saw it, by the monotonic clock. */
    private record SeenUncordon(CordonState state, long seenNanos) {}

    /** Null if state is not kept beyond the process. */
    private final Path directory;
    /** Null if state is not kept beyond the process. */
    private final StateDirectory files;
    /** An uncordon is deleted after this time, when the upstream's slow start is over in any case. */
    private final long uncordonRetentionMs;

    private final Consumer<OperatorState> listener;
    private final LongSupplier nanoTime;
    private final ScheduledExecutorService worker = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "operator-state");
        thread.setDaemon(true);
        return thread;
    });
    private OperatorState state = OperatorState.NONE;
    /** The last drain state that was read or written; null until there is one. */
    private DrainState knownDrain;
    /** Whether the known drain state is in its file. Without a file no drain was ever requested. */
    private boolean isDrainStored;
    /** Uncordons by upstream id; each is deleted some time after it was first seen here. */
    private final Map<String, SeenUncordon> uncordons = new HashMap<>();
    /** Paths that a warning has been logged for; each is reported once. */
    private final Set<Path> reported = new HashSet<>();

    /**
     * Creates a store that is not started yet.
     *
     * @param directory null if state is not kept beyond the process
     * @param listener receives the whole state whenever it has changed, on the store's thread
     */
    public OperatorStateStore(Path directory, long uncordonRetentionMs, Consumer<OperatorState> listener) {
        this(directory, uncordonRetentionMs, listener, System::nanoTime);
    }

    /** {@code nanoTime} is a monotonic clock. */
    OperatorStateStore(
            Path directory, long uncordonRetentionMs, Consumer<OperatorState> listener, LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        this.directory = directory;
        this.uncordonRetentionMs = uncordonRetentionMs;
        this.listener = listener;
        files = directory == null ? null : new StateDirectory(directory);
        if (directory == null) {
            setKnownDrain(DrainState.NEVER, true);
        }
    }

    /** Loads the state left by the previous process, tells the listener, and starts polling for commands to another one. */
    public void start() throws InterruptedException {
        try {
            worker.submit(this::poll).get();
        } catch (ExecutionException e) {
            Log.error("can't read what operators have requested", e.getCause());
        }
        if (directory != null) {
            worker.scheduleWithFixedDelay(this::poll, POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Drains the sidecar, or ends its drain. {@code done} is called on the store's thread after the listener, with null once the state
     * is stored, otherwise with the reason why nothing has changed.
     */
    public void setDrained(boolean isDrained, Consumer<String> done) {
        execute(done, () -> storeDrain(isDrained));
    }

    /** Cordons or uncordons an upstream. {@code done} is called as by {@link #setDrained}. */
    public void setCordoned(String upstream, boolean isCordoned, Consumer<String> done) {
        execute(done, () -> storeCordon(upstream, isCordoned));
    }

    /**
     * Records that the configuration file has changed, so that both processes read it. {@code done} is called as by {@link #setDrained}.
     */
    public void recordReload(Consumer<String> done) {
        execute(done, this::storeReload);
    }

    /** Whether a process of this sidecar has reloaded the configuration file. {@code directory}: null if state is not kept. */
    public static boolean wasReloaded(Path directory) {
        return directory != null && Files.exists(new StateDirectory(directory).path(RELOAD_FILE));
    }

    /** {@code command} returns null on success, otherwise the reason. */
    private void execute(Consumer<String> done, Supplier<String> command) {
        worker.execute(() -> {
            String error;
            try {
                // The other process may have received a command since the last poll.
                poll();
                error = command.get();
            } catch (RuntimeException | Error e) {
                Log.error("an operator's command failed", e);
                error = "the command failed";
            }
            done.accept(error);
        });
    }

    private String storeDrain(boolean isDrained) {
        if (knownDrain != null && knownDrain.isDrained() == isDrained && isDrainStored) {
            return null;
        }
        DrainState drain = new DrainState(isDrained, MachineTime.now());
        try {
            if (files != null) {
                files.write(drainFile(), drain.encode());
            }
        } catch (IOException e) {
            Log.warn("can't store a drain command: " + e);
            return NOT_STORED;
        }
        setKnownDrain(drain, true);
        replaceState(state.withDrain(drain));
        return null;
    }

    private String storeCordon(String upstream, boolean isCordoned) {
        CordonState old = state.cordons().get(upstream);
        if (old == null ? !isCordoned : old.isCordoned() == isCordoned) {
            return null;
        }
        CordonState cordon = new CordonState(isCordoned, System.currentTimeMillis());
        try {
            if (files != null) {
                files.write(cordonFile(upstream), cordon.encode(upstream));
            }
        } catch (IOException e) {
            Log.warn("can't store a cordon command: " + e);
            return NOT_STORED;
        }
        Map<String, CordonState> updated = new HashMap<>(state.cordons());
        updated.put(upstream, cordon);
        replaceState(state.withCordons(updated));
        return null;
    }

    private String storeReload() {
        MachineTime reloadedAt = MachineTime.now();
        try {
            if (files != null) {
                files.write(files.path(RELOAD_FILE), reloadedAt.encode());
            }
        } catch (IOException e) {
            Log.warn("can't tell the other process of an upgrade to reload: " + e);
            return NOT_STORED;
        }
        replaceState(state.withReload(reloadedAt));
        return null;
    }

    private void replaceState(OperatorState updated) {
        if (!updated.equals(state)) {
            state = updated;
            listener.accept(updated);
        }
    }

    private void poll() {
        if (files == null) {
            return;
        }
        try {
            replaceState(new OperatorState(readDrain(), readCordons(), readReload()));
        } catch (RuntimeException | Error e) {
            // An exception would cancel all further polls.
            Log.error("polling what operators have requested failed", e);
        }
    }

    private Path drainFile() {
        return files.path(DRAIN_FILE);
    }

    private Path cordonFile(String upstream) {
        return files.path(CORDON_PREFIX + UUID.nameUUIDFromBytes(upstream.getBytes(StandardCharsets.UTF_8)));
    }

    private void setKnownDrain(DrainState drain, boolean isStored) {
        knownDrain = drain;
        isDrainStored = isStored;
    }

    /**
     * Where the state can't be read, this process goes by the last one it knows. One that knows none counts as drained, since a
     * readiness check that succeeds during a drain loses requests; a resume ends that as any drain.
     */
    private DrainState readDrain() {
        Path file = drainFile();
        try {
            setKnownDrain(DrainState.decode(StateDirectory.read(file)), true);
        } catch (NoSuchFileException e) {
            keepDrainWithoutFile(file);
        } catch (IOException e) {
            // The file may hold a newer command, so it is not written again.
            warnOnce(file, "can't read the drain state, " + describeKnownDrain() + ": " + e);
        } catch (IllegalArgumentException e) {
            warnOnce(file, "the drain file is invalid, " + describeKnownDrain() + ": " + e.getMessage());
            if (knownDrain != null) {
                restore(file, () -> files.write(file, knownDrain.encode()));
            }
        }
        return knownDrain == null ? DrainState.SINCE_UNKNOWN_TIME : knownDrain;
    }

    private String describeKnownDrain() {
        return knownDrain == null ? "the sidecar counts as drained" : "the last known state remains in force";
    }

    /** A resume leaves a file as well, so a drain whose file is missing goes on. */
    private void keepDrainWithoutFile(Path file) {
        if (knownDrain == null) {
            setKnownDrain(DrainState.NEVER, true);
        } else if (knownDrain.isDrained()) {
            isDrainStored = restore(file, () -> files.writeIfAbsent(file, knownDrain.encode()));
        }
    }

    private MachineTime readReload() {
        Path file = files.path(RELOAD_FILE);
        MachineTime known = state.reloadedAt();
        try {
            return MachineTime.decode(StateDirectory.read(file));
        } catch (NoSuchFileException e) {
            if (!known.equals(MachineTime.UNKNOWN)) {
                restore(file, () -> files.writeIfAbsent(file, known.encode()));
            }
        } catch (IOException | IllegalArgumentException e) {
            warnOnce(file, "can't read when the configuration was reloaded: " + e);
        }
        return known;
    }

    private Map<String, CordonState> readCordons() {
        Map<String, CordonState> found = new HashMap<>();
        Set<Path> unreadable = new HashSet<>();
        Set<Path> invalid = new HashSet<>();
        try {
            for (Path file : files.list(CORDON_PREFIX)) {
                readCordon(file, found, unreadable, invalid);
            }
        } catch (IOException e) {
            warnOnce(directory, "can't read the cordon directory: " + e);
            return state.cordons();
        }
        keepKnownCordons(found, unreadable, invalid);
        return found;
    }

    private void readCordon(Path file, Map<String, CordonState> found, Set<Path> unreadable, Set<Path> invalid) {
        try {
            CordonState.Entry entry = CordonState.decode(StateDirectory.read(file));
            if (entry.state().isCordoned() || isRetained(entry.upstream(), entry.state())) {
                found.put(entry.upstream(), entry.state());
            } else {
                Files.deleteIfExists(file);
            }
        } catch (NoSuchFileException e) {
            // The other process has just deleted the expired file.
        } catch (IOException e) {
            unreadable.add(file);
            warnOnce(file, "can't read a cordon file: " + e);
        } catch (IllegalArgumentException e) {
            invalid.add(file);
            warnOnce(file, "ignoring an invalid cordon file: " + file.getFileName() + ": " + e.getMessage());
        }
    }

    /** An uncordon leaves a file as well, so an upstream whose file is missing or can't be used is still cordoned. */
    private void keepKnownCordons(Map<String, CordonState> found, Set<Path> unreadable, Set<Path> invalid) {
        state.cordons().forEach((upstream, cordon) -> {
            if (!cordon.isCordoned() || found.containsKey(upstream)) {
                return;
            }
            found.put(upstream, cordon);
            Path file = cordonFile(upstream);
            if (invalid.contains(file)) {
                restore(file, () -> files.write(file, cordon.encode(upstream)));
            } else if (!unreadable.contains(file)) {
                restore(file, () -> files.writeIfAbsent(file, cordon.encode(upstream)));
            }
        });
    }

    /** Whether an uncordon is still within its retention time. Uses the monotonic clock, as the wall clock may be stepped. */
    private boolean isRetained(String upstream, CordonState cordon) {
        SeenUncordon seen = uncordons.get(upstream);
        if (seen == null || !seen.state.equals(cordon)) {
            seen = new SeenUncordon(cordon, nanoTime.getAsLong());
            uncordons.put(upstream, seen);
        }
        boolean isRetained = nanoTime.getAsLong() - seen.seenNanos < TimeUnit.MILLISECONDS.toNanos(uncordonRetentionMs);
        if (!isRetained) {
            uncordons.remove(upstream);
        }
        return isRetained;
    }

    private interface FileAction {
        void run() throws IOException;
    }

    /** Writes a file that is missing or invalid. A failure does not interrupt polling; the next poll tries again. */
    private boolean restore(Path file, FileAction write) {
        try {
            write.run();
            return true;
        } catch (IOException e) {
            warnOnce(file, "can't restore " + file.getFileName() + ", will retry: " + e);
            return false;
        }
    }

    private void warnOnce(Path path, String text) {
        if (reported.add(path)) {
            Log.warn(text);
        }
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}

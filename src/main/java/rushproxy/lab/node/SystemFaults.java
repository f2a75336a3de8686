package rushproxy.lab.node;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Injects operating system faults into one process: steps its wall clock, and makes system calls fail, return short counts or be
 * interrupted. A C library preloaded into the process injects the faults; this class sets them in a memory-mapped control file while
 * the process runs.
 */
public final class SystemFaults {
    private static final String SOURCE = "faults.c";
    private static final int CONTROL_SIZE_BYTES = 4096;
    /** Positions in the control file, in bytes. */
    private static final int WALL_CLOCK_OFFSET = 0;

    private static final int SEED_OFFSET = 8;
    private static final int PROBABILITIES_OFFSET = 16;
    /** Probabilities are stored in millionths. */
    private static final double PROBABILITY_SCALE = 1e6;

    private static final long COMPILE_TIMEOUT_S = 60;

    /** Kinds of faults, in the order of the control block in {@code faults.c}. */
    public enum Call {
        ACCEPT_FAILS,
        SOCKET_FAILS,
        CONNECT_FAILS,
        WAIT_INTERRUPTED,
        READ_INTERRUPTED,
        READ_SHORT,
        WRITE_SHORT,
        FILE_WRITE_FAILS,
        FILE_SYNC_FAILS,
        FILE_RENAME_FAILS,
        ESTABLISHED_FAILS,
        KILL_IN_WRITE,
        /** {@code setsockopt}: ENOBUFS, ENOMEM. */
        OPTION_FAILS,
        /** {@code getsockname}: ENOBUFS. */
        NAME_FAILS,
        /** {@code epoll_ctl} that adds or changes a descriptor: ENOMEM, ENOSPC. */
        REGISTER_FAILS,
        /** A read of a socket: ENOMEM. */
        READ_FAILS,
        /** A write to a socket: ENOBUFS, ENOMEM. */
        SEND_FAILS,
        /** {@code shutdown} of one side of a connection: ENOBUFS, ENOMEM. */
        SHUTDOWN_FAILS
    }

    private final Path library;
    private final Path controlFile;
    private final MappedByteBuffer controlBlock;

    private SystemFaults(Path library, Path controlFile, long seed) throws IOException {
        this.library = library;
        this.controlFile = controlFile;
        Files.write(controlFile, new byte[CONTROL_SIZE_BYTES]);
        try (FileChannel channel = FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            controlBlock = channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_SIZE_BYTES);
        }
        controlBlock.order(ByteOrder.nativeOrder());
        controlBlock.putLong(SEED_OFFSET, seed);
    }

    /** Compiles the library into the folder; empty if the machine has no C compiler. */
    public static Optional<Path> compile(Path folder) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Path source = folder.resolve(SOURCE);
        Path library = folder.resolve("faults.so");
        try (InputStream in = SystemFaults.class.getResourceAsStream("/rushproxy/lab/" + SOURCE)) {
            Files.write(source, in.readAllBytes());
        }
        Process compiler;
        try {
            compiler = new ProcessBuilder(
                            "gcc", "-O2", "-shared", "-fPIC", "-o", library.toString(), source.toString(), "-ldl")
                    .inheritIO()
                    .start();
        } catch (IOException e) {
            return Optional.empty();
        }
        if (!compiler.waitFor(COMPILE_TIMEOUT_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            compiler.destroyForcibly();
            throw new IOException("compiling the fault injection library failed");
        }
        return Optional.of(library);
    }

    /** Creates the controls for one process with all faults off; {@code controlFile} is used by this process only. */
    public static SystemFaults create(Path library, Path controlFile, long seed) throws IOException {
        return new SystemFaults(library, controlFile, seed);
    }

    /** Returns the environment variables to start the process with. */
    public Map<String, String> environment() {
        return Map.of(
                "LD_PRELOAD",
                library.toAbsolutePath().toString(),
                "FAULTS_CONTROL",
                controlFile.toAbsolutePath().toString());
    }

    /** Sets the offset of the process's wall clock; the monotonic clock stays as it is. */
    public void stepWallClock(long offsetMs) {
        controlBlock.putLong(WALL_CLOCK_OFFSET, TimeUnit.MILLISECONDS.toNanos(offsetMs));
    }

    /** Sets the probability of a fault; 0 turns it off. */
    public void setProbability(Call call, double probability) {
        controlBlock.putInt(PROBABILITIES_OFFSET + Integer.BYTES * call.ordinal(), (int)
                Math.round(probability * PROBABILITY_SCALE));
    }

    /** Turns all faults off and resets the wall clock. */
    public void clear() {
        for (Call c : Call.values()) {
            setProbability(c, 0);
        }
        stepWallClock(0);
    }
}

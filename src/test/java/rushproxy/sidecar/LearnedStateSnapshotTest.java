package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Writing and validating the snapshot of the learned state. */
@Timeout(30)
class LearnedStateSnapshotTest {
    private static final long NOW = 1_700_000_000_000L;

    @TempDir
    Path directory;

    private void writeFile(byte[] bytes) throws Exception {
        Files.write(directory.resolve("known.bin"), bytes);
    }

    @Test
    void theNextProcessReadsTheLatestSnapshot() throws Exception {
        Path sidecarDirectory = directory.resolve("rushproxy-n0");
        try (LearnedStateSnapshot s = new LearnedStateSnapshot(sidecarDirectory)) {
            assertNull(s.read(NOW), "no snapshot yet");
            s.write(new byte[] {1}, NOW);
            s.write(new byte[] {2, 3}, NOW + 1);
            while (s.read(NOW + 2) == null || s.read(NOW + 2).length < 2) {
                Thread.sleep(5);
            }
            assertArrayEquals(new byte[] {2, 3}, new LearnedStateSnapshot(sidecarDirectory).read(NOW + 2));
        }
    }

    @Test
    void invalidSnapshotsAreIgnored() throws Exception {
        LearnedStateSnapshot s = new LearnedStateSnapshot(directory);
        byte[] valid = LearnedStateSnapshot.encode(new byte[] {1, 2, 3}, NOW);
        writeFile(valid);
        assertArrayEquals(new byte[] {1, 2, 3}, s.read(NOW + LearnedStateSnapshot.MAX_AGE_MS));
        assertNull(s.read(NOW + LearnedStateSnapshot.MAX_AGE_MS + 1), "too old");
        assertNull(s.read(NOW - 1), "from the future");
        for (int at = 0; at < valid.length; at++) {
            byte[] corrupt = valid.clone();
            corrupt[at] ^= 1;
            writeFile(corrupt);
            assertNull(s.read(NOW), "byte " + at);
        }
        writeFile(java.util.Arrays.copyOf(valid, 10));
        assertNull(s.read(NOW));
        writeFile(new byte[0]);
        assertNull(s.read(NOW));
        writeFile(new byte[100_000]);
        assertNull(s.read(NOW));
    }
}

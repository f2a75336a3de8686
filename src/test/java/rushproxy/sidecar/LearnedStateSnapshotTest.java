package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What outlives a process of what it has learned. */
@Timeout(30)
class LearnedStateSnapshotTest {
    private static final long NOW = 1_700_000_000_000L;

    @TempDir
    Path folder;

    private void put(byte[] bytes) throws Exception {
        Files.write(folder.resolve("known.bin"), bytes);
    }

    @Test
    void theNextProcessFindsTheLastOne() throws Exception {
        Path kept = folder.resolve("rushproxy-n0");
        try (LearnedStateSnapshot s = new LearnedStateSnapshot(kept)) {
            assertNull(s.read(NOW), "nothing yet");
            s.write(new byte[] {1}, NOW);
            s.write(new byte[] {2, 3}, NOW + 1);
            while (s.read(NOW + 2) == null || s.read(NOW + 2).length < 2) {
                Thread.sleep(5);
            }
            assertArrayEquals(new byte[] {2, 3}, new LearnedStateSnapshot(kept).read(NOW + 2));
        }
    }

    @Test
    void whatIsOfNoUseIsLeftAside() throws Exception {
        LearnedStateSnapshot s = new LearnedStateSnapshot(folder);
        byte[] good = LearnedStateSnapshot.encode(new byte[] {1, 2, 3}, NOW);
        put(good);
        assertArrayEquals(new byte[] {1, 2, 3}, s.read(NOW + LearnedStateSnapshot.MAX_AGE_MS));
        assertNull(s.read(NOW + LearnedStateSnapshot.MAX_AGE_MS + 1), "old");
        assertNull(s.read(NOW - 1), "from the future");
        for (int at = 0; at < good.length; at++) {
            byte[] spoilt = good.clone();
            spoilt[at] ^= 1;
            put(spoilt);
            assertNull(s.read(NOW), "byte " + at);
        }
        put(java.util.Arrays.copyOf(good, 10));
        assertNull(s.read(NOW));
        put(new byte[0]);
        assertNull(s.read(NOW));
        put(new byte[100_000]);
        assertNull(s.read(NOW));
    }
}

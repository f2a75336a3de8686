package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SharedRequestTableTest {
    @TempDir
    Path folder;

    private final AtomicLong nanos = new AtomicLong(1);

    private SharedRequestTable open() throws Exception {
        return SharedRequestTable.open(folder.resolve("state"), nanos::get);
    }

    /** Guards against an id that one process has sent and the other does not know, or does not know to be answered. */
    @Test
    void bothProcessesSeeTheSameIds() throws Exception {
        SharedRequestTable first = open();
        first.add("a1");
        SharedRequestTable second = open();
        assertTrue(second.contains("a1"));
        assertFalse(second.contains("a2"));
        second.add("a2");
        assertTrue(first.contains("a2"));
        first.remove("a1");
        assertFalse(second.contains("a1"));
    }

    /** Guards against ids that are refused for ever, since their process has ended or the machine was started again. */
    @Test
    void entriesExpire() throws Exception {
        SharedRequestTable ids = open();
        ids.add("a1");
        nanos.addAndGet(SharedRequestTable.RETENTION_NANOS - 1);
        assertTrue(ids.contains("a1"));
        nanos.incrementAndGet();
        assertFalse(ids.contains("a1"));
        ids.add("a2");
        nanos.set(0);
        assertFalse(ids.contains("a2"));
    }

    /** Guards against a full table that takes no more ids, or drops the newest. */
    @Test
    void theOldestMakesRoom() throws Exception {
        SharedRequestTable ids = open();
        for (int i = 0; i < 100_000; i++) {
            nanos.incrementAndGet();
            ids.add("id" + i);
            assertTrue(ids.contains("id" + i));
        }
        assertFalse(ids.contains("id0"));
        assertTrue(ids.contains("id99000"));
    }

    /** Guards against a process that does not start because its directory can't be written. */
    @Test
    void withoutAFileThereIsNoTable() throws Exception {
        Path file = Files.writeString(folder.resolve("file"), "");
        SharedRequestTable ids = SharedRequestTable.openOrNone(file);
        ids.add("a1");
        assertFalse(ids.contains("a1"));
    }
}

package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A cordoned upstream stays cordoned until it is uncordoned, across list updates, restarts and damaged files. */
@Timeout(60)
class CordonTest {
    @TempDir
    Path directory;

    private Rig rig() throws Exception {
        Rig rig = new Rig().withAdmin();
        rig.kept = directory;
        rig.upstream((m, line) -> line.answer("200 OK", "", "ok"));
        return rig;
    }

    private static int serve(Rig rig, String id) throws Exception {
        try (Peer.Client c = rig.client()) {
            return c.send(Rig.get(id, 20_000)).status();
        }
    }

    private List<Path> files() throws Exception {
        try (var all = Files.walk(directory)) {
            return all.filter(Files::isRegularFile).toList();
        }
    }

    /** The test's module keeps sending to the upstream; the connection pool must refuse. */
    @Test
    void nothingIsSentToACordonedUpstream() throws Exception {
        try (Rig rig = rig().start()) {
            assertEquals(200, serve(rig, "a1"));
            assertEquals("ACK\n", rig.call("cordon u0"));
            rig.await("cordon u0 true");
            assertEquals(502, serve(rig, "a2"));
            assertEquals("outcome a2 0 NOT_SENT false -", rig.await("outcome a2"));
            assertEquals("ACK\n", rig.call("cordon u0"));
            assertEquals("ACK\n", rig.call("uncordon u0"));
            rig.await("cordon u0 false");
            assertEquals(200, serve(rig, "a3"));
            assertEquals("ACK\n", rig.call("uncordon u0"));
        }
    }

    @Test
    void unknownUpstreamsAreRefused() throws Exception {
        try (Rig rig = rig().start()) {
            assertTrue(rig.call("cordon u7").startsWith("NAK"));
            assertTrue(rig.call("uncordon u7").startsWith("NAK"));
            assertEquals(List.of(), files());
        }
    }

    @Test
    void theNextProcessLoadsCordonsAndBothSeeEachOthersCommands() throws Exception {
        try (Rig first = rig().start()) {
            assertEquals("ACK\n", first.call("cordon u0"));
            try (Rig next = rig().start()) {
                next.await("cordon u0 true");
                assertEquals(502, serve(next, "a1"));
                assertEquals("ACK\n", first.call("uncordon u0"));
                next.await("cordon u0 false");
                assertEquals(200, serve(next, "a2"));
                assertEquals("ACK\n", next.call("cordon u0"));
                first.await("cordon u0 false");
                first.await("cordon u0 true");
                assertEquals(502, serve(first, "a3"));
            }
        }
    }

    @Test
    void damagedFilesAreIgnored() throws Exception {
        try (Rig first = rig().start()) {
            assertEquals("ACK\n", first.call("cordon u0"));
        }
        Path kept = files().get(0);
        Files.writeString(kept, Files.readString(kept).substring(0, 10));
        Files.writeString(
                kept.resolveSibling("cordon-other.json"), "{\"version\":99,\"id\":\"u0\",\"out\":true,\"atMs\":1}");
        Files.write(kept.resolveSibling("cordon-foreign.json"), new byte[5_000]);
        try (Rig next = rig().start()) {
            assertEquals(200, serve(next, "a1"));
            assertEquals("ACK\n", next.call("cordon u0"));
            assertEquals(502, serve(next, "a2"));
        }
    }

    /** Guards against an uncordon that expires at once or never because the wall clock was stepped. */
    @Test
    void anUncordonExpiresByTheMonotonicClock() throws Exception {
        long hourMs = 3_600_000;
        for (long stepMs : new long[] {-hourMs, hourMs}) {
            Files.writeString(
                    directory.resolve("cordon-a.json"),
                    "{\"version\":1,\"id\":\"u0\",\"out\":false,\"atMs\":" + (System.currentTimeMillis() + stepMs)
                            + "}");
            java.util.concurrent.atomic.AtomicLong nanoTime = new java.util.concurrent.atomic.AtomicLong();
            java.util.concurrent.BlockingQueue<java.util.Map<String, CordonStore.CordonState>> changes =
                    new java.util.concurrent.LinkedBlockingQueue<>();
            try (CordonStore store = new CordonStore(directory, 1_000, changes::add, nanoTime::get)) {
                store.start();
                assertEquals(java.util.Set.of("u0"), changes.take().keySet(), "clock stepped by " + stepMs);
                nanoTime.set(1_000_000_000L);
                assertEquals(java.util.Set.of(), changes.take().keySet(), "clock stepped by " + stepMs);
            }
        }
    }

    /** The running process keeps the cordon and writes the file again for the next one. */
    @Test
    void aMissingFileIsNotAnUncordon() throws Exception {
        try (Rig rig = rig().start()) {
            assertEquals("ACK\n", rig.call("cordon u0"));
            Files.delete(files().get(0));
            while (files().isEmpty()) {
                Thread.sleep(5);
            }
            assertEquals(502, serve(rig, "a1"));
        }
    }

    /** A restarted upstream is a new target in the pool, but is still cordoned. */
    @Test
    void aListUpdateDoesNotUncordon() throws Exception {
        String[] address = new String[1];
        CountDownLatch cordoned = new CountDownLatch(1);
        try (Rig rig = new Rig((m, line) -> {
                    if (m.path().contains("index=41")) {
                        try {
                            cordoned.await();
                        } catch (InterruptedException e) {
                            throw new java.io.InterruptedIOException();
                        }
                        line.answer("200 OK", "", Rig.list(42, true, Rig.entry("u0", address[0], "Ready", 5_000)));
                    }
                })
                .withAdmin()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", "ok"));
            address[0] = rig.peers.get(0).address();
            rig.start();
            assertEquals("ACK\n", rig.call("cordon u0"));
            cordoned.countDown();
            rig.await("list FULL");
            assertEquals(502, serve(rig, "a1"));
        }
    }
}

package rushproxy.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rushproxy.fleet.release.Gate;
import rushproxy.fleet.release.Plan;
import rushproxy.fleet.release.ReleaseController;
import rushproxy.fleet.release.ReleaseOrder;
import rushproxy.fleet.release.ReleaseOrder.State;
import rushproxy.fleet.release.SimulatedReports;

/** Recovery of a release controller from its journal after a crash or a failed write. */
class ReleaseJournalTest {
    private static final long MICROS_PER_S = 1_000_000;
    private static final Gate.Criteria RULE =
            new Gate.Criteria(10 * MICROS_PER_S, 300 * MICROS_PER_S, 100, 0.01, 0.02, 1.25, 0.3);
    private static final Plan PLAN = new Plan(
            "r1",
            ReleaseOrder.Selector.parse("kind=new"),
            List.of(new Plan.Stage(0.05, RULE), new Plan.Stage(0.25, RULE), new Plan.Stage(1, RULE)),
            0.05,
            5 * MICROS_PER_S);

    @TempDir
    Path folder;

    private final SimulatedReports fleet = new SimulatedReports();
    private long now = 1_000 * MICROS_PER_S;

    private void runController(ReleaseController c, int seconds) {
        for (int i = 0; i < seconds; i++) {
            now += MICROS_PER_S;
            c.onReports(now, fleet.nextSecond(), 4);
        }
    }

    /** Guards against what a failed write leaves in the file, part of a record or all of it, hiding the records appended later. */
    @Test
    void recordAppendedAfterAFailedWriteIsReadBack() throws Exception {
        for (boolean whole : new boolean[] {false, true}) {
            Path path = folder.resolve("fails" + whole);
            boolean[] writeFails = new boolean[1];
            List<ReleaseController.Step> steps = new java.util.ArrayList<>();
            new ReleaseController(PLAN, 1, null, now, steps::add);
            ReleaseController.Step step = steps.get(0);
            try (ReleaseJournal j = new ReleaseJournal(path, (file, record) -> {
                if (writeFails[0]) {
                    record.limit(whole ? record.limit() : record.limit() / 2);
                    file.write(record);
                    throw new IOException("No space left on device");
                }
                ReleaseJournal.RecordWriter.WRITE_AND_FORCE.write(file, record);
            })) {
                j.append(step);
                writeFails[0] = true;
                assertThrows(IOException.class, () -> j.append(step));
                writeFails[0] = false;
                j.append(step);
                assertEquals(2, j.steps().size());
            }
            try (ReleaseJournal j = new ReleaseJournal(path)) {
                assertEquals(null, j.truncation());
                assertEquals(2, j.steps().size(), "records after a failed write, whole record written: " + whole);
            }
        }
    }

    /** The first controller is killed at each step, before or after journaling it; the second continues from the last journaled step. */
    @Test
    void controllerResumesFromTheLastJournaledStepWhenKilledAtAnyStep() throws Exception {
        for (int killStep = 0; killStep < 4; killStep++) {
            for (boolean written : new boolean[] {false, true}) {
                Path path = folder.resolve("j" + killStep + written);
                int killAt = killStep;
                ReleaseController c = null;
                try (ReleaseJournal j = new ReleaseJournal(path)) {
                    c = new ReleaseController(PLAN, 1, null, now, s -> {
                        if (s.order().step() == killAt && !written) {
                            throw new UncheckedIOException(new IOException("killed"));
                        }
                        append(j, s);
                        if (s.order().step() == killAt) {
                            throw new UncheckedIOException(new IOException("killed"));
                        }
                    });
                    runController(c, 100);
                } catch (UncheckedIOException e) {
                    // The first controller was killed.
                }
                try (ReleaseJournal j = new ReleaseJournal(path)) {
                    int known = j.steps().size();
                    assertEquals(killStep + (written ? 1 : 0), known);
                    ReleaseController.Step last = known == 0 ? null : j.steps().get(known - 1);
                    ReleaseController next = new ReleaseController(PLAN, 2, last, now, s -> append(j, s));
                    if (last != null) {
                        assertEquals(
                                last.order().state() + " " + last.order().weight(),
                                next.lastStep().order().state() + " "
                                        + next.lastStep().order().weight());
                        assertEquals(2, next.lastStep().order().epoch());
                    }
                    runController(next, 100);
                    assertTrue(
                            next.isFinished() && next.lastStep().order().state() == State.DONE,
                            "killed at step " + killStep);
                }
            }
        }
    }

    private static void append(ReleaseJournal j, ReleaseController.Step s) {
        try {
            j.append(s);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void partialAndCorruptRecordsAtTheEndAreTruncated() throws Exception {
        Path path = folder.resolve("journal");
        try (ReleaseJournal j = new ReleaseJournal(path)) {
            new ReleaseController(PLAN, 1, null, now, s -> append(j, s)).halt(now, "by hand");
            assertThrows(IOException.class, () -> new ReleaseJournal(path), "the journal is locked");
        }
        byte[] complete = Files.readAllBytes(path);
        for (int length = 0; length <= complete.length; length++) {
            Files.write(path, Arrays.copyOf(complete, length));
            try (ReleaseJournal j = new ReleaseJournal(path)) {
                int records = j.steps().size();
                assertTrue(length == complete.length ? records == 2 : records < 2);
                long kept = Files.size(path);
                assertTrue(
                        kept == length
                                ? j.truncation() == null
                                : j.truncation().contains("after record " + records + " are incomplete or corrupt"));
            }
        }
        byte[] corrupt = complete.clone();
        corrupt[complete.length - 3] ^= 1;
        Files.write(path, corrupt);
        try (ReleaseJournal j = new ReleaseJournal(path)) {
            assertEquals(1, j.steps().size());
            assertNotNull(j.truncation());
        }
        Files.write(path, complete);
        Files.write(
                path,
                new byte[] {0, 0, 0, 1, (byte) 0xE8, (byte) 0xB7, (byte) 0xBE, 0x43, 'a'},
                StandardOpenOption.APPEND);
        assertTrue(assertThrows(IOException.class, () -> new ReleaseJournal(path))
                .getMessage()
                .contains("record 3 is not a valid step"));
    }
}

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

/** What a controller of releases knows after it was killed. */
class ReleaseJournalTest {
    private static final long S = 1_000_000;
    private static final Gate.Criteria RULE = new Gate.Criteria(10 * S, 300 * S, 100, 0.01, 0.02, 1.25, 0.3);
    private static final Plan PLAN = new Plan(
            "r1",
            ReleaseOrder.Selector.parse("kind=new"),
            List.of(new Plan.Stage(0.05, RULE), new Plan.Stage(0.25, RULE), new Plan.Stage(1, RULE)),
            0.05,
            5 * S);

    @TempDir
    Path folder;

    private final SimulatedReports fleet = new SimulatedReports();
    private long now = 1_000 * S;

    private void play(ReleaseController c, int seconds) {
        for (int i = 0; i < seconds; i++) {
            now += S;
            c.onReports(now, fleet.nextSecond(), 4);
        }
    }

    /** A disk that fails in the middle of a write, or after it: what is appended later is found again. */
    @Test
    void whatFollowsAFailedWriteIsNotLostWithIt() throws Exception {
        for (boolean whole : new boolean[] {false, true}) {
            Path path = folder.resolve("fails" + whole);
            boolean[] fails = new boolean[1];
            List<ReleaseController.Step> steps = new java.util.ArrayList<>();
            new ReleaseController(PLAN, 1, null, now, steps::add);
            ReleaseController.Step step = steps.get(0);
            try (ReleaseJournal j = new ReleaseJournal(path, (file, record) -> {
                if (fails[0]) {
                    record.limit(whole ? record.limit() : record.limit() / 2);
                    file.write(record);
                    throw new IOException("No space left on device");
                }
                ReleaseJournal.Disk.REAL.write(file, record);
            })) {
                j.append(step);
                fails[0] = true;
                assertThrows(IOException.class, () -> j.append(step));
                fails[0] = false;
                j.append(step);
                assertEquals(2, j.steps().size());
            }
            try (ReleaseJournal j = new ReleaseJournal(path)) {
                assertEquals(null, j.cut());
                assertEquals(2, j.steps().size(), "what was appended after a failed write, whole " + whole);
            }
        }
    }

    /** Killed after each single step, before or after it was kept: the next one goes on from the last that was kept. */
    @Test
    void killedAtEachStepItGoesOnWhereItStood() throws Exception {
        for (int at = 0; at < 4; at++) {
            for (boolean written : new boolean[] {false, true}) {
                Path path = folder.resolve("j" + at + written);
                int killAt = at;
                ReleaseController c = null;
                try (ReleaseJournal j = new ReleaseJournal(path)) {
                    c = new ReleaseController(PLAN, 1, null, now, s -> {
                        if (s.order().step() == killAt && !written) {
                            throw new UncheckedIOException(new IOException("killed"));
                        }
                        keep(j, s);
                        if (s.order().step() == killAt) {
                            throw new UncheckedIOException(new IOException("killed"));
                        }
                    });
                    play(c, 100);
                } catch (UncheckedIOException e) {
                    // It is gone.
                }
                try (ReleaseJournal j = new ReleaseJournal(path)) {
                    int known = j.steps().size();
                    assertEquals(at + (written ? 1 : 0), known);
                    ReleaseController.Step last = known == 0 ? null : j.steps().get(known - 1);
                    ReleaseController next = new ReleaseController(PLAN, 2, last, now, s -> keep(j, s));
                    if (last != null) {
                        assertEquals(
                                last.order().state() + " " + last.order().weight(),
                                next.lastStep().order().state() + " "
                                        + next.lastStep().order().weight());
                        assertEquals(2, next.lastStep().order().epoch());
                    }
                    play(next, 100);
                    assertTrue(next.isFinished() && next.lastStep().order().state() == State.DONE, "killed at " + at);
                }
            }
        }
    }

    private static void keep(ReleaseJournal j, ReleaseController.Step s) {
        try {
            j.append(s);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void aTornTailIsCutOffAndASpoiltRecordToo() throws Exception {
        Path path = folder.resolve("journal");
        try (ReleaseJournal j = new ReleaseJournal(path)) {
            new ReleaseController(PLAN, 1, null, now, s -> keep(j, s)).halt(now, "by hand");
            assertThrows(IOException.class, () -> new ReleaseJournal(path), "two controllers at once");
        }
        byte[] whole = Files.readAllBytes(path);
        for (int length = 0; length <= whole.length; length++) {
            Files.write(path, Arrays.copyOf(whole, length));
            try (ReleaseJournal j = new ReleaseJournal(path)) {
                int records = j.steps().size();
                assertTrue(length == whole.length ? records == 2 : records < 2);
                long kept = Files.size(path);
                assertTrue(
                        kept == length
                                ? j.cut() == null
                                : j.cut().contains("after record " + records + " were half written"));
            }
        }
        byte[] spoilt = whole.clone();
        spoilt[whole.length - 3] ^= 1;
        Files.write(path, spoilt);
        try (ReleaseJournal j = new ReleaseJournal(path)) {
            assertEquals(1, j.steps().size());
            assertNotNull(j.cut());
        }
        Files.write(path, whole);
        Files.write(
                path,
                new byte[] {0, 0, 0, 1, (byte) 0xE8, (byte) 0xB7, (byte) 0xBE, 0x43, 'a'},
                StandardOpenOption.APPEND);
        assertTrue(assertThrows(IOException.class, () -> new ReleaseJournal(path))
                .getMessage()
                .contains("record 3 is no step"));
    }
}

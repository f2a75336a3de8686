package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Conversion of start times while a wall clock, on this machine or another, is stepped by up to an hour. */
class StartTimesTest {
    private static final long HOUR_MS = 3_600_000;
    private static final long WALL_MS = 1_800_000_000_000L;
    private static final long TOLERANCE_US = 1_000_000;

    private final Clock clock = new Clock();
    private long wallMs = WALL_MS;
    private final StartTimes starts = new StartTimes(clock, () -> wallMs);

    private static UpstreamList list(boolean isFull, long startedAtMs) {
        return UpstreamList.fromJson(Json.parse(
                SidecarRig.listJson(1, isFull, SidecarRig.entryJson("u0", "127.0.0.1:1", "Ready", startedAtMs))
                        .getBytes(StandardCharsets.UTF_8)));
    }

    private static long started(UpstreamList list) {
        return list.entries().get(0).upstream().startedUs();
    }

    private void assertAge(long expectedMs, UpstreamList list) {
        long ageUs = clock.nowUs() - started(list);
        assertTrue(
                Math.abs(ageUs - expectedMs * 1_000) < TOLERANCE_US,
                "age " + ageUs / 1_000 + " ms, expected " + expectedMs);
    }

    @Test
    void theFirstListsAreComparedWithTheWallClock() {
        assertAge(4_000, starts.fromInitialList(list(true, WALL_MS - 4_000)));
        assertAge(6_000, starts.fromDiscovery(list(true, WALL_MS - 6_000)));
    }

    @Test
    void aFirstStartInTheFutureCountsAsNow() {
        assertAge(0, starts.fromInitialList(list(true, WALL_MS + HOUR_MS)));
    }

    @Test
    void aStartReportedLaterCountsAsNow() {
        starts.fromDiscovery(list(true, WALL_MS - 60_000));
        for (long stepMs : new long[] {HOUR_MS, -HOUR_MS, 3_000, -3_000}) {
            wallMs = WALL_MS + stepMs;
            assertAge(0, starts.fromDiscovery(list(false, wallMs)));
            assertAge(0, starts.fromDiscovery(list(false, WALL_MS - 2 * stepMs)));
        }
    }

    @Test
    void aRepeatedReportKeepsTheStart() {
        long first = started(starts.fromDiscovery(list(true, WALL_MS - 4_000)));
        wallMs = WALL_MS - HOUR_MS;
        assertEquals(first, started(starts.fromDiscovery(list(false, WALL_MS - 4_000))));
        starts.fromDiscovery(new UpstreamList(2, true, java.util.List.of()));
        assertEquals(
                first, started(starts.fromDiscovery(list(false, WALL_MS - 4_000))), "it left the list and came back");
    }

    @Test
    void anUnknownStartStaysUnknown() {
        assertEquals(0, started(starts.fromInitialList(list(true, 0))));
        assertEquals(0, started(starts.fromDiscovery(list(false, 0))));
    }
}

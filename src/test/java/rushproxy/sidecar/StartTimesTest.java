package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Starts of upstreams by a wall clock that is stepped by an hour, on this machine or on another. */
class StartTimesTest {
    private static final long HOUR_MS = 3_600_000;
    private static final long WALL_MS = 1_800_000_000_000L;
    private static final long SLACK_US = 1_000_000;

    private final Clock clock = new Clock();
    private long wallMs = WALL_MS;
    private final StartTimes starts = new StartTimes(clock, () -> wallMs);

    private static UpstreamList list(boolean whole, long startedAtMs) {
        return UpstreamList.of(Json.parse(
                SidecarRig.listJson(1, whole, SidecarRig.entryJson("u0", "127.0.0.1:1", "Ready", startedAtMs))
                        .getBytes(StandardCharsets.UTF_8)));
    }

    private static long started(UpstreamList list) {
        return list.entries().get(0).upstream().startedUs();
    }

    private void assertAge(long expectedMs, UpstreamList list) {
        long ageUs = clock.nowUs() - started(list);
        assertTrue(
                Math.abs(ageUs - expectedMs * 1_000) < SLACK_US,
                "age " + ageUs / 1_000 + " ms instead of " + expectedMs);
    }

    @Test
    void theFirstListsAreComparedWithTheWallClock() {
        assertAge(4_000, starts.known(list(true, WALL_MS - 4_000)));
        assertAge(6_000, starts.told(list(true, WALL_MS - 6_000)));
    }

    @Test
    void aFirstStartInTheFutureIsOneOfNow() {
        assertAge(0, starts.known(list(true, WALL_MS + HOUR_MS)));
    }

    @Test
    void aRestartThatIsToldLaterIsOneOfNowWhateverItsNumber() {
        starts.told(list(true, WALL_MS - 60_000));
        for (long step : new long[] {HOUR_MS, -HOUR_MS, 3_000, -3_000}) {
            wallMs = WALL_MS + step;
            assertAge(0, starts.told(list(false, wallMs)));
            assertAge(0, starts.told(list(false, WALL_MS - 2 * step)));
        }
    }

    @Test
    void whatIsToldAgainKeepsItsStart() {
        long first = started(starts.told(list(true, WALL_MS - 4_000)));
        wallMs = WALL_MS - HOUR_MS;
        assertEquals(first, started(starts.told(list(false, WALL_MS - 4_000))));
        starts.told(new UpstreamList(2, true, java.util.List.of()));
        assertEquals(first, started(starts.told(list(false, WALL_MS - 4_000))), "it left the list and came back");
    }

    @Test
    void longAgoStaysLongAgo() {
        assertEquals(0, started(starts.known(list(true, 0))));
        assertEquals(0, started(starts.told(list(false, 0))));
    }
}

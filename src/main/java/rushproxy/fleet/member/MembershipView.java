package rushproxy.fleet.member;

import java.util.List;

/**
 * Snapshot of the fleet's membership as one sidecar sees it.
 *
 * @param expectedCount   configured members, including this one, without those that have left
 * @param liveCount       alive or suspect members, including this one, and peers of the previous program version heard recently
 * @param liveByZone      live members by the index of their zone in the settings
 * @param standing        how many of the expected members are live
 * @param standingSinceUs time of the last change of {@code standing}
 */
public record MembershipView(
        int expectedCount, int liveCount, List<Integer> liveByZone, Standing standing, long standingSinceUs) {
    /** Share of the expected members that are live. */
    public enum Standing {
        /** More than half of the expected members are live. */
        MAJORITY,
        /** Half or fewer are live, so this member may be the one that is partitioned. */
        MINORITY,
        /** No other member is live. */
        NOBODY
    }
}

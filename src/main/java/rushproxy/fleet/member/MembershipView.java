package rushproxy.fleet.member;

import java.util.List;

/**
 * Who is here, as one sidecar sees it at a time.
 *
 * @param expected those it should see: as many as its configuration names, itself included, without those that have left
 * @param here     alive or suspect, itself included, and peers of the program before that were heard of late
 * @param byZone   those here, by the number of their zone in the settings
 * @param standing majority, minority or nobody, of those expected; since {@code standingSinceUs}
 */
public record MembershipView(
        int expectedCount, int liveCount, List<Integer> liveByZone, Standing standing, long standingSinceUs) {
    /** Which part of its fleet a member sees. */
    public enum Standing {
        /** More than half of those it should see are here. */
        MAJORITY,
        /** Half of them or fewer: it may be the one that is cut off. */
        MINORITY,
        /** None but itself. */
        NOBODY
    }
}

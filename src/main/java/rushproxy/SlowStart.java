package rushproxy;

import rushproxy.Balancer.Settings;
import rushproxy.PolicyState.Server;

/**
 * Limits what a server that has just started is sent (rule 4); each sidecar does so without communication.
 * Time is divided into slots of half an overload window, so that a window overlaps at most three slots. In
 * each slot all sidecars together may send as many requests of mean work as fit into a third of the budget:
 * an equal number each, and the remainder by turns that depend on sidecar, server and slot. Where servers are
 * probed for their load first, there are twice as many turns, spaced out over the slot.
 */
final class SlowStart {
    /** Part of a cold server's budget that is used, since the work of requests is estimated. */
    private static final double BUDGET_FRACTION = 0.9;
    /** Maximum work of a single request, relative to the mean. */
    private static final double MAX_RELATIVE_WORK = 3;
    /** An attempt that starts within this part of a window after its send counts in the slot of the send. */
    private static final int SAME_SLOT_DIVISOR = 8;

    private final Settings settings;
    /** Whether servers are probed for their load before a send. */
    private final boolean probesLoad;

    SlowStart(Settings settings, boolean probesLoad) {
        this.settings = settings;
        this.probesLoad = probesLoad;
    }

    /** Fraction of its full capacity that a server has at least: the slowest ramp the settings allow. */
    double capacityFraction(Server server, long now) {
        long age = now - server.startedAt;
        if (server.startedAt <= 0 || age >= settings.rules().rampTimeUs()) return 1;
        double cold = settings.rules().coldShare();
        return cold + (1 - cold) * Math.max(0, age) / settings.rules().rampTimeUs();
    }

    /** Whether this sidecar may now send the server a request of {@code workUs}. */
    boolean canSend(long now, Server server, double workUs, double meanWorkUs) {
        if (capacityFraction(server, now) >= 1) return true;
        long slotNumber = slotAt(server, now);
        long slotStart = server.startedAt + slotNumber * slotUs();
        double slotCapacity =
                capacityFraction(server, slotStart) * Math.max(1, server.kind.cores) / server.kind.slowness;
        double budget = BUDGET_FRACTION
                * settings.rules().overloadMultiple()
                * slotCapacity
                * settings.rules().overloadWindowUs();
        long requests = (long) (budget / (probesLoad ? 1.5 : 3) / meanWorkUs);
        long turn = Math.floorMod(
                settings.sidecarIndex() - Policy.mixHash(server.id.hashCode(), (int) slotNumber),
                settings.sidecarCount());
        long own = requests / settings.sidecarCount() + (turn < requests % settings.sidecarCount() ? 1 : 0);
        long spacing = probesLoad ? settings.rules().overloadWindowUs() / 4 / Math.max(1, requests) : 0;
        double sentWorkUs = server.slowStartSlot == slotNumber ? server.slowStartWorkUs : 0;
        boolean due = own > 0 && now >= slotStart + turn * spacing;
        return due
                && workUs <= MAX_RELATIVE_WORK * meanWorkUs
                && (sentWorkUs == 0 || sentWorkUs + workUs <= own * meanWorkUs);
    }

    /** Charges work that is sent now to the current slot. */
    void recordSend(long now, Server server, double workUs) {
        long slot = slotAt(server, now);
        server.slowStartWorkUs = workUs + (slot == server.slowStartSlot ? server.slowStartWorkUs : 0);
        server.slowStartSlot = slot;
    }

    /**
     * Whether an attempt that was sent at {@code sentAt} may start now, after a slow connection setup: it is
     * charged to the slot in which it starts.
     */
    boolean canStart(long now, Server server, long sentAt, double workUs, double meanWorkUs) {
        boolean late = now - sentAt > settings.rules().overloadWindowUs() / SAME_SLOT_DIVISOR;
        if (!late || capacityFraction(server, now) >= 1 || slotAt(server, sentAt) == slotAt(server, now)) {
            return true;
        }
        if (!canSend(now, server, workUs, meanWorkUs)) return false;
        recordSend(now, server, workUs);
        return true;
    }

    private long slotAt(Server server, long now) {
        return Math.max(0, now - server.startedAt) / slotUs();
    }

    /** At least 1: the window may be as short as 1 us. */
    private long slotUs() {
        return Math.max(1, settings.rules().overloadWindowUs() / 2);
    }
}

package rushproxy;

import rushproxy.Balancer.Settings;
import rushproxy.PolicyState.Server;

/**
 * How much a server that has just started may be sent: the fourth rule, kept by each sidecar
 * without messages. Half a window is a slot, and in each the sidecars may send as many mean
 * requests as a third of the budget holds (a window meets three): an equal part each, the rest by
 * turn of number, server and slot. A server that is asked first gives twice the turns, one by one.
 */
final class SlowStart {
    /** The sidecars use this part of a cold server's budget: costs are estimates. */
    private static final double BUDGET_FRACTION = 0.9;
    /** No single request may be longer than this many mean ones. */
    private static final double MAX_RELATIVE_WORK = 3;
    /** What begins no later than this part of a window after its send belongs to the slot of its send. */
    private static final int SAME_SLOT_DIVISOR = 8;

    private final Settings settings;
    /** Whether servers are asked for their load before they are sent anything. */
    private final boolean probesLoad;

    SlowStart(Settings settings, boolean probesLoad) {
        this.settings = settings;
        this.probesLoad = probesLoad;
    }

    /** The part of its full capacity that a server can surely do now: the slowest ramp the settings allow. */
    double capacityFraction(Server s, long now) {
        long age = now - s.startedAt;
        if (s.startedAt <= 0 || age >= settings.rules().rampTimeUs()) return 1;
        double cold = settings.rules().coldShare();
        return cold + (1 - cold) * Math.max(0, age) / settings.rules().rampTimeUs();
    }

    /** Whether the server may be sent so much work now. */
    boolean canSend(long now, Server s, double work, double meanWork) {
        if (capacityFraction(s, now) >= 1) return true;
        long slot = slotAt(s, now);
        long slotStart = s.startedAt + slot * slotUs();
        double capacity = capacityFraction(s, slotStart) * Math.max(1, s.kind.cores) / s.kind.slowness;
        double budget = BUDGET_FRACTION
                * settings.rules().overloadMultiple()
                * capacity
                * settings.rules().overloadWindowUs();
        long requests = (long) (budget / (probesLoad ? 1.5 : 3) / meanWork);
        long turn = Math.floorMod(
                settings.sidecarIndex() - Policy.mixHash(s.id.hashCode(), (int) slot), settings.sidecarCount());
        long own = requests / settings.sidecarCount() + (turn < requests % settings.sidecarCount() ? 1 : 0);
        long spacing = probesLoad ? settings.rules().overloadWindowUs() / 4 / Math.max(1, requests) : 0;
        double sent = s.slowStartSlot == slot ? s.slowStartWorkUs : 0;
        boolean due = own > 0 && now >= slotStart + turn * spacing;
        return due && work <= MAX_RELATIVE_WORK * meanWork && (sent == 0 || sent + work <= own * meanWork);
    }

    /** So much work is sent to it now. */
    void recordSend(long now, Server s, double work) {
        long slot = slotAt(s, now);
        s.slowStartWorkUs = work + (slot == s.slowStartSlot ? s.slowStartWorkUs : 0);
        s.slowStartSlot = slot;
    }

    /**
     * Whether what was sent then may begin only now, its connection having taken its time: it counts
     * in the slot in which it begins.
     */
    boolean canStart(long now, Server s, long sentAt, double work, double meanWork) {
        boolean late = now - sentAt > settings.rules().overloadWindowUs() / SAME_SLOT_DIVISOR;
        if (!late || capacityFraction(s, now) >= 1 || slotAt(s, sentAt) == slotAt(s, now)) return true;
        if (!canSend(now, s, work, meanWork)) return false;
        recordSend(now, s, work);
        return true;
    }

    private long slotAt(Server s, long now) {
        return Math.max(0, now - s.startedAt) / slotUs();
    }

    /** Half of the window in which too much work brings a cold server down, however short that is. */
    private long slotUs() {
        return Math.max(1, settings.rules().overloadWindowUs() / 2);
    }
}

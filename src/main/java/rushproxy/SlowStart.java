package rushproxy;

import rushproxy.Balancer.Settings;
import rushproxy.State.Server;

/**
 * How much a server that has just started may be sent: the fourth rule, kept by each sidecar
 * without messages. Half a window is a slot, and in each the sidecars may send as many mean
 * requests as a third of the budget holds (a window meets three): an equal part each, the rest by
 * turn of number, server and slot. A server that is asked first gives twice the turns, one by one.
 */
final class SlowStart {
    /** The sidecars use this part of a cold server's budget: costs are estimates. */
    private static final double USED_PART = 0.9;
    /** No single request may be longer than this many mean ones. */
    private static final double MOST_WORK = 3;
    /** What begins no later than this part of a window after its send belongs to the slot of its send. */
    private static final int SAME_SLOT_PART = 8;

    private final Settings cfg;
    /** Whether servers are asked for their load before they are sent anything. */
    private final boolean sampling;

    SlowStart(Settings cfg, boolean sampling) {
        this.cfg = cfg;
        this.sampling = sampling;
    }

    /** The part of its full capacity that a server can surely do now: the slowest ramp the settings allow. */
    double warmth(Server s, long now) {
        long age = now - s.startedAt;
        if (s.startedAt <= 0 || age >= cfg.rules().rampUs()) return 1;
        double cold = cfg.rules().coldShare();
        return cold + (1 - cold) * Math.max(0, age) / cfg.rules().rampUs();
    }

    /** Whether the server may be sent so much work now. */
    boolean hasRoom(long now, Server s, double work, double meanWork) {
        if (warmth(s, now) >= 1) return true;
        long slot = slot(s, now);
        long slotStart = s.startedAt + slot * slotUs();
        double capacity = warmth(s, slotStart) * Math.max(1, s.kind.cores) / s.kind.slow;
        double budget =
                USED_PART * cfg.rules().fallMultiple() * capacity * cfg.rules().fallWindowUs();
        long requests = (long) (budget / (sampling ? 1.5 : 3) / meanWork);
        long turn = Math.floorMod(cfg.me() - Policy.mix(s.id.hashCode(), (int) slot), cfg.balancers());
        long own = requests / cfg.balancers() + (turn < requests % cfg.balancers() ? 1 : 0);
        long spacing = sampling ? cfg.rules().fallWindowUs() / 4 / Math.max(1, requests) : 0;
        double sent = s.coldSlot == slot ? s.coldSent : 0;
        boolean due = own > 0 && now >= slotStart + turn * spacing;
        return due && work <= MOST_WORK * meanWork && (sent == 0 || sent + work <= own * meanWork);
    }

    /** So much work is sent to it now. */
    void sent(long now, Server s, double work) {
        long slot = slot(s, now);
        s.coldSent = work + (slot == s.coldSlot ? s.coldSent : 0);
        s.coldSlot = slot;
    }

    /**
     * Whether what was sent then may begin only now, its connection having taken its time: it counts
     * in the slot in which it begins.
     */
    boolean mayBegin(long now, Server s, long sentAt, double work, double meanWork) {
        boolean late = now - sentAt > cfg.rules().fallWindowUs() / SAME_SLOT_PART;
        if (!late || warmth(s, now) >= 1 || slot(s, sentAt) == slot(s, now)) return true;
        if (!hasRoom(now, s, work, meanWork)) return false;
        sent(now, s, work);
        return true;
    }

    private long slot(Server s, long now) {
        return Math.max(0, now - s.startedAt) / slotUs();
    }

    /** Half of the window in which too much work brings a cold server down, however short that is. */
    private long slotUs() {
        return Math.max(1, cfg.rules().fallWindowUs() / 2);
    }
}

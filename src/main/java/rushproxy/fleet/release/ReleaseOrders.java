package rushproxy.fleet.release;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.Balancer.Upstream;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Environment;
import rushproxy.fleet.shared.ReplicatedStore;
import rushproxy.fleet.shared.StoredEntry;
import rushproxy.fleet.shared.Table;

/**
 * The orders of releases as one sidecar knows and follows them. They come by a call to it or by the store, and hold without a
 * word of anybody for {@link #ISOLATION_TIMEOUT_US}; then the new servers get their safe weight. Without I/O; one thread.
 */
public final class ReleaseOrders {
    /** A sidecar that hears nobody keeps the last order for so long: longer than a controller's restart, shorter than a night. */
    public static final long ISOLATION_TIMEOUT_US = 300_000_000;

    private final ReplicatedStore store;
    private final Environment host;
    private final Map<Long, ReleaseOrder> known = new HashMap<>();
    private long heardUs;
    private boolean safe;

    public ReleaseOrders(ReplicatedStore store, long nowUs, Environment host) {
        this.store = store;
        this.host = host;
        heardUs = nowUs;
    }

    /** Takes an order and tells the fleet; null, or why it is refused: an order of a later epoch or step is known. */
    public String submit(long nowUs, ReleaseOrder order) {
        heardUs = nowUs;
        refresh(nowUs, true);
        ReleaseOrder before = known.get(Envelope.idOf(order.release()));
        if (before != null
                && (order.epoch() < before.epoch()
                        || order.epoch() == before.epoch() && order.step() < before.step())) {
            return "epoch " + before.epoch() + ", step " + before.step() + " is known";
        }
        if (before != null && order.epoch() == before.epoch() && order.step() == before.step()) {
            return order.equals(before) ? null : "another order of this epoch and step is known";
        }
        store.put(nowUs, Table.ORDERS, Envelope.idOf(order.release()), order.encode());
        refresh(nowUs, true);
        return null;
    }

    /** What is known now. {@code heard}: somebody was heard of late, so the orders are what the fleet has. */
    public Collection<ReleaseOrder> refresh(long nowUs, boolean heard) {
        heardUs = heard ? nowUs : heardUs;
        Map<Long, ReleaseOrder> now = new HashMap<>();
        for (StoredEntry r : store.readAll(nowUs, Table.ORDERS)) {
            ReleaseOrder o = ReleaseOrder.decode(r.value());
            if (o != null && Envelope.idOf(o.release()) == r.key()) {
                now.put(r.key(), o);
            }
        }
        now.forEach((key, order) -> {
            if (!order.equals(known.get(key))) {
                host.logEvent(
                        "release " + order.release() + ", epoch " + order.epoch() + ", step " + order.step() + ": "
                                + order.state().name().toLowerCase(java.util.Locale.ROOT) + ", weight " + order.weight()
                                + " for "
                                + order.selector().expression());
            }
        });
        known.clear();
        known.putAll(now);
        boolean late = nowUs - heardUs > ISOLATION_TIMEOUT_US;
        if (late != safe) {
            safe = late;
            host.logEvent(
                    late
                            ? "nobody was heard for " + ISOLATION_TIMEOUT_US / 1_000_000
                                    + " s: releases are at their safe weights"
                            : "somebody is heard again: releases are as ordered");
        }
        return List.copyOf(known.values());
    }

    /** Weights below 1 by server's id; of one that is in two releases the lower. */
    public Map<String, Double> weights(Collection<Upstream> servers) {
        Map<String, Double> weights = new HashMap<>();
        for (ReleaseOrder o : known.values()) {
            // Done: the release is what there is.
            double weight =
                    o.state() == ReleaseOrder.State.DONE ? 1 : safe ? Math.min(o.safeWeight(), o.weight()) : o.weight();
            for (Upstream u : servers) {
                if (weight < 1 && o.selector().matches(u)) {
                    weights.merge(u.id(), weight, Math::min);
                }
            }
        }
        return weights;
    }

    /** The releases that a server is new in; control to none of these. */
    public List<String> releasesOf(Upstream u) {
        List<String> of = new ArrayList<>();
        known.values().stream()
                .filter(o ->
                        o.state() != ReleaseOrder.State.DONE && o.selector().matches(u))
                .forEach(o -> of.add(o.release()));
        return of;
    }
}

package rushproxy.fleet.release;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.Balancer.Upstream;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Host;
import rushproxy.fleet.shared.Read;
import rushproxy.fleet.shared.Store;
import rushproxy.fleet.shared.Table;

/**
 * The orders of releases as one sidecar knows and follows them. They come by a call to it or by the store, and hold without a
 * word of anybody for {@link #KEEPS_US}; then the new servers get their safe weight. Without I/O; one thread.
 */
public final class Orders {
    /** A sidecar that hears nobody keeps the last order for so long: longer than a controller's restart, shorter than a night. */
    public static final long KEEPS_US = 300_000_000;

    private final Store store;
    private final Host host;
    private final Map<Long, Order> known = new HashMap<>();
    private long heardUs;
    private boolean safe;

    public Orders(Store store, long nowUs, Host host) {
        this.store = store;
        this.host = host;
        heardUs = nowUs;
    }

    /** Takes an order and tells the fleet; null, or why it is refused: an order of a later epoch or step is known. */
    public String give(long nowUs, Order order) {
        heardUs = nowUs;
        look(nowUs, true);
        Order before = known.get(Envelope.id(order.release()));
        if (before != null
                && (order.epoch() < before.epoch()
                        || order.epoch() == before.epoch() && order.step() < before.step())) {
            return "epoch " + before.epoch() + ", step " + before.step() + " is known";
        }
        if (before != null && order.epoch() == before.epoch() && order.step() == before.step()) {
            return order.equals(before) ? null : "another order of this epoch and step is known";
        }
        store.put(nowUs, Table.ORDERS, Envelope.id(order.release()), order.bytes());
        look(nowUs, true);
        return null;
    }

    /** What is known now. {@code heard}: somebody was heard of late, so the orders are what the fleet has. */
    public Collection<Order> look(long nowUs, boolean heard) {
        heardUs = heard ? nowUs : heardUs;
        Map<Long, Order> now = new HashMap<>();
        for (Read r : store.all(nowUs, Table.ORDERS)) {
            Order o = Order.of(r.value());
            if (o != null && Envelope.id(o.release()) == r.key()) {
                now.put(r.key(), o);
            }
        }
        now.forEach((key, order) -> {
            if (!order.equals(known.get(key))) {
                host.note("release " + order.release() + ", epoch " + order.epoch() + ", step " + order.step() + ": "
                        + order.state().name().toLowerCase(java.util.Locale.ROOT) + ", weight " + order.weight()
                        + " for "
                        + order.whom().words());
            }
        });
        known.clear();
        known.putAll(now);
        boolean late = nowUs - heardUs > KEEPS_US;
        if (late != safe) {
            safe = late;
            host.note(
                    late
                            ? "nobody was heard for " + KEEPS_US / 1_000_000 + " s: releases are at their safe weights"
                            : "somebody is heard again: releases are as ordered");
        }
        return List.copyOf(known.values());
    }

    /** Weights below 1 by server's id; of one that is in two releases the lower. */
    public Map<String, Double> weights(Collection<Upstream> servers) {
        Map<String, Double> weights = new HashMap<>();
        for (Order o : known.values()) {
            // Done: the release is what there is.
            double weight = o.state() == Order.State.DONE ? 1 : safe ? Math.min(o.safe(), o.weight()) : o.weight();
            for (Upstream u : servers) {
                if (weight < 1 && o.whom().takes(u)) {
                    weights.merge(u.id(), weight, Math::min);
                }
            }
        }
        return weights;
    }

    /** The releases that a server is new in; control to none of these. */
    public List<String> of(Upstream u) {
        List<String> of = new ArrayList<>();
        known.values().stream()
                .filter(o -> o.state() != Order.State.DONE && o.whom().takes(u))
                .forEach(o -> of.add(o.release()));
        return of;
    }
}

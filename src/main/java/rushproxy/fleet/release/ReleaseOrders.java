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
    private final Environment environment;
    private final Map<Long, ReleaseOrder> orders = new HashMap<>();
    private long lastContactUs;
    private boolean usesSafeWeights;

    public ReleaseOrders(ReplicatedStore store, long nowUs, Environment environment) {
        this.store = store;
        this.environment = environment;
        lastContactUs = nowUs;
    }

    /** Takes an order and tells the fleet; null, or why it is refused: an order of a later epoch or step is known. */
    public String submit(long nowUs, ReleaseOrder order) {
        lastContactUs = nowUs;
        refresh(nowUs, true);
        ReleaseOrder current = orders.get(Envelope.idOf(order.release()));
        if (current != null
                && (order.epoch() < current.epoch()
                        || order.epoch() == current.epoch() && order.step() < current.step())) {
            return "epoch " + current.epoch() + ", step " + current.step() + " is known";
        }
        if (current != null && order.epoch() == current.epoch() && order.step() == current.step()) {
            return order.equals(current) ? null : "another order of this epoch and step is known";
        }
        store.put(nowUs, Table.ORDERS, Envelope.idOf(order.release()), order.encode());
        refresh(nowUs, true);
        return null;
    }

    /** What is known now. {@code heard}: somebody was heard of late, so the orders are what the fleet has. */
    public Collection<ReleaseOrder> refresh(long nowUs, boolean hasContact) {
        lastContactUs = hasContact ? nowUs : lastContactUs;
        Map<Long, ReleaseOrder> received = new HashMap<>();
        for (StoredEntry r : store.readAll(nowUs, Table.ORDERS)) {
            ReleaseOrder o = ReleaseOrder.decode(r.value());
            if (o != null && Envelope.idOf(o.release()) == r.key()) {
                received.put(r.key(), o);
            }
        }
        received.forEach((key, order) -> {
            if (!order.equals(orders.get(key))) {
                environment.logEvent(
                        "release " + order.release() + ", epoch " + order.epoch() + ", step " + order.step() + ": "
                                + order.state().name().toLowerCase(java.util.Locale.ROOT) + ", weight " + order.weight()
                                + " for "
                                + order.selector().expression());
            }
        });
        orders.clear();
        orders.putAll(received);
        boolean isolated = nowUs - lastContactUs > ISOLATION_TIMEOUT_US;
        if (isolated != usesSafeWeights) {
            usesSafeWeights = isolated;
            environment.logEvent(
                    isolated
                            ? "nobody was heard for " + ISOLATION_TIMEOUT_US / 1_000_000
                                    + " s: releases are at their safe weights"
                            : "somebody is heard again: releases are as ordered");
        }
        return List.copyOf(orders.values());
    }

    /** Weights below 1 by server's id; of one that is in two releases the lower. */
    public Map<String, Double> weights(Collection<Upstream> servers) {
        Map<String, Double> weights = new HashMap<>();
        for (ReleaseOrder o : orders.values()) {
            // Done: the release is what there is.
            double weight = o.state() == ReleaseOrder.State.DONE
                    ? 1
                    : usesSafeWeights ? Math.min(o.safeWeight(), o.weight()) : o.weight();
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
        List<String> releases = new ArrayList<>();
        orders.values().stream()
                .filter(o ->
                        o.state() != ReleaseOrder.State.DONE && o.selector().matches(u))
                .forEach(o -> releases.add(o.release()));
        return releases;
    }
}

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
 * The release orders in force at one sidecar. They arrive by a call or through the store, and remain in force for
 * {@link #ISOLATION_TIMEOUT_US} of isolation; then the new servers get their safe weight. Performs no I/O. Not thread-safe.
 */
public final class ReleaseOrders {
    /** An isolated sidecar keeps the last order for this long: longer than a controller's restart, shorter than a night. */
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

    /** Accepts an order and shares it with the fleet; returns null, or why it is rejected: a later epoch or step is known. */
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

    /** Reads the orders from the store. {@code hasContact}: other members are live, so the orders are those of the fleet. */
    public Collection<ReleaseOrder> refresh(long nowUs, boolean hasContact) {
        lastContactUs = hasContact ? nowUs : lastContactUs;
        Map<Long, ReleaseOrder> received = new HashMap<>();
        for (StoredEntry entry : store.readAll(nowUs, Table.ORDERS)) {
            ReleaseOrder order = ReleaseOrder.decode(entry.value());
            if (order != null && Envelope.idOf(order.release()) == entry.key()) {
                received.put(entry.key(), order);
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
                            ? "no contact to other members for " + ISOLATION_TIMEOUT_US / 1_000_000
                                    + " s: releases use their safe weights"
                            : "contact to other members again: releases use their ordered weights");
        }
        return List.copyOf(orders.values());
    }

    /** Weights below 1 by server id; a server in two releases gets the lower one. */
    public Map<String, Double> weights(Collection<Upstream> servers) {
        Map<String, Double> weights = new HashMap<>();
        for (ReleaseOrder order : orders.values()) {
            // After a complete release its servers are ordinary ones.
            double weight = order.state() == ReleaseOrder.State.DONE
                    ? 1
                    : usesSafeWeights ? Math.min(order.safeWeight(), order.weight()) : order.weight();
            for (Upstream server : servers) {
                if (weight < 1 && order.selector().matches(server)) {
                    weights.merge(server.id(), weight, Math::min);
                }
            }
        }
        return weights;
    }

    /** The unfinished releases that the server belongs to; it is a control server for none of them. */
    public List<String> releasesOf(Upstream server) {
        List<String> releases = new ArrayList<>();
        orders.values().stream()
                .filter(order -> order.state() != ReleaseOrder.State.DONE
                        && order.selector().matches(server))
                .forEach(order -> releases.add(order.release()));
        return releases;
    }
}

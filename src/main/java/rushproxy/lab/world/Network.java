package rushproxy.lab.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import rushproxy.lab.scenario.Scenario;

/**
 * Model of the network between endpoints: delays by zone and region, and the active network faults. An endpoint is a node, a server or
 * {@code discovery}, with its zone. Confined to the world's event loop.
 */
final class Network {
    /** One end of a link; {@code kind} is "nodes", "servers" or "discovery". */
    record Endpoint(String name, String kind, String zone) {}

    /** An active fault; {@code from} and {@code to} are the scenario's selectors. */
    private record ActiveFault(Object key, String what, List<String> from, List<String> to, double factor) {}

    private final Scenario.Network spec;
    private final UniformRandomProvider random;
    private final List<ActiveFault> activeFaults = new ArrayList<>();

    Network(Scenario.Network spec, UniformRandomProvider random) {
        this.spec = spec;
        this.random = random;
    }

    void startFault(Scenario.Fault fault) {
        activeFaults.add(new ActiveFault(fault, fault.what(), fault.from(), fault.to(), fault.factor()));
    }

    void endFault(Scenario.Fault fault) {
        activeFaults.removeIf(a -> a.key == fault);
    }

    private static boolean matches(List<String> selectors, Endpoint end) {
        for (String selector : selectors) {
            int colon = selector.indexOf(':');
            boolean matches = switch (colon < 0 ? selector : selector.substring(0, colon)) {
                case "all" -> true;
                case "zone" -> selector.substring(colon + 1).equals(end.zone);
                case "nodes", "servers" ->
                    selector.startsWith(end.kind)
                            && selector.substring(colon + 1).equals(end.zone);
                default -> selector.equals(end.name);
            };
            if (matches) {
                return true;
            }
        }
        return false;
    }

    /** Whether no data passes from one endpoint to the other. A cut with factor 2 acts in both directions. */
    boolean isCut(Endpoint from, Endpoint to) {
        for (ActiveFault a : activeFaults) {
            if (a.what.equals("cut")
                    && (matches(a.from, from) && matches(a.to, to)
                            || a.factor == 2 && matches(a.from, to) && matches(a.to, from))) {
                return true;
            }
        }
        return false;
    }

    /** Whether the fault affects the link between both endpoints, in either order. */
    static boolean affectsLinkBetween(Scenario.Fault fault, Endpoint a, Endpoint b) {
        return matches(fault.from(), a) && matches(fault.to(), b) || matches(fault.from(), b) && matches(fault.to(), a);
    }

    /** Draws the one-way delay of a packet sent now, in microseconds. */
    long delayUs(Endpoint from, Endpoint to) {
        double ms = from.zone.equals(to.zone)
                ? spec.sameMs()
                : region(from).equals(region(to)) ? spec.crossMs() : spec.regionMs();
        for (ActiveFault a : activeFaults) {
            if (a.what.equals("delay")
                    && (matches(a.from, from) && matches(a.to, to) || matches(a.from, to) && matches(a.to, from))) {
                ms += a.factor;
            }
        }
        return Math.round(1_000 * ms * (1 + spec.jitter() * random.nextDouble()));
    }

    private String region(Endpoint end) {
        return spec.regions().getOrDefault(end.zone, end.zone);
    }

    /** Draws how many copies of a datagram arrive: 0 if it is lost, otherwise 1 or 2. */
    int copies(Endpoint from, Endpoint to) {
        double loss = spec.peerLoss();
        for (ActiveFault a : activeFaults) {
            if (a.what.equals("peer-loss")
                    && (matches(a.from, from) && matches(a.to, to) || matches(a.from, to) && matches(a.to, from))) {
                loss = 1 - (1 - loss) * (1 - a.factor);
            }
        }
        if (isCut(from, to) || random.nextDouble() < loss) {
            return 0;
        }
        return random.nextDouble() < spec.peerTwice() ? 2 : 1;
    }

    /** Draws the delay of a peer datagram; its random part lets datagrams overtake each other. */
    long peerDelayUs(Endpoint from, Endpoint to) {
        return delayUs(from, to) + Math.round(1_000 * spec.peerLateMs() * random.nextDouble());
    }

    /** The region of each zone for which the scenario names one. */
    Map<String, String> regions() {
        return spec.regions();
    }
}

package rushproxy.lab.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import rushproxy.lab.scenario.Scenario;

/**
 * What the network does to what passes from one end to another: delay by zones and regions, and the faults that are on.
 * An end is a node, a server or {@code discovery}, with its zone. Belongs to the world's event loop.
 */
final class Network {
    /** An end of a link. {@code kind}: "nodes", "servers" or "discovery". */
    record Endpoint(String name, String kind, String zone) {}

    /** A fault that is on. {@code from} and {@code to} are as the scenario names them. */
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

    private static boolean matches(List<String> ends, Endpoint end) {
        for (String e : ends) {
            int colon = e.indexOf(':');
            boolean is = switch (colon < 0 ? e : e.substring(0, colon)) {
                case "all" -> true;
                case "zone" -> e.substring(colon + 1).equals(end.zone);
                case "nodes", "servers" ->
                    e.startsWith(end.kind) && e.substring(colon + 1).equals(end.zone);
                default -> e.equals(end.name);
            };
            if (is) {
                return true;
            }
        }
        return false;
    }

    /** Whether what is on its way from the one to the other stays where it is. A cut with factor 2 goes both ways. */
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

    /** A fault that both ends feel, in whichever order it names them. */
    static boolean affectsLinkBetween(Scenario.Fault fault, Endpoint a, Endpoint b) {
        return matches(fault.from(), a) && matches(fault.to(), b) || matches(fault.from(), b) && matches(fault.to(), a);
    }

    /** One-way delay now, in microseconds. */
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

    /** How often a datagram arrives: 0 where it is lost, else 1 or 2. */
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

    /** Datagrams overtake each other within this. */
    long peerDelayUs(Endpoint from, Endpoint to) {
        return delayUs(from, to) + Math.round(1_000 * spec.peerLateMs() * random.nextDouble());
    }

    /** For reports: the regions that the scenario names. */
    Map<String, String> regions() {
        return spec.regions();
    }
}

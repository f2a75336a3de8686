package rushproxy.sidecar;

import java.util.Locale;
import rushproxy.Balancer.Scope;
import rushproxy.Balancer.Settings;
import rushproxy.fleet.shared.FleetLimits;

/** Limits as the configuration and the operators write them. */
final class LimitWords {
    private LimitWords() {}

    /**
     * {@code of} is {@code all}, {@code class:NAME} or {@code tenant:NAME}, {@code per} is {@code per_second} or {@code
     * in_flight}. Throws with what is wrong: another word, a class that there is not, a number that is no limit, too long a name.
     */
    static FleetLimits.Limit limit(String name, String of, String per, double most, Settings settings) {
        int colon = of.indexOf(':');
        Scope scope = switch (colon < 0 ? of : of.substring(0, colon)) {
            case "all" -> Scope.ALL;
            case "class" -> Scope.CLASS;
            case "tenant" -> Scope.TENANT;
            default -> throw new IllegalArgumentException("'" + of + "' is not all, class:NAME or tenant:NAME");
        };
        String whom = colon < 0 ? "" : of.substring(colon + 1);
        if (scope == Scope.ALL != whom.isEmpty()) {
            throw new IllegalArgumentException("'" + of + "' is not all, class:NAME or tenant:NAME");
        }
        if (scope == Scope.CLASS
                && settings.classes().stream().noneMatch(c -> c.name().equals(whom))) {
            throw new IllegalArgumentException("no class '" + whom + "'");
        }
        if (!per.equals("per_second") && !per.equals("in_flight")) {
            throw new IllegalArgumentException("'" + per + "' is not per_second or in_flight");
        }
        if (!(most >= 0 && most < 1e9)) {
            throw new IllegalArgumentException(most + " is no limit");
        }
        if (!name.matches("[A-Za-z0-9._-]{1,24}")) {
            throw new IllegalArgumentException("'" + name + "' is no name of 1 to 24 letters, digits, '.', '_', '-'");
        }
        return FleetLimits.validated(new FleetLimits.Limit(name, scope, whom, per.equals("in_flight"), most));
    }

    static String words(FleetLimits.Limit l) {
        return (l.scope() == Scope.ALL ? "all" : l.scope().name().toLowerCase(Locale.ROOT) + ":" + l.subject());
    }
}

package rushproxy.sidecar;

import java.util.Locale;
import rushproxy.Balancer.LimitScope;
import rushproxy.Balancer.Settings;
import rushproxy.fleet.shared.FleetLimits;

/** Parses and formats limits as written in the configuration and in admin commands. */
final class LimitSyntax {
    private LimitSyntax() {}

    /**
     * @param scopeText {@code all}, {@code class:NAME} or {@code tenant:NAME}
     * @param unit {@code per_second} or {@code in_flight}
     * @throws IllegalArgumentException if an argument is invalid or the class is unknown
     */
    static FleetLimits.Limit parse(String name, String scopeText, String unit, double maximum, Settings settings) {
        int colon = scopeText.indexOf(':');
        LimitScope scope = switch (colon < 0 ? scopeText : scopeText.substring(0, colon)) {
            case "all" -> LimitScope.ALL;
            case "class" -> LimitScope.CLASS;
            case "tenant" -> LimitScope.TENANT;
            default -> throw new IllegalArgumentException("'" + scopeText + "' is not all, class:NAME or tenant:NAME");
        };
        String subject = colon < 0 ? "" : scopeText.substring(colon + 1);
        if (scope == LimitScope.ALL != subject.isEmpty()) {
            throw new IllegalArgumentException("'" + scopeText + "' is not all, class:NAME or tenant:NAME");
        }
        if (scope == LimitScope.CLASS
                && settings.classes().stream().noneMatch(c -> c.name().equals(subject))) {
            throw new IllegalArgumentException("unknown class '" + subject + "'");
        }
        if (!unit.equals("per_second") && !unit.equals("in_flight")) {
            throw new IllegalArgumentException("'" + unit + "' is not per_second or in_flight");
        }
        if (!(maximum >= 0 && maximum < 1e9)) {
            throw new IllegalArgumentException(maximum + " is not a valid limit");
        }
        if (!name.matches("[A-Za-z0-9._-]{1,24}")) {
            throw new IllegalArgumentException(
                    "'" + name + "' is not a name of 1 to 24 letters, digits, '.', '_', '-'");
        }
        return FleetLimits.validated(new FleetLimits.Limit(name, scope, subject, unit.equals("in_flight"), maximum));
    }

    static String formatScope(FleetLimits.Limit limit) {
        return (limit.scope() == LimitScope.ALL
                ? "all"
                : limit.scope().name().toLowerCase(Locale.ROOT) + ":" + limit.subject());
    }
}

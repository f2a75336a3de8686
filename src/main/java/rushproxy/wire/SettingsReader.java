package rushproxy.wire;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushproxy.Balancer.DedupScope;
import rushproxy.Balancer.Limits;
import rushproxy.Balancer.LoadReporting;
import rushproxy.Balancer.Prices;
import rushproxy.Balancer.RequestClass;
import rushproxy.Balancer.Rules;
import rushproxy.Balancer.Semantics;
import rushproxy.Balancer.Settings;
import rushproxy.Balancer.Tenant;

/**
 * Reads settings from path=value pairs, which come from an {@code ENLIST} message or a sidecar's configuration. Unknown paths
 * are ignored.
 */
public final class SettingsReader {
    private final Map<String, String> values;

    /** {@code values} by path: lists of plain values are joined by commas, lists of objects have a {@code count} and indexed elements. */
    public SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    SettingsReader(Fields fields) {
        this(new HashMap<>());
        while (fields.hasMore()) {
            String pair = fields.nextText();
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                throw new WireException("setting '" + pair + "' is not of the form path=value");
            }
            values.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
    }

    public Settings read() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < (int) requiredNumber("profiles.count"); i++) {
            String prefix = "profiles." + i + ".";
            classes.add(new RequestClass(
                    requiredText(prefix + "name"),
                    semantics(requiredText(prefix + "semantics")),
                    dedupScope(values.getOrDefault(prefix + "group", "all")),
                    (long) numberOr(prefix + "window_us", 0),
                    (long) requiredNumber(prefix + "objective_us"),
                    numberOr(prefix + "aim_stretch", 0),
                    (long) requiredNumber(prefix + "give_up_us"),
                    numberOr(prefix + "importance", 1),
                    numberOr(prefix + "late_worth", 0),
                    booleanOr(prefix + "stream", false)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < (int) numberOr("accounts.count", 0); i++) {
            String prefix = "accounts." + i + ".";
            tenants.add(new Tenant(
                    requiredText(prefix + "name"), numberOr(prefix + "share", 0), numberOr(prefix + "quota_rps", 0)));
        }
        Limits limits = new Limits(
                (int) numberOr("limits.max_attempts", 1),
                booleanOr("limits.second_copies", false),
                booleanOr("limits.cancelling", false),
                booleanOr("limits.probing", false),
                booleanOr("limits.peers", false),
                booleanOr("limits.retry_after", false),
                (long) numberOr("limits.max_retry_after_us", 0),
                (long) numberOr("limits.conn_idle_us", 15_000_000),
                numberOr("limits.cpu_us_per_request", 0));
        Rules rules = new Rules(
                (long) requiredNumber("rules.drain_grace_us"),
                requiredNumber("rules.cold_share"),
                (long) requiredNumber("rules.ramp_time_us"),
                requiredNumber("rules.fall_multiple"),
                (long) requiredNumber("rules.fall_us"),
                (long) numberOr("rules.ask_every_us", 0),
                (long) numberOr("rules.answer_slack_us", 0),
                (long) numberOr("rules.close_on_drain_within_us", 0));
        Prices prices = new Prices(
                numberOr("tariffs.cross_zone", 0),
                numberOr("tariffs.peer", 0),
                numberOr("tariffs.probe", 0),
                numberOr("tariffs.connection", 0),
                numberOr("tariffs.handshake", 0));
        return new Settings(
                (int) requiredNumber("me"),
                (int) requiredNumber("balancers"),
                requiredText("zone"),
                Arrays.asList(values.getOrDefault("azs", requiredText("zone")).split(",")),
                Arrays.asList(values.getOrDefault("kinds", "").split(",")),
                classes,
                tenants,
                limits,
                rules,
                loadReporting(values.getOrDefault("load_info.how", "off")),
                values.getOrDefault("discovery", "pushed").equals("on_request"),
                values.getOrDefault("counted_by", "request").equals("work"),
                numberOr("over_share_worth", 1),
                prices,
                (long) numberOr("period_us", 1000));
    }

    /** Timeout of connection setup. */
    public long dialTimeoutUs() {
        return (long) numberOr("limits.dial_timeout_us", 250_000);
    }

    List<String> loadReportFields() {
        return Arrays.asList(values.getOrDefault("load_info.fields", "").split(","));
    }

    private String requiredText(String path) {
        String value = values.get(path);
        if (value == null) {
            throw new WireException("setting '" + path + "' is missing");
        }
        return value;
    }

    private double requiredNumber(String path) {
        requiredText(path);
        return numberOr(path, 0);
    }

    private double numberOr(String path, double defaultValue) {
        String value = values.get(path);
        if (value == null || value.equals("-")) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new WireException("setting '" + path + "' is not a number: '" + value + "'");
        }
    }

    private boolean booleanOr(String path, boolean defaultValue) {
        String value = values.get(path);
        return value == null ? defaultValue : value.equals("true") || value.equals("1");
    }

    private static Semantics semantics(String name) {
        return switch (name) {
            case "safe" -> Semantics.SAFE;
            case "keyed" -> Semantics.KEYED;
            case "unsafe" -> Semantics.UNSAFE;
            default -> throw new WireException("semantics '" + name + "' is unknown");
        };
    }

    private static DedupScope dedupScope(String name) {
        return switch (name) {
            case "all", "-" -> DedupScope.ALL;
            case "zone" -> DedupScope.ZONE;
            case "cell" -> DedupScope.CELL;
            default -> throw new WireException("group '" + name + "' is unknown");
        };
    }

    private static LoadReporting loadReporting(String name) {
        return switch (name) {
            case "inline" -> LoadReporting.INLINE;
            case "on_probe" -> LoadReporting.ON_PROBE;
            default -> LoadReporting.NONE;
        };
    }
}

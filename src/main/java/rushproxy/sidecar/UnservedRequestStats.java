package rushproxy.sidecar;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Counts refused and failed requests by reason, outcomes of their attempts, and age. */
final class UnservedRequestStats {
    /** Ages are reported as the smallest of these limits that they are under. */
    private static final long[] AGE_LIMITS_MS = {10, 100, 1_000};
    /** Any further reasons are counted together. */
    private static final int MAX_REASONS = 64;

    private static final String OTHERS = "others";

    private Map<String, Integer> counts = new TreeMap<>();

    /** {@code reason}: how the request ended. */
    void add(Exchange exchange, String reason, long now) {
        String key = reason + ", attempts " + attempts(exchange) + ", " + age((now - exchange.sentUs) / 1_000);
        boolean separate = counts.size() < MAX_REASONS || counts.containsKey(key);
        counts.merge(separate ? key : OTHERS, 1, Integer::sum);
    }

    private static String attempts(Exchange exchange) {
        return exchange.attempts.stream()
                .map(call -> call.outcome() == null ? "out" : call.outcome().toString())
                .collect(Collectors.joining(" ", "[", "]"));
    }

    private static String age(long ageMs) {
        for (long limitMs : AGE_LIMITS_MS) {
            if (ageMs < limitMs) {
                return "under " + limitMs + " ms";
            }
        }
        return AGE_LIMITS_MS[AGE_LIMITS_MS.length - 1] + " ms and more";
    }

    /** Returns the counts since the last call. */
    Map<String, Integer> takeCounts() {
        Map<String, Integer> last = counts;
        counts = new TreeMap<>();
        return last;
    }
}

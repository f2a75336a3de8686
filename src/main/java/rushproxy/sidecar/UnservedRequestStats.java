package rushproxy.sidecar;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Counts the requests that were refused or failed, by reason and age: what their attempts had come to, and how old they were. */
final class UnservedRequestStats {
    /** Ages are told as the first of these that they are under. */
    private static final long[] AGE_LIMITS_MS = {10, 100, 1_000};
    /** Reasons beyond that are counted together. */
    private static final int MAX_REASONS = 64;

    private static final String OTHERS = "others";

    private Map<String, Integer> counts = new TreeMap<>();

    /** {@code reason}: who ended it, and how. */
    void add(Exchange x, String reason, long now) {
        String key = reason + ", attempts " + attempts(x) + ", " + age((now - x.sentUs) / 1_000);
        boolean room = counts.size() < MAX_REASONS || counts.containsKey(key);
        counts.merge(room ? key : OTHERS, 1, Integer::sum);
    }

    private static String attempts(Exchange x) {
        return x.attempts.stream()
                .map(call -> call.outcome() == null ? "out" : call.outcome().toString())
                .collect(Collectors.joining(" ", "[", "]"));
    }

    private static String age(long ageMs) {
        for (long most : AGE_LIMITS_MS) {
            if (ageMs < most) {
                return "under " + most + " ms";
            }
        }
        return AGE_LIMITS_MS[AGE_LIMITS_MS.length - 1] + " ms and more";
    }

    /** Those since the last call. */
    Map<String, Integer> takeCounts() {
        Map<String, Integer> last = counts;
        counts = new TreeMap<>();
        return last;
    }
}

package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.List;

/**
 * Periods in which something was so, one after the other. Observations are noted when somebody hears of them, so what is judged has to be
 * looked up by its own time, not by what had been noted last when it was noted itself.
 */
final class Intervals {
    private record Period(long sinceUs, long untilUs) {}

    private final List<Period> past = new ArrayList<>();
    /** Null while none lasts. */
    private Long sinceUs;

    /** From now on it is so; nothing changes where it is already. */
    void begin(long us) {
        if (sinceUs == null) {
            sinceUs = us;
        }
    }

    /** From now on it is not so any more. */
    void end(long us) {
        if (sinceUs != null) {
            past.add(new Period(sinceUs, us));
            sinceUs = null;
        }
    }

    /** Whether it was so from the one moment to the other, without a break. */
    boolean covers(long fromUs, long toUs) {
        return sinceUs != null && fromUs >= sinceUs
                || past.stream().anyMatch(p -> fromUs >= p.sinceUs && toUs <= p.untilUs);
    }

    /** When the period began that this moment lies in; null where it lies in none. */
    Long startOfIntervalAt(long us) {
        if (sinceUs != null && us >= sinceUs) {
            return sinceUs;
        }
        return past.stream()
                .filter(p -> us >= p.sinceUs && us < p.untilUs)
                .map(Period::sinceUs)
                .findFirst()
                .orElse(null);
    }
}

package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.List;

/**
 * Consecutive intervals in which a condition held. Observations are recorded when they are noticed, which may be later than they occurred,
 * so an event must be compared with the intervals by its own time and not by its place in the record.
 */
final class Intervals {
    private record Interval(long startUs, long endUs) {}

    private final List<Interval> closed = new ArrayList<>();
    /** Start of the open interval; null if there is none. */
    private Long startUs;

    /** Opens an interval at this time; does nothing if one is open. */
    void begin(long us) {
        if (startUs == null) {
            startUs = us;
        }
    }

    /** Closes the open interval at this time, if there is one. */
    void end(long us) {
        if (startUs != null) {
            closed.add(new Interval(startUs, us));
            startUs = null;
        }
    }

    /** Returns whether one interval covers the whole range. */
    boolean covers(long fromUs, long toUs) {
        return startUs != null && fromUs >= startUs
                || closed.stream().anyMatch(interval -> fromUs >= interval.startUs && toUs <= interval.endUs);
    }

    /** Returns the start of the interval that contains this time, or null if none does. */
    Long startOfIntervalAt(long us) {
        if (startUs != null && us >= startUs) {
            return startUs;
        }
        return closed.stream()
                .filter(interval -> us >= interval.startUs && us < interval.endUs)
                .map(Interval::startUs)
                .findFirst()
                .orElse(null);
    }
}

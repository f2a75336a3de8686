package rushproxy.lab.scale;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Notes when each member has learned of a change: that it sees each of the changed as it should. */
final class ChangeWatch {
    /** Whether one member sees another as it should. */
    interface Sees {
        boolean test(int at, int of);
    }

    private final String change;
    private final List<Integer> changed;
    private final Sees sees;
    private final long sinceUs;
    private final int observers;
    private final List<Integer> waiting;
    private final Histogram tookMs = Spread.histogram();

    ChangeWatch(String change, List<Integer> changed, List<Integer> observers, Sees sees, long nowUs) {
        this.change = change;
        this.changed = changed;
        this.sees = sees;
        this.observers = observers.size();
        waiting = new ArrayList<>(observers);
        sinceUs = nowUs;
    }

    void look(long nowUs) {
        waiting.removeIf(at -> {
            for (int of : changed) {
                if (of != at && !sees.test(at, of)) {
                    return false;
                }
            }
            tookMs.recordValue((nowUs - sinceUs) / 1_000);
            return true;
        });
    }

    ScalePhase.Known known() {
        return new ScalePhase.Known(change, after(0.5), after(0.99), after(1), 0);
    }

    /** Milliseconds until this part of all observers knew; -1 where fewer do. */
    private long after(double part) {
        long wanted = (long) Math.ceil(part * observers);
        return tookMs.getTotalCount() < wanted
                ? -1
                : tookMs.getValueAtPercentile(100.0 * wanted / Math.max(1, tookMs.getTotalCount()));
    }
}

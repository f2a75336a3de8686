package rushproxy.lab.world;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rushproxy.lab.world.Observation.EventType;

/**
 * Everything that was seen in a run, in order. Written by any thread. It is as long as the run's traffic, which is drawn ahead
 * and bounded.
 */
public final class ObservationLog {
    private final List<Observation> observations = new ArrayList<>();
    private final Consumer<Observation> onObservation;
    /** What comes before time begins has negative times. */
    private static final long START_OFFSET_NANOS = 3_600_000_000_000L;

    private long zeroNanos = System.nanoTime() + START_OFFSET_NANOS;

    /** {@code onObservation} hears of every observation at once, under this lock: it must be quick. */
    public ObservationLog(Consumer<Observation> onObservation) {
        this.onObservation = onObservation;
    }

    /** Time begins: what was seen until now was before it, at negative times. */
    public synchronized void startClock(long nanos) {
        zeroNanos = nanos;
    }

    public synchronized long nowUs() {
        return (System.nanoTime() - zeroNanos) / 1_000;
    }

    public void add(
            EventType what,
            String node,
            String server,
            String id,
            String first,
            String text,
            double number,
            long sinceUs) {
        synchronized (this) {
            append(new Observation(nowUs(), what, node, server, id, first, text, number, sinceUs));
        }
    }

    /** A connection to a node ended before its answer; {@code connectsUs}: when it was begun for this request, 0 where it was used before. */
    void addBroken(String node, String id, String first, String how, long connectsUs, long sentUs) {
        synchronized (this) {
            append(new Observation(
                    nowUs(),
                    EventType.BROKE,
                    node,
                    null,
                    id,
                    first,
                    how,
                    connectsUs == 0 ? 1 : 0,
                    sentUs,
                    connectsUs,
                    0));
        }
    }

    /** A server has got a request whole, whose first byte came at {@code first}; it was told to answer within {@code toldMs}, 0 for none. */
    void addReceived(String node, String server, String id, String key, double workMs, ArrivalTime first, long toldMs) {
        synchronized (this) {
            append(new Observation(
                    nowUs(),
                    EventType.GOT,
                    node,
                    server,
                    id,
                    null,
                    key,
                    workMs,
                    first.latestUs(),
                    first.earliestUs() == first.latestUs() ? 0 : first.earliestUs(),
                    toldMs));
        }
    }

    private void append(Observation observation) {
        observations.add(observation);
        onObservation.accept(observation);
    }

    public synchronized List<Observation> all() {
        return List.copyOf(observations);
    }

    public synchronized int size() {
        return observations.size();
    }
}

package rushproxy.lab.world;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rushproxy.lab.world.Observation.EventType;

/**
 * Thread-safe log of all events of a run, in order. It needs no limit of its own: the traffic of a run is generated in advance and
 * bounded.
 */
public final class ObservationLog {
    private final List<Observation> observations = new ArrayList<>();
    private final Consumer<Observation> onObservation;
    /** Until the clock starts, the zero point lies this far ahead, so earlier events have negative times. */
    private static final long PRE_START_OFFSET_NANOS = 3_600_000_000_000L;

    private long zeroNanos = System.nanoTime() + PRE_START_OFFSET_NANOS;

    /** {@code onObservation} is called for each observation while the log's lock is held, so it must be quick. */
    public ObservationLog(Consumer<Observation> onObservation) {
        this.onObservation = onObservation;
    }

    /** Sets the run's time zero; observations made earlier have negative times. */
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

    /** Adds a connection that ended before a complete response; {@code connectStartUs} is 0 if it had served another request before. */
    void addBroken(String node, String id, String first, String how, long connectStartUs, long sentUs) {
        synchronized (this) {
            append(new Observation(
                    nowUs(),
                    EventType.BROKE,
                    node,
                    null,
                    id,
                    first,
                    how,
                    connectStartUs == 0 ? 1 : 0,
                    sentUs,
                    connectStartUs,
                    0));
        }
    }

    /** Adds a completely received request; {@code remainingMs} is the time that it allows for its response, 0 if it names none. */
    void addReceived(
            String node, String server, String id, String key, double workMs, ArrivalTime firstByte, long remainingMs) {
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
                    firstByte.latestUs(),
                    firstByte.earliestUs() == firstByte.latestUs() ? 0 : firstByte.earliestUs(),
                    remainingMs));
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

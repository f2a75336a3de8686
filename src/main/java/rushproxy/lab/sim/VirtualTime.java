package rushproxy.lab.sim;

import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** Time of a simulation: events in the order of their times, and of their making where these are equal. One thread. */
final class VirtualTime {
    /** Some time in 2023: hosts' clocks show Unix time. */
    static final long START_US = 1_700_000_000_000_000L;

    private record Event(long atUs, long number, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowUs = START_US;
    private long count;
    private LongConsumer each = us -> {};

    /** Unix time. */
    long now() {
        return nowUs;
    }

    /** Since the start. */
    long us() {
        return nowUs - START_US;
    }

    /** At this Unix time, or now where it has passed. */
    void at(long us, Runnable run) {
        events.add(new Event(Math.max(nowUs, us), count++, run));
    }

    void later(long us, Runnable run) {
        at(nowUs + us, run);
    }

    /** Called after each event with the time since the start. */
    void each(LongConsumer each) {
        this.each = each;
    }

    /** Plays until the time since the start. */
    void until(long us) {
        while (!events.isEmpty() && events.peek().atUs <= START_US + us) {
            Event e = events.poll();
            nowUs = e.atUs;
            e.run.run();
            each.accept(us());
        }
        nowUs = START_US + us;
    }
}

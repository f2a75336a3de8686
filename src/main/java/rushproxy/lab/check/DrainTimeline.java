package rushproxy.lab.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import rushproxy.lab.world.Observation;
import rushproxy.lab.world.Observation.EventType;

/** When operators had drained a sidecar, as far as that can be told from their calls and from the starts of its processes. */
final class DrainTimeline {
    /** What holds until the next change. */
    enum State {
        DRAINED,
        NOT_DRAINED,
        /** A call is under way, was not answered or overlapped another. */
        UNKNOWN
    }

    /** A state from a time on. {@code sinceUs}: when the drain was requested, if it is one. */
    record Change(long atUs, State state, long sinceUs) {}

    private static final String REFUSED_CONNECTION = " -> no answer: Connection refused";

    private final List<Change> changes = new ArrayList<>();

    /** Builds the timeline of one node. */
    static DrainTimeline of(RecordedRun run, String node) {
        DrainTimeline timeline = new DrainTimeline();
        timeline.changes.add(new Change(Long.MIN_VALUE, State.NOT_DRAINED, 0));
        // In the order of their beginnings: a call changes the state from its sending on.
        List<Observation> events = run.observations().stream()
                .filter(o -> node.equals(o.node()) && (isDrainCall(o) || o.what() == EventType.NODE))
                .sorted(java.util.Comparator.comparingLong(DrainTimeline::startUs))
                .toList();
        Set<Double> running = new HashSet<>();
        for (Observation event : events) {
            if (event.what() == EventType.CALLED) {
                timeline.addCall(event);
            } else {
                timeline.addProcessEvent(event, running);
            }
        }
        return timeline;
    }

    /** The nodes whose operators have drained or resumed them. */
    static Set<String> nodesOf(RecordedRun run) {
        Set<String> nodes = new TreeSet<>();
        run.observations().stream().filter(DrainTimeline::isDrainCall).forEach(o -> nodes.add(o.node()));
        return nodes;
    }

    private static long startUs(Observation event) {
        return event.what() == EventType.CALLED ? event.sinceUs() : event.us();
    }

    private static boolean isDrainCall(Observation o) {
        return o.what() == EventType.CALLED
                && (o.text().startsWith("quiesce ") || o.text().startsWith("resume "))
                && !o.text().contains(" -> NAK")
                && !o.text().contains(REFUSED_CONNECTION);
    }

    private Change last() {
        return changes.get(changes.size() - 1);
    }

    private void addCall(Observation call) {
        State requested = call.text().startsWith("quiesce ") ? State.DRAINED : State.NOT_DRAINED;
        if (last().state == requested && last().atUs <= call.sinceUs()) {
            return;
        }
        boolean overlaps = last().atUs > call.sinceUs();
        boolean isAnswered = call.text().contains(" -> ACK");
        if (overlaps) {
            Change earlier = changes.remove(changes.size() - 1);
            changes.add(new Change(Math.max(earlier.atUs, call.us()), State.UNKNOWN, 0));
            return;
        }
        changes.add(new Change(call.sinceUs(), State.UNKNOWN, 0));
        if (isAnswered) {
            changes.add(new Change(call.us(), requested, call.us()));
        }
    }

    /** A process that starts beside none finds an empty folder, so that no drain is left. */
    private void addProcessEvent(Observation event, Set<Double> running) {
        switch (event.text()) {
            case "started" -> {
                if (running.isEmpty()) {
                    changes.add(new Change(event.us(), State.NOT_DRAINED, 0));
                }
                running.add(event.number());
            }
            case "term", "kill" -> running.remove(event.number());
            default -> {
                // Nothing begins or ends.
            }
        }
    }

    private int indexAt(long us) {
        int index = 0;
        while (index + 1 < changes.size() && changes.get(index + 1).atUs <= us) {
            index++;
        }
        return index;
    }

    /** Whether the sidecar was not drained in the whole range. */
    boolean isNotDrained(long fromUs, long toUs) {
        int from = indexAt(fromUs);
        return from == indexAt(toUs) && changes.get(from).state == State.NOT_DRAINED;
    }

    /** The drains whose request was answered, each with its end as the next change. */
    List<Drain> drains(long endUs) {
        List<Drain> drains = new ArrayList<>();
        for (int i = 0; i < changes.size(); i++) {
            if (changes.get(i).state == State.DRAINED) {
                drains.add(new Drain(changes.get(i).sinceUs, i + 1 < changes.size() ? changes.get(i + 1).atUs : endUs));
            }
        }
        return drains;
    }

    /** From the answer to the request until anything may have ended it. */
    record Drain(long sinceUs, long untilUs) {}
}

package rushproxy.sidecar;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import rushproxy.Balancer.Upstream;

/**
 * Converts the start times of upstreams from wall clock time, as listed by discovery, to module time. Either clock may have been stepped,
 * so only the first lists of a process are compared with this machine's wall clock; a start in the future counts as now. A start time
 * that is reported later, whatever its value, means that the upstream has just started.
 */
final class StartTimes {
    /** Upstreams that have left the list are remembered up to this number, in case they return with the same start time. */
    private static final int MAX_REMEMBERED_GONE = 4_096;

    private record Start(long reportedUs, long startedUs) {}

    private final Clock clock;
    private final LongSupplier wallClockMs;
    private final Map<String, Start> starts = new LinkedHashMap<>();
    private Set<String> listed = new HashSet<>();
    /** Until the first list from discovery, reported starts may be older than this process. */
    private boolean isInitial = true;

    StartTimes(Clock clock, LongSupplier wallClockMs) {
        this.clock = clock;
        this.wallClockMs = wallClockMs;
    }

    /** Converts the list that the process was started with. Discovery's first list is still compared with the wall clock. */
    UpstreamList fromInitialList(UpstreamList list) {
        return translate(list);
    }

    /** Converts a list from discovery. */
    UpstreamList fromDiscovery(UpstreamList list) {
        UpstreamList translated = translate(list);
        isInitial = false;
        return translated;
    }

    private UpstreamList translate(UpstreamList list) {
        List<UpstreamList.Entry> entries = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (UpstreamList.Entry e : list.entries()) {
            named.add(e.upstream().id());
            entries.add(new UpstreamList.Entry(translate(e.upstream()), e.address()));
        }
        if (list.isFull()) {
            listed = named;
        } else {
            listed.addAll(named);
        }
        forgetGone();
        return new UpstreamList(list.generation(), list.isFull(), entries);
    }

    private Upstream translate(Upstream u) {
        Start start = starts.get(u.id());
        if (start == null || start.reportedUs != u.startedUs()) {
            start = new Start(u.startedUs(), toModuleTime(u.startedUs()));
            starts.put(u.id(), start);
        }
        return new Upstream(u.id(), u.zone(), u.kind(), u.cell(), start.startedUs, u.weight(), u.state());
    }

    private long toModuleTime(long reportedUs) {
        if (reportedUs <= 0) {
            return reportedUs;
        }
        long now = clock.nowUs();
        long ageUs = isInitial ? Math.max(0, wallClockMs.getAsLong() * 1000 - reportedUs) : 0;
        return Math.max(1, now - ageUs);
    }

    private void forgetGone() {
        int gone = starts.size() - listed.size();
        if (gone > MAX_REMEMBERED_GONE) {
            starts.keySet().removeIf(id -> !listed.contains(id));
        }
    }
}

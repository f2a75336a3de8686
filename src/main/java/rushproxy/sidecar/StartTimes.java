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
 * When upstreams started, in module time. Lists tell it by a wall clock, which may have been stepped here or there. Only the
 * first lists of a process are compared with this machine's wall clock, and a start in the future is one of now. A start that
 * is told later is news of the moment in which it is told, whatever its number says.
 */
final class StartTimes {
    /** Upstreams that have left the list are remembered for a return with the same start, up to so many. */
    private static final int MOST_GONE = 4_096;

    private record Start(long toldUs, long startedUs) {}

    private final Clock clock;
    private final LongSupplier wallMs;
    private final Map<String, Start> starts = new LinkedHashMap<>();
    private Set<String> listed = new HashSet<>();
    /** Whether what is told is still what was so before this process began to listen. */
    private boolean first = true;

    StartTimes(Clock clock, LongSupplier wallMs) {
        this.clock = clock;
        this.wallMs = wallMs;
    }

    /** The list that the process was started with: discovery's own first one is compared with the wall clock as well. */
    UpstreamList known(UpstreamList list) {
        return translate(list);
    }

    /** A list from discovery. */
    UpstreamList told(UpstreamList list) {
        UpstreamList translated = translate(list);
        first = false;
        return translated;
    }

    private UpstreamList translate(UpstreamList list) {
        List<UpstreamList.Entry> entries = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (UpstreamList.Entry e : list.entries()) {
            named.add(e.upstream().id());
            entries.add(new UpstreamList.Entry(translate(e.upstream()), e.address()));
        }
        if (list.whole()) {
            listed = named;
        } else {
            listed.addAll(named);
        }
        forgetGone();
        return new UpstreamList(list.generation(), list.whole(), entries);
    }

    private Upstream translate(Upstream u) {
        Start known = starts.get(u.id());
        if (known == null || known.toldUs != u.startedUs()) {
            known = new Start(u.startedUs(), startedUs(u.startedUs()));
            starts.put(u.id(), known);
        }
        return new Upstream(u.id(), u.zone(), u.kind(), u.cell(), known.startedUs, u.weight(), u.state());
    }

    private long startedUs(long toldUs) {
        if (toldUs <= 0) {
            return toldUs;
        }
        long now = clock.nowUs();
        long ageUs = first ? Math.max(0, wallMs.getAsLong() * 1000 - toldUs) : 0;
        return Math.max(1, now - ageUs);
    }

    private void forgetGone() {
        int gone = starts.size() - listed.size();
        if (gone > MOST_GONE) {
            starts.keySet().removeIf(id -> !listed.contains(id));
        }
    }
}

package rushproxy.fleet.release;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import rushproxy.Balancer.Outcome;
import rushproxy.Balancer.Upstream;

/**
 * What one sidecar sees of each release's new servers and of their control: servers of the same kind and zone that are new in no
 * release. Servers that still warm up count for neither, so both are of the same age. One thread; ends with its sidecar.
 */
public final class ReleaseMonitor {
    /** Of one release: classes by kinds and zones. */
    static final int MAX_STRATA = 64;

    /** Both groups of one stratum. */
    public record TallyPair(Tally candidate, Tally control) {}

    private final ReleaseOrders orders;
    private final long warmUpUs;
    private Map<String, Upstream> servers = Map.of();
    /** Kinds and zones that the releases' new servers are in. */
    private final Map<String, Set<String>> candidateGroups = new HashMap<>();

    private final Map<String, Map<String, TallyPair>> tallies = new HashMap<>();

    /** A server is warm so long after its start. */
    public ReleaseMonitor(ReleaseOrders orders, long warmUpUs) {
        this.orders = orders;
        this.warmUpUs = warmUpUs;
    }

    /** The servers that may be used now; to be told when they or the orders have changed. */
    public void setServers(Collection<Upstream> ready) {
        Map<String, Upstream> byId = new HashMap<>();
        ready.forEach(u -> byId.put(u.id(), u));
        servers = byId;
        candidateGroups.clear();
        for (Upstream u : ready) {
            orders.releasesOf(u)
                    .forEach(release -> candidateGroups
                            .computeIfAbsent(release, r -> new HashSet<>())
                            .add(kindAndZone(u)));
        }
        tallies.keySet().retainAll(candidateGroups.keySet());
    }

    private static String kindAndZone(Upstream u) {
        return u.kind() + " in " + u.zone();
    }

    /** An attempt has ended. Costs next to nothing while there is no release. */
    public void recordAttempt(long nowUs, String server, String requestClass, Outcome outcome, long latencyUs) {
        Upstream u = candidateGroups.isEmpty() ? null : servers.get(server);
        if (u == null || nowUs - u.startedUs() < warmUpUs) {
            return;
        }
        List<String> releases = orders.releasesOf(u);
        candidateGroups.forEach((release, groups) -> {
            boolean isCandidate = releases.contains(release);
            if (!isCandidate && (!releases.isEmpty() || !groups.contains(kindAndZone(u)))) {
                return;
            }
            Map<String, TallyPair> strata = tallies.computeIfAbsent(release, r -> new TreeMap<>());
            String stratum = requestClass + " at " + kindAndZone(u);
            if (!strata.containsKey(stratum) && strata.size() >= MAX_STRATA) {
                return;
            }
            TallyPair pair = strata.computeIfAbsent(stratum, s -> new TallyPair(new Tally(), new Tally()));
            Tally t = isCandidate ? pair.candidate : pair.control;
            switch (outcome) {
                case OK -> t.addSuccess(latencyUs);
                case ERROR, RESET, REJECTED -> t.addFailure();
                case TIMEOUT, CONNECT_FAILED -> t.addTimeout();
                default -> {}
            }
        });
    }

    /** For the controller: a line of values that JSON has, histograms as base64. */
    public List<Map<String, Object>> exportTallies(String release) {
        List<Map<String, Object>> exported = new ArrayList<>();
        tallies.getOrDefault(release, Map.of()).forEach((stratum, pair) -> {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("stratum", stratum);
            entry.put("new", encodeTally(pair.candidate));
            entry.put("control", encodeTally(pair.control));
            exported.add(entry);
        });
        return exported;
    }

    private static List<Object> encodeTally(Tally t) {
        ByteBuffer b = ByteBuffer.allocate(t.latencies().getNeededByteBufferCapacity());
        int length = t.latencies().encodeIntoCompressedByteBuffer(b);
        return List.of(
                t.attempts(),
                t.failures(),
                t.timeouts(),
                Base64.getEncoder().encodeToString(java.util.Arrays.copyOf(b.array(), length)));
    }

    /** The tally that {@code asked}, {@code failed}, {@code silent} and a histogram in base64 are; throws where they are none. */
    public static Tally parseTally(long attempts, long failures, long timeouts, String histogram) {
        try {
            Histogram h = Histogram.decodeFromCompressedByteBuffer(
                    ByteBuffer.wrap(Base64.getDecoder().decode(histogram)), 0);
            if (failures < 0 || timeouts < 0 || attempts != failures + timeouts + h.getTotalCount()) {
                throw new IllegalArgumentException(
                        "a tally of " + attempts + " that adds up to " + (failures + timeouts + h.getTotalCount()));
            }
            return Tally.fromCounts(attempts, failures, timeouts, h);
        } catch (DataFormatException | RuntimeException e) {
            throw new IllegalArgumentException("no tally: " + e.getMessage(), e);
        }
    }
}

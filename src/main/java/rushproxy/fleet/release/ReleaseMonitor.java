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
 * Tallies one sidecar's attempts on each release's new servers (candidates) and their control: servers of the same kind and zone that
 * belong to no release. Servers that are warming up are excluded from both, so that the groups are comparable in age. Tallies are lost
 * when the process ends. Not thread-safe.
 */
public final class ReleaseMonitor {
    /** Strata per release: classes by kinds and zones. */
    static final int MAX_STRATA = 64;

    /** Tallies of both groups of one stratum. */
    public record TallyPair(Tally candidate, Tally control) {}

    private final ReleaseOrders orders;
    private final long warmUpUs;
    private Map<String, Upstream> servers = Map.of();
    /** By release, kinds and zones of its new servers. */
    private final Map<String, Set<String>> candidateGroups = new HashMap<>();

    private final Map<String, Map<String, TallyPair>> tallies = new HashMap<>();

    /** {@code warmUpUs}: time after its start at which a server is warm. */
    public ReleaseMonitor(ReleaseOrders orders, long warmUpUs) {
        this.orders = orders;
        this.warmUpUs = warmUpUs;
    }

    /** Sets the servers that are ready; to be called when they or the orders change. */
    public void setServers(Collection<Upstream> ready) {
        Map<String, Upstream> byId = new HashMap<>();
        ready.forEach(upstream -> byId.put(upstream.id(), upstream));
        servers = byId;
        candidateGroups.clear();
        for (Upstream upstream : ready) {
            orders.releasesOf(upstream)
                    .forEach(release -> candidateGroups
                            .computeIfAbsent(release, r -> new HashSet<>())
                            .add(kindAndZone(upstream)));
        }
        tallies.keySet().retainAll(candidateGroups.keySet());
    }

    private static String kindAndZone(Upstream upstream) {
        return upstream.kind() + " in " + upstream.zone();
    }

    /** Records the outcome of an attempt. Cheap while there is no release. */
    public void recordAttempt(long nowUs, String server, String requestClass, Outcome outcome, long latencyUs) {
        Upstream upstream = candidateGroups.isEmpty() ? null : servers.get(server);
        if (upstream == null || nowUs - upstream.startedUs() < warmUpUs) {
            return;
        }
        List<String> releases = orders.releasesOf(upstream);
        candidateGroups.forEach((release, groups) -> {
            boolean isCandidate = releases.contains(release);
            if (!isCandidate && (!releases.isEmpty() || !groups.contains(kindAndZone(upstream)))) {
                return;
            }
            Map<String, TallyPair> strata = tallies.computeIfAbsent(release, r -> new TreeMap<>());
            String stratum = requestClass + " at " + kindAndZone(upstream);
            if (!strata.containsKey(stratum) && strata.size() >= MAX_STRATA) {
                return;
            }
            TallyPair pair = strata.computeIfAbsent(stratum, s -> new TallyPair(new Tally(), new Tally()));
            Tally tally = isCandidate ? pair.candidate : pair.control;
            switch (outcome) {
                case OK -> tally.addSuccess(latencyUs);
                case ERROR, RESET, REJECTED -> tally.addFailure();
                case TIMEOUT, CONNECT_FAILED -> tally.addTimeout();
                default -> {}
            }
        });
    }

    /** Tallies of a release for its controller, as JSON values with histograms in base64. */
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

    private static List<Object> encodeTally(Tally tally) {
        ByteBuffer b = ByteBuffer.allocate(tally.latencies().getNeededByteBufferCapacity());
        int length = tally.latencies().encodeIntoCompressedByteBuffer(b);
        return List.of(
                tally.attempts(),
                tally.failures(),
                tally.timeouts(),
                Base64.getEncoder().encodeToString(java.util.Arrays.copyOf(b.array(), length)));
    }

    /** Parses the counts and the base64 histogram of a tally; throws if they are inconsistent. */
    public static Tally parseTally(long attempts, long failures, long timeouts, String histogram) {
        try {
            Histogram h = Histogram.decodeFromCompressedByteBuffer(
                    ByteBuffer.wrap(Base64.getDecoder().decode(histogram)), 0);
            if (failures < 0 || timeouts < 0 || attempts != failures + timeouts + h.getTotalCount()) {
                throw new IllegalArgumentException("a tally of " + attempts + " attempts that add up to "
                        + (failures + timeouts + h.getTotalCount()));
            }
            return Tally.fromCounts(attempts, failures, timeouts, h);
        } catch (DataFormatException | RuntimeException e) {
            throw new IllegalArgumentException("invalid tally: " + e.getMessage(), e);
        }
    }
}

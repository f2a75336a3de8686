package rushproxy.fleet.shared;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rushproxy.Balancer.Evidence;
import rushproxy.Balancer.Verdict;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Environment;
import rushproxy.fleet.PeerDirectory;

/**
 * What the fleet says of its servers: each sidecar writes what it has seen itself and nothing that it heard; a verdict needs
 * independent witnesses and ends by itself. Without I/O; one thread.
 *
 * <p>Bounds: at most {@link #MAX_EJECTED_FRACTION} of the servers are out by verdicts, and past it none is (Envoy's panic threshold); a sidecar
 * that accuses more than {@link #MAX_ACCUSED_FRACTION} of them is itself the suspect and counts for none of them. So no one member
 * and no two cost the fleet a server that a third finds good, and no number of them costs it more than that part.
 */
public final class Verdicts {
    /** Witnesses that a verdict needs, with fewer others who find the server good. */
    public static final int MIN_WITNESSES = 2;
    /** Of the listed servers, at most so many are out by verdicts (and one in a small fleet). */
    public static final double MAX_EJECTED_FRACTION = 0.25;
    /** Who accuses more of the servers than this, and at least {@link #MIN_ACCUSED_SERVERS}, sees its own fault. */
    public static final double MAX_ACCUSED_FRACTION = 1 / 3.0;

    private static final int MIN_ACCUSED_SERVERS = 3;
    /** Own evidence is renewed so often, for as long as it is not older than {@link #EVIDENCE_TTL_US}. */
    static final long RENEW_INTERVAL_US = 5_000_000;
    /** A server that is left alone is tried again within 8 s. */
    static final long EVIDENCE_TTL_US = 12_000_000;

    private static final long GOOD_TTL_US = 3_000_000;
    /** So many others tell as much as one more would. */
    private static final int SUFFICIENT_WITNESSES = 3;
    /** What the module was told counts for so long; it is told each second. */
    static final long VERDICT_TTL_US = 2_500_000;

    private static final int VALUE_BYTES = 6;

    /** One voice on a server. */
    public record WitnessReport(long witness, Evidence kind, double factor, int count, int zone, long ageUs) {}

    /** All that is said of one server; {@code reason} tells operators why it holds, or not. */
    public record Assessment(String server, Verdict verdict, List<WitnessReport> reports, String reason) {}

    private static final class LocalEvidence {
        private Evidence kind;
        private double factor;
        private int count;
        private long observedUs;
        private long publishedUs = Long.MIN_VALUE / 2;
        private boolean published;
        /** What the log has of it last, null where that it was taken back. */
        private Evidence loggedKind;
    }

    private final ReplicatedStore store;
    private final long selfId;
    private final int zone;
    private final PeerDirectory peers;
    private final Environment environment;
    private final Map<String, LocalEvidence> localEvidence = new LinkedHashMap<>();
    private Map<Long, String> servers = Map.of();
    private Map<String, Integer> zones = Map.of();
    private Set<Long> suspectedWitnesses = Set.of();
    private boolean panic;
    private Set<String> heldServers = Set.of();

    /** {@code zone} is the own one's number in the settings. */
    public Verdicts(ReplicatedStore store, long selfId, int zone, PeerDirectory peers, Environment environment) {
        this.store = store;
        this.selfId = selfId;
        this.zone = zone;
        this.peers = peers;
        this.environment = environment;
    }

    /** The zones of the servers that are listed as ready, by id, -1 where it is none of the settings': of others nothing is said. */
    public void setServers(Map<String, Integer> ready) {
        Map<Long, String> now = new HashMap<>();
        ready.keySet().forEach(id -> now.put(Envelope.idOf(id), id));
        servers = now;
        zones = Map.copyOf(ready);
        localEvidence.keySet().retainAll(ready.keySet());
    }

    /** Own evidence, fresh at this time. */
    public void recordEvidence(long nowUs, String server, Evidence kind, double factor) {
        if (!servers.containsKey(Envelope.idOf(server))) {
            return;
        }
        LocalEvidence o = localEvidence.computeIfAbsent(server, id -> new LocalEvidence());
        if (o.kind != kind) {
            o.count = 0;
            o.publishedUs = Long.MIN_VALUE / 2;
        }
        o.kind = kind;
        o.factor = factor;
        o.count = Math.min(255, o.count + 1);
        o.observedUs = nowUs;
    }

    /** Writes and renews the own words, and says what holds now. To be called each second, and after evidence. */
    public List<Assessment> evaluate(long nowUs) {
        Map<Long, List<WitnessReport>> reports = collectReports(nowUs);
        updateSuspectedWitnesses(reports);
        publishEvidence(nowUs, reports);
        List<Assessment> assessments = assess(nowUs, reports);
        long ejected = assessments.stream()
                .filter(c -> c.verdict.holds() && c.verdict.kind().out())
                .count();
        boolean tooMany = ejected > Math.max(1, (int) (MAX_EJECTED_FRACTION * servers.size()));
        if (tooMany != panic) {
            panic = tooMany;
            environment.logEvent(
                    tooMany
                            ? "verdicts against " + ejected + " of " + servers.size()
                                    + " servers: too many to believe, none counts"
                            : "verdicts against " + ejected + " of " + servers.size() + " servers: they count again");
        }
        if (panic) {
            assessments.replaceAll(c -> new Assessment(
                    c.server,
                    withHolds(c.verdict, c.verdict.holds() && !c.verdict.kind().out()),
                    c.reports,
                    c.verdict.kind().out() ? "too many at once" : c.reason));
        }
        logChanges(assessments);
        return assessments;
    }

    private static Verdict withHolds(Verdict v, boolean holds) {
        return new Verdict(v.upstream(), v.kind(), v.factor(), v.witnesses(), v.ownWord(), holds, v.untilUs());
    }

    /** All words that count, by server, the own ones with them. */
    private Map<Long, List<WitnessReport>> collectReports(long nowUs) {
        Map<Long, List<WitnessReport>> reports = new TreeMap<>();
        for (StoredEntry r : store.readAll(nowUs, Table.VERDICTS)) {
            if (r.value().length < VALUE_BYTES
                    || !servers.containsKey(r.key())
                    || !r.fresh()
                    || r.writer() != selfId && !peers.isLive(r.writer())) {
                continue;
            }
            ByteBuffer b = ByteBuffer.wrap(r.value());
            int kind = b.get() & 255;
            if (kind < Evidence.values().length) {
                reports.computeIfAbsent(r.key(), k -> new ArrayList<>())
                        .add(new WitnessReport(
                                r.writer(),
                                Evidence.values()[kind],
                                (b.getShort() & 0xFFFF) / 16.0,
                                b.get() & 255,
                                b.get() & 255,
                                r.ageUs()));
            }
        }
        reports.values().forEach(words -> words.sort((a, b) -> Long.compare(a.witness, b.witness)));
        return reports;
    }

    private void updateSuspectedWitnesses(Map<Long, List<WitnessReport>> reports) {
        Map<Long, Integer> accusedCounts = new HashMap<>();
        reports.values()
                .forEach(words -> words.stream()
                        .filter(w -> w.kind.out() || w.kind == Evidence.SLOW)
                        .forEach(w -> accusedCounts.merge(w.witness, 1, Integer::sum)));
        // The store keeps a few witnesses a server: the own evidence is all here.
        accusedCounts.merge(
                selfId,
                (int) localEvidence.values().stream()
                        .filter(o -> o.kind.out() || o.kind == Evidence.SLOW)
                        .count(),
                Math::max);
        Set<Long> suspected = new HashSet<>();
        accusedCounts.forEach((who, count) -> {
            if (count >= MIN_ACCUSED_SERVERS && count > MAX_ACCUSED_FRACTION * servers.size()) {
                suspected.add(who);
            }
        });
        for (long who : suspected) {
            if (!suspectedWitnesses.contains(who)) {
                environment.logEvent((who == selfId ? "this sidecar" : peers.nameOf(who)) + " accuses "
                        + accusedCounts.get(who) + " of "
                        + servers.size() + " servers: "
                        + (who == selfId ? "it is itself the suspect, and tells nobody" : "its word is left out"));
            }
        }
        suspectedWitnesses = suspected;
    }

    private void publishEvidence(long nowUs, Map<Long, List<WitnessReport>> reports) {
        localEvidence.values().removeIf(o -> o.observedUs + EVIDENCE_TTL_US < nowUs && !o.published);
        for (Map.Entry<String, LocalEvidence> e : localEvidence.entrySet()) {
            LocalEvidence o = e.getValue();
            long key = Envelope.idOf(e.getKey());
            List<WitnessReport> serverReports = reports.getOrDefault(key, List.of());
            long others = serverReports.stream()
                    .filter(w -> w.witness != selfId && w.kind == o.kind)
                    .count();
            boolean accused = serverReports.stream().anyMatch(w -> w.witness != selfId && w.kind != Evidence.GOOD);
            boolean fresh = nowUs - o.observedUs < (o.kind == Evidence.GOOD ? GOOD_TTL_US : EVIDENCE_TTL_US);
            boolean publish = fresh
                    && !suspectedWitnesses.contains(selfId)
                    && (o.published || others < SUFFICIENT_WITNESSES)
                    && (o.kind != Evidence.GOOD || accused);
            if (!publish && o.published) {
                store.remove(nowUs, Table.VERDICTS, key);
                o.published = false;
                o.loggedKind = null;
                environment.logEvent("this sidecar says nothing of " + e.getKey() + " any more");
            } else if (publish && nowUs - o.publishedUs >= RENEW_INTERVAL_US) {
                ByteBuffer b = ByteBuffer.allocate(VALUE_BYTES)
                        .put((byte) o.kind.ordinal())
                        .putShort((short) Math.min(65_535, Math.round(o.factor * 16)))
                        .put((byte) o.count)
                        .put((byte) zone);
                store.put(nowUs, Table.VERDICTS, key, b.array());
                o.published = true;
                o.publishedUs = nowUs;
                if (o.loggedKind != o.kind) {
                    String before = o.loggedKind == null ? "" : ", before: " + lowerCaseName(o.loggedKind);
                    o.loggedKind = o.kind;
                    environment.logEvent(
                            "this sidecar says that " + e.getKey() + " is " + lowerCaseName(o.kind) + before);
                }
            }
        }
    }

    private List<Assessment> assess(long nowUs, Map<Long, List<WitnessReport>> reports) {
        List<Assessment> assessments = new ArrayList<>();
        for (Map.Entry<Long, List<WitnessReport>> e : reports.entrySet()) {
            String server = servers.get(e.getKey());
            List<WitnessReport> credible = e.getValue().stream()
                    .filter(w -> !suspectedWitnesses.contains(w.witness))
                    .toList();
            long good = credible.stream().filter(w -> w.kind == Evidence.GOOD).count();
            List<WitnessReport> against =
                    credible.stream().filter(w -> w.kind.out()).toList();
            if (against.isEmpty()) {
                Map<Evidence, List<WitnessReport>> serverZone = new TreeMap<>();
                credible.stream()
                        .filter(w -> w.kind != Evidence.GOOD)
                        .forEach(w -> serverZone
                                .computeIfAbsent(w.kind, k -> new ArrayList<>())
                                .add(w));
                against = serverZone.values().stream()
                        .max((a, b) -> a.size() != b.size()
                                ? Integer.compare(a.size(), b.size())
                                : b.get(0).kind.compareTo(a.get(0).kind))
                        .orElse(List.of());
            }
            if (against.isEmpty()) {
                continue;
            }
            boolean enough = against.size() >= MIN_WITNESSES;
            // Witnesses of one zone that is neither ours nor the server's may speak of the way between zones.
            int serverZone = zones.get(server);
            boolean wellPlaced = against.stream().filter(w -> w.zone == zone).count() >= MIN_WITNESSES
                    || against.stream().filter(w -> w.zone == serverZone).count() >= MIN_WITNESSES
                    || against.stream().mapToInt(WitnessReport::zone).distinct().count() > 1;
            boolean holds = enough && wellPlaced && against.size() > good;
            Evidence kind =
                    against.stream().map(WitnessReport::kind).sorted().toList().get(against.size() / 2);
            // The most careful word of a restart, the least of slowness.
            double factor = against.stream()
                    .filter(w -> w.kind == kind)
                    .mapToDouble(WitnessReport::factor)
                    .min()
                    .orElse(1);
            String reason = holds
                    ? "holds"
                    : !enough
                            ? "one witness alone"
                            : !wellPlaced ? "seen from one other zone alone" : "others find it good";
            boolean ownWord = against.stream().anyMatch(w -> w.witness == selfId);
            assessments.add(new Assessment(
                    server,
                    new Verdict(server, kind, factor, against.size(), ownWord, holds, nowUs + VERDICT_TTL_US),
                    e.getValue(),
                    reason));
        }
        return assessments;
    }

    private static String lowerCaseName(Evidence kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    private void logChanges(List<Assessment> assessments) {
        Set<String> holding = new HashSet<>();
        for (Assessment c : assessments) {
            if (c.verdict.holds()) {
                holding.add(c.server);
                if (!heldServers.contains(c.server)) {
                    environment.logEvent(c.server + " is " + lowerCaseName(c.verdict.kind()) + " by word of "
                            + String.join(
                                    ", ",
                                    c.reports.stream()
                                            .filter(w -> w.kind != Evidence.GOOD)
                                            .map(w -> (w.witness == selfId ? "this sidecar" : peers.nameOf(w.witness))
                                                    + " (" + w.count + ")")
                                            .toList()));
                }
            }
        }
        for (String server : heldServers) {
            if (!holding.contains(server)) {
                environment.logEvent("nothing is held against " + server + " any more");
            }
        }
        heldServers = holding;
    }
}

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
 * The fleet's verdicts on servers. Each sidecar publishes only what it has observed itself; a verdict needs independent
 * witnesses and expires. Performs no I/O. Not thread-safe.
 *
 * <p>Bounds: verdicts eject at most {@link #MAX_EJECTED_FRACTION} of the servers, and beyond it none (like Envoy's panic
 * threshold). A sidecar that accuses more than {@link #MAX_ACCUSED_FRACTION} of them is itself suspected, and its reports are
 * ignored. So neither one member nor two can eject a server that a third finds good, and any number of members can eject at most
 * that fraction.
 */
public final class Verdicts {
    /** Witnesses that a verdict needs; they also must outnumber those that find the server good. */
    public static final int MIN_WITNESSES = 2;
    /** Fraction of the listed servers that verdicts may eject (at least one server in a small fleet). */
    public static final double MAX_EJECTED_FRACTION = 0.25;
    /** A sidecar that accuses more of the servers than this, and at least {@link #MIN_ACCUSED_SERVERS}, is probably faulty itself. */
    public static final double MAX_ACCUSED_FRACTION = 1 / 3.0;

    private static final int MIN_ACCUSED_SERVERS = 3;
    /** Published evidence is renewed at this interval while it is younger than {@link #EVIDENCE_TTL_US}. */
    static final long RENEW_INTERVAL_US = 5_000_000;
    /** Longer than the 8 s within which an avoided server is tried again, which renews the evidence. */
    static final long EVIDENCE_TTL_US = 12_000_000;

    private static final long GOOD_TTL_US = 3_000_000;
    /** With this many other witnesses an additional report is redundant and not published. */
    private static final int SUFFICIENT_WITNESSES = 3;
    /** Validity of verdicts, which are evaluated every second. */
    static final long VERDICT_TTL_US = 2_500_000;

    private static final int VALUE_BYTES = 6;

    /** One member's report on a server. */
    public record WitnessReport(long witness, Evidence kind, double factor, int count, int zone, long ageUs) {}

    /** The verdict on a server with its reports; {@code reason} tells operators why it holds or not. */
    public record Assessment(String server, Verdict verdict, List<WitnessReport> reports, String reason) {}

    private static final class LocalEvidence {
        private Evidence kind;
        private double factor;
        private int count;
        private long observedUs;
        private long publishedUs = Long.MIN_VALUE / 2;
        private boolean published;
        /** The kind that was logged last; null after a withdrawal. */
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

    /** {@code zone}: index of the local zone in the settings. */
    public Verdicts(ReplicatedStore store, long selfId, int zone, PeerDirectory peers, Environment environment) {
        this.store = store;
        this.selfId = selfId;
        this.zone = zone;
        this.peers = peers;
        this.environment = environment;
    }

    /** Sets the ready servers: the index of their zone in the settings by id, -1 for an unknown zone. All others are ignored. */
    public void setServers(Map<String, Integer> ready) {
        Map<Long, String> byId = new HashMap<>();
        ready.keySet().forEach(id -> byId.put(Envelope.idOf(id), id));
        servers = byId;
        zones = Map.copyOf(ready);
        localEvidence.keySet().retainAll(ready.keySet());
    }

    /** Records evidence that this sidecar has observed itself. */
    public void recordEvidence(long nowUs, String server, Evidence kind, double factor) {
        if (!servers.containsKey(Envelope.idOf(server))) {
            return;
        }
        LocalEvidence evidence = localEvidence.computeIfAbsent(server, id -> new LocalEvidence());
        if (evidence.kind != kind) {
            evidence.count = 0;
            evidence.publishedUs = Long.MIN_VALUE / 2;
        }
        evidence.kind = kind;
        evidence.factor = factor;
        evidence.count = Math.min(255, evidence.count + 1);
        evidence.observedUs = nowUs;
    }

    /** Publishes and renews local evidence and returns the current verdicts. To be called every second and after new evidence. */
    public List<Assessment> evaluate(long nowUs) {
        Map<Long, List<WitnessReport>> reports = collectReports(nowUs);
        updateSuspectedWitnesses(reports);
        publishEvidence(nowUs, reports);
        List<Assessment> assessments = assess(nowUs, reports);
        long ejected = assessments.stream()
                .filter(assessment -> assessment.verdict.confirmed()
                        && assessment.verdict.evidence().isOutage())
                .count();
        boolean tooMany = ejected > Math.max(1, (int) (MAX_EJECTED_FRACTION * servers.size()));
        if (tooMany != panic) {
            panic = tooMany;
            environment.logEvent(
                    tooMany
                            ? "verdicts against " + ejected + " of " + servers.size()
                                    + " servers: too many, all are ignored"
                            : "verdicts against " + ejected + " of " + servers.size() + " servers: they apply again");
        }
        if (panic) {
            assessments.replaceAll(assessment -> new Assessment(
                    assessment.server,
                    withHolds(
                            assessment.verdict,
                            assessment.verdict.confirmed()
                                    && !assessment.verdict.evidence().isOutage()),
                    assessment.reports,
                    assessment.verdict.evidence().isOutage() ? "too many verdicts at once" : assessment.reason));
        }
        logChanges(assessments);
        return assessments;
    }

    private static Verdict withHolds(Verdict v, boolean holds) {
        return new Verdict(
                v.upstream(), v.evidence(), v.factor(), v.witnesses(), v.reportedHere(), holds, v.validUntilUs());
    }

    /** Fresh reports of live members by server, including this sidecar's own. */
    private Map<Long, List<WitnessReport>> collectReports(long nowUs) {
        Map<Long, List<WitnessReport>> reports = new TreeMap<>();
        for (StoredEntry entry : store.readAll(nowUs, Table.VERDICTS)) {
            if (entry.value().length < VALUE_BYTES
                    || !servers.containsKey(entry.key())
                    || !entry.fresh()
                    || entry.writer() != selfId && !peers.isLive(entry.writer())) {
                continue;
            }
            ByteBuffer b = ByteBuffer.wrap(entry.value());
            int kind = b.get() & 255;
            if (kind < Evidence.values().length) {
                reports.computeIfAbsent(entry.key(), k -> new ArrayList<>())
                        .add(new WitnessReport(
                                entry.writer(),
                                Evidence.values()[kind],
                                (b.getShort() & 0xFFFF) / 16.0,
                                b.get() & 255,
                                b.get() & 255,
                                entry.ageUs()));
            }
        }
        reports.values().forEach(serverReports -> serverReports.sort((a, b) -> Long.compare(a.witness, b.witness)));
        return reports;
    }

    private void updateSuspectedWitnesses(Map<Long, List<WitnessReport>> reports) {
        Map<Long, Integer> accusedCounts = new HashMap<>();
        reports.values()
                .forEach(serverReports -> serverReports.stream()
                        .filter(report -> report.kind.isOutage() || report.kind == Evidence.SLOW)
                        .forEach(report -> accusedCounts.merge(report.witness, 1, Integer::sum)));
        // The store keeps only a few witnesses per server, so the local evidence is counted separately.
        accusedCounts.merge(
                selfId,
                (int) localEvidence.values().stream()
                        .filter(evidence -> evidence.kind.isOutage() || evidence.kind == Evidence.SLOW)
                        .count(),
                Math::max);
        Set<Long> suspected = new HashSet<>();
        accusedCounts.forEach((witness, count) -> {
            if (count >= MIN_ACCUSED_SERVERS && count > MAX_ACCUSED_FRACTION * servers.size()) {
                suspected.add(witness);
            }
        });
        for (long witness : suspected) {
            if (!suspectedWitnesses.contains(witness)) {
                environment.logEvent((witness == selfId ? "this sidecar" : peers.nameOf(witness)) + " accuses "
                        + accusedCounts.get(witness) + " of "
                        + servers.size() + " servers: "
                        + (witness == selfId
                                ? "it suspects itself and publishes no reports"
                                : "its reports are ignored"));
            }
        }
        suspectedWitnesses = suspected;
    }

    private void publishEvidence(long nowUs, Map<Long, List<WitnessReport>> reports) {
        localEvidence
                .values()
                .removeIf(evidence -> evidence.observedUs + EVIDENCE_TTL_US < nowUs && !evidence.published);
        for (Map.Entry<String, LocalEvidence> e : localEvidence.entrySet()) {
            LocalEvidence evidence = e.getValue();
            long key = Envelope.idOf(e.getKey());
            List<WitnessReport> serverReports = reports.getOrDefault(key, List.of());
            long others = serverReports.stream()
                    .filter(report -> report.witness != selfId && report.kind == evidence.kind)
                    .count();
            boolean accused =
                    serverReports.stream().anyMatch(report -> report.witness != selfId && report.kind != Evidence.GOOD);
            boolean fresh =
                    nowUs - evidence.observedUs < (evidence.kind == Evidence.GOOD ? GOOD_TTL_US : EVIDENCE_TTL_US);
            boolean publish = fresh
                    && !suspectedWitnesses.contains(selfId)
                    && (evidence.published || others < SUFFICIENT_WITNESSES)
                    && (evidence.kind != Evidence.GOOD || accused);
            if (!publish && evidence.published) {
                store.remove(nowUs, Table.VERDICTS, key);
                evidence.published = false;
                evidence.loggedKind = null;
                environment.logEvent("this sidecar reports nothing about " + e.getKey() + " any more");
            } else if (publish && nowUs - evidence.publishedUs >= RENEW_INTERVAL_US) {
                ByteBuffer b = ByteBuffer.allocate(VALUE_BYTES)
                        .put((byte) evidence.kind.ordinal())
                        .putShort((short) Math.min(65_535, Math.round(evidence.factor * 16)))
                        .put((byte) evidence.count)
                        .put((byte) zone);
                store.put(nowUs, Table.VERDICTS, key, b.array());
                evidence.published = true;
                evidence.publishedUs = nowUs;
                if (evidence.loggedKind != evidence.kind) {
                    String previously =
                            evidence.loggedKind == null ? "" : ", previously: " + lowerCaseName(evidence.loggedKind);
                    evidence.loggedKind = evidence.kind;
                    environment.logEvent("this sidecar reports that " + e.getKey() + " is "
                            + lowerCaseName(evidence.kind) + previously);
                }
            }
        }
    }

    private List<Assessment> assess(long nowUs, Map<Long, List<WitnessReport>> reports) {
        List<Assessment> assessments = new ArrayList<>();
        for (Map.Entry<Long, List<WitnessReport>> e : reports.entrySet()) {
            String server = servers.get(e.getKey());
            List<WitnessReport> credible = e.getValue().stream()
                    .filter(report -> !suspectedWitnesses.contains(report.witness))
                    .toList();
            long good = credible.stream()
                    .filter(report -> report.kind == Evidence.GOOD)
                    .count();
            List<WitnessReport> against =
                    credible.stream().filter(report -> report.kind.isOutage()).toList();
            if (against.isEmpty()) {
                Map<Evidence, List<WitnessReport>> byKind = new TreeMap<>();
                credible.stream()
                        .filter(report -> report.kind != Evidence.GOOD)
                        .forEach(report -> byKind.computeIfAbsent(report.kind, k -> new ArrayList<>())
                                .add(report));
                against = byKind.values().stream()
                        .max((a, b) -> a.size() != b.size()
                                ? Integer.compare(a.size(), b.size())
                                : b.get(0).kind.compareTo(a.get(0).kind))
                        .orElse(List.of());
            }
            if (against.isEmpty()) {
                continue;
            }
            boolean enough = against.size() >= MIN_WITNESSES;
            // Witnesses of a single zone, neither the local nor the server's, may see only a fault of the network
            // between zones.
            int serverZone = zones.get(server);
            boolean wellPlaced = against.stream()
                                    .filter(report -> report.zone == zone)
                                    .count()
                            >= MIN_WITNESSES
                    || against.stream()
                                    .filter(report -> report.zone == serverZone)
                                    .count()
                            >= MIN_WITNESSES
                    || against.stream().mapToInt(WitnessReport::zone).distinct().count() > 1;
            boolean holds = enough && wellPlaced && against.size() > good;
            Evidence kind =
                    against.stream().map(WitnessReport::kind).sorted().toList().get(against.size() / 2);
            // The smallest factor: the most cautious one for a restart, the mildest for slowness.
            double factor = against.stream()
                    .filter(report -> report.kind == kind)
                    .mapToDouble(WitnessReport::factor)
                    .min()
                    .orElse(1);
            String reason = holds
                    ? "holds"
                    : !enough
                            ? "only one witness"
                            : !wellPlaced ? "seen from only one other zone" : "outweighed by good reports";
            boolean ownWord = against.stream().anyMatch(report -> report.witness == selfId);
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
        for (Assessment assessment : assessments) {
            if (assessment.verdict.confirmed()) {
                holding.add(assessment.server);
                if (!heldServers.contains(assessment.server)) {
                    environment.logEvent(assessment.server + " is " + lowerCaseName(assessment.verdict.evidence())
                            + " as reported by "
                            + String.join(
                                    ", ",
                                    assessment.reports.stream()
                                            .filter(report -> report.kind != Evidence.GOOD)
                                            .map(report -> (report.witness == selfId
                                                            ? "this sidecar"
                                                            : peers.nameOf(report.witness))
                                                    + " (" + report.count + ")")
                                            .toList()));
                }
            }
        }
        for (String server : heldServers) {
            if (!holding.contains(server)) {
                environment.logEvent("the verdict against " + server + " is lifted");
            }
        }
        heldServers = holding;
    }
}

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
    /** Who accuses more of the servers than this, and at least {@link #FEW}, sees its own fault. */
    public static final double MAX_ACCUSED_FRACTION = 1 / 3.0;

    private static final int FEW = 3;
    /** Own evidence is renewed so often, for as long as it is not older than {@link #EVIDENCE_TTL_US}. */
    static final long RENEW_INTERVAL_US = 5_000_000;
    /** A server that is left alone is tried again within 8 s. */
    static final long EVIDENCE_TTL_US = 12_000_000;

    private static final long GOOD_US = 3_000_000;
    /** So many others tell as much as one more would. */
    private static final int ENOUGH = 3;
    /** What the module was told counts for so long; it is told each second. */
    static final long VERDICT_TTL_US = 2_500_000;

    private static final int BYTES = 6;

    /** One voice on a server. */
    public record WitnessReport(long witness, Evidence kind, double factor, int count, int zone, long ageUs) {}

    /** All that is said of one server; {@code reason} tells operators why it holds, or not. */
    public record Assessment(String server, Verdict verdict, List<WitnessReport> reports, String reason) {}

    private static final class Own {
        private Evidence kind;
        private double factor;
        private int count;
        private long atUs;
        private long writtenUs = Long.MIN_VALUE / 2;
        private boolean written;
        /** What the log has of it last, null where that it was taken back. */
        private Evidence noted;
    }

    private final ReplicatedStore store;
    private final long me;
    private final int zone;
    private final PeerDirectory group;
    private final Environment host;
    private final Map<String, Own> own = new LinkedHashMap<>();
    private Map<Long, String> servers = Map.of();
    private Map<String, Integer> zones = Map.of();
    private Set<Long> suspects = Set.of();
    private boolean panic;
    private Set<String> held = Set.of();

    /** {@code zone} is the own one's number in the settings. */
    public Verdicts(ReplicatedStore store, long me, int zone, PeerDirectory group, Environment host) {
        this.store = store;
        this.me = me;
        this.zone = zone;
        this.group = group;
        this.host = host;
    }

    /** The zones of the servers that are listed as ready, by id, -1 where it is none of the settings': of others nothing is said. */
    public void setServers(Map<String, Integer> ready) {
        Map<Long, String> now = new HashMap<>();
        ready.keySet().forEach(id -> now.put(Envelope.idOf(id), id));
        servers = now;
        zones = Map.copyOf(ready);
        own.keySet().retainAll(ready.keySet());
    }

    /** Own evidence, fresh at this time. */
    public void recordEvidence(long nowUs, String server, Evidence kind, double factor) {
        if (!servers.containsKey(Envelope.idOf(server))) {
            return;
        }
        Own o = own.computeIfAbsent(server, id -> new Own());
        if (o.kind != kind) {
            o.count = 0;
            o.writtenUs = Long.MIN_VALUE / 2;
        }
        o.kind = kind;
        o.factor = factor;
        o.count = Math.min(255, o.count + 1);
        o.atUs = nowUs;
    }

    /** Writes and renews the own words, and says what holds now. To be called each second, and after evidence. */
    public List<Assessment> evaluate(long nowUs) {
        Map<Long, List<WitnessReport>> said = said(nowUs);
        suspects(said);
        write(nowUs, said);
        List<Assessment> cases = judge(nowUs, said);
        long out = cases.stream()
                .filter(c -> c.verdict.holds() && c.verdict.kind().out())
                .count();
        boolean past = out > Math.max(1, (int) (MAX_EJECTED_FRACTION * servers.size()));
        if (past != panic) {
            panic = past;
            host.logEvent(
                    past
                            ? "verdicts against " + out + " of " + servers.size()
                                    + " servers: too many to believe, none counts"
                            : "verdicts against " + out + " of " + servers.size() + " servers: they count again");
        }
        if (panic) {
            cases.replaceAll(c -> new Assessment(
                    c.server,
                    holds(c.verdict, c.verdict.holds() && !c.verdict.kind().out()),
                    c.reports,
                    c.verdict.kind().out() ? "too many at once" : c.reason));
        }
        tell(cases);
        return cases;
    }

    private static Verdict holds(Verdict v, boolean holds) {
        return new Verdict(v.upstream(), v.kind(), v.factor(), v.witnesses(), v.ownWord(), holds, v.untilUs());
    }

    /** All words that count, by server, the own ones with them. */
    private Map<Long, List<WitnessReport>> said(long nowUs) {
        Map<Long, List<WitnessReport>> said = new TreeMap<>();
        for (StoredEntry r : store.readAll(nowUs, Table.VERDICTS)) {
            if (r.value().length < BYTES
                    || !servers.containsKey(r.key())
                    || !r.fresh()
                    || r.writer() != me && !group.isLive(r.writer())) {
                continue;
            }
            ByteBuffer b = ByteBuffer.wrap(r.value());
            int kind = b.get() & 255;
            if (kind < Evidence.values().length) {
                said.computeIfAbsent(r.key(), k -> new ArrayList<>())
                        .add(new WitnessReport(
                                r.writer(),
                                Evidence.values()[kind],
                                (b.getShort() & 0xFFFF) / 16.0,
                                b.get() & 255,
                                b.get() & 255,
                                r.ageUs()));
            }
        }
        said.values().forEach(words -> words.sort((a, b) -> Long.compare(a.witness, b.witness)));
        return said;
    }

    private void suspects(Map<Long, List<WitnessReport>> said) {
        Map<Long, Integer> accuses = new HashMap<>();
        said.values()
                .forEach(words -> words.stream()
                        .filter(w -> w.kind.out() || w.kind == Evidence.SLOW)
                        .forEach(w -> accuses.merge(w.witness, 1, Integer::sum)));
        // The store keeps a few witnesses a server: the own evidence is all here.
        accuses.merge(
                me,
                (int) own.values().stream()
                        .filter(o -> o.kind.out() || o.kind == Evidence.SLOW)
                        .count(),
                Math::max);
        Set<Long> now = new HashSet<>();
        accuses.forEach((who, count) -> {
            if (count >= FEW && count > MAX_ACCUSED_FRACTION * servers.size()) {
                now.add(who);
            }
        });
        for (long who : now) {
            if (!suspects.contains(who)) {
                host.logEvent((who == me ? "this sidecar" : group.nameOf(who)) + " accuses " + accuses.get(who) + " of "
                        + servers.size() + " servers: "
                        + (who == me ? "it is itself the suspect, and tells nobody" : "its word is left out"));
            }
        }
        suspects = now;
    }

    private void write(long nowUs, Map<Long, List<WitnessReport>> said) {
        own.values().removeIf(o -> o.atUs + EVIDENCE_TTL_US < nowUs && !o.written);
        for (Map.Entry<String, Own> e : own.entrySet()) {
            Own o = e.getValue();
            long key = Envelope.idOf(e.getKey());
            List<WitnessReport> words = said.getOrDefault(key, List.of());
            long others = words.stream()
                    .filter(w -> w.witness != me && w.kind == o.kind)
                    .count();
            boolean accused = words.stream().anyMatch(w -> w.witness != me && w.kind != Evidence.GOOD);
            boolean fresh = nowUs - o.atUs < (o.kind == Evidence.GOOD ? GOOD_US : EVIDENCE_TTL_US);
            boolean wanted = fresh
                    && !suspects.contains(me)
                    && (o.written || others < ENOUGH)
                    && (o.kind != Evidence.GOOD || accused);
            if (!wanted && o.written) {
                store.remove(nowUs, Table.VERDICTS, key);
                o.written = false;
                o.noted = null;
                host.logEvent("this sidecar says nothing of " + e.getKey() + " any more");
            } else if (wanted && nowUs - o.writtenUs >= RENEW_INTERVAL_US) {
                ByteBuffer b = ByteBuffer.allocate(BYTES)
                        .put((byte) o.kind.ordinal())
                        .putShort((short) Math.min(65_535, Math.round(o.factor * 16)))
                        .put((byte) o.count)
                        .put((byte) zone);
                store.put(nowUs, Table.VERDICTS, key, b.array());
                o.written = true;
                o.writtenUs = nowUs;
                if (o.noted != o.kind) {
                    String before = o.noted == null ? "" : ", before: " + name(o.noted);
                    o.noted = o.kind;
                    host.logEvent("this sidecar says that " + e.getKey() + " is " + name(o.kind) + before);
                }
            }
        }
    }

    private List<Assessment> judge(long nowUs, Map<Long, List<WitnessReport>> said) {
        List<Assessment> cases = new ArrayList<>();
        for (Map.Entry<Long, List<WitnessReport>> e : said.entrySet()) {
            String server = servers.get(e.getKey());
            List<WitnessReport> words = e.getValue().stream()
                    .filter(w -> !suspects.contains(w.witness))
                    .toList();
            long good = words.stream().filter(w -> w.kind == Evidence.GOOD).count();
            List<WitnessReport> against =
                    words.stream().filter(w -> w.kind.out()).toList();
            if (against.isEmpty()) {
                Map<Evidence, List<WitnessReport>> of = new TreeMap<>();
                words.stream()
                        .filter(w -> w.kind != Evidence.GOOD)
                        .forEach(w -> of.computeIfAbsent(w.kind, k -> new ArrayList<>())
                                .add(w));
                against = of.values().stream()
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
            int of = zones.get(server);
            boolean near = against.stream().filter(w -> w.zone == zone).count() >= MIN_WITNESSES
                    || against.stream().filter(w -> w.zone == of).count() >= MIN_WITNESSES
                    || against.stream().mapToInt(WitnessReport::zone).distinct().count() > 1;
            boolean holds = enough && near && against.size() > good;
            Evidence kind =
                    against.stream().map(WitnessReport::kind).sorted().toList().get(against.size() / 2);
            // The most careful word of a restart, the least of slowness.
            double factor = against.stream()
                    .filter(w -> w.kind == kind)
                    .mapToDouble(WitnessReport::factor)
                    .min()
                    .orElse(1);
            String why = holds
                    ? "holds"
                    : !enough ? "one witness alone" : !near ? "seen from one other zone alone" : "others find it good";
            boolean ownWord = against.stream().anyMatch(w -> w.witness == me);
            cases.add(new Assessment(
                    server,
                    new Verdict(server, kind, factor, against.size(), ownWord, holds, nowUs + VERDICT_TTL_US),
                    e.getValue(),
                    why));
        }
        return cases;
    }

    private static String name(Evidence kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    private void tell(List<Assessment> cases) {
        Set<String> now = new HashSet<>();
        for (Assessment c : cases) {
            if (c.verdict.holds()) {
                now.add(c.server);
                if (!held.contains(c.server)) {
                    host.logEvent(c.server + " is " + name(c.verdict.kind()) + " by word of "
                            + String.join(
                                    ", ",
                                    c.reports.stream()
                                            .filter(w -> w.kind != Evidence.GOOD)
                                            .map(w -> (w.witness == me ? "this sidecar" : group.nameOf(w.witness))
                                                    + " (" + w.count + ")")
                                            .toList()));
                }
            }
        }
        for (String server : held) {
            if (!now.contains(server)) {
                host.logEvent("nothing is held against " + server + " any more");
            }
        }
        held = now;
    }
}

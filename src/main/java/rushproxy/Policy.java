package rushproxy;

import java.util.*;
import rushproxy.PolicyState.*;

/**
 * Makes all load-balancing decisions of a sidecar. {@link Balancer} defines its events, actions and settings.
 *
 * <p>Implements HALO Power-of-D with D = 2: Eq. (4) of the paper splits the fleet's request rate among the
 * server kinds; each request draws two servers with probability p_i/k_i and goes to the less loaded one.
 * Outliers form groups of their own. Full servers are not drawn; requests that find no server are queued.
 * Sends, refusals and failures each pass one method that enforces the protocol rules.
 */
public final class Policy implements Balancer {
    // ---- constants ------------------------------------------------------------------------------
    /** How often Eq. (4) is solved again: speeds and rates change within seconds. */
    private static final long SHARES_INTERVAL_US = 100_000;
    /** Averaging time of this sidecar's request rate: a burst shows within two seconds. */
    private static final double RATE_AVERAGING_US = 2_000_000;
    /** Gain of the speed estimates: about ten answers determine a server's speed. */
    private static final double GAIN = 0.1;
    /** Upper bound of a latency relative to its expectation: request costs are heavy-tailed. */
    private static final double LATENCY_CLAMP = 3;
    /** A server this many times faster or slower than its kind is an outlier; above estimation noise. */
    private static final double OUTLIER_RATIO = 1.6;
    /** Estimates without answers for this long decay to the default, so that the server is tried again. */
    private static final long ESTIMATE_TTL_US = 3_000_000;

    private static final double DECAY = 0.02;
    /** Initial estimate of a server's cores where load is not reported; answers correct it. */
    static final double INITIAL_CORES = 2;
    /** Square-root staffing: a server takes up to cores + HEADROOM * sqrt(cores) requests. */
    private static final double HEADROOM = 1;
    /** A queued request starts at least this many expected service times before its aim. */
    private static final double SLACK_SERVICES = 1.5;
    /** How often the queue is swept for requests that can no longer be answered in time. */
    private static final long SWEEP_INTERVAL_US = 5_000;
    /** Consecutive failures after which a server is ejected; repeated ejections double their duration. */
    private static final int MAX_FAILURES = 2, MAX_DOUBLINGS = 10;

    private static final long MIN_EJECTION_US = 500_000, MAX_EJECTION_US = 8_000_000, MAX_FULL_US = 500_000;
    /** Interval of peer messages, and how long peer data and evidence about servers count as current. */
    private static final long PEER_INTERVAL_US = 500_000, INFORMATION_TTL_US = 5_000_000;
    /** Answers after which a kind's speed estimate counts as accurate; higher counts weigh no more. */
    private static final int MAX_ANSWERS = 40;
    /** Unserved requests remembered for their retries: a few seconds' worth under overload. */
    private static final int MAX_UNSERVED = 2_000;
    /** Weight of this sidecar's own rate in the averaged zone rates, applied with each message sent. */
    private static final double OWN_RATE_GAIN = 0.03;
    /** Requests are shed above this congestion where load is unknown; at 1.5 times that, nearly all. */
    private static final double SHED_THRESHOLD = 1.5, SHED_SLOPE = 2, MAX_SHED = 0.95;
    /** Growth of a kind's best slowness with each solution, so that one lucky estimate expires. */
    private static final double BEST_GROWTH = 1.0005;
    /** A success more recent than this outweighs the fleet's verdict on a server. */
    private static final long OWN_EVIDENCE_LIFETIME_US = 2_000_000;
    /** An error this many times faster than an answer would attract further requests to its server. */
    private static final double FAST_FAILURE_RATIO = 4;
    /** Burst of a rate limit, in seconds of its share. */
    private static final double RATE_LIMIT_BURST_SECONDS = 0.25;
    /** In points of the score: pairs are probed up to the one, requests keep to their zone from the other. */
    private static final double MAX_PROBE_PAIR_PRICE = 0.005, MIN_CROSS_ZONE_PRICE = 0.02;

    private static final long MIN_DISCOVERY_RETRY_US = 500_000, PROBE_TIMEOUT_US = 100_000;
    /** Random draws before the whole table is scanned; pairs probed before a short queue is accepted. */
    private static final int RANDOM_DRAWS = 4, PROBED_PAIRS = 3;
    /** Sidecars that share a server where connections have a price: enough to even out their rates. */
    private static final int SIDECARS_PER_SERVER = 10;
    /** Minimum number of servers in a sidecar's subset: the two drawn and one spare. */
    private static final int MIN_SUBSET_SIZE = 3;
    /** Reciprocals of the golden and the plastic ratio: their multiples modulo 1 are spread evenly. */
    private static final double GOLDEN = 0.6180339887498949, PLASTIC = 0.7548776662466927;
    /** A connection idle for less than this is not suspected of having been dropped. */
    private static final long MIN_IDLE_LIMIT_US = 200_000, IDLE_LIMIT_TTL_US = 5_000_000;

    private static final String SWEEP = "hold", GOSSIP = "tell", DISCOVERY = "ask"; // timers

    private final Settings config;
    private final Actions actions;
    private final SplittableRandom rng;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private double maxWorth;
    /** Both drawn servers are probed for their load before a send, as in the paper. */
    private final boolean probesLoad;

    private final SlowStart slowStart;
    /** Connections and handshakes have a price: the sidecar uses only a few servers of each kind. */
    private final boolean usesSubset;
    /** Load is not probed, and with this many sidecars own requests say little about a server's load. */
    private final boolean serverLoadUnknown;

    private final double initialCores;
    private final int homeZone;

    public Policy(Settings settings, long seed, long now, Actions actions) {
        config = settings;
        this.actions = actions;
        rng = new SplittableRandom(seed);
        for (RequestClass c : config.classes()) {
            classWorkUs.put(c.name(), c.aimUs() / 4.0);
            meanWorkUs += c.aimUs() / 4.0 / config.classes().size();
            classes.put(c.name(), c);
            maxWorth = Math.max(maxWorth, c.worth());
        }
        zoneRate = new double[config.zones().size()];
        Limits limits = config.limits();
        probesLoad = limits.probing()
                && config.loadReporting() != LoadReporting.NONE
                && 2 * config.prices().probe() <= MAX_PROBE_PAIR_PRICE;
        usesSubset = config.prices().connection() > 0 && config.prices().handshake() > 0;
        if (limits.peers() && config.sidecarCount() > 1) {
            this.actions.startTimer(GOSSIP, PEER_INTERVAL_US / 2 + rng.nextLong(PEER_INTERVAL_US));
        }
        slowStart = new SlowStart(config, probesLoad);
        serverLoadUnknown = !probesLoad && config.sidecarCount() > SIDECARS_PER_SERVER;
        initialCores = config.loadReporting() == LoadReporting.NONE ? INITIAL_CORES : 1;
        for (String k : config.kinds()) kinds.put(k, new ServerKind(initialCores));
        homeZone = Math.max(0, config.zones().indexOf(config.zone()));
        rateUpdatedAt = startedAt = now;
        sharesSolvedAt = now - SHARES_INTERVAL_US;
        if (config.discoveryOnRequest()) subscribe();
    }

    // ---- membership -----------------------------------------------------------------------------
    final Map<String, Server> servers = new LinkedHashMap<>();
    final Map<String, ServerKind> kinds = new LinkedHashMap<>();
    /** Servers that are listed as ready and not cordoned; sorted by hash where a subset is used. */
    private final List<Server> readyServers = new ArrayList<>();

    private List<Server> subset = List.of();
    private long subsetChosenAt;
    private double subsetTarget;

    @Override
    public void onUpstreamList(long now, ListKind listKind, List<Upstream> entries) {
        updateSubscription(now, listKind);
        if (listKind == ListKind.FAILED) return;
        Set<String> listed = new HashSet<>();
        for (Upstream entry : entries) {
            listed.add(entry.id());
            Server server = servers.get(entry.id());
            if (server == null) {
                ServerKind kind = kinds.computeIfAbsent(entry.kind(), k -> new ServerKind(initialCores));
                server = new Server(
                        entry,
                        kind,
                        config.zones().indexOf(entry.zone()),
                        mixHash(entry.id().hashCode(), 0));
                servers.put(entry.id(), server);
            } else if (entry.startedUs() != server.listing.startedUs()) {
                resetAfterRestart(server);
            }
            server.listing = entry;
            updateReadiness(server);
        }
        for (Server server : servers.values()) {
            if (listKind == ListKind.DELTA || listed.contains(server.id)) continue;
            server.ready = false;
            closeIdleIfLeaving(server);
        }
        onServersChanged(now);
    }

    private void onServersChanged(long now) {
        readyServers.clear();
        servers.values().stream().filter(server -> server.ready).forEach(readyServers::add);
        if (usesSubset) {
            readyServers.sort(Comparator.comparingInt((Server s) -> s.hash).thenComparing(s -> s.id));
        }
        sharesSolvedAt = now - SHARES_INTERVAL_US;
        subsetChosenAt = now - PEER_INTERVAL_US - 1;
        dispatchQueue(now, false);
    }

    private static void resetAfterRestart(Server server) {
        server.relativeSlowness = 1;
        server.failures = server.ejections = server.rejects = 0;
        server.ejectedUntil = server.assumedFullUntil = server.lastUsedAt = 0;
        server.failedAt = Long.MIN_VALUE / 2;
        server.idleDropSuspected = false;
    }

    /** Servers cordoned by the operators, and when others were uncordoned; neither need be listed. */
    private final Set<String> cordoned = new HashSet<>();

    private final Map<String, Long> uncordonedAt = new HashMap<>();
    /** Uncordoned, no success since: operators expect traffic, though a cold server's share may be 0. */
    private final Set<Server> awaitingFirstAnswer = new LinkedHashSet<>();

    @Override
    public void onCordon(long now, String upstream, boolean cordon, long atUs) {
        Server server = servers.get(upstream);
        if (cordon) {
            cordoned.add(upstream);
            if (server != null) awaitingFirstAnswer.remove(server);
        } else {
            cordoned.remove(upstream);
            uncordonedAt.put(upstream, Math.min(now, atUs));
            if (server != null) {
                resetAfterRestart(server);
                awaitingFirstAnswer.add(server);
            }
        }
        if (server == null) return;
        updateReadiness(server);
        onServersChanged(now);
    }

    private void updateReadiness(Server server) {
        server.startedAt = Math.max(server.listing.startedUs(), uncordonedAt.getOrDefault(server.id, 0L));
        server.ready = server.listing.state() == UpstreamState.READY && !cordoned.contains(server.id);
        closeIdleIfLeaving(server);
    }

    /** Rule 5: closes idle connections to a server that leaves, when that becomes known and after each later
     * outcome there. Also when it vanishes from the list, since its drain may have gone unnoticed. */
    private void closeIdleIfLeaving(Server server) {
        if (config.rules().closeOnDrainWithinUs() > 0 && !server.ready && server.lastUsedAt > 0) {
            actions.closeIdleConnections(server.id);
        }
    }

    private boolean hasCrossZonePrice() {
        return config.prices().crossZone() >= MIN_CROSS_ZONE_PRICE;
    }

    /** Mixing hash that separates adjacent inputs; the same in every sidecar. */
    static int mixHash(int a, int b) {
        int hash = (a ^ b * 0x9e3779b9) * 0x85ebca6b;
        hash = (hash ^ hash >>> 15) * 0xc2b2ae35;
        return hash ^ hash >>> 16;
    }

    /** Deterministic subsetting where connections have a price: of each zone and kind an arc of one ring,
     * placed by the sidecar's index. Servers are used evenly, and a change of the list moves one at most. The
     * length follows the own part of the fleet's rate: a server has as many sidecars at all fleet sizes. */
    private List<Server> chooseSubset(long now) {
        zoneShare = zoneShares(now);
        if (!usesSubset) return readyServers;
        double arc = SIDECARS_PER_SERVER * readyServers.size() * ownRate / Math.max(1e-9, fleetRate(now));
        subsetTarget = Math.max(Math.max(MIN_SUBSET_SIZE, arc), 0.9 * subsetTarget);
        // Where idle connections are dropped, no more servers than are used often enough to avoid that.
        double busy = idleLimitUs < Long.MAX_VALUE ? Math.max(1, ownRate * idleLimitUs / 2e6) : subsetTarget;
        Map<List<Object>, List<Server>> groups = new LinkedHashMap<>();
        int[] size = new int[zoneRate.length];
        for (Server server : readyServers) {
            groups.computeIfAbsent(List.of(server.zone, server.listing.kind()), k -> new ArrayList<>())
                    .add(server);
            size[server.zone]++;
        }
        List<Server> chosen = new ArrayList<>();
        for (List<Server> group : groups.values()) {
            Server first = group.get(0);
            double n = zoneShare[first.zone] * Math.min(busy, subsetTarget) * group.size() / size[first.zone];
            // Fractions are rounded by sidecar, so that the average over many sidecars is right.
            n = Math.max(first.zone == homeZone ? 1 : 0, Math.floor(n + config.sidecarIndex() * PLASTIC % 1));
            for (int i = 0; i < Math.min(n, group.size()); i++) {
                chosen.add(group.get((i + subsetStart(group.size())) % group.size()));
            }
        }
        return chosen;
    }

    /** Fractions of this sidecar's requests by zone: in proportion to the servers, or, where crossing has a
     * price, all to the own zone except its excess over its part of the fleet. Without peer data all stay. */
    private double[] zoneShares(long now) {
        double[] share = new double[zoneRate.length];
        for (Server server : readyServers) share[server.zone] += 1.0 / readyServers.size();
        if (!hasCrossZonePrice() || !serverLoadUnknown) return share;
        double sum =
                now - peerHeardAt < INFORMATION_TTL_US ? Arrays.stream(zoneRate).sum() : 0;
        double stay = sum <= 0 ? 1 : Math.min(1, share[homeZone] * sum / Math.max(1e-9, zoneRate[homeZone]));
        double deficits = 0;
        for (int z = 0; z < share.length; z++) {
            share[z] = z == homeZone || sum <= 0 ? 0 : Math.max(0, share[z] - zoneRate[z] / sum);
            deficits += share[z];
        }
        for (int z = 0; z < share.length; z++) share[z] *= (1 - stay) / Math.max(1e-9, deficits);
        share[homeZone] = stay;
        return share;
    }

    private int subsetStart(int places) {
        return (int) (config.sidecarIndex() * GOLDEN % 1 * places);
    }

    // ---- estimators -----------------------------------------------------------------------------
    private final Map<String, Double> classWorkUs = new HashMap<>();
    private double meanWorkUs, ownRate;
    private int arrivals;
    private long rateUpdatedAt;
    private final long startedAt;

    private double capacityFraction(Server server, long now) {
        return slowStart.capacityFraction(server, now);
    }

    /** Estimated requests at a server: own ones, or the reported load less the work done since, if higher. */
    private double loadOf(Server server, long now) {
        double done = (now - server.loadReportedAt) * server.kind.cores / (server.slowness() * meanWorkUs);
        double load = Math.max(server.inFlight, server.reportedLoad - done);
        while (!server.inFlightAttempts.isEmpty() && !server.inFlightAttempts.peekFirst().running) {
            server.inFlightAttempts.pollFirst();
        }
        Attempt oldest = server.inFlightAttempts.peekFirst();
        if (oldest != null) {
            // An overdue answer adds to the load, so that a stalled server loses draws before any time-out.
            // Costs are heavy-tailed and estimates rough: a few times the expected latency is no stall.
            double overdue = (now - oldest.sentAt) / oldest.expectedUs - 2 * LATENCY_CLAMP;
            if (overdue > 0) load += overdue;
        }
        return load;
    }

    /** Expected latency on a server that holds {@code held} other requests, first come first served. */
    private double expectedUs(Server server, double work, double held, long now) {
        return server.slowness() * (work + queueingDelayUs(server, held)) / capacityFraction(server, now);
    }

    private double queueingDelayUs(Server server, double held) {
        double cores = Math.max(1, server.kind.cores);
        return Math.max(0, held + 1 - cores) / cores * meanWorkUs;
    }

    private void updateEstimates(Server server, Attempt attempt, long latencyUs, boolean success, long now) {
        double ratio = latencyUs / Math.max(1, attempt.expectedStandardUs);
        if (!success && ratio < server.slowness()) return;
        double gain = GAIN;
        if (config.loadReporting() == LoadReporting.NONE && success && capacityFraction(server, now) >= 1) {
            // The queueing part of a latency shows the cores, the rest the speed: each takes its part.
            double queueingPart = queueingDelayUs(server, attempt.loadAtSend)
                    / (queueingDelayUs(server, attempt.loadAtSend) + attempt.owner.serviceUs);
            double step = GAIN / 4 * queueingPart * (Math.min(LATENCY_CLAMP, ratio / server.slowness()) - 1);
            server.kind.cores = Math.max(1, server.kind.cores * (1 - step));
            gain *= 1 - queueingPart;
        }
        // Further time-outs of an ejected server say nothing about congestion.
        if (success || server.ejections == 0) {
            congestion += GAIN * (Math.min(2 * LATENCY_CLAMP, ratio / server.kind.bestSlowness) - congestion);
        }
        server.answeredAt = now;
        server.kind.answeredAt = now;
        if (success && !isOutlier(server)) {
            // A step towards the observed value: sums of steps drift. Early answers move the kind alone.
            double weight = gain * Math.max(0.25, 1 / GAIN / (++server.kind.answers + 1));
            server.kind.slowness *= 1 + weight * (Math.min(LATENCY_CLAMP, ratio / server.kind.slowness) - 1);
            server.kind.tunedAt = now;
        }
        server.relativeSlowness *= 1 + gain * (Math.min(LATENCY_CLAMP, ratio / server.slowness()) - 1);
        if (success && attempt.owner.request.costHintUs() <= 0) {
            double step = GAIN / 4 * (Math.min(LATENCY_CLAMP, ratio / server.slowness()) - 1);
            classWorkUs.computeIfPresent(attempt.owner.requestClass.name(), (c, w) -> w * (1 + step));
        }
    }

    private static boolean isOutlier(Server server) {
        return server.relativeSlowness > OUTLIER_RATIO || server.relativeSlowness * OUTLIER_RATIO < 1;
    }

    private void recordLoadReport(String upstream, LoadReport report, long now) {
        Server server = servers.get(upstream);
        if (server == null || report == null || report.inFlight() < 0) return;
        server.reportedLoad = report.inFlight();
        server.loadReportedAt = now;
        lastReporter = server;
        double running = report.inFlight() - Math.max(0, report.queued());
        if (report.queued() >= 0.5 && running >= 0.5 || running > server.kind.cores + 0.5) {
            server.kind.cores += 0.3 * (Math.max(1, running) - server.kind.cores);
        }
    }

    private void updateOwnRate(long now) {
        double passed = Math.max(1, now - rateUpdatedAt);
        double keep = Math.exp(-passed / Math.max(passed, Math.min(RATE_AVERAGING_US, now - startedAt)));
        ownRate = keep * ownRate + (1 - keep) * arrivals * 1e6 / passed;
        arrivals = 0;
        rateUpdatedAt = now;
    }

    private double fleetRate(long now) {
        double mean = Arrays.stream(zoneRate).sum();
        return effectiveSidecars(now) * (mean > 0 ? mean : ownRate);
    }

    private FleetStatus fleet;

    @Override
    public void onFleetStatus(long now, FleetStatus status) {
        fleet = status;
    }

    /** Sidecars whose rates add up: the live ones in a majority, else all, as those that a minority can't see
     * may be cut off from it alone and still send. A cold server's budget is not divided by this number. */
    int effectiveSidecars(long now) {
        boolean valid = fleet != null && now < fleet.validUntilUs() && fleet.quorum() == QuorumState.MAJORITY;
        return valid ? Math.max(1, Math.min(config.sidecarCount(), fleet.live())) : config.sidecarCount();
    }

    /** Reports a slow or cold server, by recent own answers and the list alone. Not one that was ejected and
     * has had no success since: its failures are the evidence. */
    private void reportSlowOrCold(long now, Server server) {
        if (server.ejections > 0) return;
        boolean slow = server.relativeSlowness > OUTLIER_RATIO && now - server.answeredAt < PEER_INTERVAL_US,
                cold = capacityFraction(server, now) < 1;
        if (!slow && !cold || now - server.evidenceSentAt < INFORMATION_TTL_US) return;
        server.evidenceSentAt = now;
        if (slow) actions.reportEvidence(server.id, Evidence.SLOW, server.relativeSlowness);
        else actions.reportEvidence(server.id, Evidence.COLD, (now - server.startedAt) / 1e6);
    }

    /** Out by a verdict that this sidecar witnessed: tried when the ejection ends, to renew the evidence. */
    private final List<Server> witnessedOutages = new ArrayList<>();

    /** Recent own evidence outweighs a verdict and is reported where it contradicts one. A server that is out
     * by a verdict is tried again, one request at a time, when the verdict ends; by its witnesses when their
     * own ejection ends, as a verdict lapses without new evidence. No verdict makes a cold server warmer. */
    @Override
    public void onVerdicts(long now, List<Verdict> verdicts) {
        witnessedOutages.clear();
        for (Verdict verdict : verdicts) {
            Server server = servers.get(verdict.upstream());
            if (server == null || now >= verdict.validUntilUs()) continue;
            boolean works = now - server.succeededAt < OWN_EVIDENCE_LIFETIME_US
                    && server.failures == 0
                    && server.ejections == 0;
            if (works && verdict.evidence().isOutage()) actions.reportEvidence(server.id, Evidence.GOOD, 1);
            if (verdict.reportedHere() && verdict.evidence().isOutage()) witnessedOutages.add(server);
            boolean hasOwn = works || verdict.reportedHere() || now - server.failedAt < INFORMATION_TTL_US;
            if (!verdict.confirmed() || verdict.evidence().isOutage() && hasOwn) continue;
            switch (verdict.evidence()) {
                case SILENT, FAILING, FAILING_FAST -> {
                    server.ejections = Math.max(1, server.ejections);
                    server.ejectedUntil = Math.max(server.ejectedUntil, verdict.validUntilUs());
                }
                case SLOW -> {
                    if (now - server.answeredAt <= ESTIMATE_TTL_US) continue;
                    server.relativeSlowness =
                            Math.max(server.relativeSlowness, Math.min(2 * LATENCY_CLAMP, verdict.factor()));
                }
                case COLD -> {
                    server.startedAt = Math.max(server.startedAt, now - (long) (verdict.factor() * 1e6));
                }
                case DROPS_IDLE -> lowerIdleLimit(now, (long) (verdict.factor() * 1_000));
            }
        }
    }

    private final Map<String, LimitUsage> limitUsages = new LinkedHashMap<>();

    @Override
    public void onLimitShares(long now, List<LimitShare> shares) {
        Map<String, LimitUsage> before = new HashMap<>(limitUsages);
        limitUsages.clear();
        for (LimitShare share : shares) {
            LimitUsage usage = before.getOrDefault(share.name(), new LimitUsage());
            usage.share = share;
            limitUsages.put(share.name(), usage);
        }
    }

    @Override
    public Map<String, Double> collectLimitDemands(long elapsedUs) {
        Map<String, Double> demands = new LinkedHashMap<>();
        for (LimitUsage usage : limitUsages.values()) {
            demands.put(
                    usage.share.name(),
                    usage.share.inFlight() ? usage.peak : usage.arrivals * 1e6 / Math.max(1, elapsedUs));
            usage.arrivals = 0;
            usage.peak = usage.inFlight;
        }
        return demands;
    }

    /** Takes a place in each applicable limit and returns 0, or takes none and returns the time to wait. */
    private long acquireLimits(long now, ActiveRequest active) {
        List<LimitUsage> applicable = new ArrayList<>();
        long wait = 0;
        for (LimitUsage usage : limitUsages.values()) {
            if (!usage.share.appliesTo(active.request)) continue;
            applicable.add(usage);
            double cap = now < usage.share.validUntilUs() ? usage.share.share() : usage.share.fallbackShare();
            usage.arrivals++;
            usage.peak = Math.max(usage.peak, usage.inFlight + 1);
            if (usage.share.inFlight() && usage.inFlight + 1 > cap) {
                wait = Math.max(wait, active.requestClass.aimUs());
            }
            if (usage.share.inFlight()) continue;
            usage.tokens = Math.min(
                    Math.max(1, cap * RATE_LIMIT_BURST_SECONDS),
                    usage.tokens + cap * (now - usage.tokensRefilledAt) / 1e6);
            usage.tokensRefilledAt = now;
            if (usage.tokens < 1) {
                wait = Math.max(wait, (long) ((1 - usage.tokens) / Math.max(1e-3, cap) * 1e6));
            }
        }
        if (wait > 0) return wait;
        active.limits = applicable;
        for (LimitUsage usage : applicable) {
            if (!usage.share.inFlight()) usage.tokens--;
            usage.inFlight++;
        }
        return 0;
    }

    // ---- shares ---------------------------------------------------------------------------------
    private long sharesSolvedAt;
    /** Lowest slowness of the servers in use, at their current capacity. */
    private double bestSlowness = 1;

    /** Ratio of latencies to those of uncongested servers, beyond what own requests explain. */
    private double congestion = 1;

    /** Solves Eq. (4) for groups of {@code k} servers of speed {@code mu} at rate {@code lambda}. Groups with
     * a negative share are dropped and the rest solved again. The shares sum to 1, or all are 0. */
    static double[] solveShares(double[] k, double[] mu, double lambda) {
        int n = k.length;
        double[] p = new double[n];
        boolean[] included = new boolean[n];
        double capacity = 0;
        for (int i = 0; i < n; i++) {
            included[i] = k[i] > 0 && mu[i] > 0;
            capacity += included[i] ? k[i] * mu[i] : 0;
        }
        // Rate 0 takes the limit of low rates; above capacity the split stays proportional (Corollary 3).
        double rate = Math.max(capacity * 1e-6, Math.min(lambda, capacity));
        for (int round = 0; round < n; round++) {
            double roots = 0, sum = 0;
            for (int i = 0; i < n; i++) {
                roots += included[i] ? k[i] * Math.sqrt(mu[i]) : 0;
                sum += included[i] ? k[i] * mu[i] : 0;
            }
            boolean dropped = false;
            for (int i = 0; i < n; i++) {
                double root = Math.sqrt(mu[i]);
                p[i] = included[i] ? k[i] * (mu[i] * roots - root * sum + rate * root) / (rate * roots) : 0;
                if (p[i] < 0) {
                    included[i] = false;
                    dropped = true;
                }
            }
            if (!dropped) break;
        }
        for (int i = 0; i < n; i++) p[i] = Math.max(0, Math.min(1, p[i]));
        return p;
    }

    private void refreshShares(long now) {
        if (now - sharesSolvedAt < SHARES_INTERVAL_US) return;
        updateOwnRate(now);
        sharesSolvedAt = now;
        bestSlowness = readyServers.isEmpty() ? 1 : Double.MAX_VALUE;
        if (now - subsetChosenAt > PEER_INTERVAL_US) {
            subsetChosenAt = now;
            subset = chooseSubset(now);
        }
        Map<Object, List<Server>> byKind = new LinkedHashMap<>();
        for (WeightedTable t : List.of(homeTable, awayTable, allTable)) t.clear();
        warmingServers.clear();
        for (ServerKind kind : kinds.values()) {
            // A kind estimated as slow gets no requests that could correct that: decay to its best.
            if (now - kind.answeredAt > ESTIMATE_TTL_US) {
                kind.slowness += DECAY * (kind.bestSlowness - kind.slowness);
            }
            kind.bestSlowness = kind.answers < MAX_ANSWERS
                    ? kind.slowness
                    : Math.min(kind.slowness, kind.bestSlowness * BEST_GROWTH);
        }
        for (Server server : subset) {
            reportSlowOrCold(now, server);
            if (server.relativeSlowness * OUTLIER_RATIO < 1 && now - server.kind.tunedAt > ESTIMATE_TTL_US) {
                moveKindTowards(server);
            }
            if (now - server.answeredAt > ESTIMATE_TTL_US) {
                server.relativeSlowness += DECAY * (1 - server.relativeSlowness);
            }
            Object group = isOutlier(server) || capacityFraction(server, now) < 1 ? server : server.kind;
            byKind.computeIfAbsent(group, x -> new ArrayList<>()).add(server);
        }
        List<List<Server>> groups = new ArrayList<>(byKind.values());
        double[] k = new double[groups.size()], mu = new double[groups.size()];
        for (int i = 0; i < k.length; i++) {
            Server first = groups.get(i).get(0);
            double slowness = 0;
            for (Server server : groups.get(i)) slowness += server.slowness();
            k[i] = groups.get(i).size();
            mu[i] = 1e6 * first.kind.cores * capacityFraction(first, now) / (slowness / k[i] * meanWorkUs);
        }
        double[] p = solveShares(k, mu, fleetRate(now) * subset.size() / Math.max(1, readyServers.size()));
        for (int i = 0; i < k.length; i++) {
            for (Server server : groups.get(i)) {
                // The lower bound only matters when all servers with a share are full.
                server.share = weightOf(now, server) * Math.max(p[i] / k[i], 1e-6 * mu[i]);
                bestSlowness = Math.min(bestSlowness, server.slowness() / capacityFraction(server, now));
                allTable.add(server);
                if (hasCrossZonePrice()) (server.zone == homeZone ? homeTable : awayTable).add(server);
                boolean eligible = weightOf(now, server) >= 1 || rng.nextDouble() < weightOf(now, server);
                if (p[i] > 0 && capacityFraction(server, now) < 1 && eligible) warmingServers.add(server);
            }
        }
    }

    /** A faster server attracts all requests of its kind, so the others' speed is unknown: their estimates
     * move towards it until they are tried again. Its own estimate stays. */
    private static void moveKindTowards(Server fast) {
        double slowness = fast.slowness();
        fast.kind.slowness += DECAY * (slowness - fast.kind.slowness);
        fast.relativeSlowness = slowness / fast.kind.slowness;
    }

    // ---- pick -----------------------------------------------------------------------------------
    /** The subset by cumulative shares; split into own zone and others where crossing has a price. */
    private final WeightedTable allTable = new WeightedTable(),
            homeTable = new WeightedTable(),
            awayTable = new WeightedTable();
    /** Warming servers with a share; each is preferred when it is this sidecar's turn to send there. */
    private final List<Server> warmingServers = new ArrayList<>();

    /** The less loaded of two servers with room, drawn by p_i/k_i. Where crossing zones has a price, servers
     * of the own zone come first (or the others, for the part that an overloaded zone gives away); then any
     * with a free core; then any below its bound. Servers due for a request precede. Null: it has to wait. */
    private Server pickServer(long now, ActiveRequest active) {
        refreshShares(now);
        Server due = null;
        for (Server s : awaitingFirstAnswer) {
            if (due == null && s.inFlight == 0 && hasRoom(now, active, s, true)) due = s;
        }
        for (Server s : canTryEjected(active) ? witnessedOutages : List.<Server>of()) {
            if (due == null && s.ejections > 0 && s.inFlight == 0 && hasRoom(now, active, s, true)) due = s;
        }
        for (int i = 0; i < warmingServers.size() && due == null; i++) {
            due = hasRoom(now, active, warmingServers.get(i), true) ? warmingServers.get(i) : null;
        }
        if (probesLoad || due != null) return probesLoad ? pickByProbes(now, active, due) : due;
        boolean home = !serverLoadUnknown || awayTable.size() == 0 || rng.nextDouble() < zoneShare[homeZone];
        Server s = pickOfTwo(now, active, home ? homeTable : awayTable, false);
        s = s != null ? s : pickOfTwo(now, active, allTable, true);
        return s != null ? s : pickOfTwo(now, active, allTable, false);
    }

    /** A send to an ejected server may lose the request: none makes two such sends, an unsafe one none. */
    private static boolean canTryEjected(ActiveRequest active) {
        return active.attempts.isEmpty() && active.requestClass.semantics() != Semantics.UNSAFE;
    }

    private Server pickOfTwo(long now, ActiveRequest active, WeightedTable table, boolean needsFreeCore) {
        Server first = drawServer(now, active, table, needsFreeCore, null);
        Server second = first == null ? null : drawServer(now, active, table, needsFreeCore, first);
        return second == null ? first : lessBusy(now, first, second);
    }

    /** The server whose load report is being handled. */
    private Server lastReporter;

    /** A sidecar of many sees too little of the servers' load, so both drawn servers are probed. A free core
     * takes the request; after some pairs without, the less loaded with room. A server with no answer by the
     * next sweep is passed over. A request whose pairs had no free core takes the next one reported. */
    private Server pickByProbes(long now, ActiveRequest active, Server due) {
        if (lastReporter != null && active.probedPairs > 0 && hasRoom(now, active, lastReporter, true)) {
            active.firstCandidate = null;
            return lastReporter;
        }
        if (active.firstCandidate == null) {
            active.firstCandidate = now < active.nextProbeAt
                    ? null
                    : due != null ? due : drawServer(now, active, allTable, false, null);
            if (active.firstCandidate == null) return null;
            active.secondCandidate = drawServer(now, active, allTable, false, active.firstCandidate);
            active.probedAt = now;
            probeLoad(now, active.firstCandidate);
            probeLoad(now, active.secondCandidate);
            return null;
        }
        boolean secondAnswered =
                active.secondCandidate == null || active.secondCandidate.loadReportedAt >= active.probedAt;
        boolean answered = active.firstCandidate.loadReportedAt >= active.probedAt && secondAnswered;
        if (!answered && now - active.probedAt < SWEEP_INTERVAL_US) return null;
        Server best = null;
        for (Server s : new Server[] {active.firstCandidate, active.secondCandidate}) {
            if (s != null && s.loadReportedAt >= active.probedAt && hasRoom(now, active, s, false)) {
                best = best == null ? s : lessBusy(now, best, s);
            }
        }
        active.firstCandidate = null;
        active.probedPairs++;
        if (best != null && (active.probedPairs >= PROBED_PAIRS || hasRoom(now, active, best, true))) {
            return best;
        }
        if (active.probedPairs < PROBED_PAIRS) return pickByProbes(now, active, due);
        // Probes less and less often, to bound what a long wait costs.
        active.nextProbeAt = now + (SWEEP_INTERVAL_US << Math.min(active.probedPairs - PROBED_PAIRS, 2));
        return null;
    }

    private void probeLoad(long now, Server server) {
        if (server != null && now - server.probeSentAt > PROBE_TIMEOUT_US) {
            server.probeSentAt = now;
            actions.probe(server.id);
        }
    }

    private Server lessBusy(long now, Server first, Server second) {
        double difference = loadOf(first, now) / first.kind.cores - loadOf(second, now) / second.kind.cores;
        if (Math.abs(difference) > (probesLoad ? 0.5 : 1e-9)) return difference < 0 ? first : second;
        return rng.nextDouble() * (first.share + second.share) < first.share ? first : second;
    }

    /** Draws a server with room by its share: for a key always the same one, which has seen it before, and
     * over all keys each by its share (weighted rendezvous hashing: Schindelhauer, Schomaker 2005); else at
     * random, by a few draws from the table and then a scan of all of it. */
    private Server drawServer(
            long now, ActiveRequest active, WeightedTable table, boolean needsFreeCore, Server excluded) {
        long key = active.request.key();
        for (int i = 0; i < RANDOM_DRAWS && key < 0 && table.size() > 0; i++) {
            Server server = table.draw(rng.nextDouble());
            if (server != excluded && hasRoom(now, active, server, needsFreeCore)) return server;
        }
        int hash = key < 0 ? rng.nextInt() : Long.hashCode(key);
        double min = Double.MAX_VALUE;
        Server chosen = null;
        for (int i = 0; i < table.size(); i++) {
            Server server = table.get(i);
            double score = -Math.log(((mixHash(server.hash, hash) >>> 1) + 1.0) / (1L << 31)) / server.share;
            if (server == excluded || score >= min || !hasRoom(now, active, server, needsFreeCore)) continue;
            min = score;
            chosen = server;
        }
        return chosen;
    }

    private ServerWeights weights;

    /** Weights only scale the shares: none makes a server ready, warm or trusted. */
    @Override
    public void onServerWeights(long now, ServerWeights newWeights) {
        weights = newWeights;
        sharesSolvedAt = now - SHARES_INTERVAL_US;
    }

    private double weightOf(long now, Server server) {
        return weights == null || now >= weights.validUntilUs() ? 1 : weights.weightOf(server.id);
    }

    private boolean hasRoom(long now, ActiveRequest active, Server server, boolean needsFreeCore) {
        if (now < Math.max(server.ejectedUntil, server.assumedFullUntil)
                || server.ejections > 0 && server.inFlight > 0) {
            return false;
        }
        if (weightOf(now, server) <= 0 || !canSend(now, active, server)) return false;
        double cores = Math.max(1, server.kind.cores) * capacityFraction(server, now);
        double load = loadOf(server, now);
        if (needsFreeCore) return load < Math.max(1, Math.round(cores)) - 0.5;
        return load + 1 <= Math.max(1, cores + HEADROOM * Math.sqrt(cores)) + (probesLoad ? 0.5 : 0.01)
                && (!serverLoadUnknown && load < 0.5 && capacityFraction(server, now) >= 1
                        || now + expectedUs(server, active.serviceUs, load, now) <= active.usefulUntil);
    }

    // ---- admission ------------------------------------------------------------------------------
    final Map<String, ActiveRequest> activeRequests = new HashMap<>();
    private final List<ActiveRequest> queue = new ArrayList<>();
    private boolean sweepScheduled;

    @Override
    public void onRequest(long now, Request request) {
        arrivals++;
        ActiveRequest active = new ActiveRequest();
        active.request = request;
        active.requestClass = classes.get(request.requestClass());
        if (active.requestClass == null) {
            throw new IllegalArgumentException("unknown request class '" + request.requestClass() + "'");
        }
        active.serviceUs =
                request.costHintUs() > 0 ? request.costHintUs() : classWorkUs.get(active.requestClass.name());
        meanWorkUs += 0.01 * (Math.min(active.serviceUs, LATENCY_CLAMP * meanWorkUs) - meanWorkUs);
        active.deadlineAt = now + request.remainingUs();
        long aim = (long) (active.requestClass.aimUs() + active.requestClass.aimStretch() * active.serviceUs);
        active.firstRequestedAt = firstRequestedAt(now, active);
        active.usefulUntil = Math.min(
                active.deadlineAt,
                active.requestClass.lateWorth() > 0 ? active.deadlineAt : active.firstRequestedAt + aim);
        active.queueOrder = now + (long) (aim * maxWorth / worthPerWork(active.requestClass));
        activeRequests.put(request.id(), active);
        long waitUs = limitUsages.isEmpty() ? 0 : acquireLimits(now, active);
        if (waitUs > 0) {
            refuse(active, Math.max(waitUs, active.requestClass.aimUs() / 2));
            return;
        }
        if (serverLoadUnknown
                && rng.nextDouble() < Math.min(MAX_SHED, SHED_SLOPE * (congestion / SHED_THRESHOLD - 1))) {
            refuseOrFail(now, active);
            return;
        }
        Server server = queue.isEmpty() || probesLoad ? pickServer(now, active) : null;
        if (server == null) enqueue(now, active);
        else send(now, active, server);
    }

    /** Worth per unit of work: with too little capacity, the most valuable work goes first. */
    private double worthPerWork(RequestClass spec) {
        return config.worthByWork() ? spec.worth() : spec.worth() * meanWorkUs / classWorkUs.get(spec.name());
    }

    /** First tries of unserved requests by class and key: a client's retry continues its request. */
    private final Map<List<Object>, Long> unserved = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<List<Object>, Long> eldest) {
            return size() > MAX_UNSERVED;
        }
    };

    private long firstRequestedAt(long now, ActiveRequest active) {
        if (!active.request.clientRetry() || active.request.key() < 0) return now;
        Long first = unserved.remove(List.of(active.requestClass.name(), active.request.key()));
        return first != null && now - first < active.requestClass.deadlineUs() ? first : now;
    }

    private void rememberUnserved(ActiveRequest active) {
        if (active.request.key() >= 0) {
            unserved.put(List.of(active.requestClass.name(), active.request.key()), active.firstRequestedAt);
        }
    }

    private void enqueue(long now, ActiveRequest active) {
        if (now >= latestStart(active)) {
            // Too little time, as on a client's last try: the next sweep would come after the deadline.
            refuseOrFail(now, active);
            return;
        }
        active.queued = true;
        int at = queue.size();
        while (at > 0 && queue.get(at - 1).queueOrder > active.queueOrder) at--;
        queue.add(at, active);
        scheduleSweep();
    }

    private void scheduleSweep() {
        if (sweepScheduled || queue.isEmpty()) return;
        sweepScheduled = true;
        actions.startTimer(SWEEP, SWEEP_INTERVAL_US);
    }

    /** Sends queued requests in order while there is room; {@code sweep} also ends those too late. */
    private void dispatchQueue(long now, boolean sweep) {
        boolean hasRoom = true;
        for (int i = 0; i < queue.size() && (hasRoom || sweep); i++) {
            ActiveRequest active = queue.get(i);
            Server server = hasRoom || !active.attempts.isEmpty() ? pickServer(now, active) : null;
            if (server != null || now >= latestStart(active)) {
                queue.remove(i--);
                active.queued = false;
                if (server != null) send(now, active, server);
                else refuseOrFail(now, active);
            } else {
                // A first attempt may go anywhere and found no room: those behind it wait too, in order.
                hasRoom &= probesLoad || !active.attempts.isEmpty();
            }
        }
    }

    /** The latest start at which an answer in time can be expected. */
    private long latestStart(ActiveRequest active) {
        // A request whose servers are being probed is not waiting yet: no slack is subtracted.
        long forAim = (long) (active.usefulUntil
                - (active.firstCandidate != null ? 0 : SLACK_SERVICES * bestSlowness * active.serviceUs));
        return Math.min(active.deadlineAt - SWEEP_INTERVAL_US - 2 * config.tickUs(), forAim);
    }

    private void refuseOrFail(long now, ActiveRequest active) {
        if (canRefuse(active)) {
            refuse(active, config.limits().retryAfter() ? active.requestClass.aimUs() / 2 : 0);
        } else {
            fail(active);
        }
    }

    // ---- attempts -------------------------------------------------------------------------------
    /** Whether the protocol rules allow this attempt; checked at every send, whatever chose the server. */
    boolean canSend(long now, ActiveRequest active, Server server) {
        boolean exhausted = active.attempts.size() >= config.limits().maxAttempts();
        if (active.finished || active.streaming || !server.ready || now >= active.deadlineAt || exhausted) {
            return false;
        }
        for (Attempt attempt : active.attempts) {
            if (!attempt.ended && !config.limits().secondCopies()) return false;
            if (attempt.mayHaveRun && !canRepeat(active.requestClass, attempt, server, now)) return false;
        }
        return slowStart.canSend(now, server, active.serviceUs, meanWorkUs);
    }

    /** During connection setup the deduplication window or the cold server's slot may have ended. */
    @Override
    public boolean canStartAttempt(long now, String requestId, int number) {
        ActiveRequest active = activeRequests.get(requestId);
        if (active == null || active.finished || number >= active.attempts.size()) return false;
        Attempt attempt = active.attempts.get(number);
        Server server = attempt.server;
        for (Attempt prior : active.attempts.subList(0, number)) {
            if (prior.mayHaveRun && !canRepeat(active.requestClass, prior, server, now)) return false;
        }
        return server.ready && slowStart.canStart(now, server, attempt.sentAt, active.serviceUs, meanWorkUs);
    }

    private static boolean canRepeat(RequestClass spec, Attempt prior, Server server, long now) {
        if (spec.semantics() == Semantics.SAFE) return true;
        if (spec.semantics() == Semantics.UNSAFE || now - prior.sentAt >= spec.dedupWindowUs()) return false;
        return switch (spec.dedupScope()) {
            case ALL -> true;
            case ZONE -> server.listing.zone().equals(prior.listing.zone());
            case CELL -> server.listing.cell() == prior.listing.cell();
        };
    }

    /** A refusal states that nothing has run, in any class: requests that may have run are failed. */
    private boolean canRefuse(ActiveRequest active) {
        return !active.finished && !active.streaming && active.attempts.stream().noneMatch(a -> a.mayHaveRun);
    }

    private void send(long now, ActiveRequest active, Server server) {
        if (!canSend(now, active, server)) throw new IllegalStateException("attempt violates protocol rules");
        Attempt attempt = new Attempt();
        attempt.owner = active;
        attempt.server = server;
        attempt.listing = server.listing;
        attempt.sentAt = now;
        attempt.loadAtSend = server.reportedLoad > server.inFlight ? loadOf(server, now) : server.inFlight;
        attempt.expectedUs = expectedUs(server, active.serviceUs, attempt.loadAtSend, now);
        attempt.expectedStandardUs = attempt.expectedUs / server.slowness();
        active.attempts.add(attempt);
        // The rest of a body may take long to arrive: the server starts when it has all of it.
        if (!active.request.bodyIncomplete()) occupyServer(now, attempt);
        slowStart.recordSend(now, server, active.serviceUs);
        boolean serverBusy = server.inFlight > (attempt.running ? 1 : 0);
        attempt.idleUs = serverBusy || now - server.lastUsedAt > config.limits().connectionIdleUs()
                ? 0
                : now - server.lastUsedAt;
        // A trial after an ejection uses a new connection, so that only the server can be at fault.
        if (attempt.idleUs >= idleLimitUs
                || usesSubset && server.ejections > 0 && attempt.idleUs >= MIN_IDLE_LIMIT_US) {
            actions.closeIdleConnections(server.id);
            attempt.idleUs = 0;
        }
        server.lastUsedAt = now;
        actions.send(active.request.id(), server.id, active.deadlineAt);
    }

    private void occupyServer(long now, Attempt attempt) {
        attempt.running = true;
        attempt.sentAt = now;
        attempt.server.inFlightAttempts.addLast(attempt);
        attempt.server.inFlight++;
    }

    private void releaseServer(long now, Attempt attempt) {
        if (attempt.running) attempt.server.inFlight--;
        attempt.running = false;
        attempt.server.lastUsedAt = now;
    }

    @Override
    public void onRequestSent(long now, String requestId, int number) {
        ActiveRequest active = activeRequests.get(requestId);
        if (active == null || number >= active.attempts.size()) return;
        Attempt attempt = active.attempts.get(number);
        if (!attempt.ended && !attempt.running) occupyServer(now, attempt);
    }

    private void refuse(ActiveRequest active, long retryAfterUs) {
        if (!canRefuse(active)) throw new IllegalStateException("refusal of a request that may have run");
        finish(active);
        rememberUnserved(active);
        actions.refuse(
                active.request.id(), Math.min(retryAfterUs, config.limits().maxRetryAfterUs()));
    }

    private void fail(ActiveRequest active) {
        if (active.finished) return;
        finish(active);
        rememberUnserved(active);
        actions.fail(active.request.id());
    }

    private void finish(ActiveRequest active) {
        active.finished = true;
        for (LimitUsage usage : active.limits) usage.inFlight--;
        active.limits = List.of();
        if (active.queued) queue.remove(active);
        active.queued = false;
        if (active.attempts.stream().allMatch(a -> a.ended)) activeRequests.remove(active.request.id());
    }

    @Override
    public void onOutcome(
            long now,
            String requestId,
            int attemptIndex,
            String upstream,
            Outcome outcome,
            long latencyUs,
            boolean done,
            LoadReport report) {
        ActiveRequest active = activeRequests.get(requestId);
        recordLoadReport(upstream, report, now);
        lastReporter = active == null ? null : lastReporter;
        if (active == null
                || attemptIndex < 0
                || attemptIndex >= active.attempts.size()
                || active.attempts.get(attemptIndex).ended) {
            return;
        }
        Attempt attempt = active.attempts.get(attemptIndex);
        Server server = attempt.server;
        attempt.ended = true;
        attempt.mayHaveRun = outcome.mayHaveRun;
        releaseServer(now, attempt);
        closeIdleIfLeaving(server);
        // The server's part of a streamed answer was recorded when the stream started.
        if (!active.streaming || active.requestClass.stream() || outcome != Outcome.OK) {
            evaluate(now, server, attempt, outcome, latencyUs);
        }
        if (done || active.finished) finish(active);
        else if (!active.streaming) retryOrFinish(now, active);
        dispatchQueue(now, false);
        lastReporter = null;
    }

    /** After a failed attempt: retries where the rules and the time allow, else ends the request. */
    private void retryOrFinish(long now, ActiveRequest active) {
        if (active.attempts.stream().anyMatch(attempt -> !attempt.ended)) return;
        Server server = now < latestStart(active) ? pickServer(now, active) : null;
        if (server != null) send(now, active, server);
        else if (readyServers.stream().anyMatch(other -> canSend(now, active, other))) enqueue(now, active);
        else refuseOrFail(now, active);
    }

    /** Idle time after which connections are taken to be dropped silently; MAX_VALUE if none are. */
    private long idleLimitUs = Long.MAX_VALUE;

    /** When that was set; the longest recent idle time of a connection that worked, and when that was. */
    private long idleLimitSetAt, idleOkUs, idleOkAt;
    /** Last drop seen here: only own observations go to peers, or they would circulate for ever. */
    private long ownIdleDropAt = Long.MIN_VALUE / 2;

    /** Whether a failure is attributed to a connection that was idle for long, not to its server. Connections
     * idle about as long are then closed before use, until no such failure has been seen for a while. */
    private boolean detectIdleDrop(long now, Attempt attempt, Outcome outcome) {
        if (idleLimitUs < Long.MAX_VALUE && now - idleLimitSetAt > IDLE_LIMIT_TTL_US) {
            idleLimitSetAt = now;
            idleLimitUs = idleLimitUs > config.limits().connectionIdleUs() ? Long.MAX_VALUE : idleLimitUs * 2;
        }
        if (outcome == Outcome.OK && (attempt.idleUs >= idleOkUs || now - idleOkAt > ESTIMATE_TTL_US)) {
            idleOkUs = attempt.idleUs;
            idleOkAt = now;
        }
        // A time-out may mean overload if a connection idle about as long has worked recently,
        boolean worked = now - idleOkAt < ESTIMATE_TTL_US && attempt.idleUs * 3 / 4 <= idleOkUs;
        // or an outage if one was attributed to the connection before and no success came since.
        boolean attributed = attempt.server.idleDropSuspected;
        boolean suspect = outcome == Outcome.RESET || outcome == Outcome.TIMEOUT && !worked && !attributed;
        if (!usesSubset || !suspect || attempt.idleUs < MIN_IDLE_LIMIT_US) return false;
        attempt.server.idleDropSuspected = true;
        ownIdleDropAt = now;
        actions.reportEvidence(attempt.server.id, Evidence.DROPS_IDLE, attempt.idleUs * 3 / 4e3);
        lowerIdleLimit(now, attempt.idleUs * 3 / 4);
        return true;
    }

    private void lowerIdleLimit(long now, long limitUs) {
        idleLimitUs = Math.min(idleLimitUs, Math.max(MIN_IDLE_LIMIT_US, limitUs));
        idleLimitSetAt = now;
    }

    private void evaluate(long now, Server server, Attempt attempt, Outcome outcome, long latencyUs) {
        if (detectIdleDrop(now, attempt, outcome)) return;
        switch (outcome) {
            case OK -> {
                if (server.ejections > 0) actions.reportEvidence(server.id, Evidence.GOOD, 1);
                server.failures = server.ejections = server.rejects = 0;
                server.failedAt = Long.MIN_VALUE / 2;
                server.idleDropSuspected = false;
                server.succeededAt = now;
                awaitingFirstAnswer.remove(server);
                updateEstimates(server, attempt, latencyUs, true, now);
            }
            case TIMEOUT, CANCELLED -> {
                // A server that has answered others since the send is slow, not silent.
                boolean silent = outcome == Outcome.TIMEOUT && server.succeededAt < attempt.sentAt;
                updateEstimates(server, attempt, latencyUs, false, now);
                // A trial of a verdict ejects at its first time-out: no second request is lost.
                int weight = server.ejections > 0 && witnessedOutages.contains(server) ? MAX_FAILURES : 1;
                recordFailure(now, server, silent ? weight : 0, Evidence.SILENT);
            }
            case ERROR -> {
                boolean fast = latencyUs < attempt.expectedUs / FAST_FAILURE_RATIO;
                recordFailure(now, server, 1, fast ? Evidence.FAILING_FAST : Evidence.FAILING);
            }
            case RESET -> recordFailure(now, server, 1, Evidence.FAILING);
            case CONNECT_FAILED -> recordFailure(now, server, MAX_FAILURES, Evidence.SILENT);
            case REJECTED -> {
                if (config.loadReporting() == LoadReporting.NONE) {
                    backOff(server, now);
                } else {
                    // Rejects while nearly idle: it is shutting down, or its admission is broken.
                    if (server.inFlight < server.kind.cores) {
                        server.ejections = Math.max(2, server.ejections);
                        recordFailure(now, server, MAX_FAILURES, Evidence.FAILING);
                    }
                    markFull(server, now);
                }
            }
        }
    }

    /** Without load reports a rejecting server is full of others' requests, however few own ones it holds: no
     * failure, and it has room once it completes one. Each consecutive rejection doubles the wait, since a
     * server that is shutting down never has room again. */
    private void backOff(Server server, long now) {
        double waitUs = server.slowness() * meanWorkUs / Math.max(1, server.kind.cores);
        server.assumedFullUntil =
                now + (long) Math.min(MAX_FULL_US, waitUs * (1 << Math.min(server.rejects++, MAX_DOUBLINGS)));
    }

    private void markFull(Server server, long now) {
        server.reportedLoad =
                Math.max(loadOf(server, now), server.kind.cores + HEADROOM * Math.sqrt(server.kind.cores));
        server.loadReportedAt = now;
    }

    private void recordFailure(long now, Server server, int weight, Evidence evidence) {
        server.failures += weight;
        if (now < server.ejectedUntil) return;
        boolean ejected = server.failures >= MAX_FAILURES;
        // Once a server is known to fail, each further failure renews the evidence.
        if (ejected || weight > 0 && server.failedAt >= 0) {
            server.failedAt = now;
            actions.reportEvidence(server.id, evidence, server.failures);
        }
        if (!ejected) return;
        server.failures = 0;
        server.ejectedUntil =
                now + Math.min(MAX_EJECTION_US, MIN_EJECTION_US << Math.min(server.ejections, MAX_DOUBLINGS));
        server.ejections++;
    }

    @Override
    public void onStreamStart(long now, String requestId, int number, String upstream, long latencyUs) {
        ActiveRequest active = activeRequests.get(requestId);
        if (active == null || number >= active.attempts.size() || active.attempts.get(number).ended) return;
        active.streaming = true;
        if (active.queued) queue.remove(active);
        active.queued = false;
        // A stream occupies its server to the end; a long answer was complete when it started.
        if (active.requestClass.stream()) return;
        releaseServer(now, active.attempts.get(number));
        evaluate(now, active.attempts.get(number).server, active.attempts.get(number), Outcome.OK, latencyUs);
        dispatchQueue(now, false);
    }

    @Override
    public void onRequestExpired(long now, String requestId) {
        ActiveRequest active = activeRequests.get(requestId);
        if (active == null) return;
        if (!active.finished) rememberUnserved(active);
        finish(active);
    }

    @Override
    public void onProbeResult(long now, String upstream, Outcome outcome, long latencyUs, LoadReport report) {
        Server server = servers.get(upstream);
        if (server == null) return;
        server.probeSentAt = 0;
        // A probe that was not sent or was cancelled says nothing about the server.
        boolean answerExpected = outcome != Outcome.NOT_SENT && outcome != Outcome.CANCELLED;
        if (answerExpected && outcome != Outcome.OK) {
            recordFailure(now, server, outcome == Outcome.CONNECT_FAILED ? MAX_FAILURES : 1, Evidence.SILENT);
        } else if (answerExpected && report == null) {
            // It answers without its load: assumed busy rather than idle.
            markFull(server, now);
        }
        recordLoadReport(upstream, report, now);
        dispatchQueue(now, false);
        lastReporter = null;
    }

    @Override
    public void onTimer(long now, String mark) {
        switch (mark) {
            case SWEEP -> {
                sweepScheduled = false;
                dispatchQueue(now, true);
                scheduleSweep();
            }
            case GOSSIP -> sendPeerMessage(now);
            case DISCOVERY -> subscribe();
        }
    }

    // ---- discovery ------------------------------------------------------------------------------
    private boolean subscribed, listRequested;
    private long discoveryRetryUs = MIN_DISCOVERY_RETRY_US;

    private void subscribe() {
        if (listRequested || subscribed) return;
        listRequested = true;
        actions.subscribe();
    }

    private void updateSubscription(long now, ListKind kind) {
        if (!config.discoveryOnRequest() || kind == ListKind.CACHED) return;
        listRequested = false;
        subscribed = kind != ListKind.FAILED;
        // Jittered, so that sidecars that failed together do not retry together.
        if (!subscribed) actions.startTimer(DISCOVERY, discoveryRetryUs / 2 + rng.nextLong(discoveryRetryUs));
        discoveryRetryUs = subscribed
                ? MIN_DISCOVERY_RETRY_US
                : Math.min(discoveryRetryUs * 2, config.rules().discoveryRetryUs() / 2 + 1);
    }

    // ---- peers ----------------------------------------------------------------------------------
    /** Average request rate per sidecar, split by the sidecar's zone: the sum is the fleet's average. */
    private final double[] zoneRate;

    private double[] zoneShare;
    private long peerHeardAt = Long.MIN_VALUE / 2;
    private int peerMessagesSent;

    /** Gossip averaging with one peer at a time, so that the cost does not grow with the fleet. Each sidecar
     * averages received rates with its own and moves towards its own rate: all come near the fleet's mean. */
    private void sendPeerMessage(long now) {
        updateOwnRate(now);
        peerMessagesSent++;
        for (int z = 0; z < zoneRate.length; z++) {
            double own = z == homeZone ? ownRate : 0;
            zoneRate[z] += (own - zoneRate[z]) * Math.max(OWN_RATE_GAIN, 1.0 / peerMessagesSent);
        }
        PeerMessage message = new PeerMessage(zoneRate.length, config.kinds().size());
        System.arraycopy(zoneRate, 0, message.zoneRates, 0, zoneRate.length);
        for (int i = 0; i < message.slowness.length; i++) {
            ServerKind kind = kinds.get(config.kinds().get(i));
            message.slowness[i] = kind.slowness;
            message.answers[i] = Math.min(MAX_ANSWERS, kind.answers);
        }
        message.congestion = congestion;
        message.idleLimitUs = now - ownIdleDropAt < IDLE_LIMIT_TTL_US ? idleLimitUs : 0;
        actions.sendToPeer(
                (config.sidecarIndex() + 1 + rng.nextInt(config.sidecarCount() - 1)) % config.sidecarCount(),
                message.encode());
        actions.startTimer(GOSSIP, PEER_INTERVAL_US);
    }

    /** Speeds weigh by their numbers of answers. A false message has little effect; later ones undo it. */
    @Override
    public void onPeerMessage(long now, int peer, byte[] bytes) {
        boolean known = peer >= 0 && peer < config.sidecarCount() && peer != config.sidecarIndex();
        PeerMessage message = new PeerMessage(zoneRate.length, config.kinds().size());
        if (!known || !message.decode(bytes)) return;
        peerHeardAt = now;
        for (int z = 0; z < zoneRate.length; z++) zoneRate[z] += (message.zoneRates[z] - zoneRate[z]) / 2;
        for (int i = 0; i < message.slowness.length; i++) {
            ServerKind kind = kinds.get(config.kinds().get(i));
            int answers = Math.min(MAX_ANSWERS, message.answers[i]);
            if (message.slowness[i] <= 0 || answers == 0) continue;
            kind.slowness += (message.slowness[i] - kind.slowness)
                    / 2
                    * answers
                    / (answers + Math.min(MAX_ANSWERS, kind.answers));
            kind.answers = Math.max(kind.answers, answers / 2);
        }
        congestion += (Math.min(2 * LATENCY_CLAMP, message.congestion) - congestion) / 2;
        if (message.idleLimitUs > 0) lowerIdleLimit(now, message.idleLimitUs);
    }

    @Override
    public byte[] exportEstimates() {
        Estimates estimates = new Estimates(config);
        for (int i = 0; i < estimates.slowness.length; i++) {
            estimates.copyFrom(i, kinds.get(config.kinds().get(i)), MAX_ANSWERS);
        }
        Arrays.setAll(
                estimates.classWorkUs,
                i -> classWorkUs.get(config.classes().get(i).name()));
        System.arraycopy(zoneRate, 0, estimates.zoneRates, 0, zoneRate.length);
        estimates.meanWorkUs = meanWorkUs;
        estimates.congestion = congestion;
        return estimates.encode();
    }

    @Override
    public int importEstimates(long now, List<byte[]> exports) {
        int read = (int) exports.stream().filter(new Estimates(config)::decode).count();
        Estimates estimates = Estimates.median(config, exports);
        if (estimates == null || kinds.values().stream().anyMatch(k -> k.answers >= MAX_ANSWERS)) return read;
        for (int i = 0; i < estimates.slowness.length; i++) {
            ServerKind kind = kinds.get(config.kinds().get(i));
            if (estimates.answers[i] >= MAX_ANSWERS / 2 && kind.answers <= estimates.answers[i]) {
                estimates.copyTo(i, kind);
            }
        }
        for (int i = 0; i < estimates.classWorkUs.length; i++) {
            classWorkUs.put(config.classes().get(i).name(), Math.max(1, estimates.classWorkUs[i]));
        }
        System.arraycopy(estimates.zoneRates, 0, zoneRate, 0, zoneRate.length);
        meanWorkUs = estimates.meanWorkUs;
        congestion = estimates.congestion;
        peerHeardAt = now;
        peerMessagesSent = Math.max(peerMessagesSent, MAX_ANSWERS);
        return read;
    }
}

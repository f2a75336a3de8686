package rushproxy;

import java.util.*;
import rushproxy.PolicyState.*;

/**
 * All decisions of the balancer; its interface (events, actions, settings) is {@link Balancer} in
 * Balancer.java.
 *
 * <p>HALO Power-of-D, D = 2: Eq. (4) splits the fleet's rate over the server kinds, each request draws two
 * servers by p_i/k_i and goes to the one with fewer in flight. Servers that leave their kind are groups of
 * their own; full ones leave the draw and requests wait here; one gate each for sends, refusals and failures
 * keeps the rules.
 */
public final class Policy implements Balancer {
    // ---- constants ------------------------------------------------------------------------------
    /** Eq. (4) is solved again this often: well under the seconds in which speeds and rates change. */
    private static final long SHARES_INTERVAL_US = 100_000;
    /** Time over which the own request rate is averaged: a burst shows within a second or two. */
    private static final double RATE_AVERAGING_US = 2_000_000;
    /** Step of the speed estimates: about ten answers tell a server's speed. */
    private static final double ESTIMATE_GAIN = 0.1;
    /** One answer counts as at most this many times slower than expected: costs have long tails. */
    private static final double MAX_RELATIVE_LATENCY = 3;
    /** A server so many times off its kind is a group of its own; beyond the estimates' noise. */
    private static final double OUTLIER_RATIO = 1.6;
    /** Without answers for this long an estimate starts to return, so that a server is tried again. */
    private static final long ESTIMATE_EXPIRY_US = 3_000_000;
    /** First guess of cores where nothing tells; answers and reports correct it. */
    static final double INITIAL_CORES = 2;
    /** Square-root staffing: a server holds at most cores + this times root of cores. */
    private static final double HEADROOM_FACTOR = 1;
    /** A waiting request starts no later than this many expected services before its aim. */
    private static final double SLACK_SERVICES = 1.5;
    /** Waiting requests are looked through this often, to give up in time those that find no room. */
    private static final long SWEEP_INTERVAL_US = 5_000;
    /** Failures in a row after which a server is left alone for a while. */
    private static final int EJECT_AFTER_FAILURES = 2;

    private static final long MIN_EJECTION_US = 500_000, MAX_EJECTION_US = 8_000_000;
    /** Each sidecar tells one other its rate this often. */
    private static final long PEER_INTERVAL_US = 500_000;
    /** As many answers tell a kind's speed well; more count no more. */
    private static final int MAX_ANSWERS = 40;
    /** Unserved requests remembered for their next try: some seconds of them in a crowd. */
    private static final int MAX_UNSERVED = 2_000;
    /** The means of rates lean to the own rate by this at each message sent. */
    private static final double OWN_RATE_GAIN = 0.03;
    /** Where no load is told, requests are shed above this, and at half as much again nearly all. */
    private static final double SHED_THRESHOLD = 1.5, SHED_SLOPE = 2;
    /** The best is forgotten by this at each solution, so that a lucky start does not count for ever. */
    private static final double BEST_SLOWNESS_GROWTH = 1.0005;

    private static final long INFORMATION_TTL_US = 5_000_000;
    /** Own answers that are younger speak louder than peers. */
    private static final long OWN_EVIDENCE_TTL_US = 2_000_000;
    /** An error so many times faster than an answer draws requests to its server. */
    private static final double FAST_FAILURE_RATIO = 4;
    /** Seconds of a limit's share that may come at once. */
    private static final double LIMIT_BURST_S = 0.25;
    /** Points of the result that the probes of one pair may cost at most. */
    private static final double MAX_PROBE_PAIR_PRICE = 0.005;

    private static final long MIN_DISCOVERY_RETRY_US = 500_000;
    /** A probe not answered for this long may be sent again. */
    private static final long PROBE_TIMEOUT_US = 100_000;
    /** Draws in want of room before all are looked through; pairs asked before a short queue will do. */
    private static final int RANDOM_DRAWS = 4, PROBED_PAIRS = 3;
    /** Sidecars that share one server where connections cost: enough that their streams even out. */
    private static final int SIDECARS_PER_SERVER = 10;
    /** Least number of servers in a sidecar's subset: two draws and one in reserve. */
    private static final int MIN_SUBSET_SIZE = 3;
    /** A connection idle for less than this is not suspected of having been dropped meanwhile. */
    private static final long MIN_IDLE_LIMIT_US = 200_000;

    private static final long IDLE_LIMIT_TTL_US = 5_000_000;

    private final Settings config;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private double maxWorth;
    /** The two drawn servers are asked for their load by probes: the paper's sampled load itself. */
    private final boolean probesLoad;

    private final SlowStart slowStart;
    /** Connections and handshakes have a price: a sidecar keeps to a few servers of each kind. */
    private final boolean usesSubset;
    /** No load is told, and more sidecars than share a server: own requests say little of it. */
    private final boolean loadUnknown;

    private final double initialCores;
    private final int homeZone;

    public Policy(Settings settings, long seed, long now, Actions actions) {
        config = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
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
            this.actions.startTimer("tell", PEER_INTERVAL_US / 2 + random.nextLong(PEER_INTERVAL_US));
        }
        slowStart = new SlowStart(config, probesLoad);
        loadUnknown = !probesLoad && config.sidecarCount() > SIDECARS_PER_SERVER;
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
    /** Ready servers; with a subset in the order that all sidecars share. */
    private final List<Server> readyServers = new ArrayList<>();

    private List<Server> subset = List.of();
    private long subsetChosenAt;
    private double subsetTarget;

    @Override
    public void onUpstreamList(long now, ListKind listKind, List<Upstream> entries) {
        updateSubscription(now, listKind);
        if (listKind == ListKind.FAILED) return;
        Set<String> named = new HashSet<>();
        for (Upstream u : entries) {
            named.add(u.id());
            Server s = servers.get(u.id());
            if (s == null) {
                ServerKind kind = kinds.computeIfAbsent(u.kind(), k -> new ServerKind(initialCores));
                s = new Server(u, kind, config.zones().indexOf(u.zone()), mixHash(u.id().hashCode(), 0));
                servers.put(u.id(), s);
            } else if (u.startedUs() != s.listing.startedUs()) {
                resetAfterRestart(s);
            }
            s.listing = u;
            updateReadiness(s);
        }
        for (Server s : servers.values()) {
            if (listKind == ListKind.DELTA || named.contains(s.id)) continue;
            s.ready = false;
            closeIdleIfLeaving(s);
        }
        onServersChanged(now);
    }

    private void onServersChanged(long now) {
        readyServers.clear();
        servers.values().stream().filter(s -> s.ready).forEach(readyServers::add);
        if (usesSubset)
            readyServers.sort(Comparator.comparingInt((Server s) -> s.hash).thenComparing(s -> s.id));
        sharesSolvedAt = now - SHARES_INTERVAL_US;
        subsetChosenAt = now - PEER_INTERVAL_US - 1;
        dispatchQueue(now, false);
    }

    private static void resetAfterRestart(Server s) {
        s.relativeSlowness = 1;
        s.failures = s.ejections = s.rejections = 0;
        s.ejectedUntil = s.fullUntil = s.lastUsedAt = 0;
        s.lastFailureAt = Long.MIN_VALUE / 2;
        s.idleDropSuspected = false;
    }

    /** What the operators leave out, and when they had the others back; ids need not be listed. */
    private final Set<String> cordoned = new HashSet<>();

    private final Map<String, Long> uncordonedAt = new HashMap<>();
    /** Back, and not yet heard of: a cold server may have no share for seconds, yet its users wait for it. */
    private final Set<Server> awaitingFirstAnswer = new LinkedHashSet<>();

    @Override
    public void onCordon(long now, String upstream, boolean leftOut, long atUs) {
        Server s = servers.get(upstream);
        if (leftOut) {
            cordoned.add(upstream);
            if (s != null) awaitingFirstAnswer.remove(s);
        } else {
            cordoned.remove(upstream);
            uncordonedAt.put(upstream, Math.min(now, atUs));
            if (s != null) {
                resetAfterRestart(s);
                awaitingFirstAnswer.add(s);
            }
        }
        if (s == null) return;
        updateReadiness(s);
        onServersChanged(now);
    }

    /** Whether the list and the operators let it be used, and since when it runs. */
    private void updateReadiness(Server s) {
        s.startedAt = Math.max(s.listing.startedUs(), uncordonedAt.getOrDefault(s.id, 0L));
        s.ready = s.listing.state() == UpstreamState.READY && !cordoned.contains(s.id);
        closeIdleIfLeaving(s);
    }

    /** Fifth rule: idle connections to a server that leaves are closed at the notice and after each later
     * outcome there. Also when it vanishes from the list, where a drain may have gone unseen. */
    private void closeIdleIfLeaving(Server s) {
        if (config.rules().closeOnDrainWithinUs() > 0 && !s.ready && s.lastUsedAt > 0)
            actions.closeIdleConnections(s.id);
    }

    private boolean hasCrossZonePrice() {
        return config.prices().crossZone() >= 0.02;
    }

    /** A hash that spreads neighbouring numbers; the same at every sidecar. */
    static int mixHash(int a, int b) {
        int x = (a ^ b * 0x9e3779b9) * 0x85ebca6b;
        x = (x ^ x >>> 15) * 0xc2b2ae35;
        return x ^ x >>> 16;
    }

    /** Where connections cost, the servers to keep to: of each kind an arc of an order that all share,
     * from a point of the own number's: even over servers, and a change of the list moves one place at most.
     * Its length follows the own part of the fleet's rate: a server has as many streams at all sizes. */
    private List<Server> chooseSubset(long now) {
        zoneFraction = zoneFractions(now);
        if (!usesSubset) return readyServers;
        double arc = SIDECARS_PER_SERVER * readyServers.size() * ownRate / Math.max(1e-9, fleetRate(now));
        subsetTarget = Math.max(Math.max(MIN_SUBSET_SIZE, arc), 0.9 * subsetTarget);
        // Where idle connections are dropped, no more than are used often enough.
        double hot = idleLimitUs < Long.MAX_VALUE ? Math.max(1, ownRate * idleLimitUs / 2e6) : subsetTarget;
        Map<List<Object>, List<Server>> parts = new LinkedHashMap<>();
        int[] size = new int[zoneRate.length];
        for (Server s : readyServers) {
            parts.computeIfAbsent(List.of(s.zoneIndex, s.listing.kind()), k -> new ArrayList<>())
                    .add(s);
            size[s.zoneIndex]++;
        }
        List<Server> chosen = new ArrayList<>();
        for (List<Server> of : parts.values()) {
            Server one = of.get(0);
            double n = zoneFraction[one.zoneIndex] * Math.min(hot, subsetTarget) * of.size() / size[one.zoneIndex];
            // Parts of a server are rounded so that they come out right over many sidecars.
            n = Math.max(
                    one.zoneIndex == homeZone ? 1 : 0, Math.floor(n + config.sidecarIndex() * 0.7548776662466927 % 1));
            for (int i = 0; i < Math.min(n, of.size()); i++) {
                chosen.add(of.get((i + subsetStart(of.size())) % of.size()));
            }
        }
        return chosen;
    }

    /** The parts of the own requests for each zone: in proportion, or, where crossing has a price, all for
     * the own but for what it is asked beyond its part of the fleet. Without word of peers all stay. */
    private double[] zoneFractions(long now) {
        double[] part = new double[zoneRate.length];
        for (Server s : readyServers) part[s.zoneIndex] += 1.0 / readyServers.size();
        if (!hasCrossZonePrice() || !loadUnknown) return part;
        double total =
                now - peerHeardAt < INFORMATION_TTL_US ? Arrays.stream(zoneRate).sum() : 0;
        double stay = total <= 0 ? 1 : Math.min(1, part[homeZone] * total / Math.max(1e-9, zoneRate[homeZone]));
        double gaps = 0;
        for (int z = 0; z < part.length; z++) {
            part[z] = z == homeZone || total <= 0 ? 0 : Math.max(0, part[z] - zoneRate[z] / total);
            gaps += part[z];
        }
        for (int z = 0; z < part.length; z++) part[z] *= (1 - stay) / Math.max(1e-9, gaps);
        part[homeZone] = stay;
        return part;
    }

    /** Points of successive numbers at the golden section's distance spread evenly over any circle. */
    private int subsetStart(int places) {
        return (int) (config.sidecarIndex() * 0.6180339887498949 % 1 * places);
    }

    // ---- estimators -----------------------------------------------------------------------------
    private final Map<String, Double> classWorkUs = new HashMap<>();
    private double meanWorkUs;
    private double ownRate;
    private int arrivals;
    private long rateUpdatedAt;
    private final long startedAt;

    private double capacityFraction(Server s, long now) {
        return slowStart.capacityFraction(s, now);
    }

    /** Requests a server holds, as far as known: own, or its own word where that is fresh and higher. */
    private double estimatedLoad(Server s, long now) {
        double done = (now - s.loadReportedAt) * s.kind.cores / (s.slowness() * meanWorkUs);
        double known = Math.max(s.inFlight, s.reportedLoad - done);
        while (!s.inFlightAttempts.isEmpty() && !s.inFlightAttempts.peekFirst().running) s.inFlightAttempts.pollFirst();
        Attempt oldest = s.inFlightAttempts.peekFirst();
        if (oldest != null) {
            // An answer that is overdue counts as more in flight: a stall shows in the own requests first.
            // Costs have long tails, and half of the servers are a way off: several times over is no stall.
            double overdue = (now - oldest.sentAt) / oldest.expectedUs - 2 * MAX_RELATIVE_LATENCY;
            if (overdue > 0) known += overdue;
        }
        return known;
    }

    /** Time that work would take on a server that holds {@code held} others, served first come first. */
    private double expectedLatencyUs(Server s, double work, double held, long now) {
        return s.slowness() * (work + queueingDelayUs(s, held)) / capacityFraction(s, now);
    }

    private double queueingDelayUs(Server s, double held) {
        double cores = Math.max(1, s.kind.cores);
        return Math.max(0, held + 1 - cores) / cores * meanWorkUs;
    }

    private void updateEstimates(Server s, Attempt a, long latencyUs, boolean success, long now) {
        double relative = latencyUs / Math.max(1, a.expectedStandardUs);
        if (!success && relative < s.slowness()) return;
        double gain = ESTIMATE_GAIN;
        if (config.loadReporting() == LoadReporting.NONE && success && capacityFraction(s, now) >= 1) {
            // What waited for a core tells of cores, what did not of speed; each answer teaches by its part.
            double part = queueingDelayUs(s, a.loadAtSend) / (queueingDelayUs(s, a.loadAtSend) + a.owner.workUs);
            double step = ESTIMATE_GAIN / 4 * part * (Math.min(MAX_RELATIVE_LATENCY, relative / s.slowness()) - 1);
            s.kind.cores = Math.max(1, s.kind.cores * (1 - step));
            gain *= 1 - part;
        }
        // Of a server that is out, one more time-out tells nothing of a crowd.
        if (success || s.ejections == 0) {
            congestion +=
                    ESTIMATE_GAIN * (Math.min(2 * MAX_RELATIVE_LATENCY, relative / s.kind.bestSlowness) - congestion);
        }
        s.lastAnswerAt = now;
        s.kind.lastAnswerAt = now;
        if (success && !isOutlier(s)) {
            // Towards what was seen: steps that only add up drift. Few answers tell of the kind alone.
            double first = gain * Math.max(0.25, 1 / ESTIMATE_GAIN / (++s.kind.answers + 1));
            s.kind.slowness *= 1 + first * (Math.min(MAX_RELATIVE_LATENCY, relative / s.kind.slowness) - 1);
            s.kind.lastTypicalAnswerAt = now;
        }
        s.relativeSlowness *= 1 + gain * (Math.min(MAX_RELATIVE_LATENCY, relative / s.slowness()) - 1);
        if (success && a.owner.request.costHintUs() <= 0) {
            double step = ESTIMATE_GAIN / 4 * (Math.min(MAX_RELATIVE_LATENCY, relative / s.slowness()) - 1);
            classWorkUs.computeIfPresent(a.owner.requestClass.name(), (c, work) -> work * (1 + step));
        }
    }

    private static boolean isOutlier(Server s) {
        return s.relativeSlowness > OUTLIER_RATIO || s.relativeSlowness * OUTLIER_RATIO < 1;
    }

    private void recordLoadReport(String upstream, LoadReport r, long now) {
        Server s = servers.get(upstream);
        if (s == null || r == null || r.inFlight() < 0) return;
        s.reportedLoad = r.inFlight();
        s.loadReportedAt = now;
        lastReporter = s;
        double running = r.inFlight() - Math.max(0, r.queued());
        if (r.queued() >= 0.5 && running >= 0.5 || running > s.kind.cores + 0.5) {
            s.kind.cores += 0.3 * (Math.max(1, running) - s.kind.cores);
        }
    }

    private void updateOwnRate(long now) {
        double passed = Math.max(1, now - rateUpdatedAt);
        double keep = Math.exp(-passed / Math.max(passed, Math.min(RATE_AVERAGING_US, now - startedAt)));
        ownRate = keep * ownRate + (1 - keep) * arrivals * 1e6 / passed;
        arrivals = 0;
        rateUpdatedAt = now;
    }

    /** The mean of the streams heard of, own one included, times their number. */
    private double fleetRate(long now) {
        double mean = Arrays.stream(zoneRate).sum();
        return effectiveSidecars(now) * (mean > 0 ? mean : ownRate);
    }

    private FleetStatus fleetStatus;

    @Override
    public void onFleetStatus(long now, FleetStatus told) {
        fleetStatus = told;
    }

    /** Those whose streams add up: in a majority the ones here, else all. Whom a minority does not see may be
     * cut off from it alone, and send on. A cold server's budget is not shared anew by this. */
    int effectiveSidecars(long now) {
        boolean told =
                fleetStatus != null && now < fleetStatus.validUntilUs() && fleetStatus.quorum() == QuorumState.MAJORITY;
        return told ? Math.max(1, Math.min(config.sidecarCount(), fleetStatus.liveSidecars())) : config.sidecarCount();
    }

    /** What only own answers and the list show, told on while it is fresh; not of a server that was ejected
     * and has not answered since, of which the failure is the word. */
    private void reportSlowOrCold(long now, Server s) {
        if (s.ejections > 0) return;
        boolean slow = s.relativeSlowness > OUTLIER_RATIO && now - s.lastAnswerAt < PEER_INTERVAL_US,
                cold = capacityFraction(s, now) < 1;
        if (!slow && !cold || now - s.evidenceSentAt < INFORMATION_TTL_US) return;
        s.evidenceSentAt = now;
        if (slow) actions.reportEvidence(s.id, Evidence.SLOW, s.relativeSlowness);
        else actions.reportEvidence(s.id, Evidence.COLD, (now - s.startedAt) / 1e6);
    }

    /** Out by words of which one is the own: tried when the ejection ends, so that the word stays true. */
    private final List<Server> witnessedOutages = new ArrayList<>();

    /** Own fresh evidence goes before any word, and is told where a word says otherwise. What is out by word
     * is tried again, one request at a time, when the word ends; by its witnesses when their own ejection
     * ends, since a word that nobody renews lapses. A word never makes a cold server warmer. */
    @Override
    public void onVerdicts(long now, List<Verdict> verdicts) {
        witnessedOutages.clear();
        for (Verdict v : verdicts) {
            Server s = servers.get(v.upstream());
            if (s == null || now >= v.validUntilUs()) continue;
            boolean answers = now - s.lastSuccessAt < OWN_EVIDENCE_TTL_US && s.failures == 0 && s.ejections == 0;
            if (answers && v.kind().isUnavailable()) actions.reportEvidence(s.id, Evidence.GOOD, 1);
            if (v.reportedHere() && v.kind().isUnavailable()) witnessedOutages.add(s);
            boolean own = answers || v.reportedHere() || now - s.lastFailureAt < INFORMATION_TTL_US;
            if (!v.confirmed() || v.kind().isUnavailable() && own) continue;
            switch (v.kind()) {
                case SILENT, FAILING, FAILING_FAST -> {
                    s.ejections = Math.max(1, s.ejections);
                    s.ejectedUntil = Math.max(s.ejectedUntil, v.validUntilUs());
                }
                case SLOW -> {
                    if (now - s.lastAnswerAt <= ESTIMATE_EXPIRY_US) continue;
                    s.relativeSlowness = Math.max(s.relativeSlowness, Math.min(2 * MAX_RELATIVE_LATENCY, v.factor()));
                }
                case COLD -> s.startedAt = Math.max(s.startedAt, now - (long) (v.factor() * 1e6));
                case DROPS_IDLE -> lowerIdleLimit(now, (long) (v.factor() * 1_000));
            }
        }
    }

    private final Map<String, LimitUsage> limitUsages = new LinkedHashMap<>();

    @Override
    public void onLimitShares(long now, List<LimitShare> shares) {
        Map<String, LimitUsage> before = new HashMap<>(limitUsages);
        limitUsages.clear();
        for (LimitShare s : shares) {
            LimitUsage q = before.getOrDefault(s.name(), new LimitUsage());
            q.share = s;
            limitUsages.put(s.name(), q);
        }
    }

    /** Since this was asked last: requests a second that each limit was asked for, or the most at once. */
    @Override
    public Map<String, Double> collectLimitDemands(long passedUs) {
        Map<String, Double> demands = new LinkedHashMap<>();
        for (LimitUsage q : limitUsages.values()) {
            demands.put(
                    q.share.name(),
                    q.share.limitsInFlight() ? q.peakInFlight : q.requested * 1e6 / Math.max(1, passedUs));
            q.requested = 0;
            q.peakInFlight = q.inFlight;
        }
        return demands;
    }

    /** 0 where all limits that count it have room, which it takes; else the time until they do. */
    private long acquireLimits(long now, ActiveRequest r) {
        List<LimitUsage> counted = new ArrayList<>();
        long wait = 0;
        for (LimitUsage q : limitUsages.values()) {
            if (!q.share.appliesTo(r.request)) continue;
            counted.add(q);
            double most = now < q.share.validUntilUs() ? q.share.share() : q.share.fallbackShare();
            q.requested++;
            q.peakInFlight = Math.max(q.peakInFlight, q.inFlight + 1);
            if (q.share.limitsInFlight() && q.inFlight + 1 > most) wait = Math.max(wait, r.requestClass.aimUs());
            if (q.share.limitsInFlight()) continue;
            q.tokens = Math.min(Math.max(1, most * LIMIT_BURST_S), q.tokens + most * (now - q.refilledAt) / 1e6);
            q.refilledAt = now;
            if (q.tokens < 1) wait = Math.max(wait, (long) ((1 - q.tokens) / Math.max(1e-3, most) * 1e6));
        }
        if (wait > 0) return wait;
        r.limits = counted;
        for (LimitUsage q : counted) {
            if (!q.share.limitsInFlight()) q.tokens--;
            q.inFlight++;
        }
        return 0;
    }

    // ---- split ----------------------------------------------------------------------------------
    private long sharesSolvedAt;
    /** Of the ready servers, the fastest one's {@link Server#slowness}. */
    private double bestSlowness = 1;

    /** How many times longer than at their best answers take, beyond what the own requests explain. */
    private double congestion = 1;

    /** Eq. (4) over groups of {@code k} servers of speed {@code mu}; those with a negative share are
     * dropped and the rest solved again. The shares sum to 1, or all are 0. */
    static double[] solveShares(double[] k, double[] mu, double lambda) {
        int n = k.length;
        double[] p = new double[n];
        boolean[] in = new boolean[n];
        double capacity = 0;
        for (int i = 0; i < n; i++) {
            in[i] = k[i] > 0 && mu[i] > 0;
            capacity += in[i] ? k[i] * mu[i] : 0;
        }
        // Rate 0 has the limit of low rates; past capacity the split stays proportional (Corollary 3).
        double rate = Math.max(capacity * 1e-6, Math.min(lambda, capacity));
        for (int round = 0; round < n; round++) {
            double roots = 0, sum = 0;
            for (int i = 0; i < n; i++) {
                roots += in[i] ? k[i] * Math.sqrt(mu[i]) : 0;
                sum += in[i] ? k[i] * mu[i] : 0;
            }
            boolean dropped = false;
            for (int i = 0; i < n; i++) {
                double root = Math.sqrt(mu[i]);
                p[i] = in[i] ? k[i] * (mu[i] * roots - root * sum + rate * root) / (rate * roots) : 0;
                if (p[i] < 0) {
                    in[i] = false;
                    dropped = true;
                }
            }
            if (!dropped) break;
        }
        for (int i = 0; i < n; i++) p[i] = Math.max(0, Math.min(1, p[i]));
        return p;
    }

    /** Keeps the rate and the shares current; called with every request. */
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
        for (WeightedTable t : List.of(homeServers, remoteServers, allServers)) t.clear();
        warmingServers.clear();
        for (ServerKind k : kinds.values()) {
            // A kind thought slow gets no requests that would tell otherwise: back towards its best.
            if (now - k.lastAnswerAt > ESTIMATE_EXPIRY_US) k.slowness += 0.02 * (k.bestSlowness - k.slowness);
            k.bestSlowness =
                    k.answers < MAX_ANSWERS ? k.slowness : Math.min(k.slowness, k.bestSlowness * BEST_SLOWNESS_GROWTH);
        }
        for (Server s : subset) {
            reportSlowOrCold(now, s);
            if (s.relativeSlowness * OUTLIER_RATIO < 1 && now - s.kind.lastTypicalAnswerAt > ESTIMATE_EXPIRY_US)
                moveKindTowards(s);
            if (now - s.lastAnswerAt > ESTIMATE_EXPIRY_US) s.relativeSlowness += 0.02 * (1 - s.relativeSlowness);
            Object group = isOutlier(s) || capacityFraction(s, now) < 1 ? s : s.kind;
            byKind.computeIfAbsent(group, x -> new ArrayList<>()).add(s);
        }
        List<List<Server>> groups = new ArrayList<>(byKind.values());
        double[] k = new double[groups.size()], mu = new double[groups.size()];
        for (int i = 0; i < k.length; i++) {
            Server first = groups.get(i).get(0);
            double slow = 0;
            for (Server s : groups.get(i)) slow += s.slowness();
            k[i] = groups.get(i).size();
            mu[i] = 1e6 * first.kind.cores * capacityFraction(first, now) / (slow / k[i] * meanWorkUs);
        }
        double[] p = solveShares(k, mu, fleetRate(now) * subset.size() / Math.max(1, readyServers.size()));
        for (int i = 0; i < k.length; i++) {
            for (Server s : groups.get(i)) {
                // The floor only matters when all servers with a share are full.
                s.share = weightOf(now, s) * Math.max(p[i] / k[i], 1e-6 * mu[i]);
                bestSlowness = Math.min(bestSlowness, s.slowness() / capacityFraction(s, now));
                allServers.add(s);
                if (hasCrossZonePrice()) (s.zoneIndex == homeZone ? homeServers : remoteServers).add(s);
                boolean turn = weightOf(now, s) >= 1 || random.nextDouble() < weightOf(now, s);
                if (p[i] > 0 && capacityFraction(s, now) < 1 && turn) warmingServers.add(s);
            }
        }
    }

    /** A faster server has all requests of its kind, so nothing tells what the others can do by now: they are
     * thought nearer to it until they are tried again. Its own estimate stays. */
    private static void moveKindTowards(Server fast) {
        double slow = fast.slowness();
        fast.kind.slowness += 0.02 * (slow - fast.kind.slowness);
        fast.relativeSlowness = slow / fast.kind.slowness;
    }

    // ---- pick -----------------------------------------------------------------------------------
    /** The drawn-from servers with their cumulated shares; the own zone's where crossing has a price. */
    private final WeightedTable allServers = new WeightedTable(),
            homeServers = new WeightedTable(),
            remoteServers = new WeightedTable();
    /** Warming servers with a share, for the turns of many sidecars. */
    private final List<Server> warmingServers = new ArrayList<>();

    /** Two draws by p_i/k_i among the servers with room, the less busy one wins. Where crossing zones has
     * a price, all with room in the own zone are drawn from first (or, for the part that a crowded zone gives
     * away, the others); then any with a free core; then any below their bound. Null: wait here. */
    private Server pickServer(long now, ActiveRequest r) {
        refreshShares(now);
        Server turn = null;
        for (Server s : awaitingFirstAnswer) {
            if (turn == null && s.inFlight == 0 && hasRoom(now, r, s, true)) turn = s;
        }
        for (Server s : canTryEjected(r) ? witnessedOutages : List.<Server>of()) {
            if (turn == null && s.ejections > 0 && s.inFlight == 0 && hasRoom(now, r, s, true)) turn = s;
        }
        for (int i = 0; i < warmingServers.size() && turn == null; i++) {
            turn = hasRoom(now, r, warmingServers.get(i), true) ? warmingServers.get(i) : null;
        }
        if (probesLoad || turn != null) return probesLoad ? pickByProbes(now, r, turn) : turn;
        boolean stay = !loadUnknown || remoteServers.size() == 0 || random.nextDouble() < zoneFraction[homeZone];
        Server s = pickOfTwo(now, r, stay ? homeServers : remoteServers, false);
        s = s != null ? s : pickOfTwo(now, r, allServers, true);
        return s != null ? s : pickOfTwo(now, r, allServers, false);
    }

    /** What tries a server that is out may well be lost: no request twice, and none of an unsafe class. */
    private static boolean canTryEjected(ActiveRequest r) {
        return r.attempts.isEmpty() && r.requestClass.semantics() != Semantics.UNSAFE;
    }

    private Server pickOfTwo(long now, ActiveRequest r, WeightedTable table, boolean freeCore) {
        Server first = drawServer(now, r, table, freeCore, null);
        Server second = first == null ? null : drawServer(now, r, table, freeCore, first);
        return second == null ? first : lessBusy(now, first, second);
    }

    private Server lastReporter;

    /** Many sidecars see too little of the fleet themselves: both of a pair are asked for their load. A free
     * core takes the request; after some pairs without, the less busy with room. One without an answer by the
     * next sweep loses. One that {@code lastReporter} of a free core just now takes what found none. */
    private Server pickByProbes(long now, ActiveRequest r, Server turn) {
        if (lastReporter != null && r.probedPairs > 0 && hasRoom(now, r, lastReporter, true)) {
            r.first = null;
            return lastReporter;
        }
        if (r.first == null) {
            r.first = now < r.nextProbeAt ? null : turn != null ? turn : drawServer(now, r, allServers, false, null);
            if (r.first == null) return null;
            r.second = drawServer(now, r, allServers, false, r.first);
            r.probedAt = now;
            probeLoad(now, r.first);
            probeLoad(now, r.second);
            return null;
        }
        boolean secondAnswered = r.second == null || r.second.loadReportedAt >= r.probedAt;
        boolean answered = r.first.loadReportedAt >= r.probedAt && secondAnswered;
        if (!answered && now - r.probedAt < SWEEP_INTERVAL_US) return null;
        Server best = null;
        for (Server s : new Server[] {r.first, r.second}) {
            if (s != null && s.loadReportedAt >= r.probedAt && hasRoom(now, r, s, false)) {
                best = best == null ? s : lessBusy(now, best, s);
            }
        }
        r.first = null;
        r.probedPairs++;
        if (best != null && (r.probedPairs >= PROBED_PAIRS || hasRoom(now, r, best, true))) return best;
        if (r.probedPairs < PROBED_PAIRS) return pickByProbes(now, r, turn);
        // Ever rarer, so that a wait costs a bounded number of probes.
        r.nextProbeAt = now + (SWEEP_INTERVAL_US << Math.min(r.probedPairs - PROBED_PAIRS, 2));
        return null;
    }

    private void probeLoad(long now, Server s) {
        if (s != null && now - s.probeSentAt > PROBE_TIMEOUT_US) {
            s.probeSentAt = now;
            actions.probe(s.id);
        }
    }

    private Server lessBusy(long now, Server first, Server second) {
        double less = estimatedLoad(first, now) / first.kind.cores - estimatedLoad(second, now) / second.kind.cores;
        if (Math.abs(less) > (probesLoad ? 0.5 : 1e-9)) return less < 0 ? first : second;
        return random.nextDouble() * (first.share + second.share) < first.share ? first : second;
    }

    /** A server by its share among those with room: for a key always the same one, which met it before, and
     * over all keys each by its share (weighted rendezvous: Schindelhauer, Schomaker 2005); else at random,
     * by a few draws from the table and then a look at all of it. */
    private Server drawServer(long now, ActiveRequest r, WeightedTable table, boolean freeCore, Server not) {
        long key = r.request.key();
        for (int i = 0; i < RANDOM_DRAWS && key < 0 && table.size() > 0; i++) {
            Server s = table.draw(random.nextDouble());
            if (s != not && hasRoom(now, r, s, freeCore)) return s;
        }
        int hash = key < 0 ? random.nextInt() : Long.hashCode(key);
        double least = Double.MAX_VALUE;
        Server chosen = null;
        for (int i = 0; i < table.size(); i++) {
            Server s = table.get(i);
            double score = -Math.log(((mixHash(s.hash, hash) >>> 1) + 1.0) / (1L << 31)) / s.share;
            if (s == not || score >= least || !hasRoom(now, r, s, freeCore)) continue;
            least = score;
            chosen = s;
        }
        return chosen;
    }

    private ServerWeights serverWeights;

    /** A standing order on the draw; none makes a server ready, warm or trusted that is not. */
    @Override
    public void onServerWeights(long now, ServerWeights told) {
        serverWeights = told;
        sharesSolvedAt = now - SHARES_INTERVAL_US;
    }

    private double weightOf(long now, Server s) {
        return serverWeights == null || now >= serverWeights.validUntilUs() ? 1 : serverWeights.weightOf(s.id);
    }

    private boolean hasRoom(long now, ActiveRequest r, Server s, boolean freeCore) {
        if (now < Math.max(s.ejectedUntil, s.fullUntil) || s.ejections > 0 && s.inFlight > 0) return false;
        if (weightOf(now, s) <= 0 || !canSend(now, r, s)) return false;
        double cores = Math.max(1, s.kind.cores) * capacityFraction(s, now);
        double load = estimatedLoad(s, now);
        if (freeCore) return load < Math.max(1, Math.round(cores)) - 0.5;
        return load + 1 <= Math.max(1, cores + HEADROOM_FACTOR * Math.sqrt(cores)) + (probesLoad ? 0.5 : 0.01)
                && (!loadUnknown && load < 0.5 && capacityFraction(s, now) >= 1
                        || now + expectedLatencyUs(s, r.workUs, load, now) <= r.usefulUntil);
    }

    // ---- admission ------------------------------------------------------------------------------
    final Map<String, ActiveRequest> activeRequests = new HashMap<>();
    private final List<ActiveRequest> queue = new ArrayList<>();
    private boolean sweepScheduled;

    @Override
    public void onRequest(long now, Request request) {
        arrivals++;
        ActiveRequest r = new ActiveRequest();
        r.request = request;
        r.requestClass = classes.get(request.requestClass());
        if (r.requestClass == null) throw new IllegalArgumentException("no class '" + request.requestClass() + "'");
        r.workUs = request.costHintUs() > 0 ? request.costHintUs() : classWorkUs.get(r.requestClass.name());
        meanWorkUs += 0.01 * (Math.min(r.workUs, MAX_RELATIVE_LATENCY * meanWorkUs) - meanWorkUs);
        r.deadlineAt = now + request.remainingUs();
        long aim = (long) (r.requestClass.aimUs() + r.requestClass.aimStretch() * r.workUs);
        r.firstTriedAt = firstTriedAt(now, r);
        r.usefulUntil = Math.min(r.deadlineAt, r.requestClass.lateWorth() > 0 ? r.deadlineAt : r.firstTriedAt + aim);
        r.queueOrder = now + (long) (aim * maxWorth / worthPerWork(r.requestClass));
        activeRequests.put(request.id(), r);
        long wait = limitUsages.isEmpty() ? 0 : acquireLimits(now, r);
        if (wait > 0) {
            refuse(r, Math.max(wait, r.requestClass.aimUs() / 2));
            return;
        }
        if (loadUnknown && random.nextDouble() < Math.min(0.95, SHED_SLOPE * (congestion / SHED_THRESHOLD - 1))) {
            refuseOrFail(now, r);
            return;
        }
        Server s = queue.isEmpty() || probesLoad ? pickServer(now, r) : null;
        if (s == null) enqueue(now, r);
        else send(now, r, s);
    }

    /** The worth of a unit of work: where little can be done, that of most worth is done first. */
    private double worthPerWork(RequestClass c) {
        return config.worthByWork() ? c.worth() : c.worth() * meanWorkUs / classWorkUs.get(c.name());
    }

    /** What a client asked for and did not get, and when it first asked: its next try is the same request. */
    private final Map<List<Object>, Long> unserved = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<List<Object>, Long> eldest) {
            return size() > MAX_UNSERVED;
        }
    };

    private long firstTriedAt(long now, ActiveRequest r) {
        if (!r.request.clientRetry() || r.request.key() < 0) return now;
        Long first = unserved.remove(List.of(r.requestClass.name(), r.request.key()));
        return first != null && now - first < r.requestClass.deadlineUs() ? first : now;
    }

    private void rememberUnserved(ActiveRequest r) {
        if (r.request.key() >= 0) unserved.put(List.of(r.requestClass.name(), r.request.key()), r.firstTriedAt);
    }

    private void enqueue(long now, ActiveRequest r) {
        if (now >= latestStart(r)) {
            // Little time left, as on a client's last try: the sweep would come after its deadline.
            refuseOrFail(now, r);
            return;
        }
        r.queued = true;
        int at = queue.size();
        while (at > 0 && queue.get(at - 1).queueOrder > r.queueOrder) at--;
        queue.add(at, r);
        scheduleSweep();
    }

    private void scheduleSweep() {
        if (sweepScheduled || queue.isEmpty()) return;
        sweepScheduled = true;
        actions.startTimer("hold", SWEEP_INTERVAL_US);
    }

    /** Sends what waits, in order, while there is room; with {@code sweep} gives up what is too late. */
    private void dispatchQueue(long now, boolean sweep) {
        boolean room = true;
        for (int i = 0; i < queue.size() && (room || sweep); i++) {
            ActiveRequest r = queue.get(i);
            Server s = room || !r.attempts.isEmpty() ? pickServer(now, r) : null;
            if (s != null || now >= latestStart(r)) {
                queue.remove(i--);
                r.queued = false;
                if (s != null) send(now, r, s);
                else refuseOrFail(now, r);
            } else {
                // What is free to go anywhere finds no room: the rest waits too, in its order.
                room &= probesLoad || !r.attempts.isEmpty();
            }
        }
    }

    /** The latest start from which an answer in time can be hoped for. */
    private long latestStart(ActiveRequest r) {
        // While a pair is asked for its load the request does not wait yet, and no slack is taken off.
        long forAim = (long) (r.usefulUntil - (r.first != null ? 0 : SLACK_SERVICES * bestSlowness * r.workUs));
        return Math.min(r.deadlineAt - SWEEP_INTERVAL_US - 2 * config.tickUs(), forAim);
    }

    private void refuseOrFail(long now, ActiveRequest r) {
        if (canRefuse(r)) refuse(r, config.limits().retryAfter() ? r.requestClass.aimUs() / 2 : 0);
        else fail(r);
    }

    // ---- attempts -------------------------------------------------------------------------------
    /** Whether the rules allow this send; every send passes here, whatever the rest of this file decides. */
    boolean canSend(long now, ActiveRequest r, Server s) {
        boolean spent = r.attempts.size() >= config.limits().maxAttempts();
        if (r.finished || r.streaming || !s.ready || now >= r.deadlineAt || spent) return false;
        for (Attempt a : r.attempts) {
            if (!a.ended && !config.limits().secondCopies()) return false;
            if (a.mayHaveRun && !canRepeat(r.requestClass, a, s, now)) return false;
        }
        return slowStart.canSend(now, s, r.workUs, meanWorkUs);
    }

    /** While a connection came up the window of what ran before may have closed, or a cold server's. */
    @Override
    public boolean canStartAttempt(long now, String id, int number) {
        ActiveRequest r = activeRequests.get(id);
        if (r == null || r.finished || number >= r.attempts.size()) return false;
        Attempt begins = r.attempts.get(number);
        Server s = begins.server;
        for (Attempt a : r.attempts.subList(0, number)) {
            if (a.mayHaveRun && !canRepeat(r.requestClass, a, s, now)) return false;
        }
        return s.ready && slowStart.canStartAttempt(now, s, begins.sentAt, r.workUs, meanWorkUs);
    }

    private static boolean canRepeat(RequestClass c, Attempt earlier, Server s, long now) {
        if (c.semantics() == Semantics.SAFE) return true;
        if (c.semantics() == Semantics.UNSAFE || now - earlier.sentAt >= c.dedupWindowUs()) return false;
        return switch (c.dedupScope()) {
            case ALL -> true;
            case ZONE -> s.listing.zone().equals(earlier.listing.zone());
            case CELL -> s.listing.cell() == earlier.listing.cell();
        };
    }

    /** A refusal says that nothing has run, whatever the class: what may have is failed. */
    private boolean canRefuse(ActiveRequest r) {
        return !r.finished && !r.streaming && r.attempts.stream().noneMatch(a -> a.mayHaveRun);
    }

    private void send(long now, ActiveRequest r, Server s) {
        if (!canSend(now, r, s)) throw new IllegalStateException("a send against the rules");
        Attempt a = new Attempt();
        a.owner = r;
        a.server = s;
        a.listing = s.listing;
        a.sentAt = now;
        a.loadAtSend = s.reportedLoad > s.inFlight ? estimatedLoad(s, now) : s.inFlight;
        a.expectedUs = expectedLatencyUs(s, r.workUs, a.loadAtSend, now);
        a.expectedStandardUs = a.expectedUs / s.slowness();
        r.attempts.add(a);
        // The body of a partial one may take long: its server begins when it has all.
        if (!r.request.bodyIncomplete()) occupyServer(now, a);
        slowStart.recordSend(now, s, r.workUs);
        boolean others = s.inFlight > (a.running ? 1 : 0);
        a.idleBeforeUs = others || now - s.lastUsedAt > config.limits().connectionIdleUs() ? 0 : now - s.lastUsedAt;
        // What is tried after an ejection goes by a new connection: its end speaks of the server alone.
        if (a.idleBeforeUs >= idleLimitUs || usesSubset && s.ejections > 0 && a.idleBeforeUs >= MIN_IDLE_LIMIT_US) {
            actions.closeIdleConnections(s.id);
            a.idleBeforeUs = 0;
        }
        s.lastUsedAt = now;
        actions.send(r.request.id(), s.id, r.deadlineAt);
    }

    private void occupyServer(long now, Attempt a) {
        a.running = true;
        a.sentAt = now;
        a.server.inFlightAttempts.addLast(a);
        a.server.inFlight++;
    }

    private void releaseServer(long now, Attempt a) {
        if (a.running) a.server.inFlight--;
        a.running = false;
        a.server.lastUsedAt = now;
    }

    @Override
    public void onRequestSent(long now, String id, int number) {
        ActiveRequest r = activeRequests.get(id);
        if (r == null || number >= r.attempts.size()) return;
        Attempt a = r.attempts.get(number);
        if (!a.ended && !a.running) occupyServer(now, a);
    }

    private void refuse(ActiveRequest r, long retryAfterUs) {
        if (!canRefuse(r)) throw new IllegalStateException("a refusal against the rules");
        finish(r);
        rememberUnserved(r);
        actions.refuse(r.request.id(), Math.min(retryAfterUs, config.limits().maxRetryAfterUs()));
    }

    private void fail(ActiveRequest r) {
        if (r.finished) return;
        finish(r);
        rememberUnserved(r);
        actions.fail(r.request.id());
    }

    private void finish(ActiveRequest r) {
        r.finished = true;
        for (LimitUsage q : r.limits) q.inFlight--;
        r.limits = List.of();
        if (r.queued) queue.remove(r);
        r.queued = false;
        if (r.attempts.stream().allMatch(a -> a.ended)) activeRequests.remove(r.request.id());
    }

    @Override
    public void onOutcome(
            long now,
            String id,
            int number,
            String upstream,
            Outcome outcome,
            long latencyUs,
            boolean done,
            LoadReport report) {
        ActiveRequest r = activeRequests.get(id);
        recordLoadReport(upstream, report, now);
        lastReporter = r == null ? null : lastReporter;
        if (r == null || number < 0 || number >= r.attempts.size() || r.attempts.get(number).ended) return;
        Attempt a = r.attempts.get(number);
        Server s = a.server;
        a.ended = true;
        a.mayHaveRun = outcome.mayHaveRun;
        releaseServer(now, a);
        closeIdleIfLeaving(s);
        // Of an answer that came in pieces the server's part was learnt when it began.
        if (!r.streaming || r.requestClass.stream() || outcome != Outcome.OK)
            recordHealth(now, s, a, outcome, latencyUs);
        if (done || r.finished) finish(r);
        else if (!r.streaming) retryOrFinish(now, r);
        dispatchQueue(now, false);
        lastReporter = null;
    }

    /** After an attempt without success: another where a rule and the time allow, else the final answer. */
    private void retryOrFinish(long now, ActiveRequest r) {
        if (r.attempts.stream().anyMatch(a -> !a.ended)) return;
        Server s = now < latestStart(r) ? pickServer(now, r) : null;
        if (s != null) send(now, r, s);
        else if (readyServers.stream().anyMatch(other -> canSend(now, r, other))) enqueue(now, r);
        else refuseOrFail(now, r);
    }

    /** Idle connections are dropped unseen after about this long, as far as known. */
    private long idleLimitUs = Long.MAX_VALUE;

    private long idleLimitSetAt, idleSurvivedUs, idleSurvivedAt;
    /** Seen by own failures, which alone are told on: word of word would never end. */
    private long ownIdleDropAt = Long.MIN_VALUE / 2;

    /** An attempt that fails on a connection long idle speaks of the connection, not of the server: others
     * idle as long are closed before use, from then on until no such failure was seen for a while. */
    private boolean detectIdleDrop(long now, Attempt a, Outcome outcome) {
        if (idleLimitUs < Long.MAX_VALUE && now - idleLimitSetAt > IDLE_LIMIT_TTL_US) {
            idleLimitSetAt = now;
            idleLimitUs = idleLimitUs > config.limits().connectionIdleUs() ? Long.MAX_VALUE : idleLimitUs * 2;
        }
        if (outcome == Outcome.OK && (a.idleBeforeUs >= idleSurvivedUs || now - idleSurvivedAt > ESTIMATE_EXPIRY_US)) {
            idleSurvivedUs = a.idleBeforeUs;
            idleSurvivedAt = now;
        }
        // A time-out alone may be a crowd; not so where none as long idle has answered of late.
        boolean kept = now - idleSurvivedAt < ESTIMATE_EXPIRY_US && a.idleBeforeUs * 3 / 4 <= idleSurvivedUs;
        // Nor where one was laid to the connection already, and no answer has come since.
        boolean laid = a.server.idleDropSuspected;
        boolean suspect = outcome == Outcome.RESET || outcome == Outcome.TIMEOUT && !kept && !laid;
        if (!usesSubset || !suspect || a.idleBeforeUs < MIN_IDLE_LIMIT_US) return false;
        a.server.idleDropSuspected = true;
        ownIdleDropAt = now;
        actions.reportEvidence(a.server.id, Evidence.DROPS_IDLE, a.idleBeforeUs * 3 / 4e3);
        lowerIdleLimit(now, a.idleBeforeUs * 3 / 4);
        return true;
    }

    private void lowerIdleLimit(long now, long us) {
        idleLimitUs = Math.min(idleLimitUs, Math.max(MIN_IDLE_LIMIT_US, us));
        idleLimitSetAt = now;
    }

    private void recordHealth(long now, Server s, Attempt a, Outcome outcome, long latencyUs) {
        if (detectIdleDrop(now, a, outcome)) return;
        switch (outcome) {
            case OK -> {
                if (s.ejections > 0) actions.reportEvidence(s.id, Evidence.GOOD, 1);
                s.failures = s.ejections = s.rejections = 0;
                s.lastFailureAt = Long.MIN_VALUE / 2;
                s.idleDropSuspected = false;
                s.lastSuccessAt = now;
                awaitingFirstAnswer.remove(s);
                updateEstimates(s, a, latencyUs, true, now);
            }
            case TIMEOUT, CANCELLED -> {
                // A server that has answered others meanwhile is slow; only silence is a fault.
                boolean silent = outcome == Outcome.TIMEOUT && s.lastSuccessAt < a.sentAt;
                updateEstimates(s, a, latencyUs, false, now);
                // One that is tried for its verdict's sake needs no second request lost to it.
                int weight = s.ejections > 0 && witnessedOutages.contains(s) ? EJECT_AFTER_FAILURES : 1;
                recordFailure(now, s, silent ? weight : 0, Evidence.SILENT);
            }
            case ERROR -> {
                boolean fast = latencyUs < a.expectedUs / FAST_FAILURE_RATIO;
                recordFailure(now, s, 1, fast ? Evidence.FAILING_FAST : Evidence.FAILING);
            }
            case RESET -> recordFailure(now, s, 1, Evidence.FAILING);
            case CONNECT_FAILED -> recordFailure(now, s, EJECT_AFTER_FAILURES, Evidence.SILENT);
            case REJECTED -> {
                if (config.loadReporting() == LoadReporting.NONE) {
                    backOff(s, now);
                } else {
                    // Refused while it holds little: not full but on its way out, or its room is broken.
                    if (s.inFlight < s.kind.cores) {
                        s.ejections = Math.max(2, s.ejections);
                        recordFailure(now, s, EJECT_AFTER_FAILURES, Evidence.FAILING);
                    }
                    markFull(s, now);
                }
            }
        }
    }

    /** Where no load is told, a server that turns away is full of others' requests, however few own ones it
     * holds: no failure, and it has room again once it has ended one. Each refusal in a row doubles the wait,
     * since one on its way out never has. */
    private void backOff(Server s, long now) {
        double place = s.slowness() * meanWorkUs / Math.max(1, s.kind.cores);
        s.fullUntil = now + (long) Math.min(MIN_EJECTION_US, place * (1 << Math.min(s.rejections++, 10)));
    }

    private void markFull(Server s, long now) {
        s.reportedLoad = Math.max(estimatedLoad(s, now), s.kind.cores + HEADROOM_FACTOR * Math.sqrt(s.kind.cores));
        s.loadReportedAt = now;
    }

    private void recordFailure(long now, Server s, int weight, Evidence kind) {
        s.failures += weight;
        if (now < s.ejectedUntil) return;
        boolean ejected = s.failures >= EJECT_AFTER_FAILURES;
        // Once it is known to fail, each further failure tells that it still does.
        if (ejected || weight > 0 && s.lastFailureAt >= 0) {
            s.lastFailureAt = now;
            actions.reportEvidence(s.id, kind, s.failures);
        }
        if (!ejected) return;
        s.failures = 0;
        s.ejectedUntil = now + Math.min(MAX_EJECTION_US, MIN_EJECTION_US << Math.min(s.ejections, 10));
        s.ejections++;
    }

    @Override
    public void onStreamStart(long now, String id, int number, String upstream, long latencyUs) {
        ActiveRequest r = activeRequests.get(id);
        if (r == null || number >= r.attempts.size() || r.attempts.get(number).ended) return;
        r.streaming = true;
        if (r.queued) queue.remove(r);
        r.queued = false;
        // A server works on a stream to its end; a long answer was ready when it began.
        if (r.requestClass.stream()) return;
        releaseServer(now, r.attempts.get(number));
        recordHealth(now, r.attempts.get(number).server, r.attempts.get(number), Outcome.OK, latencyUs);
        dispatchQueue(now, false);
    }

    @Override
    public void onRequestExpired(long now, String id) {
        ActiveRequest r = activeRequests.get(id);
        if (r == null) return;
        if (!r.finished) rememberUnserved(r);
        finish(r);
    }

    @Override
    public void onProbeResult(long now, String upstream, Outcome outcome, long latencyUs, LoadReport report) {
        Server s = servers.get(upstream);
        if (s == null) return;
        s.probeSentAt = 0;
        // A probe that was not sent, or not heard out, is this instance's own doing.
        boolean asked = outcome != Outcome.NOT_SENT && outcome != Outcome.CANCELLED;
        if (asked && outcome != Outcome.OK) {
            recordFailure(now, s, outcome == Outcome.CONNECT_FAILED ? EJECT_AFTER_FAILURES : 1, Evidence.SILENT);
        } else if (asked && report == null) {
            // It answers but tells no load, as it did before: rather busy than idle.
            markFull(s, now);
        }
        recordLoadReport(upstream, report, now);
        dispatchQueue(now, false);
        lastReporter = null;
    }

    @Override
    public void onTimer(long now, String mark) {
        switch (mark) {
            case "hold" -> {
                sweepScheduled = false;
                dispatchQueue(now, true);
                scheduleSweep();
            }
            case "tell" -> sendPeerMessage(now);
            case "ask" -> subscribe();
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
        // Jittered, so that instances that failed together do not ask together again.
        if (!subscribed) actions.startTimer("ask", discoveryRetryUs / 2 + random.nextLong(discoveryRetryUs));
        discoveryRetryUs = subscribed
                ? MIN_DISCOVERY_RETRY_US
                : Math.min(discoveryRetryUs * 2, config.rules().discoveryRetryUs() / 2 + 1);
    }

    // ---- peers ----------------------------------------------------------------------------------
    /** Mean rate of the fleet's sidecars, apart by their zone. */
    private final double[] zoneRate;

    private double[] zoneFraction;
    private long peerHeardAt = Long.MIN_VALUE / 2;
    private int peerMessagesSent;

    /** To one peer at a time, so that the cost does not grow with the fleet. Each mixes the rates it hears in
     * halves and leans to its own, so that all come near the mean of all streams. */
    private void sendPeerMessage(long now) {
        updateOwnRate(now);
        peerMessagesSent++;
        for (int z = 0; z < zoneRate.length; z++) {
            double own = z == homeZone ? ownRate : 0;
            zoneRate[z] += (own - zoneRate[z]) * Math.max(OWN_RATE_GAIN, 1.0 / peerMessagesSent);
        }
        PeerMessage word = new PeerMessage(zoneRate.length, config.kinds().size());
        System.arraycopy(zoneRate, 0, word.zoneRates, 0, zoneRate.length);
        for (int i = 0; i < word.slowness.length; i++) {
            ServerKind k = kinds.get(config.kinds().get(i));
            word.slowness[i] = k.slowness;
            word.answers[i] = Math.min(MAX_ANSWERS, k.answers);
        }
        word.congestion = congestion;
        word.idleLimitUs = now - ownIdleDropAt < IDLE_LIMIT_TTL_US ? idleLimitUs : 0;
        actions.sendToPeer(
                (config.sidecarIndex() + 1 + random.nextInt(config.sidecarCount() - 1)) % config.sidecarCount(),
                word.encode());
        actions.startTimer("tell", PEER_INTERVAL_US);
    }

    /** Speeds weigh by the answers behind them. One false message moves little, and the next take it back. */
    @Override
    public void onPeerMessage(long now, int peer, byte[] message) {
        boolean known = peer >= 0 && peer < config.sidecarCount() && peer != config.sidecarIndex();
        PeerMessage word = new PeerMessage(zoneRate.length, config.kinds().size());
        if (!known || !word.decode(message)) return;
        peerHeardAt = now;
        for (int z = 0; z < zoneRate.length; z++) zoneRate[z] += (word.zoneRates[z] - zoneRate[z]) / 2;
        for (int i = 0; i < word.slowness.length; i++) {
            ServerKind k = kinds.get(config.kinds().get(i));
            int answers = Math.min(MAX_ANSWERS, word.answers[i]);
            if (word.slowness[i] <= 0 || answers == 0) continue;
            k.slowness += (word.slowness[i] - k.slowness) / 2 * answers / (answers + Math.min(MAX_ANSWERS, k.answers));
            k.answers = Math.max(k.answers, answers / 2);
        }
        congestion += (Math.min(2 * MAX_RELATIVE_LATENCY, word.congestion) - congestion) / 2;
        if (word.idleLimitUs > 0) lowerIdleLimit(now, word.idleLimitUs);
    }

    @Override
    public byte[] exportEstimates() {
        Estimates k = new Estimates(config);
        for (int i = 0; i < k.slowness.length; i++) {
            k.copyFrom(i, kinds.get(config.kinds().get(i)), MAX_ANSWERS);
        }
        Arrays.setAll(
                k.classWorkUs, i -> classWorkUs.get(config.classes().get(i).name()));
        System.arraycopy(zoneRate, 0, k.zoneRates, 0, zoneRate.length);
        k.meanWorkUs = meanWorkUs;
        k.congestion = congestion;
        return k.encode();
    }

    @Override
    public int importEstimates(long now, List<byte[]> told) {
        int read = (int) told.stream().filter(new Estimates(config)::decode).count();
        Estimates k = Estimates.median(config, told);
        if (k == null || kinds.values().stream().anyMatch(kind -> kind.answers >= MAX_ANSWERS)) return read;
        for (int i = 0; i < k.slowness.length; i++) {
            ServerKind kind = kinds.get(config.kinds().get(i));
            if (k.answers[i] >= MAX_ANSWERS / 2 && kind.answers <= k.answers[i]) k.copyTo(i, kind);
        }
        for (int i = 0; i < k.classWorkUs.length; i++) {
            classWorkUs.put(config.classes().get(i).name(), Math.max(1, k.classWorkUs[i]));
        }
        System.arraycopy(k.zoneRates, 0, zoneRate, 0, zoneRate.length);
        meanWorkUs = k.meanWorkUs;
        congestion = k.congestion;
        peerHeardAt = now;
        peerMessagesSent = Math.max(peerMessagesSent, MAX_ANSWERS);
        return read;
    }
}

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
    private static final long RESOLVE_US = 100_000;
    /** Time over which the own request rate is averaged: a burst shows within a second or two. */
    private static final double RATE_US = 2_000_000;
    /** Step of the speed estimates: about ten answers tell a server's speed. */
    private static final double SPEED_GAIN = 0.1;
    /** One answer counts as at most this many times slower than expected: costs have long tails. */
    private static final double TAIL = 3;
    /** A server so many times off its kind is a group of its own; beyond the estimates' noise. */
    private static final double APART = 1.6;
    /** Without answers for this long an estimate starts to return, so that a server is tried again. */
    private static final long FORGET_US = 3_000_000;
    /** First guess of cores where nothing tells; answers and reports correct it. */
    static final double CORES_GUESS = 2;
    /** Square-root staffing: a server holds at most cores + this times root of cores. */
    private static final double CROWD = 1;
    /** A waiting request starts no later than this many expected services before its aim. */
    private static final double SLACK = 1.5;
    /** Waiting requests are looked through this often, to give up in time those that find no room. */
    private static final long SWEEP_US = 5_000;
    /** Failures in a row after which a server is left alone for a while. */
    private static final int EJECT_AFTER = 2;

    private static final long EJECT_US = 500_000, EJECT_MOST_US = 8_000_000;
    /** Each sidecar tells one other its rate this often. */
    private static final long TELL_US = 500_000;
    /** As many answers tell a kind's speed well; more count no more. */
    private static final int EVIDENCE = 40;
    /** Unserved requests remembered for their next try: some seconds of them in a crowd. */
    private static final int UNSERVED_MOST = 2_000;
    /** The means of rates lean to the own rate by this at each message sent. */
    private static final double LEAN = 0.03;
    /** Where no load is told, requests are shed above this, and at half as much again nearly all. */
    private static final double CALM = 1.5, STEEP = 2;
    /** The best is forgotten by this at each solution, so that a lucky start does not count for ever. */
    private static final double CREEP = 1.0005;

    private static final long HEARD_US = 5_000_000;
    /** Own answers that are younger speak louder than peers. */
    private static final long FRESH_US = 2_000_000;
    /** An error so many times faster than an answer draws requests to its server. */
    private static final double FAST = 4;
    /** Seconds of a limit's share that may come at once. */
    private static final double BURST = 0.25;
    /** Points of the result that the probes of one pair may cost at most. */
    private static final double TOLL = 0.005;

    private static final long ASK_FIRST_US = 500_000;
    /** A probe not answered for this long may be sent again. */
    private static final long PROBE_US = 100_000;
    /** Draws in want of room before all are looked through; pairs asked before a short queue will do. */
    private static final int DRAWS = 4, PAIRS = 3;
    /** Sidecars that share one server where connections cost: enough that their streams even out. */
    private static final int SHARERS = 10;
    /** Least number of servers in a sidecar's subset: two draws and one in reserve. */
    private static final int FEWEST = 3;
    /** A connection idle for less than this is not suspected of having been dropped meanwhile. */
    private static final long IDLE_LEAST_US = 200_000;

    private static final long IDLE_FORGET_US = 5_000_000;

    private final Settings cfg;
    private final Actions out;
    private final SplittableRandom random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private double topWorth;
    /** The two drawn servers are asked for their load by probes: the paper's sampled load itself. */
    private final boolean sampling;

    private final SlowStart slowStart;
    /** Connections and handshakes have a price: a sidecar keeps to a few servers of each kind. */
    private final boolean subset;
    /** No load is told, and more sidecars than share a server: own requests say little of it. */
    private final boolean blind;

    private final double coresGuess;
    private final int home;

    public Policy(Settings settings, long seed, long now, Actions actions) {
        cfg = settings;
        out = actions;
        random = new SplittableRandom(seed);
        for (RequestClass c : cfg.classes()) {
            classWork.put(c.name(), c.aimUs() / 4.0);
            meanWork += c.aimUs() / 4.0 / cfg.classes().size();
            classes.put(c.name(), c);
            topWorth = Math.max(topWorth, c.worth());
        }
        zoneRate = new double[cfg.zones().size()];
        Limits limits = cfg.limits();
        sampling = limits.probing()
                && cfg.loadReporting() != LoadReporting.NONE
                && 2 * cfg.prices().probe() <= TOLL;
        subset = cfg.prices().connection() > 0 && cfg.prices().handshake() > 0;
        if (limits.peers() && cfg.sidecarCount() > 1) out.startTimer("tell", TELL_US / 2 + random.nextLong(TELL_US));
        slowStart = new SlowStart(cfg, sampling);
        blind = !sampling && cfg.sidecarCount() > SHARERS;
        coresGuess = cfg.loadReporting() == LoadReporting.NONE ? CORES_GUESS : 1;
        for (String k : cfg.kinds()) kinds.put(k, new ServerKind(coresGuess));
        home = Math.max(0, cfg.zones().indexOf(cfg.zone()));
        rateAt = startedAt = now;
        solvedAt = now - RESOLVE_US;
        if (cfg.discoveryOnRequest()) ask();
    }

    // ---- membership -----------------------------------------------------------------------------
    final Map<String, Server> servers = new LinkedHashMap<>();
    final Map<String, ServerKind> kinds = new LinkedHashMap<>();
    /** Ready servers; with a subset in the order that all sidecars share. */
    private final List<Server> ready = new ArrayList<>();

    private List<Server> members = List.of();
    private long membersAt;
    private double wantedMembers;

    @Override
    public void onUpstreamList(long now, ListKind listKind, List<Upstream> entries) {
        listAnswered(now, listKind);
        if (listKind == ListKind.FAILED) return;
        Set<String> named = new HashSet<>();
        for (Upstream u : entries) {
            named.add(u.id());
            Server s = servers.get(u.id());
            if (s == null) {
                ServerKind kind = kinds.computeIfAbsent(u.kind(), k -> new ServerKind(coresGuess));
                s = new Server(u, kind, cfg.zones().indexOf(u.zone()), mixHash(u.id().hashCode(), 0));
                servers.put(u.id(), s);
            } else if (u.startedUs() != s.listing.startedUs()) {
                restarted(s);
            }
            s.listing = u;
            place(s);
        }
        for (Server s : servers.values()) {
            if (listKind == ListKind.DELTA || named.contains(s.id)) continue;
            s.ready = false;
            closeIfLeaving(s);
        }
        changed(now);
    }

    private void changed(long now) {
        ready.clear();
        servers.values().stream().filter(s -> s.ready).forEach(ready::add);
        if (subset) ready.sort(Comparator.comparingInt((Server s) -> s.hash).thenComparing(s -> s.id));
        solvedAt = now - RESOLVE_US;
        membersAt = now - TELL_US - 1;
        dispatch(now, false);
    }

    private static void restarted(Server s) {
        s.relativeSlowness = 1;
        s.failures = s.ejections = s.rejections = 0;
        s.ejectedUntil = s.fullUntil = s.lastUsedAt = 0;
        s.lastFailureAt = Long.MIN_VALUE / 2;
        s.idleDropSuspected = false;
    }

    /** What the operators leave out, and when they had the others back; ids need not be listed. */
    private final Set<String> cordoned = new HashSet<>();

    private final Map<String, Long> returned = new HashMap<>();
    /** Back, and not yet heard of: a cold server may have no share for seconds, yet its users wait for it. */
    private final Set<Server> owed = new LinkedHashSet<>();

    @Override
    public void onCordon(long now, String upstream, boolean leftOut, long atUs) {
        Server s = servers.get(upstream);
        if (leftOut) {
            cordoned.add(upstream);
            if (s != null) owed.remove(s);
        } else {
            cordoned.remove(upstream);
            returned.put(upstream, Math.min(now, atUs));
            if (s != null) {
                restarted(s);
                owed.add(s);
            }
        }
        if (s == null) return;
        place(s);
        changed(now);
    }

    /** Whether the list and the operators let it be used, and since when it runs. */
    private void place(Server s) {
        s.startedAt = Math.max(s.listing.startedUs(), returned.getOrDefault(s.id, 0L));
        s.ready = s.listing.state() == UpstreamState.READY && !cordoned.contains(s.id);
        closeIfLeaving(s);
    }

    /** Fifth rule: idle connections to a server that leaves are closed at the notice and after each later
     * outcome there. Also when it vanishes from the list, where a drain may have gone unseen. */
    private void closeIfLeaving(Server s) {
        if (cfg.rules().closeOnDrainWithinUs() > 0 && !s.ready && s.lastUsedAt > 0) out.closeIdleConnections(s.id);
    }

    private boolean priced() {
        return cfg.prices().crossZone() >= 0.02;
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
    private List<Server> members(long now) {
        zonePart = zoneParts(now);
        if (!subset) return ready;
        double arc = SHARERS * ready.size() * ownRate / Math.max(1e-9, fleetRate(now));
        wantedMembers = Math.max(Math.max(FEWEST, arc), 0.9 * wantedMembers);
        // Where idle connections are dropped, no more than are used often enough.
        double hot = idleLimit < Long.MAX_VALUE ? Math.max(1, ownRate * idleLimit / 2e6) : wantedMembers;
        Map<List<Object>, List<Server>> parts = new LinkedHashMap<>();
        int[] size = new int[zoneRate.length];
        for (Server s : ready) {
            parts.computeIfAbsent(List.of(s.zoneIndex, s.listing.kind()), k -> new ArrayList<>())
                    .add(s);
            size[s.zoneIndex]++;
        }
        List<Server> chosen = new ArrayList<>();
        for (List<Server> of : parts.values()) {
            Server one = of.get(0);
            double n = zonePart[one.zoneIndex] * Math.min(hot, wantedMembers) * of.size() / size[one.zoneIndex];
            // Parts of a server are rounded so that they come out right over many sidecars.
            n = Math.max(one.zoneIndex == home ? 1 : 0, Math.floor(n + cfg.sidecarIndex() * 0.7548776662466927 % 1));
            for (int i = 0; i < Math.min(n, of.size()); i++) {
                chosen.add(of.get((i + ownPoint(of.size())) % of.size()));
            }
        }
        return chosen;
    }

    /** The parts of the own requests for each zone: in proportion, or, where crossing has a price, all for
     * the own but for what it is asked beyond its part of the fleet. Without word of peers all stay. */
    private double[] zoneParts(long now) {
        double[] part = new double[zoneRate.length];
        for (Server s : ready) part[s.zoneIndex] += 1.0 / ready.size();
        if (!priced() || !blind) return part;
        double total = now - heardAt < HEARD_US ? Arrays.stream(zoneRate).sum() : 0;
        double stay = total <= 0 ? 1 : Math.min(1, part[home] * total / Math.max(1e-9, zoneRate[home]));
        double gaps = 0;
        for (int z = 0; z < part.length; z++) {
            part[z] = z == home || total <= 0 ? 0 : Math.max(0, part[z] - zoneRate[z] / total);
            gaps += part[z];
        }
        for (int z = 0; z < part.length; z++) part[z] *= (1 - stay) / Math.max(1e-9, gaps);
        part[home] = stay;
        return part;
    }

    /** Points of successive numbers at the golden section's distance spread evenly over any circle. */
    private int ownPoint(int places) {
        return (int) (cfg.sidecarIndex() * 0.6180339887498949 % 1 * places);
    }

    // ---- estimators -----------------------------------------------------------------------------
    private final Map<String, Double> classWork = new HashMap<>();
    private double meanWork;
    private double ownRate;
    private int arrivals;
    private long rateAt;
    private final long startedAt;

    private double warmth(Server s, long now) {
        return slowStart.capacityFraction(s, now);
    }

    /** Requests a server holds, as far as known: own, or its own word where that is fresh and higher. */
    private double load(Server s, long now) {
        double done = (now - s.loadReportedAt) * s.kind.cores / (s.slowness() * meanWork);
        double known = Math.max(s.inFlight, s.reportedLoad - done);
        while (!s.inFlightAttempts.isEmpty() && !s.inFlightAttempts.peekFirst().running) s.inFlightAttempts.pollFirst();
        Attempt oldest = s.inFlightAttempts.peekFirst();
        if (oldest != null) {
            // An answer that is overdue counts as more in flight: a stall shows in the own requests first.
            // Costs have long tails, and half of the servers are a way off: several times over is no stall.
            double overdue = (now - oldest.sentAt) / oldest.expectedUs - 2 * TAIL;
            if (overdue > 0) known += overdue;
        }
        return known;
    }

    /** Time that work would take on a server that holds {@code held} others, served first come first. */
    private double expected(Server s, double work, double held, long now) {
        return s.slowness() * (work + waiting(s, held)) / warmth(s, now);
    }

    private double waiting(Server s, double held) {
        double cores = Math.max(1, s.kind.cores);
        return Math.max(0, held + 1 - cores) / cores * meanWork;
    }

    private void learn(Server s, Attempt a, long latencyUs, boolean success, long now) {
        double relative = latencyUs / Math.max(1, a.expectedStandardUs);
        if (!success && relative < s.slowness()) return;
        double gain = SPEED_GAIN;
        if (cfg.loadReporting() == LoadReporting.NONE && success && warmth(s, now) >= 1) {
            // What waited for a core tells of cores, what did not of speed; each answer teaches by its part.
            double part = waiting(s, a.loadAtSend) / (waiting(s, a.loadAtSend) + a.owner.workUs);
            double step = SPEED_GAIN / 4 * part * (Math.min(TAIL, relative / s.slowness()) - 1);
            s.kind.cores = Math.max(1, s.kind.cores * (1 - step));
            gain *= 1 - part;
        }
        // Of a server that is out, one more time-out tells nothing of a crowd.
        if (success || s.ejections == 0) {
            crowding += SPEED_GAIN * (Math.min(2 * TAIL, relative / s.kind.bestSlowness) - crowding);
        }
        s.lastAnswerAt = now;
        s.kind.lastAnswerAt = now;
        if (success && !apart(s)) {
            // Towards what was seen: steps that only add up drift. Few answers tell of the kind alone.
            double first = gain * Math.max(0.25, 1 / SPEED_GAIN / (++s.kind.answers + 1));
            s.kind.slowness *= 1 + first * (Math.min(TAIL, relative / s.kind.slowness) - 1);
            s.kind.lastTypicalAnswerAt = now;
        }
        s.relativeSlowness *= 1 + gain * (Math.min(TAIL, relative / s.slowness()) - 1);
        if (success && a.owner.request.costHintUs() <= 0) {
            double step = SPEED_GAIN / 4 * (Math.min(TAIL, relative / s.slowness()) - 1);
            classWork.computeIfPresent(a.owner.requestClass.name(), (c, work) -> work * (1 + step));
        }
    }

    private static boolean apart(Server s) {
        return s.relativeSlowness > APART || s.relativeSlowness * APART < 1;
    }

    private void report(String upstream, LoadReport r, long now) {
        Server s = servers.get(upstream);
        if (s == null || r == null || r.inFlight() < 0) return;
        s.reportedLoad = r.inFlight();
        s.loadReportedAt = now;
        told = s;
        double running = r.inFlight() - Math.max(0, r.queued());
        if (r.queued() >= 0.5 && running >= 0.5 || running > s.kind.cores + 0.5) {
            s.kind.cores += 0.3 * (Math.max(1, running) - s.kind.cores);
        }
    }

    private void measure(long now) {
        double passed = Math.max(1, now - rateAt);
        double keep = Math.exp(-passed / Math.max(passed, Math.min(RATE_US, now - startedAt)));
        ownRate = keep * ownRate + (1 - keep) * arrivals * 1e6 / passed;
        arrivals = 0;
        rateAt = now;
    }

    /** The mean of the streams heard of, own one included, times their number. */
    private double fleetRate(long now) {
        double mean = Arrays.stream(zoneRate).sum();
        return effectiveSidecars(now) * (mean > 0 ? mean : ownRate);
    }

    private FleetStatus fleet;

    @Override
    public void onFleetStatus(long now, FleetStatus told) {
        fleet = told;
    }

    /** Those whose streams add up: in a majority the ones here, else all. Whom a minority does not see may be
     * cut off from it alone, and send on. A cold server's budget is not shared anew by this. */
    int effectiveSidecars(long now) {
        boolean told = fleet != null && now < fleet.validUntilUs() && fleet.quorum() == QuorumState.MAJORITY;
        return told ? Math.max(1, Math.min(cfg.sidecarCount(), fleet.liveSidecars())) : cfg.sidecarCount();
    }

    /** What only own answers and the list show, told on while it is fresh; not of a server that was ejected
     * and has not answered since, of which the failure is the word. */
    private void tellOf(long now, Server s) {
        if (s.ejections > 0) return;
        boolean slow = s.relativeSlowness > APART && now - s.lastAnswerAt < TELL_US, cold = warmth(s, now) < 1;
        if (!slow && !cold || now - s.evidenceSentAt < HEARD_US) return;
        s.evidenceSentAt = now;
        if (slow) out.reportEvidence(s.id, Evidence.SLOW, s.relativeSlowness);
        else out.reportEvidence(s.id, Evidence.COLD, (now - s.startedAt) / 1e6);
    }

    /** Out by words of which one is the own: tried when the ejection ends, so that the word stays true. */
    private final List<Server> accused = new ArrayList<>();

    /** Own fresh evidence goes before any word, and is told where a word says otherwise. What is out by word
     * is tried again, one request at a time, when the word ends; by its witnesses when their own ejection
     * ends, since a word that nobody renews lapses. A word never makes a cold server warmer. */
    @Override
    public void onVerdicts(long now, List<Verdict> verdicts) {
        accused.clear();
        for (Verdict v : verdicts) {
            Server s = servers.get(v.upstream());
            if (s == null || now >= v.validUntilUs()) continue;
            boolean answers = now - s.lastSuccessAt < FRESH_US && s.failures == 0 && s.ejections == 0;
            if (answers && v.kind().isUnavailable()) out.reportEvidence(s.id, Evidence.GOOD, 1);
            if (v.reportedHere() && v.kind().isUnavailable()) accused.add(s);
            boolean own = answers || v.reportedHere() || now - s.lastFailureAt < HEARD_US;
            if (!v.confirmed() || v.kind().isUnavailable() && own) continue;
            switch (v.kind()) {
                case SILENT, FAILING, FAILING_FAST -> {
                    s.ejections = Math.max(1, s.ejections);
                    s.ejectedUntil = Math.max(s.ejectedUntil, v.validUntilUs());
                }
                case SLOW -> {
                    if (now - s.lastAnswerAt <= FORGET_US) continue;
                    s.relativeSlowness = Math.max(s.relativeSlowness, Math.min(2 * TAIL, v.factor()));
                }
                case COLD -> s.startedAt = Math.max(s.startedAt, now - (long) (v.factor() * 1e6));
                case DROPS_IDLE -> limitIdle(now, (long) (v.factor() * 1_000));
            }
        }
    }

    private final Map<String, LimitUsage> quotas = new LinkedHashMap<>();

    @Override
    public void onLimitShares(long now, List<LimitShare> shares) {
        Map<String, LimitUsage> before = new HashMap<>(quotas);
        quotas.clear();
        for (LimitShare s : shares) {
            LimitUsage q = before.getOrDefault(s.name(), new LimitUsage());
            q.share = s;
            quotas.put(s.name(), q);
        }
    }

    /** Since this was asked last: requests a second that each limit was asked for, or the most at once. */
    @Override
    public Map<String, Double> collectLimitDemands(long passedUs) {
        Map<String, Double> demands = new LinkedHashMap<>();
        for (LimitUsage q : quotas.values()) {
            demands.put(
                    q.share.name(),
                    q.share.limitsInFlight() ? q.peakInFlight : q.requested * 1e6 / Math.max(1, passedUs));
            q.requested = 0;
            q.peakInFlight = q.inFlight;
        }
        return demands;
    }

    /** 0 where all limits that count it have room, which it takes; else the time until they do. */
    private long overLimit(long now, ActiveRequest r) {
        List<LimitUsage> counted = new ArrayList<>();
        long wait = 0;
        for (LimitUsage q : quotas.values()) {
            if (!q.share.appliesTo(r.request)) continue;
            counted.add(q);
            double most = now < q.share.validUntilUs() ? q.share.share() : q.share.fallbackShare();
            q.requested++;
            q.peakInFlight = Math.max(q.peakInFlight, q.inFlight + 1);
            if (q.share.limitsInFlight() && q.inFlight + 1 > most) wait = Math.max(wait, r.requestClass.aimUs());
            if (q.share.limitsInFlight()) continue;
            q.tokens = Math.min(Math.max(1, most * BURST), q.tokens + most * (now - q.refilledAt) / 1e6);
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
    private long solvedAt;
    /** Of the ready servers, the fastest one's {@link Server#slowness}. */
    private double bestSlow = 1;

    /** How many times longer than at their best answers take, beyond what the own requests explain. */
    private double crowding = 1;

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
    private void refresh(long now) {
        if (now - solvedAt < RESOLVE_US) return;
        measure(now);
        solvedAt = now;
        bestSlow = ready.isEmpty() ? 1 : Double.MAX_VALUE;
        if (now - membersAt > TELL_US) {
            membersAt = now;
            members = members(now);
        }
        Map<Object, List<Server>> byKind = new LinkedHashMap<>();
        for (WeightedTable t : List.of(near, far, all)) t.clear();
        cold.clear();
        for (ServerKind k : kinds.values()) {
            // A kind thought slow gets no requests that would tell otherwise: back towards its best.
            if (now - k.lastAnswerAt > FORGET_US) k.slowness += 0.02 * (k.bestSlowness - k.slowness);
            k.bestSlowness = k.answers < EVIDENCE ? k.slowness : Math.min(k.slowness, k.bestSlowness * CREEP);
        }
        for (Server s : members) {
            tellOf(now, s);
            if (s.relativeSlowness * APART < 1 && now - s.kind.lastTypicalAnswerAt > FORGET_US) leanKindTo(s);
            if (now - s.lastAnswerAt > FORGET_US) s.relativeSlowness += 0.02 * (1 - s.relativeSlowness);
            Object group = apart(s) || warmth(s, now) < 1 ? s : s.kind;
            byKind.computeIfAbsent(group, x -> new ArrayList<>()).add(s);
        }
        List<List<Server>> groups = new ArrayList<>(byKind.values());
        double[] k = new double[groups.size()], mu = new double[groups.size()];
        for (int i = 0; i < k.length; i++) {
            Server first = groups.get(i).get(0);
            double slow = 0;
            for (Server s : groups.get(i)) slow += s.slowness();
            k[i] = groups.get(i).size();
            mu[i] = 1e6 * first.kind.cores * warmth(first, now) / (slow / k[i] * meanWork);
        }
        double[] p = solveShares(k, mu, fleetRate(now) * members.size() / Math.max(1, ready.size()));
        for (int i = 0; i < k.length; i++) {
            for (Server s : groups.get(i)) {
                // The floor only matters when all servers with a share are full.
                s.share = weight(now, s) * Math.max(p[i] / k[i], 1e-6 * mu[i]);
                bestSlow = Math.min(bestSlow, s.slowness() / warmth(s, now));
                all.add(s);
                if (priced()) (s.zoneIndex == home ? near : far).add(s);
                boolean turn = weight(now, s) >= 1 || random.nextDouble() < weight(now, s);
                if (p[i] > 0 && warmth(s, now) < 1 && turn) cold.add(s);
            }
        }
    }

    /** A faster server has all requests of its kind, so nothing tells what the others can do by now: they are
     * thought nearer to it until they are tried again. Its own estimate stays. */
    private static void leanKindTo(Server fast) {
        double slow = fast.slowness();
        fast.kind.slowness += 0.02 * (slow - fast.kind.slowness);
        fast.relativeSlowness = slow / fast.kind.slowness;
    }

    // ---- pick -----------------------------------------------------------------------------------
    /** The drawn-from servers with their cumulated shares; the own zone's where crossing has a price. */
    private final WeightedTable all = new WeightedTable(), near = new WeightedTable(), far = new WeightedTable();
    /** Warming servers with a share, for the turns of many sidecars. */
    private final List<Server> cold = new ArrayList<>();

    /** Two draws by p_i/k_i among the servers with room, the less busy one wins. Where crossing zones has
     * a price, all with room in the own zone are drawn from first (or, for the part that a crowded zone gives
     * away, the others); then any with a free core; then any below their bound. Null: wait here. */
    private Server pick(long now, ActiveRequest r) {
        refresh(now);
        Server turn = null;
        for (Server s : owed) {
            if (turn == null && s.inFlight == 0 && hasRoom(now, r, s, true)) turn = s;
        }
        for (Server s : mayTry(r) ? accused : List.<Server>of()) {
            if (turn == null && s.ejections > 0 && s.inFlight == 0 && hasRoom(now, r, s, true)) turn = s;
        }
        for (int i = 0; i < cold.size() && turn == null; i++) {
            turn = hasRoom(now, r, cold.get(i), true) ? cold.get(i) : null;
        }
        if (sampling || turn != null) return sampling ? sampled(now, r, turn) : turn;
        boolean stay = !blind || far.size() == 0 || random.nextDouble() < zonePart[home];
        Server s = pair(now, r, stay ? near : far, false);
        s = s != null ? s : pair(now, r, all, true);
        return s != null ? s : pair(now, r, all, false);
    }

    /** What tries a server that is out may well be lost: no request twice, and none of an unsafe class. */
    private static boolean mayTry(ActiveRequest r) {
        return r.attempts.isEmpty() && r.requestClass.semantics() != Semantics.UNSAFE;
    }

    private Server pair(long now, ActiveRequest r, WeightedTable table, boolean freeCore) {
        Server first = draw(now, r, table, freeCore, null);
        Server second = first == null ? null : draw(now, r, table, freeCore, first);
        return second == null ? first : lessBusy(now, first, second);
    }

    private Server told;

    /** Many sidecars see too little of the fleet themselves: both of a pair are asked for their load. A free
     * core takes the request; after some pairs without, the less busy with room. One without an answer by the
     * next sweep loses. One that {@code told} of a free core just now takes what found none. */
    private Server sampled(long now, ActiveRequest r, Server turn) {
        if (told != null && r.probedPairs > 0 && hasRoom(now, r, told, true)) {
            r.first = null;
            return told;
        }
        if (r.first == null) {
            r.first = now < r.nextProbeAt ? null : turn != null ? turn : draw(now, r, all, false, null);
            if (r.first == null) return null;
            r.second = draw(now, r, all, false, r.first);
            r.probedAt = now;
            ask(now, r.first);
            ask(now, r.second);
            return null;
        }
        boolean secondAnswered = r.second == null || r.second.loadReportedAt >= r.probedAt;
        boolean answered = r.first.loadReportedAt >= r.probedAt && secondAnswered;
        if (!answered && now - r.probedAt < SWEEP_US) return null;
        Server best = null;
        for (Server s : new Server[] {r.first, r.second}) {
            if (s != null && s.loadReportedAt >= r.probedAt && hasRoom(now, r, s, false)) {
                best = best == null ? s : lessBusy(now, best, s);
            }
        }
        r.first = null;
        r.probedPairs++;
        if (best != null && (r.probedPairs >= PAIRS || hasRoom(now, r, best, true))) return best;
        if (r.probedPairs < PAIRS) return sampled(now, r, turn);
        // Ever rarer, so that a wait costs a bounded number of probes.
        r.nextProbeAt = now + (SWEEP_US << Math.min(r.probedPairs - PAIRS, 2));
        return null;
    }

    private void ask(long now, Server s) {
        if (s != null && now - s.probeSentAt > PROBE_US) {
            s.probeSentAt = now;
            out.probe(s.id);
        }
    }

    private Server lessBusy(long now, Server first, Server second) {
        double less = load(first, now) / first.kind.cores - load(second, now) / second.kind.cores;
        if (Math.abs(less) > (sampling ? 0.5 : 1e-9)) return less < 0 ? first : second;
        return random.nextDouble() * (first.share + second.share) < first.share ? first : second;
    }

    /** A server by its share among those with room: for a key always the same one, which met it before, and
     * over all keys each by its share (weighted rendezvous: Schindelhauer, Schomaker 2005); else at random,
     * by a few draws from the table and then a look at all of it. */
    private Server draw(long now, ActiveRequest r, WeightedTable table, boolean freeCore, Server not) {
        long key = r.request.key();
        for (int i = 0; i < DRAWS && key < 0 && table.size() > 0; i++) {
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

    private ServerWeights weights;

    /** A standing order on the draw; none makes a server ready, warm or trusted that is not. */
    @Override
    public void onServerWeights(long now, ServerWeights told) {
        weights = told;
        solvedAt = now - RESOLVE_US;
    }

    private double weight(long now, Server s) {
        return weights == null || now >= weights.validUntilUs() ? 1 : weights.weightOf(s.id);
    }

    private boolean hasRoom(long now, ActiveRequest r, Server s, boolean freeCore) {
        if (now < Math.max(s.ejectedUntil, s.fullUntil) || s.ejections > 0 && s.inFlight > 0) return false;
        if (weight(now, s) <= 0 || !canSend(now, r, s)) return false;
        double cores = Math.max(1, s.kind.cores) * warmth(s, now);
        double load = load(s, now);
        if (freeCore) return load < Math.max(1, Math.round(cores)) - 0.5;
        return load + 1 <= Math.max(1, cores + CROWD * Math.sqrt(cores)) + (sampling ? 0.5 : 0.01)
                && (!blind && load < 0.5 && warmth(s, now) >= 1
                        || now + expected(s, r.workUs, load, now) <= r.usefulUntil);
    }

    // ---- admission ------------------------------------------------------------------------------
    final Map<String, ActiveRequest> activeRequests = new HashMap<>();
    private final List<ActiveRequest> waiting = new ArrayList<>();
    private boolean holdTimer;

    @Override
    public void onRequest(long now, Request request) {
        arrivals++;
        ActiveRequest r = new ActiveRequest();
        r.request = request;
        r.requestClass = classes.get(request.requestClass());
        if (r.requestClass == null) throw new IllegalArgumentException("no class '" + request.requestClass() + "'");
        r.workUs = request.costHintUs() > 0 ? request.costHintUs() : classWork.get(r.requestClass.name());
        meanWork += 0.01 * (Math.min(r.workUs, TAIL * meanWork) - meanWork);
        r.deadlineAt = now + request.remainingUs();
        long aim = (long) (r.requestClass.aimUs() + r.requestClass.aimStretch() * r.workUs);
        r.firstTriedAt = firstAsked(now, r);
        r.usefulUntil = Math.min(r.deadlineAt, r.requestClass.lateWorth() > 0 ? r.deadlineAt : r.firstTriedAt + aim);
        r.queueOrder = now + (long) (aim * topWorth / density(r.requestClass));
        activeRequests.put(request.id(), r);
        long wait = quotas.isEmpty() ? 0 : overLimit(now, r);
        if (wait > 0) {
            refuse(r, Math.max(wait, r.requestClass.aimUs() / 2));
            return;
        }
        if (blind && random.nextDouble() < Math.min(0.95, STEEP * (crowding / CALM - 1))) {
            giveUp(now, r);
            return;
        }
        Server s = waiting.isEmpty() || sampling ? pick(now, r) : null;
        if (s == null) hold(now, r);
        else send(now, r, s);
    }

    /** The worth of a unit of work: where little can be done, that of most worth is done first. */
    private double density(RequestClass c) {
        return cfg.worthByWork() ? c.worth() : c.worth() * meanWork / classWork.get(c.name());
    }

    /** What a client asked for and did not get, and when it first asked: its next try is the same request. */
    private final Map<List<Object>, Long> unserved = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<List<Object>, Long> eldest) {
            return size() > UNSERVED_MOST;
        }
    };

    private long firstAsked(long now, ActiveRequest r) {
        if (!r.request.clientRetry() || r.request.key() < 0) return now;
        Long first = unserved.remove(List.of(r.requestClass.name(), r.request.key()));
        return first != null && now - first < r.requestClass.deadlineUs() ? first : now;
    }

    private void endUnserved(ActiveRequest r) {
        if (r.request.key() >= 0) unserved.put(List.of(r.requestClass.name(), r.request.key()), r.firstTriedAt);
    }

    private void hold(long now, ActiveRequest r) {
        if (now >= lastStart(r)) {
            // Little time left, as on a client's last try: the sweep would come after its deadline.
            giveUp(now, r);
            return;
        }
        r.queued = true;
        int at = waiting.size();
        while (at > 0 && waiting.get(at - 1).queueOrder > r.queueOrder) at--;
        waiting.add(at, r);
        sweepLater();
    }

    private void sweepLater() {
        if (holdTimer || waiting.isEmpty()) return;
        holdTimer = true;
        out.startTimer("hold", SWEEP_US);
    }

    /** Sends what waits, in order, while there is room; with {@code sweep} gives up what is too late. */
    private void dispatch(long now, boolean sweep) {
        boolean room = true;
        for (int i = 0; i < waiting.size() && (room || sweep); i++) {
            ActiveRequest r = waiting.get(i);
            Server s = room || !r.attempts.isEmpty() ? pick(now, r) : null;
            if (s != null || now >= lastStart(r)) {
                waiting.remove(i--);
                r.queued = false;
                if (s != null) send(now, r, s);
                else giveUp(now, r);
            } else {
                // What is free to go anywhere finds no room: the rest waits too, in its order.
                room &= sampling || !r.attempts.isEmpty();
            }
        }
    }

    /** The latest start from which an answer in time can be hoped for. */
    private long lastStart(ActiveRequest r) {
        // While a pair is asked for its load the request does not wait yet, and no slack is taken off.
        long forAim = (long) (r.usefulUntil - (r.first != null ? 0 : SLACK * bestSlow * r.workUs));
        return Math.min(r.deadlineAt - SWEEP_US - 2 * cfg.tickUs(), forAim);
    }

    private void giveUp(long now, ActiveRequest r) {
        if (mayRefuse(r)) refuse(r, cfg.limits().retryAfter() ? r.requestClass.aimUs() / 2 : 0);
        else fail(r);
    }

    // ---- attempts -------------------------------------------------------------------------------
    /** Whether the rules allow this send; every send passes here, whatever the rest of this file decides. */
    boolean canSend(long now, ActiveRequest r, Server s) {
        boolean spent = r.attempts.size() >= cfg.limits().maxAttempts();
        if (r.finished || r.streaming || !s.ready || now >= r.deadlineAt || spent) return false;
        for (Attempt a : r.attempts) {
            if (!a.ended && !cfg.limits().secondCopies()) return false;
            if (a.mayHaveRun && !repeatable(r.requestClass, a, s, now)) return false;
        }
        return slowStart.canSend(now, s, r.workUs, meanWork);
    }

    /** While a connection came up the window of what ran before may have closed, or a cold server's. */
    @Override
    public boolean canStartAttempt(long now, String id, int number) {
        ActiveRequest r = activeRequests.get(id);
        if (r == null || r.finished || number >= r.attempts.size()) return false;
        Attempt begins = r.attempts.get(number);
        Server s = begins.server;
        for (Attempt a : r.attempts.subList(0, number)) {
            if (a.mayHaveRun && !repeatable(r.requestClass, a, s, now)) return false;
        }
        return s.ready && slowStart.canStartAttempt(now, s, begins.sentAt, r.workUs, meanWork);
    }

    private static boolean repeatable(RequestClass c, Attempt earlier, Server s, long now) {
        if (c.semantics() == Semantics.SAFE) return true;
        if (c.semantics() == Semantics.UNSAFE || now - earlier.sentAt >= c.dedupWindowUs()) return false;
        return switch (c.dedupScope()) {
            case ALL -> true;
            case ZONE -> s.listing.zone().equals(earlier.listing.zone());
            case CELL -> s.listing.cell() == earlier.listing.cell();
        };
    }

    /** A refusal says that nothing has run, whatever the class: what may have is failed. */
    private boolean mayRefuse(ActiveRequest r) {
        return !r.finished && !r.streaming && r.attempts.stream().noneMatch(a -> a.mayHaveRun);
    }

    private void send(long now, ActiveRequest r, Server s) {
        if (!canSend(now, r, s)) throw new IllegalStateException("a send against the rules");
        Attempt a = new Attempt();
        a.owner = r;
        a.server = s;
        a.listing = s.listing;
        a.sentAt = now;
        a.loadAtSend = s.reportedLoad > s.inFlight ? load(s, now) : s.inFlight;
        a.expectedUs = expected(s, r.workUs, a.loadAtSend, now);
        a.expectedStandardUs = a.expectedUs / s.slowness();
        r.attempts.add(a);
        // The body of a partial one may take long: its server begins when it has all.
        if (!r.request.bodyIncomplete()) run(now, a);
        slowStart.recordSend(now, s, r.workUs);
        boolean others = s.inFlight > (a.running ? 1 : 0);
        a.idleBeforeUs = others || now - s.lastUsedAt > cfg.limits().connectionIdleUs() ? 0 : now - s.lastUsedAt;
        // What is tried after an ejection goes by a new connection: its end speaks of the server alone.
        if (a.idleBeforeUs >= idleLimit || subset && s.ejections > 0 && a.idleBeforeUs >= IDLE_LEAST_US) {
            out.closeIdleConnections(s.id);
            a.idleBeforeUs = 0;
        }
        s.lastUsedAt = now;
        out.send(r.request.id(), s.id, r.deadlineAt);
    }

    private void run(long now, Attempt a) {
        a.running = true;
        a.sentAt = now;
        a.server.inFlightAttempts.addLast(a);
        a.server.inFlight++;
    }

    private void rest(long now, Attempt a) {
        if (a.running) a.server.inFlight--;
        a.running = false;
        a.server.lastUsedAt = now;
    }

    @Override
    public void onRequestSent(long now, String id, int number) {
        ActiveRequest r = activeRequests.get(id);
        if (r == null || number >= r.attempts.size()) return;
        Attempt a = r.attempts.get(number);
        if (!a.ended && !a.running) run(now, a);
    }

    private void refuse(ActiveRequest r, long retryAfterUs) {
        if (!mayRefuse(r)) throw new IllegalStateException("a refusal against the rules");
        over(r);
        endUnserved(r);
        out.refuse(r.request.id(), Math.min(retryAfterUs, cfg.limits().maxRetryAfterUs()));
    }

    private void fail(ActiveRequest r) {
        if (r.finished) return;
        over(r);
        endUnserved(r);
        out.fail(r.request.id());
    }

    private void over(ActiveRequest r) {
        r.finished = true;
        for (LimitUsage q : r.limits) q.inFlight--;
        r.limits = List.of();
        if (r.queued) waiting.remove(r);
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
        report(upstream, report, now);
        told = r == null ? null : told;
        if (r == null || number < 0 || number >= r.attempts.size() || r.attempts.get(number).ended) return;
        Attempt a = r.attempts.get(number);
        Server s = a.server;
        a.ended = true;
        a.mayHaveRun = outcome.mayHaveRun;
        rest(now, a);
        closeIfLeaving(s);
        // Of an answer that came in pieces the server's part was learnt when it began.
        if (!r.streaming || r.requestClass.stream() || outcome != Outcome.OK) health(now, s, a, outcome, latencyUs);
        if (done || r.finished) over(r);
        else if (!r.streaming) next(now, r);
        dispatch(now, false);
        told = null;
    }

    /** After an attempt without success: another where a rule and the time allow, else the final answer. */
    private void next(long now, ActiveRequest r) {
        if (r.attempts.stream().anyMatch(a -> !a.ended)) return;
        Server s = now < lastStart(r) ? pick(now, r) : null;
        if (s != null) send(now, r, s);
        else if (ready.stream().anyMatch(other -> canSend(now, r, other))) hold(now, r);
        else giveUp(now, r);
    }

    /** Idle connections are dropped unseen after about this long, as far as known. */
    private long idleLimit = Long.MAX_VALUE;

    private long idleSeenAt, idleKept, idleKeptAt;
    /** Seen by own failures, which alone are told on: word of word would never end. */
    private long idleOwnAt = Long.MIN_VALUE / 2;

    /** An attempt that fails on a connection long idle speaks of the connection, not of the server: others
     * idle as long are closed before use, from then on until no such failure was seen for a while. */
    private boolean idleDropped(long now, Attempt a, Outcome outcome) {
        if (idleLimit < Long.MAX_VALUE && now - idleSeenAt > IDLE_FORGET_US) {
            idleSeenAt = now;
            idleLimit = idleLimit > cfg.limits().connectionIdleUs() ? Long.MAX_VALUE : idleLimit * 2;
        }
        if (outcome == Outcome.OK && (a.idleBeforeUs >= idleKept || now - idleKeptAt > FORGET_US)) {
            idleKept = a.idleBeforeUs;
            idleKeptAt = now;
        }
        // A time-out alone may be a crowd; not so where none as long idle has answered of late.
        boolean kept = now - idleKeptAt < FORGET_US && a.idleBeforeUs * 3 / 4 <= idleKept;
        // Nor where one was laid to the connection already, and no answer has come since.
        boolean laid = a.server.idleDropSuspected;
        boolean suspect = outcome == Outcome.RESET || outcome == Outcome.TIMEOUT && !kept && !laid;
        if (!subset || !suspect || a.idleBeforeUs < IDLE_LEAST_US) return false;
        a.server.idleDropSuspected = true;
        idleOwnAt = now;
        out.reportEvidence(a.server.id, Evidence.DROPS_IDLE, a.idleBeforeUs * 3 / 4e3);
        limitIdle(now, a.idleBeforeUs * 3 / 4);
        return true;
    }

    private void limitIdle(long now, long us) {
        idleLimit = Math.min(idleLimit, Math.max(IDLE_LEAST_US, us));
        idleSeenAt = now;
    }

    private void health(long now, Server s, Attempt a, Outcome outcome, long latencyUs) {
        if (idleDropped(now, a, outcome)) return;
        switch (outcome) {
            case OK -> {
                if (s.ejections > 0) out.reportEvidence(s.id, Evidence.GOOD, 1);
                s.failures = s.ejections = s.rejections = 0;
                s.lastFailureAt = Long.MIN_VALUE / 2;
                s.idleDropSuspected = false;
                s.lastSuccessAt = now;
                owed.remove(s);
                learn(s, a, latencyUs, true, now);
            }
            case TIMEOUT, CANCELLED -> {
                // A server that has answered others meanwhile is slow; only silence is a fault.
                boolean silent = outcome == Outcome.TIMEOUT && s.lastSuccessAt < a.sentAt;
                learn(s, a, latencyUs, false, now);
                // One that is tried for its verdict's sake needs no second request lost to it.
                int weight = s.ejections > 0 && accused.contains(s) ? EJECT_AFTER : 1;
                failed(now, s, silent ? weight : 0, Evidence.SILENT);
            }
            case ERROR -> {
                boolean fast = latencyUs < a.expectedUs / FAST;
                failed(now, s, 1, fast ? Evidence.FAILING_FAST : Evidence.FAILING);
            }
            case RESET -> failed(now, s, 1, Evidence.FAILING);
            case CONNECT_FAILED -> failed(now, s, EJECT_AFTER, Evidence.SILENT);
            case REJECTED -> {
                if (cfg.loadReporting() == LoadReporting.NONE) {
                    backOff(s, now);
                } else {
                    // Refused while it holds little: not full but on its way out, or its room is broken.
                    if (s.inFlight < s.kind.cores) {
                        s.ejections = Math.max(2, s.ejections);
                        failed(now, s, EJECT_AFTER, Evidence.FAILING);
                    }
                    countAsFull(s, now);
                }
            }
        }
    }

    /** Where no load is told, a server that turns away is full of others' requests, however few own ones it
     * holds: no failure, and it has room again once it has ended one. Each refusal in a row doubles the wait,
     * since one on its way out never has. */
    private void backOff(Server s, long now) {
        double place = s.slowness() * meanWork / Math.max(1, s.kind.cores);
        s.fullUntil = now + (long) Math.min(EJECT_US, place * (1 << Math.min(s.rejections++, 10)));
    }

    private void countAsFull(Server s, long now) {
        s.reportedLoad = Math.max(load(s, now), s.kind.cores + CROWD * Math.sqrt(s.kind.cores));
        s.loadReportedAt = now;
    }

    private void failed(long now, Server s, int weight, Evidence kind) {
        s.failures += weight;
        if (now < s.ejectedUntil) return;
        boolean ejected = s.failures >= EJECT_AFTER;
        // Once it is known to fail, each further failure tells that it still does.
        if (ejected || weight > 0 && s.lastFailureAt >= 0) {
            s.lastFailureAt = now;
            out.reportEvidence(s.id, kind, s.failures);
        }
        if (!ejected) return;
        s.failures = 0;
        s.ejectedUntil = now + Math.min(EJECT_MOST_US, EJECT_US << Math.min(s.ejections, 10));
        s.ejections++;
    }

    @Override
    public void onStreamStart(long now, String id, int number, String upstream, long latencyUs) {
        ActiveRequest r = activeRequests.get(id);
        if (r == null || number >= r.attempts.size() || r.attempts.get(number).ended) return;
        r.streaming = true;
        if (r.queued) waiting.remove(r);
        r.queued = false;
        // A server works on a stream to its end; a long answer was ready when it began.
        if (r.requestClass.stream()) return;
        rest(now, r.attempts.get(number));
        health(now, r.attempts.get(number).server, r.attempts.get(number), Outcome.OK, latencyUs);
        dispatch(now, false);
    }

    @Override
    public void onRequestExpired(long now, String id) {
        ActiveRequest r = activeRequests.get(id);
        if (r == null) return;
        if (!r.finished) endUnserved(r);
        over(r);
    }

    @Override
    public void onProbeResult(long now, String upstream, Outcome outcome, long latencyUs, LoadReport report) {
        Server s = servers.get(upstream);
        if (s == null) return;
        s.probeSentAt = 0;
        // A probe that was not sent, or not heard out, is this instance's own doing.
        boolean asked = outcome != Outcome.NOT_SENT && outcome != Outcome.CANCELLED;
        if (asked && outcome != Outcome.OK) {
            failed(now, s, outcome == Outcome.CONNECT_FAILED ? EJECT_AFTER : 1, Evidence.SILENT);
        } else if (asked && report == null) {
            // It answers but tells no load, as it did before: rather busy than idle.
            countAsFull(s, now);
        }
        report(upstream, report, now);
        dispatch(now, false);
        told = null;
    }

    @Override
    public void onTimer(long now, String mark) {
        switch (mark) {
            case "hold" -> {
                holdTimer = false;
                dispatch(now, true);
                sweepLater();
            }
            case "tell" -> tell(now);
            case "ask" -> ask();
        }
    }

    // ---- discovery ------------------------------------------------------------------------------
    private boolean subscribed, asking;
    private long askDelay = ASK_FIRST_US;

    private void ask() {
        if (asking || subscribed) return;
        asking = true;
        out.subscribe();
    }

    private void listAnswered(long now, ListKind kind) {
        if (!cfg.discoveryOnRequest() || kind == ListKind.CACHED) return;
        asking = false;
        subscribed = kind != ListKind.FAILED;
        // Jittered, so that instances that failed together do not ask together again.
        if (!subscribed) out.startTimer("ask", askDelay / 2 + random.nextLong(askDelay));
        askDelay =
                subscribed ? ASK_FIRST_US : Math.min(askDelay * 2, cfg.rules().discoveryRetryUs() / 2 + 1);
    }

    // ---- peers ----------------------------------------------------------------------------------
    /** Mean rate of the fleet's sidecars, apart by their zone. */
    private final double[] zoneRate;

    private double[] zonePart;
    private long heardAt = Long.MIN_VALUE / 2;
    private int tells;

    /** To one peer at a time, so that the cost does not grow with the fleet. Each mixes the rates it hears in
     * halves and leans to its own, so that all come near the mean of all streams. */
    private void tell(long now) {
        measure(now);
        tells++;
        for (int z = 0; z < zoneRate.length; z++) {
            double own = z == home ? ownRate : 0;
            zoneRate[z] += (own - zoneRate[z]) * Math.max(LEAN, 1.0 / tells);
        }
        PeerMessage word = new PeerMessage(zoneRate.length, cfg.kinds().size());
        System.arraycopy(zoneRate, 0, word.zoneRates, 0, zoneRate.length);
        for (int i = 0; i < word.slowness.length; i++) {
            ServerKind k = kinds.get(cfg.kinds().get(i));
            word.slowness[i] = k.slowness;
            word.answers[i] = Math.min(EVIDENCE, k.answers);
        }
        word.congestion = crowding;
        word.idleLimitUs = now - idleOwnAt < IDLE_FORGET_US ? idleLimit : 0;
        out.sendToPeer(
                (cfg.sidecarIndex() + 1 + random.nextInt(cfg.sidecarCount() - 1)) % cfg.sidecarCount(), word.encode());
        out.startTimer("tell", TELL_US);
    }

    /** Speeds weigh by the answers behind them. One false message moves little, and the next take it back. */
    @Override
    public void onPeerMessage(long now, int peer, byte[] message) {
        boolean known = peer >= 0 && peer < cfg.sidecarCount() && peer != cfg.sidecarIndex();
        PeerMessage word = new PeerMessage(zoneRate.length, cfg.kinds().size());
        if (!known || !word.decode(message)) return;
        heardAt = now;
        for (int z = 0; z < zoneRate.length; z++) zoneRate[z] += (word.zoneRates[z] - zoneRate[z]) / 2;
        for (int i = 0; i < word.slowness.length; i++) {
            ServerKind k = kinds.get(cfg.kinds().get(i));
            int answers = Math.min(EVIDENCE, word.answers[i]);
            if (word.slowness[i] <= 0 || answers == 0) continue;
            k.slowness += (word.slowness[i] - k.slowness) / 2 * answers / (answers + Math.min(EVIDENCE, k.answers));
            k.answers = Math.max(k.answers, answers / 2);
        }
        crowding += (Math.min(2 * TAIL, word.congestion) - crowding) / 2;
        if (word.idleLimitUs > 0) limitIdle(now, word.idleLimitUs);
    }

    @Override
    public byte[] exportEstimates() {
        Estimates k = new Estimates(cfg);
        for (int i = 0; i < k.slowness.length; i++) {
            k.copyFrom(i, kinds.get(cfg.kinds().get(i)), EVIDENCE);
        }
        Arrays.setAll(k.classWorkUs, i -> classWork.get(cfg.classes().get(i).name()));
        System.arraycopy(zoneRate, 0, k.zoneRates, 0, zoneRate.length);
        k.meanWorkUs = meanWork;
        k.congestion = crowding;
        return k.encode();
    }

    @Override
    public int importEstimates(long now, List<byte[]> told) {
        int read = (int) told.stream().filter(new Estimates(cfg)::decode).count();
        Estimates k = Estimates.median(cfg, told);
        if (k == null || kinds.values().stream().anyMatch(kind -> kind.answers >= EVIDENCE)) return read;
        for (int i = 0; i < k.slowness.length; i++) {
            ServerKind kind = kinds.get(cfg.kinds().get(i));
            if (k.answers[i] >= EVIDENCE / 2 && kind.answers <= k.answers[i]) k.copyTo(i, kind);
        }
        for (int i = 0; i < k.classWorkUs.length; i++) {
            classWork.put(cfg.classes().get(i).name(), Math.max(1, k.classWorkUs[i]));
        }
        System.arraycopy(k.zoneRates, 0, zoneRate, 0, zoneRate.length);
        meanWork = k.meanWorkUs;
        crowding = k.congestion;
        heardAt = now;
        tells = Math.max(tells, EVIDENCE);
        return read;
    }
}

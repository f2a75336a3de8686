package rushproxy.sidecar;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import rushproxy.Balancer;
import rushproxy.PeerMessage;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Environment;
import rushproxy.fleet.member.Member;
import rushproxy.fleet.member.Membership;
import rushproxy.fleet.member.MembershipView;
import rushproxy.fleet.release.ReleaseMonitor;
import rushproxy.fleet.release.ReleaseOrder;
import rushproxy.fleet.release.ReleaseOrders;
import rushproxy.fleet.shared.FleetLimits;
import rushproxy.fleet.shared.ReplicatedStore;
import rushproxy.fleet.shared.Table;
import rushproxy.fleet.shared.Verdicts;
import rushproxy.fleet.shared.WarmStart;
import rushproxy.sidecar.operator.FleetCommands;

/**
 * Runs the fleet plane (membership, shared verdicts and limits, releases) on the event loop from {@link #start} to {@link #leave}.
 * Supplies it with the time and with datagrams, and reports its results to the module.
 */
final class FleetPlane implements Environment, Peers.FleetListener, FleetCommands {
    private static final int PROTOCOL_VERSION = 1;
    /** Flags of the features that a member announces. */
    private static final int FEATURE_MEMBERS = 1;

    private static final int FEATURE_SHARED = 2;
    private static final long REPORT_INTERVAL_US = 1_000_000;
    private static final long SNAPSHOT_INTERVAL_US = 5_000_000;
    /** How long a report to the module is valid: two of them may be missed. */
    private static final long REPORT_VALID_US = 3_000_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Peers peers;
    private final BalancerDispatcher decisions;
    private final Config config;
    /** The upstreams that are available now. */
    private final Supplier<List<Balancer.Upstream>> servers;

    private Membership members;
    /** This and the fields up to {@code warmStart} are null if state is not shared. */
    private ReplicatedStore store;

    private Verdicts verdicts;
    private FleetLimits limits;
    private ReleaseOrders orders;
    private ReleaseMonitor watch;
    private WarmStart warmStart;

    private boolean hasWeights;
    private boolean isWarmStartOver;
    private Runnable warmStartCallback = () -> {};
    /** Null if there is no directory for state that outlives the process. */
    private LearnedStateSnapshot snapshot;

    private long nextSnapshotUs;
    private List<Verdicts.Assessment> cases = List.of();
    private long nextShareUs;
    private long nextLimitsUs;
    /** The view last reported to the module. */
    private MembershipView reportedView;

    private long nextReportUs;
    private Future<?> ticks;

    FleetPlane(
            EventLoop loop,
            Clock clock,
            Peers peers,
            BalancerDispatcher decisions,
            Config config,
            Supplier<List<Balancer.Upstream>> servers) {
        this.servers = servers;
        this.loop = loop;
        this.clock = clock;
        this.peers = peers;
        this.decisions = decisions;
        this.config = config;
    }

    void start() {
        Balancer.Settings settings = config.settings();
        // Datagrams of this length belong to the module.
        int reservedLength = PeerMessage.encodedLength(
                settings.zones().size(), settings.kinds().size());
        members = new Membership(
                new Membership.Self(
                        config.name(),
                        settings.sidecarIndex(),
                        config.peers().size(),
                        Math.max(0, settings.zones().indexOf(settings.zone())),
                        settings.zones().size(),
                        PROTOCOL_VERSION,
                        FEATURE_MEMBERS | (config.fleet().shared() ? FEATURE_SHARED : 0),
                        clock.nowUs() / 1_000,
                        reservedLength),
                clock.nowUs(),
                config.seed(),
                this);
        if (config.fleet().shared()) {
            long me = members.self().id();
            Environment host = new ComponentHost("shared: ");
            store = new ReplicatedStore(
                    me,
                    FEATURE_SHARED,
                    reservedLength,
                    List.of(Table.VERDICTS, Table.LIMITS, Table.COUNTS, Table.ORDERS),
                    clock.nowUs(),
                    config.seed() + 1,
                    members,
                    host);
            verdicts = new Verdicts(store, me, members.self().zone(), members, host);
            limits = new FleetLimits(
                    me,
                    settings.sidecarCount(),
                    FEATURE_SHARED,
                    reservedLength,
                    store,
                    config.fleet().limits(),
                    clock.nowUs(),
                    config.seed() + 2,
                    members,
                    host);
            orders = new ReleaseOrders(store, clock.nowUs(), host);
            watch = new ReleaseMonitor(orders, settings.rules().rampTimeUs());
            warmStart = new WarmStart(
                    me,
                    FEATURE_SHARED,
                    reservedLength,
                    clock.nowUs(),
                    config.seed() + 3,
                    members,
                    host,
                    this::learnedState);
            snapshot = config.stateDirectory() == null ? null : new LearnedStateSnapshot(config.stateDirectory());
            nextSnapshotUs = clock.nowUs() + SNAPSHOT_INTERVAL_US;
        }
        peers.attachFleet(this, reservedLength);
        ticks = PeriodicTask.scheduleEvery(loop, Membership.TICK_INTERVAL_US / 1000, this::tick);
    }

    private void tick() {
        long now = clock.nowUs();
        members.onTick(now);
        MembershipView view = members.view();
        if (now >= nextReportUs
                || reportedView == null
                || view.liveCount() != reportedView.liveCount()
                || view.standing() != reportedView.standing()) {
            if (reportedView == null || view.standing() != reportedView.standing()) {
                Log.event(
                        Log.Level.INFO,
                        "fleet membership: " + view.standing().name().toLowerCase(java.util.Locale.ROOT) + ", "
                                + view.liveCount() + " of " + view.expectedCount(),
                        "standing",
                        view.standing(),
                        "here",
                        view.liveCount(),
                        "expected",
                        view.expectedCount());
            }
            reportedView = view;
            nextReportUs = now + REPORT_INTERVAL_US;
            Balancer.FleetStatus report = new Balancer.FleetStatus(
                    view.liveCount(),
                    view.liveByZone(),
                    Balancer.QuorumState.valueOf(view.standing().name()),
                    now + REPORT_VALID_US);
            decisions.call(m -> m.onFleetStatus(now, report), () -> {});
        }
        if (store != null && !members.isStopped()) {
            share(now);
        } else if (store != null && !isWarmStartOver) {
            // Another process has taken over this member's name, so no warm start data will arrive.
            isWarmStartOver = true;
            warmStartCallback.run();
        }
    }

    private void share(long now) {
        long incarnation = members.self().incarnation();
        store.onTick(now, incarnation);
        advanceWarmStart(now);
        if (now >= nextShareUs) {
            nextShareUs = now + REPORT_INTERVAL_US;
            Map<String, Integer> zones = new HashMap<>();
            servers.get()
                    .forEach(u -> zones.put(u.id(), config.settings().zones().indexOf(u.zone())));
            verdicts.setServers(zones);
            reportVerdicts(now);
            reportWeights(now);
        }
        if (now >= nextLimitsUs) {
            long elapsedUs = nextLimitsUs == 0
                    ? FleetLimits.TICK_INTERVAL_US
                    : now - nextLimitsUs + FleetLimits.TICK_INTERVAL_US;
            nextLimitsUs = now + FleetLimits.TICK_INTERVAL_US;
            decisions.call(
                    m -> m.collectLimitDemands(elapsedUs)
                            .forEach((name, demand) -> limits.recordDemand(now, name, demand)),
                    () -> {});
            limits.onTick(now, incarnation);
            List<Balancer.LimitShare> shares = limits.shares(now, 2 * FleetLimits.TICK_INTERVAL_US);
            decisions.call(m -> m.onLimitShares(now, shares), () -> {});
        }
    }

    /** What the module has learned, encoded; empty if it fails. */
    private byte[] learnedState() {
        byte[][] state = new byte[1][];
        decisions.call(m -> state[0] = m.exportEstimates(), () -> {});
        return state[0] == null ? new byte[0] : state[0];
    }

    /** Runs the callback when the warm start is over: at once if state is not shared, within {@link WarmStart#MAX_WAIT_US} otherwise. */
    void whenWarmStartEnds(Runnable callback) {
        if (store == null || isWarmStartOver) {
            callback.run();
        } else {
            warmStartCallback = callback;
        }
    }

    /** Drives the warm start, and afterwards writes the periodic snapshots. */
    private void advanceWarmStart(long now) {
        if (!isWarmStartOver) {
            warmStart.onTick(now, members.self().incarnation());
            if (warmStart.isFinished()) {
                isWarmStartOver = true;
                List<byte[]> fromPeers = warmStart.takeAnswers();
                byte[] fromSnapshot = !fromPeers.isEmpty() || snapshot == null ? null : snapshot.read(now / 1_000);
                List<byte[]> states = fromSnapshot == null ? fromPeers : List.of(fromSnapshot);
                if (!states.isEmpty()) {
                    decisions.call(
                            m -> {
                                int read = m.importEstimates(now, states);
                                Log.info("shared: warm start from "
                                        + (fromSnapshot != null ? "the previous process" : fromPeers.size() + " peers")
                                        + " complete"
                                        + (read < states.size()
                                                ? "; " + (states.size() - read) + " of an incompatible format ignored"
                                                : ""));
                            },
                            () -> {});
                }
                warmStartCallback.run();
            }
        } else if (snapshot != null && now >= nextSnapshotUs) {
            nextSnapshotUs = now + SNAPSHOT_INTERVAL_US;
            snapshot.write(learnedState(), now / 1_000);
        }
    }

    private void reportVerdicts(long now) {
        cases = verdicts.evaluate(now);
        List<Balancer.Verdict> current =
                cases.stream().map(Verdicts.Assessment::verdict).toList();
        decisions.call(m -> m.onVerdicts(now, current), () -> {});
    }

    private void reportWeights(long now) {
        orders.refresh(now, members.view().liveCount() > 1);
        watch.setServers(servers.get());
        Map<String, Double> weights = orders.weights(servers.get());
        if (hasWeights || !weights.isEmpty()) {
            hasWeights = !weights.isEmpty();
            decisions.call(
                    m -> m.onServerWeights(now, new Balancer.ServerWeights(weights, now + REPORT_VALID_US)), () -> {});
        }
    }

    /** Shares the module's own observation of an upstream with the fleet. */
    void reportEvidence(String upstream, Balancer.Evidence kind, double factor) {
        if (verdicts != null) {
            verdicts.recordEvidence(clock.nowUs(), upstream, kind, factor);
            // On the next tick, as the module is in the middle of a call now.
            nextShareUs = Math.min(nextShareUs, clock.nowUs());
        }
    }

    /** Announces the departure of this process and stops the plane. */
    void leave() {
        if (ticks != null) {
            ticks.cancel(false);
            members.leave(clock.nowUs());
        }
    }

    @Override
    public void onFleetMessage(int from, byte[] message) {
        Envelope.Message letter = Envelope.parse(message);
        if (letter != null && members.onMessage(clock.nowUs(), from, letter) && store != null) {
            store.onMessage(clock.nowUs(), from, letter);
            limits.onMessage(clock.nowUs(), from, letter);
            warmStart.onMessage(clock.nowUs(), from, letter, members.self().incarnation());
        }
    }

    @Override
    public void onModuleMessage(int from) {
        members.onLegacyDatagram(clock.nowUs(), from);
    }

    @Override
    public void send(int peer, byte[] datagram) {
        peers.send(peer, datagram);
    }

    @Override
    public void logEvent(String event) {
        Log.info("members: " + event);
    }

    /** Host of one component, whose log lines get a prefix. */
    private final class ComponentHost implements Environment {
        private final String logPrefix;

        ComponentHost(String logPrefix) {
            this.logPrefix = logPrefix;
        }

        @Override
        public void send(int peer, byte[] datagram) {
            FleetPlane.this.send(peer, datagram);
        }

        @Override
        public void logEvent(String event) {
            Log.info(logPrefix + event);
        }
    }

    @Override
    public boolean isSharing() {
        return store != null;
    }

    /** The verdicts on upstreams with the reports behind them, in one line of JSON. */
    @Override
    public String verdictsJson() {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        view.put("servers", servers.get().size());
        view.put(
                "verdicts",
                cases.stream()
                        .map(c -> {
                            Map<String, Object> one = new LinkedHashMap<>();
                            one.put("server", c.server());
                            one.put("kind", lowerCase(c.verdict().evidence()));
                            one.put("factor", c.verdict().factor());
                            one.put("holds", c.verdict().confirmed());
                            one.put("why", c.reason());
                            one.put(
                                    "words",
                                    c.reports().stream()
                                            .map(w -> Map.of(
                                                    "by",
                                                    members.nameOf(w.witness()),
                                                    "kind",
                                                    lowerCase(w.kind()),
                                                    "count",
                                                    w.count(),
                                                    "zone",
                                                    w.zone(),
                                                    "age_ms",
                                                    w.ageUs() / 1_000))
                                            .toList());
                            return one;
                        })
                        .toList());
        return json(view);
    }

    /** The shares of all limits, in one line of JSON. */
    @Override
    public String limitsJson() {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        view.put(
                "limits",
                limits.status(clock.nowUs()).stream()
                        .map(h -> {
                            Map<String, Object> one = new LinkedHashMap<>();
                            one.put("name", h.limit().name());
                            one.put("of", LimitSyntax.formatScope(h.limit()));
                            one.put("per", h.limit().inFlight() ? "in_flight" : "per_second");
                            one.put("most", h.limit().max());
                            one.put("share", h.share());
                            one.put("alone", h.equalShare());
                            one.put("lent", h.lent());
                            one.put("borrowed", h.borrowed());
                            one.put("demand", h.demand());
                            return one;
                        })
                        .toList());
        return json(view);
    }

    /** Sets a limit for the fleet; returns null on success, otherwise the reason. */
    @Override
    public String setLimit(String name, String scope, String maximum, String unit) {
        Log.info("limit " + name + " for " + scope + " set to " + maximum + " " + unit + ": requested by an operator");
        try {
            limits.setLimit(
                    clock.nowUs(),
                    LimitSyntax.parse(name, scope, unit, Double.parseDouble(maximum), config.settings()));
            return null;
        } catch (NumberFormatException e) {
            return "'" + maximum + "' is not a number";
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        }
    }

    /** Removes a limit set by {@link #setLimit}; returns null on success, otherwise the reason. */
    @Override
    public String removeLimit(String name) {
        Log.info("limit " + name + " removed: requested by an operator");
        return limits.removeLimit(clock.nowUs(), name) ? null : "no limit of this name was set by an operator";
    }

    /** The orders of releases and the resulting weights, in one line of JSON. */
    @Override
    public String ordersJson() {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        Map<String, Double> weights = orders.weights(servers.get());
        view.put(
                "orders",
                orders.refresh(clock.nowUs(), members.view().liveCount() > 1).stream()
                        .map(o -> {
                            Map<String, Object> one = new LinkedHashMap<>();
                            one.put("release", o.release());
                            one.put("epoch", o.epoch());
                            one.put("step", o.step());
                            one.put("state", lowerCase(o.state()));
                            one.put("weight", o.weight());
                            one.put("safe", o.safeWeight());
                            one.put("whom", o.selector().expression());
                            one.put(
                                    "servers",
                                    servers.get().stream()
                                            .filter(o.selector()::matches)
                                            .count());
                            return one;
                        })
                        .toList());
        view.put("weights", weights);
        return json(view);
    }

    /** Counts the outcome of an attempt for the releases. */
    void attemptEnded(String upstream, String requestClass, Balancer.Outcome outcome, long latencyUs) {
        if (watch != null) {
            watch.recordAttempt(clock.nowUs(), upstream, requestClass, outcome, latencyUs);
        }
    }

    /** The counts for a release's servers and their control group, in one line of JSON. */
    @Override
    public String talliesJson(String release) {
        return json(Map.of("self", config.name(), "tallies", watch.exportTallies(release)));
    }

    /** Passes an order of a release controller to the fleet; returns null on success, otherwise the reason. */
    @Override
    public String submitOrder(
            String release, String epoch, String step, String state, String weight, String safe, String whom) {
        try {
            ReleaseOrder.State parsedState = ReleaseOrder.State.valueOf(state.toUpperCase(java.util.Locale.ROOT));
            String refusal = orders.submit(
                    clock.nowUs(),
                    new ReleaseOrder(
                            release,
                            Integer.parseInt(epoch),
                            Integer.parseInt(step),
                            parsedState,
                            Double.parseDouble(weight),
                            Double.parseDouble(safe),
                            ReleaseOrder.Selector.parse(whom)));
            if (refusal == null) {
                reportWeights(clock.nowUs());
            }
            return refusal;
        } catch (IllegalArgumentException e) {
            return "invalid order: " + e.getMessage();
        }
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(java.util.Locale.ROOT);
    }

    private static String json(Map<String, Object> view) {
        try {
            return JSON.std.asString(view);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** This member's view of the fleet, in one line of JSON. */
    @Override
    public String membersJson() {
        long now = clock.nowUs();
        MembershipView current = members.view();
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        view.put("here", current.liveCount());
        view.put("expected", current.expectedCount());
        view.put("standing", current.standing().name().toLowerCase(java.util.Locale.ROOT));
        view.put("since_ms", (now - current.standingSinceUs()) / 1_000);
        List<Map<String, Object>> memberViews = new ArrayList<>();
        members.members().stream().sorted(Comparator.comparing(Member::name)).forEach(m -> {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("name", m.name());
            one.put("state", m.state().name().toLowerCase(java.util.Locale.ROOT));
            one.put("incarnation", m.incarnation());
            one.put("zone", m.zone());
            one.put("version", m.version());
            one.put("since_ms", (now - m.sinceUs()) / 1_000);
            one.put("why", m.reason());
            memberViews.add(one);
        });
        view.put("members", memberViews);
        return json(view);
    }
}

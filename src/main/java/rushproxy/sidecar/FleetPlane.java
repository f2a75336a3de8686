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
import rushproxy.PeerWord;
import rushproxy.fleet.Envelope;
import rushproxy.fleet.Host;
import rushproxy.fleet.member.Member;
import rushproxy.fleet.member.Membership;
import rushproxy.fleet.member.View;
import rushproxy.fleet.release.Order;
import rushproxy.fleet.release.Orders;
import rushproxy.fleet.release.Watch;
import rushproxy.fleet.shared.Limits;
import rushproxy.fleet.shared.Store;
import rushproxy.fleet.shared.Table;
import rushproxy.fleet.shared.Verdicts;
import rushproxy.fleet.shared.WarmStart;

/**
 * Runs the fleet plane (membership, shared verdicts and limits, releases) on the event loop from {@link #start} to {@link #leave}.
 * Supplies it with the time and with datagrams, and reports its results to the module.
 */
final class FleetPlane implements Host, Peers.FleetListener {
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
    private final Decisions decisions;
    private final Config config;
    /** The upstreams that are available now. */
    private final Supplier<List<Balancer.Upstream>> servers;

    private Membership members;
    /** This and the fields up to {@code warmStart} are null if state is not shared. */
    private Store store;

    private Verdicts verdicts;
    private Limits limits;
    private Orders orders;
    private Watch watch;
    private WarmStart warmStart;

    private boolean hasWeights;
    private boolean isWarmStartOver;
    private Runnable warmStartCallback = () -> {};
    /** Null if there is no directory for state that outlives the process. */
    private LearnedStateSnapshot snapshot;

    private long nextSnapshotUs;
    private List<Verdicts.Case> cases = List.of();
    private long nextShareUs;
    private long nextLimitsUs;
    /** The view last reported to the module. */
    private View reportedView;

    private long nextReportUs;
    private Future<?> ticks;

    FleetPlane(
            EventLoop loop,
            Clock clock,
            Peers peers,
            Decisions decisions,
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
        int reservedLength =
                PeerWord.length(settings.zones().size(), settings.kinds().size());
        members = new Membership(
                new Membership.Self(
                        config.name(),
                        settings.me(),
                        config.peers().size(),
                        Math.max(0, settings.zones().indexOf(settings.zone())),
                        settings.zones().size(),
                        PROTOCOL_VERSION,
                        FEATURE_MEMBERS | (config.fleet().shared() ? FEATURE_SHARED : 0),
                        clock.now() / 1_000,
                        reservedLength),
                clock.now(),
                config.seed(),
                this);
        if (config.fleet().shared()) {
            long me = members.self().id();
            Host host = new ComponentHost("shared: ");
            store = new Store(
                    me,
                    FEATURE_SHARED,
                    reservedLength,
                    List.of(Table.VERDICTS, Table.LIMITS, Table.COUNTS, Table.ORDERS),
                    clock.now(),
                    config.seed() + 1,
                    members,
                    host);
            verdicts = new Verdicts(store, me, members.self().zone(), members, host);
            limits = new Limits(
                    me,
                    settings.balancers(),
                    FEATURE_SHARED,
                    reservedLength,
                    store,
                    config.fleet().limits(),
                    clock.now(),
                    config.seed() + 2,
                    members,
                    host);
            orders = new Orders(store, clock.now(), host);
            watch = new Watch(orders, settings.rules().rampUs());
            warmStart = new WarmStart(
                    me,
                    FEATURE_SHARED,
                    reservedLength,
                    clock.now(),
                    config.seed() + 3,
                    members,
                    host,
                    this::learnedState);
            snapshot = config.kept() == null ? null : new LearnedStateSnapshot(config.kept());
            nextSnapshotUs = clock.now() + SNAPSHOT_INTERVAL_US;
        }
        peers.attachFleet(this, reservedLength);
        ticks = Recurring.every(loop, Membership.TICK_US / 1000, this::tick);
    }

    private void tick() {
        long now = clock.now();
        members.onTick(now);
        View view = members.view();
        if (now >= nextReportUs
                || reportedView == null
                || view.here() != reportedView.here()
                || view.standing() != reportedView.standing()) {
            if (reportedView == null || view.standing() != reportedView.standing()) {
                Log.event(
                        Log.Level.INFO,
                        "fleet membership: " + view.standing().name().toLowerCase(java.util.Locale.ROOT) + ", "
                                + view.here() + " of " + view.expected(),
                        "standing",
                        view.standing(),
                        "here",
                        view.here(),
                        "expected",
                        view.expected());
            }
            reportedView = view;
            nextReportUs = now + REPORT_INTERVAL_US;
            Balancer.Fleet report = new Balancer.Fleet(
                    view.here(),
                    view.byZone(),
                    Balancer.Standing.valueOf(view.standing().name()),
                    now + REPORT_VALID_US);
            decisions.call(m -> m.onFleet(now, report), () -> {});
        }
        if (store != null && !members.isQuiet()) {
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
            verdicts.servers(zones);
            reportVerdicts(now);
            reportWeights(now);
        }
        if (now >= nextLimitsUs) {
            long elapsedUs = nextLimitsUs == 0 ? Limits.TICK_US : now - nextLimitsUs + Limits.TICK_US;
            nextLimitsUs = now + Limits.TICK_US;
            decisions.call(
                    m -> m.demands(elapsedUs).forEach((name, demand) -> limits.demand(now, name, demand)), () -> {});
            limits.onTick(now, incarnation);
            List<Balancer.Share> shares = limits.shares(now, 2 * Limits.TICK_US);
            decisions.call(m -> m.onShares(now, shares), () -> {});
        }
    }

    /** What the module has learned, encoded; empty if it fails. */
    private byte[] learnedState() {
        byte[][] state = new byte[1][];
        decisions.call(m -> state[0] = m.know(), () -> {});
        return state[0] == null ? new byte[0] : state[0];
    }

    /** Runs the callback when the warm start is over: at once if state is not shared, within {@link WarmStart#MOST_US} otherwise. */
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
            if (warmStart.over()) {
                isWarmStartOver = true;
                List<byte[]> fromPeers = warmStart.take();
                byte[] fromSnapshot = !fromPeers.isEmpty() || snapshot == null ? null : snapshot.read(now / 1_000);
                List<byte[]> states = fromSnapshot == null ? fromPeers : List.of(fromSnapshot);
                if (!states.isEmpty()) {
                    decisions.call(
                            m -> {
                                int read = m.onKnow(now, states);
                                Log.line("shared: warm start from "
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
        cases = verdicts.look(now);
        List<Balancer.Verdict> current =
                cases.stream().map(Verdicts.Case::verdict).toList();
        decisions.call(m -> m.onVerdicts(now, current), () -> {});
    }

    private void reportWeights(long now) {
        orders.look(now, members.view().here() > 1);
        watch.servers(servers.get());
        Map<String, Double> weights = orders.weights(servers.get());
        if (hasWeights || !weights.isEmpty()) {
            hasWeights = !weights.isEmpty();
            decisions.call(m -> m.onWeights(now, new Balancer.Weights(weights, now + REPORT_VALID_US)), () -> {});
        }
    }

    /** Shares the module's own observation of an upstream with the fleet. */
    void reportEvidence(String upstream, Balancer.Evidence kind, double factor) {
        if (verdicts != null) {
            verdicts.evidence(clock.now(), upstream, kind, factor);
            // On the next tick, as the module is in the middle of a call now.
            nextShareUs = Math.min(nextShareUs, clock.now());
        }
    }

    /** Announces the departure of this process and stops the plane. */
    void leave() {
        if (ticks != null) {
            ticks.cancel(false);
            members.leave(clock.now());
        }
    }

    @Override
    public void onFleetMessage(int from, byte[] message) {
        Envelope.Letter letter = Envelope.read(message);
        if (letter != null && members.onLetter(clock.now(), from, letter) && store != null) {
            store.onLetter(clock.now(), from, letter);
            limits.onLetter(clock.now(), from, letter);
            warmStart.onLetter(clock.now(), from, letter, members.self().incarnation());
        }
    }

    @Override
    public void onModuleMessage(int from) {
        members.onOldWord(clock.now(), from);
    }

    @Override
    public void send(int peer, byte[] datagram) {
        peers.send(peer, datagram);
    }

    @Override
    public void note(String event) {
        Log.line("members: " + event);
    }

    /** Host of one component, whose log lines get a prefix. */
    private final class ComponentHost implements Host {
        private final String logPrefix;

        ComponentHost(String logPrefix) {
            this.logPrefix = logPrefix;
        }

        @Override
        public void send(int peer, byte[] datagram) {
            FleetPlane.this.send(peer, datagram);
        }

        @Override
        public void note(String event) {
            Log.line(logPrefix + event);
        }
    }

    boolean isSharing() {
        return store != null;
    }

    /** The verdicts on upstreams with the reports behind them, in one line of JSON. */
    String verdictsJson() {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        view.put("servers", servers.get().size());
        view.put(
                "verdicts",
                cases.stream()
                        .map(c -> {
                            Map<String, Object> one = new LinkedHashMap<>();
                            one.put("server", c.server());
                            one.put("kind", lowerCase(c.verdict().kind()));
                            one.put("factor", c.verdict().factor());
                            one.put("holds", c.verdict().holds());
                            one.put("why", c.why());
                            one.put(
                                    "words",
                                    c.words().stream()
                                            .map(w -> Map.of(
                                                    "by",
                                                    members.name(w.witness()),
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
    String limitsJson() {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        view.put(
                "limits",
                limits.held(clock.now()).stream()
                        .map(h -> {
                            Map<String, Object> one = new LinkedHashMap<>();
                            one.put("name", h.limit().name());
                            one.put("of", LimitSyntax.formatScope(h.limit()));
                            one.put("per", h.limit().inFlight() ? "in_flight" : "per_second");
                            one.put("most", h.limit().most());
                            one.put("share", h.share());
                            one.put("alone", h.alone());
                            one.put("lent", h.lent());
                            one.put("borrowed", h.borrowed());
                            one.put("demand", h.demand());
                            return one;
                        })
                        .toList());
        return json(view);
    }

    /** Sets a limit for the fleet; returns null on success, otherwise the reason. */
    String setLimit(String name, String scope, String maximum, String unit) {
        try {
            limits.set(
                    clock.now(), LimitSyntax.parse(name, scope, unit, Double.parseDouble(maximum), config.settings()));
            return null;
        } catch (NumberFormatException e) {
            return "'" + maximum + "' is not a number";
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        }
    }

    /** Removes a limit set by {@link #setLimit}; returns null on success, otherwise the reason. */
    String removeLimit(String name) {
        return limits.unset(clock.now(), name) ? null : "no limit of this name was set by an operator";
    }

    /** The orders of releases and the resulting weights, in one line of JSON. */
    String ordersJson() {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        Map<String, Double> weights = orders.weights(servers.get());
        view.put(
                "orders",
                orders.look(clock.now(), members.view().here() > 1).stream()
                        .map(o -> {
                            Map<String, Object> one = new LinkedHashMap<>();
                            one.put("release", o.release());
                            one.put("epoch", o.epoch());
                            one.put("step", o.step());
                            one.put("state", lowerCase(o.state()));
                            one.put("weight", o.weight());
                            one.put("safe", o.safe());
                            one.put("whom", o.whom().words());
                            one.put(
                                    "servers",
                                    servers.get().stream()
                                            .filter(o.whom()::takes)
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
            watch.seen(clock.now(), upstream, requestClass, outcome, latencyUs);
        }
    }

    /** The counts for a release's servers and their control group, in one line of JSON. */
    String talliesJson(String release) {
        return json(Map.of("self", config.name(), "tallies", watch.view(release)));
    }

    /** Passes an order of a release controller to the fleet; returns null on success, otherwise the reason. */
    String submitOrder(
            String release, String epoch, String step, String state, String weight, String safe, String whom) {
        try {
            Order.State parsedState = Order.State.valueOf(state.toUpperCase(java.util.Locale.ROOT));
            String refusal = orders.give(
                    clock.now(),
                    new Order(
                            release,
                            Integer.parseInt(epoch),
                            Integer.parseInt(step),
                            parsedState,
                            Double.parseDouble(weight),
                            Double.parseDouble(safe),
                            Order.Selector.of(whom)));
            if (refusal == null) {
                reportWeights(clock.now());
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
    String membersJson() {
        long now = clock.now();
        View current = members.view();
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        view.put("here", current.here());
        view.put("expected", current.expected());
        view.put("standing", current.standing().name().toLowerCase(java.util.Locale.ROOT));
        view.put("since_ms", (now - current.sinceUs()) / 1_000);
        List<Map<String, Object>> memberViews = new ArrayList<>();
        members.members().stream().sorted(Comparator.comparing(Member::name)).forEach(m -> {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("name", m.name());
            one.put("state", m.state().name().toLowerCase(java.util.Locale.ROOT));
            one.put("incarnation", m.incarnation());
            one.put("zone", m.zone());
            one.put("version", m.version());
            one.put("since_ms", (now - m.sinceUs()) / 1_000);
            one.put("why", m.why());
            memberViews.add(one);
        });
        view.put("members", memberViews);
        return json(view);
    }
}

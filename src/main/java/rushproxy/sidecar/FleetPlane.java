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

/**
 * Hosts the fleet plane on the event loop, which owns it, from {@link #start} to {@link #leave}: hands it the time and its
 * datagrams, and the module what it has found out.
 */
final class FleetPlane implements Environment, Peers.Fleet {
    private static final int VERSION = 1;
    private static final int PART_MEMBERS = 1;
    private static final int PART_SHARED = 2;
    private static final long TELL_US = 1_000_000;
    private static final long SNAPSHOT_US = 5_000_000;
    /** What the module was told counts for so long: two tellings may be missed. */
    private static final long COUNTS_US = 3_000_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Peers peers;
    private final Decisions decisions;
    private final Config config;
    /** The servers that may be used now. */
    private final Supplier<List<Balancer.Upstream>> servers;

    private Membership members;
    /** Null, with all that follows, where nothing is shared. */
    private ReplicatedStore store;

    private Verdicts verdicts;
    private FleetLimits limits;
    private ReleaseOrders orders;
    private ReleaseMonitor watch;
    private boolean weighed;
    private WarmStart warm;
    private boolean warmed;
    private Runnable whenWarm = () -> {};
    /** Null where nothing outlives the process. */
    private Snapshot snapshot;

    private long snapshotUs;
    private List<Verdicts.Assessment> cases = List.of();
    private long sharedUs;
    private long limitsUs;
    private MembershipView told;
    private long tellUs;
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
        Balancer.Settings s = config.settings();
        int taken = PeerWord.length(s.zones().size(), s.kinds().size());
        members = new Membership(
                new Membership.Self(
                        config.name(),
                        s.me(),
                        config.peers().size(),
                        Math.max(0, s.zones().indexOf(s.zone())),
                        s.zones().size(),
                        VERSION,
                        PART_MEMBERS | (config.fleet().shared() ? PART_SHARED : 0),
                        clock.now() / 1_000,
                        taken),
                clock.now(),
                config.seed(),
                this);
        if (config.fleet().shared()) {
            long me = members.self().id();
            Environment says = new Says("shared: ");
            store = new ReplicatedStore(
                    me,
                    PART_SHARED,
                    taken,
                    List.of(Table.VERDICTS, Table.LIMITS, Table.COUNTS, Table.ORDERS),
                    clock.now(),
                    config.seed() + 1,
                    members,
                    says);
            verdicts = new Verdicts(store, me, members.self().zone(), members, says);
            limits = new FleetLimits(
                    me,
                    s.balancers(),
                    PART_SHARED,
                    taken,
                    store,
                    config.fleet().limits(),
                    clock.now(),
                    config.seed() + 2,
                    members,
                    says);
            orders = new ReleaseOrders(store, clock.now(), says);
            watch = new ReleaseMonitor(orders, s.rules().rampUs());
            warm = new WarmStart(me, PART_SHARED, taken, clock.now(), config.seed() + 3, members, says, this::known);
            snapshot = config.kept() == null ? null : new Snapshot(config.kept());
            snapshotUs = clock.now() + SNAPSHOT_US;
        }
        peers.hand(this, taken);
        ticks = Recurring.every(loop, Membership.TICK_INTERVAL_US / 1000, this::tick);
    }

    private void tick() {
        long now = clock.now();
        members.onTick(now);
        MembershipView view = members.view();
        if (now >= tellUs
                || told == null
                || view.liveCount() != told.liveCount()
                || view.standing() != told.standing()) {
            if (told == null || view.standing() != told.standing()) {
                Log.event(
                        Log.Level.INFO,
                        "sees a " + view.standing().name().toLowerCase(java.util.Locale.ROOT) + " of its fleet: "
                                + view.liveCount() + " of " + view.expectedCount(),
                        "standing",
                        view.standing(),
                        "here",
                        view.liveCount(),
                        "expected",
                        view.expectedCount());
            }
            told = view;
            tellUs = now + TELL_US;
            Balancer.Fleet fact = new Balancer.Fleet(
                    view.liveCount(),
                    view.liveByZone(),
                    Balancer.Standing.valueOf(view.standing().name()),
                    now + COUNTS_US);
            decisions.call(m -> m.onFleet(now, fact), () -> {});
        }
        if (store != null && !members.isStopped()) {
            share(now);
        } else if (store != null && !warmed) {
            // Another process has the name: nothing comes any more, and nobody waits for it.
            warmed = true;
            whenWarm.run();
        }
    }

    private void share(long now) {
        long incarnation = members.self().incarnation();
        store.onTick(now, incarnation);
        warmUp(now);
        if (now >= sharedUs) {
            sharedUs = now + TELL_US;
            Map<String, Integer> zones = new HashMap<>();
            servers.get()
                    .forEach(u -> zones.put(u.id(), config.settings().zones().indexOf(u.zone())));
            verdicts.setServers(zones);
            judge(now);
            weigh(now);
        }
        if (now >= limitsUs) {
            long passed = limitsUs == 0 ? FleetLimits.TICK_INTERVAL_US : now - limitsUs + FleetLimits.TICK_INTERVAL_US;
            limitsUs = now + FleetLimits.TICK_INTERVAL_US;
            decisions.call(
                    m -> m.demands(passed).forEach((name, demand) -> limits.recordDemand(now, name, demand)), () -> {});
            limits.onTick(now, incarnation);
            List<Balancer.Share> shares = limits.shares(now, 2 * FleetLimits.TICK_INTERVAL_US);
            decisions.call(m -> m.onShares(now, shares), () -> {});
        }
    }

    private byte[] known() {
        byte[][] known = new byte[1][];
        decisions.call(m -> known[0] = m.know(), () -> {});
        return known[0] == null ? new byte[0] : known[0];
    }

    /** Runs once no more is waited for of what others know: at once where nothing is shared, within {@link WarmStart#MAX_WAIT_US}. */
    void whenWarm(Runnable run) {
        if (store == null || warmed) {
            run.run();
        } else {
            whenWarm = run;
        }
    }

    private void warmUp(long now) {
        if (!warmed) {
            warm.onTick(now, members.self().incarnation());
            if (warm.isFinished()) {
                warmed = true;
                List<byte[]> told = warm.takeAnswers();
                byte[] kept = !told.isEmpty() || snapshot == null ? null : snapshot.read(now / 1_000);
                List<byte[]> all = kept == null ? told : List.of(kept);
                if (!all.isEmpty()) {
                    decisions.call(
                            m -> {
                                int read = m.onKnow(now, all);
                                Log.line("shared: begins with what "
                                        + (kept != null ? "the process before" : told.size() + " others") + " knew"
                                        + (read < all.size()
                                                ? "; " + (all.size() - read) + " of another shape left aside"
                                                : ""));
                            },
                            () -> {});
                }
                whenWarm.run();
            }
        } else if (snapshot != null && now >= snapshotUs) {
            snapshotUs = now + SNAPSHOT_US;
            snapshot.write(known(), now / 1_000);
        }
    }

    private void judge(long now) {
        cases = verdicts.evaluate(now);
        List<Balancer.Verdict> said =
                cases.stream().map(Verdicts.Assessment::verdict).toList();
        decisions.call(m -> m.onVerdicts(now, said), () -> {});
    }

    private void weigh(long now) {
        orders.refresh(now, members.view().liveCount() > 1);
        watch.setServers(servers.get());
        Map<String, Double> weights = orders.weights(servers.get());
        if (weighed || !weights.isEmpty()) {
            weighed = !weights.isEmpty();
            decisions.call(m -> m.onWeights(now, new Balancer.Weights(weights, now + COUNTS_US)), () -> {});
        }
    }

    /** The module has seen this of an upstream itself. */
    void evidence(String upstream, Balancer.Evidence kind, double factor) {
        if (verdicts != null) {
            verdicts.recordEvidence(clock.now(), upstream, kind, factor);
            // Soon, but not in the middle of what the module does.
            sharedUs = Math.min(sharedUs, clock.now());
        }
    }

    /** The process is to leave: told at once, and nothing follows. */
    void leave() {
        if (ticks != null) {
            ticks.cancel(false);
            members.leave(clock.now());
        }
    }

    @Override
    public void letter(int from, byte[] message) {
        Envelope.Message letter = Envelope.parse(message);
        if (letter != null && members.onMessage(clock.now(), from, letter) && store != null) {
            store.onMessage(clock.now(), from, letter);
            limits.onMessage(clock.now(), from, letter);
            warm.onMessage(clock.now(), from, letter, members.self().incarnation());
        }
    }

    @Override
    public void word(int from) {
        members.onLegacyDatagram(clock.now(), from);
    }

    @Override
    public void send(int peer, byte[] datagram) {
        peers.tell(peer, datagram);
    }

    @Override
    public void logEvent(String event) {
        Log.line("members: " + event);
    }

    /** A part of the plane, by its name in the log. */
    private final class Says implements Environment {
        private final String part;

        Says(String part) {
            this.part = part;
        }

        @Override
        public void send(int peer, byte[] datagram) {
            FleetPlane.this.send(peer, datagram);
        }

        @Override
        public void logEvent(String event) {
            Log.line(part + event);
        }
    }

    boolean shares() {
        return store != null;
    }

    /** What is said of servers, in one line of JSON. */
    String verdicts() {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        view.put("servers", servers.get().size());
        view.put(
                "verdicts",
                cases.stream()
                        .map(c -> {
                            Map<String, Object> one = new LinkedHashMap<>();
                            one.put("server", c.server());
                            one.put("kind", word(c.verdict().kind()));
                            one.put("factor", c.verdict().factor());
                            one.put("holds", c.verdict().holds());
                            one.put("why", c.reason());
                            one.put(
                                    "words",
                                    c.reports().stream()
                                            .map(w -> Map.of(
                                                    "by",
                                                    members.nameOf(w.witness()),
                                                    "kind",
                                                    word(w.kind()),
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

    /** What is held of each limit, in one line of JSON. */
    String limits() {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        view.put(
                "limits",
                limits.status(clock.now()).stream()
                        .map(h -> {
                            Map<String, Object> one = new LinkedHashMap<>();
                            one.put("name", h.limit().name());
                            one.put("of", LimitWords.words(h.limit()));
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

    /** Null where the fleet is told it, else why not. */
    String limit(String name, String of, String most, String per) {
        try {
            limits.setLimit(clock.now(), LimitWords.limit(name, of, per, Double.parseDouble(most), config.settings()));
            return null;
        } catch (NumberFormatException e) {
            return "'" + most + "' is no number";
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        }
    }

    String unlimit(String name) {
        return limits.removeLimit(clock.now(), name) ? null : "no limit of this name was set by a call";
    }

    /** What releases order, in one line of JSON. */
    String orders() {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        Map<String, Double> weights = orders.weights(servers.get());
        view.put(
                "orders",
                orders.refresh(clock.now(), members.view().liveCount() > 1).stream()
                        .map(o -> {
                            Map<String, Object> one = new LinkedHashMap<>();
                            one.put("release", o.release());
                            one.put("epoch", o.epoch());
                            one.put("step", o.step());
                            one.put("state", word(o.state()));
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

    /** An attempt has ended. */
    void ended(String upstream, String requestClass, Balancer.Outcome outcome, long tookUs) {
        if (watch != null) {
            watch.recordAttempt(clock.now(), upstream, requestClass, outcome, tookUs);
        }
    }

    /** What was counted of a release's servers and their control, in one line of JSON. */
    String tallies(String release) {
        return json(Map.of("self", config.name(), "tallies", watch.exportTallies(release)));
    }

    /** Null where the fleet is told it, else why not. */
    String order(String release, String epoch, String step, String state, String weight, String safe, String whom) {
        try {
            ReleaseOrder.State is = ReleaseOrder.State.valueOf(state.toUpperCase(java.util.Locale.ROOT));
            String no = orders.submit(
                    clock.now(),
                    new ReleaseOrder(
                            release,
                            Integer.parseInt(epoch),
                            Integer.parseInt(step),
                            is,
                            Double.parseDouble(weight),
                            Double.parseDouble(safe),
                            ReleaseOrder.Selector.parse(whom)));
            if (no == null) {
                weigh(clock.now());
            }
            return no;
        } catch (IllegalArgumentException e) {
            return "no order: " + e.getMessage();
        }
    }

    private static String word(Enum<?> word) {
        return word.name().toLowerCase(java.util.Locale.ROOT);
    }

    private static String json(Map<String, Object> view) {
        try {
            return JSON.std.asString(view);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Its view in one line of JSON. */
    String view() {
        long now = clock.now();
        MembershipView v = members.view();
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        view.put("here", v.liveCount());
        view.put("expected", v.expectedCount());
        view.put("standing", v.standing().name().toLowerCase(java.util.Locale.ROOT));
        view.put("since_ms", (now - v.standingSinceUs()) / 1_000);
        List<Map<String, Object>> all = new ArrayList<>();
        members.members().stream().sorted(Comparator.comparing(Member::name)).forEach(m -> {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("name", m.name());
            one.put("state", m.state().name().toLowerCase(java.util.Locale.ROOT));
            one.put("incarnation", m.incarnation());
            one.put("zone", m.zone());
            one.put("version", m.version());
            one.put("since_ms", (now - m.sinceUs()) / 1_000);
            one.put("why", m.reason());
            all.add(one);
        });
        view.put("members", all);
        return json(view);
    }
}

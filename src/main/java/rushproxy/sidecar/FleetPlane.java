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
 * Hosts the fleet plane on the event loop, which owns it, from {@link #start} to {@link #leave}: hands it the time and its
 * datagrams, and the module what it has found out.
 */
final class FleetPlane implements Host, Peers.Fleet {
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
    private Store store;

    private Verdicts verdicts;
    private Limits limits;
    private Orders orders;
    private Watch watch;
    private boolean weighed;
    private WarmStart warm;
    private boolean warmed;
    private Runnable whenWarm = () -> {};
    /** Null where nothing outlives the process. */
    private Snapshot snapshot;

    private long snapshotUs;
    private List<Verdicts.Case> cases = List.of();
    private long sharedUs;
    private long limitsUs;
    private View told;
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
                        clock.nowUs() / 1_000,
                        taken),
                clock.nowUs(),
                config.seed(),
                this);
        if (config.fleet().shared()) {
            long me = members.self().id();
            Host says = new Says("shared: ");
            store = new Store(
                    me,
                    PART_SHARED,
                    taken,
                    List.of(Table.VERDICTS, Table.LIMITS, Table.COUNTS, Table.ORDERS),
                    clock.nowUs(),
                    config.seed() + 1,
                    members,
                    says);
            verdicts = new Verdicts(store, me, members.self().zone(), members, says);
            limits = new Limits(
                    me,
                    s.balancers(),
                    PART_SHARED,
                    taken,
                    store,
                    config.fleet().limits(),
                    clock.nowUs(),
                    config.seed() + 2,
                    members,
                    says);
            orders = new Orders(store, clock.nowUs(), says);
            watch = new Watch(orders, s.rules().rampUs());
            warm = new WarmStart(me, PART_SHARED, taken, clock.nowUs(), config.seed() + 3, members, says, this::known);
            snapshot = config.stateDirectory() == null ? null : new Snapshot(config.stateDirectory());
            snapshotUs = clock.nowUs() + SNAPSHOT_US;
        }
        peers.hand(this, taken);
        ticks = PeriodicTask.scheduleEvery(loop, Membership.TICK_US / 1000, this::tick);
    }

    private void tick() {
        long now = clock.nowUs();
        members.onTick(now);
        View view = members.view();
        if (now >= tellUs || told == null || view.here() != told.here() || view.standing() != told.standing()) {
            if (told == null || view.standing() != told.standing()) {
                Log.event(
                        Log.Level.INFO,
                        "sees a " + view.standing().name().toLowerCase(java.util.Locale.ROOT) + " of its fleet: "
                                + view.here() + " of " + view.expected(),
                        "standing",
                        view.standing(),
                        "here",
                        view.here(),
                        "expected",
                        view.expected());
            }
            told = view;
            tellUs = now + TELL_US;
            Balancer.Fleet fact = new Balancer.Fleet(
                    view.here(),
                    view.byZone(),
                    Balancer.Standing.valueOf(view.standing().name()),
                    now + COUNTS_US);
            decisions.call(m -> m.onFleet(now, fact), () -> {});
        }
        if (store != null && !members.isQuiet()) {
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
            verdicts.servers(zones);
            judge(now);
            weigh(now);
        }
        if (now >= limitsUs) {
            long passed = limitsUs == 0 ? Limits.TICK_US : now - limitsUs + Limits.TICK_US;
            limitsUs = now + Limits.TICK_US;
            decisions.call(
                    m -> m.demands(passed).forEach((name, demand) -> limits.demand(now, name, demand)), () -> {});
            limits.onTick(now, incarnation);
            List<Balancer.Share> shares = limits.shares(now, 2 * Limits.TICK_US);
            decisions.call(m -> m.onShares(now, shares), () -> {});
        }
    }

    private byte[] known() {
        byte[][] known = new byte[1][];
        decisions.call(m -> known[0] = m.know(), () -> {});
        return known[0] == null ? new byte[0] : known[0];
    }

    /** Runs once no more is waited for of what others know: at once where nothing is shared, within {@link WarmStart#MOST_US}. */
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
            if (warm.over()) {
                warmed = true;
                List<byte[]> told = warm.take();
                byte[] kept = !told.isEmpty() || snapshot == null ? null : snapshot.read(now / 1_000);
                List<byte[]> all = kept == null ? told : List.of(kept);
                if (!all.isEmpty()) {
                    decisions.call(
                            m -> {
                                int read = m.onKnow(now, all);
                                Log.info("shared: begins with what "
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
        cases = verdicts.look(now);
        List<Balancer.Verdict> said = cases.stream().map(Verdicts.Case::verdict).toList();
        decisions.call(m -> m.onVerdicts(now, said), () -> {});
    }

    private void weigh(long now) {
        orders.look(now, members.view().here() > 1);
        watch.servers(servers.get());
        Map<String, Double> weights = orders.weights(servers.get());
        if (weighed || !weights.isEmpty()) {
            weighed = !weights.isEmpty();
            decisions.call(m -> m.onWeights(now, new Balancer.Weights(weights, now + COUNTS_US)), () -> {});
        }
    }

    /** The module has seen this of an upstream itself. */
    void evidence(String upstream, Balancer.Evidence kind, double factor) {
        if (verdicts != null) {
            verdicts.evidence(clock.nowUs(), upstream, kind, factor);
            // Soon, but not in the middle of what the module does.
            sharedUs = Math.min(sharedUs, clock.nowUs());
        }
    }

    /** The process is to leave: told at once, and nothing follows. */
    void leave() {
        if (ticks != null) {
            ticks.cancel(false);
            members.leave(clock.nowUs());
        }
    }

    @Override
    public void letter(int from, byte[] message) {
        Envelope.Letter letter = Envelope.read(message);
        if (letter != null && members.onLetter(clock.nowUs(), from, letter) && store != null) {
            store.onLetter(clock.nowUs(), from, letter);
            limits.onLetter(clock.nowUs(), from, letter);
            warm.onLetter(clock.nowUs(), from, letter, members.self().incarnation());
        }
    }

    @Override
    public void word(int from) {
        members.onOldWord(clock.nowUs(), from);
    }

    @Override
    public void send(int peer, byte[] datagram) {
        peers.tell(peer, datagram);
    }

    @Override
    public void note(String event) {
        Log.info("members: " + event);
    }

    /** A part of the plane, by its name in the log. */
    private final class Says implements Host {
        private final String part;

        Says(String part) {
            this.part = part;
        }

        @Override
        public void send(int peer, byte[] datagram) {
            FleetPlane.this.send(peer, datagram);
        }

        @Override
        public void note(String event) {
            Log.info(part + event);
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
                            one.put("why", c.why());
                            one.put(
                                    "words",
                                    c.words().stream()
                                            .map(w -> Map.of(
                                                    "by",
                                                    members.name(w.witness()),
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
                limits.held(clock.nowUs()).stream()
                        .map(h -> {
                            Map<String, Object> one = new LinkedHashMap<>();
                            one.put("name", h.limit().name());
                            one.put("of", LimitWords.words(h.limit()));
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

    /** Null where the fleet is told it, else why not. */
    String limit(String name, String of, String most, String per) {
        try {
            limits.set(clock.nowUs(), LimitWords.limit(name, of, per, Double.parseDouble(most), config.settings()));
            return null;
        } catch (NumberFormatException e) {
            return "'" + most + "' is no number";
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        }
    }

    String unlimit(String name) {
        return limits.unset(clock.nowUs(), name) ? null : "no limit of this name was set by a call";
    }

    /** What releases order, in one line of JSON. */
    String orders() {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        Map<String, Double> weights = orders.weights(servers.get());
        view.put(
                "orders",
                orders.look(clock.nowUs(), members.view().here() > 1).stream()
                        .map(o -> {
                            Map<String, Object> one = new LinkedHashMap<>();
                            one.put("release", o.release());
                            one.put("epoch", o.epoch());
                            one.put("step", o.step());
                            one.put("state", word(o.state()));
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

    /** An attempt has ended. */
    void ended(String upstream, String requestClass, Balancer.Outcome outcome, long tookUs) {
        if (watch != null) {
            watch.seen(clock.nowUs(), upstream, requestClass, outcome, tookUs);
        }
    }

    /** What was counted of a release's servers and their control, in one line of JSON. */
    String tallies(String release) {
        return json(Map.of("self", config.name(), "tallies", watch.view(release)));
    }

    /** Null where the fleet is told it, else why not. */
    String order(String release, String epoch, String step, String state, String weight, String safe, String whom) {
        try {
            Order.State is = Order.State.valueOf(state.toUpperCase(java.util.Locale.ROOT));
            String no = orders.give(
                    clock.nowUs(),
                    new Order(
                            release,
                            Integer.parseInt(epoch),
                            Integer.parseInt(step),
                            is,
                            Double.parseDouble(weight),
                            Double.parseDouble(safe),
                            Order.Selector.of(whom)));
            if (no == null) {
                weigh(clock.nowUs());
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
        long now = clock.nowUs();
        View v = members.view();
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("self", config.name());
        view.put("here", v.here());
        view.put("expected", v.expected());
        view.put("standing", v.standing().name().toLowerCase(java.util.Locale.ROOT));
        view.put("since_ms", (now - v.sinceUs()) / 1_000);
        List<Map<String, Object>> all = new ArrayList<>();
        members.members().stream().sorted(Comparator.comparing(Member::name)).forEach(m -> {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("name", m.name());
            one.put("state", m.state().name().toLowerCase(java.util.Locale.ROOT));
            one.put("incarnation", m.incarnation());
            one.put("zone", m.zone());
            one.put("version", m.version());
            one.put("since_ms", (now - m.sinceUs()) / 1_000);
            one.put("why", m.why());
            all.add(one);
        });
        view.put("members", all);
        return json(view);
    }
}

package rushproxy.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import rushproxy.fleet.member.Member;
import rushproxy.lab.node.Build;
import rushproxy.lab.world.Addresses;

/** Plays one scale run: the fleet starts, is measured in quiet, then something happens to it, and it is measured again. */
public final class ScaleRun {
    private static final long SECOND_US = 1_000_000;
    private static final long LOOK_US = 100_000;
    /** A fleet that starts at once agrees within this: more members have more to tell. */
    private static final long SETTLE_US = 30 * SECOND_US;

    private static final long SETTLE_EACH_US = 60_000;
    private static final int QUIET_S = 20;
    /** A change is watched for so long. */
    private static final int WATCH_S = 40;

    private static final int RESTART_EVERY_MS = 500;
    private static final int RESTART_AWAY_MS = 2_500;
    private static final int RESTARTED_PART = 20;
    private static final long JUST_STARTED_US = 30 * SECOND_US;

    private final ScalePlan plan;
    private final ScaleFleet fleet;
    private final WorkMeter work;
    private final TrafficMeter traffic;
    private final Consumer<String> progress;
    private final List<ScalePhase> phases = new ArrayList<>();
    private final Set<Integer> falselyDead = new HashSet<>();
    private long phaseUs;
    private boolean cut;

    ScaleRun(ScalePlan plan, ScaleFleet fleet, WorkMeter work, Consumer<String> progress) {
        this.plan = plan;
        this.fleet = fleet;
        this.work = work;
        this.progress = progress;
        traffic = new TrafficMeter(fleet);
    }

    /** Hollow members in simulated time, which carries sizes that real time can't. */
    public static ScaleResult simulated(ScalePlan plan, Consumer<String> progress) {
        WorkMeter work = new WorkMeter();
        try (SimulatedFleet fleet = new SimulatedFleet(plan, work)) {
            ScaleRun run = new ScaleRun(plan, fleet, work, progress);
            long heap = run.settle();
            run.measure();
            return run.result("simulated", heap, List.of());
        }
    }

    /**
     * Hollow members over loopback sockets, beside real sidecars, in real time. Throws where addresses, sockets or processes
     * can't be had.
     */
    public static ScaleResult real(ScalePlan plan, Build build, Path folder, Consumer<String> progress)
            throws IOException {
        WorkMeter work = new WorkMeter();
        try (Addresses addresses = Addresses.claim()) {
            List<InetSocketAddress> peers = IntStream.range(0, plan.members())
                    .mapToObj(addresses::peerListen)
                    .toList();
            try (LoopbackFleet fleet = new LoopbackFleet(plan, peers, work);
                    RealSidecars sidecars = new RealSidecars(plan, addresses, peers, build, folder)) {
                sidecars.start();
                progress.accept(plan.real() + " real sidecars start");
                ScaleRun run = new ScaleRun(plan, fleet, work, progress);
                long heap = run.settle();
                run.measure();
                return run.result("real", heap, sidecars.look());
            }
        }
    }

    /** Starts all members and waits until they should agree; returns the heap that each holds, in bytes. */
    long settle() {
        long empty = usedHeap();
        IntStream.range(0, fleet.size()).forEach(fleet::start);
        progress.accept(fleet.size() + " hollow members start");
        run((int) ((SETTLE_US + fleet.size() * SETTLE_EACH_US) / SECOND_US), List.of());
        return Math.max(0, usedHeap() - empty) / fleet.size();
    }

    private static long usedHeap() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    void measure() {
        begin();
        run(QUIET_S, List.of());
        end("quiet", List.of());
        switch (plan.event()) {
            case QUIET -> {}
            case KILL -> lose("kill", List.of(fleet.size() / 2));
            case RACK_LOSS -> lose("rack-loss", members(m -> m < ScaleEvent.RACK));
            case ZONE_LOSS -> loseZone();
            case REGION_CUT -> cutRegion();
            case ROLLING_RESTART -> restart();
        }
    }

    ScaleResult result(String clock, long heap, List<ScaleResult.Sidecar> sidecars) {
        return new ScaleResult(
                clock,
                plan.members(),
                plan.real(),
                plan.services(),
                plan.zones(),
                plan.regions(),
                plan.event().word(),
                plan.loss(),
                plan.seed(),
                heap,
                fleet.lateness(),
                phases,
                sidecars);
    }

    private List<Integer> members(IntPredicate which) {
        return IntStream.range(0, fleet.size()).filter(which).boxed().toList();
    }

    private void loseZone() {
        List<Integer> zone = members(m -> plan.zoneOf(m) == 0);
        lose("zone-loss", zone);
        begin();
        zone.forEach(fleet::start);
        watch(
                "zone-return",
                new ChangeWatch(
                        "return of a zone of " + zone.size(),
                        zone,
                        members(m -> plan.zoneOf(m) != 0),
                        this::seesAlive,
                        fleet.us()));
    }

    private void lose(String name, List<Integer> victims) {
        begin();
        victims.forEach(fleet::kill);
        watch(
                name,
                new ChangeWatch("death of " + victims.size(), victims, members(fleet::up), this::seesGone, fleet.us()));
    }

    private void cutRegion() {
        List<Integer> region = members(m -> plan.regionOf(m) == 0);
        List<Integer> others = members(m -> plan.regionOf(m) != 0);
        begin();
        cut = true;
        fleet.cutFirstRegion(true);
        run(ScaleEvent.REGION_CUT_S, List.of());
        int called = (int) region.stream()
                .filter(of -> others.stream().anyMatch(at -> fleet.state(at, of) == Member.State.DEAD))
                .count();
        end("region-cut", List.of(new ScalePhase.Known("cut of " + region.size(), -1, -1, -1, called)));
        begin();
        fleet.cutFirstRegion(false);
        // Who is held dead across the cut is so until the return has been heard of.
        watch(
                "region-return",
                new ChangeWatch("return of a region of " + region.size(), region, others, this::seesAlive, fleet.us()));
        cut = false;
    }

    private void restart() {
        int count = Math.max(1, fleet.size() / RESTARTED_PART);
        begin();
        long from = fleet.us();
        int started = 0;
        for (int step = 0; started < count; step++) {
            if (step < count) {
                fleet.leave(step);
                fleet.kill(step);
            }
            for (;
                    started < count && (started * RESTART_EVERY_MS + RESTART_AWAY_MS) <= step * RESTART_EVERY_MS;
                    started++) {
                fleet.start(started);
            }
            runTo(from + (step + 1) * RESTART_EVERY_MS * 1_000L, List.of());
        }
        watch(
                "rolling-restart",
                new ChangeWatch(
                        "restart of " + count + ", from the last start on",
                        members(m -> m < count),
                        members(m -> m >= count),
                        this::seesAlive,
                        fleet.us()));
    }

    private boolean seesAlive(int at, int of) {
        return fleet.state(at, of) == Member.State.ALIVE;
    }

    private boolean seesGone(int at, int of) {
        Member.State state = fleet.state(at, of);
        return state == null || state == Member.State.DEAD || state == Member.State.LEFT;
    }

    private void watch(String name, ChangeWatch watch) {
        run(WATCH_S, List.of(watch));
        end(name, List.of(watch.known()));
    }

    private void begin() {
        work.reset();
        traffic.reset();
        falselyDead.clear();
        phaseUs = fleet.us();
    }

    private void run(int seconds, List<ChangeWatch> watches) {
        runTo(fleet.us() + seconds * SECOND_US, watches);
    }

    private void runTo(long untilUs, List<ChangeWatch> watches) {
        long from = fleet.us();
        long second = from + SECOND_US;
        for (long t = from; t < untilUs; ) {
            t = Math.min(untilUs, t + LOOK_US);
            fleet.runUntil(t);
            for (ChangeWatch w : watches) {
                w.look(t);
            }
            if (t >= second) {
                second += SECOND_US;
                traffic.second();
                lookForFalseDeaths();
            }
        }
    }

    /** Not across a cut, and not of one that has just come back: it may be held dead by word of its process before. */
    private void lookForFalseDeaths() {
        if (cut) {
            return;
        }
        for (int of = 0; of < fleet.size(); of++) {
            if (fleet.up(of) && fleet.upForUs(of) > JUST_STARTED_US && heldDead(of)) {
                falselyDead.add(of);
            }
        }
    }

    private boolean heldDead(int of) {
        for (int at = 0; at < fleet.size(); at++) {
            if (at != of && fleet.up(at) && fleet.state(at, of) == Member.State.DEAD) {
                return true;
            }
        }
        return false;
    }

    private void end(String name, List<ScalePhase.Known> known) {
        double seconds = (fleet.us() - phaseUs) / 1e6;
        ScalePhase phase = new ScalePhase(
                name,
                seconds,
                traffic.bytes(),
                traffic.datagrams(),
                work.datagrams(),
                work.ticks(),
                work.totalNs() / 1e9 / seconds / fleet.size(),
                falselyDead.size(),
                known);
        phases.add(phase);
        progress.accept(String.format(
                Locale.ROOT,
                "%s: %.0f bytes/s a member, most %d in a second; %.5f of a core; %d false deaths%s",
                name,
                phase.bytes().mean(),
                phase.bytes().most(),
                phase.core(),
                phase.falseDeaths(),
                known.isEmpty() ? "" : "; " + known));
    }
}

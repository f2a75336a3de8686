package rushproxy.lab.scale;

import rushproxy.fleet.member.Member;
import rushproxy.lab.sim.MemberSim;

/** Members in simulated time. Equal plans give equal traffic and equal times to know; processor times are the machine's. */
final class SimulatedFleet implements ScaleFleet {
    private static final double DUPLICATES = 0.01;
    private static final long LEAST_DELAY_US = 300;
    private static final long MOST_DELAY_US = 30_000;

    private final ScalePlan plan;
    private final MemberSim sim;

    SimulatedFleet(ScalePlan plan, MemberSim.Meter meter) {
        this.plan = plan;
        sim = new MemberSim(plan.seed())
                .zones(plan.zones())
                .hosts(plan.members())
                .network(plan.loss(), DUPLICATES, LEAST_DELAY_US, MOST_DELAY_US)
                .meter(meter);
    }

    @Override
    public int size() {
        return plan.members();
    }

    @Override
    public long us() {
        return sim.us();
    }

    @Override
    public void runUntil(long us) {
        sim.until(us);
    }

    @Override
    public void start(int member) {
        sim.start(sim.node(member));
    }

    @Override
    public void kill(int member) {
        sim.kill(sim.node(member));
    }

    @Override
    public void leave(int member) {
        sim.node(member).membership().leave(sim.unixUs());
    }

    @Override
    public boolean up(int member) {
        return sim.node(member).up();
    }

    @Override
    public long upForUs(int member) {
        return sim.upForUs(sim.node(member));
    }

    @Override
    public Member.State state(int at, int of) {
        return MemberSim.state(sim.node(at), sim.node(of));
    }

    @Override
    public void cutFirstRegion(boolean on) {
        sim.cut((from, to) -> on && plan.regionOf(from.number) == 0 != (plan.regionOf(to.number) == 0));
    }

    @Override
    public long bytes(int member) {
        return sim.node(member).bytes;
    }

    @Override
    public long datagrams(int member) {
        return sim.node(member).datagrams;
    }

    /** Simulated time is never late. */
    @Override
    public String lateness() {
        return null;
    }

    @Override
    public void close() {}
}

package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Carries out what the operators call for. */
final class OperatorCalls implements AdminServer.Calls {
    private final EventLoop loop;
    private final ClientServer clients;
    private final Upstreams upstreams;
    /** Null where no part of it is on. */
    private final FleetPlane fleet;

    private final CordonStore cordons;
    /** Whether this upstream has been called out or back before. */
    private final Predicate<String> marked;

    OperatorCalls(
            EventLoop loop,
            ClientServer clients,
            Upstreams upstreams,
            FleetPlane fleet,
            CordonStore cordons,
            Predicate<String> marked) {
        this.loop = loop;
        this.clients = clients;
        this.upstreams = upstreams;
        this.fleet = fleet;
        this.cordons = cordons;
        this.marked = marked;
    }

    @Override
    public String health() {
        return clients.takesClients() ? null : "takes no clients";
    }

    @Override
    public void quiesce() {
        Log.info("drains, as the operators ask");
        clients.drain();
    }

    @Override
    public void resume() {
        Log.info("goes on, as the operators ask");
        clients.resume();
    }

    @Override
    public void cordon(String id, Consumer<String> done) {
        put(id, true, done);
    }

    @Override
    public void uncordon(String id, Consumer<String> done) {
        put(id, false, done);
    }

    @Override
    public String members() {
        return fleet == null ? null : fleet.view();
    }

    @Override
    public String verdicts() {
        return fleet == null || !fleet.shares() ? null : fleet.verdicts();
    }

    @Override
    public String limits() {
        return fleet == null || !fleet.shares() ? null : fleet.limits();
    }

    @Override
    public String limit(String name, String of, String most, String per) {
        Log.info("limit " + name + " of " + of + ": " + most + " " + per + ", as the operators ask");
        return fleet.limit(name, of, most, per);
    }

    @Override
    public String orders() {
        return fleet == null || !fleet.shares() ? null : fleet.orders();
    }

    @Override
    public String tallies(String release) {
        return fleet.tallies(release);
    }

    @Override
    public String order(String[] words) {
        return fleet.order(words[0], words[1], words[2], words[3], words[4], words[5], words[6]);
    }

    @Override
    public String unlimit(String name) {
        Log.info("limit " + name + " is taken back, as the operators ask");
        return fleet.unlimit(name);
    }

    private void put(String id, boolean out, Consumer<String> done) {
        if (upstreams.knows(id) || marked.test(id)) {
            cordons.put(id, out, no -> loop.execute(() -> done.accept(no)));
        } else {
            done.accept("no such upstream");
        }
    }
}

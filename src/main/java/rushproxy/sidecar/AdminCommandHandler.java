package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Carries out what the operators call for. */
final class AdminCommandHandler implements AdminServer.Commands {
    private final EventLoop loop;
    private final ClientServer clients;
    private final UpstreamPool upstreams;
    /** Null where no part of it is on. */
    private final FleetPlane fleet;

    private final CordonStore cordons;
    /** Whether this upstream has been called out or back before. */
    private final Predicate<String> marked;

    AdminCommandHandler(
            EventLoop loop,
            ClientServer clients,
            UpstreamPool upstreams,
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
    public String notReadyReason() {
        return clients.takesClients() ? null : "takes no clients";
    }

    @Override
    public void quiesce() {
        Log.line("drains, as the operators ask");
        clients.drain();
    }

    @Override
    public void resume() {
        Log.line("goes on, as the operators ask");
        clients.resume();
    }

    @Override
    public void cordon(String id, Consumer<String> done) {
        setCordoned(id, true, done);
    }

    @Override
    public void uncordon(String id, Consumer<String> done) {
        setCordoned(id, false, done);
    }

    @Override
    public String membersJson() {
        return fleet == null ? null : fleet.membersJson();
    }

    @Override
    public String verdictsJson() {
        return fleet == null || !fleet.isSharing() ? null : fleet.verdictsJson();
    }

    @Override
    public String limitsJson() {
        return fleet == null || !fleet.isSharing() ? null : fleet.limitsJson();
    }

    @Override
    public String setLimit(String name, String of, String most, String per) {
        Log.line("limit " + name + " of " + of + ": " + most + " " + per + ", as the operators ask");
        return fleet.setLimit(name, of, most, per);
    }

    @Override
    public String ordersJson() {
        return fleet == null || !fleet.isSharing() ? null : fleet.ordersJson();
    }

    @Override
    public String talliesJson(String release) {
        return fleet.talliesJson(release);
    }

    @Override
    public String submitOrder(String[] words) {
        return fleet.submitOrder(words[0], words[1], words[2], words[3], words[4], words[5], words[6]);
    }

    @Override
    public String removeLimit(String name) {
        Log.line("limit " + name + " is taken back, as the operators ask");
        return fleet.removeLimit(name);
    }

    private void setCordoned(String id, boolean out, Consumer<String> done) {
        if (upstreams.isListed(id) || marked.test(id)) {
            cordons.set(id, out, no -> loop.execute(() -> done.accept(no)));
        } else {
            done.accept("no such upstream");
        }
    }
}

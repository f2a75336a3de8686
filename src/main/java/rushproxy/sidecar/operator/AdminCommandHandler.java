package rushproxy.sidecar.operator;

import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Carries out the commands of the administrative port. */
public final class AdminCommandHandler implements AdminServer.Commands {
    private final EventLoop loop;
    private final BooleanSupplier acceptsClients;
    private final Predicate<String> isListedUpstream;
    /** Null if the fleet plane is off. */
    private final FleetCommands fleet;

    private final OperatorStateStore state;
    /** Whether the store has a state for an upstream, listed or not. */
    private final Predicate<String> hasCordonState;

    /** Creates a handler whose commands are all called on {@code loop}. {@code fleet}: null if the fleet plane is off. */
    public AdminCommandHandler(
            EventLoop loop,
            BooleanSupplier acceptsClients,
            Predicate<String> isListedUpstream,
            FleetCommands fleet,
            OperatorStateStore state,
            Predicate<String> hasCordonState) {
        this.loop = loop;
        this.acceptsClients = acceptsClients;
        this.isListedUpstream = isListedUpstream;
        this.fleet = fleet;
        this.state = state;
        this.hasCordonState = hasCordonState;
    }

    @Override
    public String notReadyReason() {
        return acceptsClients.getAsBoolean() ? null : "not accepting clients";
    }

    @Override
    public void quiesce(Consumer<String> done) {
        state.setDrained(true, onLoop(done));
    }

    @Override
    public void resume(Consumer<String> done) {
        state.setDrained(false, onLoop(done));
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
    public FleetCommands fleet() {
        return fleet;
    }

    private Consumer<String> onLoop(Consumer<String> done) {
        return error -> loop.execute(() -> done.accept(error));
    }

    private void setCordoned(String id, boolean isCordoned, Consumer<String> done) {
        if (isListedUpstream.test(id) || hasCordonState.test(id)) {
            state.setCordoned(id, isCordoned, onLoop(done));
        } else {
            done.accept("no such upstream");
        }
    }
}

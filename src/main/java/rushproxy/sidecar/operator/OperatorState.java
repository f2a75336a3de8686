package rushproxy.sidecar.operator;

import java.util.Map;

/**
 * What operators have told a sidecar, whichever of its processes they told.
 *
 * @param cordons by upstream id
 * @param reloadedAt when the configuration file was last reloaded; tells one reload from the next
 */
public record OperatorState(DrainState drain, Map<String, CordonState> cordons, MachineTime reloadedAt) {
    /** No command was ever received. */
    public static final OperatorState NONE = new OperatorState(DrainState.NEVER, Map.of(), MachineTime.UNKNOWN);

    /** Copies the map. */
    public OperatorState {
        cordons = Map.copyOf(cordons);
    }

    OperatorState withDrain(DrainState changed) {
        return new OperatorState(changed, cordons, reloadedAt);
    }

    OperatorState withCordons(Map<String, CordonState> changed) {
        return new OperatorState(drain, changed, reloadedAt);
    }

    OperatorState withReload(MachineTime at) {
        return new OperatorState(drain, cordons, at);
    }
}

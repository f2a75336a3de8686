package rushproxy.sidecar.operator;

/** The commands that concern the fleet and not this sidecar alone. */
public interface FleetCommands {
    /** Whether state is shared in the fleet. The other methods, but for {@link #membersJson}, need that. */
    boolean isSharing();

    /** The members of the fleet, in one line of JSON. */
    String membersJson();

    /** The fleet's verdicts on upstreams. */
    String verdictsJson();

    /** The shares of the fleet's limits. */
    String limitsJson();

    /** Returns null on success, otherwise the reason. */
    String setLimit(String name, String scope, String maximum, String unit);

    /** Removes a limit set by {@link #setLimit}; returns null on success, otherwise the reason. */
    String removeLimit(String name);

    /** The orders of releases. */
    String ordersJson();

    /** The counts for a release. */
    String talliesJson(String release);

    /** Returns null on success, otherwise the reason. */
    String submitOrder(
            String release, String epoch, String step, String state, String weight, String safeWeight, String selector);
}

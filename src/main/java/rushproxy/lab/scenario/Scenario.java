package rushproxy.lab.scenario;

import java.util.List;
import java.util.Map;

/**
 * The description of a laboratory run, read from a TOML file: the sidecars and upstreams, the traffic, the faults with their times, and the
 * expected results. Fields that end in {@code Us} are in microseconds; points in time count from the first possible request.
 */
public record Scenario(
        String name,
        String about,
        long seed,
        long lengthUs,
        Fleet fleet,
        List<ServerGroup> servers,
        List<RequestClass> classes,
        Traffic traffic,
        Network network,
        Discovery discovery,
        Rules rules,
        Lateness lateness,
        List<Fault> faults,
        List<Expectation> expectations) {

    /** The sidecars. They are assigned to the {@code zones} in turn; {@code jar} is null for the build in the checkout. */
    public record Fleet(
            int nodes,
            List<String> zones,
            int memoryMb,
            int sockets,
            double cores,
            String jar,
            Map<String, String> settings) {}

    /** A group of identical upstreams. Work is measured in milliseconds on a core of speed 1. */
    public record ServerGroup(
            int count,
            String kind,
            List<String> zones,
            int pods,
            double cores,
            double speed,
            int slots,
            int queue,
            double crowding,
            double warmSaving,
            long warmUs,
            int warmKeys,
            int connections,
            double handshakeMs,
            String reports) {}

    /** A class of requests; {@code semantics} is safe, keyed or unsafe, and {@code group} is all, zone or cell. */
    public record RequestClass(
            String name,
            double share,
            double workMs,
            double workSpread,
            long aimUs,
            long deadlineUs,
            double worth,
            String semantics,
            String group,
            long windowUs) {}

    /**
     * The load of the clients. {@code ratePerS} counts requests without retries over all sidecars; {@code skew} is 0 if all sidecars get
     * the same rate. {@code honour} is the fraction of clients that obey {@code Retry-After}. The rate rises linearly from zero over the
     * first {@code rampUs}.
     */
    public record Traffic(
            double ratePerS,
            long rampUs,
            double skew,
            int keys,
            double zipf,
            int retries,
            double tryShare,
            long backoffUs,
            double honour,
            List<Burst> bursts) {}

    /** An interval in which the request rate is multiplied by {@code factor}. */
    public record Burst(long atUs, long forUs, double factor) {}

    /** One-way network delays; {@code regions} maps a zone to its region. A zone without an entry is its own region. */
    public record Network(
            double sameMs,
            double crossMs,
            double regionMs,
            double jitter,
            double peerLoss,
            double peerTwice,
            double peerLateMs,
            Map<String, String> regions) {}

    /** The delay after which a sidecar's discovery agent learns of a change. */
    public record Discovery(double noticeMs, double spreadMs) {}

    /** The parameters of the rules, as in the sidecars' settings; {@code slackUs} is the allowance for delays in sockets. */
    public record Rules(
            long drainGraceUs, double coldShare, long rampUs, double fallMultiple, long fallUs, long slackUs) {}

    /** A run is invalid if more than the fraction {@code most} of the requests is sent over {@code lateUs} behind schedule. */
    public record Lateness(long lateUs, double most) {}

    /**
     * A scheduled fault or operation. {@code nodes} and {@code servers} are resolved ids; unused parameters are 0 or null. {@code call} is
     * an admin call, or the kind of misbehaviour of responses, the operating system or clients.
     */
    public record Fault(
            long atUs,
            String what,
            List<String> nodes,
            List<String> servers,
            long forUs,
            double factor,
            List<String> from,
            List<String> to,
            boolean silent,
            String call,
            String jar,
            double stagger) {

        /** Returns a short description for the timeline of a report. */
        public String describe() {
            StringBuilder description = new StringBuilder(what);
            if (call != null) {
                description.append(" '").append(call).append('\'');
            }
            if (!from.isEmpty() || !to.isEmpty()) {
                description
                        .append(' ')
                        .append(String.join(",", from))
                        .append(" to ")
                        .append(String.join(",", to));
            }
            List<String> targets = nodes.isEmpty() ? servers : nodes;
            if (!targets.isEmpty()) {
                description
                        .append(' ')
                        .append(targets.size() > 4 ? targets.size() + " of them" : String.join(",", targets));
            }
            return description.toString();
        }
    }

    /** The bounds for a {@code figure} of the summary, restricted to the interval from {@code fromUs} to {@code toUs}. */
    public record Expectation(String figure, double least, double most, long fromUs, long toUs) {}

    /** Returns the distinct zones in order of first appearance, those of the sidecars first. */
    public List<String> zoneNames() {
        return java.util.stream.Stream.concat(
                        fleet.zones.stream(), servers.stream().flatMap(s -> s.zones.stream()))
                .distinct()
                .toList();
    }

    /** Whether operators drain sidecars, so that a load balancer in front has to ask for their readiness. */
    public boolean drainsSidecars() {
        return faults.stream()
                .anyMatch(f -> f.what().startsWith("call") && f.call().equals("quiesce"));
    }

    public List<String> nodeNames() {
        return java.util.stream.IntStream.range(0, fleet.nodes)
                .mapToObj(i -> "n" + i)
                .toList();
    }

    public String zoneOfNode(int node) {
        return fleet.zones.get(node % fleet.zones.size());
    }
}

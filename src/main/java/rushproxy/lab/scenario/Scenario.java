package rushproxy.lab.scenario;

import java.util.List;
import java.util.Map;

/**
 * A run of the laboratory as its TOML file describes it: who is there, what they are asked, what goes wrong when, and
 * what must hold. Times in fields that end in {@code Us} are microseconds, counted from the first possible request.
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

    /** Sidecars: {@code zones} has the zone of each; {@code jar} is null for the build in the checkout. */
    public record Fleet(
            int nodes,
            List<String> zones,
            int memoryMb,
            int sockets,
            double cores,
            String jar,
            Map<String, String> settings) {}

    /** Upstreams that are alike. Work is counted in milliseconds of a core of speed 1. */
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

    /** {@code semantics}: safe, keyed or unsafe; {@code group}: all, zone or cell. */
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
     * First tries a second over all sidecars, {@code skew} of them 0 where all get as many. {@code honour}: the part of
     * the clients that wait as {@code Retry-After} says. Over the first {@code rampUs} the rate rises evenly from nothing.
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

    /** A stretch of the traffic with so many times the rate. */
    public record Burst(long atUs, long forUs, double factor) {}

    /** One-way delays; {@code regions} maps a zone to its region, its own name where none is given. */
    public record Network(
            double sameMs,
            double crossMs,
            double regionMs,
            double jitter,
            double peerLoss,
            double peerTwice,
            double peerLateMs,
            Map<String, String> regions) {}

    /** How long after the fact a sidecar's agent has the news. */
    public record Discovery(double noticeMs, double spreadMs) {}

    /** The four rules' figures, as the sidecars' settings have them; {@code slackUs} is what a socket's delay is worth. */
    public record Rules(
            long drainGraceUs, double coldShare, long rampUs, double fallMultiple, long fallUs, long slackUs) {}

    /** Past this the run is void: the part of the sends that left later than {@code lateUs} after their time. */
    public record Lateness(long lateUs, double most) {}

    /**
     * One line of the timeline. {@code nodes} and {@code servers} are resolved ids; unused parameters are 0 or null. {@code call}:
     * an operators' call, or how answers, the system or clients go wrong.
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

        /** A few words for the timeline of a report. */
        public String describe() {
            StringBuilder words = new StringBuilder(what);
            if (call != null) {
                words.append(" '").append(call).append('\'');
            }
            if (!from.isEmpty() || !to.isEmpty()) {
                words.append(' ').append(String.join(",", from)).append(" to ").append(String.join(",", to));
            }
            List<String> whom = nodes.isEmpty() ? servers : nodes;
            if (!whom.isEmpty()) {
                words.append(' ').append(whom.size() > 4 ? whom.size() + " of them" : String.join(",", whom));
            }
            return words.toString();
        }
    }

    /** {@code figure} of the summary, or of the stretch from {@code fromUs} to {@code toUs}, lies within the bounds. */
    public record Expectation(String figure, double least, double most, long fromUs, long toUs) {}

    /** The zones in the order in which they are named first. */
    public List<String> zoneNames() {
        return java.util.stream.Stream.concat(
                        fleet.zones.stream(), servers.stream().flatMap(s -> s.zones.stream()))
                .distinct()
                .toList();
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

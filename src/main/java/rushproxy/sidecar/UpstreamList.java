package rushproxy.sidecar;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;

/** A list from discovery: all upstreams, or the changes since the previous list. */
record UpstreamList(long generation, boolean isFull, List<Entry> entries) {

    /** One listed upstream and its address. */
    record Entry(Upstream upstream, InetSocketAddress address) {}

    /** Start times remain in wall clock time, in microseconds; {@link StartTimes} converts them. */
    static UpstreamList fromJson(Json json) {
        List<Entry> entries = new ArrayList<>();
        for (Json e : json.objects("instances")) {
            UpstreamState state = switch (e.text("lifecycle")) {
                case "Ready" -> UpstreamState.READY;
                case "Terminating" -> UpstreamState.DRAINING;
                case "Gone" -> UpstreamState.GONE;
                default -> throw new IllegalArgumentException("lifecycle '" + e.text("lifecycle") + "' is unknown");
            };
            entries.add(new Entry(
                    new Upstream(
                            e.text("instanceId"),
                            e.textOr("zone", ""),
                            e.textOr("machineType", ""),
                            (int) e.numberOr("cell", -1),
                            e.numberOr("startedAtMs", 0) * 1000,
                            e.realOr("weight", 1),
                            state),
                    parseAddress(e.text("hostPort"))));
        }
        return new UpstreamList(json.number("generation"), json.flag("reset"), entries);
    }

    /** Parses a numeric address; host names are not supported, as a lookup could block the event loop. */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            throw new IllegalArgumentException("invalid address: '" + text + "'");
        }
        try {
            return new InetSocketAddress(
                    java.net.InetAddress.getByAddress(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (java.net.UnknownHostException | NumberFormatException e) {
            throw new IllegalArgumentException("invalid address: '" + text + "'");
        }
    }
}

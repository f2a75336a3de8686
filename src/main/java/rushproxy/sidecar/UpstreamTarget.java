package rushproxy.sidecar;

import java.net.InetSocketAddress;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;

/** A listed upstream and its idle connections; an entry with another address or start time is a different target. */
final class UpstreamTarget {
    final InetSocketAddress address;
    final IdleConnectionPool idleConnections;
    Upstream upstream;
    UpstreamState state;
    private final long startedUs;

    UpstreamTarget(UpstreamList.Entry entry, IdleConnectionPool idleConnections) {
        address = entry.address();
        this.idleConnections = idleConnections;
        startedUs = entry.upstream().startedUs();
        upstream = entry.upstream();
    }

    boolean matches(UpstreamList.Entry entry) {
        return address.equals(entry.address()) && startedUs == entry.upstream().startedUs();
    }
}

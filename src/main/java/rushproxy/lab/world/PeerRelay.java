package rushproxy.lab.world;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Relay for the UDP traffic between sidecars. Each ordered pair of nodes has its own socket: the first node sends datagrams for the
 * second one to it and receives the second one's datagrams from it. {@link Network} decides about delay, loss, duplication and reordering.
 * Counts datagrams and bytes by sender. Confined to the world's event loop until {@link #close}.
 */
final class PeerRelay {
    private final EventLoop loop;
    private final Network network;
    private final List<Network.Endpoint> nodes;
    private final Addresses addresses;
    private final Channel[][] sockets;
    private final long[] datagramsSent;
    private final long[] bytesSent;

    PeerRelay(EventLoop loop, Network network, List<Network.Endpoint> nodes, Addresses addresses) {
        this.loop = loop;
        this.network = network;
        this.nodes = nodes;
        this.addresses = addresses;
        sockets = new Channel[nodes.size()][nodes.size()];
        datagramsSent = new long[nodes.size()];
        bytesSent = new long[nodes.size()];
    }

    List<ChannelFuture> start() {
        List<ChannelFuture> binds = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            for (int j = 0; j < nodes.size(); j++) {
                int from = i;
                int to = j;
                ChannelFuture bind = new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                                if (packet.sender().equals(addresses.peerListen(from))) {
                                    forward(from, to, packet);
                                }
                            }

                            @Override
                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                // ICMP port unreachable: the datagram is lost, which UDP permits.
                            }
                        })
                        .bind(addresses.peer(i, j));
                sockets[i][j] = bind.channel();
                binds.add(bind);
            }
        }
        return binds;
    }

    private void forward(int from, int to, DatagramPacket packet) {
        datagramsSent[from]++;
        bytesSent[from] += packet.content().readableBytes();
        InetSocketAddress target = addresses.peerListen(to);
        int copies = network.copies(nodes.get(from), nodes.get(to));
        for (int i = 0; i < copies; i++) {
            DatagramPacket copy = new DatagramPacket(packet.content().retainedDuplicate(), target);
            loop.schedule(
                    () -> {
                        // Sent from the address by which the receiver knows the sender.
                        sockets[to][from].writeAndFlush(copy);
                    },
                    network.peerDelayUs(nodes.get(from), nodes.get(to)),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** The number of datagrams that a node has sent so far. */
    long datagramsSent(int node) {
        return datagramsSent[node];
    }

    long bytesSent(int node) {
        return bytesSent[node];
    }

    void close() {
        for (Channel[] row : sockets) {
            for (Channel c : row) {
                if (c != null) {
                    c.close();
                }
            }
        }
    }
}

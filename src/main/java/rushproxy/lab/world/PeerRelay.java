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
 * The UDP network between sidecars: for every ordered pair a socket where the one sends what is meant for the other, and
 * from which the other's words come to it. Each datagram is delayed, lost, doubled or overtaken as {@link Network} says.
 * Counts datagrams and bytes by sender. Lives on the world's event loop until {@link #close}.
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
                                // The kernel says that nobody listened there: the datagram is lost, as any may be.
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
                        // From where the other knows the sender.
                        sockets[to][from].writeAndFlush(copy);
                    },
                    network.peerDelayUs(nodes.get(from), nodes.get(to)),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** Datagrams that a node has sent so far. */
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

package rushproxy.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Exchanges datagrams with the other sidecars. A peer's number is its index in the configuration. */
final class Peers {
    private static final int MAX_DATAGRAM_BYTES = 256;
    private static final long RETRY_DELAY_MS = 500;

    private final Clock clock;
    private final BalancerDispatcher decisions;
    private final List<InetSocketAddress> peers;
    /** Address that reaches all peers; null if there is none. */
    private final InetSocketAddress broadcastAddress;

    private final Map<InetSocketAddress, Integer> peerNumbers = new HashMap<>();
    private volatile Channel channel;
    /** Null until the socket is bound. */
    private RegistrationRetry registration;

    private boolean isBindFailureLogged;
    /** Null if the fleet plane is off; all datagrams then go to the module. */
    private FleetListener fleet;

    private int moduleMessageBytes;

    /** Receives the datagrams of the fleet plane. Those of the module are recognized by their length. */
    interface FleetListener {
        void onFleetMessage(int from, byte[] message);

        /** A datagram for the module has arrived from this peer. */
        void onModuleMessage(int from);
    }

    Peers(
            Clock clock,
            BalancerDispatcher decisions,
            List<InetSocketAddress> peers,
            InetSocketAddress broadcastAddress) {
        this.clock = clock;
        this.decisions = decisions;
        this.peers = peers;
        this.broadcastAddress = broadcastAddress;
        for (int i = 0; i < peers.size(); i++) {
            peerNumbers.put(peers.get(i), i);
        }
    }

    /**
     * Binds the socket, and retries in the background on failure: a sidecar can start without its peers. The previous process may still
     * be bound to the address; the socket that was bound last receives the datagrams.
     */
    void listen(EventLoop loop, InetSocketAddress address) {
        new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(new Handler())
                .bind(address)
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        onBound(f.channel(), loop, address);
                        return;
                    }
                    if (!isBindFailureLogged) {
                        isBindFailureLogged = true;
                        Log.warn("can't bind the peer socket, will retry: " + f.cause());
                    }
                    loop.schedule(() -> listen(loop, address), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
                });
    }

    /** Replaces the socket when the transport closes it, which it does on any read error. */
    private void onBound(Channel socket, EventLoop loop, InetSocketAddress address) {
        channel = socket;
        registration = new RegistrationRetry(new Registration(socket, loop));
        registration.interestChanged(0);
        socket.closeFuture().addListener(closed -> {
            channel = null;
            if (!loop.isShuttingDown()) {
                Log.warn("the peer socket was closed and will be reopened");
                loop.schedule(() -> listen(loop, address), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** The bound socket; null if there is none. */
    Channel channel() {
        return channel;
    }

    /** Passes all datagrams that do not have the length of a module message to the fleet plane. */
    void attachFleet(FleetListener fleet, int moduleMessageBytes) {
        this.fleet = fleet;
        this.moduleMessageBytes = moduleMessageBytes;
    }

    /** Sends to one peer, or to all if the number is -1. A datagram that can't be sent is dropped. */
    void send(int peer, byte[] message) {
        InetSocketAddress address =
                peer == -1 ? broadcastAddress : peer >= 0 && peer < peers.size() ? peers.get(peer) : null;
        if (channel != null && address != null && message.length <= MAX_DATAGRAM_BYTES) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), address));
        }
    }

    /** Changes the socket's interest through auto-read, as the transport's channel class can't be extended. */
    private record Registration(Channel socket, EventLoop eventLoop) implements RegistrationRetry.RegisteredChannel {
        @Override
        public int interestOps() {
            return socket.isOpen() && socket.config().isAutoRead() ? SelectionKey.OP_READ : 0;
        }

        @Override
        public void withdrawInterest() {
            socket.config().setAutoRead(false);
        }

        @Override
        public void restoreInterest(int ops) {
            socket.config().setAutoRead(true);
        }

        @Override
        public boolean isListener() {
            return true;
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (registration != null) {
                registration.readinessObserved();
            }
            Integer number = peerNumbers.get(packet.sender());
            if (number == null || packet.content().readableBytes() > MAX_DATAGRAM_BYTES) {
                return;
            }
            byte[] message = ByteBufUtil.getBytes(packet.content());
            if (fleet != null && message.length != moduleMessageBytes) {
                fleet.onFleetMessage(number, message);
                return;
            }
            if (fleet != null) {
                fleet.onModuleMessage(number);
            }
            decisions.call(m -> m.onPeerMessage(clock.nowUs(), number, message), () -> {});
        }

        /** Ignores errors such as a port unreachable message for an earlier datagram. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
    }
}

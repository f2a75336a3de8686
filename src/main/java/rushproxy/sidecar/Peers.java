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

/** Short messages between sidecars. A peer's number is its place in the configuration. */
final class Peers {
    private static final int MAX_BYTES = 256;
    private static final long AGAIN_MS = 500;

    private final Clock clock;
    private final Decisions decisions;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress all;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private volatile Channel channel;
    /** Null until the socket is told to be bound. */
    private RegistrationRetry registration;

    private boolean refused;
    /** Null where the fleet plane is off: then whatever comes is the module's. */
    private Fleet fleet;

    private int wordLength;

    /** Takes all datagrams but the module's own, which are known by their length, and hears of those. */
    interface Fleet {
        void letter(int from, byte[] message);

        void word(int from);
    }

    Peers(Clock clock, Decisions decisions, List<InetSocketAddress> peers, InetSocketAddress all) {
        this.clock = clock;
        this.decisions = decisions;
        this.peers = peers;
        this.all = all;
        for (int i = 0; i < peers.size(); i++) {
            numbers.put(peers.get(i), i);
        }
    }

    /**
     * The process before may still have the address while this one starts: both may, and the last to come is the one
     * that hears. Word of peers is of use but no need, so a start does not fail without.
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
                        heardOn(f.channel(), loop, address);
                        return;
                    }
                    if (!refused) {
                        refused = true;
                        Log.warn("can't hear peers yet: " + f.cause());
                    }
                    loop.schedule(() -> listen(loop, address), AGAIN_MS, TimeUnit.MILLISECONDS);
                });
    }

    /** The transport closes a socket that fails to read for a moment: then another one takes its place. */
    private void heardOn(Channel now, EventLoop loop, InetSocketAddress address) {
        channel = now;
        registration = new RegistrationRetry(new Registration(now, loop));
        registration.changedFrom(0);
        now.closeFuture().addListener(closed -> {
            channel = null;
            if (!loop.isShuttingDown()) {
                Log.warn("peers are not heard for a moment: the socket was closed");
                loop.schedule(() -> listen(loop, address), AGAIN_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** The socket on which peers are heard; null while there is none. */
    Channel channel() {
        return channel;
    }

    void hand(Fleet fleet, int wordLength) {
        this.fleet = fleet;
        this.wordLength = wordLength;
    }

    /** To one peer, or to all where the number is -1. What can't be sent is lost, as any datagram may be. */
    void tell(int peer, byte[] message) {
        InetSocketAddress to = peer == -1 ? all : peer >= 0 && peer < peers.size() ? peers.get(peer) : null;
        if (channel != null && to != null && message.length <= MAX_BYTES) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), to));
        }
    }

    /** The socket's interest, as its transport lets it be changed: it can't be extended. */
    private record Registration(Channel socket, EventLoop eventLoop) implements RegistrationRetry.Registered {
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
        public boolean isWayIn() {
            return true;
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (registration != null) {
                registration.proven();
            }
            Integer number = numbers.get(packet.sender());
            if (number == null || packet.content().readableBytes() > MAX_BYTES) {
                return;
            }
            byte[] message = ByteBufUtil.getBytes(packet.content());
            if (fleet != null && message.length != wordLength) {
                fleet.letter(number, message);
                return;
            }
            if (fleet != null) {
                fleet.word(number);
            }
            decisions.call(m -> m.onPeer(clock.nowUs(), number, message), () -> {});
        }

        /** The network says of an earlier datagram that nobody was there: no reason to stop listening. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
    }
}

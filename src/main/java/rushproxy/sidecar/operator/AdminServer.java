package rushproxy.sidecar.operator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import rushproxy.sidecar.ListenerBinder;
import rushproxy.sidecar.TcpListener;

/** The administrative port. A connection carries one command line and is answered with one line that starts with ACK or NAK. */
public final class AdminServer {
    private static final int MAX_LINE_BYTES = 256;
    private static final String SHARING_OFF = "fleet sharing is off";
    /** Names and numbers of words. */
    private static final Set<String> SHARED_COMMANDS =
            Set.of("verdicts/1", "limits/1", "limit/5", "unlimit/2", "orders/1", "tallies/2", "order/8");
    /** The oldest connection is closed beyond this. Their descriptors are reserved, so clients can't exhaust them. */
    public static final int MAX_CONNECTIONS = 16;
    /** A connection without a complete line by then is refused. */
    private static final long LINE_TIMEOUT_MS = 2_000;

    private static final long ACCEPT_RETRY_DELAY_MS = 10;

    /** The commands. {@code done} is called once on the event loop, with null on success, otherwise with the reason. */
    public interface Commands {
        /** Null once this process accepts clients, otherwise the reason why it does not. */
        String notReadyReason();

        /** Drains the sidecar. */
        void quiesce(Consumer<String> done);

        /** Ends the drain. */
        void resume(Consumer<String> done);

        void cordon(String id, Consumer<String> done);

        void uncordon(String id, Consumer<String> done);

        /** Null if membership is off. */
        FleetCommands fleet();
    }

    private final EventLoop loop;
    private final Commands commands;
    /** Oldest first. */
    private final ArrayDeque<Channel> connections = new ArrayDeque<>();

    /** Creates a server that does not listen yet. */
    public AdminServer(EventLoop loop, Commands commands) {
        this.loop = loop;
        this.commands = commands;
    }

    /** Waits until the port is open; returns its address. */
    public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        return (InetSocketAddress) ListenerBinder.bind(this::bootstrap, address).localAddress();
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(TcpListener::new)
                .option(ChannelOption.SO_BACKLOG, 128)
                // A client may shut down its output after the line and still read the reply.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // Replies are due within a second, so Netty's pause of a second after a failed accept is too
                        // long.
                        ctx.channel().config().setAutoRead(false);
                        loop.schedule(
                                () -> ctx.channel().config().setAutoRead(true),
                                ACCEPT_RETRY_DELAY_MS,
                                TimeUnit.MILLISECONDS);
                    }
                })
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                });
    }

    private void accepted(Channel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.poll().close();
        }
        connections.add(channel);
        channel.closeFuture().addListener(f -> connections.remove(channel));
        channel.pipeline()
                .addLast(
                        new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true),
                        new StringDecoder(StandardCharsets.UTF_8),
                        new Session());
    }

    /** {@code done} receives null or an error, {@code reply} the result of a query. */
    private void execute(String line, Consumer<String> done, Consumer<String> reply) {
        String[] words = line.split(" ", -1);
        if (Arrays.stream(words).anyMatch(String::isEmpty)) {
            done.accept("unknown command");
            return;
        }
        switch (words[0] + "/" + words.length) {
            case "health/1" -> done.accept(commands.notReadyReason());
            case "quiesce/1" -> commands.quiesce(done);
            case "resume/1" -> commands.resume(done);
            case "cordon/2" -> commands.cordon(words[1], done);
            case "uncordon/2" -> commands.uncordon(words[1], done);
            case "members/1" -> listMembers(done, reply);
            default -> executeShared(words, done, reply);
        }
    }

    private void listMembers(Consumer<String> done, Consumer<String> reply) {
        if (commands.fleet() == null) {
            done.accept("fleet membership is off");
        } else {
            reply.accept(commands.fleet().membersJson());
        }
    }

    /** The commands that need shared state. */
    private void executeShared(String[] words, Consumer<String> done, Consumer<String> reply) {
        FleetCommands fleet = commands.fleet();
        FleetCommands shared = fleet != null && fleet.isSharing() ? fleet : null;
        String command = words[0] + "/" + words.length;
        if (!SHARED_COMMANDS.contains(command)) {
            done.accept("unknown command");
            return;
        }
        if (shared == null) {
            done.accept(SHARING_OFF);
            return;
        }
        switch (command) {
            case "verdicts/1" -> reply.accept(shared.verdictsJson());
            case "limits/1" -> reply.accept(shared.limitsJson());
            case "limit/5" -> done.accept(shared.setLimit(words[1], words[2], words[3], words[4]));
            case "unlimit/2" -> done.accept(shared.removeLimit(words[1]));
            case "orders/1" -> reply.accept(shared.ordersJson());
            case "tallies/2" -> reply.accept(shared.talliesJson(words[1]));
            case "order/8" ->
                done.accept(shared.submitOrder(words[1], words[2], words[3], words[4], words[5], words[6], words[7]));
            default -> throw new IllegalStateException(command);
        }
    }

    /** One connection, up to its reply. */
    private final class Session extends SimpleChannelInboundHandler<String> {
        private Future<?> timeout;
        private boolean isAnswered;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            timeout = loop.schedule(() -> refuse(ctx, "no command received"), LINE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            if (!isAnswered) {
                isAnswered = true;
                execute(
                        line,
                        error -> answer(ctx, error == null ? "ACK" : "NAK " + error),
                        json -> answer(ctx, "ACK " + json));
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                refuse(ctx, "incomplete command");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            refuse(ctx, "line too long");
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            timeout.cancel(false);
        }

        private void refuse(ChannelHandlerContext ctx, String why) {
            if (!isAnswered) {
                isAnswered = true;
                answer(ctx, "NAK " + why);
            }
        }

        private void answer(ChannelHandlerContext ctx, String line) {
            timeout.cancel(false);
            ctx.writeAndFlush(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }
}

package rushproxy.sidecar;

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
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The operators' address: one line to a connection, answered with one that begins with ACK or NAK. */
final class AdminServer {
    private static final int MAX_LINE_BYTES = 256;
    private static final String NOTHING_SHARED = "shares nothing";
    /** Callers at once: their descriptors are among those kept back, so no crowd of clients can take them. */
    static final int MAX_CONNECTIONS = 16;
    /** A caller that has not said its line by then has none to say. */
    private static final long LINE_TIMEOUT_MS = 2_000;

    /** What can be asked for. {@code done} is told once, on the event loop, null for yes or else why not. */
    interface Commands {
        /** Null once this process takes clients, else what it waits for. */
        String notReadyReason();

        void quiesce();

        void resume();

        void cordon(String id, Consumer<String> done);

        void uncordon(String id, Consumer<String> done);

        /** Who is here, in one line of JSON; null where no view is kept. */
        String membersJson();

        /** What the fleet says of servers, and what is held of its limits; null where nothing is shared. */
        String verdictsJson();

        String limitsJson();

        /** Null for yes, else why not; asked only where {@link #limitsJson} is not null. */
        String setLimit(String name, String of, String most, String per);

        String removeLimit(String name);

        /** What releases order; null where nothing is shared. */
        String ordersJson();

        /** What was counted for a release; asked only where {@link #ordersJson} is not null. */
        String talliesJson(String release);

        /** Release, epoch, step, state, weight, safe weight, selector. Null for yes, else why not; asked only where {@link #ordersJson} is not null. */
        String submitOrder(String[] words);
    }

    private final EventLoop loop;
    private static final long ACCEPT_RETRY_DELAY_MS = 10;

    private final Commands commands;
    /** In the order in which they came. */
    private final ArrayDeque<Channel> connections = new ArrayDeque<>();

    AdminServer(EventLoop loop, Commands calls) {
        this.loop = loop;
        this.commands = calls;
    }

    InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        return (InetSocketAddress) Listening.at(this::bootstrap, address).localAddress();
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(TcpListener::new)
                .option(ChannelOption.SO_BACKLOG, 128)
                // A caller may end its side with its line and still read the answer.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // A call is due within a second: the next accept must not wait for as long.
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

    /** {@code done} hears what is wrong, {@code tells} what was asked for. */
    private void execute(String line, Consumer<String> done, Consumer<String> tells) {
        String[] words = line.split(" ", -1);
        boolean whole = Arrays.stream(words).noneMatch(String::isEmpty);
        switch (whole ? words[0] + "/" + words.length : "") {
            case "health/1" -> done.accept(commands.notReadyReason());
            case "quiesce/1" -> {
                commands.quiesce();
                done.accept(null);
            }
            case "resume/1" -> {
                commands.resume();
                done.accept(null);
            }
            case "cordon/2" -> commands.cordon(words[1], done);
            case "uncordon/2" -> commands.uncordon(words[1], done);
            case "members/1" -> replyWith(commands.membersJson(), "keeps no view of members", done, tells);
            case "verdicts/1" -> replyWith(commands.verdictsJson(), NOTHING_SHARED, done, tells);
            case "limits/1" -> replyWith(commands.limitsJson(), NOTHING_SHARED, done, tells);
            case "limit/5" ->
                done.accept(
                        commands.limitsJson() == null
                                ? NOTHING_SHARED
                                : commands.setLimit(words[1], words[2], words[3], words[4]));
            case "orders/1" -> replyWith(commands.ordersJson(), NOTHING_SHARED, done, tells);
            case "tallies/2" ->
                replyWith(
                        commands.ordersJson() == null ? null : commands.talliesJson(words[1]),
                        NOTHING_SHARED,
                        done,
                        tells);
            case "order/8" ->
                done.accept(
                        commands.ordersJson() == null
                                ? NOTHING_SHARED
                                : commands.submitOrder(Arrays.copyOfRange(words, 1, words.length)));
            case "unlimit/2" ->
                done.accept(commands.limitsJson() == null ? NOTHING_SHARED : commands.removeLimit(words[1]));
            default -> done.accept("no such call");
        }
    }

    private static void replyWith(String view, String none, Consumer<String> done, Consumer<String> tells) {
        if (view == null) {
            done.accept(none);
        } else {
            tells.accept(view);
        }
    }

    /** One caller, until its answer. */
    private final class Session extends SimpleChannelInboundHandler<String> {
        private Future<?> patience;
        private boolean called;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            patience = loop.schedule(() -> refuse(ctx, "no call came"), LINE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            if (!called) {
                called = true;
                execute(line, no -> answer(ctx, no == null ? "ACK" : "NAK " + no), told -> answer(ctx, "ACK " + told));
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                refuse(ctx, "the call was not finished");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            refuse(ctx, "the line is too long");
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            patience.cancel(false);
        }

        private void refuse(ChannelHandlerContext ctx, String why) {
            if (!called) {
                called = true;
                answer(ctx, "NAK " + why);
            }
        }

        private void answer(ChannelHandlerContext ctx, String line) {
            patience.cancel(false);
            ctx.writeAndFlush(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }
}

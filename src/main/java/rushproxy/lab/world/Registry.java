package rushproxy.lab.world;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.world.Observation.EventType;

/**
 * Discovery: the true state of the upstreams, and an agent on each node's machine that has the news late and tells it to
 * watches. Lives on the world's event loop; agents listen until {@link #close}.
 */
final class Registry {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long OLD_CONNECTION_GRACE_MS = 1_500;

    /** One server as discovery knows it, {@code changeNumber} its place among all changes. {@code state}: Ready, Terminating or Gone. */
    private record Instance(long changeNumber, UpstreamServer server, String state, long startedAtMs) {}

    private final EventLoop loop;
    private final ObservationLog observations;
    private final Scenario.Discovery spec;
    private final DoubleSupplier chance;
    private final List<Agent> agents = new ArrayList<>();
    private long changeCount;

    Registry(EventLoop loop, ObservationLog observations, Scenario.Discovery spec, DoubleSupplier chance) {
        this.loop = loop;
        this.observations = observations;
        this.spec = spec;
        this.chance = chance;
    }

    /** The agents of all nodes, in their order; {@code addresses.at(node, server)} is the server's address for the node. */
    interface AddressResolver {
        InetSocketAddress addressOf(int node, int server);
    }

    List<ChannelFuture> start(
            List<String> nodes,
            List<InetSocketAddress> addresses,
            AddressResolver reach,
            List<UpstreamServer> servers) {
        List<ChannelFuture> binds = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            Agent agent = new Agent(i, nodes.get(i), reach);
            for (UpstreamServer s : servers) {
                agent.instancesById.put(s.id, new Instance(0, s, "Ready", s.startedAtMs()));
                agent.changedAtGeneration.put(s.id, agent.generation);
            }
            agents.add(agent);
            binds.add(agent.listen(addresses.get(i)));
        }
        return binds;
    }

    /** The server's true state has changed: each agent hears of it in its own time. */
    void publishChange(UpstreamServer server, String state) {
        Instance line = new Instance(++changeCount, server, state, server.startedAtMs());
        for (Agent agent : agents) {
            double lateMs = spec.noticeMs() + spec.spreadMs() * chance.getAsDouble() + agent.extraDelayMs;
            loop.schedule(() -> agent.receive(line), Math.round(1_000 * lateMs), TimeUnit.MICROSECONDS);
        }
    }

    /** The agent hears nothing and answers nothing new until the fault is over. */
    void setSilent(int node, boolean on) {
        agents.get(node).setSilent(on);
    }

    void setDelay(int node, double byMs) {
        agents.get(node).extraDelayMs = byMs;
    }

    /** The agent misses this part of the changes until it is told 0, and then has them all. */
    void setMissedShare(int node, double part) {
        agents.get(node).setMissedShare(part);
    }

    /** From now on the agent is at the new address; the old one takes no connection and closes the open ones soon. */
    ChannelFuture move(int node, InetSocketAddress to) {
        return agents.get(node).move(to);
    }

    /** The list as a configuration's {@code knownInstances} has it: what the agent holds now. */
    ObjectNode knownInstances(int node) {
        return agents.get(node).toJson(-1);
    }

    void close() {
        agents.forEach(Agent::close);
    }

    private final class Agent {
        private final int nodeNumber;
        private final String node;
        private final AddressResolver addresses;
        private final Map<String, Instance> instancesById = new LinkedHashMap<>();
        private final Map<String, Long> changedAtGeneration = new LinkedHashMap<>();
        private final List<Instance> heldChanges = new ArrayList<>();
        private final List<Instance> missedChanges = new ArrayList<>();
        private final Set<LongPoll> longPolls = new HashSet<>();
        private final Set<Channel> connections = new HashSet<>();
        private long generation = 1;
        private Channel listener;
        private boolean silent;
        private double extraDelayMs;
        private double missedShare;

        Agent(int nodeNumber, String node, AddressResolver addresses) {
            this.nodeNumber = nodeNumber;
            this.node = node;
            this.addresses = addresses;
        }

        ChannelFuture listen(InetSocketAddress address) {
            ChannelFuture bind = new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            connections.add(channel);
                            channel.closeFuture().addListener(f -> connections.remove(channel));
                            channel.pipeline()
                                    .addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 16), new Handler());
                        }
                    })
                    .bind(address);
            listener = bind.channel();
            return bind;
        }

        ChannelFuture move(InetSocketAddress to) {
            Channel old = listener;
            Set<Channel> open = Set.copyOf(connections);
            ChannelFuture bind = listen(to);
            old.close();
            loop.schedule(() -> open.forEach(Channel::close), OLD_CONNECTION_GRACE_MS, TimeUnit.MILLISECONDS);
            return bind;
        }

        void close() {
            if (listener != null) {
                listener.close();
            }
            Set.copyOf(connections).forEach(Channel::close);
        }

        void receive(Instance line) {
            if (silent) {
                heldChanges.add(line);
            } else if (missedShare > 0 && chance.getAsDouble() < missedShare) {
                missedChanges.add(line);
            } else {
                apply(line);
                answerPendingPolls();
            }
        }

        private void apply(Instance line) {
            Instance before = instancesById.get(line.server.id);
            // News may overtake older news of the same server.
            if (before != null && before.changeNumber > line.changeNumber) {
                return;
            }
            generation++;
            instancesById.put(line.server.id, line);
            changedAtGeneration.put(line.server.id, generation);
        }

        void setSilent(boolean on) {
            silent = on;
            if (!on) {
                applyDelayed(heldChanges);
            }
        }

        void setMissedShare(double part) {
            missedShare = part;
            if (part == 0) {
                applyDelayed(missedChanges);
            }
        }

        private void applyDelayed(List<Instance> late) {
            late.forEach(this::apply);
            late.clear();
            answerPendingPolls();
        }

        private void answerPendingPolls() {
            for (LongPoll w : Set.copyOf(longPolls)) {
                if (w.index < generation) {
                    w.answer();
                }
            }
        }

        /** Changes after the index, or the whole list where it is negative. */
        ObjectNode toJson(long index) {
            ObjectNode list = JSON.createObjectNode();
            list.put("generation", generation).put("reset", index < 0);
            ArrayNode instances = list.putArray("instances");
            for (Instance line : instancesById.values()) {
                if (index < 0 ? !line.state.equals("Gone") : changedAtGeneration.get(line.server.id) > index) {
                    instances
                            .addObject()
                            .put("instanceId", line.server.id)
                            .put("hostPort", Addresses.format(addresses.addressOf(nodeNumber, line.server.number)))
                            .put("zone", line.server.zone)
                            .put("machineType", line.server.spec().kind())
                            .put("cell", line.server.cell)
                            .put("lifecycle", line.state)
                            .put("weight", 1.0)
                            .put("startedAtMs", line.startedAtMs);
                }
            }
            return list;
        }

        private void respond(Channel channel, long index) {
            byte[] body = toJson(index).toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            response.headers().set("Content-Length", body.length);
            List<Instance> told = instancesById.values().stream()
                    .filter(l -> index < 0 || changedAtGeneration.get(l.server.id) > index)
                    .toList();
            long fromUs = observations.nowUs();
            channel.writeAndFlush(response).addListener(f -> {
                if (f.isSuccess()) {
                    for (Instance l : told) {
                        observations.add(EventType.TOLD, node, l.server.id, null, null, l.state, l.startedAtMs, fromUs);
                    }
                }
            });
        }

        /** A call that waits for news. */
        private final class LongPoll {
            private final Channel channel;
            private final long index;
            private Future<?> timer;

            LongPoll(Channel channel, long index) {
                this.channel = channel;
                this.index = index;
            }

            void answer() {
                timer.cancel(false);
                if (longPolls.remove(this) && channel.isActive()) {
                    respond(channel, index > generation ? -1 : index);
                }
            }
        }

        private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                Map<String, List<String>> query = new QueryStringDecoder(request.uri()).parameters();
                long index = Long.parseLong(
                        query.getOrDefault("index", List.of("-1")).get(0));
                long waitMs = Math.min(
                        60_000,
                        Long.parseLong(query.getOrDefault("wait", List.of("0")).get(0)));
                if (index < 0 && !silent) {
                    respond(ctx.channel(), -1);
                    return;
                }
                LongPoll watch = new LongPoll(ctx.channel(), index);
                longPolls.add(watch);
                // While discovery is down the agent stays silent, also past the wait.
                watch.timer = loop.schedule(
                        () -> {
                            if (!silent) {
                                watch.answer();
                            }
                        },
                        waitMs,
                        TimeUnit.MILLISECONDS);
                if (!silent && index != generation) {
                    watch.answer();
                }
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                longPolls.removeIf(w -> {
                    boolean gone = w.channel == ctx.channel();
                    if (gone) {
                        w.timer.cancel(false);
                    }
                    return gone;
                });
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        }
    }
}

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
 * Simulated service discovery. It knows the true state of the upstreams; an agent on each node's machine learns of changes with a
 * delay and serves them to long polls. Confined to the world's event loop; agents listen until {@link #close}.
 */
final class Registry {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long OLD_CONNECTION_GRACE_MS = 1_500;
    private static final long MAX_LONG_POLL_MS = 60_000;

    /** A server's state after change {@code changeNumber}. {@code state} is Ready, Terminating or Gone. */
    private record Instance(long changeNumber, UpstreamServer server, String state, long startedAtMs) {}

    private final EventLoop loop;
    private final ObservationLog observations;
    private final Scenario.Discovery spec;
    private final DoubleSupplier random;
    private final List<Agent> agents = new ArrayList<>();
    private long changeCount;

    Registry(EventLoop loop, ObservationLog observations, Scenario.Discovery spec, DoubleSupplier random) {
        this.loop = loop;
        this.observations = observations;
        this.spec = spec;
        this.random = random;
    }

    /** Gives the address by which a node reaches a server. */
    interface AddressResolver {
        InetSocketAddress addressOf(int node, int server);
    }

    List<ChannelFuture> start(
            List<String> nodes,
            List<InetSocketAddress> addresses,
            AddressResolver resolver,
            List<UpstreamServer> servers) {
        List<ChannelFuture> binds = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            Agent agent = new Agent(i, nodes.get(i), resolver);
            for (UpstreamServer s : servers) {
                agent.instancesById.put(s.id, new Instance(0, s, "Ready", s.startedAtMs()));
                agent.changedAtGeneration.put(s.id, agent.generation);
            }
            agents.add(agent);
            binds.add(agent.listen(addresses.get(i)));
        }
        return binds;
    }

    /** Publishes a change of a server's state; each agent receives it after its own delay. */
    void publishChange(UpstreamServer server, String state) {
        Instance instance = new Instance(++changeCount, server, state, server.startedAtMs());
        for (Agent agent : agents) {
            double delayMs = spec.noticeMs() + spec.spreadMs() * random.getAsDouble() + agent.extraDelayMs;
            loop.schedule(() -> agent.receive(instance), Math.round(1_000 * delayMs), TimeUnit.MICROSECONDS);
        }
    }

    /** While silent, the agent receives no changes and leaves requests unanswered. */
    void setSilent(int node, boolean on) {
        agents.get(node).setSilent(on);
    }

    void setDelay(int node, double delayMs) {
        agents.get(node).extraDelayMs = delayMs;
    }

    /** Makes the agent miss this share of the changes; with 0 it receives all that it missed. */
    void setMissedShare(int node, double share) {
        agents.get(node).setMissedShare(share);
    }

    /** Moves the agent to a new address: the old one accepts no connections and its open ones are closed after a grace period. */
    ChannelFuture move(int node, InetSocketAddress to) {
        return agents.get(node).move(to);
    }

    /** Returns the agent's current instances in the format of the configuration's {@code known}. */
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

        void receive(Instance instance) {
            if (silent) {
                heldChanges.add(instance);
            } else if (missedShare > 0 && random.getAsDouble() < missedShare) {
                missedChanges.add(instance);
            } else {
                apply(instance);
                answerPendingPolls();
            }
        }

        private void apply(Instance instance) {
            Instance previous = instancesById.get(instance.server.id);
            // Changes of the same server may arrive out of order; the newest wins.
            if (previous != null && previous.changeNumber > instance.changeNumber) {
                return;
            }
            generation++;
            instancesById.put(instance.server.id, instance);
            changedAtGeneration.put(instance.server.id, generation);
        }

        void setSilent(boolean on) {
            silent = on;
            if (!on) {
                applyDelayed(heldChanges);
            }
        }

        void setMissedShare(double share) {
            missedShare = share;
            if (share == 0) {
                applyDelayed(missedChanges);
            }
        }

        private void applyDelayed(List<Instance> changes) {
            changes.forEach(this::apply);
            changes.clear();
            answerPendingPolls();
        }

        private void answerPendingPolls() {
            for (LongPoll poll : Set.copyOf(longPolls)) {
                if (poll.index < generation) {
                    poll.answer();
                }
            }
        }

        /** Returns the changes after the index, or all instances if it is negative. */
        ObjectNode toJson(long index) {
            ObjectNode list = JSON.createObjectNode();
            list.put("generation", generation).put("reset", index < 0);
            ArrayNode instances = list.putArray("instances");
            for (Instance instance : instancesById.values()) {
                if (index < 0 ? !instance.state.equals("Gone") : changedAtGeneration.get(instance.server.id) > index) {
                    instances
                            .addObject()
                            .put("instanceId", instance.server.id)
                            .put("hostPort", Addresses.format(addresses.addressOf(nodeNumber, instance.server.number)))
                            .put("zone", instance.server.zone)
                            .put("machineType", instance.server.spec().kind())
                            .put("cell", instance.server.cell)
                            .put("lifecycle", instance.state)
                            .put("weight", 1.0)
                            .put("startedAtMs", instance.startedAtMs);
                }
            }
            return list;
        }

        private void respond(Channel channel, long index) {
            byte[] body = toJson(index).toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            response.headers().set("Content-Length", body.length);
            List<Instance> sentInstances = instancesById.values().stream()
                    .filter(i -> index < 0 || changedAtGeneration.get(i.server.id) > index)
                    .toList();
            long writeStartUs = observations.nowUs();
            channel.writeAndFlush(response).addListener(f -> {
                if (f.isSuccess()) {
                    for (Instance sent : sentInstances) {
                        observations.add(
                                EventType.TOLD,
                                node,
                                sent.server.id,
                                null,
                                null,
                                sent.state,
                                sent.startedAtMs,
                                writeStartUs);
                    }
                }
            });
        }

        /** A request that waits for changes after its index. */
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
                        MAX_LONG_POLL_MS,
                        Long.parseLong(query.getOrDefault("wait", List.of("0")).get(0)));
                if (index < 0 && !silent) {
                    respond(ctx.channel(), -1);
                    return;
                }
                LongPoll longPoll = new LongPoll(ctx.channel(), index);
                longPolls.add(longPoll);
                // A silent agent leaves the request unanswered even after the wait has expired.
                longPoll.timer = loop.schedule(
                        () -> {
                            if (!silent) {
                                longPoll.answer();
                            }
                        },
                        waitMs,
                        TimeUnit.MILLISECONDS);
                if (!silent && index != generation) {
                    longPoll.answer();
                }
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                longPolls.removeIf(poll -> {
                    boolean gone = poll.channel == ctx.channel();
                    if (gone) {
                        poll.timer.cancel(false);
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

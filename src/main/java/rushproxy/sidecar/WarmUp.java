package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import rushproxy.Balancer;
import rushproxy.Balancer.ListKind;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;
import rushproxy.Balancer.RequestClass;
import rushproxy.Balancer.Settings;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;
import rushproxy.Policy;

/**
 * Serves requests before the sidecar says that it is ready: from a client's connection, by a decision module and connections of its
 * own, to the sidecar itself as the upstream. Code that has never run costs a core ten times what it does later: without this the
 * first seconds of requests get it loaded and compiled, and where processes share busy cores most of those requests are late.
 */
final class WarmUp {
    /** The compiler takes a method up after some hundred calls; a request makes several of most. */
    static final int REQUESTS = 400;

    private static final int AT_ONCE = 4;
    /** However little of a core there is, a start is not held up for longer. */
    private static final long MOST_US = 5_000_000;

    private static final long REMAINING_US = 1_000_000;
    /** As many as a choice of two needs, and one more. */
    private static final List<String> UPSTREAMS = List.of("self-0", "self-1", "self-2");

    private static final String CLIENTS = "clients";
    private static final Path KERNEL_RANDOM = Path.of("/dev/urandom");
    private static final int TOKEN_BYTES = 16;
    private static final int SEED = 1;

    private final EventLoop loop;
    private final Clock clock;
    private final Settings settings;
    private final List<RequestClass> classes;
    /** Nobody else can guess it. */
    private final String uri = "/api/warm-up?" + token();

    private final Decisions decisions = new Decisions();
    private final UpstreamPool upstreams;
    private final Requests requests;
    /** The clients' side: connections on which requests come. */
    private final UpstreamPool clients;

    private Runnable done;
    private long untilUs;
    private int begun;
    private int out;
    private int served;
    private boolean over;

    WarmUp(EventLoop loop, Clock clock, Settings settings) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        classes = settings.classes();
        RunningTime time = new RunningTime(clock, new LoopDelay());
        upstreams = connections(time);
        clients = connections(time);
        requests = new Requests(
                loop,
                time,
                decisions,
                upstreams,
                new RequestGuard(clock, classes, new Invariants()),
                settings.limits().maxAttempts());
    }

    private UpstreamPool connections(RunningTime time) {
        return new UpstreamPool(loop, time, MOST_US, 0, MOST_US, () -> AT_ONCE, new Budget(AT_ONCE * Body.KEPT));
    }

    /** The runtime's own generator loads the security providers, of which a sidecar needs nothing else. */
    private static String token() {
        try (InputStream random = Files.newInputStream(KERNEL_RANDOM)) {
            return HexFormat.of().formatHex(random.readNBytes(TOKEN_BYTES));
        } catch (IOException e) {
            byte[] token = new byte[TOKEN_BYTES];
            new SecureRandom().nextBytes(token);
            return HexFormat.of().formatHex(token);
        }
    }

    private Upstream upstream(String id) {
        String kind = settings.kinds().isEmpty() ? "" : settings.kinds().get(0);
        return new Upstream(id, settings.zone(), kind, 0, 0, 1, UpstreamState.READY);
    }

    /** Whether the message is one of the warm-up's own requests or attempts. */
    boolean owns(HttpRequest message) {
        return message.uri().equals(uri);
    }

    /** Whether it is an attempt, which has come to its upstream and is answered. */
    boolean isAttempt(HttpRequest message) {
        return owns(message) && !message.headers().contains(Headers.CLASS);
    }

    /** Where the warm-up's requests are carried through their attempts. */
    Requests requests() {
        return requests;
    }

    /** {@code self}: where the sidecar listens. {@code whenDone} runs once, on the loop, also if no request is served. */
    void begin(InetSocketAddress self, Runnable whenDone) {
        done = whenDone;
        untilUs = clock.now() + MOST_US;
        if (classes.isEmpty()) {
            end();
            return;
        }
        List<Upstream> list = UPSTREAMS.stream().map(this::upstream).toList();
        upstreams.update(new UpstreamList(
                0, true, list.stream().map(u -> new UpstreamList.Entry(u, self)).toList()));
        clients.update(new UpstreamList(0, true, List.of(new UpstreamList.Entry(upstream(CLIENTS), self))));
        decisions.start(
                actions -> {
                    Balancer module = new Policy(settings, SEED, clock.now(), actions);
                    module.onList(clock.now(), ListKind.FULL, list);
                    return module;
                },
                new Hands());
        for (int i = 0; i < AT_ONCE; i++) {
            request();
        }
    }

    /** Requests that were answered with success so far. */
    int served() {
        return served;
    }

    private void request() {
        out++;
        int number = begun++;
        clients.start(new UpstreamCall(
                CLIENTS,
                untilUs + REMAINING_US,
                false,
                left -> message(number),
                null,
                (call, outcome, report, body) -> {
                    out--;
                    served += outcome == Outcome.OK ? 1 : 0;
                    // Not from within: requests that end at once must not pile up on the stack.
                    loop.execute(this::next);
                }));
    }

    private HttpRequest message(int number) {
        HttpRequest message = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        message.headers()
                .set(Headers.TXN, "warm-up-" + number)
                .set(Headers.CLASS, classes.get(number % classes.size()).name())
                .set(Headers.REMAINING, REMAINING_US / 1_000)
                .set(HttpHeaderNames.COOKIE, Headers.KEY_COOKIE + "=" + number);
        return message;
    }

    private void next() {
        if (over) {
            return;
        }
        if (begun < REQUESTS && clock.now() < untilUs) {
            request();
        } else if (out == 0) {
            end();
        }
    }

    private void end() {
        over = true;
        upstreams.shutDown();
        clients.shutDown();
        done.run();
    }

    /** Carries out what the module decides here; peers, discovery and the fleet hear nothing of it. */
    private final class Hands implements Balancer.Actions {
        @Override
        public void send(String request, String upstream, long attemptUntilUs) {
            requests.send(request, upstream, attemptUntilUs);
        }

        @Override
        public void refuse(String request, long retryAfterUs) {
            requests.refuse(request, retryAfterUs);
        }

        @Override
        public void fail(String request) {
            requests.fail(request);
        }

        @Override
        public void cancel(String request, int attempt) {
            requests.cancel(request, attempt);
        }

        @Override
        public void probe(String upstream) {
            decisions.call(m -> m.onProbe(clock.now(), upstream, Outcome.OK, 0, new LoadReport(0, 0, 0)), () -> {});
        }

        @Override
        public void subscribe() {}

        @Override
        public void tell(int peer, byte[] message) {}

        @Override
        public void close(String upstream) {
            upstreams.closeIdle(upstream);
        }

        @Override
        public void timer(String mark, long delayUs) {
            loop.schedule(
                    () -> {
                        if (!over) {
                            decisions.call(m -> m.onTimer(clock.now(), mark), requests::failHeld);
                        }
                    },
                    delayUs,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void log(String text) {}
    }
}

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
    static final int REQUEST_COUNT = 400;

    private static final int CONCURRENCY = 4;
    /** However little of a core there is, a start is not held up for longer. */
    private static final long MAX_DURATION_US = 5_000_000;

    private static final long REQUEST_TIMEOUT_US = 1_000_000;
    /** As many as a choice of two needs, and one more. */
    private static final List<String> UPSTREAM_IDS = List.of("self-0", "self-1", "self-2");

    private static final String CLIENT_SIDE_ID = "clients";
    private static final Path KERNEL_RANDOM = Path.of("/dev/urandom");
    private static final int TOKEN_BYTES = 16;
    private static final int SEED = 1;

    private final EventLoop loop;
    private final Clock clock;
    private final Settings settings;
    private final List<RequestClass> classes;
    /** Nobody else can guess it. */
    private final String uri = "/api/warm-up?" + randomToken();

    private final Decisions decisions = new Decisions();
    private final Upstreams upstreams;
    private final Requests requests;
    /** The clients' side: connections on which requests come. */
    private final Upstreams clients;

    private Runnable onDone;
    private long deadlineUs;
    private int startedCount;
    private int inFlight;
    private int successCount;
    private boolean finished;

    WarmUp(EventLoop loop, Clock clock, Settings settings) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        classes = settings.classes();
        StallAwareClock time = new StallAwareClock(clock, new EventLoopDelay());
        upstreams = connectionPool(time);
        clients = connectionPool(time);
        requests = new Requests(
                loop,
                time,
                decisions,
                upstreams,
                new RequestGuard(clock, classes, new Invariants()),
                settings.limits().maxAttempts());
    }

    private Upstreams connectionPool(StallAwareClock time) {
        return new Upstreams(
                loop,
                time,
                MAX_DURATION_US,
                0,
                MAX_DURATION_US,
                () -> CONCURRENCY,
                new Budget(CONCURRENCY * Body.KEPT));
    }

    /** The runtime's own generator loads the security providers, of which a sidecar needs nothing else. */
    private static String randomToken() {
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
    boolean isOwnMessage(HttpRequest message) {
        return message.uri().equals(uri);
    }

    /** Whether it is an attempt, which has come to its upstream and is answered. */
    boolean isAttempt(HttpRequest message) {
        return isOwnMessage(message) && !message.headers().contains(Headers.CLASS);
    }

    /** Where the warm-up's requests are carried through their attempts. */
    Requests requests() {
        return requests;
    }

    /** {@code self}: where the sidecar listens. {@code whenDone} runs once, on the loop, also if no request is served. */
    void start(InetSocketAddress self, Runnable whenDone) {
        onDone = whenDone;
        deadlineUs = clock.nowUs() + MAX_DURATION_US;
        if (classes.isEmpty()) {
            finish();
            return;
        }
        List<Upstream> list = UPSTREAM_IDS.stream().map(this::upstream).toList();
        upstreams.update(new UpstreamList(
                0, true, list.stream().map(u -> new UpstreamList.Entry(u, self)).toList()));
        clients.update(new UpstreamList(0, true, List.of(new UpstreamList.Entry(upstream(CLIENT_SIDE_ID), self))));
        decisions.start(
                actions -> {
                    Balancer module = new Policy(settings, SEED, clock.nowUs(), actions);
                    module.onList(clock.nowUs(), ListKind.FULL, list);
                    return module;
                },
                new ModuleActions());
        for (int i = 0; i < CONCURRENCY; i++) {
            sendRequest();
        }
    }

    /** Requests that were answered with success so far. */
    int successCount() {
        return successCount;
    }

    private void sendRequest() {
        inFlight++;
        int number = startedCount++;
        clients.start(new UpstreamCall(
                CLIENT_SIDE_ID,
                deadlineUs + REQUEST_TIMEOUT_US,
                false,
                left -> createRequest(number),
                null,
                (call, outcome, report, body) -> {
                    inFlight--;
                    successCount += outcome == Outcome.OK ? 1 : 0;
                    // Not from within: requests that end at once must not pile up on the stack.
                    loop.execute(this::continueOrFinish);
                }));
    }

    private HttpRequest createRequest(int number) {
        HttpRequest message = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        message.headers()
                .set(Headers.TXN, "warm-up-" + number)
                .set(Headers.CLASS, classes.get(number % classes.size()).name())
                .set(Headers.REMAINING, REQUEST_TIMEOUT_US / 1_000)
                .set(HttpHeaderNames.COOKIE, Headers.KEY_COOKIE + "=" + number);
        return message;
    }

    private void continueOrFinish() {
        if (finished) {
            return;
        }
        if (startedCount < REQUEST_COUNT && clock.nowUs() < deadlineUs) {
            sendRequest();
        } else if (inFlight == 0) {
            finish();
        }
    }

    private void finish() {
        finished = true;
        upstreams.end();
        clients.end();
        onDone.run();
    }

    /** Carries out what the module decides here; peers, discovery and the fleet hear nothing of it. */
    private final class ModuleActions implements Balancer.Actions {
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
            decisions.call(m -> m.onProbe(clock.nowUs(), upstream, Outcome.OK, 0, new LoadReport(0, 0, 0)), () -> {});
        }

        @Override
        public void subscribe() {}

        @Override
        public void tell(int peer, byte[] message) {}

        @Override
        public void close(String upstream) {
            upstreams.close(upstream);
        }

        @Override
        public void timer(String mark, long delayUs) {
            loop.schedule(
                    () -> {
                        if (!finished) {
                            decisions.call(m -> m.onTimer(clock.nowUs(), mark), requests::failHeld);
                        }
                    },
                    delayUs,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void log(String text) {}
    }
}

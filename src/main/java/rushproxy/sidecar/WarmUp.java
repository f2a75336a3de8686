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
 * Warms up the JVM before the sidecar reports that it is ready. Sends requests to the sidecar itself, which acts as client, proxy and
 * upstream, with a load balancer and connection pools used for nothing else. Code that has never run costs ten times the CPU time:
 * without the warm-up, class loading and compilation take place during the first seconds of real traffic, and on shared busy cores
 * most of those requests miss their deadlines.
 */
final class WarmUp {
    /** The JIT compiles a method after a few hundred calls, and one request calls most methods several times. */
    static final int REQUEST_COUNT = 400;

    private static final int CONCURRENCY = 4;
    /** Upper bound for the delay of startup on a machine that is short of CPU. */
    private static final long MAX_DURATION_US = 5_000_000;

    private static final long REQUEST_TIMEOUT_US = 1_000_000;
    /** One more than power-of-two-choices balancing needs. */
    private static final List<String> UPSTREAM_IDS = List.of("self-0", "self-1", "self-2");

    private static final String CLIENT_SIDE_ID = "clients";
    private static final Path KERNEL_RANDOM = Path.of("/dev/urandom");
    private static final int TOKEN_BYTES = 16;
    private static final int SEED = 1;

    private final EventLoop loop;
    private final Clock clock;
    private final Settings settings;
    private final List<RequestClass> classes;
    /** Unguessable, so that no client's request is taken for one of the warm-up's. */
    private final String uri = "/api/warm-up?" + randomToken();

    private final BalancerDispatcher decisions = new BalancerDispatcher();
    private final Invariants invariants = new Invariants();
    private final TaskGuard tasks = new TaskGuard(invariants);
    private final UpstreamPool upstreams;
    private final RequestCoordinator requests;
    /** The connections on which the warm-up acts as a client. */
    private final UpstreamPool clients;

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
        requests = new RequestCoordinator(
                loop,
                time,
                decisions,
                upstreams,
                new RequestGuard(clock, classes, invariants),
                settings.limits().maxAttempts(),
                SharedRequestTable.none(),
                tasks);
    }

    private UpstreamPool connectionPool(StallAwareClock time) {
        long bytes = CONCURRENCY * RequestBody.MAX_KEPT_BYTES;
        return new UpstreamPool(
                loop,
                time,
                MAX_DURATION_US,
                0,
                MAX_DURATION_US,
                () -> CONCURRENCY,
                ConnectionMemory.of(0, bytes, bytes, loop),
                tasks);
    }

    /** Reads the kernel's generator, since {@code SecureRandom} would load security providers that nothing else needs. */
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

    /** Whether this is a request or an attempt sent by the warm-up. */
    boolean isOwnMessage(HttpRequest message) {
        return message.uri().equals(uri);
    }

    /** Whether this is an attempt, which the sidecar answers in the role of the upstream. */
    boolean isAttempt(HttpRequest message) {
        return isOwnMessage(message) && !message.headers().contains(Headers.CLASS);
    }

    /** Executes the warm-up's requests, apart from those of real clients. */
    RequestCoordinator requests() {
        return requests;
    }

    /** {@code self} is the sidecar's own listen address. {@code whenDone} runs once, on the event loop, even if no request succeeds. */
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
                    Balancer balancer = new Policy(settings, SEED, clock.nowUs(), actions);
                    balancer.onUpstreamList(clock.nowUs(), ListKind.FULL, list);
                    return balancer;
                },
                new ModuleActions());
        for (int i = 0; i < CONCURRENCY; i++) {
            sendRequest();
        }
    }

    /** The number of requests answered successfully so far. */
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
                    // Not called directly: requests that complete at once would recurse until the stack overflows.
                    loop.execute(this::continueOrFinish);
                }));
    }

    private HttpRequest createRequest(int number) {
        HttpRequest message = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        message.headers()
                .set(Headers.REQUEST_ID, "warm-up-" + number)
                .set(Headers.CLASS, classes.get(number % classes.size()).name())
                .set(Headers.REMAINING_MS, REQUEST_TIMEOUT_US / 1_000)
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
        upstreams.shutDown();
        clients.shutDown();
        onDone.run();
    }

    /** Carries out the load balancer's decisions without involving peers, discovery or the fleet plane. */
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
            decisions.call(
                    m -> m.onProbeResult(clock.nowUs(), upstream, Outcome.OK, 0, new LoadReport(0, 0, 0)), () -> {});
        }

        @Override
        public void subscribe() {}

        @Override
        public void sendToPeer(int peer, byte[] message) {}

        @Override
        public void closeIdleConnections(String upstream) {
            upstreams.closeIdle(upstream);
        }

        @Override
        public void startTimer(String mark, long delayUs) {
            loop.schedule(
                    () -> {
                        if (!finished) {
                            decisions.call(m -> m.onTimer(clock.nowUs(), mark), requests::failPending);
                        }
                    },
                    delayUs,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void log(String text) {}
    }
}

package rushproxy.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import rushproxy.Balancer.ListKind;
import rushproxy.Balancer.Upstream;

/**
 * Client of the discovery agent. Watches the list of upstreams by consecutive long polls, starting with the module's first
 * subscription, or at once if lists are pushed. If a poll fails, the previous list stays in force, and the module is notified if it
 * waits for the result.
 *
 * <p>A change must be respected from some time after the agent has it, whatever happens to the watch. The delay until it is learned is
 * therefore bounded in each failure mode (sends have a grace of another half second):
 * <ul>
 * <li>A watch that stops responding must have been replaced 6 s later, and 2 s after its wait. A poll times out after {@code WAIT_MS
 *     + RESPONSE_TIMEOUT_MS} and is followed by one without a wait.
 * <li>After a reset, a refusal, an end within a list, the start of the process, or a change of address by SIGHUP (which must take
 *     effect within 4 s) a poll without a wait follows within {@code 2 * MIN_INTERVAL_MS}.
 * <li>A poll without a wait that gets no response is repeated after {@code IMMEDIATE_TIMEOUT_MS}, doubling up to {@code
 *     MAX_IMMEDIATE_TIMEOUT_MS}. So while the agent is down one is nearly always pending, to be answered when it returns.
 * </ul>
 */
final class Discovery {
    private static final String PATH = "/registry/instances";
    /** Enough for thousands of upstreams in indented JSON. */
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    private static final long CONNECT_TIMEOUT_US = 1_000_000;
    /** Longest wait for a change that a poll asks for. */
    private static final long WAIT_MS = 2_000;
    /** Time allowed for the response after the wait that was requested. */
    private static final long RESPONSE_TIMEOUT_MS = 500;
    /** First timeout of a poll without a wait. */
    private static final long IMMEDIATE_TIMEOUT_MS = 400;

    private static final long MAX_IMMEDIATE_TIMEOUT_MS = 1_600;
    /**
     * Minimum time between the starts of two polls, for an agent that responds at once. A watch counts as continuous while polls follow
     * each other within 200 ms.
     */
    private static final long MIN_INTERVAL_MS = 100;
    /** Invalid responses double the interval, up to this multiple of {@link #MIN_INTERVAL_MS}. */
    private static final int MAX_INTERVAL_FACTOR = 16;
    /** Upper bound of the time from a poll that gets no response to the response to the next one. */
    static final long MAX_CHANGE_DELAY_MS = WAIT_MS + RESPONSE_TIMEOUT_MS + 2 * MIN_INTERVAL_MS + IMMEDIATE_TIMEOUT_MS;

    private final EventLoop loop;
    private final Clock clock;
    private final BalancerDispatcher decisions;
    private final UpstreamPool upstreams;
    private final long waitMs;
    private InetSocketAddress address;
    private final Bootstrap bootstrap;
    private final StartTimes startTimes;
    private long generation;
    /** Set after an invalid response: the next poll requests the full list. */
    private boolean needsFullList;
    /** The module has subscribed and expects a result, even if nothing has changed. */
    private boolean isResultExpected;
    /** The previous poll succeeded, so the next one may wait for a change. */
    private boolean isWatching;
    /** Consecutive failed polls. */
    private int failures;
    /** Consecutive invalid responses. */
    private int invalidResponses;

    private Channel channel;
    private Future<?> timeout;
    /** The next poll if it is scheduled; null otherwise. */
    private Future<?> nextPoll;
    /** Number of the pending poll, 0 if there is none; events of other polls are stale. */
    private long pendingPoll;

    private long polls;
    private long pollStartedUs;
    /** Lists are pushed: the module does not subscribe, and polling starts by itself. */
    private final boolean isPushed;
    /** Runs once when the first poll completes; null if not set or already run. */
    private Runnable firstPollCallback;

    Discovery(
            EventLoop loop,
            Clock clock,
            BalancerDispatcher decisions,
            UpstreamPool upstreams,
            StartTimes startTimes,
            InetSocketAddress address,
            long generation,
            long askEveryUs,
            boolean isPushed) {
        this.startTimes = startTimes;
        this.isPushed = isPushed;
        this.loop = loop;
        this.clock = clock;
        this.decisions = decisions;
        this.upstreams = upstreams;
        this.address = address;
        this.generation = generation;
        waitMs = askEveryUs <= 0 ? WAIT_MS : Math.min(WAIT_MS, askEveryUs / 1000);
        bootstrap = OutboundConnector.aggregatingBootstrap(loop, MAX_RESPONSE_BYTES, Handler::new);
    }

    void start() {
        if (isPushed) {
            scheduleNext();
        }
    }

    /** Subscription by the module; a pending or scheduled poll serves it. */
    void subscribe() {
        isResultExpected = !isPushed;
        scheduleNext();
    }

    /** Runs {@code callback} once the first poll has succeeded or failed, at once if none was ever started. */
    void whenFirstPollCompletes(Runnable callback) {
        if (polls > 1 || pendingPoll == 0) {
            callback.run();
        } else {
            firstPollCallback = callback;
        }
    }

    /** Switches to another agent address; a pending poll is repeated there at once. */
    void changeAddress(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        isWatching = false;
        boolean wasPending = pendingPoll != 0;
        if (wasPending) {
            clearPending();
        }
        if (channel != null) {
            channel.close();
            channel = null;
        }
        // Between polls the next one is scheduled already and uses the new address.
        if (wasPending || isPushed) {
            scheduleNext();
        }
    }

    /** Schedules the next poll as soon as the minimum interval allows, later after failures. */
    private void scheduleNext() {
        if (pendingPoll != 0 || nextPoll != null) {
            return;
        }
        long delayMs = 0;
        if (polls > 0) {
            long intervalMs =
                    MIN_INTERVAL_MS << Math.min(invalidResponses, Integer.numberOfTrailingZeros(MAX_INTERVAL_FACTOR));
            // Jitter keeps sidecars that failed together from polling in step.
            long jitterMs = failures == 0 ? 0 : ThreadLocalRandom.current().nextLong(MIN_INTERVAL_MS);
            delayMs = intervalMs + jitterMs - (clock.nowUs() - pollStartedUs) / 1000;
        }
        if (delayMs <= 0) {
            startPoll();
        } else {
            nextPoll = loop.schedule(
                    () -> {
                        nextPoll = null;
                        startPoll();
                    },
                    delayMs,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void startPoll() {
        long number = ++polls;
        pendingPoll = number;
        pollStartedUs = clock.nowUs();
        long timeoutMs = isWatching && !needsFullList
                ? waitMs + RESPONSE_TIMEOUT_MS
                : Math.min(MAX_IMMEDIATE_TIMEOUT_MS, IMMEDIATE_TIMEOUT_MS << Math.min(failures, 8));
        timeout = loop.schedule(() -> pollFailed(number, "no response"), timeoutMs, TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            sendPoll(number);
            return;
        }
        channel = OutboundConnector.connect(bootstrap, loop, address, CONNECT_TIMEOUT_US, failure -> {
            if (failure != null) {
                pollFailed(number, "could not connect");
            } else if (pendingPoll == number) {
                sendPoll(number);
            }
        });
    }

    private void sendPoll(long number) {
        String uri = needsFullList ? PATH : PATH + "?index=" + generation + "&wait=" + (isWatching ? waitMs : 0);
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set("Host", "discovery");
        channel.writeAndFlush(request).addListener(f -> {
            if (!f.isSuccess()) {
                pollFailed(number, "could not send the request");
            }
        });
    }

    private void pollFailed(long number, String why) {
        if (pendingPoll != number || number == 0) {
            return;
        }
        clearPending();
        // A late response on this connection would belong to the failed poll.
        if (channel != null) {
            channel.close();
            channel = null;
        }
        boolean mustNotify = isResultExpected || isWatching;
        isResultExpected = isWatching = false;
        if (failures++ == 0) {
            Log.warn("discovery poll failed: " + why + "; the previous list stays in force");
        }
        if (!isPushed && mustNotify) {
            decisions.call(m -> m.onUpstreamList(clock.nowUs(), ListKind.FAILED, List.of()), () -> {});
        }
        scheduleNext();
        firstPollDone();
    }

    private void clearPending() {
        pendingPoll = 0;
        timeout.cancel(false);
    }

    private void firstPollDone() {
        if (firstPollCallback != null) {
            Runnable callback = firstPollCallback;
            firstPollCallback = null;
            callback.run();
        }
    }

    private void handleResponse(FullHttpResponse response) {
        UpstreamList received;
        try {
            if (response.status().code() != 200 || !response.decoderResult().isSuccess()) {
                pollFailed(pendingPoll, "status " + response.status().code());
                return;
            }
            received = UpstreamList.fromJson(Json.parse(ByteBufUtil.getBytes(response.content())));
            boolean isContinuous =
                    needsFullList ? received.isFull() : received.isFull() || received.generation() >= generation;
            if (!isContinuous || received.isFull() && received.entries().isEmpty()) {
                throw new IllegalArgumentException("the list is empty or does not continue the previous one");
            }
        } catch (RuntimeException e) {
            needsFullList = true;
            invalidResponses++;
            pollFailed(pendingPoll, "invalid list: " + e.getMessage());
            return;
        }
        clearPending();
        if (failures > 0) {
            Log.info("discovery is reachable again after " + failures + " failed polls");
        }
        needsFullList = false;
        isWatching = true;
        failures = invalidResponses = 0;
        if (!HttpUtil.isKeepAlive(response)) {
            channel.close();
            channel = null;
        }
        boolean isApplied = false;
        try {
            apply(received);
            isApplied = true;
        } finally {
            // If applying failed, for example for lack of memory, the next poll fetches the full list again.
            needsFullList |= !isApplied;
            scheduleNext();
            firstPollDone();
        }
    }

    private void apply(UpstreamList received) {
        generation = received.generation();
        UpstreamList list = startTimes.fromDiscovery(received);
        upstreams.update(list);
        if (isResultExpected || list.isFull() || !list.entries().isEmpty()) {
            isResultExpected = false;
            List<Upstream> entries =
                    list.entries().stream().map(UpstreamList.Entry::upstream).toList();
            decisions.call(
                    m -> m.onUpstreamList(clock.nowUs(), list.isFull() ? ListKind.FULL : ListKind.DELTA, entries),
                    () -> {});
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (pendingPoll != 0 && ctx.channel() == channel) {
                handleResponse(response);
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                pollFailed(pendingPoll, "the connection was closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

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
 * The watch on discovery: one call after the other without a gap, from the first one that the module asks for, or from the
 * start where lists are pushed. A call that fails is told to the module if it waits for it; the list it has still holds.
 *
 * <p>What discovery's agent has counts as told, so each way to miss it has a bound, which is a sum of the times below
 * (rules on sockets; the grace for sends is half a second):
 * <ul>
 * <li>a watch that falls silent counts 6 s later, or 2 s after its wait: {@code WAIT + SILENT}, and a call that does not wait;
 * <li>one that is reset, refused or broken off within a list, the start of a process, and another address after SIGHUP
 *     (which counts 4 s later): at most {@code 2 PACE}, and a call that does not wait;
 * <li>a call that does not wait and is not answered is made again after {@code NOW}, then twice that, up to {@code MOST_NOW}:
 *     so that while discovery is down nearly always one is out, which its agent answers at the return.
 * </ul>
 */
final class Discovery {
    private static final String PATH = "/registry/instances";
    /** A list of some thousands of upstreams, indented too; more is no list. Held in memory only while it comes. */
    private static final int MAX_ANSWER = 4 << 20;

    private static final long CONNECT_US = 1_000_000;
    private static final long WAIT_MS = 2_000;
    private static final long SILENT_MS = 500;
    private static final long NOW_MS = 400;
    private static final long MOST_NOW_MS = 1_600;
    /** A watch lasts while its calls follow within 200 ms; discovery that answers at once is not called without pause. */
    private static final long PACE_MS = 100;
    /** Answers that make no sense are asked for ever more slowly, up to this many times {@link #PACE_MS}. */
    private static final int MOST_PACES = 16;
    /** The longest time from a watch's call to the answer of the one after it, where the watch fell silent at once. */
    static final long LEARNT_AFTER_MS = WAIT_MS + SILENT_MS + 2 * PACE_MS + NOW_MS;

    private final EventLoop loop;
    private final Clock clock;
    private final Decisions decisions;
    private final Upstreams upstreams;
    private final long waitMs;
    private InetSocketAddress address;
    private final Bootstrap bootstrap;
    private final StartTimes starts;
    private long generation;
    /** After an answer that made no sense the whole list is asked for. */
    private boolean doubt;
    /** The module has asked and waits for an answer, be it one without changes. */
    private boolean asked;
    /** The call before was answered, so this one may wait for news. */
    private boolean watching;
    /** Calls in a row that failed, and answers in a row that made no sense. */
    private int failures;

    private int senseless;
    private Channel channel;
    private Future<?> timeout;
    /** The next call, where one is due later; null while none is. */
    private Future<?> next;
    /** Number of the call that is out; 0 while none is. What belongs to another is stale. */
    private long call;

    private long calls;
    private long begunUs;
    /** Where lists are pushed the module asks for nothing: the watch is this class's own. */
    private final boolean pushed;
    /** Told once, when the first call is over; null before it is wanted and after. */
    private Runnable heard;

    Discovery(
            EventLoop loop,
            Clock clock,
            Decisions decisions,
            Upstreams upstreams,
            StartTimes starts,
            InetSocketAddress address,
            long generation,
            long askEveryUs,
            boolean pushed) {
        this.starts = starts;
        this.pushed = pushed;
        this.loop = loop;
        this.clock = clock;
        this.decisions = decisions;
        this.upstreams = upstreams;
        this.address = address;
        this.generation = generation;
        waitMs = askEveryUs <= 0 ? WAIT_MS : Math.min(WAIT_MS, askEveryUs / 1000);
        bootstrap = Dialling.whole(loop, MAX_ANSWER, Handler::new);
    }

    void start() {
        if (pushed) {
            goOn();
        }
    }

    /** The module asks. A watch that is open, or about to be, answers it. */
    void subscribe() {
        asked = !pushed;
        goOn();
    }

    /** {@code then} runs when the first call has been answered or has failed: at once where nothing was ever asked. */
    void whenHeard(Runnable then) {
        if (calls > 1 || call == 0) {
            then.run();
        } else {
            heard = then;
        }
    }

    /** Discovery has another address from now on; what was asked at the old one is asked there at once. */
    void moveTo(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        watching = false;
        boolean out = call != 0;
        if (out) {
            end();
        }
        if (channel != null) {
            channel.close();
            channel = null;
        }
        // Between calls the next one is due already, and goes there.
        if (out || pushed) {
            goOn();
        }
    }

    /** The next call: as soon as the pace allows, and later where calls fail. */
    private void goOn() {
        if (call != 0 || next != null) {
            return;
        }
        long restMs = 0;
        if (calls > 0) {
            long paceMs = PACE_MS << Math.min(senseless, Integer.numberOfTrailingZeros(MOST_PACES));
            // Jittered, so that sidecars that failed together do not ask together again.
            long jitterMs = failures == 0 ? 0 : ThreadLocalRandom.current().nextLong(PACE_MS);
            restMs = paceMs + jitterMs - (clock.nowUs() - begunUs) / 1000;
        }
        if (restMs <= 0) {
            begin();
        } else {
            next = loop.schedule(
                    () -> {
                        next = null;
                        begin();
                    },
                    restMs,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void begin() {
        long number = ++calls;
        call = number;
        begunUs = clock.nowUs();
        long patienceMs =
                watching && !doubt ? waitMs + SILENT_MS : Math.min(MOST_NOW_MS, NOW_MS << Math.min(failures, 8));
        timeout = loop.schedule(() -> failed(number, "no answer"), patienceMs, TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            write(number);
            return;
        }
        channel = Dialling.connect(bootstrap, loop, address, CONNECT_US, failure -> {
            if (failure != null) {
                failed(number, "no connection");
            } else if (call == number) {
                write(number);
            }
        });
    }

    private void write(long number) {
        String uri = doubt ? PATH : PATH + "?index=" + generation + "&wait=" + (watching ? waitMs : 0);
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set("Host", "discovery");
        channel.writeAndFlush(request).addListener(f -> {
            if (!f.isSuccess()) {
                failed(number, "the connection broke");
            }
        });
    }

    private void failed(long number, String why) {
        if (call != number || number == 0) {
            return;
        }
        end();
        // What may still come on it answers a call that is over.
        if (channel != null) {
            channel.close();
            channel = null;
        }
        boolean told = asked || watching;
        asked = watching = false;
        if (failures++ == 0) {
            Log.warn("a call to discovery failed: " + why + "; the list before holds");
        }
        if (!pushed && told) {
            decisions.call(m -> m.onList(clock.nowUs(), ListKind.FAILED, List.of()), () -> {});
        }
        goOn();
        over();
    }

    private void end() {
        call = 0;
        timeout.cancel(false);
    }

    private void over() {
        if (heard != null) {
            Runnable then = heard;
            heard = null;
            then.run();
        }
    }

    private void answered(FullHttpResponse response) {
        UpstreamList told;
        try {
            if (response.status().code() != 200 || !response.decoderResult().isSuccess()) {
                failed(call, "status " + response.status().code());
                return;
            }
            told = UpstreamList.of(Json.parse(ByteBufUtil.getBytes(response.content())));
            boolean known = doubt ? told.whole() : told.whole() || told.generation() >= generation;
            if (!known || told.whole() && told.entries().isEmpty()) {
                throw new IllegalArgumentException("it does not follow on the list before");
            }
        } catch (RuntimeException e) {
            doubt = true;
            senseless++;
            failed(call, "its answer is no list: " + e.getMessage());
            return;
        }
        end();
        if (failures > 0) {
            Log.info("discovery answers again, after " + failures + " calls that failed");
        }
        doubt = false;
        watching = true;
        failures = senseless = 0;
        if (!HttpUtil.isKeepAlive(response)) {
            channel.close();
            channel = null;
        }
        boolean takenOver = false;
        try {
            takeOver(told);
            takenOver = true;
        } finally {
            // Where it failed, as for want of memory, the watch goes on and brings the whole list again.
            doubt |= !takenOver;
            goOn();
            over();
        }
    }

    private void takeOver(UpstreamList told) {
        generation = told.generation();
        UpstreamList list = starts.told(told);
        upstreams.update(list);
        if (asked || list.whole() || !list.entries().isEmpty()) {
            asked = false;
            List<Upstream> entries =
                    list.entries().stream().map(UpstreamList.Entry::upstream).toList();
            decisions.call(
                    m -> m.onList(clock.nowUs(), list.whole() ? ListKind.FULL : ListKind.DELTA, entries), () -> {});
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (call != 0 && ctx.channel() == channel) {
                answered(response);
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                failed(call, "the connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

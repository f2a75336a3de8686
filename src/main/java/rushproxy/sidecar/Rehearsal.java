package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.List;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;

/**
 * Calls to the sidecar itself before it says that it is ready. Code that has never run costs a part of a core ten times
 * what it does later: without this the first seconds of requests are what gets it compiled, and most of them are late.
 */
final class Rehearsal {
    /** As many calls, on as many connections at once, get the common paths compiled; no longer than this for them. */
    private static final int CALLS = 1_000;
    private static final int AT_ONCE = 4;
    private static final long MOST_US = 2_000_000;
    private static final String SELF = "self";

    private final EventLoop loop;
    private final Clock clock;
    private final Upstreams upstreams;
    private final Runnable done;
    private final long untilUs;
    private int begun;
    private int out;

    /** {@code done} runs once, on the loop, also if no call succeeds. */
    Rehearsal(EventLoop loop, Clock clock, InetSocketAddress self, Runnable done) {
        this.loop = loop;
        this.clock = clock;
        this.done = done;
        untilUs = clock.now() + MOST_US;
        upstreams = new Upstreams(loop, new RunningTime(clock, new LoopDelay()), MOST_US, 0, MOST_US, () -> AT_ONCE, new Budget(AT_ONCE * Body.KEPT));
        upstreams.update(new UpstreamList(0, true, List.of(new UpstreamList.Entry(
                new Upstream(SELF, "", "", -1, 0, 1, UpstreamState.READY), self))));
    }

    void begin() {
        for (int i = 0; i < AT_ONCE; i++) {
            call();
        }
    }

    private void call() {
        out++;
        begun++;
        upstreams.start(new Upstreams.Call(SELF, untilUs, false, left -> message(), null, (call, outcome, report, body) -> {
            out--;
            // Not from within: calls that end at once must not pile up on the stack.
            loop.execute(this::next);
        }));
    }

    private void next() {
        if (begun < CALLS && clock.now() < untilUs) {
            call();
        } else if (out == 0) {
            upstreams.end();
            done.run();
        }
    }

    private static HttpRequest message() {
        HttpRequest message = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/health/ready");
        message.headers().set(Headers.TXN, "0123456789abcdef").set(Headers.REMAINING, "1000").set("Cookie", "k=0");
        return message;
    }
}

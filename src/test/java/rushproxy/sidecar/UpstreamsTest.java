package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections and the list: everything here happens on one event loop, as in the program. */
@Timeout(60)
class UpstreamsTest {
    /** Running, until a test stops it. */
    private final FreezableClock clock = new FreezableClock();

    private final EventLoopDelay loopDelay = new EventLoopDelay();
    private final EventLoopGroup group =
            clock.eventLoopGroup(TimedIoHandler.wrap(SocketPolling.ioHandlerFactory(), clock, loopDelay));
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Upstreams upstreams(long idleUs, int most) throws Exception {
        return upstreams(idleUs, 0, most);
    }

    private Upstreams upstreams(long idleUs, long restUs, int most) throws Exception {
        return upstreams(idleUs, restUs, 2_000_000, most);
    }

    private Upstreams upstreams(long idleUs, long restUs, long dialTimeoutUs, int most) throws Exception {
        return loop.submit(() -> new Upstreams(
                        loop,
                        new StallAwareClock(clock, loopDelay),
                        idleUs,
                        restUs,
                        dialTimeoutUs,
                        () -> most,
                        new Budget(1 << 20)))
                .get();
    }

    private static UpstreamList list(boolean whole, String... entries) {
        return UpstreamList.of(Json.parse(SidecarRig.listJson(1, whole, entries).getBytes(StandardCharsets.UTF_8)));
    }

    private UpstreamCall call(String upstream) {
        return call(upstream, 20_000_000);
    }

    private UpstreamCall call(String upstream, long withinUs) {
        return new UpstreamCall(
                upstream,
                clock.nowUs() + withinUs,
                false,
                left -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api"),
                null,
                (c, outcome, report, body) -> outcomes.add(upstream + " " + outcome));
    }

    private String outcome() throws InterruptedException {
        return outcomes.poll(20, TimeUnit.SECONDS);
    }

    /**
     * A connection that comes up after its upstream drained, went or restarted must carry nothing. The change
     * falls into the same turn of the loop as the call, so that the connection can't be up before it.
     */
    @Test
    void nothingIsSentToAnUpstreamThatChangedWhileItsConnectionCameUp() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "sent"));
                Peer moved = new Peer((m, line) -> line.answer("200 OK", "", "sent"))) {
            Upstreams upstreams = upstreams(15_000_000, 100);
            UpstreamList ready = list(true, SidecarRig.entryJson("u", up.address(), "Ready", 0));
            for (UpstreamList change : new UpstreamList[] {
                list(false, SidecarRig.entryJson("u", up.address(), "Terminating", 0)),
                list(false, SidecarRig.entryJson("u", up.address(), "Gone", 0)),
                list(false, SidecarRig.entryJson("u", up.address(), "Ready", 5_000_000)),
                list(false, SidecarRig.entryJson("u", moved.address(), "Ready", 0)),
                list(true, SidecarRig.entryJson("other", moved.address(), "Ready", 0))
            }) {
                loop.execute(() -> {
                    upstreams.update(ready);
                    upstreams.start(call("u"));
                    upstreams.update(change);
                });
                assertEquals("u NOT_SENT", outcome());
            }
            assertTrue(up.messages.isEmpty() && moved.messages.isEmpty(), "a request was sent all the same");
        }
    }

    /** Guards against a repeat that a process, held up between its last look at the clock and the write, sends after its window. */
    @Test
    void whatMayNotBeginAnyMoreAtItsFirstByteIsNotSent() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "sent"))) {
            Upstreams upstreams = upstreams(15_000_000, 100);
            java.util.concurrent.atomic.AtomicLong closesUs =
                    new java.util.concurrent.atomic.AtomicLong(Long.MAX_VALUE);
            UpstreamCall late = new UpstreamCall(
                    "u",
                    clock.nowUs() + 20_000_000,
                    false,
                    left -> {
                        closesUs.set(clock.nowUs() + 5_000);
                        while (clock.nowUs() < closesUs.get()) {
                            Thread.onSpinWait();
                        }
                        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
                    },
                    null,
                    new CallResult() {
                        @Override
                        public boolean mayBegin(UpstreamCall c) {
                            return clock.nowUs() < closesUs.get();
                        }

                        @Override
                        public void ended(
                                UpstreamCall c,
                                rushproxy.Balancer.Outcome outcome,
                                rushproxy.Balancer.LoadReport report,
                                io.netty.buffer.ByteBuf body) {
                            outcomes.add("u " + outcome);
                        }
                    });
            loop.execute(() -> {
                upstreams.update(list(true, SidecarRig.entryJson("u", up.address(), "Ready", 0)));
                upstreams.start(late);
            });
            assertEquals("u NOT_SENT", outcome());
            assertTrue(up.messages.isEmpty(), "its first byte left after its window");
        }
    }

    /** The same upstream named again, as in every whole list, is no change: its connections stay. */
    @Test
    void aListThatSaysTheSameKeepsTheConnections() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "sent"))) {
            Upstreams upstreams = upstreams(15_000_000, 100);
            for (int i = 0; i < 3; i++) {
                loop.execute(() -> {
                    upstreams.update(list(true, SidecarRig.entryJson("u", up.address(), "Ready", 0)));
                    upstreams.start(call("u"));
                });
                assertEquals("u OK", outcome());
            }
            assertEquals(1, up.accepted.size());
        }
    }

    /** An upstream drops idle connections unseen; a request written to one from then on would end as a reset. */
    @Test
    void connectionsIdleForLongAreDroppedBeforeTheUpstreamDoesSo() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "sent"))) {
            Upstreams upstreams = upstreams(1, 100);
            loop.execute(() -> upstreams.update(list(true, SidecarRig.entryJson("u", up.address(), "Ready", 0))));
            for (int i = 0; i < 2; i++) {
                loop.execute(() -> upstreams.start(call("u")));
                assertEquals("u OK", outcome());
            }
            assertEquals(-1, up.accepted.take().getInputStream().read());
            assertEquals(1, up.accepted.size(), "the second call did not open a connection of its own");
        }
    }

    /** Also a body that would flow on to it: the attempt has failed, and nothing of the body is gone. */
    @Test
    void aConnectionThatEndsAsSoonAsItIsUpHasCarriedNothing() throws Exception {
        try (java.net.ServerSocket door =
                new java.net.ServerSocket(0, 50, java.net.InetAddress.getByName("127.0.0.1"))) {
            Thread closes = new Thread(() -> {
                try {
                    while (true) {
                        java.net.Socket socket = door.accept();
                        socket.setSoLinger(true, 0);
                        socket.close();
                    }
                } catch (java.io.IOException e) {
                    // the test is over
                }
            });
            closes.setDaemon(true);
            closes.start();
            Upstreams upstreams = upstreams(15_000_000, 100);
            loop.execute(() -> upstreams.update(
                    list(true, SidecarRig.entryJson("u", "127.0.0.1:" + door.getLocalPort(), "Ready", 0))));
            for (int i = 0; i < 50; i++) {
                Body body = new Body(() -> {}, -1);
                loop.execute(() -> {
                    body.add(io.netty.buffer.Unpooled.wrappedBuffer(new byte[100]));
                    upstreams.start(new UpstreamCall(
                            "u",
                            clock.nowUs() + 20_000_000,
                            false,
                            left -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api"),
                            body,
                            (c, outcome, report, answer) -> outcomes.add("u " + outcome)));
                });
                assertEquals("u CONNECT_FAILED", outcome());
            }
        }
    }

    /** It says nothing about the upstream, which was never asked. */
    @Test
    void aCallWhoseTimeEndsWhileItsConnectionRestsWasNotSent() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "sent"))) {
            Upstreams upstreams = upstreams(15_000_000, 5_000_000, 100);
            loop.execute(() -> upstreams.update(list(true, SidecarRig.entryJson("u", up.address(), "Ready", 0))));
            loop.execute(() -> upstreams.start(call("u")));
            assertEquals("u OK", outcome());
            loop.execute(() -> upstreams.start(call("u", 100_000)));
            assertEquals("u NOT_SENT", outcome());
            assertEquals(1, up.messages.size());
        }
    }

    /** The second answer comes once the next call waits for the connection: it must not be taken for that call's. */
    @Test
    void anAnswerThatComesTwiceIsNotTheNextCalls() throws Exception {
        Peer.Line[] first = new Peer.Line[1];
        try (Peer up = new Peer((m, line) -> {
            if (first[0] == null) {
                first[0] = line;
                line.answer("503 Busy", "X-Turned-Away: 1\r\n", "");
            } else if (line.socket() != first[0].socket()) {
                line.answer("200 OK", "", "served");
            }
        })) {
            Upstreams upstreams = upstreams(15_000_000, 1_000_000, 100);
            loop.execute(() -> upstreams.update(list(true, SidecarRig.entryJson("u", up.address(), "Ready", 0))));
            loop.execute(() -> upstreams.start(call("u")));
            assertEquals("u REJECTED", outcome());
            loop.submit(() -> upstreams.start(call("u"))).get();
            first[0].answer("503 Busy", "X-Turned-Away: 1\r\n", "");
            assertEquals("u OK", outcome());
            assertEquals(
                    -1, up.accepted.take().getInputStream().read(), "what brought an answer too many is used again");
        }
    }

    /** A call that finds only connections that rest waits for the first of them: another would cost more. */
    @Test
    void aCallWaitsForAConnectionThatRests() throws Exception {
        threeCallsUseOneConnection(100_000, 0);
    }

    /** Once it has rested it is as good as before. */
    @Test
    void aConnectionThatHasRestedIsUsedAgain() throws Exception {
        threeCallsUseOneConnection(1, 2);
    }

    private void threeCallsUseOneConnection(long restUs, long pauseMs) throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "served"))) {
            Upstreams upstreams = upstreams(15_000_000, restUs, 100);
            loop.execute(() -> upstreams.update(list(true, SidecarRig.entryJson("u", up.address(), "Ready", 0))));
            for (int i = 0; i < 3; i++) {
                loop.execute(() -> upstreams.start(call("u")));
                assertEquals("u OK", outcome());
                Thread.sleep(pauseMs);
            }
            assertEquals(1, up.accepted.size());
        }
    }

    /** Descriptors are few: at the cap an idle connection elsewhere makes room, and without one nothing is sent. */
    @Test
    void connectionsStayWithinTheirCap() throws Exception {
        try (Peer a = new Peer((m, line) -> line.answer("200 OK", "", ""));
                Peer silent = new Peer((m, line) -> {})) {
            Upstreams upstreams = upstreams(15_000_000, 1);
            loop.execute(() -> upstreams.update(list(
                    true,
                    SidecarRig.entryJson("a", a.address(), "Ready", 0),
                    SidecarRig.entryJson("silent", silent.address(), "Ready", 0))));
            loop.execute(() -> upstreams.start(call("a")));
            assertEquals("a OK", outcome());
            loop.execute(() -> upstreams.start(call("silent")));
            silent.next();
            assertEquals(-1, a.accepted.take().getInputStream().read());
            loop.execute(() -> upstreams.start(call("a")));
            assertEquals("a NOT_SENT", outcome());
        }
    }

    /** What never came up holds no place: otherwise a crashed upstream would use up the cap by and by. */
    @Test
    void connectionsThatFailFreeTheirPlace() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "Connection: close\r\n", ""));
                Peer gone = new Peer((m, line) -> {})) {
            gone.close();
            Upstreams upstreams = upstreams(15_000_000, 1);
            loop.execute(() -> upstreams.update(list(
                    true,
                    SidecarRig.entryJson("u", up.address(), "Ready", 0),
                    SidecarRig.entryJson("gone", gone.address(), "Ready", 0))));
            for (int i = 0; i < 3; i++) {
                loop.execute(() -> upstreams.start(call("gone")));
                assertEquals("gone CONNECT_FAILED", outcome());
            }
            loop.execute(() -> upstreams.start(call("u")));
            assertEquals("u OK", outcome());
            up.accepted.take().getInputStream().read();
        }
    }

    private static final long DIAL_US = 100_000;
    private static final long HOLD_UP_MS = 3 * DIAL_US / 1_000;

    /** The loop does nothing for a while, as in a process that gets no processor. */
    private static void holdUp() {
        try {
            Thread.sleep(HOLD_UP_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** With an upstream that has answered once before, so that no code runs for the first time. */
    private Upstreams used(Peer up) throws Exception {
        Upstreams upstreams = upstreams(15_000_000, 0, DIAL_US, 100);
        loop.submit(() -> upstreams.update(list(true, SidecarRig.entryJson("u", up.address(), "Ready", 0))))
                .get();
        loop.execute(() -> upstreams.start(call("u")));
        assertEquals("u OK", outcome());
        return upstreams;
    }

    /**
     * Starts the call while the loop handles a socket, and holds the loop up there: its timers run next, and only then does it ask
     * which sockets are ready.
     */
    private void startAndHoldUp(Upstreams upstreams, UpstreamCall call) {
        loop.execute(() -> upstreams.start(new UpstreamCall(
                "u",
                clock.nowUs() + 20_000_000,
                false,
                left -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api"),
                null,
                (c, outcome, report, body) -> {
                    upstreams.start(call);
                    holdUp();
                })));
    }

    /** The dial's time-out is due when the loop goes on, and so is the news that the connection is up: the news counts. */
    @Test
    void aConnectionThatCameUpInAHoldUpIsUsed() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "Connection: close\r\n", "sent"))) {
            Upstreams upstreams = used(up);
            startAndHoldUp(upstreams, call("u"));
            assertEquals("u OK", outcome());
        }
    }

    /** Guards against a time-out that runs behind a look which passed over its socket, whose registration was being made anew. */
    @Test
    void anAnswerBehindAWithdrawnRegistrationIsTaken() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "sent"))) {
            Upstreams upstreams = used(up);
            UpstreamCall call = call("u", DIAL_US);
            loop.execute(() -> {
                upstreams.start(call);
                loop.execute(() -> {
                    ((TcpConnection) call.channel).withdrawInterest();
                    holdUp();
                });
            });
            assertEquals("u OK", outcome());
        }
    }

    /** It is up, but its call's time was used up here. */
    @Test
    void aCallWhoseTimeEndsInAHoldUpIsNoFailureOfItsUpstream() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "Connection: close\r\n", "sent"))) {
            Upstreams upstreams = used(up);
            startAndHoldUp(upstreams, call("u", DIAL_US / 2));
            assertEquals("u NOT_SENT", outcome());
            assertEquals(2, up.messages.size(), "it was sent too late");
        }
    }

    /** As it is with a call that had but a moment left for its connection to come up in. */
    @Test
    void aConnectionThatHadButAMomentIsNoFailureOfItsUpstream() throws Exception {
        try (java.net.ServerSocket full = full()) {
            Upstreams upstreams = upstreams(15_000_000, 0, DIAL_US, 100);
            loop.submit(() -> upstreams.update(
                            list(true, SidecarRig.entryJson("u", "127.0.0.1:" + full.getLocalPort(), "Ready", 0))))
                    .get();
            // However late the loop is, no more than the call's time passes.
            clock.freeze();
            loop.execute(() -> {
                upstreams.start(call("u", 2_000));
                clock.advance(2);
            });
            assertEquals("u NOT_SENT", outcome());
        }
    }

    @Test
    void anAnswerThatCameInAHoldUpIsTaken() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "sent"))) {
            Upstreams upstreams = used(up);
            startAndHoldUp(upstreams, call("u", DIAL_US));
            assertEquals("u OK", outcome());
        }
    }

    /** It may have run, but whether its upstream is silent is not known. */
    @Test
    void aCallThatWasHeldUpForMostOfItsTimeIsNoSilenceOfItsUpstream() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "sent"))) {
            Upstreams upstreams = used(up);
            up.script = (m, line) -> {};
            UpstreamCall call = call("u", DIAL_US);
            loop.execute(() -> {
                loopDelay.recordHeartbeat(clock.nowUs());
                upstreams.start(call);
                holdUp();
            });
            assertEquals("u CANCELLED", outcome());
            assertTrue(call.mayRun());
            long tookUs = loop.submit(() -> upstreams.tookUs(call)).get();
            assertTrue(tookUs < HOLD_UP_MS * 1_000, "the hold-up counts as the upstream's: " + tookUs);
        }
    }

    /** Without a hold-up both are what they were. */
    @Test
    void silenceAndConnectionsThatNeverComeUpAreTheUpstreams() throws Exception {
        try (Peer silent = new Peer((m, line) -> line.answer("200 OK", "", "sent"));
                java.net.ServerSocket full = full()) {
            Upstreams upstreams = used(silent);
            silent.script = (m, line) -> {};
            loop.submit(() -> upstreams.update(
                            list(false, SidecarRig.entryJson("full", "127.0.0.1:" + full.getLocalPort(), "Ready", 0))))
                    .get();
            loop.execute(() -> upstreams.start(call("u", DIAL_US)));
            assertEquals("u TIMEOUT", outcome());
            long sinceUs = clock.nowUs();
            loop.execute(() -> upstreams.start(call("full")));
            assertEquals("full CONNECT_FAILED", outcome());
            assertTrue(clock.nowUs() - sinceUs >= DIAL_US, "given up early");
            loop.execute(() -> upstreams.start(call("full", DIAL_US / 2)));
            assertEquals("full CONNECT_FAILED", outcome());
        }
    }

    /** Listens, and has no room for further connections: the kernel lets them wait. */
    private static java.net.ServerSocket full() throws java.io.IOException {
        java.net.ServerSocket full = new java.net.ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"));
        for (int i = 0; i < 2; i++) {
            new java.net.Socket("127.0.0.1", full.getLocalPort());
        }
        return full;
    }

    /** A late loop took another turn for a look at the sockets that it had looked at since, and was as late again. */
    @Test
    void aTimeOutThatComesLateTakesNoFurtherTurn() throws Exception {
        BlockingQueue<String> order = new LinkedBlockingQueue<>();
        TimeOuts timeOuts = new TimeOuts(loop, new StallAwareClock(clock, loopDelay));
        loop.execute(() -> {
            timeOuts.at(clock.nowUs(), () -> true, () -> order.add("time-out"));
            Runnable turnEnds = () -> order.add("end of the turn");
            loop.schedule(
                    () -> ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(turnEnds),
                    0,
                    TimeUnit.MILLISECONDS);
        });
        assertEquals("time-out", order.poll(20, TimeUnit.SECONDS));
    }
}

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import java.util.function.LongFunction;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;
import rushproxy.Balancer.Upstream;

/** One message to an upstream, until its outcome. */
final class UpstreamCall {
    final String upstream;
    long untilUs;
    /** When the process may be killed; an answer that has stopped by then is broken off. */
    long endUs = Long.MAX_VALUE;
    /** Makes the message's head, told how long an answer is waited for. */
    final LongFunction<HttpRequest> message;
    /** Null where there is none. */
    final Body body;

    final CallResult result;
    private final boolean reportInBody;
    StallAwareClock.Timestamp sent;
    /** When its upstream was given something to act on: a connection to accept, or a message on an old one; null before. */
    StallAwareClock.Timestamp offered;

    UpstreamTarget target;
    Channel channel;
    Future<?> timeout;
    /** Connections that this machine has failed to open for it. */
    int dials;
    /** It waits for its connection's rest to be over: its upstream has no part in that. */
    boolean awaitsRest;
    /** Its first byte has been handed to a connection. */
    boolean started;

    long startedUs;
    boolean written;
    boolean ended;
    private boolean mayHaveRun;
    private Outcome outcome;
    /** Its body goes on coming while it is sent. */
    boolean flowing;
    /** Its answer is being passed on. */
    boolean begun;

    UpstreamCall(
            String upstream,
            long untilUs,
            boolean reportInBody,
            LongFunction<HttpRequest> message,
            Body body,
            CallResult result) {
        this.upstream = upstream;
        this.untilUs = untilUs;
        this.message = message;
        this.body = body;
        this.reportInBody = reportInBody;
        this.result = result;
    }

    /** True for a probe, whose answer's body is the load report. */
    boolean reportInBody() {
        return reportInBody;
    }

    boolean ended() {
        return ended;
    }

    /** Null while it is out. */
    Outcome outcome() {
        return outcome;
    }

    long untilUs() {
        return untilUs;
    }

    long sentUs() {
        return sent.atUs();
    }

    void sentAt(StallAwareClock.Timestamp mark) {
        sent = mark;
    }

    boolean written() {
        return written;
    }

    /** Its first byte is handed to its connection. */
    void startsNow() {
        started = true;
    }

    /** Whether a byte of it has left: the write of the first one may be failing for a moment. */
    private boolean hasLeft() {
        return started && !((TcpConnection) channel).isWriteNotStarted();
    }

    /** Whether its upstream may work on it, or has. */
    boolean mayRun() {
        return started && !neverRan();
    }

    /** The upstream as the list had it when the call was begun; null before. */
    Upstream target() {
        return target == null ? null : target.upstream;
    }

    /** Whether it has ended in a way that proves that its upstream did nothing for it. */
    boolean neverRan() {
        return ended && !mayHaveRun;
    }

    long endUs() {
        return endUs;
    }

    /** From now on its connection watches the deadline: the client has the answer as it comes. */
    boolean begins(long length, Runnable resume) {
        if (ended || !result.begins(this, length, resume)) {
            return false;
        }
        if (timeout != null) {
            timeout.cancel(false);
        }
        begun = true;
        return true;
    }

    boolean piece(ByteBuf piece) {
        return ended || result.piece(piece);
    }

    /** The connection takes more, or takes no more for now. */
    void writable() {
        if (flowing && !ended) {
            body.look();
        }
    }

    void end(Outcome outcome, LoadReport report, ByteBuf body) {
        if (ended) {
            return;
        }
        ended = true;
        this.outcome = outcome;
        mayHaveRun = outcome.mayHaveRun;
        if (flowing) {
            this.body.stop();
        }
        if (timeout != null) {
            timeout.cancel(false);
        }
        result.ended(this, outcome, report, body);
    }

    /** Ends a call that gets no answer any more: a late one must find nobody, so its connection goes. */
    void abandon(Outcome outcome) {
        if (!ended) {
            if (channel != null) {
                Upstreams.close(channel, CloseReason.CALL_ABANDONED);
            }
            end(outcome, null, null);
        }
    }

    void cancel() {
        abandon(Outcome.CANCELLED);
    }

    /** Nobody wants its answer any more: what has not begun to be sent is not sent. */
    void withdraw() {
        if (!ended && !hasLeft()) {
            // Told first: the end of a connection that is still coming up would be told as the upstream's failure.
            end(Outcome.NOT_SENT, null, null);
            if (channel != null) {
                Upstreams.close(channel, CloseReason.CALL_ABANDONED);
            }
        }
    }

    /** The hinge of all outcomes: without its last byte written a request has never run. */
    void broke() {
        end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null, null);
    }

    /** Its time is over, and its upstream had too little of it to be judged by. */
    void endUnjudged() {
        end(written ? Outcome.CANCELLED : Outcome.NOT_SENT, null, null);
        if (channel != null) {
            Upstreams.close(channel, CloseReason.CALL_ABANDONED);
        }
    }
}

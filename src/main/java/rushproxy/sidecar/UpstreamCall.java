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
    final String upstreamId;
    long deadlineUs;
    /** When the process may be killed; an answer that has stopped by then is broken off. */
    long processEndUs = Long.MAX_VALUE;
    /** Makes the message's head, told how long an answer is waited for. */
    final LongFunction<HttpRequest> headFactory;
    /** Null where there is none. */
    final Body body;

    final CallListener listener;
    private final boolean isReportInBody;
    RunningTime.Mark sent;
    /** When its upstream was given something to act on: a connection to accept, or a message on an old one; null before. */
    RunningTime.Mark dispatched;

    UpstreamTarget target;
    Channel channel;
    Future<?> timeout;
    /** Connections that this machine has failed to open for it. */
    int failedConnects;
    /** It waits for its connection's rest to be over: its upstream has no part in that. */
    boolean awaitsReuseDelay;
    /** Its first byte has been handed to a connection. */
    boolean isWriteStarted;

    long writeStartedUs;
    boolean isWritten;
    boolean isEnded;
    private boolean mayHaveRun;
    private Outcome outcome;
    /** Its body goes on coming while it is sent. */
    boolean isBodyStreaming;
    /** Its answer is being passed on. */
    boolean isResponseStreaming;

    UpstreamCall(
            String upstream,
            long untilUs,
            boolean reportInBody,
            LongFunction<HttpRequest> message,
            Body body,
            CallListener result) {
        this.upstreamId = upstream;
        this.deadlineUs = untilUs;
        this.headFactory = message;
        this.body = body;
        this.isReportInBody = reportInBody;
        this.listener = result;
    }

    /** True for a probe, whose answer's body is the load report. */
    boolean isReportInBody() {
        return isReportInBody;
    }

    boolean isEnded() {
        return isEnded;
    }

    /** Null while it is out. */
    Outcome outcome() {
        return outcome;
    }

    long deadlineUs() {
        return deadlineUs;
    }

    long sentUs() {
        return sent.atUs();
    }

    void setSent(RunningTime.Mark mark) {
        sent = mark;
    }

    boolean isWritten() {
        return isWritten;
    }

    /** Its first byte is handed to its connection. */
    void markWriteStarted() {
        isWriteStarted = true;
    }

    /** Whether a byte of it has left: the write of the first one may be failing for a moment. */
    private boolean hasSentBytes() {
        return isWriteStarted && !((TcpConnection) channel).waitsToBegin();
    }

    /** Whether its upstream may work on it, or has. */
    boolean mayHaveReachedUpstream() {
        return isWriteStarted && !isProvenNotRun();
    }

    /** The upstream as the list had it when the call was begun; null before. */
    Upstream listedUpstream() {
        return target == null ? null : target.upstream;
    }

    /** Whether it has ended in a way that proves that its upstream did nothing for it. */
    boolean isProvenNotRun() {
        return isEnded && !mayHaveRun;
    }

    long processEndUs() {
        return processEndUs;
    }

    /** From now on its connection watches the deadline: the client has the answer as it comes. */
    boolean startResponseStreaming(long length, Runnable resume) {
        if (isEnded || !listener.onResponseStart(this, length, resume)) {
            return false;
        }
        if (timeout != null) {
            timeout.cancel(false);
        }
        isResponseStreaming = true;
        return true;
    }

    boolean passResponsePart(ByteBuf piece) {
        return isEnded || listener.onResponsePart(piece);
    }

    /** The connection takes more, or takes no more for now. */
    void writabilityChanged() {
        if (isBodyStreaming && !isEnded) {
            body.look();
        }
    }

    void end(Outcome outcome, LoadReport report, ByteBuf body) {
        if (isEnded) {
            return;
        }
        isEnded = true;
        this.outcome = outcome;
        mayHaveRun = outcome.mayHaveRun;
        if (isBodyStreaming) {
            this.body.stop();
        }
        if (timeout != null) {
            timeout.cancel(false);
        }
        listener.onEnd(this, outcome, report, body);
    }

    /** Ends a call that gets no answer any more: a late one must find nobody, so its connection goes. */
    void abandon(Outcome outcome) {
        if (!isEnded) {
            if (channel != null) {
                UpstreamPool.close(channel, CloseReason.CALL_ABANDONED);
            }
            end(outcome, null, null);
        }
    }

    void cancel() {
        abandon(Outcome.CANCELLED);
    }

    /** Nobody wants its answer any more: what has not begun to be sent is not sent. */
    void cancelIfUnsent() {
        if (!isEnded && !hasSentBytes()) {
            // Told first: the end of a connection that is still coming up would be told as the upstream's failure.
            end(Outcome.NOT_SENT, null, null);
            if (channel != null) {
                UpstreamPool.close(channel, CloseReason.CALL_ABANDONED);
            }
        }
    }

    /** The hinge of all outcomes: without its last byte written a request has never run. */
    void connectionFailed() {
        end(isWritten ? Outcome.RESET : Outcome.CONNECT_FAILED, null, null);
    }

    /** Its time is over, and its upstream had too little of it to be judged by. */
    void endInconclusively() {
        end(isWritten ? Outcome.CANCELLED : Outcome.NOT_SENT, null, null);
        if (channel != null) {
            UpstreamPool.close(channel, CloseReason.CALL_ABANDONED);
        }
    }
}

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import java.util.function.LongFunction;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;
import rushproxy.Balancer.Upstream;

/** One request message to an upstream, attempt or probe, up to its outcome. */
final class UpstreamCall {
    final String upstreamId;
    long deadlineUs;
    /** When a short response must have ended, complete or broken off. */
    long lateLimitUs = Long.MAX_VALUE;
    /** When the process may be killed; a response that stalls beyond this is aborted. */
    long processEndUs = Long.MAX_VALUE;
    /** Makes the request head; its argument is the time left for the response, in microseconds. */
    final LongFunction<HttpRequest> headFactory;
    /** Null if the request has none. */
    final RequestBody body;

    final CallListener listener;
    private final boolean isReportInBody;
    /** Start of the latency measurement. */
    StallAwareClock.Timestamp sent;
    /** When the upstream was first given work: a connection to accept, or a request on an open one; null before. */
    StallAwareClock.Timestamp dispatched;

    UpstreamTarget target;
    Channel channel;
    Future<?> timeout;
    /** Connects that failed locally. */
    int failedConnects;
    /** Waiting for its connection's reuse delay to end; the upstream is not involved yet. */
    boolean awaitsReuseDelay;
    /** The request has been passed to the connection; its first byte may not have been sent yet. */
    boolean isWriteStarted;

    long writeStartedUs;
    /** The last byte of the request has been written. */
    boolean isWritten;

    boolean isEnded;
    private boolean mayHaveRun;
    private Outcome outcome;
    /** The request body is forwarded while it is received. */
    boolean isBodyStreaming;
    /** The response is being forwarded to the client. */
    boolean isResponseStreaming;

    UpstreamCall(
            String upstreamId,
            long deadlineUs,
            boolean isReportInBody,
            LongFunction<HttpRequest> headFactory,
            RequestBody body,
            CallListener listener) {
        this.upstreamId = upstreamId;
        this.deadlineUs = deadlineUs;
        this.headFactory = headFactory;
        this.body = body;
        this.isReportInBody = isReportInBody;
        this.listener = listener;
    }

    /** Whether the response body is the load report, as for a probe. */
    boolean isReportInBody() {
        return isReportInBody;
    }

    boolean isEnded() {
        return isEnded;
    }

    /** Null until the call has ended. */
    Outcome outcome() {
        return outcome;
    }

    long deadlineUs() {
        return deadlineUs;
    }

    long sentUs() {
        return sent.atUs();
    }

    void setSent(StallAwareClock.Timestamp mark) {
        sent = mark;
    }

    boolean isWritten() {
        return isWritten;
    }

    void markWriteStarted() {
        isWriteStarted = true;
    }

    /** Whether any byte has been sent; the write of the first one may be failing temporarily. */
    private boolean hasSentBytes() {
        return isWriteStarted && !((TcpConnection) channel).isWriteNotStarted();
    }

    /** Whether the upstream may be processing the request or have processed it. */
    boolean mayHaveReachedUpstream() {
        return isWriteStarted && !isProvenNotRun();
    }

    /** The upstream as listed when the call was started; null before. */
    Upstream listedUpstream() {
        return target == null ? null : target.upstream;
    }

    /** Whether the call's outcome proves that the upstream did not process the request. */
    boolean isProvenNotRun() {
        return isEnded && !mayHaveRun;
    }

    ResponseProgress.Limits responseLimits() {
        return new ResponseProgress.Limits(deadlineUs, lateLimitUs, processEndUs);
    }

    /** Starts forwarding the response; from now on the connection enforces the deadline. False if the response is not wanted. */
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

    /** False to pause reading. */
    boolean passResponsePart(ByteBuf part) {
        return isEnded || listener.onResponsePart(part);
    }

    void writabilityChanged() {
        if (isBodyStreaming && !isEnded) {
            body.onWritabilityChanged();
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
            this.body.discard();
        }
        if (timeout != null) {
            timeout.cancel(false);
        }
        listener.onEnd(this, outcome, report, body);
    }

    /** Ends the call and closes its connection, so that a late response is not taken for that of another call. */
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

    /** Ends the call as {@code NOT_SENT} unless part of the request has been sent. */
    void cancelIfUnsent() {
        if (!isEnded && !hasSentBytes()) {
            // End the call before closing: closing a pending connection would be reported as a failure of the upstream.
            end(Outcome.NOT_SENT, null, null);
            if (channel != null) {
                UpstreamPool.close(channel, CloseReason.CALL_ABANDONED);
            }
        }
    }

    /** Ends the call after a failure of this program, and closes its connection. */
    void fail() {
        abandon(isWriteStarted ? Outcome.RESET : Outcome.NOT_SENT);
    }

    /** Ends the call on a connection failure. An upstream does not process a request before its last byte, so only then is it a reset. */
    void connectionFailed() {
        end(isWritten ? Outcome.RESET : Outcome.CONNECT_FAILED, null, null);
    }

    /** Ends a call that has timed out without the upstream having had enough time for the timeout to count against it. */
    void endInconclusively() {
        end(isWritten ? Outcome.CANCELLED : Outcome.NOT_SENT, null, null);
        if (channel != null) {
            UpstreamPool.close(channel, CloseReason.CALL_ABANDONED);
        }
    }
}

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import rushproxy.Balancer.Request;

/** One request, from its arrival to its final response and the end of its last attempt. */
final class Exchange {
    /**
     * Writes the response to the client. Each exchange calls one of the first four methods once, as {@link
     * RequestGuard} allows. After {@code beginStream} the response follows in parts and either ends or is aborted.
     */
    interface ResponseWriter {
        void succeed(ByteBuf body);

        void refuse(long retryAfterUs);

        void fail();

        /** {@code length} is -1 if unknown. {@code resume} runs when more parts can be written. */
        void beginStream(long length, Runnable resume);

        /** Returns false if no more parts should be written for now. */
        boolean writePart(ByteBuf part);

        void endStream();

        void abortStream();

        /** Returns false once the client is known to have closed its connection. */
        boolean isClientConnected();
    }

    final Request request;
    final HttpMethod method;
    final String uri;
    /** Null if the request has no key. */
    final String idempotencyKey;

    final RequestBody body;
    /** Earliest time at which the client may have sent its last byte. */
    long sentUs;

    /** How long the client waits, counted from {@code sentUs}. */
    final long remainingUs;
    /** When the final response must be written, on the {@link Clock}; not valid while the body is arriving. */
    long deadlineUs;

    final ResponseWriter response;
    final RequestTimestamps timestamps;
    /** Gives back the memory of its head once the request is over. */
    final Runnable releaseHeadMemory;

    final List<UpstreamCall> attempts = new ArrayList<>(1);
    Future<?> timeout;
    RequestState state = RequestState.TAKEN;
    /** Whether a disconnect of the client can no longer be detected. */
    boolean disconnectUndetectable;
    /** The attempt whose response is being streamed to the client. */
    UpstreamCall streamingCall;

    Exchange(
            Request request,
            HttpMethod method,
            String uri,
            String idempotencyKey,
            RequestBody body,
            long sentUs,
            long remainingUs,
            long deadlineUs,
            ResponseWriter response,
            RequestTimestamps timestamps,
            Runnable releaseHeadMemory) {
        this.request = request;
        this.method = method;
        this.uri = uri;
        this.idempotencyKey = idempotencyKey;
        this.body = body;
        this.sentUs = sentUs;
        this.remainingUs = remainingUs;
        this.deadlineUs = deadlineUs;
        this.response = response;
        this.timestamps = timestamps;
        this.releaseHeadMemory = releaseHeadMemory;
    }

    /** When a short response must have ended; not valid while the body is arriving. */
    long lateLimitUs() {
        return ResponseDeadlines.lateLimitUs(sentUs, remainingUs);
    }

    boolean isSettled() {
        return state.isDecided() && hasNoPendingAttempt();
    }

    boolean hasNoPendingAttempt() {
        return attempts.stream().allMatch(UpstreamCall::isEnded);
    }
}

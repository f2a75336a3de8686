package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import rushproxy.Balancer.Request;

/** One request, from what the module is to know of it to its one final answer and the end of its last attempt. */
final class Exchange {
    /**
     * Where the final answer goes. Each exchange calls one of the first four once, as {@link RequestGuard} allows; after {@code beginStream} the answer comes
     * in pieces, and ends whole or does not.
     */
    interface ResponseWriter {
        void succeed(ByteBuf body);

        void refuse(long retryAfterUs);

        void fail();

        /** {@code length} is -1 where it is not known. {@code resume} runs when pieces are wanted again. */
        void beginStream(long length, Runnable resume);

        /** False when no more is wanted for now. */
        boolean writePart(ByteBuf piece);

        void endStream();

        void abortStream();

        /** False from the moment at which the client is seen to have ended its connection. */
        boolean isClientConnected();
    }

    final Request request;
    final HttpMethod method;
    final String uri;
    /** Null where the request carries no key. */
    final String idempotencyKey;

    final RequestBody body;
    /** When the client may have sent its last byte, and how long it waits from then on. */
    long sentUs;

    final long remainingUs;
    /** Module time by which the final answer must be on its way; none while the request is still coming. */
    long deadlineUs;

    final ResponseWriter response;
    final RequestTimestamps timestamps;
    final List<UpstreamCall> attempts = new ArrayList<>(1);
    Future<?> timeout;
    RequestState state = RequestState.TAKEN;
    /** Whether its client is still there can't be seen any more. */
    boolean disconnectUndetectable;
    /** The attempt whose answer the client is getting in pieces. */
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
            ResponseWriter answer,
            RequestTimestamps times) {
        this.request = request;
        this.method = method;
        this.uri = uri;
        this.idempotencyKey = idempotencyKey;
        this.body = body;
        this.sentUs = sentUs;
        this.remainingUs = remainingUs;
        this.deadlineUs = deadlineUs;
        this.response = answer;
        this.timestamps = times;
    }

    boolean isSettled() {
        return state.isDecided() && hasNoPendingAttempt();
    }

    boolean hasNoPendingAttempt() {
        return attempts.stream().allMatch(UpstreamCall::ended);
    }
}

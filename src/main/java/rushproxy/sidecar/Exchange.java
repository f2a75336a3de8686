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
     * Where the final answer goes. Each exchange calls one of the first four once, as {@link RequestGuard} allows; after {@code begins} the answer comes
     * in pieces, and ends whole or does not.
     */
    interface Answer {
        void served(ByteBuf body);

        void refused(long retryAfterUs);

        void failed();

        /** {@code length} is -1 where it is not known. {@code resume} runs when pieces are wanted again. */
        void begins(long length, Runnable resume);

        /** False when no more is wanted for now. */
        boolean piece(ByteBuf piece);

        void ends();

        void breaks();

        /** False from the moment at which the client is seen to have ended its connection. */
        boolean clientIsThere();
    }

    final Request request;
    final HttpMethod method;
    final String uri;
    /** Null where the request carries no key. */
    final String idempotencyKey;

    final Body body;
    /** When the client may have sent its last byte, and how long it waits from then on. */
    long sentUs;

    final long remainingUs;
    /** Module time by which the final answer must be on its way; none while the request is still coming. */
    long deadlineUs;

    final Answer answer;
    final RequestTimes times;
    final List<UpstreamCall> attempts = new ArrayList<>(1);
    Future<?> overdue;
    RequestState state = RequestState.TAKEN;
    /** Whether its client is still there can't be seen any more. */
    boolean unwatched;
    /** The attempt whose answer the client is getting in pieces. */
    UpstreamCall passing;

    Exchange(
            Request request,
            HttpMethod method,
            String uri,
            String idempotencyKey,
            Body body,
            long sentUs,
            long remainingUs,
            long deadlineUs,
            Answer answer,
            RequestTimes times) {
        this.request = request;
        this.method = method;
        this.uri = uri;
        this.idempotencyKey = idempotencyKey;
        this.body = body;
        this.sentUs = sentUs;
        this.remainingUs = remainingUs;
        this.deadlineUs = deadlineUs;
        this.answer = answer;
        this.times = times;
    }

    boolean settled() {
        return state.isOver() && noneOut();
    }

    boolean noneOut() {
        return attempts.stream().allMatch(UpstreamCall::isEnded);
    }
}

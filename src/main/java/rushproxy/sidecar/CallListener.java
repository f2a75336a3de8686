package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;

/** Receives the events of an {@link UpstreamCall}. */
interface CallListener {
    /** Called exactly once. {@code body} is null unless the outcome is {@code OK}, and empty if the response was streamed. */
    void onEnd(UpstreamCall call, Outcome outcome, LoadReport report, ByteBuf body);

    /**
     * The response will be streamed.
     *
     * @param length its length in bytes, -1 if unknown
     * @param resume resumes reading after {@link #onResponsePart} has returned false
     * @return false if the response is no longer wanted
     */
    default boolean onResponseStart(UpstreamCall call, long length, Runnable resume) {
        return false;
    }

    /** A part of a streamed response; false pauses reading. */
    default boolean onResponsePart(ByteBuf part) {
        return true;
    }

    /** Whether the call may still be sent; checked immediately before its first byte. */
    default boolean maySend(UpstreamCall call) {
        return true;
    }

    /** The last byte of the request has been written. */
    default void onSent(UpstreamCall call) {}
}

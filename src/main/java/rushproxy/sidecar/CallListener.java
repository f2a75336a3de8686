package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;

/** What a call brings. */
interface CallListener {
    /** Once; {@code body} is set with {@code OK} alone, and empty where the answer came in pieces. */
    void onEnd(UpstreamCall call, Outcome outcome, LoadReport report, ByteBuf body);

    /**
     * The answer is going to come in pieces; {@code length} is -1 where it is not known, {@code resume} asks for
     * more after a piece that was one too many. False: nobody wants it.
     */
    default boolean onResponseStart(UpstreamCall call, long length, Runnable resume) {
        return false;
    }

    /** False when no more is wanted for now. */
    default boolean onResponsePart(ByteBuf piece) {
        return true;
    }

    /** Whether it is still to be sent, now that it could be. */
    default boolean mayBegin(UpstreamCall call) {
        return true;
    }

    /** The last byte of the message has been written. */
    default void onSent(UpstreamCall call) {}
}

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Decodes answers, and tells whether any byte has come beyond the end of the last one. */
final class AnswerDecoder extends HttpResponseDecoder {
    private boolean midway;

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        midway = true;
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        super.decode(ctx, in, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            midway = false;
        }
    }

    boolean betweenAnswers() {
        return !midway && actualReadableBytes() == 0;
    }
}

package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes answers, and tells whether any byte has come beyond the end of the last one. Netty reads some heads that are
 * no HTTP/1.1 as if they were; here they fail, as any other broken answer does.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private static final int STATUS_DIGITS = 3;

    private boolean isInResponse;

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        isInResponse = true;
        if (!initialLine[0].startsWith("HTTP/1.") || !isStatus(initialLine[1])) {
            throw new IllegalArgumentException("no status line of HTTP/1.1");
        }
        return super.createMessage(initialLine);
    }

    private static boolean isStatus(String text) {
        return text.length() == STATUS_DIGITS && text.charAt(0) != '0' && NumberSyntax.isDecimal(text, STATUS_DIGITS);
    }

    /** A name ends at its colon: a line with white space or nothing there is no header, and names no length. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("no colon after a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        super.decode(ctx, in, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            isInResponse = false;
        }
    }

    boolean isBetweenResponses() {
        return !isInResponse && actualReadableBytes() == 0;
    }
}
